//! Tests that arbitrary datagrams from any sender are counted, have bounded effects and never cause a panic.
use membership::{Action, Counters, Event, MAX_DATAGRAM_BYTES, Machine, Member, Settings, TimerToken};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Upper bound of the number of actions for one datagram.
const MAX_ACTIONS: usize = 32;
/// The first timer that a started machine sets.
const FIRST_TIMER: TimerToken = TimerToken(0);

fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

/// A machine that was started at time zero, with port 1 as its seed.
fn machine(settings: Settings, name: &str, port: u16) -> Machine {
    let local = Member::new(name, addr(port), 1).expect("the member is valid");
    let mut machine =
        Machine::new(settings, local, StdRng::seed_from_u64(1)).expect("the settings are consistent");
    machine.handle(Duration::ZERO, Event::Started { seeds: vec![addr(1)] }, &mut Vec::new());
    machine
}

fn receive(machine: &mut Machine, at_ms: u64, from: SocketAddrV4, bytes: &[u8]) -> Vec<Action> {
    let mut actions = Vec::new();
    let bytes = bytes.to_vec();
    machine.handle(Duration::from_millis(at_ms), Event::Datagram { from, bytes }, &mut actions);
    actions
}

fn sent(actions: Vec<Action>) -> impl Iterator<Item = (SocketAddrV4, Vec<u8>)> {
    actions.into_iter().filter_map(|action| match action {
        Action::Send { to, bytes } => Some((to, bytes)),
        _ => None,
    })
}

/// The datagrams that a machine sends at its first timer: join requests to its seeds.
fn join_requests(machine: &mut Machine) -> Vec<(SocketAddrV4, Vec<u8>)> {
    let mut actions = Vec::new();
    machine.handle(Duration::ZERO, Event::Timer(FIRST_TIMER), &mut actions);
    sent(actions).collect()
}

/// Datagrams of two machines: a join request, and the datagrams exchanged after the join.
fn valid_datagrams() -> Vec<Vec<u8>> {
    let mut one = machine(Settings::default(), "one", 1);
    let mut two = machine(Settings::default(), "two", 2);
    let mut all = Vec::new();
    let mut queue = join_requests(&mut two);
    for _ in 0..40 {
        let mut next = Vec::new();
        for (to, bytes) in queue.drain(..) {
            all.push(bytes.clone());
            let receiver = if to == addr(1) { &mut one } else { &mut two };
            next.extend(sent(receive(receiver, 10, to, &bytes)));
        }
        queue = next;
    }
    assert_eq!((one.members().count(), two.members().count()), (1, 1));
    all
}

proptest! {
    #[test]
    fn arbitrary_datagrams_cause_few_actions(
        bytes in proptest::collection::vec(any::<u8>(), 0..2000),
        after_header in any::<bool>(),
    ) {
        let mut machine = machine(Settings::default(), "three", 3);
        let mut datagram = if after_header { valid_datagrams()[0][..11].to_vec() } else { Vec::new() };
        datagram.extend(bytes);
        prop_assert!(receive(&mut machine, 10, addr(9), &datagram).len() < MAX_ACTIONS);
    }

    #[test]
    fn altered_valid_datagrams_cause_few_actions(
        changes in proptest::collection::vec((any::<usize>(), any::<usize>(), any::<u8>()), 1..40),
    ) {
        let valid = valid_datagrams();
        let mut machine = machine(Settings::default(), "one", 1);
        for (index, at, byte) in changes {
            let mut bytes = valid[index % valid.len()].clone();
            let at = at % bytes.len();
            bytes[at] = byte;
            prop_assert!(receive(&mut machine, 10, addr(9), &bytes).len() < MAX_ACTIONS);
            for member in machine.members() {
                prop_assert!(member.addr().ip().is_loopback());
            }
        }
    }
}

#[test]
fn rejected_datagrams_are_counted_without_response() {
    let join_request = valid_datagrams().swap_remove(0);
    let mut machine = machine(Settings::default(), "one", 1);
    let mut assert_rejected = |change: &dyn Fn(&mut Vec<u8>), from: SocketAddrV4| {
        let mut bytes = join_request.clone();
        change(&mut bytes);
        assert_eq!(receive(&mut machine, 10, from, &bytes), Vec::new());
    };
    assert_rejected(&|_| (), SocketAddrV4::new([10, 0, 0, 1].into(), 9));
    assert_rejected(&|bytes| bytes.truncate(11), addr(9));
    assert_rejected(&|bytes| bytes.resize(MAX_DATAGRAM_BYTES + 1, 0), addr(9));
    assert_rejected(&|bytes| bytes[0] = 0, addr(9));
    assert_rejected(&|bytes| bytes[2] = 9, addr(9));
    assert_rejected(&|bytes| bytes[5] ^= 1, addr(9));
    assert_rejected(&|bytes| bytes.push(0), addr(9));
    let expected = Counters {
        received: 7,
        not_loopback: 1,
        wrong_size: 2,
        wrong_magic: 1,
        wrong_version: 1,
        wrong_cluster: 1,
        malformed: 1,
        ..Default::default()
    };
    assert_eq!(machine.counters(), expected);
}

#[test]
fn flood_is_rate_limited_and_later_datagrams_are_handled() {
    let join_request = valid_datagrams().swap_remove(0);
    let settings = Settings { max_datagrams_per_s: 100, ..Settings::default() };
    let mut machine = machine(settings, "one", 1);
    let responses: usize = (0..1000).map(|_| receive(&mut machine, 10, addr(2), &join_request).len()).sum();
    assert_eq!((responses, machine.counters().rate_limited), (100, 900));
    assert_eq!(receive(&mut machine, 1010, addr(2), &join_request).len(), 1);
}

#[test]
fn names_beyond_member_limit_are_rejected() {
    let mut machine = machine(Settings { max_members: 2, ..Settings::default() }, "one", 1);
    for port in 2..6 {
        let mut other = self::machine(Settings::default(), &format!("other-{port}"), port);
        let requests = join_requests(&mut other);
        let [(_, join_request)] = &requests[..] else {
            panic!("expected one join request, got {requests:?}")
        };
        for (_, response) in sent(receive(&mut machine, 10, addr(port), join_request)) {
            for (_, announce) in sent(receive(&mut other, 10, addr(1), &response)) {
                receive(&mut machine, 10, addr(port), &announce);
            }
        }
    }
    assert_eq!((machine.members().count(), machine.counters().over_member_limit), (2, 2));
}
