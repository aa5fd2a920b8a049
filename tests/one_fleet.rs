//! A fleet of router processes that share a store, quotas and placement rules, in front of stand-in `MySQL`
//! servers. The number of admitted writes is the number that the servers have executed: these writes must not
//! run twice, so each is counted once.
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

/// A router's quota grant expires within this time after its last exchange with the leader.
const GRANT_LIFETIME: Duration = Duration::from_millis(2100);

/// Runs a subcommand of `fleet`; returns its output, or its log if it fails.
fn command(arguments: &[&str]) -> Result<String, String> {
    let mut program = Program::start(&[&["fleet"], arguments].concat(), &[]);
    let log = std::mem::replace(&mut program.log, std::sync::mpsc::channel().1);
    let (code, out) = program.wait_for_exit();
    if code == Some(0) { Ok(out) } else { Err(log.iter().collect::<Vec<_>>().join("\n")) }
}

/// The version in a command's output.
fn version(output: Result<String, String>) -> u64 {
    output.unwrap().trim().strip_prefix("version ").unwrap().parse().unwrap()
}

/// Three routers that are also store nodes, and further routers that are not.
struct Installation {
    servers: ReplicationGroup,
    folder: TestFolder,
    peer_addresses: Vec<SocketAddr>,
    store_addresses: Vec<SocketAddr>,
    allocator_addresses: Vec<SocketAddr>,
    /// The `seed` line of the store nodes' `[fleet]` table, or empty.
    seed: String,
    running: Vec<Option<(Program, SocketAddr)>>,
}

impl Installation {
    /// Starts all routers without a fleet document.
    fn start_without_document(routers: usize, seed: String, folder: TestFolder) -> Installation {
        let servers = ReplicationGroup::start(&[Duration::ZERO, Duration::ZERO], Duration::from_millis(1));
        let (peer_addresses, store_addresses, allocator_addresses) =
            (unused_addresses(3), unused_addresses(3), unused_addresses(3));
        let running = (0..3 + routers).map(|_| None).collect();
        let mut installation = Installation {
            servers,
            folder,
            peer_addresses,
            store_addresses,
            allocator_addresses,
            seed,
            running,
        };
        (0..installation.running.len()).for_each(|i| installation.start_router(i));
        installation
    }

    /// Starts all routers, sets this document, and waits until all follow it.
    fn start(routers: usize, document: &str) -> Installation {
        let mut installation =
            Installation::start_without_document(routers, String::new(), TestFolder::new());
        let version = version(installation.set_document(document, &["--expect", "0"]));
        installation.wait_until_followed(version);
        installation
    }

    /// Starts all routers with this document as the store nodes' seed.
    fn start_with_seed(routers: usize, document: &str) -> Installation {
        let folder = TestFolder::new();
        let seed = format!("seed = '{}'\n", folder.write("seed.toml", document).display());
        let mut installation = Installation::start_without_document(routers, seed, folder);
        let started_at = Instant::now();
        let version = loop {
            if let Ok(output) = command(&["show", "--json", "--store", &installation.store_argument()]) {
                let shown: serde_json::Value = serde_json::from_str(&output).unwrap();
                assert_eq!(shown["text"], document);
                break shown["version"].as_u64().unwrap();
            }
            assert!(started_at.elapsed() < TIMEOUT);
        };
        installation.wait_until_followed(version);
        installation
    }

    fn start_router(&mut self, i: usize) {
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
            let store = installation::store_table(i, &self.peer_addresses, &self.store_addresses);
            (format!("listen = '{}'\n{}", self.allocator_addresses[i], self.seed), store)
        } else {
            // A router that is not a store node gets the store's addresses from its own file.
            Default::default()
        };
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n{classes}{servers}\
             [fleet]\nname = 'router-{i}'\nslot = {}\nnodes = [{}]\nallocators = [{}]\n{listen}{store}",
            i + 1,
            toml_list(&self.store_addresses),
            toml_list(&self.allocator_addresses)
        );
        let path = self.folder.write(&format!("router-{i}.toml"), &text);
        let mut program = Program::serve(&path);
        let addr = program.listening_address();
        self.running[i] = Some((program, addr));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until all running routers follow this version.
    fn wait_until_followed(&mut self, version: u64) {
        let line = format!("fleet document followed version={version} tenants=");
        self.running.iter_mut().flatten().for_each(|(program, _)| _ = program.wait_for_log(&line));
    }

    /// Index of the store's leader after the first election.
    fn leader(&mut self) -> usize {
        let line = self.program(0).wait_for_log("store leader elected leader=");
        let node = line.split(" leader=").nth(1).unwrap().split(' ').next().unwrap();
        node.parse::<usize>().unwrap() - 1
    }

    /// The store's addresses as the `--store` argument of commands.
    fn store_argument(&self) -> String {
        installation::comma_separated(&self.store_addresses)
    }

    fn set_document(&self, text: &str, more: &[&str]) -> Result<String, String> {
        let path = self.folder.write("fleet.toml", text);
        command(&[&["set", path.to_str().unwrap(), "--store", &self.store_argument()], more].concat())
    }

    fn show(&self) -> serde_json::Value {
        serde_json::from_str(&command(&["show", "--json", "--store", &self.store_argument()]).unwrap())
            .unwrap()
    }

    fn connect(&self, i: usize) -> Conn {
        let addr = self.running[i].as_ref().unwrap().1;
        installation::connect(addr)
    }

    /// Number of writes that the servers have executed.
    fn writes(&self) -> usize {
        (0..3).map(|i| self.servers.counts(i).writes).sum()
    }

    /// Repeats a write of the tenant at one router until it succeeds.
    fn write_until_served(&self, i: usize, tenant: &str) {
        let (mut conn, started_at) = (self.connect(i), Instant::now());
        while let Err(e) = write(&mut conn, tenant) {
            assert!(started_at.elapsed() < TIMEOUT, "{e}");
        }
    }

    /// Number of writes executed since their count was `from`; fails if the quota allows fewer in the time
    /// since `started_at`.
    fn assert_within_quota(&self, from: usize, started_at: Instant, rate: f64, burst: u32) -> usize {
        let executed = self.writes() - from;
        let max_writes = rate * started_at.elapsed().as_secs_f64() + f64::from(burst);
        assert!(executed as f64 <= max_writes, "{executed} writes executed, at most {max_writes} allowed");
        executed
    }

    /// Waits until the servers have executed this many further writes.
    fn wait_for_writes(&self, writes: usize) {
        let (from, started_at) = (self.writes(), Instant::now());
        while self.writes() < from + writes {
            assert!(started_at.elapsed() < TIMEOUT, "{} of {writes} writes executed", self.writes() - from);
            std::thread::yield_now();
        }
    }
}

fn write(conn: &mut Conn, tenant: &str) -> mysql::Result<()> {
    conn.query_drop(format!("INSERT INTO basket VALUES ('k', 1) /* c=add,t={tenant} */"))
}

/// Clients that send requests continuously, one for each of the given routers.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Number of responses that each client has received.
    response_counts: Vec<Arc<AtomicUsize>>,
}

impl Load {
    fn start(
        installation: &Installation,
        routers: &[usize],
        send_request: fn(&mut Conn) -> mysql::Result<()>,
    ) -> Load {
        let (stop, mut response_counts) = (Arc::new(AtomicBool::new(false)), Vec::new());
        let client = |i: &usize| {
            let (mut conn, stop, count) =
                (installation.connect(*i), stop.clone(), Arc::new(AtomicUsize::new(0)));
            response_counts.push(count.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // A connection error means that the router was killed; the client ends.
                    match send_request(&mut conn) {
                        Ok(()) | Err(mysql::Error::MySqlError(_)) => {
                            _ = count.fetch_add(1, Ordering::Relaxed);
                        }
                        Err(_) => return,
                    }
                    // The pause limits the load: a higher load would only take CPU time from the routers.
                    std::thread::sleep(Duration::from_millis(1));
                }
            })
        };
        let clients = routers.iter().map(client).collect();
        Load { stop, clients, response_counts }
    }

    /// Waits until each client has received two more responses, so that every request sent before has ended.
    fn wait_for_further_responses(&self) {
        let (from, started_at) = (
            self.response_counts.iter().map(|a| a.load(Ordering::Relaxed)).collect::<Vec<_>>(),
            Instant::now(),
        );
        for (count, from) in self.response_counts.iter().zip(from) {
            while count.load(Ordering::Relaxed) < from + 2 {
                assert!(started_at.elapsed() < TIMEOUT);
                std::thread::yield_now();
            }
        }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| c.join().unwrap());
    }
}

fn write_as_tills(conn: &mut Conn) -> mysql::Result<()> {
    write(conn, "tills")
}

/// A document with a tenant `all` without a quota and a tenant `tills` with one.
fn document(routers: usize, rate: f64, burst: u32, more: &str) -> String {
    format!(
        "routers = {routers}\nsites = ['a', 'b']\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n\
         [[tenant]]\nname = 'tills'\nrate = {rate:.1}\nburst = {burst}\n{more}"
    )
}

#[test]
fn document_is_set_shown_and_rolled_back() {
    let first = document(4, 5.0, 9, "");
    let mut installation = Installation::start_without_document(1, String::new(), TestFolder::new());
    let command_at =
        |name, installation: &Installation| command(&[name, "--store", &installation.store_argument()]);
    assert!(command_at("show", &installation).unwrap_err().contains("no document yet"));
    assert!(command_at("undo", &installation).unwrap_err().contains("no previous document"));
    // Without a document no quota applies.
    installation.wait_until_followed(0);
    installation.write_until_served(3, "tills");
    let first_version = version(installation.set_document(&first, &["--expect", "0"]));
    installation.wait_until_followed(first_version);
    let current_version = |installation: &Installation| installation.show()["version"].as_u64().unwrap();
    assert_eq!(current_version(&installation), first_version);
    assert!(
        installation
            .set_document(&first, &["--expect", "0"])
            .unwrap_err()
            .contains(&format!("current version is {first_version}"))
    );
    // A document larger than the maximum size of a value in the store.
    let many: String =
        (0..4000).map(|i| format!("[[tenant]]\nname = 'tenant-{i}'\nrate = 1.0\nburst = 3\n")).collect();
    let text = document(4, 7.0, 9, &many);
    let second_version = version(
        installation.set_document(&text, &["--expect", &first_version.to_string(), "--note", "many"]),
    );
    let shown = installation.show();
    assert!(second_version > first_version && shown["version"] == second_version && shown["note"] == "many");
    assert_eq!(shown["text"], text);
    installation.wait_until_followed(second_version);
    // A document with one invalid key is rejected as a whole.
    for (invalid, key) in [
        (document(4, 5.0, 9, "[[tenant]]\nname = 'x'\nrate = -1.0\nburst = 1\n"), "tenant 'x'.rate"),
        (
            document(4, 5.0, 9, "[[tenant.place]]\nsites = ['c']\nhow = 'strict'\n"),
            "tenant 'tills'.place[0].sites",
        ),
        // A site without any server.
        (
            first.replace("'b'", "'b', 'c'") + "[[tenant.place]]\nsites = ['c']\nhow = 'strict'\n",
            "place[0]: no server",
        ),
        (document(4, 5.0, 9, "quota = 3\n"), "quota"),
    ] {
        let output = installation.set_document(&invalid, &[]).unwrap_err();
        assert!(output.contains(key), "{output}");
    }
    assert_eq!(current_version(&installation), second_version);
    let third_version = version(command_at("undo", &installation));
    assert!(third_version > second_version && installation.show()["text"] == first);
    installation.wait_until_followed(third_version);
    // Only the current and the previous documents that `undo` may restore are retained.
    (10..18).for_each(|rate| _ = version(installation.set_document(&document(4, rate.into(), 9, ""), &[])));
    assert_eq!(installation.show()["before"].as_array().unwrap().len(), 7);
    let store =
        store::client::Client::new(store::client::Settings::new(installation.store_addresses.clone(), 1));
    assert_eq!(store.list("fleet/parts/", store::wire::Consistency::Linearizable).unwrap().value.len(), 8);
}

#[test]
fn quota_holds_while_leader_is_killed_and_after_reduction() {
    const RATE: f64 = 200.0;
    const BURST: u32 = 60;
    let mut installation = Installation::start(2, &document(5, RATE, BURST, ""));
    let leader = installation.leader();
    (0..5).for_each(|i| installation.write_until_served(i, "tills"));
    let (before, started_at) = (installation.writes(), Instant::now());
    let load = Load::start(&installation, &[0, 1, 2, 3, 4], write_as_tills);
    std::thread::sleep(Duration::from_millis(1500));
    let executed = installation.assert_within_quota(before, started_at, RATE, BURST);
    assert!(
        executed as f64 >= 0.5 * RATE * started_at.elapsed().as_secs_f64(),
        "only {executed} writes executed"
    );
    // Kill the leader while its grants are in use.
    installation.running[leader] = None;
    std::thread::sleep(GRANT_LIFETIME);
    installation.assert_within_quota(before, started_at, RATE, BURST);
    // All grants of the killed leader have expired; the next leader issues grants.
    installation.wait_for_writes(100);
    installation.assert_within_quota(before, started_at, RATE, BURST);
    let lowered_version = version(installation.set_document(&document(5, RATE / 10.0, BURST / 6, ""), &[]));
    installation.wait_until_followed(lowered_version);
    std::thread::sleep(GRANT_LIFETIME);
    let (before, started_at) = (installation.writes(), Instant::now());
    installation.wait_for_writes(BURST as usize / 6 + 5);
    installation.assert_within_quota(before, started_at, RATE / 10.0, BURST / 6);
    load.end();
}

#[test]
fn paused_leader_grants_nothing_twice() {
    let mut installation = Installation::start(2, &document(5, 200.0, 60, ""));
    let leader = installation.leader();
    (0..5).for_each(|i| installation.write_until_served(i, "tills"));
    let (before, started_at) = (installation.writes(), Instant::now());
    let load =
        Load::start(&installation, &(0..5).filter(|i| *i != leader).collect::<Vec<_>>(), write_as_tills);
    installation.wait_for_writes(100);
    installation.program(leader).signal(Signal::SIGSTOP);
    std::thread::sleep(GRANT_LIFETIME);
    installation.assert_within_quota(before, started_at, 200.0, 60);
    // Another leader issues grants by now. When the paused leader resumes, it still has records of the
    // grants that it issued before.
    installation.wait_for_writes(50);
    installation.program(leader).signal(Signal::SIGCONT);
    installation.write_until_served(leader, "tills");
    installation.wait_for_writes(100);
    installation.assert_within_quota(before, started_at, 200.0, 60);
    load.end();
}

#[test]
fn paused_router_admits_nothing_from_expired_grant() {
    let mut installation = Installation::start(1, &document(4, 40.0, 40, ""));
    installation.write_until_served(3, "tills");
    let mut conn = installation.connect(3);
    let admitted_of_ten = |conn: &mut Conn| (0..10).filter(|_| write(conn, "tills").is_ok()).count();
    // With four routers, this router's regular share is a burst of ten tokens and a rate of ten per second.
    std::thread::sleep(Duration::from_millis(1300));
    let (started_at, admitted) = (Instant::now(), admitted_of_ten(&mut conn));
    assert!(admitted >= 8, "{admitted} writes admitted in {:?}", started_at.elapsed());
    std::thread::sleep(Duration::from_millis(1300));
    let program = &installation.running[3].as_ref().unwrap().0;
    program.signal(Signal::SIGSTOP);
    std::thread::sleep(GRANT_LIFETIME + Duration::from_millis(300));
    let started_at = Instant::now();
    program.signal(Signal::SIGCONT);
    let admitted = admitted_of_ten(&mut conn);
    // A new grant begins with an empty token bucket.
    let max_admitted = 40.0 * started_at.elapsed().as_secs_f64() + 1.0;
    assert!(admitted as f64 <= max_admitted, "{admitted} writes admitted, at most {max_admitted} allowed");
    installation.write_until_served(3, "tills");
    // A router that shuts down gracefully returns its grants.
    installation.program(3).terminate();
    installation.program(3).wait_for_log("fleet left, quota grants returned");
}

#[test]
fn quotas_with_on_loss_closed_reject_without_store_and_others_are_served() {
    let other_tenant = "[[tenant]]\nname = 'open'\nrate = 400.0\nburst = 40\non_loss = 0.5\n";
    let mut installation = Installation::start_with_seed(2, &document(5, 400.0, 40, other_tenant));
    for tenant in ["tills", "open", "all"] {
        installation.write_until_served(3, tenant);
    }
    let load = Load::start(&installation, &[3], write_as_tills);
    installation.wait_for_writes(40);
    (0..3).for_each(|i| installation.running[i] = None);
    installation.program(3).wait_for_log("fleet leader lost, quota grants expire");
    std::thread::sleep(GRANT_LIFETIME);
    load.wait_for_further_responses();
    let before = installation.writes();
    load.wait_for_further_responses();
    assert_eq!(installation.writes(), before);
    load.end();
    let output = write(&mut installation.connect(3), "tills").unwrap_err().to_string();
    assert!(output.contains("refused: nothing ran: quota of tenant 'tills'; come back in "), "{output}");
    installation.write_until_served(3, "open");
    installation.write_until_served(3, "all");
    // A newly started router can't know which tenants have quotas.
    installation.running[4] = None;
    installation.start_router(4);
    let output = write(&mut installation.connect(4), "all").unwrap_err().to_string();
    assert!(
        output.contains("refused: nothing ran: this router has not heard from the fleet's store yet"),
        "{output}"
    );
}

#[test]
fn tightened_placement_rule_takes_effect_on_every_router() {
    let read = |conn: &mut Conn| conn.query_drop("SELECT n FROM basket WHERE k = 'k' /* c=look,t=tills */");
    let document_with_rule = |how: &str| {
        document(
            4,
            100_000.0,
            100_000,
            &format!("[[tenant.place]]\nsites = ['a']\nhow = '{how}'\nclasses = ['look']\n"),
        )
    };
    let mut installation = Installation::start(1, &document(4, 100_000.0, 100_000, ""));
    let load = Load::start(&installation, &[0, 1, 2, 3], read);
    let reads_in_b = |fleet: &Installation| fleet.servers.counts(2).reads;
    let started_at = Instant::now();
    while reads_in_b(&installation) < 20 {
        assert!(started_at.elapsed() < TIMEOUT);
        std::thread::yield_now();
    }
    let rule_version = version(installation.set_document(&document_with_rule("strict"), &[]));
    installation.wait_until_followed(rule_version);
    load.wait_for_further_responses();
    let before = reads_in_b(&installation);
    let reads_in_a = |fleet: &Installation| fleet.servers.counts(0).reads + fleet.servers.counts(1).reads;
    let (from, started_at) = (reads_in_a(&installation), Instant::now());
    while reads_in_a(&installation) < from + 200 {
        assert!(started_at.elapsed() < TIMEOUT, "only {} reads in site a", reads_in_a(&installation) - from);
        std::thread::yield_now();
    }
    assert_eq!(reads_in_b(&installation), before);
    load.end();
}

#[test]
fn tenant_moved_under_load_reads_its_own_writes() {
    let document_with_reads_in = |site: &str| {
        document(
            4,
            100_000.0,
            100_000,
            &format!("[[tenant.place]]\nsites = ['{site}']\nhow = 'strict'\nclasses = ['own']\n"),
        )
    };
    let mut installation = Installation::start(1, &document_with_reads_in("a"));
    // With this replication lag, a read that is sent to a replica immediately would miss the commit.
    (1..3).for_each(|replica| installation.servers.set_lag(replica, Duration::from_millis(30)));
    let (stop, reads_checked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<JoinHandle<()>> = (0..4)
        .map(|i| {
            let (mut conn, stop, reads_checked) =
                (installation.connect(i), stop.clone(), reads_checked.clone());
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
                    // A read is rejected, and does not run, if no member of the site is known to be fresh
                    // enough.
                    if let Ok(Some((newest, _))) = conn.query_first::<(u64, String), _>(read) {
                        assert!(
                            newest >= n,
                            "router-{i} returned {newest} after its session had written {n}"
                        );
                        reads_checked.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    let reads_at = |installation: &Installation, site: &str| match site {
        "a" => installation.servers.counts(0).reads + installation.servers.counts(1).reads,
        _ => installation.servers.counts(2).reads,
    };
    for (to, from) in [("b", "a"), ("a", "b")] {
        let rule_version = version(installation.set_document(&document_with_reads_in(to), &[]));
        installation.wait_until_followed(rule_version);
        let (reads_before, started_at, observed) =
            (reads_at(&installation, to), Instant::now(), reads_checked.load(Ordering::Relaxed));
        // Reads that were in flight when the rule took effect may still reach the old site; they have ended
        // once the new site has served 20 more.
        while reads_at(&installation, to) < reads_before + 20
            || reads_checked.load(Ordering::Relaxed) < observed + 20
        {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "only {} reads in site {to}",
                reads_at(&installation, to) - reads_before
            );
            std::thread::yield_now();
        }
        let (reads_outside, reads_before) = (reads_at(&installation, from), reads_at(&installation, to));
        while reads_at(&installation, to) < reads_before + 20 {
            assert!(
                started_at.elapsed() < TIMEOUT,
                "only {} reads in site {to}",
                reads_at(&installation, to) - reads_before
            );
            std::thread::yield_now();
        }
        assert_eq!(reads_at(&installation, from), reads_outside, "reads outside of site {to}");
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
}
