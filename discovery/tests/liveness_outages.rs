//! Random histories of outages played through the state machine in virtual time, against a modelled agent: whatever
//! the agent does before, a change is heard within the bound that the limits state, counted from the moment from which
//! discovery has it and answers new connections.
use discovery::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use proptest::prelude::*;
use settings::Limits;
use std::collections::BTreeSet;
use std::time::Duration;

/// One step of virtual time, in milliseconds.
const STEP: u64 = 10;
/// An agent says an empty line this often.
const BLANK: u64 = 2000;

fn limits() -> Limits {
    let long = Duration::from_secs(20);
    Limits::new(256, 192 << 20, long, long, long)
}

fn machine(l: &Limits) -> WatchLiveness {
    WatchLiveness::new(Settings {
        stale_after: l.watch_silent,
        first_line_timeout: l.watch_answer,
        min_open_interval: l.watch_retry.0,
        max_open_interval: l.watch_retry.1,
        previous_address_grace: l.watch_former,
        max_pending: l.watch_most,
        min_pending_time: l.watch_chance(),
        oldest_pending_time: l.watch_patience,
    })
}

/// What an agent does with a connection that is opened while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Refused,
    /// The connection never comes up.
    Swallowed,
    /// It comes up, and nothing more.
    Mute,
    /// It is given a head; half a line is the same to the machine.
    Heads,
    /// It is reset this long after its head.
    Reset(u64),
}

/// What becomes of a connection that stood when an outage began, or came up in it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Reset when the outage begins.
    Cut,
    /// Mute for good.
    Dead,
    /// It speaks again when the outage ends, and tells what it missed.
    Wakes,
    /// It speaks again, but what it missed while it was silent for long never comes on it.
    Loses,
}

#[derive(Clone, Debug)]
struct Outage {
    from: u64,
    to: u64,
    kind: Kind,
    fate: Fate,
}

/// What an agent needs: to take a connection, to give the head, to bring the first line.
#[derive(Clone, Copy, Debug)]
struct Agent {
    up: u64,
    head: u64,
    line: u64,
    /// Where it has no news, its first line comes only when an empty line is due.
    late: bool,
}

#[derive(Clone, Debug)]
struct History {
    /// Of each of two addresses.
    outages: [Vec<Outage>; 2],
    agents: [Agent; 2],
    /// When the watch is told to move to the other address.
    moves: Vec<u64>,
    /// When discovery has each version, at both addresses.
    changes: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connecting,
    /// Asked for what comes after this version.
    Asked(u64),
    Headed(u64),
    /// Told up to this version; the last line came then.
    Watching(u64, u64),
}

#[derive(Debug)]
struct Connection {
    number: ConnectionId,
    addr: usize,
    opened: u64,
    stage: Stage,
    /// Since when it has been in this stage, or as long ago as if the outage had not been.
    since: u64,
    /// An outage met it, at this place of the list.
    hit: Option<usize>,
    dead: bool,
}

struct World {
    history: History,
    silence: WatchLiveness,
    open: Vec<Connection>,
    addr: usize,
    /// The version a new connection asks from, as the driver and the list keep it.
    resume: u64,
    heard: BTreeSet<u64>,
    limits: Limits,
}

impl World {
    fn outage(&self, addr: usize, now: u64) -> Option<usize> {
        self.history.outages[addr].iter().position(|o| o.from <= now && now < o.to)
    }

    fn version(&self, now: u64) -> u64 {
        self.history.changes.iter().filter(|at| **at <= now).count() as u64
    }

    /// What a connection brings now.
    fn brings(&mut self, at: usize, now: u64) -> Option<Said> {
        let outage = self.outage(self.open[at].addr, now);
        let version = self.version(now);
        let agent = self.history.agents[self.open[at].addr];
        let connect = self.limits.watch_connect.as_millis() as u64;
        let silent = self.limits.watch_silent.as_millis() as u64;
        let c = &mut self.open[at];
        let outages = &self.history.outages[c.addr];
        if let Some(o) = outage.map(|n| &outages[n]) {
            let fresh = c.hit != outage;
            c.hit = outage;
            return match (c.stage, o.kind) {
                (Stage::Connecting, Kind::Refused) => Some(Said::End),
                (Stage::Connecting, Kind::Swallowed) => (now >= c.opened + connect).then_some(Said::End),
                (Stage::Connecting, _) => {
                    (c.stage, c.since) = (Stage::Asked(self.resume), now);
                    None
                }
                _ if fresh && o.fate == Fate::Cut && c.opened < o.from => Some(Said::End),
                // The reader gives up a head that does not come.
                (Stage::Asked(_), _) if now >= c.since + silent => Some(Said::End),
                (Stage::Asked(after), Kind::Heads | Kind::Reset(_)) => {
                    (c.stage, c.since) = (Stage::Headed(after), now);
                    Some(Said::Head)
                }
                (Stage::Headed(_), Kind::Reset(later)) if now >= c.since + later => Some(Said::End),
                _ => None,
            };
        }
        // Back, or never away.
        if let Some(o) = c.hit.take().map(|n| &outages[n]) {
            match (c.stage, o.fate) {
                // A connection that never came up is not remembered by whoever comes back.
                (Stage::Connecting, _) if o.kind == Kind::Swallowed => c.dead = true,
                (_, Fate::Dead | Fate::Cut) => c.dead = true,
                // Whoever was silent for less could not be told from one that had nothing to say.
                (Stage::Watching(told, _), Fate::Loses) if o.to - o.from >= silent => {
                    c.stage = Stage::Watching(told.max(version), now);
                }
                _ => c.since = now,
            }
        }
        if c.dead {
            let given_up = match c.stage {
                Stage::Connecting => now >= c.opened + connect,
                Stage::Asked(_) => now >= c.since + silent,
                _ => false,
            };
            return given_up.then_some(Said::End);
        }
        match c.stage {
            Stage::Connecting if now >= c.since + agent.up => {
                (c.stage, c.since) = (Stage::Asked(self.resume), now);
                None
            }
            Stage::Asked(after) if now >= c.since + agent.head => {
                (c.stage, c.since) = (Stage::Headed(after), now);
                Some(Said::Head)
            }
            Stage::Headed(after) => {
                let due = c.since + if agent.late && version == after { BLANK } else { agent.line };
                (now >= due).then(|| {
                    c.stage = Stage::Watching(version, now);
                    Said::Line(after, version)
                })
            }
            Stage::Watching(told, last) => (version > told || now >= last + BLANK).then(|| {
                c.stage = Stage::Watching(version, now);
                Said::Line(told, version)
            }),
            _ => None,
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        let mut actions = Vec::new();
        self.silence.handle(Duration::from_millis(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Open(number) => {
                    let (addr, stage) = (self.addr, Stage::Connecting);
                    let c =
                        Connection { number, addr, opened: now, stage, since: now, hit: None, dead: false };
                    self.open.push(c);
                }
                Action::Close(number) => {
                    let before = self.open.len();
                    self.open.retain(|c| c.number != number);
                    assert_eq!(self.open.len() + 1, before, "closed one that is not open");
                }
                Action::ReportStale(_) | Action::ReportLive { .. } => {}
            }
        }
    }

    fn said(&mut self, now: u64, connection: ConnectionId, said: Said) {
        match said {
            Said::Head => self.handle(now, Event::ResponseHead(connection)),
            Said::End => {
                self.open.retain(|c| c.number != connection);
                self.handle(now, Event::Ended(connection));
            }
            Said::Line(after, version) => {
                self.handle(now, Event::Line { connection, has_update: version > after });
                self.heard.extend(after + 1..=version);
                // As the driver does it.
                if !self.silence.was_stale(connection) {
                    self.resume = self.resume.max(version);
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Said {
    Head,
    End,
    /// The changes after the one and up to the other.
    Line(u64, u64),
}

/// Plays a history; gives the longest that a change was not heard while it could have been.
fn play(history: History) -> u64 {
    let limits = limits();
    let bound = limits.worst_silence().as_millis() as u64;
    let (most, count) = (limits.watch_most, history.changes.len() as u64);
    let ends = history.outages.iter().flatten().map(|o| o.to);
    let last = ends.chain(history.moves.iter().copied()).chain(history.changes.iter().copied());
    let last = last.max().unwrap_or(0);
    let (silence, open, heard) = (machine(&limits), Vec::new(), BTreeSet::new());
    let mut world = World { history, silence, open, addr: 0, resume: 0, heard, limits };
    world.handle(0, Event::Follow);
    let mut since = vec![None; count as usize + 1];
    let mut worst = 0;
    for now in (0..last + 40_000).step_by(STEP as usize) {
        if world.history.moves.contains(&now) {
            world.addr = 1 - world.addr;
            world.handle(now, Event::Follow);
            // What the new address has counts anew.
            since.fill(None);
        }
        for number in world.open.iter().map(|c| c.number).collect::<Vec<_>>() {
            if let Some(at) = world.open.iter().position(|c| c.number == number)
                && let Some(said) = world.brings(at, now)
            {
                world.said(now, number, said);
            }
        }
        if world.silence.next_deadline().is_some_and(|due| due <= Duration::from_millis(now)) {
            world.handle(now, Event::Deadline);
        }
        let waiting = world.open.iter().filter(|c| !matches!(c.stage, Stage::Watching(..))).count();
        assert!(waiting <= most, "{waiting} wait at {now}");
        // The one that is silent and, after a move, the old address's.
        assert!(world.open.len() <= most + 2, "{} are open at {now}", world.open.len());
        let away = world.outage(world.addr, now).is_some();
        for version in 1..=world.version(now) {
            let since = &mut since[version as usize];
            if away || world.heard.contains(&version) {
                *since = None;
                continue;
            }
            let waited = now - *since.get_or_insert(now);
            assert!(
                waited <= bound,
                "version {version} is not heard at {now}, {waited} ms after it could be"
            );
            worst = worst.max(waited);
        }
    }
    assert_eq!(world.heard.len() as u64, count);
    assert_eq!(world.resume, count, "a new watch would ask for what is known");
    let left: Vec<_> = world.open.iter().map(|c| (c.addr, matches!(c.stage, Stage::Watching(..)))).collect();
    assert_eq!(left, [(world.addr, true)], "one watch stays");
    worst
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Refused),
        Just(Kind::Swallowed),
        Just(Kind::Mute),
        Just(Kind::Heads),
        (0..1200u64).prop_map(Kind::Reset),
    ]
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let fate = prop_oneof![Just(Fate::Cut), Just(Fate::Dead), Just(Fate::Wakes), Just(Fate::Loses)];
    // Short ones too: what stood when they began is mute then, while the agent answers whoever asks anew.
    let length = prop_oneof![1..20u64, 1..1500u64];
    let one = (1..900u64, length, kind(), fate);
    prop::collection::vec(one, 0..5).prop_map(|all| {
        let mut at = 0;
        let mut next = |(pause, length, kind, fate)| {
            let from = at + pause * STEP;
            at = from + length * STEP;
            Outage { from, to: at, kind, fate }
        };
        all.into_iter().map(&mut next).collect()
    })
}

/// Up to what a connection is promised, whole.
fn agent() -> impl Strategy<Value = Agent> {
    let quick = Just((0, 0, 0));
    let slow = (0..=49u64, 0..=59u64, 0..=59u64);
    (prop_oneof![quick, slow], any::<bool>()).prop_map(|((up, head, line), late)| {
        let line = line.min(59 - head);
        Agent { up: up * STEP, head: head * STEP, line: line * STEP, late }
    })
}

fn history() -> impl Strategy<Value = History> {
    let times = |most| prop::collection::vec(0..4000u64, 0..most);
    // Changes at any time, and such that come right behind an outage's end.
    let behind = prop::collection::vec((any::<prop::sample::Index>(), 0..100u64), 0..4);
    let all = (outages(), outages(), agent(), agent(), times(4), times(5), behind);
    all.prop_map(|(a, b, one, other, moves, mut changes, behind)| {
        let ends: Vec<u64> = a.iter().chain(&b).map(|o| o.to / STEP).collect();
        if !ends.is_empty() {
            changes.extend(behind.iter().map(|(which, later)| which.get(&ends) + later));
        }
        let sorted = |mut times: Vec<u64>| {
            times.sort_unstable();
            times.dedup();
            times.into_iter().map(|t| t * STEP).collect::<Vec<u64>>()
        };
        let (moves, changes) = (sorted(moves), sorted(changes));
        History { outages: [a, b], agents: [one, other], moves, changes }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_outage_leaves_one_watch_and_each_change_is_heard_within_the_bound(history in history()) {
        play(history);
    }
}

fn calm() -> Agent {
    Agent { up: 0, head: 0, line: 0, late: false }
}

fn after(outages: Vec<Outage>, agent: Agent, change: u64) -> u64 {
    play(History { outages: [outages, vec![]], agents: [agent, agent], moves: vec![], changes: vec![change] })
}

#[test]
fn changes_lost_by_a_stale_watch_that_speaks_again_come_on_a_new_one() {
    // The old watch misses the change and speaks again at once; the next change comes on it before any new one does.
    let outage = Outage { from: 2010, to: 7000, kind: Kind::Swallowed, fate: Fate::Loses };
    let history = History {
        outages: [vec![outage], vec![]],
        agents: [Agent { up: 400, head: 300, line: 200, late: false }, calm()],
        moves: vec![],
        changes: vec![4000, 7010],
    };
    assert!(play(history) <= 1500);
}

#[test]
fn slow_agent_is_heard_beside_older_connections_with_heads_that_stay_mute() {
    // Each new connection needs longer for its head than the shortest time between two openings.
    let outage = Outage { from: 10, to: 8000, kind: Kind::Heads, fate: Fate::Dead };
    let agent = Agent { up: 490, head: 300, line: 290, late: false };
    assert!(after(vec![outage], agent, 7000) <= 2200);
}

#[test]
fn worst_case_reaches_the_stated_bound_within_100_ms() {
    // A watch that fell mute right after a line, while new connections are answered by a slow agent.
    let outage = Outage { from: 20, to: 30, kind: Kind::Swallowed, fate: Fate::Dead };
    let agent = Agent { up: 490, head: 300, line: 290, late: false };
    let limits = limits();
    let worst = after(vec![Outage { from: 1100, to: 1110, ..outage.clone() }], agent, 1110);
    let sum = limits.watch_silent + limits.watch_chance();
    assert!(Duration::from_millis(worst) + Duration::from_millis(100) >= sum, "{worst}");
    assert!(Duration::from_millis(worst) <= limits.worst_silence());
}
