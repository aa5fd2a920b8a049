//! The hand-over of attempts to links: the whole core on a wire that holds a dial, a write, an answer or a close until it
//! is told, so that news comes in between.
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::{Class, Effect, Freshness, Outcome, Report, Settings, Time};
use routing::wire::Unsent;
use routing::*;
use settings::Limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
/// A class that may go anywhere again, and one that may within its window.
const SAFE: usize = 0;
const KEYED: usize = 1;
/// One whose clients wait for a moment only.
const SHORT: usize = 2;
const WINDOW: Duration = Duration::from_millis(600);

/// Where a link may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum At {
    /// Before it is connected.
    Dial,
    /// With an attempt, before that asks whether it may begin.
    Begin,
    /// After that, before its last byte is written.
    Write,
    /// After that, before its answer.
    Answer,
    /// As its connection is let go.
    Close,
}

#[derive(Default)]
struct Instance {
    held: BTreeSet<At>,
    waiting: BTreeMap<At, usize>,
    /// Connections that rest are closed there.
    closes: bool,
    /// Nobody can be reached there any more.
    gone: bool,
    /// So many writes break before their last byte.
    breaks: usize,
    /// So many attempts make the wire panic.
    panics: usize,
    /// How attempts written whole end; after that they are served.
    ends: VecDeque<Outcome>,
    /// How long the last connection that was looked at had rested.
    rested: Duration,
    dials: usize,
    probes: usize,
    /// Attempts that might not begin,
    stopped: usize,
    /// and such that were written whole.
    written: usize,
}

impl Instance {
    fn waits(&self, at: At) -> usize {
        self.waiting.get(&at).copied().unwrap_or(0)
    }
}

fn take_one(left: &mut usize) -> bool {
    let some = *left > 0;
    *left -= usize::from(some);
    some
}

#[derive(Default)]
struct Script {
    instances: Mutex<BTreeMap<SocketAddr, Instance>>,
    changed: Condvar,
}

impl Script {
    fn at<T>(&self, addr: SocketAddr, change: impl FnOnce(&mut Instance) -> T) -> T {
        let done = change(self.instances.lock().unwrap().entry(addr).or_default());
        self.changed.notify_all();
        done
    }

    /// Waits until this holds of an instance.
    fn until(&self, addr: SocketAddr, holds: impl Fn(&Instance) -> bool) {
        let all = self.instances.lock().unwrap();
        let holds = |all: &mut BTreeMap<SocketAddr, Instance>| holds(all.entry(addr).or_default());
        let waited = self.changed.wait_timeout_while(all, PATIENCE, |all| !holds(all)).unwrap();
        assert!(!waited.1.timed_out(), "{addr} was waited for in vain");
    }

    fn pass(&self, addr: SocketAddr, at: At) {
        self.at(addr, |i| *i.waiting.entry(at).or_default() += 1);
        self.until(addr, |i| !i.held.contains(&at));
        self.at(addr, |i| *i.waiting.entry(at).or_default() -= 1);
    }

    fn hold(&self, addr: SocketAddr, at: At) {
        self.at(addr, |i| _ = i.held.insert(at));
    }

    fn release(&self, addr: SocketAddr, at: At) {
        self.at(addr, |i| _ = i.held.remove(&at));
    }

    fn written(&self, addr: SocketAddr) -> usize {
        self.at(addr, |i| i.written)
    }
}

#[derive(Clone)]
struct Scripted {
    script: Arc<Script>,
    /// Links need a socket that stands; nothing goes over it.
    listener: Arc<TcpListener>,
}

struct ScriptedLink {
    script: Arc<Script>,
    addr: SocketAddr,
    socket: Arc<TcpStream>,
}

impl Drop for ScriptedLink {
    fn drop(&mut self) {
        self.script.pass(self.addr, At::Close);
    }
}

/// Is dropped with the last copy of a request's payload: then nobody is at work on it any more.
struct Payload {
    _kept: Sender<()>,
}

impl Wire for Scripted {
    type Payload = Payload;
    type Answer = SocketAddr;
    type Link = ScriptedLink;

    fn open(&self, addr: SocketAddr) -> Result<ScriptedLink, Outcome> {
        self.script.at(addr, |i| i.dials += 1);
        self.script.pass(addr, At::Dial);
        if self.script.at(addr, |i| i.gone) {
            return Err(Outcome::ConnectFailed);
        }
        let socket = Arc::new(TcpStream::connect(self.listener.local_addr().unwrap()).unwrap());
        Ok(ScriptedLink { script: self.script.clone(), addr, socket })
    }
}

impl Link<Scripted> for ScriptedLink {
    fn socket(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }

    fn alive(&mut self, rested: Duration) -> bool {
        self.script.at(self.addr, |i| {
            i.rested = rested;
            !i.closes
        })
    }

    fn carry(&mut self, work: Work<'_, Scripted>, stop: &Stop) -> Result<Reply<SocketAddr>, Unsent> {
        let (script, addr) = (&self.script, self.addr);
        let said = Report { primary: Some(true), position: Some(Time(1)) };
        let ok = Reply { reusable: true, ..Reply::bare(Outcome::Ok) };
        if let Work::Probe = work {
            if !stop.begin() {
                return Err(Unsent::Stopped);
            }
            script.at(addr, |i| i.probes += 1);
            return Ok(Reply { report: said, ..ok });
        }
        script.pass(addr, At::Begin);
        if !stop.begin() {
            script.at(addr, |i| i.stopped += 1);
            return Err(Unsent::Stopped);
        }
        let panics = script.at(addr, |i| take_one(&mut i.panics));
        assert!(!panics, "as the test wants it");
        script.pass(addr, At::Write);
        if script.at(addr, |i| take_one(&mut i.breaks)) {
            return Err(Unsent::Broken);
        }
        stop.written();
        script.at(addr, |i| i.written += 1);
        script.pass(addr, At::Answer);
        Ok(match script.at(addr, |i| i.ends.pop_front()) {
            Some(outcome) => Reply::bare(outcome),
            None => Reply { note: said, answer: Some(addr), ..ok },
        })
    }
}

struct Core {
    script: Arc<Script>,
    handle: Handle<Scripted>,
    list: ListHandle,
    figures: Arc<Figures>,
    version: u64,
}

struct Asked {
    id: RequestId,
    given: Receiver<Final<SocketAddr>>,
    over: Receiver<()>,
}

impl Asked {
    fn answer(&self) -> Final<SocketAddr> {
        self.given.recv_timeout(PATIENCE).unwrap()
    }

    fn served(&self) -> SocketAddr {
        match self.answer() {
            Final::Served(at, _) => at,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until nothing of it is under way anywhere.
    fn over(&self) {
        assert_eq!(self.over.recv_timeout(PATIENCE), Err(RecvTimeoutError::Disconnected));
    }
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

/// The only instance of a group unless others are named.
fn entry(id: &str, at: u16, group: u32) -> Entry {
    Entry {
        id: id.into(),
        addr: addr(at),
        group: GroupId(group),
        zone: 0,
        site: None,
        state: MemberState::Ready,
        primary: false,
        weight: 1.0,
        started: None,
    }
}

fn draining(e: Entry) -> Entry {
    Entry { state: MemberState::Draining, ..e }
}

impl Core {
    fn start(bounds: impl FnOnce(&mut Limits)) -> Core {
        let script = Arc::new(Script::default());
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
        let accepting = listener.clone();
        spawn("accepts", 64 * 1024, move || {
            let mut held = Vec::new();
            while let Ok((socket, _)) = accepting.accept() {
                held.push(socket);
            }
        })
        .unwrap();
        let seconds = Duration::from_secs;
        let mut limits = Limits::new(4096, 64 << 20, seconds(10), seconds(600), seconds(600));
        bounds(&mut limits);
        let class = |effect, deadline| {
            let (freshness, aim) = (Freshness::Write, deadline);
            Class { freshness, effect, aim, deadline, worth: 1.0, late_worth: 1.0 }
        };
        let keyed = Effect::KeyedInGroup(WINDOW.as_micros() as i64);
        let classes =
            vec![class(Effect::Safe, 60_000_000), class(keyed, 60_000_000), class(Effect::Safe, 1_000_000)];
        let mysql = settings::operator::read(include_str!("../../deploy/mysql.toml")).unwrap().settings;
        let figures = Figures::new(&["safe".into(), "keyed".into(), "short".into()]).unwrap();
        let (handle, list) = Start {
            wire: Scripted { script: script.clone(), listener },
            settings: Settings { classes, round: 1_000, ..mysql },
            seed: 7,
            limits: Arc::new(limits),
            clock: Clock::new(),
            answered: None,
            figures: Some(figures.clone()),
            places: None,
        }
        .run()
        .unwrap();
        Core { script, handle, list, figures, version: 0 }
    }

    /// Tells a whole list, and waits until the module has taken it in.
    fn list(&mut self, entries: &[Entry]) {
        self.version += 1;
        let entries = entries.to_vec();
        self.list.tell(ListNews { version: self.version, complete: true, entries });
        assert!(self.list.taken(PATIENCE));
        self.barrier();
    }

    fn submit_within(&self, group: u32, class: usize, wait: i64) -> Asked {
        let ((answer, given), (kept, over)) = (bounded(1), bounded(0));
        let deadline = Time(self.handle.clock.now().0 + wait);
        let (group, payload) = (GroupId(group), Payload { _kept: kept });
        let (tenant, session, token) = (None, None, None);
        let incoming = Incoming { class, tenant, session, group, deadline, token, payload, answer };
        Asked { id: self.handle.submit(incoming), given, over }
    }

    fn submit(&self, group: u32, class: usize) -> Asked {
        self.submit_within(group, class, 60_000_000)
    }

    /// Everything that was handed to the module before has been taken in.
    fn barrier(&self) {
        let late = self.submit_within(u32::MAX, SHORT, 0).answer();
        assert!(matches!(late, Final::Refused(_)), "{late:?}");
    }
}

/// One request is written on a connection that has rested; it breaks before the last byte, after `news`.
fn breaks_after(news: impl FnOnce(&mut Core, &Asked)) -> (Core, Asked) {
    let mut core = Core::start(|_| ());
    core.list(&[entry("a", 1, 0)]);
    assert_eq!(core.submit(0, SAFE).served(), addr(1));
    core.script.hold(addr(1), At::Write);
    core.script.at(addr(1), |i| i.breaks = 1);
    let asked = core.submit(0, SAFE);
    core.script.until(addr(1), |i| i.waits(At::Write) == 1);
    news(&mut core, &asked);
    core.script.release(addr(1), At::Write);
    (core, asked)
}

#[test]
fn a_request_whose_resting_connection_broke_goes_out_once_more() {
    let (core, asked) = breaks_after(|_, _| ());
    assert_eq!(asked.served(), addr(1));
    assert_eq!(core.script.at(addr(1), |i| (i.dials, i.written)), (2, 2));
}

#[test]
fn news_of_a_drain_binds_a_request_that_is_to_go_out_once_more() {
    let (core, asked) = breaks_after(|core, _| core.list(&[draining(entry("a", 1, 0)), entry("b", 2, 0)]));
    assert_eq!(asked.served(), addr(2));
    assert_eq!(core.script.at(addr(1), |i| (i.dials, i.written)), (1, 1), "nothing new to what drains");
}

#[test]
fn news_that_an_instance_is_gone_or_elsewhere_binds_a_request_that_is_to_go_out_once_more() {
    for now in [entry("b", 2, 0), entry("a", 2, 0)] {
        let (core, asked) = breaks_after(|core, _| core.list(&[now]));
        assert_eq!(asked.served(), addr(2));
        assert_eq!(core.script.at(addr(1), |i| (i.dials, i.written)), (1, 1));
    }
}

#[test]
fn a_client_that_leaves_or_cancels_binds_a_request_that_is_to_go_out_once_more() {
    for cancels in [false, true] {
        let (core, asked) = breaks_after(|core, asked| {
            if cancels {
                core.handle.cancel(asked.id)
            } else {
                core.handle.left(asked.id)
            }
            core.barrier();
        });
        asked.over();
        assert_eq!(core.script.at(addr(1), |i| (i.dials, i.written)), (1, 1));
    }
}

#[test]
fn a_client_that_leaves_or_cancels_reaches_a_request_that_still_dials() {
    for cancels in [false, true] {
        let mut core = Core::start(|_| ());
        core.list(&[entry("a", 1, 0)]);
        core.script.hold(addr(1), At::Dial);
        let asked = core.submit(0, SAFE);
        core.script.until(addr(1), |i| i.waits(At::Dial) == 1);
        if cancels {
            core.handle.cancel(asked.id);
            // At once, whatever becomes of the dial.
            assert!(matches!(asked.answer(), Final::Cancelled));
            assert_eq!(core.figures.classes[SAFE].errored.get(), 1);
        } else {
            core.handle.left(asked.id);
        }
        core.barrier();
        assert_eq!(core.figures.current.get(), 0);
        core.script.release(addr(1), At::Dial);
        asked.over();
        assert_eq!(
            core.script.at(addr(1), |i| (i.stopped, i.written)),
            (1, 0),
            "it went on after its client"
        );
        // What came up late is kept for the next.
        assert_eq!(core.submit(0, SAFE).served(), addr(1));
        assert_eq!(core.script.at(addr(1), |i| i.dials), 1);
    }
}

#[test]
fn a_cancelled_request_has_one_answer_wherever_it_is() {
    let mut core = Core::start(|_| ());
    // It waits for its group.
    let waits = core.submit(0, SAFE);
    core.handle.cancel(waits.id);
    assert!(matches!(waits.answer(), Final::Cancelled));
    waits.over();
    // It has begun.
    core.list(&[entry("a", 1, 0)]);
    core.script.hold(addr(1), At::Answer);
    let begun = core.submit(0, SAFE);
    core.script.until(addr(1), |i| i.written == 1);
    core.handle.cancel(begun.id);
    assert!(matches!(begun.answer(), Final::Cancelled));
    core.script.release(addr(1), At::Answer);
    begun.over();
    assert!(begun.given.try_recv().is_err(), "a second answer");
    // It has its answer.
    let served = core.submit(0, SAFE);
    served.over();
    core.handle.cancel(served.id);
    core.barrier();
    assert_eq!((served.served(), served.given.try_recv().is_err()), (addr(1), true));
    let class = &core.figures.classes[SAFE];
    assert_eq!((class.errored.get(), class.answered.get(), core.figures.current.get()), (2, 1, 0));
}

#[test]
fn the_deadline_reaches_a_request_that_still_dials() {
    let mut core = Core::start(|_| ());
    core.list(&[entry("a", 1, 0)]);
    core.script.hold(addr(1), At::Dial);
    let asked = core.submit_within(0, SHORT, 1_000_000);
    core.script.until(addr(1), |i| i.waits(At::Dial) == 1);
    let answer = asked.answer();
    assert!(!matches!(answer, Final::Served(..)), "{answer:?}");
    core.script.release(addr(1), At::Dial);
    asked.over();
    assert_eq!(core.script.written(addr(1)), 0);
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_does_not_begin() {
    let mut core = Core::start(|_| ());
    core.list(&[entry("a", 1, 0)]);
    assert_eq!(core.submit(0, SAFE).served(), addr(1));
    core.script.at(addr(1), |i| i.ends = [Outcome::Reset].into());
    core.script.hold(addr(1), At::Answer);
    let asked = core.submit(0, KEYED);
    core.script.until(addr(1), |i| i.waits(At::Answer) == 1);
    let begun = Instant::now();
    core.script.at(addr(1), |i| i.closes = true);
    core.script.hold(addr(1), At::Dial);
    core.script.release(addr(1), At::Answer);
    // The probe that a reset asks for, and the repeat.
    core.script.until(addr(1), |i| i.waits(At::Dial) == 2);
    // Not to wait for another thread: what is shown is that time passes.
    std::thread::sleep(WINDOW.saturating_sub(begun.elapsed()) + Duration::from_millis(5));
    core.script.release(addr(1), At::Dial);
    let answer = asked.answer();
    assert!(matches!(answer, Final::Failed(_)), "the first may have run: {answer:?}");
    asked.over();
    assert_eq!(core.script.written(addr(1)), 2, "a copy arrived after the window");
}

/// The actor of all instances is held over the close of a connection to instance 1, in group 0.
fn held_actor(core: &mut Core, others: &[Entry]) {
    let all = [&[entry("a", 1, 0)], others].concat();
    core.list(&all);
    for e in &all {
        assert_eq!(core.submit(e.group.0, SAFE).served(), e.addr);
    }
    core.script.hold(addr(1), At::Close);
    core.list(&[&[draining(entry("a", 1, 0))], others].concat());
    core.script.until(addr(1), |i| i.waits(At::Close) == 1);
}

#[test]
fn a_full_mailbox_loses_no_news() {
    // News of a drain, of an end, of a client that has gone.
    for news in 0..3 {
        let mut core = Core::start(|l| l.mailbox = 16);
        let (a, c, d) = (draining(entry("a", 1, 0)), entry("c", 3, 1), entry("d", 4, 2));
        core.list(std::slice::from_ref(&c));
        assert_eq!(core.submit(1, SAFE).served(), addr(3));
        // Its connection has rested, and it waits for whether that stands.
        core.script.hold(addr(3), At::Begin);
        let asked = core.submit(1, SAFE);
        core.script.until(addr(3), |i| i.waits(At::Begin) == 1);
        core.script.hold(addr(1), At::Close);
        core.list(&[entry("a", 1, 0), c.clone(), d.clone()]);
        assert_eq!(core.submit(0, SAFE).served(), addr(1));
        assert_eq!(core.submit(2, SAFE).served(), addr(4));
        core.list(&[a.clone(), c.clone(), d.clone()]);
        core.script.until(addr(1), |i| i.waits(At::Close) == 1);
        // The actor is held: what it is told from here on fills its mailbox.
        for _ in 0..20 {
            core.list(&[a.clone(), c.clone(), draining(d.clone())]);
            core.list(&[a.clone(), c.clone(), d.clone()]);
        }
        match news {
            0 => core.list(&[a.clone(), draining(c.clone()), d.clone()]),
            1 => core.list(&[a.clone(), draining(entry("c", 5, 1)), d.clone()]),
            _ => {
                core.handle.left(asked.id);
                core.barrier();
            }
        }
        core.script.release(addr(3), At::Begin);
        core.script.until(addr(3), |i| i.stopped == 1 || i.written == 2);
        assert_eq!(core.script.written(addr(3)), 1, "news {news} was lost");
        // And nobody waits for anybody for good.
        core.script.release(addr(1), At::Close);
        assert_eq!(core.submit(2, SAFE).served(), addr(4));
        core.list(&[a, entry("e", 6, 1), d]);
        if news < 2 {
            assert_eq!(asked.served(), addr(6));
        }
        asked.over();
    }
}

#[test]
fn news_overtakes_work_that_waits_in_the_mailbox() {
    let mut core = Core::start(|_| ());
    let (b, d) = (entry("b", 2, 1), entry("d", 4, 2));
    held_actor(&mut core, &[b.clone(), d.clone()]);
    let asked = core.submit(2, SAFE);
    core.barrier();
    // The actor will be held again behind the attempt, before it could take in what is said of that instance.
    core.script.hold(addr(2), At::Close);
    let (a, b) = (draining(entry("a", 1, 0)), draining(b));
    core.list(&[a.clone(), b.clone(), d.clone()]);
    core.list(&[a.clone(), b.clone(), draining(d)]);
    core.script.release(addr(1), At::Close);
    core.script.until(addr(2), |i| i.waits(At::Close) == 1);
    let answer = asked.given.recv_timeout(Duration::from_millis(200));
    assert!(answer.is_err(), "something new to what drains: {answer:?}");
    core.script.release(addr(2), At::Close);
    core.list(&[a, b, entry("e", 6, 2)]);
    assert_eq!(asked.served(), addr(6));
    assert_eq!(core.script.written(addr(4)), 1);
}

#[test]
fn a_connection_that_rests_at_an_instance_out_of_service_is_let_go() {
    let mut core = Core::start(|_| ());
    held_actor(&mut core, &[]);
    core.script.release(addr(1), At::Close);
}

#[test]
fn a_wire_that_panics_ends_its_work_and_frees_its_place() {
    let mut core = Core::start(|l| l.links_per_peer = 1);
    core.list(&[entry("a", 1, 0)]);
    core.script.at(addr(1), |i| i.panics = 1);
    let begun = Instant::now();
    // It may have run: the request ends or is tried again, and so are others until the place is free.
    _ = core.submit(0, SAFE).answer();
    while !matches!(core.submit(0, SAFE).answer(), Final::Served(..)) {
        assert!(begun.elapsed() < PATIENCE, "its place is taken for good");
    }
}

#[test]
fn what_cannot_be_reached_where_an_instance_was_is_not_held_against_it_elsewhere() {
    let mut core = Core::start(|_| ());
    core.list(&[entry("a", 1, 0)]);
    assert_eq!(core.submit(0, SAFE).served(), addr(1));
    core.script.at(addr(1), |i| (i.closes, i.gone) = (true, true));
    core.script.hold(addr(1), At::Dial);
    let asked = core.submit(0, SAFE);
    core.script.until(addr(1), |i| i.waits(At::Dial) == 1);
    core.list(&[entry("a", 2, 0)]);
    core.script.release(addr(1), At::Dial);
    assert_eq!(asked.served(), addr(2));
    assert_eq!(core.script.at(addr(2), |i| i.probes), 0, "it was doubted, and had to be asked how it is");
}

#[test]
fn a_connection_that_carried_nothing_has_rested_since_its_last_answer() {
    let mut core = Core::start(|_| ());
    core.list(&[entry("a", 1, 0)]);
    assert_eq!(core.submit(0, SAFE).served(), addr(1));
    let answered = Instant::now();
    core.script.hold(addr(1), At::Begin);
    let asked = core.submit(0, SAFE);
    core.script.until(addr(1), |i| i.waits(At::Begin) == 1);
    core.handle.left(asked.id);
    core.barrier();
    // Not to wait for another thread: what is shown is that time passes.
    std::thread::sleep(Duration::from_millis(100));
    let rested = answered.elapsed();
    core.script.release(addr(1), At::Begin);
    asked.over();
    assert_eq!(core.submit(0, SAFE).served(), addr(1));
    assert_eq!(core.script.at(addr(1), |i| (i.dials, i.rested >= rested)), (1, true));
}
