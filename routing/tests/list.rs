//! The list's actor: in which order news counts, whatever connections of a watch it came on.
use crossbeam_channel::{Receiver, bounded, unbounded};
use decision::{GroupId, MemberState};
use routing::messages::Message;
use routing::wire::Unsent;
use routing::{Entry, Link, ListHandle, ListNews, Order, Outcome, Reply, Stop, Wire, Work};
use settings::Limits;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

/// A wire that carries nothing: only the list's actor is wanted here.
struct NoWire;
struct NoLink(Arc<TcpStream>);

impl Wire for NoWire {
    type Payload = ();
    type Answer = ();
    type Link = NoLink;
    fn open(&self, _: SocketAddr) -> Result<NoLink, Outcome> {
        unreachable!("no instance is asked")
    }
}

impl Link<NoWire> for NoLink {
    fn socket(&self) -> Arc<TcpStream> {
        self.0.clone()
    }
    fn alive(&mut self, _: Duration) -> bool {
        false
    }
    fn carry(&mut self, _: Work<'_, NoWire>, _: &Stop) -> Result<Reply<()>, Unsent> {
        Err(Unsent::Broken)
    }
}

fn limits() -> Limits {
    Limits::new(256, 192 << 20, LONG, LONG, LONG)
}

fn entry(id: &str, state: MemberState, port: u16) -> Entry {
    Entry {
        id: id.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        group: GroupId(1),
        zone: 0,
        site: None,
        state,
        primary: false,
        weight: 1.0,
        started: None,
    }
}

const UP: MemberState = MemberState::Ready;
const DRAINS: MemberState = MemberState::Draining;

fn news(version: u64, complete: bool, entries: &[(&str, MemberState)]) -> ListNews {
    let entries = entries.iter().map(|(id, state)| entry(id, *state, 1)).collect();
    ListNews { version, complete, entries }
}

struct Site {
    list: ListHandle,
    news: Receiver<Message<NoWire>>,
}

impl Site {
    fn start() -> Site {
        let (to, news) = unbounded();
        Site { list: routing::list::start(&limits(), to, None).unwrap(), news }
    }

    /// What the module hears of this, and the version that a watch resumes at then.
    fn tell(&self, order: Order, told: ListNews) -> (Vec<(String, MemberState)>, u64) {
        assert!(self.list.tell_in(order, told));
        assert!(self.list.taken(LONG));
        let heard = self.news.try_iter().flat_map(|m| match m {
            Message::List(news) => news.entries,
            _ => vec![],
        });
        (heard.map(|e| (e.id, e.state)).collect(), self.list.version())
    }
}

fn heard(entries: &[(&str, MemberState)]) -> Vec<(String, MemberState)> {
    entries.iter().map(|(id, state)| (id.to_string(), *state)).collect()
}

#[test]
fn what_a_gapped_watch_tells_counts_at_once_and_what_it_missed_still_comes() {
    let site = Site::start();
    site.tell(Order::Next, news(5, true, &[("a", UP), ("b", UP), ("c", UP)]));
    // Versions 6 and 7 were missed: they said that b drains.
    let of = site.tell(Order::Gapped, news(8, false, &[("a", DRAINS)]));
    assert_eq!(of, (heard(&[("a", DRAINS)]), 5), "a new watch asks for what comes after 5");
    let of = site.tell(Order::Next, news(8, false, &[("b", DRAINS), ("a", DRAINS)]));
    assert_eq!(of, (heard(&[("b", DRAINS), ("a", DRAINS)]), 8));
}

#[test]
fn what_a_gapped_watch_told_is_not_taken_back_by_what_came_before_it() {
    let site = Site::start();
    site.tell(Order::Next, news(5, true, &[("a", UP), ("b", UP)]));
    site.tell(Order::Gapped, news(9, false, &[("a", DRAINS)]));
    // Written before version 9, read after it.
    let of = site.tell(Order::Next, news(8, false, &[("a", UP), ("b", DRAINS)]));
    assert_eq!(of, (heard(&[("b", DRAINS)]), 8));
    let of = site.tell(Order::Next, news(9, false, &[("a", DRAINS)]));
    assert_eq!(of, (heard(&[("a", DRAINS)]), 9));
    let of = site.tell(Order::Next, news(10, false, &[("a", UP)]));
    assert_eq!(of, (heard(&[("a", UP)]), 10), "what came in order binds no longer than that");
}

#[test]
fn crossing_watches_change_nothing_and_a_whole_list_stands_for_itself() {
    let site = Site::start();
    site.tell(Order::Next, news(45, true, &[("a", DRAINS), ("b", UP)]));
    // The old watch's change, behind the new one's whole list.
    assert_eq!(site.tell(Order::Next, news(44, false, &[("a", UP)])), (vec![], 45));
    assert_eq!(site.tell(Order::Gapped, news(44, false, &[("a", UP)])), (vec![], 45));
    // The same change on both.
    let same = site.tell(Order::Next, news(45, false, &[("a", DRAINS)]));
    assert_eq!(same, (heard(&[("a", DRAINS)]), 45));
    // Whole lists of the same version and of a lower one replace what is held: another agent, or one begun anew.
    let whole = site.tell(Order::Next, news(45, true, &[("c", UP)]));
    assert_eq!(whole, (heard(&[("c", UP)]), 45));
    let lower = site.tell(Order::Next, news(3, true, &[("d", UP)]));
    assert_eq!(lower, (heard(&[("d", UP)]), 3));
    let next = site.tell(Order::Next, news(4, false, &[("d", DRAINS)]));
    assert_eq!(next, (heard(&[("d", DRAINS)]), 4));
}

#[test]
fn changes_of_versions_counted_anew_are_taken() {
    let site = Site::start();
    site.tell(Order::Next, news(45, true, &[("a", UP)]));
    assert_eq!(site.tell(Order::Anew, news(2, false, &[("a", DRAINS)])), (heard(&[("a", DRAINS)]), 2));
    assert_eq!(site.tell(Order::Next, news(3, false, &[("a", UP)])), (heard(&[("a", UP)]), 3));
}

#[test]
fn an_entry_under_another_address_and_one_that_reappears_reach_the_module() {
    let site = Site::start();
    site.tell(Order::Next, news(1, true, &[("a", UP)]));
    for (version, state, port) in [(2, UP, 2), (3, MemberState::Gone, 2), (4, UP, 3)] {
        let told = ListNews { version, complete: false, entries: vec![entry("a", state, port)] };
        assert!(site.list.tell(told));
        let Ok(Message::List(got)) = site.news.recv_timeout(LONG) else { panic!("no news") };
        assert_eq!((got.version, got.entries[0].addr.port(), got.entries[0].state), (version, port, state));
    }
}

#[test]
fn news_waits_for_a_module_that_is_busy_and_none_is_lost_or_overtaken() {
    let (to, module) = bounded::<Message<NoWire>>(1);
    let list = routing::list::start(&limits(), to, None).unwrap();
    let teller = list.clone();
    let told = std::thread::spawn(move || {
        (1..=10_000).all(|version| teller.tell(news(version, version == 1, &[("a", UP)])))
    });
    let versions = (1..=10_000).map(|_| match module.recv_timeout(LONG) {
        Ok(Message::List(news)) => news.version,
        _ => panic!("no news"),
    });
    assert!(versions.eq(1..=10_000));
    assert!(told.join().unwrap());
    // A module that has ended takes the list with it, and whoever tells hears so.
    drop(module);
    while list.tell(news(10_001, true, &[])) {}
}
