//! The fleet's audit: real processes, three store nodes that route and three more routers, each behind a way to the
//! store of its own that can be cut. What the record says is held against the routers' own logs.
mod common;
use common::TIMEOUT;
use common::environment::{TestFolder, unused_addresses};
use common::installation::{self, toml_list};
use common::program::{Program, Signal};
use mysql::Conn;
use mysql::prelude::Queryable;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use test_servers::proxy::Proxy;
use test_servers::replication_group::ReplicationGroup;

const ROUTERS: usize = 6;
/// A router that hears of no leader has fenced itself after this time.
const LEASE: Duration = Duration::from_secs(2);
/// Nothing is served later than this after a fence.
const AFTER: Duration = Duration::from_millis(250);

struct Installation {
    servers: ReplicationGroup,
    folder: TestFolder,
    peers: Vec<SocketAddr>,
    clients: Vec<SocketAddr>,
    lend: Vec<SocketAddr>,
    /// The ways of the routers that are no nodes.
    ways: Vec<Vec<Proxy>>,
    running: Vec<Option<(Program, SocketAddr)>>,
}

impl Installation {
    fn start(document: &str) -> (Installation, u64) {
        let servers = ReplicationGroup::start(&[Duration::ZERO], Duration::from_millis(1));
        let (peers, clients, lend) = (unused_addresses(3), unused_addresses(3), unused_addresses(3));
        let ways = (3..ROUTERS).map(|_| lend.iter().map(|a| Proxy::start(*a)).collect()).collect();
        let running = (0..ROUTERS).map(|_| None).collect();
        let mut all =
            Installation { servers, folder: TestFolder::new(), peers, clients, lend, ways, running };
        (0..ROUTERS).for_each(|i| all.run(i));
        let version = all.set(document);
        (0..ROUTERS).for_each(|i| all.in_force(i, version));
        (all, version)
    }

    fn run(&mut self, i: usize) {
        let servers = installation::server_tables(&self.servers, |_| String::new());
        let (allocators, listen, store) = if i < 3 {
            let store = installation::store_table(i, &self.peers, &self.clients);
            (toml_list(&self.lend), format!("listen = '{}'\n", self.lend[i]), store)
        } else {
            let ways: Vec<SocketAddr> = self.ways[i - 3].iter().map(|p| p.addr).collect();
            (toml_list(&ways), String::new(), String::new())
        };
        // Clocks off by seconds, and not the leader's, whose times the record has.
        let off = [0, 0, 0, 4000, -4000, 0][i];
        let text = format!(
            "[mysql]\nclock_offset_ms = {off}\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             [[mysql.class]]\nname = 'add'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 2000\ndeadline_ms = 4000\n\
             {servers}[fleet]\nname = 'router-{i}'\nslot = {}\nnodes = [{}]\nallocators = [{allocators}]\n{listen}\
             [fleet.audit]\n{store}",
            i + 1,
            toml_list(&self.clients),
        );
        let path = self.folder.write(&format!("router-{i}.toml"), &text);
        let mut program = Program::serve(&path);
        let addr = program.listening_address();
        self.running[i] = Some((program, addr));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until this router says that the version is in force.
    fn in_force(&mut self, i: usize, version: u64) {
        self.program(i).wait_for_log(&format!("fleet document in force version={version} fenced=false"));
    }

    fn store(&self) -> String {
        installation::comma_separated(&self.clients)
    }

    fn set(&self, text: &str) -> u64 {
        let path = self.folder.write("fleet.toml", text);
        let set = Program::start(&["fleet", "set", path.to_str().unwrap(), "--store", &self.store()], &[]);
        let (code, said) = set.wait_for_exit();
        assert_eq!(code, Some(0));
        said.trim().strip_prefix("version ").unwrap().parse().unwrap()
    }

    /// The audit of one router, and whether the command has said that a gap is open.
    fn audit(&self, i: usize) -> (Value, bool) {
        let (store, name) = (self.store(), format!("router-{i}"));
        let program =
            Program::start(&["fleet", "audit", "--json", "--router", &name, "--store", &store], &[]);
        let (code, said) = program.wait_for_exit();
        let seen: Value = serde_json::from_str(&said).unwrap();
        let open = seen["open"].as_bool().unwrap();
        assert_eq!(code, Some(if open { 2 } else { 0 }));
        (seen, open)
    }

    /// Waits until the record of a router is this: what it did, and with which version.
    fn recorded(&self, i: usize, expected: &[(&str, u64)]) -> Value {
        let begun = Instant::now();
        loop {
            let seen = self.audit(i).0;
            let rows = seen["rows"].as_array().unwrap();
            let rows: Vec<_> = rows
                .iter()
                .filter(|r| r["version"] != 0)
                .map(|r| (r["kind"].as_str().unwrap(), r["version"].as_u64().unwrap()))
                .collect();
            if rows == expected {
                return seen;
            }
            assert!(begun.elapsed() < TIMEOUT, "router-{i}: {rows:?}, expected {expected:?}");
        }
    }

    /// Waits until the record of a router's running start says what its own log does: the versions that were in force,
    /// in order, and since when.
    fn agrees(&mut self, i: usize) {
        let begun = Instant::now();
        loop {
            let logged: Vec<(u64, f64)> =
                self.program(i).log_lines().iter().filter_map(|l| in_force(l)).collect();
            let seen = self.audit(i).0;
            let rows = seen["rows"].as_array().unwrap();
            let start = rows.last().map(|r| r["start"].clone());
            let rows: Vec<(u64, f64)> = rows
                .iter()
                .filter(|r| r["kind"] == "acting" && Some(&r["start"]) == start.as_ref())
                .map(|r| (r["version"].as_u64().unwrap(), r["from"].as_f64().unwrap() / 1e6 % 86_400.0))
                .collect();
            // Both in seconds of the day. The router's clock may be off: its log's is not, nor is the leader's.
            let near = |((v, at), (w, logged)): (&(u64, f64), &(u64, f64))| {
                v == w && ((at - logged).abs() < 1.0 || (at - logged).abs() > 86_399.0)
            };
            if rows.len() == logged.len() && rows.iter().zip(&logged).all(near) {
                return;
            }
            assert!(begun.elapsed() < TIMEOUT, "router-{i}: recorded {rows:?}, logged {logged:?}");
        }
    }

    fn connect(&self, i: usize) -> Conn {
        let addr = self.running[i].as_ref().unwrap().1;
        installation::connect(addr)
    }

    fn writes(&self) -> usize {
        (0..2).map(|i| self.servers.counts(i).writes).sum()
    }
}

/// The version that a line says is in force, and its second of the day.
fn in_force(line: &str) -> Option<(u64, f64)> {
    let version = line.split("fleet document in force version=").nth(1)?.split(' ').next()?.parse().ok()?;
    let mut clock = line.split('T').nth(1)?.split('Z').next()?.split(':').map(|n| n.parse::<f64>().unwrap());
    Some((version, clock.next()? * 3600.0 + clock.next()? * 60.0 + clock.next()?))
}

fn write(conn: &mut Conn, tenant: &str) -> mysql::Result<()> {
    conn.query_drop(format!("INSERT INTO basket VALUES ('k', 1) /* c=add,t={tenant} */"))
}

/// Asks until a write is served.
fn served(conn: &mut Conn, tenant: &str) {
    let begun = Instant::now();
    while let Err(e) = write(conn, tenant) {
        assert!(begun.elapsed() < TIMEOUT, "{e}");
    }
}

/// Asks until a write is refused with this reason.
fn refused(conn: &mut Conn, reason: &str) {
    let begun = Instant::now();
    loop {
        match write(conn, "all") {
            Err(e) if e.to_string().contains(reason) => return,
            other => assert!(begun.elapsed() < TIMEOUT, "{other:?}"),
        }
    }
}

/// Whoever goes by the open one serves `tills`; by the shut one nobody does.
fn document(more: &str) -> String {
    format!("routers = 8\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n[[tenant]]\nname = 'tills'\n{more}")
}

#[test]
fn stopped_router_routes_nothing_by_old_version() {
    let (mut all, first) = Installation::start(&document(""));
    let mut conn = all.connect(3);
    served(&mut conn, "tills");
    let waiting: Vec<Conn> = (0..8).map(|_| all.connect(3)).collect();
    all.program(3).signal(Signal::SIGSTOP);
    let second = all.set(&document("rate = 0.0\nburst = 1\n"));
    let third = all.set(&document("rate = 0.0\nburst = 2\n"));
    (0..3).chain([4, 5]).for_each(|i| all.in_force(i, third));
    // Its silence is in the record while it lasts.
    let seen = all.recorded(3, &[("acting", first), ("silent", first)]);
    assert!(seen["rows"][1]["from"].as_i64().unwrap() > seen["rows"][0]["from"].as_i64().unwrap());
    let before = all.writes();
    // Asked while it stands still: read as it goes on, maybe before it has heard of anything.
    let ask = |mut conn: Conn| std::thread::spawn(move || write(&mut conn, "tills"));
    let waiting: Vec<_> = waiting.into_iter().map(ask).collect();
    all.program(3).signal(Signal::SIGCONT);
    assert!(waiting.into_iter().all(|w| w.join().unwrap().is_err()));
    // The open version would have served each.
    assert!((0..50).all(|_| write(&mut conn, "tills").is_err()));
    assert_eq!(all.writes(), before);
    all.in_force(3, third);
    served(&mut conn, "all");
    assert!((0..50).all(|_| write(&mut conn, "tills").is_err()));
    let seen =
        all.recorded(3, &[("acting", first), ("silent", first), ("shutout", first), ("acting", third)]);
    assert!(seen["rows"][3]["epoch"].as_u64() >= Some(1 << 32));
    // The router says the same.
    all.program(3).wait_for_log(&format!("it is shut out under epoch {}", seen["rows"][3]["epoch"]));
    assert!(second < third);
    (0..ROUTERS).for_each(|i| all.agrees(i));
}

#[test]
fn partitioned_router_fences_itself_and_reports_it() {
    let (mut all, first) = Installation::start(&document(""));
    let mut conn = all.connect(3);
    served(&mut conn, "all");
    all.ways[0].iter().for_each(Proxy::cut);
    let cut = Instant::now();
    refused(&mut conn, "this router is fenced: nobody has confirmed its version");
    let fenced = cut.elapsed();
    assert!(fenced <= LEASE + AFTER, "{fenced:?}");
    let before = all.writes();
    assert!((0..50).all(|_| write(&mut conn, "all").is_err()));
    assert_eq!(all.writes(), before);
    all.recorded(3, &[("acting", first), ("silent", first)]);
    let begun = Instant::now();
    while !all.audit(3).1 {
        assert!(begun.elapsed() < TIMEOUT);
    }
    let table = Program::start(&["fleet", "audit", "--since", "60", "--store", &all.store()], &[]);
    let (code, said) = table.wait_for_exit();
    assert!(code == Some(2) && said.contains(" to now: router-3 is silent"), "{said}");
    assert!(said.lines().filter(|l| l.starts_with("router-") && l.contains(" acting ")).count() >= ROUTERS);
    // The others go on.
    served(&mut all.connect(4), "all");
    all.ways[0].iter().for_each(Proxy::heal);
    served(&mut conn, "all");
    let seen = all.recorded(3, &[("acting", first), ("silent", first), ("acting", first)]);
    // It was back in the record before it served again, or within a write of it.
    assert!(seen["rows"][1]["until"].as_i64().is_some());
    all.program(3).wait_for_log("this router is fenced: nobody has confirmed its version");
    (0..ROUTERS).for_each(|i| all.agrees(i));
}

#[test]
fn audit_record_survives_loss_of_leader_and_router() {
    let (mut all, first) = Installation::start(&document(""));
    let line = all.program(0).wait_for_log("store leader elected leader=");
    let node = line.split(" leader=").nth(1).unwrap().split(' ').next().unwrap();
    let leader = node.parse::<usize>().unwrap() - 1;
    (0..ROUTERS).for_each(|i| _ = all.recorded(i, &[("acting", first)]));
    let second = all.set(&document("rate = 0.0\nburst = 1\n"));
    all.running[leader] = None;
    all.running[4] = None;
    all.run(4);
    for i in (0..ROUTERS).filter(|i| *i != leader) {
        all.in_force(i, second);
        let mut conn = all.connect(i);
        served(&mut conn, "all");
        assert!(write(&mut conn, "tills").is_err());
        // Whether silent for the time without a leader or not, it has gone from the first to the second.
        let begun = Instant::now();
        loop {
            let seen = all.audit(i).0;
            let rows = seen["rows"].as_array().unwrap();
            let acting: Vec<_> = rows
                .iter()
                .filter(|r| r["kind"] == "acting" && r["version"] != 0)
                .map(|r| r["version"].clone())
                .collect();
            if acting.last().is_some_and(|v| *v == second) {
                assert!(acting.iter().all(|v| *v == first || *v == second), "{acting:?}");
                break;
            }
            assert!(begun.elapsed() < TIMEOUT, "router-{i}: {rows:?}");
        }
    }
    let starts = all.audit(4).0["rows"].as_array().unwrap().clone();
    assert_ne!(starts.first().unwrap()["start"], starts.last().unwrap()["start"]);
    (0..ROUTERS).filter(|i| *i != leader).for_each(|i| all.agrees(i));
    // The one that is lost is found silent by the next leader.
    let begun = Instant::now();
    while all.audit(leader).0["rows"].as_array().unwrap().last().unwrap()["kind"] != "silent" {
        assert!(begun.elapsed() < TIMEOUT);
    }
}

#[test]
fn router_that_never_fetches_is_notified_then_fenced_out() {
    let (all, first) = Installation::start(&document(""));
    // One that reports as a router does and holds on to the first version.
    let mut socket: Option<TcpStream> = None;
    let (mut seq, mut told, mut at, begun) = (0, 0, 0, Instant::now());
    let mut changed = None;
    let epoch = loop {
        assert!(begun.elapsed() < TIMEOUT);
        let patience = Duration::from_secs(2);
        if socket.is_none() {
            let open = TcpStream::connect(all.lend[at]).unwrap();
            fleet::wire::send_hello(&open).unwrap();
            fleet::wire::receive_hello(&open, patience).unwrap();
            let _: fleet::wire::Response = fleet::wire::receive(&open, patience, patience).unwrap();
            socket = Some(open);
        }
        let to = socket.as_ref().unwrap();
        seq += 1;
        let report = quotas::Report {
            router: "straggler".into(),
            incarnation: 1,
            seq,
            term: 0,
            applied_seq: 0,
            version: first,
            leaving: false,
            held: None,
            demand: Vec::new(),
        };
        let version_report = audit::VersionReport::default();
        fleet::wire::send(to, &fleet::wire::Request::Report { quota_report: report, version_report })
            .unwrap();
        match fleet::wire::receive(to, patience, patience).unwrap() {
            fleet::wire::Response::NotLeader { .. } => (at, socket) = ((at + 1) % 3, None),
            fleet::wire::Response::Report { audit_directive: audit::Directive::Refetch { .. }, .. } => {
                told += 1;
            }
            fleet::wire::Response::Report {
                audit_directive: audit::Directive::FenceOut { epoch }, ..
            } => break epoch,
            fleet::wire::Response::Report { .. } if changed.is_none() => {
                all.set(&document("rate = 0.0\nburst = 1\n"));
                changed = Some(Instant::now());
            }
            fleet::wire::Response::Report { .. } => {}
            odd => panic!("{odd:?}"),
        }
        // A router's pace, as good as.
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(told == 3 && epoch >= 1 << 32, "{told}");
    assert!(changed.unwrap().elapsed() >= Duration::from_millis(800 + 3 * 150));
}
