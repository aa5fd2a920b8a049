//! The watch over real sockets, between a stand-in agent on loopback and the list's actor. The limits are small, so
//! that silence is noticed in 200 ms. Each wait is for a message; only a failure reaches its bound.
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use discovery::Watch;
use routing::{
    AttemptGuard, BackendProtocol, Connection, EndpointUpdate, Exchange, ExchangeResult, NotSent, Outcome,
    RouterMessage,
};
use settings::Limits;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

/// A wire that carries nothing: only the list's actor is wanted here.
struct NoWire;
struct NoLink(Arc<TcpStream>);

impl BackendProtocol for NoWire {
    type Payload = ();
    type Response = ();
    type Connection = NoLink;
    fn connect(&self, _: SocketAddr) -> Result<NoLink, Outcome> {
        unreachable!("no instance is asked")
    }
}

impl Connection<NoWire> for NoLink {
    fn socket(&self) -> Arc<TcpStream> {
        self.0.clone()
    }
    fn is_usable(&mut self, _: Duration) -> bool {
        false
    }
    fn execute(&mut self, _: Exchange<'_, NoWire>, _: &AttemptGuard) -> Result<ExchangeResult<()>, NotSent> {
        Err(NotSent::ConnectionBroken)
    }
}

/// An agent whose connections the test writes to, each with the index it asked for.
struct Agent {
    addr: SocketAddr,
    connections: Receiver<(String, TcpStream)>,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Agent {
    fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, connections) = unbounded();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (socket, mut request) = (socket.unwrap(), String::new());
                socket.set_nodelay(true).unwrap();
                let mut from = BufReader::new(socket.try_clone().unwrap());
                while !request.ends_with("\r\n\r\n") && from.read_line(&mut request).is_ok_and(|n| n > 0) {}
                let index = request.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                if to.send((index.to_string(), socket)).is_err() {
                    return;
                }
            }
        });
        Agent { addr, connections }
    }

    fn next(&self) -> (String, TcpStream) {
        self.connections.recv_timeout(LONG).expect("a connection")
    }

    /// The next connection that asks from this version. On a busy machine others may have been opened before it.
    fn asked(&self, from: &str) -> TcpStream {
        let mut next = (0..64).map(|_| self.next());
        next.find(|(index, _)| index == from).expect("a watch that asks from there").1
    }

    /// The next connection, its head written.
    fn watch(&self) -> TcpStream {
        let socket = self.next().1;
        (&socket).write_all(HEAD.as_bytes()).unwrap();
        socket
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn say(mut to: &TcpStream, text: &str) {
    to.write_all(chunk(text).as_bytes()).unwrap();
}

fn list(version: u64) -> String {
    format!(
        r#"{{"version":{version},"full":true,"servers":[{{"id":"a\"}}{version}","addr":"127.0.0.1:1","zone":"a","cell":1,"state":"in_service"}}]}}"#
    )
}

fn change(version: u64, id: &str, state: &str) -> String {
    format!(
        r#"{{"version":{version},"full":false,"servers":[{{"id":"{id}","addr":"127.0.0.1:1","zone":"a","cell":1,"state":"{state}"}}]}}"#
    )
}

struct Site {
    watch: Watch,
    list: routing::EndpointsHandle,
    news: Receiver<RouterMessage<NoWire>>,
    _keep: Sender<RouterMessage<NoWire>>,
}

impl Site {
    fn start(silent: u64, answer: u64) -> Site {
        let mut limits = Limits::new(256, 192 << 20, LONG, LONG, LONG);
        limits.watch_silent = Duration::from_millis(silent);
        limits.watch_answer = Duration::from_millis(answer);
        // Where silence is no part of a test, a second connection beside one that is about to speak isn't either.
        let retry = if silent < 1000 { [20, 100] } else { [1000, 1000] };
        limits.watch_retry = (Duration::from_millis(retry[0]), Duration::from_millis(retry[1]));
        // None has to give way, however slowly a test goes on.
        limits.watch_most = 64;
        let (to, news) = bounded(64);
        let list = routing::endpoints::start(&limits, to.clone(), None).unwrap();
        let watch = Watch::new(vec!["a".into()], Arc::new(limits), list.clone());
        Site { watch, list, news, _keep: to }
    }

    /// Has a new watch that asks from this version tell this. On a busy machine one may have been given up before it
    /// could; then the next does.
    fn hears(&self, agent: &Agent, from: &str, text: &str) -> (EndpointUpdate, TcpStream) {
        for _ in 0..16 {
            let socket = agent.asked(from);
            _ = (&socket).write_all((HEAD.to_string() + &chunk(text)).as_bytes());
            if let Ok(RouterMessage::Endpoints(news)) = self.news.recv_timeout(Duration::from_secs(2)) {
                return (news, socket);
            }
        }
        panic!("no new watch is heard");
    }

    fn news(&self) -> EndpointUpdate {
        match self.news.recv_timeout(LONG) {
            Ok(RouterMessage::Endpoints(news)) => news,
            _ => panic!("no news"),
        }
    }
}

#[test]
fn each_kind_of_silence_leads_to_a_watch_that_resumes_at_the_held_version() {
    type Silent = fn(&Agent);
    let kinds: [(&str, Silent); 5] = [
        ("accepts and says nothing", |agent| hold(agent.asked("5"))),
        ("a head and no line", |agent| begin(agent.asked("5"), HEAD)),
        ("half a line", |agent| begin(agent.asked("5"), &(HEAD.to_string() + &chunk(&list(9)[..40])))),
        ("half a head", |agent| begin(agent.asked("5"), &HEAD[..20])),
        ("closes at once", |agent| drop(agent.asked("5"))),
    ];
    for (kind, silent) in kinds {
        let (agent, site) = (Agent::start(), Site::start(200, 50));
        site.watch.follow(agent.addr).unwrap();
        let (news, old) = site.hears(&agent, "0", &list(5));
        assert_eq!(news.version, 5);
        // Silent from here on, and so is the first new connection.
        silent(&agent);
        assert_eq!(site.hears(&agent, "5", &list(6)).0.version, 6, "{kind}");
        drop(old);
    }
}

/// Writes this and nothing more; on a busy machine the connection may have been given up.
fn begin(socket: TcpStream, text: &str) {
    _ = (&socket).write_all(text.as_bytes());
    hold(socket);
}

/// Keeps a connection open for good.
fn hold(socket: TcpStream) {
    std::mem::forget(socket);
}

#[test]
fn bytes_that_never_end_a_line_make_the_watch_stale() {
    let (agent, site) = (Agent::start(), Site::start(200, 50));
    site.watch.follow(agent.addr).unwrap();
    let old = agent.watch();
    say(&old, &list(5));
    site.news();
    // A byte each 20 ms, far more often than a read gives up.
    say(&old, "{\"version\":6,\"x\":\"");
    loop {
        say(&old, "a");
        // One that asks from before was opened before the old one spoke.
        match agent.connections.recv_timeout(Duration::from_millis(20)) {
            Ok((index, _)) if index == "5" => break,
            _ => {}
        }
    }
    assert_eq!(site.hears(&agent, "5", &list(7)).0.version, 7);
}

#[test]
fn stale_watch_still_counts_while_new_ones_are_silent() {
    let (agent, site) = (Agent::start(), Site::start(100, 50));
    site.watch.follow(agent.addr).unwrap();
    let old = agent.watch();
    say(&old, &list(5));
    site.news();
    let silent: Vec<_> = (0..8).map(|_| agent.next().1).collect();
    say(&old, &list(6));
    assert_eq!(site.news().version, 6);
    // The new one that speaks at last ends all others.
    let new = agent.watch();
    say(&new, "\n");
    for socket in silent.iter().chain([&old]) {
        socket.set_read_timeout(Some(LONG)).unwrap();
        assert_eq!(std::io::Read::read(&mut &*socket, &mut [0; 1]).unwrap_or(0), 0, "closed");
    }
}

#[test]
fn indented_list_split_at_any_byte_is_applied() {
    let indented = list(7).replace(',', ",\n\n  ").replace('[', "[\r\n\t");
    let (agent, site) = (Agent::start(), Site::start(5000, 5000));
    site.watch.follow(agent.addr).unwrap();
    let socket = agent.watch();
    for at in 1..indented.len() {
        say(&socket, &indented[..at]);
        say(&socket, &indented[at..]);
        let news = site.news();
        assert_eq!((news.version, news.endpoints[0].id.as_str()), (7, "a\"}7"), "split at {at}");
    }
    // An object that is no list is not applied in part, and ends the watch; one that is nested deeply as well.
    say(&socket, &list(8).replace("in_service", "odd"));
    let (index, socket) = agent.next();
    assert_eq!(index, "7");
    (&socket).write_all(HEAD.as_bytes()).unwrap();
    say(&socket, &format!("{{\"servers\":{}{}}}", "[".repeat(100_000), "]".repeat(100_000)));
    assert_eq!(agent.next().0, "7");
    assert!(site.news.is_empty());
}

#[test]
fn wait_for_first_line_ends_with_an_update_or_an_empty_line() {
    let (agent, site) = (Agent::start(), Site::start(300, 50));
    assert!(!site.watch.wait_for_first_line(Duration::ZERO));
    site.watch.follow(agent.addr).unwrap();
    // Silent at first.
    let silent = agent.next();
    assert!(!site.watch.wait_for_first_line(Duration::from_millis(30)));
    let socket = agent.watch();
    say(&socket, &list(5));
    assert!(site.watch.wait_for_first_line(LONG));
    assert_eq!(site.news().version, 5);
    drop(silent);
    // An empty line says that there is no news.
    let (agent, site) = (Agent::start(), Site::start(300, 50));
    site.watch.follow(agent.addr).unwrap();
    say(&agent.watch(), "\n");
    assert!(site.watch.wait_for_first_line(LONG));
}

#[test]
fn new_address_that_is_silent_at_first_takes_over() {
    let (old, new, site) = (Agent::start(), Agent::start(), Site::start(60_000, 50));
    site.watch.follow(old.addr).unwrap();
    let before = old.watch();
    say(&before, &list(5));
    site.news();
    site.watch.follow(new.addr).unwrap();
    let silent = new.next();
    say(&before, &list(6));
    assert_eq!(site.news().version, 6);
    drop(before);
    // What is opened from here on may have asked before the list took version 6.
    let socket = new.watch();
    say(&socket, &list(7));
    assert_eq!(site.news().version, 7);
    assert!(old.connections.is_empty(), "the old address is left alone");
    drop(silent);
}

#[test]
fn update_of_a_stale_watch_is_applied_but_does_not_move_the_resume_version() {
    let (agent, site) = (Agent::start(), Site::start(100, 50));
    site.watch.follow(agent.addr).unwrap();
    let old = agent.watch();
    say(&old, &list(5));
    site.news();
    // It has fallen silent. Versions 6 and 7 never come on it, and then it speaks again.
    hold(agent.asked("5"));
    say(&old, &change(8, "a", "terminating"));
    assert_eq!(site.news().version, 8);
    // Those that are opened once the list has that ask for what was missed all the same.
    assert!(site.list.wait_until_applied(LONG));
    for _ in 0..8 {
        assert_eq!(agent.next().0, "5");
    }
    let (news, new) = site.hears(&agent, "5", &change(8, "b", "terminating"));
    assert_eq!((news.version, news.endpoints[0].id.as_str()), (8, "b"));
    drop(new);
    // Nothing is missing any more.
    agent.asked("8");
}

#[test]
fn restarted_versions_are_applied_and_the_complete_list_is_requested() {
    let (agent, site) = (Agent::start(), Site::start(60_000, 60_000));
    site.watch.follow(agent.addr).unwrap();
    let old = agent.watch();
    say(&old, &list(45));
    site.news();
    drop(old);
    // Begun anew, it gives changes alone.
    let (index, new) = agent.next();
    assert_eq!(index, "45");
    (&new).write_all(HEAD.as_bytes()).unwrap();
    say(&new, &change(2, "a", "terminating"));
    assert_eq!(site.news().version, 2);
    // What else has changed is not known.
    // Even now it gives changes alone.
    let (news, new) = site.hears(&agent, "0", &change(2, "b", "terminating"));
    assert_eq!(news.endpoints[0].id, "b");
    say(&new, &change(3, "c", "terminating"));
    assert_eq!(site.news().version, 3);
    assert!(site.list.wait_until_applied(LONG));
    drop(new);
    agent.asked("3");
}

#[test]
fn complete_list_of_the_same_or_a_lower_version_is_applied_after_a_move() {
    for version in [45, 7] {
        let (old, new, site) = (Agent::start(), Agent::start(), Site::start(60_000, 60_000));
        site.watch.follow(old.addr).unwrap();
        let before = old.watch();
        say(&before, &list(45));
        site.news();
        site.watch.follow(new.addr).unwrap();
        let socket = new.watch();
        say(&socket, &list(version));
        assert_eq!(site.news().version, version);
        // The old one is closed by that news; what it says behind it counts for nothing.
        before.set_read_timeout(Some(LONG)).unwrap();
        assert_eq!(std::io::Read::read(&mut &before, &mut [0; 1]).unwrap_or(0), 0, "closed");
        say(&socket, &change(version + 1, "b", "terminating"));
        assert_eq!(site.news().version, version + 1);
    }
}

#[test]
fn agent_that_sends_one_byte_at_a_time_is_heard() {
    let (agent, site) = (Agent::start(), Site::start(60_000, 60_000));
    site.watch.follow(agent.addr).unwrap();
    let (_, socket) = agent.next();
    let indented = list(5).replace(',', ",\n  ") + "\n";
    let whole = [HEAD.to_string(), chunk(&indented), chunk("\n"), chunk(&(list(6) + "\n"))].concat();
    for byte in whole.as_bytes() {
        (&socket).write_all(&[*byte]).unwrap();
    }
    assert_eq!([site.news().version, site.news().version], [5, 6]);
}

#[test]
fn longest_list_is_applied_and_an_endless_one_ends_the_connection() {
    let (agent, site) = (Agent::start(), Site::start(60_000, 60_000));
    site.watch.follow(agent.addr).unwrap();
    let socket = agent.watch();
    // An indented list of 4 MB, whole in one chunk.
    let most = Limits::new(256, 192 << 20, LONG, LONG, LONG).list_bytes;
    assert_eq!(most, 4 << 20);
    let entry = |n: usize| {
        format!(
            "\n    {{\"id\": \"i{n}\", \"addr\": \"127.0.0.1:1\", \"zone\": \"a\", \"cell\": 1, \"state\": \"in_service\"}}"
        )
    };
    let servers: Vec<String> = (0..40_000).map(entry).collect();
    let text = format!("{{\n  \"version\": 5, \"full\": true, \"servers\": [{}]", servers.join(","));
    let text = format!("{text}{}}}\n", " ".repeat(most - text.len() - 1));
    say(&socket, &text);
    let news = site.news();
    assert_eq!((news.version, news.endpoints.len()), (5, 40_000));
    // An object that never ends: the reader gives it up, at a byte more than its bound.
    let mut endless = socket;
    endless.write_all(chunk("{\"version\":6,\"x\":\"").as_bytes()).unwrap();
    let more = chunk(&"a".repeat(1 << 16));
    let taken = (0..1024).take_while(|_| endless.write_all(more.as_bytes()).is_ok()).count();
    // What the kernel holds on both sides comes on top.
    assert!((64..512).contains(&taken), "{taken} pieces of 64 KiB were taken");
    let socket = agent.asked("5");
    // So it does with a head and with a chunk's size that never end.
    _ = (&socket).write_all(&[HEAD.as_bytes(), &[b'0'; 100]].concat());
    let (_, socket) = agent.next();
    _ = (&socket).write_all(format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)).as_bytes());
    let socket = agent.watch();
    say(&socket, &list(7));
    assert_eq!(site.news().version, 7);
}

#[test]
fn changes_of_a_lagging_new_address_below_the_held_version_are_ignored() {
    let (old, new, site) = (Agent::start(), Agent::start(), Site::start(60_000, 60_000));
    site.watch.follow(old.addr).unwrap();
    let before = old.watch();
    say(&before, &list(45));
    site.news();
    site.watch.follow(new.addr).unwrap();
    let (index, socket) = new.next();
    assert_eq!(index, "45");
    (&socket).write_all(HEAD.as_bytes()).unwrap();
    // It gives on whatever it gets, also what lies before the version asked for.
    say(&socket, &change(44, "b", "in_service"));
    say(&socket, &change(46, "c", "terminating"));
    assert_eq!(site.news().version, 46);
    drop(socket);
    new.asked("46");
}
