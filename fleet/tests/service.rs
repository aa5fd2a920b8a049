//! Tests of the fleet service on store nodes in one process, connected by real sockets. The connections
//! between nodes can be cut.
mod common;

use common::{Node, TEST_TIMEOUT, reserve_addrs, start_node};
use fleet::document;
use fleet::service::Limits;
use fleet::wire::{self, Request, Response, UNKNOWN_LEADER};
use quotas::{QuotaClient, QuotaClientSettings, Report};
use routing::Clock;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use store::client::Client;
use test_servers::proxy::Proxy;

const DOCUMENT: &str = "routers = 300\nunnamed = 'all'\n[[tenant]]\nname = 'all'\nrate = 3000.0\nburst = 3000\non_loss = 'closed'\n";

/// The proxy for messages from one node to another.
struct Link {
    from: u64,
    to: u64,
    proxy: Proxy,
}

struct Cluster {
    nodes: Vec<Node>,
    links: Vec<Link>,
}

impl Cluster {
    fn start(node_count: u64, limits: Limits) -> Cluster {
        let addrs: BTreeMap<u64, SocketAddr> =
            (1..=node_count).zip(reserve_addrs(node_count as usize)).collect();
        let mut cluster = Cluster { nodes: vec![], links: vec![] };
        for node in 1..=node_count {
            let mut peers = addrs.clone();
            for (other, addr) in peers.iter_mut().filter(|(other, _)| **other != node) {
                let proxy = Proxy::start(*addr);
                *addr = proxy.addr;
                cluster.links.push(Link { from: node, to: *other, proxy });
            }
            cluster.nodes.push(start_node(node, peers, None, limits));
        }
        cluster
    }

    fn client(&self) -> Client {
        let addrs = self.nodes.iter().map(|n| n.client_addr).collect();
        Client::new(store::client::Settings::new(addrs, 1))
    }

    fn write_document(&self) -> u64 {
        document::write(&self.client(), DOCUMENT, Some(0), "").unwrap()
    }

    /// Waits for a leader other than `except` and returns its index.
    fn wait_for_leader(&self, except: Option<usize>) -> usize {
        let started = Instant::now();
        loop {
            let leads = |i: &usize| {
                Some(*i) != except && matches!(self.nodes[*i].store.read_as_leader(), Ok(Some(_)))
            };
            if let Some(i) = (0..self.nodes.len()).find(leads) {
                return i;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "no leader was elected");
        }
    }

    fn connect(&self, index: usize) -> TcpStream {
        let socket = TcpStream::connect(self.nodes[index].fleet_addr).unwrap();
        wire::send_hello(&socket).unwrap();
        wire::receive_hello(&socket, TEST_TIMEOUT).unwrap();
        assert_eq!(receive(&socket), Response::Welcome { node: index as u64 + 1 });
        socket
    }

    /// Connects to the only node. Returns `None` if it rejects the connection.
    fn try_connect(&self) -> Option<TcpStream> {
        let socket = TcpStream::connect(self.nodes[0].fleet_addr).unwrap();
        wire::receive_hello(&socket, TEST_TIMEOUT).unwrap();
        wire::send_hello(&socket).ok()?;
        let welcomed =
            matches!(wire::receive(&socket, TEST_TIMEOUT, TEST_TIMEOUT), Ok(Response::Welcome { node: 1 }));
        welcomed.then_some(socket)
    }

    /// Cuts all connections between a node and the remaining nodes of the store.
    fn isolate(&self, index: usize) {
        let node = index as u64 + 1;
        for link in self.links.iter().filter(|link| link.from == node || link.to == node) {
            link.proxy.cut();
        }
    }
}

fn quota_client(n: usize) -> QuotaClient {
    let (name, settings) = (format!("router-{n}"), quotas::Settings::default());
    QuotaClient::new(QuotaClientSettings {
        router: name,
        incarnation: 1,
        slot: None,
        settings,
        seed: n as u64,
    })
}

fn receive(socket: &TcpStream) -> Response {
    wire::receive(socket, TEST_TIMEOUT, TEST_TIMEOUT).unwrap()
}

fn send_report(socket: &TcpStream, report: Report) -> Response {
    wire::send(socket, &Request::Report { quota_report: report, version_report: Default::default() })
        .unwrap();
    receive(socket)
}

/// Sends a report and returns the leader's response.
fn expect_report_response(socket: &TcpStream, report: Report) -> quotas::GrantResponse {
    match send_report(socket, report) {
        Response::Report { quota_response, .. } => quota_response,
        other => panic!("{other:?}"),
    }
}

#[test]
fn only_confirmed_leader_accepts_reports() {
    let cluster = Cluster::start(3, Limits::default());
    let leader = cluster.wait_for_leader(None);
    let version = cluster.write_document();
    let (clock, mut quota_client) = (Clock::new(), quota_client(0));
    for node in (0..3).filter(|n| *n != leader) {
        let response = send_report(&cluster.connect(node), quota_client.report(clock.now()));
        assert_eq!(response, Response::NotLeader { leader: leader as u64 + 1 });
    }
    let socket = cluster.connect(leader);
    let first = expect_report_response(&socket, quota_client.report(clock.now()));
    assert_eq!(first.version, version);
    wire::send(&socket, &Request::Document).unwrap();
    let bytes = DOCUMENT.as_bytes().to_vec();
    assert_eq!(receive(&socket), Response::DocumentPart { version, bytes, is_last: true });
    // The isolated node still believes to be the leader for a while, but must not grant quotas.
    cluster.isolate(leader);
    let response = send_report(&socket, quota_client.report(clock.now()));
    assert!(matches!(response, Response::NotLeader { .. }), "{response:?}");
    let next = cluster.wait_for_leader(Some(leader));
    let second = expect_report_response(&cluster.connect(next), quota_client.report(clock.now()));
    assert!(second.term > first.term && second.version == version);
}

#[test]
fn one_node_serves_300_routers() {
    const ROUTERS: usize = 300;
    let cluster = Cluster::start(3, Limits::default());
    let leader = cluster.wait_for_leader(None);
    cluster.write_document();
    let started = Instant::now();
    let answered: usize = std::thread::scope(|scope| {
        let router = |n| {
            let cluster = &cluster;
            let run = move || {
                let (socket, clock, mut quota_client) =
                    (cluster.connect(leader), Clock::new(), quota_client(n));
                let mut has_response = || {
                    let response = send_report(&socket, quota_client.report(clock.now()));
                    matches!(response, Response::Report { .. })
                };
                // On a busy host the response to a report may time out, so each report is retried.
                (0..5).filter(|_| (0..20).any(|_| has_response())).count()
            };
            std::thread::Builder::new().stack_size(256 << 10).spawn_scoped(scope, run).unwrap()
        };
        (0..ROUTERS).map(router).collect::<Vec<_>>().into_iter().map(|t| t.join().unwrap()).sum()
    });
    println!("{answered} reports in {:?}", started.elapsed());
    assert_eq!(answered, 5 * ROUTERS);
}

#[test]
fn malformed_and_excess_connections_are_closed() {
    let limits =
        Limits { max_connections: 2, message_timeout: Duration::from_millis(200), ..Limits::default() };
    let cluster = Cluster::start(1, limits);
    _ = cluster.wait_for_leader(None);
    let held = cluster.connect(0);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"DVFL\x01\0\xff\xff\xff\xff",
        b"DVFL\x01\0\x03\0\0\0\x00\xff\xff",
        b"DV",
    ] {
        let started = Instant::now();
        let mut socket = loop {
            // The previous connection may still count towards the limit.
            if let Some(socket) = cluster.try_connect() {
                break socket;
            }
            assert!(started.elapsed() < TEST_TIMEOUT);
        };
        _ = socket.write_all(bytes);
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        // The connection is closed without a response.
        assert!(matches!(socket.read(&mut [0; 64]), Ok(0) | Err(_)));
    }
    let second = loop {
        if let Some(socket) = cluster.try_connect() {
            break socket;
        }
    };
    let third = TcpStream::connect(cluster.nodes[0].fleet_addr).unwrap();
    wire::receive_hello(&third, TEST_TIMEOUT).unwrap();
    assert_eq!(receive(&third), Response::Busy { max_connections: 2 });
    // The earlier connections are still served.
    expect_report_response(&held, quota_client(1).report(Clock::new().now()));
    drop(second);
}

#[test]
fn damaged_document_is_not_used_for_grants_and_not_served() {
    let cluster = Cluster::start(1, Limits::default());
    _ = cluster.wait_for_leader(None);
    let client = cluster.client();
    client.put(document::CURRENT_KEY, "not a pointer", Default::default()).unwrap();
    let (socket, mut quota_client, clock) = (cluster.connect(0), quota_client(0), Clock::new());
    let response = send_report(&socket, quota_client.report(clock.now()));
    assert_eq!(response, Response::NotLeader { leader: UNKNOWN_LEADER });
    wire::send(&socket, &Request::Document).unwrap();
    assert!(wire::receive::<Response>(&socket, TEST_TIMEOUT, TEST_TIMEOUT).is_err());
    // After the document is written again, it is used.
    let version = document::write(&client, DOCUMENT, None, "").unwrap();
    let response = expect_report_response(&cluster.connect(0), quota_client.report(clock.now()));
    assert_eq!(response.version, version);
}
