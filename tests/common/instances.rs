//! Several instances of the program that share servers and exchange session state, and their clients.
use super::TIMEOUT;
use super::environment::{TestFolder, unused_addresses};
use super::program::Program;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;

/// Where instances store session positions besides memory.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Persistence {
    /// Positions are stored in the journal on disk and at peers.
    DiskAndPeers,
    /// Positions are stored only at peers.
    Peers,
    /// Positions are stored only in the journal on disk.
    Disk,
    /// Positions are not stored; after a start, reads whose session position is not known require a floor
    /// position.
    FloorOnly,
    /// Positions are not stored and there is no floor: they are lost when the process ends.
    None,
}

/// Further keys for an instance's configuration file.
#[derive(Clone, Default)]
pub(crate) struct ExtraKeys {
    /// Keys of the `[mysql]` table.
    pub(crate) mysql: String,
    /// Keys of the `[sessions]` table.
    pub(crate) sessions: String,
}

/// An instance's process, and its address for clients.
pub(crate) struct RunningInstance {
    pub(crate) program: Program,
    pub(crate) address: SocketAddr,
}

pub(crate) struct Instances {
    pub(crate) servers: ReplicationGroup,
    pub(crate) folder: TestFolder,
    pub(crate) persistence: Persistence,
    /// Address at which each instance listens for its peers.
    pub(crate) peer_addresses: Vec<SocketAddr>,
    /// Addresses at which each instance connects to each peer.
    pub(crate) known_peer_addresses: Vec<Vec<SocketAddr>>,
    /// Further keys for each instance's configuration file.
    pub(crate) extra_keys: Vec<ExtraKeys>,
    pub(crate) running: Vec<Option<RunningInstance>>,
}

pub(crate) fn insert(key: &str, n: u64) -> String {
    format!("INSERT INTO basket VALUES ('{key}', {n}) /* c=basket-add,s={key} */")
}

pub(crate) fn select(key: &str) -> String {
    format!("SELECT n FROM basket WHERE k = '{key}' /* c=basket-read,s={key} */")
}

/// What a read returned.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct ReadResult {
    /// The newest item that the read returned.
    pub(crate) item: u64,
    /// Name of the server that responded.
    pub(crate) server: String,
}

impl ReadResult {
    pub(crate) fn of(item: u64, server: &str) -> ReadResult {
        ReadResult { item, server: server.into() }
    }

    pub(crate) fn is_from_replica(&self) -> bool {
        self.server.starts_with("replica")
    }
}

impl Instances {
    /// Creates instances without starting them.
    pub(crate) fn new(count: usize, servers: ReplicationGroup, persistence: Persistence) -> Instances {
        let peer_addresses = unused_addresses(count);
        Instances {
            servers,
            folder: TestFolder::new(),
            persistence,
            known_peer_addresses: vec![peer_addresses.clone(); count],
            peer_addresses,
            extra_keys: vec![ExtraKeys::default(); count],
            running: (0..count).map(|_| None).collect(),
        }
    }

    /// Starts instances and waits until their peers are up to date.
    pub(crate) fn started(count: usize, servers: ReplicationGroup, persistence: Persistence) -> Instances {
        let mut instances = Instances::new(count, servers, persistence);
        instances.start_all();
        instances
    }

    /// Starts every instance and waits until their peers are up to date.
    pub(crate) fn start_all(&mut self) {
        let count = self.peer_addresses.len();
        (0..count).for_each(|i| self.start(i));
        (0..count).for_each(|i| self.wait_for_peers(i));
    }

    /// Folder of an instance's session journal.
    pub(crate) fn journal_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("kept-{i}"))
    }

    /// Writes an instance's configuration file with these peers.
    pub(crate) fn write_config(&self, i: usize, peers: &[usize]) -> PathBuf {
        let server = |(name, addr)| format!("[[mysql.server]]\nid = '{name}'\naddr = '{addr}'\n");
        let servers: String = self.servers.servers().into_iter().map(server).collect();
        let class = |name, freshness, effect| {
            format!(
                "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 2000\n\
                 deadline_ms = 4000\n"
            )
        };
        let classes = class("basket-read", "session", "safe") + &class("basket-add", "write", "unsafe");
        let peer = |p: &usize| {
            format!(
                "[[sessions.peer]]\ninstance = {}\naddr = '{}'\n",
                p + 1,
                self.known_peer_addresses[i][*p]
            )
        };
        let peers: String = match self.persistence {
            Persistence::DiskAndPeers | Persistence::Peers => {
                peers.iter().filter(|p| **p != i).map(peer).collect()
            }
            _ => String::new(),
        };
        let persistence_keys = match self.persistence {
            Persistence::DiskAndPeers | Persistence::Disk => {
                format!("folder = '{}'\n", self.journal_folder(i).display())
            }
            Persistence::Peers | Persistence::FloorOnly => String::new(),
            Persistence::None => "after_start = 'trust'\n".into(),
        };
        let ExtraKeys { mysql, sessions } = &self.extra_keys[i];
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             server_clock = true\nclock_skew_ms = 1\n{mysql}\n[[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             {classes}{servers}[sessions]\ninstance = {}\nlisten = '{}'\n{persistence_keys}{sessions}\n{peers}",
            i + 1,
            self.peer_addresses[i]
        );
        self.folder.write(&format!("instance-{i}.toml"), &text)
    }

    /// Waits until every instance sends a new session's reads to replicas, then stops replication: later
    /// writes are only on the primary.
    pub(crate) fn freeze_replicas(&mut self) {
        for i in 0..self.running.len() {
            let (mut client, started_at) = (self.client(i), Instant::now());
            while !read(&mut client, "nobody").unwrap().is_from_replica() {
                assert!(started_at.elapsed() < TIMEOUT);
            }
        }
        self.servers.stop_replication();
    }

    pub(crate) fn start(&mut self, i: usize) {
        let peers: Vec<usize> = (0..self.peer_addresses.len()).collect();
        let path = self.write_config(i, &peers);
        let mut program = Program::start(&["serve", path.to_str().unwrap()], &[]);
        let address = program.listening_address();
        self.running[i] = Some(RunningInstance { program, address });
    }

    pub(crate) fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().program
    }

    /// Waits until an instance logs that all its session peers are up to date.
    pub(crate) fn wait_for_peers(&mut self, i: usize) {
        self.program(i).wait_for_log("session peers up to date");
    }

    /// Kills an instance with SIGKILL.
    pub(crate) fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }

    pub(crate) fn address(&self, i: usize) -> SocketAddr {
        self.running[i].as_ref().unwrap().address
    }

    pub(crate) fn client(&self, i: usize) -> Conn {
        connect(self.address(i)).unwrap()
    }

    /// The status that `sessions show` prints for an instance.
    pub(crate) fn status(&self, i: usize) -> serde_json::Value {
        let (code, out) =
            Program::start(&["sessions", "show", &self.peer_addresses[i].to_string()], &[]).wait_for_exit();
        assert_eq!(code, Some(0));
        serde_json::from_str(&out).unwrap()
    }

    /// Polls an instance's status until the condition holds.
    pub(crate) fn wait_for_status(
        &self,
        i: usize,
        is_wanted: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let started_at = Instant::now();
        loop {
            let status = self.status(i);
            if is_wanted(&status) {
                return status;
            }
            assert!(started_at.elapsed() < TIMEOUT, "{status}");
        }
    }
}

pub(crate) fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let options =
        OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let options = options.user(Some("till")).pass(Some("secret")).db_name(Some("shop"));
    Conn::new(options.tcp_connect_timeout(Some(Duration::from_secs(2))).read_timeout(Some(TIMEOUT)))
}

pub(crate) fn read(client: &mut Conn, key: &str) -> mysql::Result<ReadResult> {
    let (item, server): (String, String) = client.query_first(select(key))?.unwrap();
    Ok(ReadResult { item: item.parse().unwrap(), server })
}

pub(crate) fn write(client: &mut Conn, key: &str, n: u64) -> mysql::Result<()> {
    client.query_drop(insert(key, n))
}
