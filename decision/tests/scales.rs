//! Two routers are fed the same history: the second one under settings whose classes stand in another order, whose
//! zones have other numbers, or all of whose times are longer by one factor. It must do the same.
//!
//! Times that follow from no setting would show here. Those that remain are the design page's ("ban time, probe timing"
//! are left open there) or only bound others, and the histories with longer times keep out of their way: a ban lasts
//! 1 to 8 s (`BAN`), a late answer counts for the longest ban's time, probes of one member lie 100 ms apart at least
//! (`PROBE_GAP`; with rounds of 5 ms or more it is the rounds that count), and a timer takes 2 ms at least.
use decision::*;
use std::collections::BTreeMap;

const MS: i64 = 1000;
const G: GroupId = GroupId(7);

/// How the second router's world differs. Its times are longer by a power of two, which changes no digit of a
/// floating-point number.
struct Other {
    times: i64,
    /// Where each class stands there.
    classes: Vec<usize>,
    /// The number of each zone there.
    zones: Vec<u32>,
}

impl Other {
    fn time(&self, t: Time) -> Time {
        Time(t.0 * self.times)
    }

    fn report(&self, r: Report) -> Report {
        Report { position: r.position.map(|t| self.time(t)), ..r }
    }

    fn settings(&self, s: &Settings) -> Settings {
        let k = self.times;
        let class = |c: &Class| Class {
            freshness: match c.freshness {
                Freshness::Bounded(b) => Freshness::Bounded(b * k),
                other => other,
            },
            effect: match c.effect {
                Effect::KeyedInGroup(w) => Effect::KeyedInGroup(w * k),
                Effect::KeyedEverywhere(w) => Effect::KeyedEverywhere(w * k),
                Effect::KeyedInZone(w) => Effect::KeyedInZone(w * k),
                other => other,
            },
            aim: c.aim * k,
            deadline: c.deadline * k,
            ..c.clone()
        };
        let place = |at: usize| self.classes.iter().position(|to| *to == at).expect("a place for each");
        Settings {
            classes: (0..s.classes.len()).map(|at| class(&s.classes[place(at)])).collect(),
            zone: self.zones[s.zone as usize],
            round: s.round * k,
            when_behind: match s.when_behind {
                WhenBehind::Waits(w) => WhenBehind::Waits(w * k),
                other => other,
            },
            max_come_back: s.max_come_back.map(|m| m * k),
            connect_timeout: s.connect_timeout * k,
            drain_grace: s.drain_grace * k,
            cold_time: s.cold_time * k,
            tip_time: s.tip_time * k,
            ..s.clone()
        }
    }

    fn event(&self, event: &Event) -> Event {
        match event.clone() {
            Event::Members { complete, entries } => {
                let entry = |e: MemberEntry| MemberEntry {
                    zone: self.zones[e.zone as usize],
                    started: e.started.map(|t| self.time(t)),
                    ..e
                };
                Event::Members { complete, entries: entries.into_iter().map(entry).collect() }
            }
            Event::Request(r) => Event::Request(Request {
                class: self.classes[r.class],
                deadline: self.time(r.deadline),
                token: r.token.map(|t| self.time(t)),
                ..r
            }),
            Event::Outcome { request, attempt, member, outcome, ended, note, commit, report } => {
                let (note, report) = (self.report(note), self.report(report));
                let commit = commit.map(|t| self.time(t));
                Event::Outcome { request, attempt, member, outcome, ended, note, commit, report }
            }
            Event::Probed { member, outcome, report } => {
                Event::Probed { member, outcome, report: self.report(report) }
            }
            other => other,
        }
    }

    fn action(&self, action: &Action) -> Action {
        match action.clone() {
            Action::Send { request, member, timeout, within } => {
                let (timeout, within) = (timeout * self.times, within * self.times);
                Action::Send { request, member, timeout, within }
            }
            Action::Refuse { request, come_back } => {
                Action::Refuse { request, come_back: come_back.map(|m| m * self.times) }
            }
            Action::Timer { after } => Action::Timer { after: after * self.times },
            other => other,
        }
    }
}

struct Out {
    class: usize,
    member: u32,
    attempt: u32,
    done: i64,
}

/// Both routers, and a world of five instances that answers what the first one does.
struct World {
    other: Other,
    settings: Settings,
    first: Router,
    second: Router,
    rng: fastrand::Rng,
    now: i64,
    next: u64,
    out: Vec<(u64, Out)>,
    sent: BTreeMap<u64, (usize, u32)>,
    probes: Vec<(u32, i64)>,
    timer: Option<i64>,
    /// Instances may fail, and the network may.
    rough: bool,
    sends: usize,
    refusals: usize,
}

const PRIMARY: u32 = 2;

impl World {
    fn new(settings: Settings, other: Other, seed: u64, rough: bool) -> World {
        let (first, second) =
            (Router::new(settings.clone(), seed), Router::new(other.settings(&settings), seed));
        let (out, sent, probes, timer) = (vec![], BTreeMap::new(), vec![], None);
        let rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let (now, next, sends, refusals) = (50_000 * MS, 0, 0, 0);
        World {
            other,
            settings,
            first,
            second,
            rng,
            now,
            next,
            out,
            sent,
            probes,
            timer,
            rough,
            sends,
            refusals,
        }
    }

    fn event(&mut self, event: Event) {
        let (mut done, mut also) = (Vec::new(), Vec::new());
        self.second.handle(self.other.time(Time(self.now)), self.other.event(&event), &mut also);
        self.first.handle(Time(self.now), event.clone(), &mut done);
        let expected: Vec<Action> = done.iter().map(|a| self.other.action(a)).collect();
        assert_eq!(also, expected, "at {} after {event:?}", self.now);
        for action in done {
            match action {
                Action::Send { request, member, .. } => {
                    let (class, attempts) = self.sent.get_mut(&request.0).expect("a request");
                    let (class, attempt) = (*class, *attempts);
                    *attempts += 1;
                    self.sends += 1;
                    // Well within the time of any class, so that no answer is late.
                    let done = self.now + self.rng.i64(2..30) * MS;
                    self.out.push((request.0, Out { class, member: member.0, attempt, done }));
                }
                Action::Refuse { .. } | Action::Fail { .. } => self.refusals += 1,
                Action::Probe { member } => self.probes.push((member.0, self.now + self.rng.i64(1..20) * MS)),
                Action::Timer { after } => self.timer = Some(self.now + after),
                Action::Cancel { .. } | Action::Subscribe | Action::Forget { .. } => {}
            }
        }
    }

    fn entry(&mut self, id: u32) -> MemberEntry {
        let draining = id != PRIMARY && self.rng.u8(..8) == 0;
        let cold = self.rng.u8(..4) == 0;
        MemberEntry {
            id: MemberId(id),
            group: G,
            zone: id % 3,
            state: if draining { MemberState::Draining } else { MemberState::Ready },
            listed_primary: id == PRIMARY,
            weight: f64::from(1 + id % 2),
            started: cold.then_some(Time(self.now - 3000 * MS)),
        }
    }

    /// What an instance says of itself: a replica lags a little, now and then far.
    fn said(&mut self, member: u32) -> Report {
        let lag = if self.rng.u8(..6) == 0 { 700 } else { self.rng.i64(0..40) };
        let behind = if member == PRIMARY { 0 } else { lag * MS };
        Report { primary: Some(member == PRIMARY), position: Some(Time(self.now - behind)) }
    }

    fn step(&mut self) {
        self.now += self.rng.i64(1..12) * MS;
        while let Some(at) = self.probes.iter().position(|p| p.1 <= self.now) {
            let (member, _) = self.probes.swap_remove(at);
            let failed = self.rough && self.rng.u8(..10) == 0;
            let outcome = if failed { Outcome::ConnectFailed } else { Outcome::Ok };
            let report = if failed { Report::default() } else { self.said(member) };
            self.event(Event::Probed { member: MemberId(member), outcome, report });
        }
        while let Some(at) = self.out.iter().position(|o| o.1.done <= self.now) {
            let (request, Out { class, member, attempt, .. }) = self.out.swap_remove(at);
            let write = self.settings.classes[class].freshness == Freshness::Write;
            let rough =
                [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::TimedOut, Outcome::Full];
            let outcome = match self.rng.u8(..16) {
                _ if write && member != PRIMARY => Outcome::Miss,
                0 if !write && member != PRIMARY => Outcome::Miss,
                1..4 if self.rough => rough[self.rng.usize(..rough.len())],
                _ => Outcome::Ok,
            };
            let note = self.said(member);
            let ok = outcome == Outcome::Ok;
            let commit = (ok && write).then_some(Time(self.now));
            let (note, report) = match outcome {
                Outcome::Ok | Outcome::Miss => (note, Report::default()),
                _ => (Report::default(), Report::default()),
            };
            self.event(Event::Outcome {
                request: RequestId(request),
                attempt,
                member: MemberId(member),
                outcome,
                ended: ok,
                note,
                commit,
                report,
            });
        }
        if self.timer.is_some_and(|at| at <= self.now) {
            self.timer = None;
            self.event(Event::Timer);
        }
        match self.rng.u8(..40) {
            0 => {
                let (entries, complete) = ((0..5).map(|id| self.entry(id)).collect(), self.rng.bool());
                self.event(Event::Members { complete, entries });
            }
            1 => {
                let request = RequestId(self.rng.u64(..self.next.max(1)));
                self.event(Event::ClientLeft { request });
            }
            2 => {
                let drivers = 1 + self.rng.u32(..4);
                self.event(Event::Drivers(drivers));
            }
            _ => {
                let class = self.rng.usize(..self.settings.classes.len());
                let share = if self.rng.u8(..3) == 0 { 2 } else { 1 };
                let deadline = Time(self.now + self.settings.classes[class].deadline / share);
                let token = (self.rng.bool()).then_some(Time(self.now - self.rng.i64(0..300) * MS));
                self.sent.insert(self.next, (class, 0));
                let session = Some(SessionId(self.rng.u64(..20)));
                let id = RequestId(self.next);
                self.next += 1;
                self.event(Event::Request(Request {
                    id,
                    class,
                    tenant: 0,
                    session,
                    group: G,
                    deadline,
                    token,
                }));
            }
        }
    }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let fresh = [
        Freshness::Write,
        Freshness::Session,
        Freshness::Any,
        Freshness::Bounded(400 * MS),
        Freshness::Fresh,
    ];
    let effects = [
        Effect::Safe,
        Effect::Unsafe,
        Effect::KeyedInGroup(900 * MS),
        Effect::KeyedEverywhere(1500 * MS),
        Effect::KeyedInZone(700 * MS),
    ];
    let mut class = |n: usize| {
        let aim = 80 * rng.i64(3..20) * MS;
        Class {
            freshness: fresh[n % fresh.len()],
            effect: effects[rng.usize(..effects.len())],
            aim,
            deadline: 2 * aim,
            worth: f64::from(rng.u32(1..9)),
            late_worth: f64::from(rng.u32(0..4)) / 4.0,
        }
    };
    let classes = (0..8).map(&mut class).collect();
    let behind = [WhenBehind::Answers, WhenBehind::Bounces, WhenBehind::Waits(20 * MS)];
    Settings {
        classes,
        tenant_rates: vec![],
        over_share_worth: 1.0,
        drivers: 1 + rng.u32(..4),
        zone: rng.u32(..3),
        round: 5 * MS,
        when_behind: behind[rng.usize(..3)],
        tokens: if rng.bool() { Tokens::Carried } else { Tokens::Remembered },
        may_duplicate: false,
        max_attempts: 1 + rng.u32(2..6),
        may_cancel: true,
        may_probe: true,
        probe_price: 0.02,
        max_come_back: rng.bool().then_some(1000 * MS),
        connect_timeout: 200 * MS,
        drain_grace: 500 * MS,
        only_draining_binds: rng.bool(),
        cold_from: 0.2,
        cold_time: 16_000 * MS,
        overload_factor: 3.0,
        tip_time: 2000 * MS,
        list_on_request: rng.bool(),
    }
}

/// Plays histories; how much was sent and refused in all of them.
fn play(rough: bool, other: impl Fn(&mut fastrand::Rng, &Settings) -> Other) -> (usize, usize) {
    let mut all = (0, 0);
    for seed in 0..12 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let other = other(&mut rng, &settings);
        let mut world = World::new(settings, other, seed, rough);
        let entries = (0..5).map(|id| world.entry(id)).collect();
        world.event(Event::Members { complete: true, entries });
        (0..400).for_each(|_| world.step());
        all = (all.0 + world.sends, all.1 + world.refusals);
    }
    all
}

fn as_they_are(s: &Settings) -> Other {
    Other { times: 1, classes: (0..s.classes.len()).collect(), zones: vec![0, 1, 2] }
}

#[test]
fn the_order_of_classes_and_the_numbers_of_zones_change_nothing() {
    let (sends, refusals) = play(true, |rng, s| {
        let mut other = as_they_are(s);
        rng.shuffle(&mut other.classes);
        other.zones = vec![5, 900, 0];
        rng.shuffle(&mut other.zones);
        other
    });
    assert!(sends > 1000 && refusals > 20, "{sends} sent, {refusals} refused");
}

#[test]
fn longer_times_of_all_settings_and_events_change_nothing_but_the_length_of_what_is_done() {
    for times in [2, 4, 64] {
        let (sends, _) = play(false, |_, s| Other { times, ..as_they_are(s) });
        assert!(sends > 1000, "{sends} sent");
    }
}
