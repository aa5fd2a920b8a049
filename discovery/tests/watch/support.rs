//! A scripted discovery agent, and a watch whose updates the test receives.
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use discovery::Watch;
use routing::{EndpointUpdate, EndpointsHandle, RouterMessage};
use settings::Limits;
use settings::limits::Backoff;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use testkit::routing::{NoProtocol, TIMEOUT, start_endpoints};

/// The head of a chunked response.
pub(crate) const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes text as one chunk of a body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A complete list with one server, whose ID contains a quote and a brace to test the splitting of objects.
pub(crate) fn complete_list(version: u64) -> String {
    format!(
        r#"{{"version":{version},"full":true,"servers":[{{"id":"a\"}}{version}","addr":"127.0.0.1:1","zone":"a","cell":1,"state":"in_service"}}]}}"#
    )
}

/// A change with one server.
pub(crate) fn change(version: u64, id: &str, state: &str) -> String {
    format!(
        r#"{{"version":{version},"full":false,"servers":[{{"id":"{id}","addr":"127.0.0.1:1","zone":"a","cell":1,"state":"{state}"}}]}}"#
    )
}

/// Default limits, of which tests change some.
pub(crate) fn limits() -> Limits {
    testkit::routing::limits(TIMEOUT)
}

/// The agent's side of a connection whose request has been read; nothing has been written yet.
pub(crate) struct AgentConnection {
    pub(crate) request: String,
    pub(crate) socket: TcpStream,
}

impl AgentConnection {
    fn accept(socket: TcpStream) -> AgentConnection {
        socket.set_nodelay(true).unwrap();
        let mut request = String::new();
        let mut reader = BufReader::new(socket.try_clone().unwrap());
        while !request.ends_with("\r\n\r\n") && reader.read_line(&mut request).is_ok_and(|n| n > 0) {}
        AgentConnection { request, socket }
    }

    /// The version that the connection resumes from.
    pub(crate) fn resume_version(&self) -> &str {
        self.request.split("index=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("")
    }

    pub(crate) fn send_head(&self) {
        self.send_raw(HEAD.as_bytes()).unwrap();
    }

    pub(crate) fn send_chunk(&self, text: &str) {
        self.send_raw(chunk(text).as_bytes()).unwrap();
    }

    pub(crate) fn send_raw(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.socket).write_all(bytes)
    }

    /// Sends this text and nothing more, and leaves the connection open. On a busy machine the watch may have
    /// closed it.
    pub(crate) fn send_and_leave_open(self, text: &str) {
        _ = self.send_raw(text.as_bytes());
        self.leave_open();
    }

    /// Leaves the connection open until the process ends.
    pub(crate) fn leave_open(self) {
        std::mem::forget(self.socket);
    }

    #[track_caller]
    pub(crate) fn assert_closed(&self) {
        self.socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert_eq!((&self.socket).read(&mut [0; 1]).unwrap_or(0), 0, "closed");
    }
}

/// A discovery agent whose connections are controlled by the test.
pub(crate) struct ScriptedAgent {
    pub(crate) addr: SocketAddr,
    pub(crate) connections: Receiver<AgentConnection>,
}

impl ScriptedAgent {
    pub(crate) fn start() -> ScriptedAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (sender, connections) = unbounded();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                if sender.send(AgentConnection::accept(socket.unwrap())).is_err() {
                    return;
                }
            }
        });
        ScriptedAgent { addr, connections }
    }

    pub(crate) fn next(&self) -> AgentConnection {
        self.connections.recv_timeout(TIMEOUT).expect("timed out waiting for a connection")
    }

    /// The next connection that resumes from this version. Skips other connections, which may be opened
    /// before on a busy machine.
    pub(crate) fn next_resuming_from(&self, resume_version: &str) -> AgentConnection {
        let mut next = (0..64).map(|_| self.next());
        next.find(|connection| connection.resume_version() == resume_version)
            .expect("no connection resumes from this version")
    }

    /// The next connection, after sending the response head.
    pub(crate) fn next_with_head(&self) -> AgentConnection {
        let connection = self.next();
        connection.send_head();
        connection
    }
}

/// The timeouts of a watch that differ between tests.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    pub(crate) stale_after: Duration,
    pub(crate) first_line_timeout: Duration,
}

impl Timing {
    /// For tests in which no watch becomes stale.
    pub(crate) const NEVER_STALE: Timing = Timing::from_millis(60_000, 60_000);
    /// No watch becomes stale, but further connections are opened soon if a first line is missing.
    pub(crate) const SHORT_FIRST_LINE: Timing = Timing::from_millis(60_000, 50);

    pub(crate) const fn from_millis(stale_after: u64, first_line_timeout: u64) -> Timing {
        Timing {
            stale_after: Duration::from_millis(stale_after),
            first_line_timeout: Duration::from_millis(first_line_timeout),
        }
    }

    /// Minimum and maximum interval between two openings. They are long in tests without staleness, so that
    /// no second connection is opened before the first line is received.
    fn backoff(self) -> Backoff {
        let (min_ms, max_ms) =
            if self.stale_after < Duration::from_secs(1) { (20, 100) } else { (1000, 1000) };
        Backoff { min: Duration::from_millis(min_ms), max: Duration::from_millis(max_ms) }
    }
}

/// A watch and the updates applied by its endpoint list.
pub(crate) struct WatchedList {
    pub(crate) watch: Watch,
    pub(crate) list: EndpointsHandle,
    pub(crate) updates: Receiver<RouterMessage<NoProtocol>>,
    _sender: Sender<RouterMessage<NoProtocol>>,
}

impl WatchedList {
    /// Starts a watch that follows no address yet.
    pub(crate) fn start(timing: Timing) -> WatchedList {
        let mut limits = limits();
        limits.watch_silence_timeout = timing.stale_after;
        limits.watch_first_line_timeout = timing.first_line_timeout;
        limits.watch_backoff = timing.backoff();
        // The limit is so high that no pending connection is closed in favour of a new one, even in a slow
        // test.
        limits.max_pending_watches = 64;
        let (sender, updates) = bounded(64);
        let list = start_endpoints(&limits, sender.clone(), None);
        let watch = Watch::new(vec!["a".into()], Arc::new(limits), list.clone());
        WatchedList { watch, list, updates, _sender: sender }
    }

    /// Starts a watch that follows this agent.
    pub(crate) fn following(agent: &ScriptedAgent, timing: Timing) -> WatchedList {
        let watched = WatchedList::start(timing);
        watched.watch.follow(agent.addr).unwrap();
        watched
    }

    /// Starts a watch that follows the given agent and has applied a complete list of the given version. Also
    /// returns the connection on which the list was received.
    pub(crate) fn with_applied_list(
        agent: &ScriptedAgent,
        timing: Timing,
        version: u64,
    ) -> (WatchedList, AgentConnection) {
        let watched = WatchedList::following(agent, timing);
        let connection = agent.next_with_head();
        connection.send_chunk(&complete_list(version));
        assert_eq!(watched.next_update().version, version);
        (watched, connection)
    }

    pub(crate) fn next_update(&self) -> EndpointUpdate {
        match self.updates.recv_timeout(TIMEOUT) {
            Ok(RouterMessage::Endpoints(update)) => update,
            _ => panic!("timed out waiting for an update"),
        }
    }

    /// Sends this text on a new connection that resumes from this version, and returns the update that is
    /// applied. On a busy machine the watch may have closed the connection before; then the next one is used.
    pub(crate) fn update_resumed_from(
        &self,
        agent: &ScriptedAgent,
        resume_version: &str,
        text: &str,
    ) -> (EndpointUpdate, AgentConnection) {
        for _ in 0..16 {
            let connection = agent.next_resuming_from(resume_version);
            _ = connection.send_raw((HEAD.to_string() + &chunk(text)).as_bytes());
            let update = self.updates.recv_timeout(Duration::from_secs(2));
            if let Ok(RouterMessage::Endpoints(update)) = update {
                return (update, connection);
            }
        }
        panic!("no update was applied from any new connection");
    }
}
