//! One client of the `MySQL` front that sends commands at full speed, sound and unsound, under ever new names. Other clients
//! have to be served meanwhile, and the router's memory must not grow with the names. And a client that closes its connection
//! with commands unread: none of them may be sent after that.
mod common;

use common::TIMEOUT;
use common::environment::TestFolder;
use common::mysql_login::till_login;
use common::process_memory::memory_mib;
use common::program::Program;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use test_servers::session_server::{SessionServer, SessionServerSettings};
use test_servers::wire::{self, packets};

/// Time for which one client floods the router.
const FLOOD: Duration = Duration::from_secs(3);
/// Longest response time of another client: its deadline and a margin for a busy machine.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(2500);
/// Memory that a flood may add to the process, in MiB: the budget of a process with 32 MB.
const MAX_GROWTH_MIB: f64 = 22.0;
/// How long after a client has left an attempt may begin.
const START_AFTER_LEAVING: Duration = Duration::from_millis(100);

struct Setup {
    router: Program,
    addr: SocketAddr,
    server: SessionServer,
    _folder: TestFolder,
}

impl Setup {
    fn start() -> Setup {
        let settings = SessionServerSettings { default_autocommit: true, knows_reset: true };
        let server = SessionServer::start(settings).unwrap();
        let folder = TestFolder::new();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nprobe = 'SELECT probe'
memory_mb = 32
[[mysql.user]]\nname = 'till'\npassword = ''
[[mysql.class]]\nname = 'order'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 1500\ndeadline_ms = 2000
[[mysql.rule]]\nstarts = 'insert into orders'\nclass = 'order'
[[mysql.server]]\nid = 'stock-a'\naddr = '{}'\n",
            server.addr
        );
        let mut router = Program::serve(&folder.write("mysql.toml", &text));
        let addr = router.listening_address();
        let setup = Setup { router, addr, server, _folder: folder };
        let mut client = setup.client();
        let started_at = Instant::now();
        while client.query_drop("insert into orders values ('first')").is_err() {
            assert!(started_at.elapsed() < TIMEOUT);
        }
        setup
    }

    fn client(&self) -> Conn {
        let options = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(self.addr.port());
        Conn::new(options.prefer_socket(false).user(Some("till"))).unwrap()
    }
}

fn raw_client(addr: SocketAddr) -> TcpStream {
    let mut socket = TcpStream::connect(addr).unwrap();
    wire::read(&socket).unwrap();
    socket.write_all(&till_login()).unwrap();
    wire::read(&socket).unwrap();
    socket
}

fn query(text: &str) -> Vec<u8> {
    packets(0, &[&[&[wire::COMMAND_QUERY], text.as_bytes()].concat()])
}

/// Sends commands as fast as the router takes them, and reads all responses.
fn flood(addr: SocketAddr, command: impl Fn(u32) -> Vec<u8>) -> u32 {
    let ends_at = Instant::now() + FLOOD;
    let mut sent = 0;
    while Instant::now() < ends_at {
        let mut socket = raw_client(addr);
        let mut responses = socket.try_clone().unwrap();
        let reader = std::thread::spawn(move || _ = std::io::copy(&mut responses, &mut std::io::sink()));
        while Instant::now() < ends_at {
            let commands: Vec<u8> = (sent..sent + 32).flat_map(&command).collect();
            if socket.write_all(&commands).is_err() {
                break;
            }
            sent += 32;
        }
        _ = socket.shutdown(Shutdown::Both);
        reader.join().unwrap();
    }
    sent
}

#[test]
fn flood_of_one_client_leaves_others_served_and_memory_bounded() {
    type Command = fn(u32) -> Vec<u8>;
    let floods: [(&str, Command); 7] = [
        ("pings", |_| packets(0, &[&[14]])),
        ("unsound commands", |_| packets(0, &[&[99, 1, 2]])),
        ("rejected statements", |_| query("set autocommit=0")),
        ("new sessions", |n| query(&format!("insert into orders values ('a') /* s=session-{n} */"))),
        ("new groups", |n| query(&format!("insert into orders values ('a') /* cluster={n},d=1 */"))),
        ("prepared statements", |n| {
            packets(0, &[&[&[22][..], format!("insert into orders values ('{n}')").as_bytes()].concat()])
        }),
        ("executions of unknown statements", |n| {
            packets(0, &[&[&[23][..], &n.to_le_bytes(), &[0, 1, 0, 0, 0]].concat()])
        }),
    ];
    let setup = Setup::start();
    for (name, command) in floods {
        let before = memory_mib(&setup.router, "RssAnon:");
        let addr = setup.addr;
        let flooding = std::thread::spawn(move || flood(addr, command));
        let (mut client, mut longest) = (setup.client(), Duration::ZERO);
        while !flooding.is_finished() {
            let sent_at = Instant::now();
            client.query_drop("insert into orders values ('other')").unwrap();
            longest = longest.max(sent_at.elapsed());
        }
        let sent = flooding.join().unwrap();
        let growth = memory_mib(&setup.router, "RssAnon:") - before;
        println!(
            "{name}: {sent} commands, other client's longest response {longest:?}, memory {growth:+.1} MiB"
        );
        assert!(longest < MAX_RESPONSE_TIME, "{name}: {longest:?}");
        assert!(growth < MAX_GROWTH_MIB, "{name}: {growth} MiB");
    }
}

#[test]
fn commands_that_are_unread_when_their_client_leaves_are_not_sent() {
    const COMMANDS: usize = 60;
    let setup = Setup::start();
    for _ in 0..5 {
        let mut socket = raw_client(setup.addr);
        let commands: Vec<u8> =
            (0..COMMANDS).flat_map(|n| query(&format!("insert into orders values ('left-{n}')"))).collect();
        socket.write_all(&commands).unwrap();
        // The first response shows that the router serves this client; the rest stays unread.
        socket.read_exact(&mut [0; 11]).unwrap();
        drop(socket);
        let left_at = Instant::now();
        let mut at_leaving = None;
        let mut last = 0;
        // Attempts may begin until the router must have noticed; afterwards the server gets no further one.
        while left_at.elapsed() < 4 * START_AFTER_LEAVING {
            if at_leaving.is_none() && left_at.elapsed() >= START_AFTER_LEAVING {
                at_leaving = Some(setup.server.sessions_of("'left-").len());
            }
            last = setup.server.sessions_of("'left-").len();
            std::thread::yield_now();
        }
        assert_eq!(Some(last), at_leaving, "attempts began after the client had left");
    }
    let sent = setup.server.sessions_of("'left-").len();
    assert!(sent < 5 * COMMANDS, "no client left in time: {sent} commands ran");
}
