//! The `MySQL` front: the real program between the `mysql` client or a raw socket and stand-in servers that count
//! what they execute.
mod common;
use common::TIMEOUT;
use common::environment::TestFolder;
use common::program::Program;
use common::wire::read_bytes;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder, Value};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use test_servers::wire::{self, EOF, OK, column, packets, text};

/// What a server does with its next executions.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Act {
    Serve,
    Error(u16),
    /// The connection breaks after the statement has run.
    Reset,
    /// The answer stops in the middle.
    Cut,
    /// The answer's packets bear the wrong numbers, as those of another command would.
    OutOfSequence,
    /// A second copy stands behind the answer.
    Twice,
    Silent,
    /// It dies when a statement has been prepared on it, before the execution comes.
    DieAfterPrepare,
    /// It forgets what was prepared, once.
    Forget,
}

/// A stand-in server. `ran` counts each statement that it has executed, by its text.
#[derive(Clone)]
struct Server {
    addr: SocketAddr,
    name: &'static str,
    state: Arc<Mutex<State>>,
    heard: Sender<String>,
}

struct State {
    act: Act,
    read_only: bool,
    /// How far its heartbeat lags.
    lag_ms: u128,
    ran: HashMap<String, usize>,
    /// The parameters of the last execution, behind the statement's id.
    last: Vec<u8>,
    long: Vec<u8>,
    dead: bool,
    open: Vec<TcpStream>,
}

fn read(socket: &TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let head = read_bytes(socket, 4)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
    Ok((head[3], read_bytes(socket, length)?))
}

impl Server {
    fn start(name: &'static str, read_only: bool) -> (Server, Receiver<String>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (heard, texts) = channel();
        let state = State {
            act: Act::Serve,
            read_only,
            lag_ms: 0,
            ran: HashMap::new(),
            last: vec![],
            long: vec![],
            dead: false,
            open: vec![],
        };
        let addr = listener.local_addr().unwrap();
        let server = Server { addr, name, state: Arc::new(Mutex::new(state)), heard };
        let own = server.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (own, socket) = (own.clone(), socket.unwrap());
                let mut state = own.state.lock().unwrap();
                if state.dead {
                    continue;
                }
                state.open.push(socket.try_clone().unwrap());
                drop(state);
                std::thread::spawn(move || {
                    own.talk(&socket);
                    _ = socket.shutdown(std::net::Shutdown::Both);
                });
            }
        });
        (server, texts)
    }

    /// Its process is gone: connections break, and new ones never come up.
    fn die(&self) {
        let mut state = self.state.lock().unwrap();
        state.dead = true;
        state.open.drain(..).for_each(|s| _ = s.shutdown(std::net::Shutdown::Both));
    }

    fn act(&self, act: Act) {
        self.state.lock().unwrap().act = act;
    }

    fn ran(&self, text: &str) -> usize {
        self.state.lock().unwrap().ran.get(text).copied().unwrap_or(0)
    }

    fn talk(&self, socket: &TcpStream) -> Option<()> {
        let mut to = socket;
        wire::greet(socket).ok()?;
        let mut prepared: HashMap<u32, String> = HashMap::new();
        loop {
            let (_, body) = read(socket).ok()?;
            let id = body.get(1..5).map(|b| u32::from_le_bytes(b.try_into().unwrap()));
            let answer = match body[0] {
                3 => self.run(std::str::from_utf8(&body[1..]).unwrap(), false)?,
                22 => {
                    let sql = String::from_utf8(body[1..].to_vec()).unwrap();
                    let (id, marks) = (prepared.len() as u32 + 50, sql.matches('?').count() as u8);
                    let rows = sql.starts_with("SELECT");
                    prepared.insert(id, sql);
                    let head =
                        [&[0][..], &id.to_le_bytes(), &[u8::from(rows), 0, marks, 0, 0, 0, 0]].concat();
                    let (mark, name) = (column("?"), column("who"));
                    let mut all: Vec<&[u8]> = vec![&head];
                    all.extend((0..marks).map(|_| &mark[..]).chain((marks > 0).then_some(EOF)));
                    all.extend(rows.then_some([&name[..], EOF]).into_iter().flatten());
                    to.write_all(&packets(1, &all)).ok()?;
                    if self.state.lock().unwrap().act == Act::DieAfterPrepare {
                        return None;
                    }
                    continue;
                }
                23 => match prepared.get(&id.unwrap()) {
                    _ if self.state.lock().unwrap().act == Act::Forget => {
                        self.act(Act::Serve);
                        packets(1, &[b"\xff\xdb\x04#HY000forgotten"])
                    }
                    Some(sql) => {
                        self.state.lock().unwrap().last = body[5..].to_vec();
                        self.run(sql, true)?
                    }
                    None => packets(1, &[b"\xff\xdb\x04#HY000unknown"]),
                },
                24 => {
                    self.state.lock().unwrap().long.extend_from_slice(&body[7..]);
                    continue;
                }
                25 => continue,
                _ => packets(1, &[OK]),
            };
            to.write_all(&answer).ok()?;
            if answer.len() == 10 {
                return None;
            }
        }
    }

    /// Executes a statement and gives the packets of its answer; `None` breaks the connection.
    fn run(&self, sql: &str, binary: bool) -> Option<Vec<u8>> {
        let mut state = self.state.lock().unwrap();
        if sql == "SELECT probe" {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() - state.lag_ms;
            let row = [text(if state.read_only { "1" } else { "0" }), text(&now.to_string())].concat();
            return Some(packets(1, &[&[2], &column("ro"), &column("ts"), EOF, &row, EOF]));
        }
        let writes = !sql.starts_with("SELECT");
        if writes && state.read_only {
            return Some(packets(1, &[b"\xff\x0a\x05#HY000read-only"]));
        }
        *state.ran.entry(sql.to_string()).or_default() += 1;
        let act = state.act;
        drop(state);
        _ = self.heard.send(sql.to_string());
        let row = if binary { [&[0, 0][..], &text(self.name)].concat() } else { text(self.name) };
        let whole = if writes {
            packets(1, &[OK])
        } else {
            packets(1, &[&[1], &column("who"), EOF, &row, &row, &row, EOF])
        };
        match act {
            Act::Error(code) => {
                Some(packets(1, &[&[&[0xff][..], &code.to_le_bytes(), b"#HY000no"].concat()]))
            }
            Act::Reset => None,
            Act::Cut => Some(whole[..10].to_vec()),
            Act::OutOfSequence => Some([&whole[..3], &[7], &whole[4..]].concat()),
            Act::Twice => Some([&whole[..], &whole].concat()),
            Act::Silent => {
                // Until the process ends: the router closes its side.
                loop {
                    std::thread::park();
                }
            }
            _ => Some(whole),
        }
    }
}

/// A router over a primary and a replica.
struct Site {
    router: Program,
    addr: SocketAddr,
    primary: (Server, Receiver<String>),
    replica: (Server, Receiver<String>),
    folder: TestFolder,
}

const ORDER: &str = "INSERT INTO orders VALUES (?) /* c=order-place,d=1500,s=till */";
const STOCK: &str = "SELECT who FROM stock /* c=any-read,d=1500 */";

fn file(servers: &str) -> String {
    format!(
        "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nserver_password = 'x'
probe = 'SELECT probe'\ndeadline_ms = 1500\nmessage_bytes = 100000
[[mysql.user]]\nname = 'till'\npassword = 'secret'
[[mysql.class]]\nname = 'any-read'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.class]]\nname = 'session-read'\nfreshness = 'session'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.class]]\nname = 'order-place'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 1500\ndeadline_ms = 1500
[[mysql.rule]]\nstarts = 'select who from basket'\nclass = 'session-read'\n{servers}"
    )
}

impl Site {
    fn start() -> Site {
        Site::with(|_| String::new())
    }

    /// With more in its file.
    fn with(more: impl Fn(&TestFolder) -> String) -> Site {
        let (primary, replica) = (Server::start("primary", false), Server::start("replica", true));
        let of = |s: &Server| format!("[[mysql.server]]\nid = '{}'\naddr = '{}'\n", s.name, s.addr);
        let folder = TestFolder::new();
        let path = folder.write("mysql.toml", &(file(&(of(&primary.0) + &of(&replica.0))) + &more(&folder)));
        let mut router = Program::start(&[path.to_str().unwrap()], &[]);
        let addr = router.listening_address();
        let site = Site { router, addr, primary, replica, folder };
        // The replica is trusted once it has been probed.
        let mut client = site.client();
        let begun = Instant::now();
        while client.query_first::<String, _>(STOCK).unwrap().unwrap() != "replica" {
            assert!(begun.elapsed() < TIMEOUT);
        }
        while site.primary.1.try_recv().is_ok() || site.replica.1.try_recv().is_ok() {}
        site
    }

    fn options(&self) -> OptsBuilder {
        let at = OptsBuilder::new()
            .ip_or_hostname(Some("127.0.0.1"))
            .tcp_port(self.addr.port())
            .prefer_socket(false);
        at.user(Some("till")).pass(Some("secret")).db_name(Some("stock"))
    }

    fn client(&self) -> Conn {
        Conn::new(self.options()).unwrap()
    }

    fn orders(&self, sql: &str) -> usize {
        self.primary.0.ran(sql) + self.replica.0.ran(sql)
    }
}

/// Code and SQLSTATE of an error.
fn code(e: mysql::Error) -> (u16, String) {
    match e {
        mysql::Error::MySqlError(e) => (e.code, e.state),
        other => panic!("no error of the protocol: {other}"),
    }
}

#[test]
fn statements_are_split_between_primary_and_replica() {
    let site = Site::start();
    let mut client = site.client();
    assert_eq!(client.query::<String, _>(STOCK).unwrap(), ["replica"; 3]);
    client.query_drop("INSERT INTO orders VALUES (1)").unwrap();
    assert_eq!(client.affected_rows(), 1);
    assert_eq!(site.primary.0.ran("INSERT INTO orders VALUES (1)"), 1);
    // What nobody has named is a write that must not run twice, a SELECT too.
    assert_eq!(client.query_first::<String, _>("SELECT who FROM else").unwrap().unwrap(), "primary");
    assert!(client.ping().is_ok());
    assert!(client.select_db("stock").is_ok());
    assert_eq!(code(client.select_db("other").unwrap_err()), (1049, "42000".into()));
    // A statement's own error reaches the client as the server wrote it.
    site.primary.0.act(Act::Error(1062));
    assert_eq!(code(client.query_drop("INSERT INTO orders VALUES (2)").unwrap_err()), (1062, "HY000".into()));
}

#[test]
fn prepared_statements_go_to_any_server_connection() {
    let site = Site::start();
    let mut client = site.client();
    let order = client.prep(ORDER).unwrap();
    assert_eq!(order.num_params(), 1);
    for n in 1..=3 {
        client.exec_drop(&order, (n,)).unwrap();
    }
    assert_eq!(site.primary.0.ran(ORDER), 3);
    let sent = site.primary.0.state.lock().unwrap().last.clone();
    assert_eq!(sent[..7], [0, 1, 0, 0, 0, 0, 1], "flags, count, no NULL, types sent");
    let stock = client.prep("SELECT who FROM stock WHERE id = ? /* c=any-read */").unwrap();
    let rows: Vec<String> = client.exec(&stock, (Value::Bytes(vec![b'x'; 300]),)).unwrap();
    assert_eq!(rows, ["replica"; 3]);
    // A server that has forgotten the statement ran nothing: it is prepared anew there.
    site.primary.0.act(Act::Forget);
    client.exec_drop(&order, (4,)).unwrap();
    assert_eq!(site.primary.0.ran(ORDER), 4);
    client.close(order).unwrap();
    client.reset().unwrap();
    let again = client.prep(ORDER).unwrap();
    client.exec_drop(&again, (5,)).unwrap();
}

#[test]
fn server_lost_between_prepare_and_execute_runs_nothing() {
    let site = Site::start();
    let mut client = site.client();
    let order = client.prep(ORDER).unwrap();
    client.exec_drop(&order, (1,)).unwrap();
    // Its connections die with what was prepared on them, and the replica takes over.
    site.replica.0.state.lock().unwrap().read_only = false;
    site.primary.0.die();
    client.exec_drop(&order, (2,)).unwrap();
    assert_eq!((site.primary.0.ran(ORDER), site.replica.0.ran(ORDER)), (1, 1));
}

#[test]
fn server_lost_during_prepare_gives_one_outcome_and_one_run_at_most() {
    let site = Site::start();
    let mut client = site.client();
    let order = client.prep(ORDER).unwrap();
    site.replica.0.state.lock().unwrap().read_only = false;
    site.primary.0.act(Act::DieAfterPrepare);
    // It closes right behind its answer: an execution that crosses that may have run, as far as anyone can tell.
    match client.exec_drop(&order, (1,)) {
        Ok(()) => assert_eq!(site.orders(ORDER), 1),
        Err(e) => assert_eq!((code(e).0, site.orders(ORDER)), (1158, 0)),
    }
}

#[test]
fn extra_response_is_not_taken_for_next_one() {
    let site = Site::start();
    let mut client = site.client();
    site.primary.0.act(Act::Twice);
    for n in 0..10 {
        // On a link that was used again, the copy would stand for an answer that never came.
        let sql = format!("INSERT INTO orders VALUES ({n})");
        client.query_drop(&sql).unwrap();
        assert_eq!(site.orders(&sql), 1);
    }
}

#[test]
fn write_that_may_have_run_fails_and_is_not_resent() {
    let cases = [
        (Act::Cut, 1158, "08S01"),
        (Act::Reset, 1158, "08S01"),
        (Act::Error(1105), 1105, "HY000"),
        (Act::OutOfSequence, 1105, "HY000"),
    ];
    for (act, expected, state) in cases {
        for prepared in [false, true] {
            let site = Site::start();
            let mut client = site.client();
            site.primary.0.act(act);
            let text = "INSERT INTO orders VALUES (7)";
            let (sql, ended) = if prepared {
                let order = client.prep(ORDER).unwrap();
                (ORDER, client.exec_drop(&order, (1,)))
            } else {
                (text, client.query_drop(text))
            };
            assert_eq!(code(ended.unwrap_err()), (expected, state.to_string()), "{act:?}");
            assert_eq!(site.orders(sql), 1, "{act:?}");
            // The connection goes on.
            assert!(client.ping().is_ok());
        }
    }
}

#[test]
fn silent_server_is_abandoned_at_the_deadline() {
    let site = Site::start();
    let mut client = site.client();
    site.primary.0.act(Act::Silent);
    let begun = Instant::now();
    let ended = client.query_drop("INSERT INTO orders VALUES (8) /* c=order-place,d=400 */");
    assert_eq!(code(ended.unwrap_err()), (3024, "HY000".into()));
    assert!(begun.elapsed().as_millis() >= 390 && begun.elapsed() < TIMEOUT);
    assert_eq!(site.orders("INSERT INTO orders VALUES (8) /* c=order-place,d=400 */"), 1);
}

#[test]
fn session_reads_its_own_writes() {
    let site = Site::start();
    let mut client = site.client();
    site.replica.0.state.lock().unwrap().lag_ms = 60_000;
    client.query_drop("INSERT INTO basket VALUES (1)").unwrap();
    // The replica's heartbeat is before the commit: the read goes to the primary. Another session has no commit.
    assert_eq!(client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(), "primary");
    assert_eq!(site.client().query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(), "replica");
    // Once the heartbeat has passed the commit, the replica may answer.
    site.replica.0.state.lock().unwrap().lag_ms = 0;
    let begun = Instant::now();
    while client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap() != "replica" {
        assert!(begun.elapsed() < TIMEOUT);
    }
}

#[test]
fn replica_read_proves_no_position() {
    let site = Site::start();
    let (mut client, mut other) = (site.client(), site.client());
    site.replica.0.state.lock().unwrap().lag_ms = 60_000;
    client.query_drop("INSERT INTO basket VALUES (1)").unwrap();
    // The replica answers someone else after the commit; that is no proof that it holds it.
    assert_eq!(other.query_first::<String, _>(STOCK).unwrap().unwrap(), "replica");
    assert_eq!(client.query_first::<String, _>("SELECT who FROM basket").unwrap().unwrap(), "primary");
}

#[test]
fn statements_that_need_a_dedicated_connection_are_rejected() {
    let site = Site::start();
    let mut client = site.client();
    for sql in [
        "START TRANSACTION",
        "begin",
        "COMMIT",
        "SET sql_mode = ''",
        "/* x */ LOCK TABLES a WRITE",
        "SELECT @a := 1",
        "SELECT last_insert_id()",
        "CREATE TEMPORARY TABLE t (a INT)",
        "PREPARE s FROM 'x'",
        "INSERT INTO orders VALUES (9) /* c=any-read */",
    ] {
        assert_eq!(code(client.query_drop(sql).unwrap_err()), (1235, "42000".into()), "{sql}");
    }
    // What every connection has anyway is answered, and quoted words are no commands.
    client.query_drop("SET NAMES utf8mb4").unwrap();
    client.query_drop("INSERT INTO notes VALUES ('SET @a := 1 /* c=any-read */ ?')").unwrap();
    assert_eq!(code(client.query_drop("").unwrap_err()).0, 1065);
}

#[test]
fn hostile_bytes_close_only_their_connection() {
    let site = Site::start();
    let wrong = Conn::new(site.options().pass(Some("wrong"))).unwrap_err();
    assert_eq!(code(wrong), (1045, "28000".into()));
    let other = Conn::new(site.options().db_name(Some("other"))).unwrap_err();
    assert_eq!(code(other), (1049, "42000".into()));
    for bytes in
        [&b"\xff\xff\xff\x01"[..], b"\x01\0\0\x01\0", b"\x04\0\0\x01\0\0\0\0", b"GET / HTTP/1.1\r\n\r\n"]
    {
        let socket = TcpStream::connect(site.addr).unwrap();
        (&socket).write_all(bytes).unwrap();
        _ = socket.shutdown(std::net::Shutdown::Write);
        while read_bytes(&socket, 1).is_ok() {}
    }
    assert_eq!(site.client().query_first::<String, _>(STOCK).unwrap().unwrap(), "replica");
}

/// A raw client, for what the library does not do.
struct Raw(TcpStream);

impl Raw {
    fn connect(addr: SocketAddr) -> Raw {
        let socket = TcpStream::connect(addr).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        read(&socket).unwrap();
        // An unknown way of proof, so that the router switches to the older one.
        let flags: u32 = 1 << 9 | 1 << 15 | 1 << 19;
        let login = [&flags.to_le_bytes()[..], &[0; 28], b"till\0\0odd_plugin\0"].concat();
        (&socket).write_all(&packets(1, &[&login])).unwrap();
        let (_, switch) = read(&socket).unwrap();
        let nonce = switch[switch.len() - 21..switch.len() - 1].to_vec();
        let proof = mysql_wire::auth::scramble(mysql_wire::auth::NATIVE_PASSWORD, "secret", &nonce).unwrap();
        (&socket).write_all(&packets(3, &[&proof])).unwrap();
        assert_eq!(read(&socket).unwrap().1[0], 0);
        Raw(socket)
    }

    /// Sends a command and reads as many payloads.
    fn exchange(&self, command: &[u8], answers: usize) -> Vec<Vec<u8>> {
        (&self.0).write_all(&packets(0, &[command])).unwrap();
        let answer = |i| {
            let (sequence, payload) = read(&self.0).unwrap();
            assert_eq!(sequence as usize, i + 1);
            payload
        };
        (0..answers).map(answer).collect()
    }

    fn error(&self, command: &[u8]) -> u16 {
        let answer = &self.exchange(command, 1)[0];
        assert_eq!(answer[0], 0xff, "{answer:?}");
        u16::from_le_bytes([answer[1], answer[2]])
    }
}

#[test]
fn commands_before_an_incomplete_one_are_answered() {
    // One that stops within a command has not left: what it asked whole is owed its answer.
    let site = Site::start();
    let raw = Raw::connect(site.addr);
    site.primary.0.act(Act::Silent);
    let half = &packets(0, &[b"\x03SELECT"])[..6];
    (&raw.0).write_all(&[&packets(0, &[&[&[3][..], ORDER.as_bytes()].concat()]), half].concat()).unwrap();
    // It outlasts the time for a command to come whole, and is given up at its own.
    let (_, answer) = read(&raw.0).unwrap();
    assert_eq!((answer[0], u16::from_le_bytes([answer[1], answer[2]])), (0xff, 3024), "{answer:?}");
    assert!(read(&raw.0).is_err(), "then the connection ends");
}

#[test]
fn disconnect_beyond_read_ahead_is_noticed() {
    let mut site = Site::with(|_| "[log]\nlevel = 'debug'\n".to_string());
    let raw = Raw::connect(site.addr);
    site.primary.0.act(Act::Silent);
    let pings: Vec<u8> = (0..200).flat_map(|_| packets(0, &[&[14]])).collect();
    let order = packets(0, &[&[&[3][..], ORDER.as_bytes()].concat()]);
    (&raw.0).write_all(&[order, pings].concat()).unwrap();
    site.primary.1.recv_timeout(TIMEOUT).unwrap();
    // Its reader waits for room among the commands and reads no further.
    drop(raw);
    site.router.wait_for_log("client disconnected requests=1 ");
}

#[test]
fn remaining_statement_commands_are_supported() {
    let site = Site::start();
    let raw = Raw::connect(site.addr);
    let sql = "SELECT who FROM stock WHERE note = ? /* c=any-read */";
    let prepared = raw.exchange(&[&[22][..], sql.as_bytes()].concat(), 5);
    let id = prepared[0][1..5].to_vec();
    // A long parameter in two parts, with packets that come split.
    for part in [b"abc", b"def"] {
        let bytes = packets(0, &[&[&[24][..], &id, &[0, 0], part].concat()]);
        bytes.chunks(3).for_each(|c| (&raw.0).write_all(c).unwrap());
    }
    // With a cursor: columns at once, rows as they are fetched.
    let execute = [&[23][..], &id, &[1, 1, 0, 0, 0, 0, 1, 0xfc, 0]].concat();
    let head = raw.exchange(&execute, 3);
    assert_eq!(head[2], [0xfe, 0, 0, 66, 0]);
    assert_eq!(site.replica.0.state.lock().unwrap().long, b"abcdef");
    let fetch = |n: u8| [&[28][..], &id, &[n, 0, 0, 0]].concat();
    assert_eq!(raw.exchange(&fetch(2), 3)[2], [0xfe, 0, 0, 66, 0]);
    assert_eq!(raw.exchange(&fetch(2), 2)[1], [0xfe, 0, 0, 130, 0]);
    assert_eq!(raw.exchange(&[&[26][..], &id].concat(), 1)[0][0], 0);
    assert_eq!(raw.error(&fetch(1)), 1421);
    // Types that were never sent, ids that are not known, commands that are not spoken.
    assert_eq!(raw.error(&[&[23][..], &id, &[0, 1, 0, 0, 0]].concat()), 1210);
    assert_eq!(raw.error(&[23, 9, 9, 0, 0, 0, 1, 0, 0, 0]), 1243);
    assert_eq!(raw.error(&[23, 9]), 1835);
    assert_eq!(raw.error(&[17]), 1047);
    assert_eq!(raw.error(&[27, 0, 0]), 1235);
    assert_eq!(raw.exchange(&[27, 1, 0], 1)[0], EOF);
    (&raw.0).write_all(&packets(0, &[&[&[25][..], &id].concat()])).unwrap();
    assert_eq!(raw.error(&execute), 1243);
    assert_eq!(raw.exchange(&[31], 1)[0][0], 0);
    // Too long: told, and closed.
    let long = Raw::connect(site.addr);
    assert_eq!(long.error(&[3; 200_000]), 1153);
    // Out of sequence: told, and closed.
    (&raw.0).write_all(&packets(5, &[&[14]])).unwrap();
    assert_eq!(read(&raw.0).unwrap().1[1..3], 1156u16.to_le_bytes());
    assert!(read(&raw.0).is_err());
}

#[test]
fn sigterm_completes_accepted_requests() {
    let site = Site::start();
    let mut client = site.client();
    site.primary.0.act(Act::Silent);
    let waiting = std::thread::spawn(move || client.query_drop("INSERT INTO orders VALUES (3)").unwrap_err());
    site.primary.1.recv_timeout(TIMEOUT).unwrap();
    site.router.terminate();
    assert_eq!(code(waiting.join().unwrap()).0, 3024);
    assert_eq!(site.router.wait_for_exit().0, Some(0));
}

#[test]
fn bad_configuration_is_named_and_ends_startup() {
    let folder = TestFolder::new();
    let cases = [
        ("[mysql", "expected TOML"),
        ("[other]\n", "'other'"),
        (&file("").replace("database", "databases"), "'databases'"),
        (&file("").replace("'any'", "'old'"), "class[0]: expected write, fresh"),
        (&file("[[mysql.rule]]\nstarts = 'x'\nclass = 'none'\n"), "rule[1]: expected a listed class"),
        (&file("[[mysql.server]]\nid = 'a'\naddr = 'b'\n"), "server[0]: expected ip:port in 'addr'"),
    ];
    for (text, names) in cases {
        let path = folder.write("bad.toml", text);
        let mut router = Program::start(&[path.to_str().unwrap()], &[]);
        router.wait_for_log(names);
        assert_eq!(router.wait_for_exit().0, Some(1));
    }
}

/// Runs a command of the program to its end: exit code, output, log.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut program = Program::start(arguments, &[("DAMSONVALE_PASSWORD", "secret")]);
    let log = std::mem::replace(&mut program.log, channel().1);
    let (code, out) = program.wait_for_exit();
    (code, out, log.iter().collect::<Vec<_>>().join("\n"))
}

/// The packets of a classic file of this machine's byte order: heads and bytes.
fn packets_of(file: &[u8]) -> Vec<([u32; 4], Vec<u8>)> {
    let (mut at, mut all) = (24, Vec::new());
    while at < file.len() {
        let head = [0, 4, 8, 12].map(|n| u32::from_le_bytes(file[at + n..at + n + 4].try_into().unwrap()));
        let end = at + 16 + head[2] as usize;
        all.push((head, file[at + 16..end].to_vec()));
        at = end;
    }
    all
}

/// A block of an ng file of the other byte order.
fn block(kind: u32, body: &[u8]) -> Vec<u8> {
    let body = [body, &vec![0; body.len().next_multiple_of(4) - body.len()]].concat();
    let length = (body.len() as u32 + 12).to_be_bytes();
    [&kind.to_be_bytes()[..], &length, &body, &length].concat()
}

#[test]
fn recording_is_listed_and_replayed() {
    let record = |f: &TestFolder| {
        format!("[record]\nfile = '{}'\ncapacity_mb = 1\n", f.path().join("served.pcap").display())
    };
    let site = Site::with(record);
    let path = site.folder.path().join("served.pcap");
    let path = path.to_str().unwrap();
    let mut client = site.client();
    let by_note = client.prep("SELECT who FROM stock WHERE note = ? /* c=any-read */").unwrap();
    let _: Vec<String> = client.exec(&by_note, ("n".repeat(40_000),)).unwrap();
    let order = client.prep(ORDER).unwrap();
    client.exec_drop(&order, (7,)).unwrap();
    client.exec_drop(&order, (8,)).unwrap();
    site.primary.0.act(Act::Error(1062));
    client.query_drop("INSERT INTO orders VALUES (1)").unwrap_err();
    site.primary.0.act(Act::Serve);
    drop(client);
    // The recording never holds a conversation up, so it may come to disk behind the client's end.
    let begun = Instant::now();
    let listed = loop {
        let (_, out, _) = run(&["requests", path]);
        if out.contains("VALUES (1)") {
            break out;
        }
        assert!(begun.elapsed() < TIMEOUT, "{out}");
    };
    let told: Vec<&str> = listed.lines().filter(|l| !l.contains("SELECT")).collect();
    assert_eq!(told.len(), 3, "{listed}");
    assert!(told[0].contains("Answered") && told[0].contains(ORDER) && told[2].contains("Error(1062)"));
    assert_eq!(listed.lines().filter(|l| l.contains("WHERE note = ?")).count(), 1);

    // Replayed through the router: reads alone, and writes where they are asked for.
    let file = std::fs::read(path).unwrap();
    let kept = site.folder.path().join("kept.pcap");
    std::fs::write(&kept, &file).unwrap();
    let kept = kept.to_str().unwrap();
    let router = site.addr.to_string();
    let (before, reads) = (site.orders(ORDER), listed.lines().filter(|l| l.contains("SELECT")).count());
    let (code, out, log) = run(&["replay", kept, &router, "till", "stock"]);
    assert_eq!(code, Some(0), "{log}");
    assert!(out.ends_with(&format!("{reads} answered, 0 errors, 3 writes left out\n")), "{out}");
    assert_eq!(site.orders(ORDER), before);
    let (_, out, _) = run(&["replay", kept, &router, "till", "stock", "--writes"]);
    assert!(out.ends_with(&format!("{} answered, 0 errors, 0 writes left out\n", reads + 3)), "{out}");
    assert_eq!(site.orders(ORDER), before + 2);

    // The same packets in the other byte order, as an ng file, out of order and twice: the same requests.
    let packets = packets_of(&file);
    let swapped = |words: &[u32]| words.iter().flat_map(|w| w.to_be_bytes()).collect::<Vec<u8>>();
    let mut classic = swapped(&[0xa1b2_c3d4, 0x0002_0004, 0, 0, 262_144, 1]);
    let mut ng = [
        block(0x0a0d_0d0a, &[&swapped(&[0x1a2b_3c4d, 0x0001_0000])[..], &[0xff; 8]].concat()),
        block(1, &[0, 1, 0, 0, 0, 4, 0, 0]),
    ]
    .concat();
    for (head, bytes) in &packets {
        classic.extend([swapped(head), bytes.clone()].concat());
        let at = u64::from(head[0]) * 1_000_000 + u64::from(head[1]);
        ng.extend(block(
            6,
            &[swapped(&[0, (at >> 32) as u32, at as u32, head[2], head[3]]), bytes.clone()].concat(),
        ));
    }
    let mut mixed = file[..24].to_vec();
    for pair in packets.chunks(2) {
        for (head, bytes) in pair.iter().rev().chain(pair.first()) {
            head.iter().for_each(|w| mixed.extend(w.to_le_bytes()));
            mixed.extend(bytes);
        }
    }
    let whole = run(&["requests", kept]).1;
    for bytes in [classic, ng, mixed] {
        let other = site.folder.path().join("other.pcap");
        std::fs::write(&other, bytes).unwrap();
        let (code, out, log) = run(&["requests", other.to_str().unwrap()]);
        let sorted = |s: &str| {
            let mut lines: Vec<String> =
                s.lines().map(|l| l.split_once('\t').unwrap().1.to_string()).collect();
            lines.sort();
            lines
        };
        assert_eq!((code, sorted(&out)), (Some(0), sorted(&whole)), "{log}");
    }

    // Cut off within its last packet: what came before is listed, and the message names the place.
    let cut = site.folder.path().join("cut.pcap");
    std::fs::write(&cut, &file[..file.len() - 5]).unwrap();
    let (code, out, log) = run(&["requests", cut.to_str().unwrap()]);
    assert_eq!(code, Some(1));
    assert!(log.contains("behind offset") && log.contains("cut off"), "{log}");
    assert!(out.contains(ORDER));
    for foreign in [&b""[..], b"abc", b"a text that is no capture", &[0x0a, 0x0d, 0x0d, 0x0a, 9], &file[..20]]
    {
        std::fs::write(&cut, foreign).unwrap();
        let (code, _, log) = run(&["requests", cut.to_str().unwrap()]);
        assert_eq!(code, Some(1));
        assert!(log.contains("offset") && !log.contains("panic"), "{log}");
    }
}

#[test]
fn recording_ends_at_its_capacity() {
    let record = |f: &TestFolder| {
        format!("[record]\nfile = '{}'\ncapacity_mb = 0.01\n", f.path().join("small.pcap").display())
    };
    let mut site = Site::with(record);
    let mut client = site.client();
    for _ in 0..200 {
        client.query_drop(STOCK).unwrap();
    }
    site.router.wait_for_log("recording file full");
    drop(client);
    assert!(std::fs::metadata(site.folder.path().join("small.pcap")).unwrap().len() <= 10_000);
}
