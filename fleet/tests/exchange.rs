//! The service of the store's nodes, in one process, on real sockets; ways between nodes can be cut.
mod common;

use common::{LONG, Node, reserve_addrs, start_node};
use fleet::service::Limits;
use fleet::wire::{self, Answer, Request};
use quotas::{Pocket, PocketSettings, Report};
use routing::Clock;
use standins::proxy::Proxy;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use store::client::Client;

const DOCUMENT: &str = "routers = 300\nunnamed = 'all'\n[[tenant]]\nname = 'all'\nrate = 3000.0\nburst = 3000\non_loss = 'closed'\n";

struct Cluster {
    nodes: Vec<Node>,
    ways: Vec<(u64, u64, Proxy)>,
}

impl Cluster {
    fn new(n: u64, limits: Limits) -> Cluster {
        let real: BTreeMap<u64, SocketAddr> = (1..=n).zip(reserve_addrs(n as usize)).collect();
        let mut cluster = Cluster { nodes: vec![], ways: vec![] };
        for node in 1..=n {
            let mut peers = real.clone();
            for (other, addr) in peers.iter_mut().filter(|(o, _)| **o != node) {
                let way = Proxy::start(*addr);
                *addr = way.addr;
                cluster.ways.push((node, *other, way));
            }
            cluster.nodes.push(start_node(node, peers, None, limits));
        }
        cluster
    }

    fn client(&self) -> Client {
        let addrs = self.nodes.iter().map(|n| n.client_addr).collect();
        Client::new(store::client::Settings::new(addrs, 1))
    }

    fn set(&self) -> u64 {
        fleet::document::write(&self.client(), DOCUMENT, Some(0), "").unwrap()
    }

    /// Whichever but this one leads.
    fn leader(&self, but: Option<usize>) -> usize {
        let begun = Instant::now();
        loop {
            let led = |i: &usize| Some(*i) != but && matches!(self.nodes[*i].store.lead(), Ok(Some(_)));
            if let Some(i) = (0..self.nodes.len()).find(led) {
                return i;
            }
            assert!(begun.elapsed() < LONG, "no leader");
        }
    }

    fn connect(&self, node: usize) -> TcpStream {
        let socket = TcpStream::connect(self.nodes[node].fleet_addr).unwrap();
        wire::hello(&socket).unwrap();
        wire::greeted(&socket, LONG).unwrap();
        assert_eq!(wire::receive::<Answer>(&socket, LONG, LONG).unwrap(), Answer::Welcome(node as u64 + 1));
        socket
    }
}

fn pocket(n: usize) -> Pocket {
    let (name, settings) = (format!("router-{n}"), quotas::Settings::default());
    Pocket::new(PocketSettings { name, start: 1, slot: None, settings, seed: n as u64 })
}

fn ask(socket: &TcpStream, report: Report) -> Answer {
    wire::send(socket, &Request::Report(report, Default::default())).unwrap();
    wire::receive(socket, LONG, LONG).unwrap()
}

#[test]
fn only_a_leader_that_a_majority_confirms_answers_a_report() {
    let cluster = Cluster::new(3, Limits::default());
    let leader = cluster.leader(None);
    let version = cluster.set();
    let (clock, mut pocket) = (Clock::new(), pocket(0));
    for node in (0..3).filter(|n| *n != leader) {
        let answer = ask(&cluster.connect(node), pocket.report(clock.now()));
        assert_eq!(answer, Answer::NotLeader(leader as u64 + 1));
    }
    let socket = cluster.connect(leader);
    let Answer::Answered(a, _) = ask(&socket, pocket.report(clock.now())) else {
        panic!("the leader answers")
    };
    assert_eq!(a.version, version);
    wire::send(&socket, &Request::Document).unwrap();
    let Answer::Document { version: v, part, last: true } = wire::receive(&socket, LONG, LONG).unwrap()
    else {
        panic!("a document")
    };
    assert_eq!((v, part.as_slice()), (version, DOCUMENT.as_bytes()));
    // Cut off, it takes itself for the leader for a while: nothing that it says may be lent by.
    let n = leader as u64 + 1;
    cluster.ways.iter().filter(|(a, b, _)| *a == n || *b == n).for_each(|(_, _, way)| way.cut());
    let answer = ask(&socket, pocket.report(clock.now()));
    assert!(matches!(answer, Answer::NotLeader(_)), "{answer:?}");
    let next = cluster.leader(Some(leader));
    let Answer::Answered(b, _) = ask(&cluster.connect(next), pocket.report(clock.now())) else {
        panic!("the next leader answers")
    };
    assert!(b.term > a.term && b.version == version);
}

#[test]
fn three_hundred_routers_are_answered_by_one_node() {
    const ROUTERS: usize = 300;
    let cluster = Cluster::new(3, Limits::default());
    let leader = cluster.leader(None);
    cluster.set();
    let begun = Instant::now();
    let answered: usize = std::thread::scope(|scope| {
        let router = |n| {
            let cluster = &cluster;
            let talk = move || {
                let (socket, clock, mut pocket) = (cluster.connect(leader), Clock::new(), pocket(n));
                let mut one = || matches!(ask(&socket, pocket.report(clock.now())), Answer::Answered(..));
                // A node that is short of processors may let one wait too long.
                (0..5).filter(|_| (0..20).any(|_| one())).count()
            };
            std::thread::Builder::new().stack_size(256 << 10).spawn_scoped(scope, talk).unwrap()
        };
        (0..ROUTERS).map(router).collect::<Vec<_>>().into_iter().map(|t| t.join().unwrap()).sum()
    });
    println!("{answered} reports in {:?}", begun.elapsed());
    assert_eq!(answered, 5 * ROUTERS);
}

#[test]
fn strangers_and_too_many_are_let_go() {
    let limits = Limits { connections: 2, patience: Duration::from_millis(200), ..Limits::default() };
    let cluster = Cluster::new(1, limits);
    _ = cluster.leader(None);
    let held = cluster.connect(0);
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"DVFL\x01\0\xff\xff\xff\xff",
        b"DVFL\x01\0\x03\0\0\0\x00\xff\xff",
        b"DV",
    ] {
        let begun = Instant::now();
        let mut socket = loop {
            // The one before may not have given its place back yet.
            let socket = TcpStream::connect(cluster.nodes[0].fleet_addr).unwrap();
            wire::greeted(&socket, LONG).unwrap();
            if wire::hello(&socket).is_ok()
                && matches!(wire::receive(&socket, LONG, LONG), Ok(Answer::Welcome(1)))
            {
                break socket;
            }
            assert!(begun.elapsed() < LONG);
        };
        _ = socket.write_all(bytes);
        socket.set_read_timeout(Some(LONG)).unwrap();
        // It ends, with nothing said.
        assert!(matches!(socket.read(&mut [0; 64]), Ok(0) | Err(_)));
    }
    let second = loop {
        let socket = TcpStream::connect(cluster.nodes[0].fleet_addr).unwrap();
        wire::greeted(&socket, LONG).unwrap();
        _ = wire::hello(&socket);
        if matches!(wire::receive(&socket, LONG, LONG), Ok(Answer::Welcome(1))) {
            break socket;
        }
    };
    let third = TcpStream::connect(cluster.nodes[0].fleet_addr).unwrap();
    wire::greeted(&third, LONG).unwrap();
    assert_eq!(wire::receive::<Answer>(&third, LONG, LONG).unwrap(), Answer::Busy(2));
    // Those who speak well are served all the same.
    let answer = ask(&held, pocket(1).report(Clock::new().now()));
    assert!(matches!(answer, Answer::Answered(..)), "{answer:?}");
    drop(second);
}

#[test]
fn nothing_is_lent_by_a_document_that_is_damaged_and_it_is_not_taken_for_none() {
    let cluster = Cluster::new(1, Limits::default());
    _ = cluster.leader(None);
    let client = cluster.client();
    client.put(fleet::document::CURRENT, "not a pointer", Default::default()).unwrap();
    let (socket, mut pocket, clock) = (cluster.connect(0), pocket(0), Clock::new());
    assert_eq!(ask(&socket, pocket.report(clock.now())), Answer::NotLeader(0));
    wire::send(&socket, &Request::Document).unwrap();
    assert!(wire::receive::<Answer>(&socket, LONG, LONG).is_err());
    // Set again, it is lent by.
    let version = fleet::document::write(&client, DOCUMENT, None, "").unwrap();
    let answer = ask(&cluster.connect(0), pocket.report(clock.now()));
    assert!(matches!(&answer, Answer::Answered(a, _) if a.version == version), "{answer:?}");
}
