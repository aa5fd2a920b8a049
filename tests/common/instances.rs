//! Several instances of the real program that share servers, and clients with sessions of their own.
#![allow(dead_code)]
use crate::common::{Folder, LONG, Program};
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;

pub use crate::common::ports;

/// How instances keep what sessions must see.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Keeping {
    /// On disk and among peers.
    Whole,
    /// Among peers alone.
    Peers,
    /// On disk alone.
    Disk,
    /// The floor after a start, and nothing else.
    Floor,
    /// Not at all: what is lost with a process is believed away.
    Nothing,
}

pub struct Instances {
    pub fleet: ReplicationGroup,
    pub folder: Folder,
    pub keeping: Keeping,
    /// Where each one listens for its peers.
    pub listen: Vec<SocketAddr>,
    /// Where each one finds each peer.
    pub finds: Vec<Vec<SocketAddr>>,
    /// More keys of `[mysql]` and `[sessions]` for each one.
    pub more: Vec<(String, String)>,
    pub running: Vec<Option<(Program, SocketAddr)>>,
}

pub fn insert(key: &str, n: u64) -> String {
    format!("INSERT INTO basket VALUES ('{key}', {n}) /* c=basket-add,s={key} */")
}

pub fn select(key: &str) -> String {
    format!("SELECT n FROM basket WHERE k = '{key}' /* c=basket-read,s={key} */")
}

/// What a read gave: the newest item, and which server answered.
pub type Seen = (u64, String);

impl Instances {
    /// Instances that are set up, not started yet.
    pub fn new(n: usize, fleet: ReplicationGroup, keeping: Keeping) -> Instances {
        let listen = ports(n);
        Instances {
            fleet,
            folder: Folder::new(),
            keeping,
            finds: vec![listen.clone(); n],
            listen,
            more: vec![Default::default(); n],
            running: (0..n).map(|_| None).collect(),
        }
    }

    pub fn started(n: usize, fleet: ReplicationGroup, keeping: Keeping) -> Instances {
        let mut all = Instances::new(n, fleet, keeping);
        (0..n).for_each(|i| all.start(i));
        (0..n).for_each(|i| all.relied(i));
        all
    }

    pub fn kept_in(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("kept-{i}"))
    }

    /// Writes an instance's file, with these peers.
    pub fn file(&self, i: usize, peers: &[usize]) -> PathBuf {
        let server = |(name, addr)| format!("[[mysql.server]]\nid = '{name}'\naddr = '{addr}'\n");
        let servers: String = self.fleet.servers().into_iter().map(server).collect();
        let class = |name, freshness, effect| {
            format!(
                "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 2000\n\
                 deadline_ms = 4000\n"
            )
        };
        let classes = class("basket-read", "session", "safe") + &class("basket-add", "write", "unsafe");
        let peer =
            |p: &usize| format!("[[sessions.peer]]\ninstance = {}\naddr = '{}'\n", p + 1, self.finds[i][*p]);
        let peers: String = match self.keeping {
            Keeping::Whole | Keeping::Peers => peers.iter().filter(|p| **p != i).map(peer).collect(),
            _ => String::new(),
        };
        let keeps = match self.keeping {
            Keeping::Whole | Keeping::Disk => format!("folder = '{}'\n", self.kept_in(i).display()),
            Keeping::Peers | Keeping::Floor => String::new(),
            Keeping::Nothing => "after_start = 'trust'\n".into(),
        };
        let (mysql, sessions) = &self.more[i];
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             server_clock = true\nclock_skew_ms = 1\n{mysql}\n[[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             {classes}{servers}[sessions]\ninstance = {}\nlisten = '{}'\n{keeps}{sessions}\n{peers}",
            i + 1,
            self.listen[i]
        );
        self.folder.write(&format!("instance-{i}.toml"), &text)
    }

    /// Waits until every instance sends a new session's reads to replicas, and stops replication then: whatever is
    /// written from now on is on the primary alone.
    pub fn settle(&mut self) {
        for i in 0..self.running.len() {
            let (mut client, begun) = (self.client(i), Instant::now());
            while !read(&mut client, "nobody").unwrap().1.starts_with("replica") {
                assert!(begun.elapsed() < LONG);
            }
        }
        self.fleet.stop_replication();
    }

    pub fn start(&mut self, i: usize) {
        let all: Vec<usize> = (0..self.listen.len()).collect();
        let path = self.file(i, &all);
        let mut program = Program::start(&["serve", path.to_str().unwrap()], &[]);
        let addr = program.listening();
        self.running[i] = Some((program, addr));
    }

    pub fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until an instance relies on all its peers.
    pub fn relied(&mut self, i: usize) {
        self.program(i).logged("session peers up to date");
    }

    /// SIGKILL.
    pub fn kill(&mut self, i: usize) {
        self.running[i] = None;
    }

    pub fn addr(&self, i: usize) -> SocketAddr {
        self.running[i].as_ref().unwrap().1
    }

    pub fn client(&self, i: usize) -> Conn {
        connect(self.addr(i)).unwrap()
    }

    /// What an instance says of itself.
    pub fn shown(&self, i: usize) -> serde_json::Value {
        let (code, out) = Program::start(&["sessions", "show", &self.listen[i].to_string()], &[]).ended();
        assert_eq!(code, Some(0));
        serde_json::from_str(&out).unwrap()
    }

    /// Asks an instance until what it says of itself is so; only a failure takes long.
    pub fn until(&self, i: usize, is: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
        let begun = Instant::now();
        loop {
            let shown = self.shown(i);
            if is(&shown) {
                return shown;
            }
            assert!(begun.elapsed() < LONG, "{shown}");
        }
    }
}

pub fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let at = at.user(Some("till")).pass(Some("secret")).db_name(Some("shop"));
    Conn::new(at.tcp_connect_timeout(Some(Duration::from_secs(2))).read_timeout(Some(LONG)))
}

pub fn read(client: &mut Conn, key: &str) -> mysql::Result<Seen> {
    let (n, by): (String, String) = client.query_first(select(key))?.unwrap();
    Ok((n.parse().unwrap(), by))
}

pub fn write(client: &mut Conn, key: &str, n: u64) -> mysql::Result<()> {
    client.query_drop(insert(key, n))
}

/// Reads that follow each write of a session in a loop of kills.
const READS: usize = 10;

/// What a loop of kills found.
#[derive(Default, Debug)]
pub struct Found {
    pub kills: u64,
    pub writes: u64,
    pub reads: u64,
    /// Reads that showed less than their session had been told.
    pub missed: u64,
    /// Reads that a replica answered.
    pub by_replicas: u64,
    pub errors: u64,
}

/// Kills and restarts instances one after the other while sessions write and read; `wander`: each session goes to
/// another instance for every statement.
pub fn restart_loop(instances: &mut Instances, kills: u64, sessions: usize, wander: bool) -> Found {
    let n = instances.listen.len();
    let addrs: Arc<Vec<AtomicU64>> =
        Arc::new((0..n).map(|i| AtomicU64::new(u64::from(instances.addr(i).port()))).collect());
    let done = Arc::new(AtomicBool::new(false));
    let (step_done, steps) = std::sync::mpsc::sync_channel::<()>(1024);
    let session = |s: usize| {
        let (addrs, done, step_done) = (addrs.clone(), done.clone(), step_done.clone());
        std::thread::spawn(move || {
            let (key, mut found, mut told, mut next) = (format!("member-{s}"), Found::default(), 0, 0);
            let mut open: Vec<Option<(u64, Conn)>> = (0..n).map(|_| None).collect();
            let mut at = s % n;
            while !done.load(Ordering::Relaxed) {
                next += 1;
                for step in 0..=READS {
                    if wander {
                        at = (at + 1 + (next as usize + step) % 2) % n;
                    }
                    let port = addrs[at].load(Ordering::Relaxed);
                    if open[at].as_ref().is_none_or(|(p, _)| *p != port) {
                        open[at] = connect(([127, 0, 0, 1], port as u16).into()).ok().map(|c| (port, c));
                    }
                    let Some((_, conn)) = &mut open[at] else {
                        found.errors += 1;
                        // The instance is down: the next one may not be.
                        std::thread::yield_now();
                        continue;
                    };
                    let ended = if step == 0 {
                        let ended = write(conn, &key, next);
                        if ended.is_ok() {
                            (told, found.writes) = (next, found.writes + 1);
                        }
                        ended
                    } else {
                        read(conn, &key).map(|(seen, by)| {
                            found.reads += 1;
                            found.missed += u64::from(seen < told);
                            found.by_replicas += u64::from(by != "primary");
                        })
                    };
                    if ended.is_ok() {
                        _ = step_done.try_send(());
                    }
                    if ended.is_err() {
                        found.errors += 1;
                        open[at] = None;
                    }
                }
            }
            found
        })
    };
    let threads: Vec<_> = (0..sessions).map(session).collect();
    let mut total = Found::default();
    for k in 0..kills {
        let i = k as usize % n;
        instances.kill(i);
        instances.start(i);
        addrs[i].store(u64::from(instances.addr(i).port()), Ordering::Relaxed);
        total.kills += 1;
        // The sessions go on in between.
        (0..30).for_each(|_| steps.recv_timeout(LONG).unwrap());
    }
    done.store(true, Ordering::Relaxed);
    for t in threads {
        let f = t.join().unwrap();
        total.writes += f.writes;
        total.reads += f.reads;
        total.missed += f.missed;
        total.by_replicas += f.by_replicas;
        total.errors += f.errors;
    }
    total
}
