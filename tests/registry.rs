//! A registry followed by the real program, over stand-in servers that count what they are asked.
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

struct Site {
    registry: Registry,
    fleet: ReplicationGroup,
    folder: TestFolder,
    more: String,
    sessions: String,
    mysql: String,
}

fn node(addr: SocketAddr, state: &str) -> String {
    format!("{{\"addr\":\"{addr}\",\"state\":\"{state}\"}}")
}

impl Site {
    /// A registry of this many members that names a primary and this many replicas.
    fn new(members: usize, replicas: usize) -> Site {
        Site::over(Registry::start(members, None), replicas)
    }

    fn over(registry: Registry, replicas: usize) -> Site {
        let fleet = ReplicationGroup::start(&vec![Duration::ZERO; replicas], Duration::from_millis(5));
        let site = Site {
            registry,
            fleet,
            folder: TestFolder::new(),
            more: String::new(),
            sessions: String::new(),
            mysql: String::new(),
        };
        (0..=replicas).for_each(|s| site.state(s, "in_service"));
        site
    }

    fn key(&self, server: usize) -> String {
        format!("{PREFIX}nodes/{}", self.fleet.servers()[server].0)
    }

    fn state(&self, server: usize, state: &str) {
        self.registry.put(&self.key(server), &node(self.fleet.servers()[server].1, state));
    }

    fn file(&self, kind: &str) -> String {
        let endpoints: Vec<String> = self.registry.addresses().iter().map(|a| format!("'{a}'")).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n{}\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             [[mysql.class]]\nname = 'any'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 2000\ndeadline_ms = 4000\n\
             [registry]\nkind = '{kind}'\nprefix = '{PREFIX}'\nendpoints = [{}]\n{}\n{}",
            self.mysql,
            endpoints.join(", "),
            self.more,
            self.sessions
        );
        // A file of its own for each set of settings: a router that runs may read its own again.
        let name = format!("router-{}.toml", self.sessions.len() + 1000 * self.more.len());
        self.folder.write(&name, &text).to_str().unwrap().to_string()
    }

    fn start(&self, kind: &str) -> (Program, SocketAddr) {
        let mut router = Program::start(&["serve", &self.file(kind)], &[]);
        let addr = router.listening_address();
        (router, addr)
    }

    /// Started, and every replica answers.
    fn ready(&self, kind: &str) -> (Program, SocketAddr) {
        let (router, addr) = self.start(kind);
        let mut client = connect(addr).unwrap();
        let replicas: Vec<String> = self.fleet.servers().into_iter().skip(1).map(|s| s.0).collect();
        replicas.iter().for_each(|r| until_by(&mut client, r));
        (router, addr)
    }

    fn command(&self, kind: &str, words: &[&str]) -> (Option<i32>, String, String) {
        let mut program = Program::start(&[&["registry", &self.file(kind)], words].concat(), &[]);
        program.child.wait().unwrap();
        let log = program.log.iter().collect::<Vec<_>>().join("\n");
        let (code, out) = program.wait_for_exit();
        (code, out, log)
    }
}

fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    Conn::new(at.user(Some("till")).pass(Some("secret")).db_name(Some("shop")))
}

/// Reads; who answered.
fn by(client: &mut Conn) -> mysql::Result<String> {
    let row: Option<(String, String)> =
        client.query_first("SELECT n FROM basket WHERE k = 'x' /* c=any */")?;
    Ok(row.unwrap().1)
}

/// The same for a session that has a name.
fn by_named(addr: SocketAddr) -> mysql::Result<()> {
    connect(addr)?.query_drop("SELECT n FROM basket WHERE k = 'x' /* c=any,s=ann */")
}

/// Reads until this one has answered.
fn until_by(client: &mut Conn, server: &str) {
    let begun = Instant::now();
    while by(client).ok().as_deref() != Some(server) {
        assert!(begun.elapsed() < TIMEOUT, "{server} never answers");
    }
}

/// Reads on several connections until it is dropped.
struct Load(Arc<AtomicBool>, Vec<std::thread::JoinHandle<()>>);

impl Load {
    fn start(addr: SocketAddr) -> Load {
        let done = Arc::new(AtomicBool::new(false));
        let reader = |_| {
            let done = done.clone();
            std::thread::spawn(move || {
                let mut client = connect(addr).unwrap();
                while !done.load(Ordering::Relaxed) {
                    _ = by(&mut client);
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

/// Under load, a server gets nothing new from 250 ms after the router's news on, while others go on.
fn gets_nothing_new(site: &Site, server: usize, other: usize) {
    std::thread::sleep(Duration::from_millis(250));
    let (before, others) = (site.fleet.counts(server).reads, site.fleet.counts(other).reads);
    let begun = Instant::now();
    while site.fleet.counts(other).reads < others + 50 {
        assert!(begun.elapsed() < TIMEOUT);
    }
    assert_eq!(site.fleet.counts(server).reads, before);
}

#[test]
fn nodes_appear_drain_and_leave_with_their_keys() {
    for kind in ["etcd", "consul"] {
        let site = Site::new(1, 2);
        let (mut router, addr) = site.ready(kind);
        let load = Load::start(addr);
        site.state(1, "draining");
        router.wait_for_log("endpoints=3 ready=2 ");
        gets_nothing_new(&site, 1, 2);
        site.state(1, "in_service");
        let mut client = connect(addr).unwrap();
        until_by(&mut client, "replica-1");
        site.registry.delete(&site.key(1));
        router.wait_for_log("endpoints=2 ready=2 ");
        gets_nothing_new(&site, 1, 2);
        // A key that says it is gone, while it stands, is the same.
        site.state(1, "in_service");
        until_by(&mut client, "replica-1");
        site.state(1, "gone");
        gets_nothing_new(&site, 1, 2);
        drop(load);
    }
}

#[test]
fn drain_survives_compaction_during_outage() {
    let site = Site::new(1, 2);
    let (mut router, addr) = site.ready("etcd");
    let load = Load::start(addr);
    site.registry.update_faults(0, |f| f.down = true);
    site.registry.break_connections(0);
    router.wait_for_log("registry member no longer followed, trying another addr=127.0.0.1");
    site.state(1, "draining");
    site.registry.put("/elsewhere", "x");
    site.registry.compact();
    site.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("registry revision compacted away, reading everything again");
    router.wait_for_log("endpoints=3 ready=2 ");
    gets_nothing_new(&site, 1, 2);
    drop(load);
}

#[test]
fn node_recreated_under_its_name_is_another_one() {
    let site = Site::new(1, 2);
    let (mut router, addr) = site.ready("etcd");
    site.registry.update_faults(0, |f| f.down = true);
    site.registry.break_connections(0);
    // The name of the first replica, now at an address that serves nothing for it: the second one's.
    let (key, value) = (site.key(1), node(site.fleet.servers()[2].1, "in_service"));
    site.registry.delete(&key);
    site.registry.put(&key, &value);
    site.registry.delete(&site.key(2));
    site.registry.compact();
    let load = Load::start(addr);
    site.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("endpoints=2 ready=2 ");
    gets_nothing_new(&site, 1, 2);
    drop(load);
}

#[test]
fn stalled_watch_on_live_connection_is_detected() {
    let site = Site::new(2, 2);
    let (mut router, addr) = site.ready("etcd");
    let load = Load::start(addr);
    (0..2).for_each(|m| site.registry.update_faults(m, |f| f.stalled_watches = true));
    site.state(1, "draining");
    router.wait_for_log("the watch did not deliver changes that a read found");
    router.wait_for_log("endpoints=3 ready=2 ");
    gets_nothing_new(&site, 1, 2);
    // A member that answers nothing at all is left for the other one.
    site.registry.update_faults(1, |f| f.stalled_watches = false);
    site.registry.update_faults(0, |f| f.unresponsive = true);
    site.state(1, "in_service");
    until_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn lagging_or_foreign_members_are_not_followed() {
    let site = Site::new(3, 2);
    let (mut router, addr) = site.ready("etcd");
    let at = site.registry.revision();
    site.state(1, "draining");
    router.wait_for_log("endpoints=3 ready=2 ");
    // Two of three say what was so before the drain, or what another cluster says; the third has it right.
    site.registry.update_faults(0, |f| f.stale_at_revision = Some(at));
    site.registry.update_faults(1, |f| f.cluster_id = Some(4));
    let load = Load::start(addr);
    for _ in 0..3 {
        let watches = site.registry.watch_count(2);
        (0..3).for_each(|m| site.registry.break_connections(m));
        let begun = Instant::now();
        while site.registry.watch_count(2) == watches {
            assert!(begun.elapsed() < TIMEOUT);
        }
    }
    gets_nothing_new(&site, 1, 2);
    drop(load);
}

#[test]
fn restored_registry_keeps_drained_nodes_out() {
    for kind in ["etcd", "consul"] {
        restored(kind);
    }
}

fn restored(kind: &str) {
    let mut site = Site::new(1, 3);
    site.more = "restored_after_s = 0.3".into();
    let (mut router, addr) = site.ready(kind);
    let backup = site.registry.backup();
    site.state(1, "draining");
    site.registry.delete(&site.key(2));
    router.wait_for_log("endpoints=3 ready=2 ");
    site.registry.restore(backup);
    site.registry.break_connections(0);
    router.wait_for_log("as if restored from a backup");
    router.wait_for_log("endpoints=4 ready=2 ");
    let load = Load::start(addr);
    gets_nothing_new(&site, 1, 3);
    gets_nothing_new(&site, 2, 3);
    // What is set anew from then on counts.
    site.state(1, "in_service");
    until_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn truncated_repeated_and_reordered_lines_leave_registry_list() {
    let site = Site::new(2, 2);
    let (mut router, addr) = site.ready("etcd");
    let many = |from: u16, n: u16| {
        site.registry.apply_together(|c| {
            for k in from..from + n {
                let value = node(([127, 0, 0, 1], k).into(), "draining");
                c.put(&format!("{PREFIX}nodes/extra-{k}"), value.into_bytes(), None);
            }
        });
    };
    (0..2).for_each(|m| site.registry.update_faults(m, |f| f.truncate_next_event = true));
    many(1, 10);
    router.wait_for_log("endpoints=13 ready=3 ");
    (0..2).for_each(|m| site.registry.update_faults(m, |f| f.duplicated_events = true));
    many(11, 10);
    router.wait_for_log("endpoints=23 ready=3 ");
    (0..2).for_each(|m| {
        site.registry.update_faults(m, |f| (f.duplicated_events, f.reversed_events) = (false, true));
    });
    many(21, 10);
    router.wait_for_log("endpoints=33 ready=3 ");
    (0..2).for_each(|m| site.registry.update_faults(m, |f| f.reversed_events = false));
    until_by(&mut connect(addr).unwrap(), "replica-2");
}

#[test]
fn faulty_key_affects_no_other_and_network_rules_hold() {
    let mut site = Site::new(1, 2);
    site.more = "deny = ['127.7.0.0/16']".into();
    let (mut router, addr) = site.ready("etcd");
    for (value, why) in [
        ("{\"addr\":\"db-1:1\"}", "invalid socket address"),
        ("{\"addr\":\"127.7.0.1:1\"}", "not in a network that may be connected to"),
    ] {
        site.registry.put(&site.key(1), value);
        let line = router.wait_for_next_log(
            "registry node rejected, its last valid value stays in force node=\"replica-1\"",
        );
        assert!(line.contains(why), "{line}");
        until_by(&mut connect(addr).unwrap(), "replica-1");
    }
    site.state(2, "draining");
    router.wait_for_log("endpoints=3 ready=2 ");
}

#[test]
fn emptied_registry_is_held_until_operator_releases() {
    let site = Site::new(1, 3);
    let (mut router, addr) = site.ready("etcd");
    site.registry.apply_together(|c| {
        for s in site.fleet.servers() {
            c.delete(&format!("{PREFIX}nodes/{}", s.0));
        }
    });
    router.wait_for_log("most registry nodes disappeared at once, they are retained for the hold time");
    assert!(by(&mut connect(addr).unwrap()).is_ok());
    assert_eq!(site.command("etcd", &["let-go"]).0, Some(0));
    router.wait_for_log("disappeared registry nodes removed after retention");
    router.wait_for_log("endpoints=0 ready=0 ");
}

#[test]
fn stale_list_is_limited_to_answering_nodes() {
    let mut site = Site::new(1, 2);
    site.more = "fresh_s = 0.6\nlast_s = 60".into();
    let (mut router, addr) = site.ready("etcd");
    let load = Load::start(addr);
    site.registry.update_faults(0, |f| f.down = true);
    site.registry.break_connections(0);
    router.wait_for_log(
        "registry has not responded for too long, use of its node list restricted level=KnownGood",
    );
    // Nodes that respond to requests stay in use. The primary, to which no request was sent, gets nothing new
    // until the registry is back.
    gets_nothing_new(&site, 0, 1);
    site.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("registry list fresh again");
    drop(load);
}

#[test]
fn start_without_registry_uses_saved_list() {
    let mut site = Site::new(1, 1);
    site.more = format!("folder = '{}'", site.folder.path().join("kept").display());
    let (router, _) = site.ready("etcd");
    let kept = site.folder.path().join("kept/registry");
    let begun = Instant::now();
    while !kept.exists() {
        assert!(begun.elapsed() < TIMEOUT);
    }
    drop(router);
    site.registry.update_faults(0, |f| f.down = true);
    site.registry.break_connections(0);
    let (mut router, addr) = site.start("etcd");
    router.wait_for_log("saved registry list used until the registry responds keys=2");
    until_by(&mut connect(addr).unwrap(), "replica-1");
    // What has gone meanwhile goes as soon as the registry answers.
    site.registry.delete(&site.key(1));
    site.registry.update_faults(0, |f| f.down = false);
    router.wait_for_log("endpoints=1 ready=1 ");
    drop(router);
    // A file that is not whole is refused, and the start goes on without it.
    std::fs::write(&kept, b"DVREGI\x01\nhalf").unwrap();
    let (mut router, _) = site.start("etcd");
    router.wait_for_log("saved registry list not used");
    router.wait_for_log("endpoints=1 ready=1 ");
}

#[test]
fn router_registers_and_deregisters_itself() {
    for kind in ["etcd", "consul"] {
        let mut site = Site::new(2, 1);
        site.more = "register = 'router-1'\nttl_s = 1".into();
        let (mut router, addr) = site.ready(kind);
        let key = format!("{PREFIX}routers/router-1");
        let registered = |wanted: bool| {
            let begun = Instant::now();
            while site.registry.entries().contains_key(&key) != wanted {
                assert!(begun.elapsed() < TIMEOUT, "registered: {}", !wanted);
            }
        };
        registered(true);
        assert!(site.registry.entries()[&key].contains(&addr.to_string()));
        // Paused for longer than its lease, it is gone; going on, it hears of the drain and registers anew.
        router.signal(Signal::SIGSTOP);
        site.registry.expire_leases();
        registered(false);
        site.state(1, "draining");
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
fn registry_configuration_is_applied_and_faulty_one_ignored() {
    let site = Site::new(1, 1);
    let (mut router, addr) = site.ready("etcd");
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let cook = || Conn::new(at.clone().user(Some("cook")).pass(Some("salt")));
    let key = format!("{PREFIX}config/mysql");
    assert!(cook().is_err());
    site.registry.put(&key, "[[mysql.user]]\nname = 'cook'\npassword = 'salt'\n");
    router.wait_for_log(&format!("registry configuration applied key={key:?}"));
    assert!(cook().is_ok() && connect(addr).is_err());
    for (bad, why) in [
        ("[[mysql.user]]\nname = 7\n", "expected text in 'name'"),
        ("[mysql]\nlisten = 'x'\n", "the key 'listen' is not known"),
        ("[store]\n", "the key 'store' is not known"),
    ] {
        site.registry.put(&key, bad);
        let line =
            router.wait_for_next_log("registry configuration rejected, the last valid one stays in force");
        assert!(line.contains(why) && line.contains(&format!("key={key:?}")), "{line}");
        assert!(cook().is_ok());
    }
    // SIGHUP reads the file and leaves the registry's word in force; without the key the file holds again.
    router.signal(Signal::SIGHUP);
    router.wait_for_next_log("configuration reloaded");
    assert!(cook().is_ok());
    site.registry.delete(&key);
    router.wait_for_next_log(&format!("registry configuration applied key={key:?}"));
    assert!(cook().is_err() && connect(addr).is_ok());
}

#[test]
fn session_peers_are_found_through_registry() {
    let mut site = Site::new(1, 1);
    // The servers' clocks have to be known before anything is granted, and nobody asks these routers for anything.
    site.mysql = "server_clock = true\nclock_skew_ms = 1".into();
    let (at, nowhere) = (common::environment::unused_addresses(3), common::environment::unused_addresses(3));
    let mut routers = Vec::new();
    for (n, own) in at.iter().enumerate() {
        site.more = format!("register = 'router-{n}'");
        // The first two list each other, at addresses where nobody listens. The third is listed by none.
        let peer = |p: usize| format!("[[sessions.peer]]\ninstance = {}\naddr = '{}'\n", p + 1, nowhere[p]);
        let peers = if n < 2 { peer(1 - n) } else { peer(0) + &peer(1) };
        site.sessions = format!("[sessions]\ninstance = {}\nlisten = '{own}'\n{peers}\n", n + 1);
        site.sessions.push_str(&"\n".repeat(n));
        routers.push(site.start("etcd"));
    }
    for (n, (router, _)) in routers.iter_mut().enumerate().take(2) {
        router.wait_for_log(&format!("session peer connected peer={}", 2 - n));
        router.wait_for_log("session peers up to date");
    }
    routers[2].0.wait_for_log("commits rejected by session peer peer=1 reason=NotListed");
    let refused = by_named(routers[2].1).unwrap_err().to_string();
    assert!(refused.contains("does not list this one"), "{refused}");
    // One that dies is not proven gone by an address that it may have left: nothing is relied on.
    routers.remove(1);
    routers[0].0.wait_for_log(
        "session peers not up to date, reads of named sessions must reflect all commits peers=2",
    );
}

#[test]
fn member_without_leader_or_too_slow_is_left() {
    for kind in ["etcd", "consul"] {
        let site = Site::new(2, 2);
        let (mut router, addr) = site.ready(kind);
        let load = Load::start(addr);
        (0..2).for_each(|m| site.registry.update_faults(m, |f| f.leaderless = true));
        (0..2).for_each(|m| site.registry.break_connections(m));
        router.wait_for_log(if kind == "etcd" { "no leader" } else { "knows no leader" });
        // Another leads, and what it has taken meanwhile counts; the other member is slow beyond patience.
        site.state(1, "draining");
        site.registry.update_faults(0, |f| (f.leaderless, f.response_delay) = (false, TIMEOUT));
        site.registry.update_faults(1, |f| f.leaderless = false);
        router.wait_for_log("endpoints=3 ready=2 ");
        gets_nothing_new(&site, 1, 2);
        drop(load);
    }
}

#[test]
fn read_compacted_between_pages_starts_again() {
    let site = Site::new(1, 1);
    site.registry.apply_together(|c| {
        for n in 0..2500 {
            let value = node(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 3306).into(), "draining");
            c.put(&format!("{PREFIX}nodes/extra-{n}"), value.into_bytes(), None);
        }
    });
    site.registry.update_faults(0, |f| f.compact_after_first_page = true);
    let (mut router, _) = site.start("etcd");
    router.wait_for_log("endpoints=2502 ready=2 ");
}

#[test]
fn oversized_response_closes_only_its_connection() {
    let site = Site::new(1, 1);
    let (mut router, addr) = site.ready("consul");
    site.registry.put("/damsonvale/shop/other", &"x".repeat(9 << 20));
    router.wait_for_log("the response is longer than");
    assert!(by(&mut connect(addr).unwrap()).is_ok());
    // It is read again once the key is small.
    site.registry.put("/damsonvale/shop/other", "x");
    site.state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
}

#[test]
fn expired_token_is_renewed() {
    let mut site = Site::new(1, 1);
    site.registry.require_user("router", "secret");
    site.more = "user = 'router'\npassword = 'secret'".into();
    let (mut router, _) = site.ready("etcd");
    site.registry.require_user("router", "secret");
    let watches = site.registry.watch_count(0);
    site.registry.break_connections(0);
    let begun = Instant::now();
    while site.registry.watch_count(0) == watches {
        assert!(begun.elapsed() < TIMEOUT);
    }
    site.state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
    site.more = "user = 'router'\npassword = 'wrong'".into();
    let (mut router, _) = site.start("etcd");
    router.wait_for_log("authentication failed");
}

#[test]
fn consul_health_adds_nodes_and_failing_checks_drain() {
    let mut site = Site::new(1, 2);
    (0..3).for_each(|s| _ = site.registry.delete(&site.key(s)));
    site.more = "service = 'shop-db'".into();
    let instances = |failing: usize| {
        let servers = site.fleet.servers();
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
    site.registry.set_service("shop-db", instances(9));
    let (mut router, addr) = site.ready("consul");
    let load = Load::start(addr);
    site.registry.set_service("shop-db", instances(1));
    router.wait_for_log("endpoints=3 ready=2 ");
    gets_nothing_new(&site, 1, 2);
    site.registry.set_service("shop-db", instances(9));
    until_by(&mut connect(addr).unwrap(), "replica-1");
    drop(load);
}

#[test]
fn operator_commands_show_and_change_entries() {
    for kind in ["etcd", "consul"] {
        let site = Site::new(1, 1);
        let (code, out, _) = site.command(kind, &["get", "nodes/"]);
        assert!(code == Some(0) && out.lines().count() == 2, "{out}");
        assert_eq!(site.command(kind, &["drain", "replica-1"]).0, Some(0));
        assert!(site.registry.entries()[&site.key(1)].contains("draining"));
        assert_eq!(site.command(kind, &["undrain", "replica-1"]).0, Some(0));
        assert!(site.registry.entries()[&site.key(1)].contains("in_service"));
        assert!(site.command(kind, &["drain", "none"]).2.contains("there is no"));
        assert!(site.command(kind, &["put", "nodes/x", "{}"]).2.contains("missing field `addr`"));
        assert_eq!(site.command(kind, &["put", "nodes/x", "{\"addr\":\"127.0.0.1:5\"}"]).0, Some(0));
        assert!(site.registry.entries().contains_key(&format!("{PREFIX}nodes/x")));
        let mut watch = Program::start(&["registry", &site.file(kind), "watch", "--changes", "1"], &[]);
        if kind == "etcd" {
            let begun = Instant::now();
            while site.registry.watch_count(0) == 0 {
                assert!(begun.elapsed() < TIMEOUT);
            }
        }
        let key = site.key(1);
        let begun = Instant::now();
        while watch.child.try_wait().unwrap().is_none() {
            // A change may come before a query that waits for one: another one follows.
            site.registry.put(&key, "changed");
            assert!(begun.elapsed() < TIMEOUT);
        }
        assert!(watch.wait_for_exit().1.contains("changed"));
    }
}

/// An authority, with a server's configuration that wants a certificate of it, and its files for a router.
fn authority(folder: &TestFolder) -> Arc<rustls::ServerConfig> {
    use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
    let mut of_ca = CertificateParams::new(vec![]).unwrap();
    of_ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_key = KeyPair::generate().unwrap();
    let ca = of_ca.self_signed(&ca_key).unwrap();
    let issuer = Issuer::new(of_ca, ca_key);
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
    let wants = rustls::server::WebPkiClientVerifier::builder_with_provider(roots.into(), provider.clone());
    let key = rustls::pki_types::PrivateKeyDer::try_from(server_key.serialize_der()).unwrap();
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_client_cert_verifier(wants.build().unwrap())
        .with_single_cert(vec![server.der().clone()], key)
        .unwrap();
    Arc::new(config)
}

#[test]
fn tls_requires_authorities_on_both_sides_and_follows_files() {
    let folder = TestFolder::new();
    let mut site = Site::over(Registry::start(1, Some(authority(&folder))), 1);
    let files = |cert: bool| {
        let of = |name: &str| folder.path().join(name).display().to_string();
        let own = format!("cert = '{}'\nkey = '{}'\n", of("cert.pem"), of("key.pem"));
        format!("[registry.tls]\nca = '{}'\n{}", of("ca.pem"), if cert { own } else { String::new() })
    };
    // Without a certificate of its own it is turned away.
    site.more = files(false);
    let (mut stranger, _) = site.start("etcd");
    stranger.wait_for_log("registry member no longer followed, trying another addr=127.0.0.1");
    drop(stranger);
    site.more = files(true);
    let (mut router, _) = site.ready("etcd");
    // A file that is no certificate leaves the old ones in force.
    folder.write("cert.pem", "nothing");
    site.registry.break_connections(0);
    router.wait_for_log("registry certificates rejected, the old ones stay in force");
    site.state(1, "draining");
    router.wait_for_log("endpoints=2 ready=1 ");
    // Another authority on both sides, while the router runs.
    site.registry.set_tls(authority(&folder));
    site.registry.break_connections(0);
    router.wait_for_log("registry certificates reloaded");
    site.state(1, "in_service");
    router.wait_for_next_log("endpoints=2 ready=2 ");
    let path = site.file("etcd");
    folder.write("ca.pem", "nothing");
    let mut faulty = Program::start(&["serve", &path], &[]);
    faulty.wait_for_log("registry: tls: ");
    assert_eq!(faulty.wait_for_exit().0, Some(1));
}

#[test]
fn thousands_of_changes_over_outages_give_registry_list() {
    const KEYS: u64 = 2500;
    let site = Site::new(2, 1);
    let value = |n: u64, state: &str| {
        let addr = format!("127.1.{}.{}:3306", n / 250, n % 250 + 1);
        format!("{{\"addr\":\"{addr}\",\"group\":{},\"state\":\"{state}\"}}", n + 1)
    };
    let key = |n: u64| format!("{PREFIX}nodes/extra-{n}");
    // More than one page of a read.
    site.registry.apply_together(|c| {
        (0..KEYS).for_each(|n| _ = c.put(&key(n), value(n, "in_service").into_bytes(), None));
    });
    let (mut router, addr) = site.ready("etcd");
    let mut x = 7u64;
    for step in 0..5000u64 {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (n, state) = ((x >> 33) % KEYS, if x >> 40 & 1 == 0 { "draining" } else { "in_service" });
        if x >> 50 & 7 == 0 {
            site.registry.delete(&key(n));
        } else {
            site.registry.put(&key(n), &value(n, state));
        }
        if step % 700 == 0 {
            site.registry.break_connections((step / 700 % 2) as usize);
            site.registry.compact();
        }
    }
    let all = site.registry.entries();
    let serving = all.values().filter(|v| v.contains("in_service")).count();
    router.wait_for_log(&format!("endpoints={} ready={serving} ", all.len()));
    until_by(&mut connect(addr).unwrap(), "replica-1");
}

#[test]
fn store_node_is_found_through_registry() {
    let mut site = Site::new(1, 1);
    let at = common::environment::unused_addresses(3);
    // Each knows itself; the first has an address for the second at which nobody listens.
    let peer = |n: usize, a: SocketAddr| format!("[[store.peer]]\nnode = {n}\naddr = '{a}'\n");
    let files = [peer(1, at[0]) + &peer(2, at[2]), peer(1, at[0]) + &peer(2, at[1]) + "\n"];
    let mut routers = Vec::new();
    for (n, peers) in files.iter().enumerate() {
        site.more = format!("register = 'router-{n}'");
        site.sessions = format!("[store]\nnode = {}\ncontrol = '127.0.0.1:0'\n{peers}", n + 1);
        let (mut router, _) = site.ready("etcd");
        let control =
            router.wait_for_log("store control listener bound ").rsplit("addr=").next().unwrap().to_string();
        routers.push((router, control));
    }
    routers[0].0.wait_for_log(&format!("store peer address changed node=2 addr={}", at[1]));
    // With both there is a majority: a change goes through.
    let begun = Instant::now();
    while !Program::start(&["ctl", &routers[0].1, "set", "a", "1"], &[]).child.wait().unwrap().success() {
        assert!(begun.elapsed() < TIMEOUT);
    }
}
