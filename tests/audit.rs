//! Audit of the fleet's document versions, with processes of the program: three routers that are also store
//! nodes, and three more routers that reach the quota allocators through proxies whose connections can be
//! cut. The audit record is compared with the routers' own logs.
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
/// A router that receives nothing from a leader fences itself within this time.
const LEASE: Duration = Duration::from_secs(2);
/// The time that fencing may take after `LEASE` has passed.
const FENCE_TOLERANCE: Duration = Duration::from_millis(250);

struct Installation {
    servers: ReplicationGroup,
    folder: TestFolder,
    peer_addresses: Vec<SocketAddr>,
    store_addresses: Vec<SocketAddr>,
    allocator_addresses: Vec<SocketAddr>,
    /// Proxies to the allocators, for each router that is not a store node.
    allocator_proxies: Vec<Vec<Proxy>>,
    running: Vec<Option<(Program, SocketAddr)>>,
}

impl Installation {
    fn start(document: &str) -> (Installation, u64) {
        let servers = ReplicationGroup::start(&[Duration::ZERO], Duration::from_millis(1));
        let (peer_addresses, store_addresses, allocator_addresses) =
            (unused_addresses(3), unused_addresses(3), unused_addresses(3));
        let allocator_proxies =
            (3..ROUTERS).map(|_| allocator_addresses.iter().map(|a| Proxy::start(*a)).collect()).collect();
        let running = (0..ROUTERS).map(|_| None).collect();
        let mut installation = Installation {
            servers,
            folder: TestFolder::new(),
            peer_addresses,
            store_addresses,
            allocator_addresses,
            allocator_proxies,
            running,
        };
        (0..ROUTERS).for_each(|i| installation.start_router(i));
        let version = installation.set_document(document);
        (0..ROUTERS).for_each(|i| installation.wait_until_in_force(i, version));
        (installation, version)
    }

    fn start_router(&mut self, i: usize) {
        let servers = installation::server_tables(&self.servers, |_| String::new());
        let (allocators, listen, store) = if i < 3 {
            let store = installation::store_table(i, &self.peer_addresses, &self.store_addresses);
            (
                toml_list(&self.allocator_addresses),
                format!("listen = '{}'\n", self.allocator_addresses[i]),
                store,
            )
        } else {
            let allocator_proxies: Vec<SocketAddr> =
                self.allocator_proxies[i - 3].iter().map(|p| p.addr).collect();
            (toml_list(&allocator_proxies), String::new(), String::new())
        };
        // Two routers have clocks that are wrong by seconds. The record has the leader's times, so these must
        // not appear in it.
        let clock_offset_ms = [0, 0, 0, 4000, -4000, 0][i];
        let text = format!(
            "[mysql]\nclock_offset_ms = {clock_offset_ms}\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
             [[mysql.class]]\nname = 'add'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 2000\ndeadline_ms = 4000\n\
             {servers}[fleet]\nname = 'router-{i}'\nslot = {}\nnodes = [{}]\nallocators = [{allocators}]\n{listen}\
             [fleet.audit]\n{store}",
            i + 1,
            toml_list(&self.store_addresses),
        );
        let path = self.folder.write(&format!("router-{i}.toml"), &text);
        let mut program = Program::serve(&path);
        let addr = program.listening_address();
        self.running[i] = Some((program, addr));
    }

    fn program(&mut self, i: usize) -> &mut Program {
        &mut self.running[i].as_mut().unwrap().0
    }

    /// Waits until the router logs that the version is in force.
    fn wait_until_in_force(&mut self, i: usize, version: u64) {
        self.program(i).wait_for_log(&format!("fleet document in force version={version} fenced=false"));
    }

    fn store_argument(&self) -> String {
        installation::comma_separated(&self.store_addresses)
    }

    fn set_document(&self, text: &str) -> u64 {
        let path = self.folder.write("fleet.toml", text);
        let command =
            Program::start(&["fleet", "set", path.to_str().unwrap(), "--store", &self.store_argument()], &[]);
        let (code, output) = command.wait_for_exit();
        assert_eq!(code, Some(0));
        output.trim().strip_prefix("version ").unwrap().parse().unwrap()
    }

    /// The audit record of one router, and whether the command reports an open gap.
    fn audit(&self, i: usize) -> (Value, bool) {
        let (store, name) = (self.store_argument(), format!("router-{i}"));
        let program =
            Program::start(&["fleet", "audit", "--json", "--router", &name, "--store", &store], &[]);
        let (code, output) = program.wait_for_exit();
        let record: Value = serde_json::from_str(&output).unwrap();
        let open = record["open"].as_bool().unwrap();
        assert_eq!(code, Some(if open { 2 } else { 0 }));
        (record, open)
    }

    /// Waits until the record of a router has exactly these rows: the kind of the interval and the version.
    fn wait_for_record(&self, i: usize, expected: &[(&str, u64)]) -> Value {
        let started_at = Instant::now();
        loop {
            let record = self.audit(i).0;
            let rows = record["rows"].as_array().unwrap();
            let rows: Vec<_> = rows
                .iter()
                .filter(|r| r["version"] != 0)
                .map(|r| (r["kind"].as_str().unwrap(), r["version"].as_u64().unwrap()))
                .collect();
            if rows == expected {
                return record;
            }
            assert!(started_at.elapsed() < TIMEOUT, "router-{i}: {rows:?}, expected {expected:?}");
        }
    }

    /// Waits until the record of the router's current incarnation agrees with the router's log: the versions
    /// that were in force, in order, and the start time of each.
    fn wait_until_record_matches_log(&mut self, i: usize) {
        let started_at = Instant::now();
        loop {
            let logged: Vec<(u64, f64)> =
                self.program(i).log_lines().iter().filter_map(|l| parse_in_force_line(l)).collect();
            let record = self.audit(i).0;
            let rows = record["rows"].as_array().unwrap();
            let start = rows.last().map(|r| r["start"].clone());
            let rows: Vec<(u64, f64)> = rows
                .iter()
                .filter(|r| r["kind"] == "acting" && Some(&r["start"]) == start.as_ref())
                .map(|r| (r["version"].as_u64().unwrap(), r["from"].as_f64().unwrap() / 1e6 % 86_400.0))
                .collect();
            // The times of the record and of the log are seconds of the day. The router's configured clock
            // offset affects neither.
            let matches_log = |((v, at), (w, logged)): (&(u64, f64), &(u64, f64))| {
                v == w && ((at - logged).abs() < 1.0 || (at - logged).abs() > 86_399.0)
            };
            if rows.len() == logged.len() && rows.iter().zip(&logged).all(matches_log) {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "router-{i}: recorded {rows:?}, logged {logged:?}");
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

/// The version that a log line reports as in force, and the line's time in seconds of the day.
fn parse_in_force_line(line: &str) -> Option<(u64, f64)> {
    let version = line.split("fleet document in force version=").nth(1)?.split(' ').next()?.parse().ok()?;
    let mut clock = line.split('T').nth(1)?.split('Z').next()?.split(':').map(|n| n.parse::<f64>().unwrap());
    Some((version, clock.next()? * 3600.0 + clock.next()? * 60.0 + clock.next()?))
}

fn write(conn: &mut Conn, tenant: &str) -> mysql::Result<()> {
    conn.query_drop(format!("INSERT INTO basket VALUES ('k', 1) /* c=add,t={tenant} */"))
}

/// Repeats a write until it succeeds.
fn write_until_served(conn: &mut Conn, tenant: &str) {
    let started_at = Instant::now();
    while let Err(e) = write(conn, tenant) {
        assert!(started_at.elapsed() < TIMEOUT, "{e}");
    }
}

/// Repeats a write until it is rejected with this reason.
fn write_until_rejected(conn: &mut Conn, reason: &str) {
    let started_at = Instant::now();
    loop {
        match write(conn, "all") {
            Err(e) if e.to_string().contains(reason) => return,
            other => assert!(started_at.elapsed() < TIMEOUT, "{other:?}"),
        }
    }
}

/// A document with the tenants `all` and `tills`; `more` is appended to `tills`. Without a quota in `more`,
/// writes of `tills` are admitted; with a rate of 0 they are rejected.
fn document(more: &str) -> String {
    format!("routers = 8\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n[[tenant]]\nname = 'tills'\n{more}")
}

#[test]
fn resumed_router_serves_nothing_by_outdated_version() {
    let (mut installation, first_version) = Installation::start(&document(""));
    let mut conn = installation.connect(3);
    write_until_served(&mut conn, "tills");
    let idle_clients: Vec<Conn> = (0..8).map(|_| installation.connect(3)).collect();
    installation.program(3).signal(Signal::SIGSTOP);
    let second_version = installation.set_document(&document("rate = 0.0\nburst = 1\n"));
    let third_version = installation.set_document(&document("rate = 0.0\nburst = 2\n"));
    (0..3).chain([4, 5]).for_each(|i| installation.wait_until_in_force(i, third_version));
    // The record shows the router as silent while it is still stopped.
    let record = installation.wait_for_record(3, &[("acting", first_version), ("silent", first_version)]);
    assert!(record["rows"][1]["from"].as_i64().unwrap() > record["rows"][0]["from"].as_i64().unwrap());
    let before = installation.writes();
    // These writes are sent while the router is stopped. The router reads them when it resumes, possibly
    // before it receives anything from the leader.
    let start_write = |mut conn: Conn| std::thread::spawn(move || write(&mut conn, "tills"));
    let pending_writes: Vec<_> = idle_clients.into_iter().map(start_write).collect();
    installation.program(3).signal(Signal::SIGCONT);
    assert!(pending_writes.into_iter().all(|w| w.join().unwrap().is_err()));
    // Under the first version, which has no quota, each of these writes would be served.
    assert!((0..50).all(|_| write(&mut conn, "tills").is_err()));
    assert_eq!(installation.writes(), before);
    installation.wait_until_in_force(3, third_version);
    write_until_served(&mut conn, "all");
    assert!((0..50).all(|_| write(&mut conn, "tills").is_err()));
    let record = installation.wait_for_record(
        3,
        &[
            ("acting", first_version),
            ("silent", first_version),
            ("shutout", first_version),
            ("acting", third_version),
        ],
    );
    assert!(record["rows"][3]["epoch"].as_u64() >= Some(1 << 32));
    // The router's log has the same epoch as the audit record.
    installation
        .program(3)
        .wait_for_log(&format!("it is shut out under epoch {}", record["rows"][3]["epoch"]));
    assert!(second_version < third_version);
    (0..ROUTERS).for_each(|i| installation.wait_until_record_matches_log(i));
}

#[test]
fn partitioned_router_fences_itself_and_reports_it() {
    let (mut installation, first_version) = Installation::start(&document(""));
    let mut conn = installation.connect(3);
    write_until_served(&mut conn, "all");
    installation.allocator_proxies[0].iter().for_each(Proxy::cut);
    let cut_at = Instant::now();
    write_until_rejected(&mut conn, "this router is fenced: nobody has confirmed its version");
    let fenced_after = cut_at.elapsed();
    assert!(fenced_after <= LEASE + FENCE_TOLERANCE, "{fenced_after:?}");
    let before = installation.writes();
    assert!((0..50).all(|_| write(&mut conn, "all").is_err()));
    assert_eq!(installation.writes(), before);
    installation.wait_for_record(3, &[("acting", first_version), ("silent", first_version)]);
    let started_at = Instant::now();
    while !installation.audit(3).1 {
        assert!(started_at.elapsed() < TIMEOUT);
    }
    let table =
        Program::start(&["fleet", "audit", "--since", "60", "--store", &installation.store_argument()], &[]);
    let (code, output) = table.wait_for_exit();
    assert!(code == Some(2) && output.contains(" to now: router-3 is silent"), "{output}");
    assert!(output.lines().filter(|l| l.starts_with("router-") && l.contains(" acting ")).count() >= ROUTERS);
    // The other routers still serve.
    write_until_served(&mut installation.connect(4), "all");
    installation.allocator_proxies[0].iter().for_each(Proxy::heal);
    write_until_served(&mut conn, "all");
    let record = installation.wait_for_record(
        3,
        &[("acting", first_version), ("silent", first_version), ("acting", first_version)],
    );
    // The record must show the end of the silent interval by the time the router serves again.
    assert!(record["rows"][1]["until"].as_i64().is_some());
    installation.program(3).wait_for_log("this router is fenced: nobody has confirmed its version");
    (0..ROUTERS).for_each(|i| installation.wait_until_record_matches_log(i));
}

#[test]
fn audit_record_survives_loss_of_leader_and_router() {
    let (mut installation, first_version) = Installation::start(&document(""));
    let line = installation.program(0).wait_for_log("store leader elected leader=");
    let node_number = line.split(" leader=").nth(1).unwrap().split(' ').next().unwrap();
    let leader = node_number.parse::<usize>().unwrap() - 1;
    (0..ROUTERS).for_each(|i| _ = installation.wait_for_record(i, &[("acting", first_version)]));
    let second_version = installation.set_document(&document("rate = 0.0\nburst = 1\n"));
    installation.running[leader] = None;
    installation.running[4] = None;
    installation.start_router(4);
    for i in (0..ROUTERS).filter(|i| *i != leader) {
        installation.wait_until_in_force(i, second_version);
        let mut conn = installation.connect(i);
        write_until_served(&mut conn, "all");
        assert!(write(&mut conn, "tills").is_err());
        // Each router's record goes from the first version to the second, with or without a silent interval
        // while there was no leader.
        let started_at = Instant::now();
        loop {
            let record = installation.audit(i).0;
            let rows = record["rows"].as_array().unwrap();
            let acting: Vec<_> = rows
                .iter()
                .filter(|r| r["kind"] == "acting" && r["version"] != 0)
                .map(|r| r["version"].clone())
                .collect();
            if acting.last().is_some_and(|v| *v == second_version) {
                assert!(acting.iter().all(|v| *v == first_version || *v == second_version), "{acting:?}");
                break;
            }
            assert!(started_at.elapsed() < TIMEOUT, "router-{i}: {rows:?}");
        }
    }
    let rows = installation.audit(4).0["rows"].as_array().unwrap().clone();
    assert_ne!(rows.first().unwrap()["start"], rows.last().unwrap()["start"]);
    (0..ROUTERS).filter(|i| *i != leader).for_each(|i| installation.wait_until_record_matches_log(i));
    // The new leader records the killed router as silent.
    let started_at = Instant::now();
    while installation.audit(leader).0["rows"].as_array().unwrap().last().unwrap()["kind"] != "silent" {
        assert!(started_at.elapsed() < TIMEOUT);
    }
}

#[test]
fn router_that_never_fetches_is_notified_then_fenced_out() {
    let (installation, first_version) = Installation::start(&document(""));
    // A client that sends reports as a router does, but never fetches a version after the first.
    let mut socket: Option<TcpStream> = None;
    let (mut seq, mut refetch_count, mut node, started_at) = (0, 0, 0, Instant::now());
    let mut changed_at = None;
    let epoch = loop {
        assert!(started_at.elapsed() < TIMEOUT);
        let timeout = Duration::from_secs(2);
        if socket.is_none() {
            let connected = TcpStream::connect(installation.allocator_addresses[node]).unwrap();
            fleet::wire::send_hello(&connected).unwrap();
            fleet::wire::receive_hello(&connected, timeout).unwrap();
            let _: fleet::wire::Response = fleet::wire::receive(&connected, timeout, timeout).unwrap();
            socket = Some(connected);
        }
        let stream = socket.as_ref().unwrap();
        seq += 1;
        let report = quotas::Report {
            router: "straggler".into(),
            incarnation: 1,
            seq,
            term: 0,
            applied_seq: 0,
            version: first_version,
            leaving: false,
            held: None,
            demand: Vec::new(),
        };
        let version_report = audit::VersionReport::default();
        fleet::wire::send(stream, &fleet::wire::Request::Report { quota_report: report, version_report })
            .unwrap();
        match fleet::wire::receive(stream, timeout, timeout).unwrap() {
            fleet::wire::Response::NotLeader { .. } => (node, socket) = ((node + 1) % 3, None),
            fleet::wire::Response::Report { audit_directive: audit::Directive::Refetch { .. }, .. } => {
                refetch_count += 1;
            }
            fleet::wire::Response::Report {
                audit_directive: audit::Directive::FenceOut { epoch }, ..
            } => break epoch,
            fleet::wire::Response::Report { .. } if changed_at.is_none() => {
                installation.set_document(&document("rate = 0.0\nburst = 1\n"));
                changed_at = Some(Instant::now());
            }
            fleet::wire::Response::Report { .. } => {}
            unexpected => panic!("{unexpected:?}"),
        }
        // A router sends reports at about this interval.
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(refetch_count == 3 && epoch >= 1 << 32, "{refetch_count}");
    assert!(changed_at.unwrap().elapsed() >= Duration::from_millis(800 + 3 * 150));
}
