//! The program with a registry: the node list, faults of registry members, registration, configuration and
//! TLS. The registry and the database servers are test servers that count their requests.
mod common;
use common::TIMEOUT;
use common::environment::TestFolder;
use common::program::{Program, Signal};
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_servers::registry::Registry;
use test_servers::replication_group::ReplicationGroup;

const PREFIX: &str = "/damsonvale/shop/";

/// A registry, the servers that it lists, and additional settings for routers.
struct TestSetup {
    registry: Registry,
    group: ReplicationGroup,
    folder: TestFolder,
    /// Additional keys of `[registry]`.
    registry_keys: String,
    /// Additional sections of the file, such as `[sessions]` and `[store]`.
    extra_sections: String,
    /// Additional keys of `[mysql]`.
    mysql_keys: String,
}

fn node(addr: SocketAddr, state: &str) -> String {
    format!("{{\"addr\":\"{addr}\",\"state\":\"{state}\"}}")
}

impl TestSetup {
    /// Starts a registry with `members` members that lists a primary and `replicas` replicas.
    fn new(members: usize, replicas: usize) -> TestSetup {
        TestSetup::with_registry(Registry::start(members, None), replicas)
    }

    fn with_registry(registry: Registry, replicas: usize) -> TestSetup {
        let group = ReplicationGroup::start(&vec![Duration::ZERO; replicas], Duration::from_millis(5));
        let setup = TestSetup {
            registry,
            group,
            folder: TestFolder::new(),
            registry_keys: String::new(),
            extra_sections: String::new(),
            mysql_keys: String::new(),
        };
        (0..=replicas).for_each(|s| setup.set_state(s, "in_service"));
        setup
    }

    fn key(&self, server: usize) -> String {
        format!("{PREFIX}nodes/{}", self.group.servers()[server].0)
    }

    fn set_state(&self, server: usize, state: &str) {
        self.registry.put(&self.key(server), &node(self.group.servers()[server].1, state));
    }

    fn write_config(&self, kind: &str) -> String {
        let endpoints: Vec<String> = self.registry.addresses().iter().map(|a| format!("'{a}'")).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n{}\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             [[mysql.class]]\nname = 'any'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 2000\ndeadline_ms = 4000\n\
             [registry]\nkind = '{kind}'\nprefix = '{PREFIX}'\nendpoints = [{}]\n{}\n{}",
            self.mysql_keys,
            endpoints.join(", "),
            self.registry_keys,
            self.extra_sections
        );
        // Each set of settings has a file of its own, because a running router may reload its file.
        let name = format!("router-{}.toml", self.extra_sections.len() + 1000 * self.registry_keys.len());
        self.folder.write(&name, &text).to_str().unwrap().to_string()
    }

    fn start(&self, kind: &str) -> (Program, SocketAddr) {
        let mut router = Program::start(&["serve", &self.write_config(kind)], &[]);
        let addr = router.listening_address();
        (router, addr)
    }

    /// Starts a router and waits until every replica has served a read.
    fn start_ready(&self, kind: &str) -> (Program, SocketAddr) {
        let (router, addr) = self.start(kind);
        let mut client = connect(addr).unwrap();
        let replicas: Vec<String> = self.group.servers().into_iter().skip(1).map(|s| s.0).collect();
        replicas.iter().for_each(|r| wait_until_read_served_by(&mut client, r));
        (router, addr)
    }

    fn run_command(&self, kind: &str, words: &[&str]) -> (Option<i32>, String, String) {
        let mut program = Program::start(&[&["registry", &self.write_config(kind)], words].concat(), &[]);
        program.child.wait().unwrap();
        let log = program.log.iter().collect::<Vec<_>>().join("\n");
        let (code, out) = program.wait_for_exit();
        (code, out, log)
    }
}

fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let options =
        OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    Conn::new(options.user(Some("till")).pass(Some("secret")).db_name(Some("shop")))
}

/// Reads, and returns the name of the server that served the read.
fn read_served_by(client: &mut Conn) -> mysql::Result<String> {
    let row: Option<(String, String)> =
        client.query_first("SELECT n FROM basket WHERE k = 'x' /* c=any */")?;
    Ok(row.unwrap().1)
}

/// Reads in a named session on a new connection.
fn read_in_named_session(addr: SocketAddr) -> mysql::Result<()> {
    connect(addr)?.query_drop("SELECT n FROM basket WHERE k = 'x' /* c=any,s=ann */")
}

/// Repeats a read until `server` has served it.
fn wait_until_read_served_by(client: &mut Conn, server: &str) {
    let started = Instant::now();
    while read_served_by(client).ok().as_deref() != Some(server) {
        assert!(started.elapsed() < TIMEOUT, "{server} served no read");
    }
}

/// Reads on several connections until this value is dropped.
struct Load(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Load {
    fn start(addr: SocketAddr) -> Load {
        let done = Arc::new(AtomicBool::new(false));
        let reader = |_| {
            let done = done.clone();
            std::thread::spawn(move || {
                let mut client = connect(addr).unwrap();
                while !done.load(Ordering::Relaxed) {
                    _ = read_served_by(&mut client);
                }
            })
        };
        let threads = (0..4).map(reader).collect();
        Load(done, threads)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        self.1.drain(..).for_each(|t| _ = t.join());
    }
}

/// Asserts that `server` gets no new read from 250 ms after the router has applied a change, while `other`
/// gets 50 reads. The caller has to generate load.
fn assert_no_new_reads(setup: &TestSetup, server: usize, other: usize) {
    std::thread::sleep(Duration::from_millis(250));
    let (before, other_before) = (setup.group.counts(server).reads, setup.group.counts(other).reads);
    let started = Instant::now();
    while setup.group.counts(other).reads < other_before + 50 {
        assert!(started.elapsed() < TIMEOUT);
    }
    assert_eq!(setup.group.counts(server).reads, before);
}

#[test]
fn nodes_are_added_drained_and_removed_with_their_keys() {
    for kind in ["etcd", "consul"] {
        let setup = TestSetup::new(1, 2);
        let (mut router, addr) = setup.start_ready(kind);
        let load = Load::start(addr);
        setup.set_state(1, "draining");
        router.wait_for_log("endpoints=3 ready=2 ");
        assert_no_new_reads(&setup, 1, 2);
        setup.set_state(1, "in_service");
        let mut client = connect(addr).unwrap();
        wait_until_read_served_by(&mut client, "replica-1");
        setup.registry.delete(&setup.key(1));
        router.wait_for_log("endpoints=2 ready=2 ");
        assert_no_new_reads(&setup, 1, 2);
        // A key that exists with the state `gone` has the same effect as a deleted one.
        setup.set_state(1, "in_service");
        wait_until_read_served_by(&mut client, "replica-1");
        setup.set_state(1, "gone");
        assert_no_new_reads(&setup, 1, 2);
        drop(load);
    }
}

#[test]
fn drain_survives_compaction_during_outage() {
    let setup = TestSetup::new(1, 2);
    let (mut router, addr) = setup.start_ready("etcd");
    let load = Load::start(addr);
    setup.registry.update_faults(0, |f| f.down = true);
    setup.registry.break_connections(0);
    router.wait_for_log("registry member no longer followed, trying another addr=127.0.0.1");
    setup.set_state(1, "draining");
    setup.registry.put("/elsewhere", "x");
    setup.registry.compact();
    setup.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("registry revision compacted away, reading everything again");
    router.wait_for_log("endpoints=3 ready=2 ");
    assert_no_new_reads(&setup, 1, 2);
    drop(load);
}

#[test]
fn node_recreated_under_its_name_uses_its_new_address() {
    let setup = TestSetup::new(1, 2);
    let (mut router, addr) = setup.start_ready("etcd");
    setup.registry.update_faults(0, |f| f.down = true);
    setup.registry.break_connections(0);
    // The key of the first replica is created again with the address of the second one, whose own key is
    // deleted.
    let (key, value) = (setup.key(1), node(setup.group.servers()[2].1, "in_service"));
    setup.registry.delete(&key);
    setup.registry.put(&key, &value);
    setup.registry.delete(&setup.key(2));
    setup.registry.compact();
    let load = Load::start(addr);
    setup.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("endpoints=2 ready=2 ");
    assert_no_new_reads(&setup, 1, 2);
    drop(load);
}

#[test]
fn stalled_watch_on_live_connection_is_detected() {
    let setup = TestSetup::new(2, 2);
    let (mut router, addr) = setup.start_ready("etcd");
    let load = Load::start(addr);
    (0..2).for_each(|m| setup.registry.update_faults(m, |f| f.stalled_watches = true));
    setup.set_state(1, "draining");
    router.wait_for_log("the watch did not deliver changes that a read found");
    router.wait_for_log("endpoints=3 ready=2 ");
    assert_no_new_reads(&setup, 1, 2);
    // The router stops following a member that does not respond, and follows the other member.
    setup.registry.update_faults(1, |f| f.stalled_watches = false);
    setup.registry.update_faults(0, |f| f.unresponsive = true);
    setup.set_state(1, "in_service");
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn lagging_or_foreign_members_are_not_followed() {
    let setup = TestSetup::new(3, 2);
    let (mut router, addr) = setup.start_ready("etcd");
    let old_revision = setup.registry.revision();
    setup.set_state(1, "draining");
    router.wait_for_log("endpoints=3 ready=2 ");
    // One of three members returns the state before the drain, and one belongs to another cluster; only the
    // third one is up to date.
    setup.registry.update_faults(0, |f| f.stale_at_revision = Some(old_revision));
    setup.registry.update_faults(1, |f| f.cluster_id = Some(4));
    let load = Load::start(addr);
    for _ in 0..3 {
        let watches = setup.registry.watch_count(2);
        (0..3).for_each(|m| setup.registry.break_connections(m));
        let started = Instant::now();
        while setup.registry.watch_count(2) == watches {
            assert!(started.elapsed() < TIMEOUT);
        }
    }
    assert_no_new_reads(&setup, 1, 2);
    drop(load);
}

#[test]
fn restored_registry_keeps_drained_nodes_out() {
    for kind in ["etcd", "consul"] {
        assert_drains_survive_restore(kind);
    }
}

fn assert_drains_survive_restore(kind: &str) {
    let mut setup = TestSetup::new(1, 3);
    setup.registry_keys = "restored_after_s = 0.3".into();
    let (mut router, addr) = setup.start_ready(kind);
    let backup = setup.registry.backup();
    setup.set_state(1, "draining");
    setup.registry.delete(&setup.key(2));
    router.wait_for_log("endpoints=3 ready=2 ");
    setup.registry.restore(backup);
    setup.registry.break_connections(0);
    router.wait_for_log("as if restored from a backup");
    router.wait_for_log("endpoints=4 ready=2 ");
    let load = Load::start(addr);
    assert_no_new_reads(&setup, 1, 3);
    assert_no_new_reads(&setup, 2, 3);
    // A state that is written after the restore is applied.
    setup.set_state(1, "in_service");
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn list_matches_registry_after_truncated_repeated_and_reordered_events() {
    let setup = TestSetup::new(2, 2);
    let (mut router, addr) = setup.start_ready("etcd");
    let many = |from: u16, n: u16| {
        setup.registry.apply_together(|c| {
            for k in from..from + n {
                let value = node(([127, 0, 0, 1], k).into(), "draining");
                c.put(&format!("{PREFIX}nodes/extra-{k}"), value.into_bytes(), None);
            }
        });
    };
    (0..2).for_each(|m| setup.registry.update_faults(m, |f| f.truncate_next_event = true));
    many(1, 10);
    router.wait_for_log("endpoints=13 ready=3 ");
    (0..2).for_each(|m| setup.registry.update_faults(m, |f| f.duplicated_events = true));
    many(11, 10);
    router.wait_for_log("endpoints=23 ready=3 ");
    (0..2).for_each(|m| {
        setup.registry.update_faults(m, |f| (f.duplicated_events, f.reversed_events) = (false, true));
    });
    many(21, 10);
    router.wait_for_log("endpoints=33 ready=3 ");
    (0..2).for_each(|m| setup.registry.update_faults(m, |f| f.reversed_events = false));
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-2");
}

#[test]
fn invalid_node_entry_affects_no_other_and_network_rules_apply() {
    let mut setup = TestSetup::new(1, 2);
    setup.registry_keys = "deny = ['127.7.0.0/16']".into();
    let (mut router, addr) = setup.start_ready("etcd");
    for (value, expected) in [
        ("{\"addr\":\"db-1:1\"}", "invalid socket address"),
        ("{\"addr\":\"127.7.0.1:1\"}", "not in a network that may be connected to"),
    ] {
        setup.registry.put(&setup.key(1), value);
        let line = router.wait_for_next_log(
            "registry node rejected, its last valid value stays in force node=\"replica-1\"",
        );
        assert!(line.contains(expected), "{line}");
        wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
    }
    setup.set_state(2, "draining");
    router.wait_for_log("endpoints=3 ready=2 ");
}

#[test]
fn nodes_of_emptied_registry_are_retained_until_let_go() {
    let setup = TestSetup::new(1, 3);
    let (mut router, addr) = setup.start_ready("etcd");
    setup.registry.apply_together(|c| {
        for s in setup.group.servers() {
            c.delete(&format!("{PREFIX}nodes/{}", s.0));
        }
    });
    router.wait_for_log("most registry nodes disappeared at once, they are retained for the hold time");
    assert!(read_served_by(&mut connect(addr).unwrap()).is_ok());
    assert_eq!(setup.run_command("etcd", &["let-go"]).0, Some(0));
    router.wait_for_log("disappeared registry nodes removed after retention");
    router.wait_for_log("endpoints=0 ready=0 ");
}

#[test]
fn stale_list_is_limited_to_responding_nodes() {
    let mut setup = TestSetup::new(1, 2);
    setup.registry_keys = "fresh_s = 0.6\nlast_s = 60".into();
    let (mut router, addr) = setup.start_ready("etcd");
    let load = Load::start(addr);
    setup.registry.update_faults(0, |f| f.down = true);
    setup.registry.break_connections(0);
    router.wait_for_log(
        "registry has not responded for too long, use of its node list restricted level=KnownGood",
    );
    // Nodes that respond to requests stay in use. The primary, to which no request was sent, gets nothing new
    // until the registry is back.
    assert_no_new_reads(&setup, 0, 1);
    setup.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("registry list fresh again");
    drop(load);
}

#[test]
fn start_without_registry_uses_saved_list() {
    let mut setup = TestSetup::new(1, 1);
    setup.registry_keys = format!("folder = '{}'", setup.folder.path().join("kept").display());
    let (router, _) = setup.start_ready("etcd");
    let saved_list = setup.folder.path().join("kept/registry");
    let started = Instant::now();
    while !saved_list.exists() {
        assert!(started.elapsed() < TIMEOUT);
    }
    drop(router);
    setup.registry.update_faults(0, |f| f.down = true);
    setup.registry.break_connections(0);
    let (mut router, addr) = setup.start("etcd");
    router.wait_for_log("saved registry list used until the registry responds keys=2");
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
    // A node that was deleted in the meantime is removed as soon as the registry responds.
    setup.registry.delete(&setup.key(1));
    setup.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("endpoints=1 ready=1 ");
    drop(router);
    // A truncated saved list is rejected, and the startup continues without a list.
    std::fs::write(&saved_list, b"DVREGI\x01\nhalf").unwrap();
    let (mut router, _) = setup.start("etcd");
    router.wait_for_log("saved registry list not used");
    router.wait_for_log("endpoints=1 ready=1 ");
}

#[test]
fn router_registers_and_deregisters_itself() {
    for kind in ["etcd", "consul"] {
        let mut setup = TestSetup::new(2, 1);
        setup.registry_keys = "register = 'router-1'\nttl_s = 1".into();
        let (mut router, addr) = setup.start_ready(kind);
        let key = format!("{PREFIX}routers/router-1");
        let registered = |wanted: bool| {
            let started = Instant::now();
            while setup.registry.entries().contains_key(&key) != wanted {
                assert!(started.elapsed() < TIMEOUT, "registered: {}", !wanted);
            }
        };
        registered(true);
        assert!(setup.registry.entries()[&key].contains(&addr.to_string()));
        // A router that is stopped for longer than its lease loses its registration. After SIGCONT it applies
        // the drain and registers again.
        router.signal(Signal::SIGSTOP);
        setup.registry.expire_leases();
        registered(false);
        setup.set_state(1, "draining");
        router.signal(Signal::SIGCONT);
        router.wait_for_log("endpoints=2 ready=1 ");
        router.wait_for_log("the lease was lost; registering anew");
        registered(true);
        router.terminate();
        router.wait_for_log("registration revoked");
        registered(false);
        assert_eq!(router.wait_for_exit().0, Some(0));
    }
}

#[test]
fn registry_configuration_is_applied_and_invalid_one_is_ignored() {
    let setup = TestSetup::new(1, 1);
    let (mut router, addr) = setup.start_ready("etcd");
    let options =
        OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let connect_as_cook = || Conn::new(options.clone().user(Some("cook")).pass(Some("salt")));
    let key = format!("{PREFIX}config/mysql");
    assert!(connect_as_cook().is_err());
    setup.registry.put(&key, "[[mysql.user]]\nname = 'cook'\npassword = 'salt'\n");
    router.wait_for_log(&format!("registry configuration applied key={key:?}"));
    assert!(connect_as_cook().is_ok() && connect(addr).is_err());
    for (invalid, expected) in [
        ("[[mysql.user]]\nname = 7\n", "expected text in 'name'"),
        ("[mysql]\nlisten = 'x'\n", "the key 'listen' is not known"),
        ("[store]\n", "the key 'store' is not known"),
    ] {
        setup.registry.put(&key, invalid);
        let line =
            router.wait_for_next_log("registry configuration rejected, the last valid one stays in force");
        assert!(line.contains(expected) && line.contains(&format!("key={key:?}")), "{line}");
        assert!(connect_as_cook().is_ok());
    }
    // SIGHUP reloads the file, and the registry's configuration still takes precedence over it. Once the key
    // is deleted, the file applies again.
    router.signal(Signal::SIGHUP);
    router.wait_for_next_log("configuration reloaded");
    assert!(connect_as_cook().is_ok());
    setup.registry.delete(&key);
    router.wait_for_next_log(&format!("registry configuration applied key={key:?}"));
    assert!(connect_as_cook().is_err() && connect(addr).is_ok());
}

#[test]
fn session_peers_are_found_through_registry() {
    let mut setup = TestSetup::new(1, 1);
    // Session leases are granted only once the servers' clocks are known. These routers get no requests, so
    // the health check has to return the clock (`server_clock`).
    setup.mysql_keys = "server_clock = true\nclock_skew_ms = 1".into();
    let (addresses, unbound) =
        (common::environment::unused_addresses(3), common::environment::unused_addresses(3));
    let mut routers = Vec::new();
    for (n, own) in addresses.iter().enumerate() {
        setup.registry_keys = format!("register = 'router-{n}'");
        // The first two routers list each other, at addresses at which nothing listens. No router lists the
        // third one.
        let peer = |p: usize| format!("[[sessions.peer]]\ninstance = {}\naddr = '{}'\n", p + 1, unbound[p]);
        let peers = if n < 2 { peer(1 - n) } else { peer(0) + &peer(1) };
        setup.extra_sections = format!("[sessions]\ninstance = {}\nlisten = '{own}'\n{peers}\n", n + 1);
        setup.extra_sections.push_str(&"\n".repeat(n));
        routers.push(setup.start("etcd"));
    }
    for (n, (router, _)) in routers.iter_mut().enumerate().take(2) {
        router.wait_for_log(&format!("session peer connected peer={}", 2 - n));
        router.wait_for_log("session peers up to date");
    }
    routers[2].0.wait_for_log("commits rejected by session peer peer=1 reason=NotListed");
    let rejected = read_in_named_session(routers[2].1).unwrap_err().to_string();
    assert!(rejected.contains("does not list this one"), "{rejected}");
    // The killed router may have moved, so a connection refused at its listed address does not prove that it
    // is down: named sessions no longer rely on session peers.
    routers.remove(1);
    routers[0].0.wait_for_log(
        "session peers not up to date, reads of named sessions must reflect all commits peers=2",
    );
}

#[test]
fn member_without_leader_or_too_slow_is_not_followed() {
    for kind in ["etcd", "consul"] {
        let setup = TestSetup::new(2, 2);
        let (mut router, addr) = setup.start_ready(kind);
        let load = Load::start(addr);
        (0..2).for_each(|m| setup.registry.update_faults(m, |f| f.leaderless = true));
        (0..2).for_each(|m| setup.registry.break_connections(m));
        router.wait_for_log(if kind == "etcd" { "no leader" } else { "knows no leader" });
        // The cluster has a leader again, and the drain that was written has to be applied. Member 0 responds
        // only after `TIMEOUT`, so the router has to follow member 1.
        setup.set_state(1, "draining");
        setup.registry.update_faults(0, |f| (f.leaderless, f.response_delay) = (false, TIMEOUT));
        setup.registry.update_faults(1, |f| f.leaderless = false);
        router.wait_for_log("endpoints=3 ready=2 ");
        assert_no_new_reads(&setup, 1, 2);
        drop(load);
    }
}

#[test]
fn read_compacted_between_pages_is_restarted() {
    let setup = TestSetup::new(1, 1);
    setup.registry.apply_together(|c| {
        for n in 0..2500 {
            let value = node(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 3306).into(), "draining");
            c.put(&format!("{PREFIX}nodes/extra-{n}"), value.into_bytes(), None);
        }
    });
    setup.registry.update_faults(0, |f| f.compact_after_first_page = true);
    let (mut router, _) = setup.start("etcd");
    router.wait_for_log("endpoints=2502 ready=2 ");
}

#[test]
fn oversized_response_closes_only_its_connection() {
    let setup = TestSetup::new(1, 1);
    let (mut router, addr) = setup.start_ready("consul");
    setup.registry.put("/damsonvale/shop/other", &"x".repeat(9 << 20));
    router.wait_for_log("the response is longer than");
    assert!(read_served_by(&mut connect(addr).unwrap()).is_ok());
    // The list is read again once the key is small.
    setup.registry.put("/damsonvale/shop/other", "x");
    setup.set_state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
}

#[test]
fn expired_token_is_renewed() {
    let mut setup = TestSetup::new(1, 1);
    setup.registry.require_user("router", "secret");
    setup.registry_keys = "user = 'router'\npassword = 'secret'".into();
    let (mut router, _) = setup.start_ready("etcd");
    setup.registry.require_user("router", "secret");
    let watches = setup.registry.watch_count(0);
    setup.registry.break_connections(0);
    let started = Instant::now();
    while setup.registry.watch_count(0) == watches {
        assert!(started.elapsed() < TIMEOUT);
    }
    setup.set_state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
    setup.registry_keys = "user = 'router'\npassword = 'wrong'".into();
    let (mut router, _) = setup.start("etcd");
    router.wait_for_log("authentication failed");
}

#[test]
fn consul_service_adds_nodes_and_failing_checks_drain_them() {
    let mut setup = TestSetup::new(1, 2);
    (0..3).for_each(|s| _ = setup.registry.delete(&setup.key(s)));
    setup.registry_keys = "service = 'shop-db'".into();
    let instances = |failing: usize| {
        let servers = setup.group.servers();
        let one = |(n, (name, addr)): (usize, &(String, SocketAddr))| {
            let status = if n == failing { "critical" } else { "passing" };
            format!(
                "{{\"Node\":{{\"Address\":\"127.0.0.9\"}},\"Service\":{{\"ID\":\"{name}\",\"Address\":\"{}\",\"Port\":{},\
                 \"Meta\":{{\"group\":\"0\"}},\"Weights\":{{\"Passing\":1}},\"CreateIndex\":5,\"ModifyIndex\":5}},\
                 \"Checks\":[{{\"Status\":\"{status}\"}}]}}",
                addr.ip(),
                addr.port()
            )
        };
        let all: Vec<String> = servers.iter().enumerate().map(one).collect();
        serde_json::from_str(&format!("[{}]", all.join(","))).unwrap()
    };
    setup.registry.set_service("shop-db", instances(9));
    let (mut router, addr) = setup.start_ready("consul");
    let load = Load::start(addr);
    setup.registry.set_service("shop-db", instances(1));
    router.wait_for_log("endpoints=3 ready=2 ");
    assert_no_new_reads(&setup, 1, 2);
    setup.registry.set_service("shop-db", instances(9));
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn operator_commands_show_and_change_entries() {
    for kind in ["etcd", "consul"] {
        let setup = TestSetup::new(1, 1);
        let (code, out, _) = setup.run_command(kind, &["get", "nodes/"]);
        assert!(code == Some(0) && out.lines().count() == 2, "{out}");
        assert_eq!(setup.run_command(kind, &["drain", "replica-1"]).0, Some(0));
        assert!(setup.registry.entries()[&setup.key(1)].contains("draining"));
        assert_eq!(setup.run_command(kind, &["undrain", "replica-1"]).0, Some(0));
        assert!(setup.registry.entries()[&setup.key(1)].contains("in_service"));
        assert!(setup.run_command(kind, &["drain", "none"]).2.contains("there is no"));
        assert!(setup.run_command(kind, &["put", "nodes/x", "{}"]).2.contains("missing field `addr`"));
        assert_eq!(setup.run_command(kind, &["put", "nodes/x", "{\"addr\":\"127.0.0.1:5\"}"]).0, Some(0));
        assert!(setup.registry.entries().contains_key(&format!("{PREFIX}nodes/x")));
        let mut watch =
            Program::start(&["registry", &setup.write_config(kind), "watch", "--changes", "1"], &[]);
        if kind == "etcd" {
            let started = Instant::now();
            while setup.registry.watch_count(0) == 0 {
                assert!(started.elapsed() < TIMEOUT);
            }
        }
        let key = setup.key(1);
        let started = Instant::now();
        while watch.child.try_wait().unwrap().is_none() {
            // A blocking query does not return a change made before it starts, so the change is repeated.
            setup.registry.put(&key, "changed");
            assert!(started.elapsed() < TIMEOUT);
        }
        assert!(watch.wait_for_exit().1.contains("changed"));
    }
}

/// Creates a certificate authority, writes its certificate and a client certificate with key into `folder`,
/// and returns a TLS server configuration that requires client certificates of this authority.
fn create_authority(folder: &TestFolder) -> Arc<rustls::ServerConfig> {
    use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
    let mut ca_params = CertificateParams::new(vec![]).unwrap();
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_key = KeyPair::generate().unwrap();
    let ca = ca_params.self_signed(&ca_key).unwrap();
    let issuer = Issuer::new(ca_params, ca_key);
    let signed = || {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec!["127.0.0.1".into()]).unwrap();
        (params.signed_by(&key, &issuer).unwrap(), key)
    };
    let (server, server_key) = signed();
    let (client, client_key) = signed();
    folder.write("ca.pem", &ca.pem());
    folder.write("cert.pem", &client.pem());
    folder.write("key.pem", &client_key.serialize_pem());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut roots = rustls::RootCertStore::empty();
    roots.add(ca.der().clone()).unwrap();
    let client_verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(roots.into(), provider.clone());
    let key = rustls::pki_types::PrivateKeyDer::try_from(server_key.serialize_der()).unwrap();
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_client_cert_verifier(client_verifier.build().unwrap())
        .with_single_cert(vec![server.der().clone()], key)
        .unwrap();
    Arc::new(config)
}

#[test]
fn tls_verifies_both_sides_and_reloads_certificates() {
    let folder = TestFolder::new();
    let mut setup = TestSetup::with_registry(Registry::start(1, Some(create_authority(&folder))), 1);
    let tls_section = |cert: bool| {
        let path = |name: &str| folder.path().join(name).display().to_string();
        let own = format!("cert = '{}'\nkey = '{}'\n", path("cert.pem"), path("key.pem"));
        format!("[registry.tls]\nca = '{}'\n{}", path("ca.pem"), if cert { own } else { String::new() })
    };
    // The registry rejects a router without a client certificate.
    setup.registry_keys = tls_section(false);
    let (mut uncertified, _) = setup.start("etcd");
    uncertified.wait_for_log("registry member no longer followed, trying another addr=127.0.0.1");
    drop(uncertified);
    setup.registry_keys = tls_section(true);
    let (mut router, _) = setup.start_ready("etcd");
    // If a file is not a valid certificate, the old certificates stay in use.
    folder.write("cert.pem", "nothing");
    setup.registry.break_connections(0);
    router.wait_for_log("registry certificates rejected, the old ones stay in force");
    setup.set_state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
    // The authority is replaced on both sides while the router runs.
    setup.registry.set_tls(create_authority(&folder));
    setup.registry.break_connections(0);
    router.wait_for_log("registry certificates reloaded");
    setup.set_state(1, "in_service");
    router.wait_for_next_log("endpoints=2 ready=2 ");
    let path = setup.write_config("etcd");
    folder.write("ca.pem", "nothing");
    let mut faulty = Program::start(&["serve", &path], &[]);
    faulty.wait_for_log("registry: tls: ");
    assert_eq!(faulty.wait_for_exit().0, Some(1));
}

#[test]
fn list_matches_registry_after_thousands_of_changes_and_outages() {
    const KEYS: u64 = 2500;
    let setup = TestSetup::new(2, 1);
    let value = |n: u64, state: &str| {
        let addr = format!("127.1.{}.{}:3306", n / 250, n % 250 + 1);
        format!("{{\"addr\":\"{addr}\",\"group\":{},\"state\":\"{state}\"}}", n + 1)
    };
    let key = |n: u64| format!("{PREFIX}nodes/extra-{n}");
    // So many keys that a read needs several pages.
    setup.registry.apply_together(|c| {
        (0..KEYS).for_each(|n| _ = c.put(&key(n), value(n, "in_service").into_bytes(), None));
    });
    let (mut router, addr) = setup.start_ready("etcd");
    let mut x = 7u64;
    for step in 0..5000u64 {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (n, state) = ((x >> 33) % KEYS, if x >> 40 & 1 == 0 { "draining" } else { "in_service" });
        if x >> 50 & 7 == 0 {
            setup.registry.delete(&key(n));
        } else {
            setup.registry.put(&key(n), &value(n, state));
        }
        if step % 700 == 0 {
            setup.registry.break_connections((step / 700 % 2) as usize);
            setup.registry.compact();
        }
    }
    let all = setup.registry.entries();
    let serving = all.values().filter(|v| v.contains("in_service")).count();
    router.wait_for_log(&format!("endpoints={} ready={serving} ", all.len()));
    wait_until_read_served_by(&mut connect(addr).unwrap(), "replica-1");
}

#[test]
fn store_node_is_found_through_registry() {
    let mut setup = TestSetup::new(1, 1);
    let addresses = common::environment::unused_addresses(3);
    // Each node lists itself; the first one has an address for the second one at which nothing listens.
    let peer = |n: usize, a: SocketAddr| format!("[[store.peer]]\nnode = {n}\naddr = '{a}'\n");
    let files = [
        peer(1, addresses[0]) + &peer(2, addresses[2]),
        peer(1, addresses[0]) + &peer(2, addresses[1]) + "\n",
    ];
    let mut routers = Vec::new();
    for (n, peers) in files.iter().enumerate() {
        setup.registry_keys = format!("register = 'router-{n}'");
        setup.extra_sections = format!("[store]\nnode = {}\ncontrol = '127.0.0.1:0'\n{peers}", n + 1);
        let (mut router, _) = setup.start_ready("etcd");
        let control =
            router.wait_for_log("store control listener bound ").rsplit("addr=").next().unwrap().to_string();
        routers.push((router, control));
    }
    routers[0].0.wait_for_log(&format!("store peer address changed node=2 addr={}", addresses[1]));
    // Two of two nodes are a majority: a change is accepted.
    let started = Instant::now();
    while !Program::start(&["ctl", &routers[0].1, "set", "a", "1"], &[]).child.wait().unwrap().success() {
        assert!(started.elapsed() < TIMEOUT);
    }
}
