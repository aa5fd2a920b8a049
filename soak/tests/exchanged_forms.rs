//! Compares the routers' configurations, the discovery protocol, the encoded messages and the printed report
//! with fixtures.
mod fixture;
mod records;

use fixture::assert_fixture;
use soak::history::{
    Absence, AbsenceReason, Attempt, History, InvariantViolations, Outcome, Request, RouterFailure, Sample,
    ServerStart, SessionRead, SessionWrites, Stall, StoreRecord, UnexpectedResponse, Withdrawal,
};
use soak::oracle::check;
use soak::platform::settings::RouterSettings;
use soak::report::Report;
use soak::serve::settings::{Addresses, NamedServer, config_text};

use soak::class::Class;
use soak::environment::clock::RunClock;
use soak::environment::discovery::{DiscoveryAgents, Endpoint, EndpointState};
use soak::environment::wire;
use soak::fault::{FaultKind, PlannedFault};
use soak::time::SECOND;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(server: usize, primary: bool) -> Endpoint {
    Endpoint {
        server,
        id: format!("s{server}-0"),
        group: 0,
        state: EndpointState::InService,
        primary,
        started_ms: 0,
    }
}

/// Starts the discovery agent of one router and lists three servers, one of which is replaced by a newly
/// started one.
fn agents() -> (DiscoveryAgents, Vec<SocketAddr>) {
    let servers: Vec<SocketAddr> = (7001..7004).map(address).collect();
    let agents = DiscoveryAgents::start(vec![servers.clone()], &RunClock::start()).unwrap();
    (0..3).for_each(|server| _ = agents.change(endpoint(server, server == 0)));
    agents.change(Endpoint { state: EndpointState::Terminated, ..endpoint(2, false) });
    agents.change(Endpoint { id: "s2-1".into(), started_ms: 1_700_000_000_123, ..endpoint(2, false) });
    (agents, servers)
}

/// Requests the changes after a version from an agent and returns its response once it has this many lines.
fn watch(agents: &DiscoveryAgents, version: u64, lines: usize) -> String {
    let mut socket = TcpStream::connect(agents.addresses[0][0]).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    write!(socket, "GET /v1/watch?index={version} HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let mut text = String::new();
    while text.matches('\n').count() < lines {
        let mut bytes = [0; 4096];
        let count = socket.read(&mut bytes).unwrap();
        assert!(count > 0, "the agent closed the connection after {text:?}");
        text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
    }
    text
}

#[test]
fn platform_config_matches_fixture() {
    let (agents, servers) = agents();
    let endpoints = agents.list_json(&servers);
    let settings = RouterSettings {
        router: 3,
        listen: address(1),
        admin: address(2),
        discovery: address(3),
        endpoints,
        routers: 12,
    };
    let config = settings.to_json();
    assert_fixture("platform_config.json", &format!("{config}\n"));
}

#[test]
fn serve_config_matches_fixture() {
    let numbered = |from: u16, count: u16| (from..from + count).map(address).collect::<Vec<_>>();
    let addresses = Addresses {
        clients: numbered(1000, 4),
        control_addresses: numbered(2000, 4),
        sessions: numbered(3000, 4),
        members: numbered(4000, 4),
        store_peers: numbered(5000, 3),
        store_clients: numbered(6000, 3),
    };
    let server = |id: &str, port| NamedServer { id: id.into(), address: address(port) };
    let servers = [server("db1", 3306), server("db2", 3307)];
    let mut text = String::new();
    for router in [0, 3] {
        _ = writeln!(
            text,
            "## router {router}\n{}",
            config_text(router, &addresses, &servers, Path::new("/run/soak"))
        );
    }
    assert_fixture("serve_config.txt", &text);
}

#[test]
fn discovery_sends_complete_list_then_changes() {
    let (agents, _) = agents();
    let complete_list = watch(&agents, 0, 6);
    let changes = watch(&agents, 3, 9);
    assert_fixture(
        "discovery_watch.txt",
        &format!("{complete_list}## after version 3\n{changes}").replace('\r', "<CR>"),
    );
}

#[test]
fn messages_match_fixture_and_decode() {
    let messages = [
        ("ready", wire::ready_for_query()),
        ("row", wire::row_response("2a.1.7")),
        ("error", wire::error_message("53300")),
        ("parameter", wire::parameter_status("mode", "read-only")),
        ("startup", wire::startup_message()),
        ("cancel", wire::cancel_request(&[1, 2, 3, 4, 5, 6, 7, 8])),
    ];
    let mut text = String::new();
    for (name, bytes) in messages {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        _ = writeln!(text, "{name} {hex}");
    }
    assert_fixture("messages.txt", &text);
    let mut row = wire::row_response("2a.1.7");
    assert_eq!(wire::take_message(&mut row).unwrap().tag, b'T');
    assert_eq!(wire::row_value(&wire::take_message(&mut row).unwrap().body), "2a.1.7");
    let wire::Message { tag, body } = wire::take_message(&mut wire::error_message("53300")).unwrap();
    assert_eq!((tag, wire::error_field(&body, 'C').as_deref()), (b'E', Some("53300")));
    assert_eq!(wire::comment_value("SELECT 1 /* id=2a,c=any */", "c"), Some("any"));
}

fn request(id: u64, class: Class, outcome: Outcome) -> Request {
    Request { router: 1, connection: 4, connected_at: SECOND, class, outcome, ..records::request(id) }
}

fn attempt(id: u64, server: usize) -> Attempt {
    Attempt { router: 1, ..records::attempt(id, server) }
}

fn violations(router: usize, invariant: &str, count: u64) -> InvariantViolations {
    InvariantViolations { router, invariant: invariant.into(), count }
}

/// Returns a history that breaks every promise.
fn broken_history() -> History {
    let late_response =
        Request { ended_at: 14 * SECOND, ..request(0xa2, Class::Any, Outcome::Served("a2.2.9".into())) };
    let disconnected =
        Request { ended_at: 10 * SECOND - 500_000, ..request(0xa3, Class::Any, Outcome::Disconnected) };
    let cancelled = Request {
        cancelled_at: Some(10 * SECOND + 40_000),
        ..request(0xa9, Class::Any, Outcome::Error("57014".into()))
    };
    let requests = vec![
        request(0xa0, Class::Any, Outcome::Pending),
        request(0xa1, Class::Any, Outcome::Closed),
        late_response,
        disconnected,
        request(0xa4, Class::Write, Outcome::Served("a4.0.3".into())),
        request(0xa5, Class::Keyed, Outcome::Served("a5.0.5".into())),
        request(0xa6, Class::Write, Outcome::Error("53300".into())),
        request(0xa7, Class::Bounded, Outcome::Served("a7.3.8".into())),
        request(0xa8, Class::Any, Outcome::Error("08006".into())),
        cancelled,
    ];
    let second_run = Attempt { first_byte_at: 12 * SECOND, timeout_ms: 1, ..attempt(0xa5, 2) };
    let attempts = vec![
        attempt(0xa1, 0),
        Attempt { timeout_ms: 1600, ..attempt(0xa2, 1) },
        attempt(0xa3, 1),
        attempt(0xa4, 0),
        attempt(0xa4, 2),
        attempt(0xa5, 0),
        second_run,
        attempt(0xa6, 1),
        Attempt { position: 8 * SECOND, ..attempt(0xa7, 3) },
    ];
    let burst = (0..120).map(|n| Attempt {
        id: 0x1000 + n,
        first_byte_at: 21 * SECOND + n as i64 * 1000,
        ..attempt(0, 5)
    });
    let sample = |second: i64, descriptors| Sample {
        router: 2,
        at: second * SECOND,
        descriptors,
        threads: 20,
        resident_kb: 10_000,
        cpu: second * SECOND,
        incarnation: 1,
    };
    History {
        requests,
        attempts: attempts.into_iter().chain(burst).collect(),
        absences: vec![Absence { router: 3, reason: AbsenceReason::Paused, from: SECOND, to: 2 * SECOND }],
        withdrawals: vec![Withdrawal {
            server: 3,
            router: None,
            notified_at: 9 * SECOND,
            until: 20 * SECOND,
        }],
        server_starts: vec![ServerStart { server: 5, at: 20 * SECOND }],
        samples: (0..8).map(|second| sample(second, if second == 4 { 300 } else { 30 })).collect(),
        stalls: vec![Stall { router: 1, from: SECOND, to: 6 * SECOND, closed_by_router: false }],
        unexpected_responses: vec![UnexpectedResponse::Mismatched { request: 0xa2, value: "b1.0.0".into() }],
        crashes: vec![RouterFailure { router: 4, detail: "panicked".into() }],
        failed_starts: vec![RouterFailure { router: 5, detail: "not ready in time".into() }],
        invariant_violations: vec![violations(0, "drain", 2), violations(3, "repeat_window", 1)],
        session_reads: vec![SessionRead {
            session: "member-1".into(),
            confirmed: 3,
            observed: 2,
            at: 5 * SECOND,
        }],
        session_writes: vec![SessionWrites { session: "member-2".into(), numbers: vec![1, 2, 2] }],
        store: Some(StoreRecord { confirmed: 5, found: Some(4), recovered: true }),
        load_ended_at: 30 * SECOND,
        ..History::default()
    }
}

#[test]
fn report_matches_fixture() {
    let mut history = broken_history();
    let breaches = check(&history);
    let fault = PlannedFault {
        kind: FaultKind::LinkDeaf,
        start_ms: 1500,
        duration_ms: 700,
        router: 1,
        server: 2,
        clock_step_seconds: 0,
    };
    let mut text: String = breaches.iter().map(|breach| format!("{breach}\n")).collect();
    _ = write!(text, "## report\n{}", Report::new(7, &[fault], &history, breaches));
    _ = writeln!(text, "## a store that accepts no change");
    history.store = Some(StoreRecord { confirmed: 5, found: None, recovered: false });
    text.extend(
        check(&history).iter().filter(|b| b.promise.name() == "store_lost").map(|b| format!("{b}\n")),
    );
    assert_fixture("report.txt", &text);
}
