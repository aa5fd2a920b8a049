//! One fleet: real processes that share a store, quotas and places, in front of stand-in `MySQL` servers. What was
//! admitted is what the servers have run: writes that must not run twice, so each counts once.
mod common;
use common::TIMEOUT;
use common::environment::{TestFolder, unused_addresses};
use common::installation::{self, toml_list};
use common::program::{Program, Signal};
use mysql::Conn;
use mysql::prelude::Queryable;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;

/// What a router is lent ends within this time after the last exchange.
const LOAN: Duration = Duration::from_millis(2100);

/// What a command of `fleet` says: its output, or its message.
fn command(arguments: &[&str]) -> Result<String, String> {
    let mut program = Program::start(&[&["fleet"], arguments].concat(), &[]);
    let log = std::mem::replace(&mut program.log, std::sync::mpsc::channel().1);
    let (code, out) = program.wait_for_exit();
    if code == Some(0) { Ok(out) } else { Err(log.iter().collect::<Vec<_>>().join("\n")) }
}

/// The version that a command names.
fn version(said: Result<String, String>) -> u64 {
    said.unwrap().trim().strip_prefix("version ").unwrap().parse().unwrap()
}

/// Three nodes of the store that route, and routers that are no nodes.
struct Installation {
    servers: ReplicationGroup,
    folder: TestFolder,
    peers: Vec<SocketAddr>,
    clients: Vec<SocketAddr>,
    lend: Vec<SocketAddr>,
    /// A line of `[fleet]` for the nodes.
    seed: String,
    running: Vec<Option<(Program, SocketAddr)>>,
}

impl Installation {
    /// Without a document.
    fn bare(routers: usize, seed: String, folder: TestFolder) -> Installation {
        let servers = ReplicationGroup::start(&[Duration::ZERO, Duration::ZERO], Duration::from_millis(1));
        let (peers, clients, lend) = (unused_addresses(3), unused_addresses(3), unused_addresses(3));
        let running = (0..3 + routers).map(|_| None).collect();
        let mut all = Installation { servers, folder, peers, clients, lend, seed, running };
        (0..all.running.len()).for_each(|i| all.run(i));
        all
    }

    /// With this document; it is followed by all.
    fn start(routers: usize, document: &str) -> Installation {
        let mut all = Installation::bare(routers, String::new(), TestFolder::new());
        let version = version(all.set(document, &["--expect", "0"]));
        all.followed(version);
        all
    }

    /// With this document as the nodes' seed.
    fn seeded(routers: usize, document: &str) -> Installation {
        let folder = TestFolder::new();
        let seed = format!("seed = '{}'\n", folder.write("seed.toml", document).display());
        let mut all = Installation::bare(routers, seed, folder);
        let begun = Instant::now();
        let version = loop {
            if let Ok(said) = command(&["show", "--json", "--store", &all.store()]) {
                let shown: serde_json::Value = serde_json::from_str(&said).unwrap();
                assert_eq!(shown["text"], document);
                break shown["version"].as_u64().unwrap();
            }
            assert!(begun.elapsed() < TIMEOUT);
        };
        all.followed(version);
        all
    }

    fn run(&mut self, i: usize) {
        let site = |name: &str| if name == "replica-2" { "b" } else { "a" };
        let servers = installation::server_tables(&self.servers, |id| format!("site = '{}'\n", site(id)));
        let class = |name, freshness, effect| {
            format!(
                "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 2000\ndeadline_ms = 4000\n"
            )
        };
        let classes = class("look", "any", "safe")
            + &class("add", "write", "unsafe")
            + &class("own", "session", "safe");
        let (listen, store) = if i < 3 {
            let store = installation::store_table(i, &self.peers, &self.clients);
            (format!("listen = '{}'\n{}", self.lend[i], self.seed), store)
        } else {
            // A router that is no node has its list from its own file.
            Default::default()
        };
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n{classes}{servers}\
             [fleet]\nname = 'router-{i}'\nslot = {}\nnodes = [{}]\nallocators = [{}]\n{listen}{store}",
            i + 1,
            toml_list(&self.clients),
            toml_list(&self.lend)
        );
        let path = self.folder.write(&format!("router-{i}.toml"), &text);
        let mut program = Program::serve(&path);
        let addr = program.listening_address();
        self.running[i] = Some((program, addr));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until all follow this version.
    fn followed(&mut self, version: u64) {
        let line = format!("fleet document followed version={version} tenants=");
        self.running.iter_mut().flatten().for_each(|(program, _)| _ = program.wait_for_log(&line));
    }

    /// Which node leads the store, by its first election.
    fn leader(&mut self) -> usize {
        let line = self.program(0).wait_for_log("store leader elected leader=");
        let node = line.split(" leader=").nth(1).unwrap().split(' ').next().unwrap();
        node.parse::<usize>().unwrap() - 1
    }

    /// Where the store is, as commands take it.
    fn store(&self) -> String {
        installation::comma_separated(&self.clients)
    }

    fn set(&self, text: &str, more: &[&str]) -> Result<String, String> {
        let path = self.folder.write("fleet.toml", text);
        command(&[&["set", path.to_str().unwrap(), "--store", &self.store()], more].concat())
    }

    fn show(&self) -> serde_json::Value {
        serde_json::from_str(&command(&["show", "--json", "--store", &self.store()]).unwrap()).unwrap()
    }

    fn connect(&self, i: usize) -> Conn {
        let addr = self.running[i].as_ref().unwrap().1;
        installation::connect(addr)
    }

    /// Statements that the servers have run.
    fn writes(&self) -> usize {
        (0..3).map(|i| self.servers.counts(i).writes).sum()
    }

    /// Asks one router until a write of this tenant is served.
    fn served(&self, i: usize, tenant: &str) {
        let (mut conn, begun) = (self.connect(i), Instant::now());
        while let Err(e) = write(&mut conn, tenant) {
            assert!(begun.elapsed() < TIMEOUT, "{e}");
        }
    }

    /// What the servers have run since, which must not be more than the quota allows in that time.
    fn assert_within_quota(&self, from: usize, begun: Instant, rate: f64, burst: u32) -> usize {
        let ran = self.writes() - from;
        let most = rate * begun.elapsed().as_secs_f64() + f64::from(burst);
        assert!(ran as f64 <= most, "{ran} of {most}");
        ran
    }

    /// Waits until the servers have run this many more.
    fn more(&self, writes: usize) {
        let (from, begun) = (self.writes(), Instant::now());
        while self.writes() < from + writes {
            assert!(begun.elapsed() < TIMEOUT, "{} of {writes}", self.writes() - from);
            std::thread::yield_now();
        }
    }
}

fn write(conn: &mut Conn, tenant: &str) -> mysql::Result<()> {
    conn.query_drop(format!("INSERT INTO basket VALUES ('k', 1) /* c=add,t={tenant} */"))
}

/// Clients that ask all the time, one for each of these routers.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Answers that each has had.
    answers: Vec<Arc<AtomicUsize>>,
}

impl Load {
    fn start(all: &Installation, routers: &[usize], ask: fn(&mut Conn) -> mysql::Result<()>) -> Load {
        let (stop, mut answers) = (Arc::new(AtomicBool::new(false)), Vec::new());
        let client = |i: &usize| {
            let (mut conn, stop, count) = (all.connect(*i), stop.clone(), Arc::new(AtomicUsize::new(0)));
            answers.push(count.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // One whose router is killed has nobody to ask any more.
                    match ask(&mut conn) {
                        Ok(()) | Err(mysql::Error::MySqlError(_)) => {
                            _ = count.fetch_add(1, Ordering::Relaxed);
                        }
                        Err(_) => return,
                    }
                    // The pace of the load: more would only take processors from the routers.
                    std::thread::sleep(Duration::from_millis(1));
                }
            })
        };
        let clients = routers.iter().map(client).collect();
        Load { stop, clients, answers }
    }

    /// Waits until each has had two answers more: what was asked before is over.
    fn turned(&self) {
        let (from, begun) =
            (self.answers.iter().map(|a| a.load(Ordering::Relaxed)).collect::<Vec<_>>(), Instant::now());
        for (a, from) in self.answers.iter().zip(from) {
            while a.load(Ordering::Relaxed) < from + 2 {
                assert!(begun.elapsed() < TIMEOUT);
                std::thread::yield_now();
            }
        }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| c.join().unwrap());
    }
}

fn tills(conn: &mut Conn) -> mysql::Result<()> {
    write(conn, "tills")
}

/// A document with a bounded tenant and one that is not.
fn document(routers: usize, rate: f64, burst: u32, more: &str) -> String {
    format!(
        "routers = {routers}\nsites = ['a', 'b']\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n\
         [[tenant]]\nname = 'tills'\nrate = {rate:.1}\nburst = {burst}\n{more}"
    )
}

#[test]
fn document_is_set_shown_and_rolled_back() {
    let first = document(4, 5.0, 9, "");
    let mut all = Installation::bare(1, String::new(), TestFolder::new());
    let command_at = |name, all: &Installation| command(&[name, "--store", &all.store()]);
    assert!(command_at("show", &all).unwrap_err().contains("no document yet"));
    assert!(command_at("undo", &all).unwrap_err().contains("no previous document"));
    // Without a document nothing is bounded.
    all.followed(0);
    all.served(3, "tills");
    let v = version(all.set(&first, &["--expect", "0"]));
    all.followed(v);
    let set = |all: &Installation| all.show()["version"].as_u64().unwrap();
    assert_eq!(set(&all), v);
    assert!(all.set(&first, &["--expect", "0"]).unwrap_err().contains(&format!("current version is {v}")));
    // More than one value of the store holds.
    let many: String =
        (0..4000).map(|i| format!("[[tenant]]\nname = 'tenant-{i}'\nrate = 1.0\nburst = 3\n")).collect();
    let text = document(4, 7.0, 9, &many);
    let second = version(all.set(&text, &["--expect", &v.to_string(), "--note", "many"]));
    let shown = all.show();
    assert!(second > v && shown["version"] == second && shown["note"] == "many");
    assert_eq!(shown["text"], text);
    all.followed(second);
    // A faulty key refuses the whole.
    for (faulty, key) in [
        (document(4, 5.0, 9, "[[tenant]]\nname = 'x'\nrate = -1.0\nburst = 1\n"), "tenant 'x'.rate"),
        (
            document(4, 5.0, 9, "[[tenant.place]]\nsites = ['c']\nhow = 'strict'\n"),
            "tenant 'tills'.place[0].sites",
        ),
        // A site that no server is in.
        (
            first.replace("'b'", "'b', 'c'") + "[[tenant.place]]\nsites = ['c']\nhow = 'strict'\n",
            "place[0]: no server",
        ),
        (document(4, 5.0, 9, "quota = 3\n"), "quota"),
    ] {
        let said = all.set(&faulty, &[]).unwrap_err();
        assert!(said.contains(key), "{said}");
    }
    assert_eq!(set(&all), second);
    let third = version(command_at("undo", &all));
    assert!(third > second && all.show()["text"] == first);
    all.followed(third);
    // Only what may be gone back to is kept.
    (10..18).for_each(|rate| _ = version(all.set(&document(4, rate.into(), 9, ""), &[])));
    assert_eq!(all.show()["before"].as_array().unwrap().len(), 7);
    let store = store::client::Client::new(store::client::Settings::new(all.clients.clone(), 1));
    assert_eq!(store.list("fleet/parts/", store::wire::Consistency::Linearizable).unwrap().value.len(), 8);
}

#[test]
fn quota_holds_while_leader_is_killed_and_after_reduction() {
    const RATE: f64 = 200.0;
    const BURST: u32 = 60;
    let mut all = Installation::start(2, &document(5, RATE, BURST, ""));
    let leader = all.leader();
    (0..5).for_each(|i| all.served(i, "tills"));
    let (before, begun) = (all.writes(), Instant::now());
    let load = Load::start(&all, &[0, 1, 2, 3, 4], tills);
    std::thread::sleep(Duration::from_millis(1500));
    let ran = all.assert_within_quota(before, begun, RATE, BURST);
    assert!(ran as f64 >= 0.5 * RATE * begun.elapsed().as_secs_f64(), "{ran}");
    // With all that it has lent out.
    all.running[leader] = None;
    std::thread::sleep(LOAN);
    all.assert_within_quota(before, begun, RATE, BURST);
    // All that the one before had lent is over: the next leader lends.
    all.more(100);
    all.assert_within_quota(before, begun, RATE, BURST);
    let lowered = version(all.set(&document(5, RATE / 10.0, BURST / 6, ""), &[]));
    all.followed(lowered);
    std::thread::sleep(LOAN);
    let (before, begun) = (all.writes(), Instant::now());
    all.more(BURST as usize / 6 + 5);
    all.assert_within_quota(before, begun, RATE / 10.0, BURST / 6);
    load.end();
}

#[test]
fn paused_leader_grants_nothing_twice() {
    let mut all = Installation::start(2, &document(5, 200.0, 60, ""));
    let leader = all.leader();
    (0..5).for_each(|i| all.served(i, "tills"));
    let (before, begun) = (all.writes(), Instant::now());
    let load = Load::start(&all, &(0..5).filter(|i| *i != leader).collect::<Vec<_>>(), tills);
    all.more(100);
    all.program(leader).signal(Signal::SIGSTOP);
    std::thread::sleep(LOAN);
    all.assert_within_quota(before, begun, 200.0, 60);
    // Others lend by now; it comes back with loans that it still counts as its own.
    all.more(50);
    all.program(leader).signal(Signal::SIGCONT);
    all.served(leader, "tills");
    all.more(100);
    all.assert_within_quota(before, begun, 200.0, 60);
    load.end();
}

#[test]
fn paused_router_admits_nothing_from_expired_grant() {
    let mut all = Installation::start(1, &document(4, 40.0, 40, ""));
    all.served(3, "tills");
    let mut conn = all.connect(3);
    let full = |conn: &mut Conn| (0..10).filter(|_| write(conn, "tills").is_ok()).count();
    // Its standing part is ten tokens, at ten a second.
    std::thread::sleep(Duration::from_millis(1300));
    let (begun, had) = (Instant::now(), full(&mut conn));
    assert!(had >= 8, "{had} in {:?}", begun.elapsed());
    std::thread::sleep(Duration::from_millis(1300));
    let program = &all.running[3].as_ref().unwrap().0;
    program.signal(Signal::SIGSTOP);
    std::thread::sleep(LOAN + Duration::from_millis(300));
    let begun = Instant::now();
    program.signal(Signal::SIGCONT);
    let had = full(&mut conn);
    // A fresh loan begins with an empty bucket.
    let made = 40.0 * begun.elapsed().as_secs_f64() + 1.0;
    assert!(had as f64 <= made, "{had} of {made}");
    all.served(3, "tills");
    // One that ends when it is told to gives its part back.
    all.program(3).terminate();
    all.program(3).wait_for_log("fleet left, quota grants returned");
}

#[test]
fn closed_quotas_end_without_store_and_others_go_on() {
    let more = "[[tenant]]\nname = 'open'\nrate = 400.0\nburst = 40\non_loss = 0.5\n";
    let mut all = Installation::seeded(2, &document(5, 400.0, 40, more));
    for tenant in ["tills", "open", "all"] {
        all.served(3, tenant);
    }
    let load = Load::start(&all, &[3], tills);
    all.more(40);
    (0..3).for_each(|i| all.running[i] = None);
    all.program(3).wait_for_log("fleet leader lost, quota grants expire");
    std::thread::sleep(LOAN);
    load.turned();
    let before = all.writes();
    load.turned();
    assert_eq!(all.writes(), before);
    load.end();
    let said = write(&mut all.connect(3), "tills").unwrap_err().to_string();
    assert!(said.contains("refused: nothing ran: quota of tenant 'tills'; come back in "), "{said}");
    all.served(3, "open");
    all.served(3, "all");
    // One that begins can't know what is bounded.
    all.running[4] = None;
    all.run(4);
    let said = write(&mut all.connect(4), "all").unwrap_err().to_string();
    assert!(
        said.contains("refused: nothing ran: this router has not heard from the fleet's store yet"),
        "{said}"
    );
}

#[test]
fn tightened_placement_rule_binds_every_router() {
    let look = |conn: &mut Conn| conn.query_drop("SELECT n FROM basket WHERE k = 'k' /* c=look,t=tills */");
    let bound = |how: &str| {
        document(
            4,
            100_000.0,
            100_000,
            &format!("[[tenant.place]]\nsites = ['a']\nhow = '{how}'\nclasses = ['look']\n"),
        )
    };
    let mut all = Installation::start(1, &document(4, 100_000.0, 100_000, ""));
    let load = Load::start(&all, &[0, 1, 2, 3], look);
    let outside = |all: &Installation| all.servers.counts(2).reads;
    let begun = Instant::now();
    while outside(&all) < 20 {
        assert!(begun.elapsed() < TIMEOUT);
        std::thread::yield_now();
    }
    let tight = version(all.set(&bound("strict"), &[]));
    all.followed(tight);
    load.turned();
    let before = outside(&all);
    let inside = |all: &Installation| all.servers.counts(0).reads + all.servers.counts(1).reads;
    let (from, begun) = (inside(&all), Instant::now());
    while inside(&all) < from + 200 {
        assert!(begun.elapsed() < TIMEOUT, "{}", inside(&all) - from);
        std::thread::yield_now();
    }
    assert_eq!(outside(&all), before);
    load.end();
}

#[test]
fn tenant_moved_under_load_reads_its_own_writes() {
    let reads_in = |site: &str| {
        document(
            4,
            100_000.0,
            100_000,
            &format!("[[tenant.place]]\nsites = ['{site}']\nhow = 'strict'\nclasses = ['own']\n"),
        )
    };
    let mut all = Installation::start(1, &reads_in("a"));
    // Replicas show a commit so much later: a read that goes to one at once would miss it.
    (1..3).for_each(|replica| all.servers.set_lag(replica, Duration::from_millis(30)));
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<JoinHandle<()>> = (0..4)
        .map(|i| {
            let (mut conn, stop, seen) = (all.connect(i), stop.clone(), seen.clone());
            std::thread::spawn(move || {
                for n in 1_u64.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    if conn
                        .query_drop(format!("INSERT INTO basket VALUES ('k{i}', {n}) /* c=add,t=tills */"))
                        .is_err()
                    {
                        continue;
                    }
                    let read = format!("SELECT n FROM basket WHERE k = 'k{i}' /* c=own,t=tills */");
                    // Refused where no member inside is known to be fresh enough: then nothing ran.
                    if let Ok(Some((newest, _))) = conn.query_first::<(u64, String), _>(read) {
                        assert!(newest >= n, "router-{i} read {newest} after its session had written {n}");
                        seen.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    let reads = |all: &Installation, site: &str| match site {
        "a" => all.servers.counts(0).reads + all.servers.counts(1).reads,
        _ => all.servers.counts(2).reads,
    };
    for (to, from) in [("b", "a"), ("a", "b")] {
        let tight = version(all.set(&reads_in(to), &[]));
        all.followed(tight);
        let (there, begun, answered) = (reads(&all, to), Instant::now(), seen.load(Ordering::Relaxed));
        // What was under way as the rule came may still arrive; after as many reads there it has.
        while reads(&all, to) < there + 20 || seen.load(Ordering::Relaxed) < answered + 20 {
            assert!(begun.elapsed() < TIMEOUT, "{} reads in {to}", reads(&all, to) - there);
            std::thread::yield_now();
        }
        let (left, there) = (reads(&all, from), reads(&all, to));
        while reads(&all, to) < there + 20 {
            assert!(begun.elapsed() < TIMEOUT, "{} reads in {to}", reads(&all, to) - there);
            std::thread::yield_now();
        }
        assert_eq!(reads(&all, from), left, "reads outside of {to}");
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
}
