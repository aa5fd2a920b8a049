//! Tests the membership thread on real sockets, behind proxies that can cut the link. Intervals are a tenth
//! of the defaults.
use crossbeam_channel::Receiver;
use membership::{Change, Config, Error, Member, Membership, Settings};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use test_servers::udp::UdpProxy;

/// Upper bound of each wait; only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Start {
    name: String,
    generation: u64,
    incarnation: u64,
}

impl From<Member> for Start {
    fn from(member: Member) -> Start {
        Start {
            name: member.name().to_string(),
            generation: member.generation(),
            incarnation: member.incarnation(),
        }
    }
}

/// A router behind a proxy, and the member list that results from its changes.
struct Router {
    membership: Membership,
    proxy: UdpProxy,
    changes: Receiver<Change>,
    list: BTreeSet<Start>,
}

fn start(name: &str, generation: u64, seeds: Vec<SocketAddrV4>) -> Router {
    let proxy = UdpProxy::start();
    let membership = Membership::start(Config {
        name: name.into(),
        listen: "127.0.0.1:0".parse().expect("the address is valid"),
        advertise: Some(proxy.addr),
        generation,
        seeds,
        random_seed: generation,
        settings: Settings::accelerated(10),
    })
    .expect("membership starts");
    proxy.set_target(membership.addr());
    let changes = membership.subscribe().expect("membership is running");
    Router { membership, proxy, changes, list: BTreeSet::new() }
}

impl Router {
    /// Applies changes until the list satisfies the condition.
    fn wait_until(&mut self, what: &str, condition: impl Fn(&BTreeSet<Start>) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !condition(&self.list) {
            let change = self.changes.recv_deadline(deadline);
            match change.unwrap_or_else(|error| panic!("{what}: {error}: {:?}", self.list)) {
                Change::Snapshot(all) => self.list = all.into_iter().map(Start::from).collect(),
                Change::Up(member) => _ = self.list.insert(member.into()),
                Change::Down(member) => _ = self.list.remove(&member.into()),
                Change::Rejoined(local) => {
                    self.list.retain(|start| start.name != local.name());
                    self.list.insert(local.into());
                }
                last => panic!("{what}: unexpected change {last:?}"),
            }
        }
    }

    /// The last change before the channel's end.
    fn last_change(&self) -> Option<Change> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        std::iter::from_fn(|| self.changes.recv_deadline(deadline).ok()).last()
    }

    fn wait_until_names(&mut self, names: &[&str]) {
        self.wait_until(&format!("{names:?}"), |list| {
            list.iter().map(|start| start.name.as_str()).eq(names.iter().copied())
        });
    }
}

/// Routers `a` to `d`, which list each other.
fn four_routers() -> Vec<Router> {
    let first = start("a", 1, Vec::new());
    let seeds = vec![first.proxy.addr];
    let mut all = vec![first];
    all.extend(["b", "c", "d"].map(|name| start(name, 1, seeds.clone())));
    all.iter_mut().for_each(|router| router.wait_until_names(&["a", "b", "c", "d"]));
    all
}

#[test]
fn disconnected_router_is_down_and_rejoins_with_higher_incarnation() {
    let mut all = four_routers();
    all[3].proxy.update_faults(|faults| faults.cut = true);
    all[..3].iter_mut().for_each(|router| router.wait_until_names(&["a", "b", "c"]));
    all[3].proxy.update_faults(|faults| faults.cut = false);
    for router in &mut all {
        let has_rejoined = |start: &Start| start.name == "d" && start.incarnation > start.generation << 16;
        router.wait_until("d has rejoined", |list| list.len() == 4 && list.iter().any(has_rejoined));
    }
}

#[test]
fn lossy_slow_link_cut_one_way_takes_no_router_down() {
    let all = four_routers();
    let from = all[1].membership.addr().into();
    all[2].proxy.update_faults(|faults| {
        faults.cut_from = vec![from];
        faults.delay = Duration::from_millis(2);
        faults.lose_one_in = 20;
    });
    // Waits until the cut link has lost at least 20 datagrams; `b` must reach `c` through indirect probes of
    // `a` and `d`.
    let lost = all[2].proxy.counts().lost;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while all[2].proxy.counts().lost < lost + 20 {
        let change = all[0].changes.recv_timeout(Duration::from_millis(50));
        assert!(change.is_err(), "unexpected change: {change:?}");
        assert!(Instant::now() < deadline, "the cut link lost too few datagrams in time");
    }
    assert_eq!(all[0].membership.members().len(), 4);
}

#[test]
fn leave_ends_thread_and_channels_and_is_detected() {
    let mut all = four_routers();
    let leaver = all.pop().expect("router d exists");
    leaver.membership.leave().expect("membership is running");
    assert_eq!(leaver.last_change(), Some(Change::Left));
    assert!(matches!(leaver.membership.subscribe(), Err(Error::Ended)));
    all.iter_mut().for_each(|router| router.wait_until_names(&["a", "b", "c"]));
}

#[test]
fn later_start_of_name_supersedes_and_notifies_earlier_one() {
    let mut all = four_routers();
    let seeds = vec![all[0].proxy.addr];
    let mut restarted = start("d", 2, seeds);
    restarted.wait_until_names(&["a", "b", "c", "d"]);
    let old = all.pop().expect("router d exists");
    let second_start = Start { name: "d".into(), generation: 2, incarnation: 2 << 16 };
    for router in &mut all {
        router.wait_until("d's second start", |list| list.contains(&second_start) && list.len() == 4);
    }
    assert!(matches!(old.last_change(), Some(Change::Superseded(by)) if by.generation() == 2));
}

#[test]
fn subscriber_that_falls_behind_receives_snapshot() {
    let first = start("a", 1, Vec::new());
    let seeds = vec![first.proxy.addr];
    let mut others = Vec::new();
    // Sends more changes than the channel's capacity: each start joins and is superseded.
    for generation in 1..=40 {
        let mut other = start("b", generation, seeds.clone());
        other.wait_until("joined", |list| list.len() == 2);
        others.push(other);
        others.drain(..others.len() - 1);
    }
    let mut slow = first;
    let is_last = |start: &Start| start.name == "b" && start.generation >= 40;
    slow.wait_until("the last start", |list| list.iter().any(is_last));
    assert_eq!(slow.membership.members().len(), 2);
}

#[test]
fn start_outside_loopback_is_rejected_with_advice() {
    let config = Config {
        name: "a".into(),
        listen: "0.0.0.0:0".parse().expect("the address is valid"),
        advertise: None,
        generation: 1,
        seeds: Vec::new(),
        random_seed: 1,
        settings: Settings::default(),
    };
    let error = Membership::start(config).map(|_| ()).expect_err("the address is rejected");
    assert!(error.to_string().contains("127.0.0.0/8"), "{error}");
}
