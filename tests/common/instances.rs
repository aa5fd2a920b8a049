//! Several instances of the real program that share servers, and clients with sessions of their own.
use super::TIMEOUT;
use super::environment::{TestFolder, unused_addresses};
use super::program::Program;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;

/// How instances keep what sessions must see.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum SessionRetention {
    /// On disk and among peers.
    JournalAndPeers,
    /// Among peers alone.
    PeersOnly,
    /// On disk alone.
    JournalOnly,
    /// The floor after a start, and nothing else.
    MinimumPositionOnly,
    /// Not at all: what is lost with a process is believed away.
    Forgotten,
}

pub(crate) struct Instances {
    pub(crate) fleet: ReplicationGroup,
    pub(crate) folder: TestFolder,
    pub(crate) retention: SessionRetention,
    /// Where each one listens for its peers.
    pub(crate) peer_listeners: Vec<SocketAddr>,
    /// Where each one finds each peer.
    pub(crate) peer_addresses: Vec<Vec<SocketAddr>>,
    /// More keys of `[mysql]` and `[sessions]` for each one.
    pub(crate) extra_settings: Vec<(String, String)>,
    pub(crate) running: Vec<Option<(Program, SocketAddr)>>,
}

pub(crate) fn insert(key: &str, n: u64) -> String {
    format!("INSERT INTO basket VALUES ('{key}', {n}) /* c=basket-add,s={key} */")
}

pub(crate) fn select(key: &str) -> String {
    format!("SELECT n FROM basket WHERE k = '{key}' /* c=basket-read,s={key} */")
}

/// What a read gave: the newest item, and which server answered.
pub(crate) type ReadResult = (u64, String);

impl Instances {
    /// Instances that are set up, not started yet.
    pub(crate) fn new(n: usize, fleet: ReplicationGroup, retention: SessionRetention) -> Instances {
        let peer_listeners = unused_addresses(n);
        Instances {
            fleet,
            folder: TestFolder::new(),
            retention,
            peer_addresses: vec![peer_listeners.clone(); n],
            peer_listeners,
            extra_settings: vec![Default::default(); n],
            running: (0..n).map(|_| None).collect(),
        }
    }

    pub(crate) fn started(n: usize, fleet: ReplicationGroup, retention: SessionRetention) -> Instances {
        let mut all = Instances::new(n, fleet, retention);
        (0..n).for_each(|i| all.start(i));
        (0..n).for_each(|i| all.wait_until_peers_up_to_date(i));
        all
    }

    pub(crate) fn journal_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("journal-{i}"))
    }

    /// Writes an instance's file, with these peers.
    pub(crate) fn write_settings(&self, i: usize, peers: &[usize]) -> PathBuf {
        let server = |(name, addr)| format!("[[mysql.server]]\nid = '{name}'\naddr = '{addr}'\n");
        let servers: String = self.fleet.servers().into_iter().map(server).collect();
        let class = |name, freshness, effect| {
            format!(
                "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 2000\n\
                 deadline_ms = 4000\n"
            )
        };
        let classes = class("basket-read", "session", "safe") + &class("basket-add", "write", "unsafe");
        let peer = |p: &usize| {
            format!("[[sessions.peer]]\ninstance = {}\naddr = '{}'\n", p + 1, self.peer_addresses[i][*p])
        };
        let peers: String = match self.retention {
            SessionRetention::JournalAndPeers | SessionRetention::PeersOnly => {
                peers.iter().filter(|p| **p != i).map(peer).collect()
            }
            _ => String::new(),
        };
        let keeps = match self.retention {
            SessionRetention::JournalAndPeers | SessionRetention::JournalOnly => {
                format!("folder = '{}'\n", self.journal_folder(i).display())
            }
            SessionRetention::PeersOnly | SessionRetention::MinimumPositionOnly => String::new(),
            SessionRetention::Forgotten => "after_start = 'trust'\n".into(),
        };
        let (mysql, sessions) = &self.extra_settings[i];
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             server_clock = true\nclock_skew_ms = 1\n{mysql}\n[[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             {classes}{servers}[sessions]\ninstance = {}\nlisten = '{}'\n{keeps}{sessions}\n{peers}",
            i + 1,
            self.peer_listeners[i]
        );
        self.folder.write(&format!("instance-{i}.toml"), &text)
    }

    /// Waits until every instance sends a new session's reads to replicas, and stops replication then: whatever is
    /// written from now on is on the primary alone.
    pub(crate) fn stop_replication_once_replicas_serve(&mut self) {
        for i in 0..self.running.len() {
            let (mut client, begun) = (self.client(i), Instant::now());
            while !read(&mut client, "nobody").unwrap().1.starts_with("replica") {
                assert!(begun.elapsed() < TIMEOUT);
            }
        }
        self.fleet.stop_replication();
    }

    pub(crate) fn start(&mut self, i: usize) {
        let all: Vec<usize> = (0..self.peer_listeners.len()).collect();
        let path = self.write_settings(i, &all);
        let mut program = Program::serve(&path);
        let addr = program.listening_address();
        self.running[i] = Some((program, addr));
    }

    pub(crate) fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until an instance relies on all its peers.
    pub(crate) fn wait_until_peers_up_to_date(&mut self, i: usize) {
        self.program(i).wait_for_log("session peers up to date");
    }

    /// SIGKILL.
    pub(crate) fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }

    pub(crate) fn addr(&self, i: usize) -> SocketAddr {
        self.running[i].as_ref().unwrap().1
    }

    pub(crate) fn client(&self, i: usize) -> Conn {
        connect(self.addr(i)).unwrap()
    }

    /// What an instance says of itself.
    pub(crate) fn status(&self, i: usize) -> serde_json::Value {
        let (code, out) =
            Program::start(&["sessions", "show", &self.peer_listeners[i].to_string()], &[]).wait_for_exit();
        assert_eq!(code, Some(0));
        serde_json::from_str(&out).unwrap()
    }

    /// Asks an instance until what it says of itself is so; only a failure takes long.
    pub(crate) fn wait_for_status(
        &self,
        i: usize,
        is: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let begun = Instant::now();
        loop {
            let shown = self.status(i);
            if is(&shown) {
                return shown;
            }
            assert!(begun.elapsed() < TIMEOUT, "{shown}");
        }
    }
}

pub(crate) fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let at = at.user(Some("till")).pass(Some("secret")).db_name(Some("shop"));
    Conn::new(at.tcp_connect_timeout(Some(Duration::from_secs(2))).read_timeout(Some(TIMEOUT)))
}

pub(crate) fn read(client: &mut Conn, key: &str) -> mysql::Result<ReadResult> {
    let (n, by): (String, String) = client.query_first(select(key))?.unwrap();
    Ok((n.parse().unwrap(), by))
}

pub(crate) fn write(client: &mut Conn, key: &str, n: u64) -> mysql::Result<()> {
    client.query_drop(insert(key, n))
}
