//! Every decision of damsonvale. Its settings, events and actions are defined in `src/interface.rs`.
//!
//! Ordinary path: writes and fresh reads to the primary, other reads to the fresh-enough replica with
//! the fewest attempts in flight here (ties random), members banned for a while after failure signals.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Length of a first ban: long enough to skip a pause, short enough that a good member soon returns.
const BAN: Micros = 1_000_000;
/// Each further ban in a row doubles, up to the ten seconds of the design page.
const BAN_DOUBLINGS: u32 = 3;
/// The same for a member that can't be reached: asking it costs little, and it may be back at any time.
const REACH_DOUBLINGS: u32 = 1;
/// Errors after which a request is held to be bad itself: at another member where there is one.
const ERRORS_OF_REQUEST: usize = 2;
/// A late answer is waited for where it earns at least this share of the worth.
const LATE_COUNTS: f64 = 0.4;
/// Further attempts that each accepted request earns; a retry storm can't exceed this share of traffic.
const RETRY_SHARE: f64 = 0.2;
/// Retries that may be saved up.
const RETRY_SAVED: f64 = 20.0;
/// Different waits that are counted to tell first tries from later ones.
const WAITS: usize = 16;
/// Their counts are halved at this many of one kind, so that clients may change in the long run.
const WAITS_HALVED: u32 = 1000;
/// Rounds between two probes of one member that look for the primary or for a position,
const PROBE_ROUNDS: i64 = 20;
/// and the least time between them: reports are as old as that, and every driver asks.
const PROBE_GAP: Micros = 100_000;
/// Doublings of that time while a search or a member's probes bring nothing.
const PROBE_DOUBLINGS: u32 = 3;
/// Probes that one read may buy to prove a replica fresh; after these it is the primary's.
const PROOFS: u32 = 2;
/// A replica that needs this multiple of a time to be fresh enough is not asked again within that time.
const CATCH_UP: i64 = 4;
/// Weight of a new observation in running means.
const GAIN: f64 = 0.1;
/// A cold member is open to this share of what pushes it over at full load: about what it can do then.
const COLD_SHARE: f64 = 0.5;
/// Requests that have waited count so much more there: a backlog comes on top, from all drivers at once.
const BACKLOG: f64 = 2.0;
/// A member of the own zone counts this much more in ties: crossing has a price, jamming a zone a higher one.
const NEAR: f64 = 2.0;
/// Reads that find the replicas full may take this share of the primary's places.
const SPARE: f64 = 0.5;
/// Refused connections in a row after which a member that answers again may have just started, cold. A
/// single one is the network's as often as the member's; one that merely never came up is of a member that
/// was cut off, whose process went on.
const UNREACHED: u32 = 2;
/// Resets in a row, no request served between them, after which a member is banned though its probes answer.
const RESETS: u32 = 3;
/// Sessions remembered one by one; older ones fold into one floor.
const SESSIONS: usize = 4096;
/// Connect time-outs after which a probe may contradict an answer's note: reports are old news.
const NOTE_HOLDS: i64 = 4;

/// All drivers together start with this many attempts in flight at a member: about two for each core of a
/// small machine, so that nothing jams before the pools are learned.
const POOL: f64 = 8.0;
/// A pool in full use grows with each answer that took under this share of the slowdown that the tightest
/// class bears,
const POOL_GROW: f64 = 0.4;
/// by this much for each of its places: slower than slow answers shrink it, or it never settles.
const POOL_GAIN: f64 = 0.5;
/// An answer that took more than this share of its aim, or none in time, shrinks the pool
const POOL_SHRINK: f64 = 0.5;
/// to this share,
const POOL_CUT: f64 = 0.8;
/// but never below one attempt in ten times its length: a member must be able to show that it is well.
const POOL_LEAST: f64 = 0.1;

const LONG_AGO: Time = Time(i64::MIN / 4);

#[derive(Debug, Default)]
struct Member {
    group: GroupId,
    state: MemberState,
    listed_primary: bool,
    zone: u32,
    /// Its listed size against others.
    weight: f64,
    started: Option<Time>,
    /// Every commit up to here is applied; only rises.
    position: Time,
    /// How far behind the present it was when last heard of.
    lag: Micros,
    lag_at: Time,
    role_known: bool,
    /// When an answer's note last said that it is a replica.
    demoted: Time,
    in_flight: u32,
    /// When an answer of it was last late or missing; a quick one clears it.
    late_at: Time,
    /// How many attempts may be in flight from here: the pool size of the post, learned.
    pool: f64,
    probes_out: u32,
    probed: Time,
    /// Probes in a row that brought nothing.
    probes_failed: u32,
    banned_until: Option<Time>,
    strikes: u32,
    /// Back from a ban: one attempt at a time until one is served.
    trial: bool,
    /// Connections that were refused since it last answered.
    unreached: u32,
    /// It was banned because it could not be reached: an answer to a probe ends that.
    for_reach: bool,
    /// A connection to it was reset, and what it says to the next probe decides on the ban.
    asked_after_reset: bool,
    /// Failed attempts that still count as in flight, until these times.
    ghosts: Vec<Time>,
}

impl Member {
    /// Its ban ends: one attempt at a time until it has shown that it is well.
    fn try_again(&mut self) {
        self.banned_until = None;
        self.trial = true;
    }
}

#[derive(Debug, Default)]
struct Group {
    members: Vec<MemberId>,
    primary: Option<MemberId>,
    /// When all were last asked who is primary, and how often since there was one.
    searched: Time,
    searches: u32,
    held: Vec<RequestId>,
}

#[derive(Debug)]
struct Attempt {
    member: MemberId,
    sent: Time,
    /// None while it is out.
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Open {
    request: Request,
    arrived: Time,
    /// When the client first asked, as far as the wait that it has left tells.
    first_asked: Time,
    /// Drawn once in [0, 1): a member that may get a share only takes requests that drew below it.
    draw: f64,
    token: Option<Time>,
    attempts: Vec<Attempt>,
    held: bool,
    /// Probes bought for it to prove a replica fresh.
    proofs: u32,
    /// Final answer given or streaming: nothing more goes out.
    ended: bool,
    /// Send time of the first attempt that may have run.
    may_have_run: Option<Time>,
}

impl Open {
    /// No attempt is out.
    fn settled(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some())
    }

    fn count(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|a| a.outcome == Some(outcome)).count()
    }
}

enum Choice {
    Send(MemberId),
    Hold,
    GiveUp,
}

/// The decisions of one driver.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Open>,
    sessions: BTreeMap<(GroupId, SessionId), Time>,
    /// What every session read must see, from sessions no longer remembered one by one.
    floor: Option<Time>,
    /// Usual latency of each class.
    usual: Vec<f64>,
    /// The shares of their deadlines that requests bring as time to wait, and how many brought each.
    waits: Vec<(f64, u32)>,
    retries: f64,
    /// Requests that are held, in all groups together.
    held: usize,
    timer_set: bool,
    subscribed: bool,
}

impl Router {
    /// A router that knows nothing yet; the first list follows as an event.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let usual = settings.classes.iter().map(|c| c.aim as f64 / 4.0).collect();
        let (now, rng) = (LONG_AGO, fastrand::Rng::with_seed(seed));
        Router {
            settings,
            rng,
            now,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            sessions: BTreeMap::new(),
            floor: None,
            usual,
            waits: Vec::new(),
            retries: RETRY_SAVED,
            held: 0,
            timer_set: false,
            subscribed: false,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Members { complete, entries } => self.on_members(complete, entries, actions),
            Event::ListFailed => self.subscribed = false,
            Event::Drivers(n) => {
                let (was, n) = (f64::from(self.settings.drivers.max(1)), n.max(1));
                self.settings.drivers = n;
                // What is learned of a member is shared with those that come and grows with those that go.
                self.members
                    .values_mut()
                    .for_each(|m| m.pool = (m.pool * was / f64::from(n)).max(POOL_LEAST));
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::Streaming { request } => self.end(request),
            Event::Outcome { request, attempt, member, outcome, ended, note, commit, report } => {
                self.learn(member, note, commit, true);
                self.learn(member, report, None, false);
                if ended || outcome == Outcome::Ok {
                    self.end(request);
                }
                self.on_outcome(request, attempt, member, outcome, commit, actions);
            }
            Event::Probed { member, outcome, report } => self.on_probed(member, outcome, report, actions),
            Event::ClientLeft { request } => self.end(request),
            Event::Timer => {
                self.timer_set = false;
                // Bans of a group that nothing waits for end with its next outcome.
                let waiting = self.groups.iter().filter(|(_, g)| !g.held.is_empty());
                let groups: Vec<GroupId> = waiting.map(|(id, _)| *id).collect();
                groups.into_iter().for_each(|g| self.release(g, actions));
            }
        }
        if self.settings.list_on_request && !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Subscribe);
        }
        if !self.timer_set && self.held > 0 {
            self.timer_set = true;
            actions.push(Action::Timer { after: 2 * self.settings.round.max(1000) });
        }
    }

    /// Listed members that get nothing new: they drain, or are banned until a probe has ended that.
    pub fn avoided(&self) -> usize {
        let banned = |m: &Member| m.state == MemberState::Ready && m.banned_until.is_some();
        self.members.values().filter(|m| m.state == MemberState::Draining || banned(m)).count()
    }

    // ---- the member list ----

    fn on_members(&mut self, complete: bool, entries: Vec<MemberEntry>, actions: &mut Vec<Action>) {
        let mut touched = BTreeSet::new();
        if complete {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if !self.settings.only_draining_binds || m.state != MemberState::Ready {
                    m.state = MemberState::Gone;
                }
                touched.insert(m.group);
            }
        }
        for e in entries {
            touched.insert(e.group);
            if e.state == MemberState::Gone && !self.members.contains_key(&e.id) {
                actions.push(Action::Forget { member: e.id });
                continue;
            }
            let pool = (POOL / self.settings.drivers.max(1) as f64).max(1.0);
            // It is probed when a request first looks for it, not by hundreds of drivers as it appears.
            let m = self.members.entry(e.id).or_insert_with(|| {
                self.groups.entry(e.group).or_default().members.push(e.id);
                let (group, started, at) = (e.group, e.started, LONG_AGO);
                let (position, lag_at, demoted, probed, late_at) = (at, at, at, at, at);
                Member {
                    group,
                    started,
                    position,
                    lag_at,
                    demoted,
                    probed,
                    late_at,
                    pool,
                    ..Member::default()
                }
            });
            if e.started > m.started {
                // A restart: the old bans and doubts are about a process that is no more.
                m.started = e.started;
                m.banned_until = None;
                m.strikes = 0;
            }
            m.state = e.state;
            m.listed_primary = e.listed_primary;
            m.zone = e.zone;
            m.weight = if e.weight.is_finite() { e.weight.max(0.01) } else { 1.0 };
        }
        for g in touched {
            self.tidy(g, actions);
            self.release(g, actions);
        }
    }

    /// Forgets gone members that nothing is owed from, and a primary that takes no new work.
    fn tidy(&mut self, g: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&g) else { return };
        let members = &mut self.members;
        group.members.retain(|id| {
            let m = &members[id];
            let keep = m.state != MemberState::Gone || m.in_flight > 0 || m.probes_out > 0;
            if !keep {
                members.remove(id);
                actions.push(Action::Forget { member: *id });
            }
            keep
        });
        if group.primary.is_some_and(|p| members.get(&p).is_none_or(|m| m.state != MemberState::Ready)) {
            group.primary = None;
        }
        if group.members.is_empty() && group.held.is_empty() {
            self.groups.remove(&g);
        }
    }

    // ---- what members say ----

    /// Takes in a role and a position. An answer's note outranks a probe for a while.
    fn learn(&mut self, id: MemberId, said: Report, commit: Option<Time>, note: bool) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        for p in [said.position, commit].into_iter().flatten() {
            m.position = m.position.max(p);
            m.lag = now.0 - p.0;
            m.lag_at = now;
        }
        let Some(primary) = said.primary else { return };
        if !note && primary && now.0 - m.demoted.0 < NOTE_HOLDS * self.settings.connect_timeout {
            return;
        }
        m.role_known = true;
        let (g, ready) = (m.group, m.state == MemberState::Ready);
        if !primary && note {
            m.demoted = now;
        }
        let Some(group) = self.groups.get_mut(&g) else { return };
        if primary && ready && group.primary != Some(id) {
            group.primary = Some(id);
            group.searches = 0;
        } else if !primary {
            self.doubt(id);
        }
    }

    /// Looks for the primary: all members are asked, less and less often while that shows nothing new.
    fn search(&mut self, g: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&g) else { return };
        let gap = (PROBE_ROUNDS * self.settings.round).max(PROBE_GAP) << group.searches.min(PROBE_DOUBLINGS);
        if self.now.0 - group.searched.0 >= gap {
            (group.searched, group.searches) = (self.now, group.searches + 1);
            for m in group.members.clone() {
                self.probe(m, actions);
            }
        }
    }

    /// Asks a member how it is, unless it was asked a moment ago.
    fn probe(&mut self, id: MemberId, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return false };
        let gap = (PROBE_ROUNDS * self.settings.round).max(PROBE_GAP) << m.probes_failed.min(PROBE_DOUBLINGS);
        let due = m.state == MemberState::Ready && m.probes_out == 0 && now.0 - m.probed.0 >= gap;
        if !self.settings.may_probe || !due {
            return false;
        }
        m.probes_out += 1;
        m.probed = now;
        actions.push(Action::Probe { member: id });
        true
    }

    fn on_probed(&mut self, id: MemberId, outcome: Outcome, report: Report, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probes_out = m.probes_out.saturating_sub(1);
        m.probes_failed = if report.primary.is_some() { 0 } else { m.probes_failed + 1 };
        let g = m.group;
        // Answers outrank probes: one that failed says nothing of requests unless nothing could be reached.
        let dead = outcome == Outcome::ConnectFailed;
        // Bans never empty a group: with nobody else left, a member that may be well gets its trial now.
        let none_left = self.groups.get(&g).is_some_and(|x| !x.members.iter().any(|o| self.usable(*o)));
        let Some(m) = self.members.get_mut(&id) else { return };
        if outcome == Outcome::Ok && std::mem::take(&mut m.unreached) >= UNREACHED {
            // Its process was away: it may have started again, cold, before any list says so.
            m.started = m.started.max(Some(now));
        }
        m.unreached += u32::from(dead && 2 * (now.0 - m.probed.0) < self.settings.connect_timeout);
        let excused = std::mem::take(&mut m.asked_after_reset) && outcome == Outcome::Ok;
        let reached = m.for_reach && outcome == Outcome::Ok;
        if excused && m.strikes <= RESETS {
            // It was the connection's end, not the member's.
            m.banned_until = None;
        } else if !dead && m.banned_until.is_some_and(|t| t <= now || none_left || reached) {
            m.try_again();
        }
        if dead {
            self.strike(id, true);
            self.doubt(id);
        } else {
            self.learn(id, report, None, false);
        }
        self.tidy(g, actions);
        self.release(g, actions);
    }

    /// A failure signal: bans the member, longer each time in a row.
    fn strike(&mut self, id: MemberId, unreached: bool) {
        let now = self.now;
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let Some(m) = self.members.get_mut(&id) else { return };
        if m.banned_until.is_some_and(|t| t > now) {
            return;
        }
        let doublings = if unreached { REACH_DOUBLINGS } else { BAN_DOUBLINGS };
        let ban = (BAN << m.strikes.min(doublings)) as f64 * jitter;
        m.for_reach = unreached;
        m.banned_until = Some(Time(now.0 + ban as i64));
        m.strikes += 1;
    }

    /// It can't be reached or is no primary: it is believed to be one only when it says so again.
    fn doubt(&mut self, id: MemberId) {
        for group in self.groups.values_mut().filter(|g| g.primary == Some(id)) {
            group.primary = None;
        }
    }

    // ---- requests ----

    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        let token = match self.settings.tokens {
            Tokens::Carried => request.token,
            Tokens::Remembered => {
                let own = request.session.and_then(|s| self.sessions.get(&(request.group, s)).copied());
                own.max(self.floor)
            }
        };
        let elapsed = self.since_first_try(request.class, request.deadline.0 - self.now.0);
        let (id, arrived, draw) = (request.id, self.now, self.rng.f64());
        let (first_asked, attempts) = (Time(arrived.0 - elapsed), Vec::new());
        let (held, proofs, ended, may_have_run) = (false, 0, false, None);
        let open =
            Open { request, arrived, first_asked, draw, token, attempts, held, proofs, ended, may_have_run };
        self.requests.insert(id, open);
        self.dispatch(id, actions);
    }

    /// How long ago the client first asked. First tries bring one and the same share of the deadline of their
    /// class, the commonest; another is a later try: its client has waited what is missing to the deadline.
    fn since_first_try(&mut self, class: usize, wait: Micros) -> Micros {
        let deadline = self.settings.classes[class].deadline.max(1);
        let share = wait as f64 / deadline as f64;
        let near = 3.0 * self.settings.round as f64 / deadline as f64;
        let at = self.waits.iter().position(|w| (w.0 - share).abs() <= near).unwrap_or_else(|| {
            if self.waits.len() == WAITS {
                self.waits.sort_unstable_by_key(|w| u32::MAX - w.1);
                self.waits.pop();
            }
            self.waits.push((share, 0));
            self.waits.len() - 1
        });
        self.waits[at].1 += 1;
        let most = self.waits.iter().map(|w| w.1).max();
        self.waits.iter_mut().filter(|_| most > Some(WAITS_HALVED)).for_each(|w| w.1 /= 2);
        if self.waits.iter().all(|w| w.1 <= self.waits[at].1) { 0 } else { (deadline - wait).max(0) }
    }

    /// Sends a request on, holds it, or gives it up.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        match self.choose(id, actions) {
            Choice::Send(member) => self.send(id, member, actions),
            Choice::Hold => self.hold(id),
            Choice::GiveUp => self.give_up(id, actions),
        }
    }

    fn class(&self, open: &Open) -> &Class {
        &self.settings.classes[open.request.class]
    }

    /// After this an answer earns nothing.
    fn useful_until(&self, open: &Open) -> Time {
        let class = self.class(open);
        if class.late_worth >= LATE_COUNTS {
            open.request.deadline
        } else {
            open.request.deadline.min(Time(open.first_asked.0 + class.aim))
        }
    }

    fn choose(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Choice {
        let (now, round) = (self.now, self.settings.round);
        let Some(open) = self.requests.get(&id) else { return Choice::Hold };
        let need = if open.attempts.is_empty() { self.usual[open.request.class] as i64 } else { 0 };
        if now.0 + need >= self.useful_until(open).0
            || open.attempts.len() >= self.settings.max_attempts as usize
            || open.count(Outcome::Error) >= ERRORS_OF_REQUEST
        {
            return Choice::GiveUp;
        }
        if let Some(first) = open.may_have_run {
            let allowed = match self.class(open).effect {
                Effect::Safe => true,
                Effect::KeyedInGroup(w) | Effect::KeyedEverywhere(w) => now.0 - first.0 < w - round,
                Effect::KeyedInZone(_) | Effect::Unsafe => false,
            };
            if !allowed {
                return Choice::GiveUp;
            }
        }
        match self.class(open).freshness {
            Freshness::Write | Freshness::Fresh => self.choose_primary(id, actions),
            _ => self.choose_read(id, actions),
        }
    }

    fn choose_primary(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Choice {
        let open = &self.requests[&id];
        let (g, draw, crowd) = (open.request.group, open.draw, self.crowd(open));
        let Some(group) = self.groups.get(&g) else { return Choice::Hold };
        if let Some(primary) = group.primary {
            return if self.room(primary, draw, crowd) { Choice::Send(primary) } else { Choice::Hold };
        }
        let members = group.members.clone();
        // It goes round the members itself, the likeliest first, past those that have just said that they are
        // none; after one round of misses the search is left to probes. Reads do so only where members check.
        let misses = open.count(Outcome::Miss);
        let checked = self.settings.when_behind != WhenBehind::Answers;
        let holds = NOTE_HOLDS * self.settings.connect_timeout;
        let denied = |m: &MemberId| self.now.0 - self.members[m].demoted.0 < holds;
        if (checked || self.class(open).freshness == Freshness::Write)
            && open.attempts.len() == misses
            && misses + 1 < self.settings.max_attempts as usize
        {
            let next = members
                .iter()
                .filter(|m| open.attempts.iter().all(|a| a.member != **m))
                .filter(|m| self.usable(**m) && self.room(**m, draw, crowd) && !denied(m))
                .max_by_key(|m| (self.members[m].listed_primary, self.members[m].position));
            if let Some(&next) = next {
                return Choice::Send(next);
            }
        }
        self.search(g, actions);
        Choice::Hold
    }

    /// Its pool has room. A cold member takes the share of requests that it can carry: the draw is the
    /// request's own, so that neither many drivers nor a held backlog arrive in one instant, and asking
    /// again changes nothing.
    fn room(&self, id: MemberId, draw: f64, crowd: f64) -> bool {
        let m = &self.members[&id];
        let (load, warmth) = (self.load(m), self.warmth(m));
        let draw = if warmth < 1.0 { self.part(id, draw) } else { draw };
        let share = warmth * COLD_SHARE * self.settings.overload_factor;
        // A pool below one takes a share of the requests, one at a time.
        (warmth >= 1.0 || draw < 1.0 && draw * crowd < share)
            && ((load as f64) < (m.pool * warmth).floor() || (load == 0 && draw < m.pool))
    }

    /// A primary that is warm has places that its writes do not need.
    fn spare(&self, id: MemberId, draw: f64) -> bool {
        let m = &self.members[&id];
        self.room(id, draw, 1.0)
            && self.usable(id)
            && (self.load(m) as f64) < (m.pool * self.warmth(m).floor() * SPARE).floor()
    }

    fn usable(&self, id: MemberId) -> bool {
        let m = &self.members[&id];
        m.state == MemberState::Ready && m.banned_until.is_none() && !(m.trial && m.in_flight > 0)
    }

    /// The position that a read needs, if any.
    fn needs(&self, open: &Open) -> Option<Time> {
        match self.class(open).freshness {
            Freshness::Bounded(bound) => Some(Time(self.now.0 - bound)),
            Freshness::Session => open.token,
            Freshness::Any => None,
            Freshness::Write | Freshness::Fresh => Some(open.arrived),
        }
    }

    /// Where the member probably stands now; exact proof only where members don't check.
    fn stands(&self, m: &Member) -> Time {
        if self.settings.when_behind == WhenBehind::Answers || m.lag_at == LONG_AGO {
            return m.position;
        }
        m.position.max(Time(self.now.0 - m.lag))
    }

    /// A replica that was far behind needs time to catch up: it is asked again the later, the farther.
    fn may_have_caught_up(&self, id: MemberId, behind: Micros) -> bool {
        let m = &self.members[&id];
        (self.now.0 - m.lag_at.0) >= (m.lag - behind) / CATCH_UP
    }

    fn load(&self, m: &Member) -> usize {
        m.in_flight as usize + m.ghosts.iter().filter(|t| **t > self.now).count()
    }

    fn choose_read(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Choice {
        let open = &self.requests[&id];
        let (g, draw, crowd, proofs, misses) =
            (open.request.group, open.draw, self.crowd(open), open.proofs, open.count(Outcome::Miss));
        let need = self.needs(open);
        let patient = self.now.0 - open.arrived.0 < self.class(open).aim / 8;
        let tried: Vec<MemberId> = open.attempts.iter().map(|a| a.member).collect();
        let Some(group) = self.groups.get(&g) else { return Choice::Hold };
        let (primary, members) = (group.primary, group.members.clone());
        // Where members check, their first answer tells as much as a probe. Where they don't, one whose
        // probes fail, or that may not be probed, may serve a class that bears any age.
        let checked = self.settings.when_behind != WhenBehind::Answers;
        let proof = !checked && need.is_some();
        let mute = |m: &Member| m.probes_failed > 0 || !self.settings.may_probe;
        let known = |m: &Member| m.role_known || (!proof && (mute(m) || checked && !m.listed_primary));
        let (fresh, behind): (Vec<MemberId>, Vec<MemberId>) = members
            .iter()
            .filter(|m| Some(**m) != primary && self.usable(**m) && !tried.contains(m))
            .filter(|m| known(&self.members[m]))
            .partition(|m| need.is_none_or(|n| self.stands(&self.members[m]) >= n));
        // A first probe may have brought no report: who has not said its role is asked again.
        for m in &members {
            if !checked && !self.members[m].role_known && self.usable(*m) {
                self.probe(*m, actions);
            }
        }
        // Of those behind, the ones that may have caught up by now and are less busy than the fresh ones.
        let least = fresh.iter().map(|m| self.load(&self.members[m])).min();
        let gap = self.now.0 - need.unwrap_or(self.now).0;
        let mut idle = behind.clone();
        idle.retain(|m| least.is_none_or(|l| self.load(&self.members[m]) + 1 < l));
        idle.retain(|m| self.room(*m, draw, crowd) && (need.is_none() || self.may_have_caught_up(*m, gap)));
        if proof && proofs < PROOFS && idle.iter().all(|m| self.members[m].probes_out == 0) {
            // Proof is bought when it is wanted: none at hand, or those at hand are busier than others.
            self.rng.shuffle(&mut idle);
            if idle.iter().any(|m| self.probe(*m, actions))
                && let Some(open) = self.requests.get_mut(&id)
            {
                open.proofs += 1;
            }
        }
        if let Some(m) = self.fewest(&fresh, draw, crowd) {
            return Choice::Send(m);
        }
        // Replicas enough, but all of their places taken: the primary's spare ones are better than waiting.
        if !fresh.is_empty()
            && let Some(p) = primary
            && self.spare(p, draw)
        {
            return Choice::Send(p);
        }
        // Waits for a place, or for the proof that is under way.
        let asked = proof && patient && behind.iter().any(|m| self.members[m].probes_out > 0);
        if !fresh.is_empty() || asked {
            return Choice::Hold;
        }
        if !proof && misses < 2 {
            let nearest = idle.into_iter().max_by_key(|m| self.stands(&self.members[m]));
            if let Some(m) = nearest {
                return Choice::Send(m);
            }
        }
        if let Some(p) = primary
            && self.room(p, draw, BACKLOG * crowd * members.len().max(2) as f64)
        {
            return Choice::Send(p);
        }
        if primary.is_none() || !members.iter().any(|m| self.usable(*m)) {
            self.search(g, actions);
        }
        Choice::Hold
    }

    /// The one with the fewest attempts in flight among those that may get more. Ties go to a cold one,
    /// whose part it is, or at random by size, to the own zone first: with hundreds of drivers most are ties.
    fn fewest(&mut self, among: &[MemberId], draw: f64, crowd: f64) -> Option<MemberId> {
        let open: Vec<MemberId> = among.iter().copied().filter(|m| self.room(*m, draw, crowd)).collect();
        // A late answer counts as one in flight for a while: drivers with little traffic hold hardly any.
        let mut left = self.rng.f64();
        let recent = self.now.0 - (BAN << BAN_DOUBLINGS);
        let warm = |m: &Member| usize::from(self.warmth(m) >= 1.0);
        let busy = |m: &Member| 2 * (self.load(m) + usize::from(m.late_at.0 > recent)) + warm(m);
        let least = open.iter().map(|m| busy(&self.members[m])).min()?;
        let ties = || open.iter().map(|m| (*m, &self.members[m])).filter(|m| busy(m.1) == least);
        let size = |m: &Member| m.weight * if m.zone == self.settings.zone { NEAR } else { 1.0 };
        left *= ties().map(|m| size(m.1)).sum::<f64>();
        let pick = ties().find(|m| {
            left -= size(m.1);
            left < 0.0
        });
        pick.or(ties().next()).map(|m| m.0)
    }

    // ---- cold members ----

    /// The part of its full capacity that a member has for certain by now.
    fn warmth(&self, m: &Member) -> f64 {
        let (from, time) = (self.settings.cold_from, self.settings.cold_time.max(1) as f64);
        let age = m.started.map_or(time, |t| (self.now.0 - t.0).max(0) as f64);
        from + (1.0 - from) * (age / time).min(1.0)
    }

    /// Where a draw lies in a cold replica's own part, by listed size, of its group's reads, at most half of
    /// them; one and more is outside. It never stands in for peers that are banned or full.
    fn part(&self, id: MemberId, draw: f64) -> f64 {
        let (m, g) = (&self.members[&id], &self.groups[&self.members[&id].group]);
        let size = |x: &MemberId| if g.primary == Some(*x) { 0.0 } else { self.members[x].weight };
        let all = g.members.iter().map(size).sum::<f64>().max(2.0 * m.weight);
        let before: f64 = g.members.iter().take_while(|x| **x != id).map(size).sum();
        if g.primary == Some(id) { draw } else { (draw * all - before).rem_euclid(all) / m.weight }
    }

    /// How much a request counts at a cold member: what a deadline gathers comes at once, on top of the rest.
    fn crowd(&self, open: &Open) -> f64 {
        let gathered = self.class(open).deadline as f64 / self.settings.tip_time as f64;
        if open.held { BACKLOG.max(1.0 + gathered) } else { 1.0 }
    }

    // ---- sending and ending ----

    fn send(&mut self, id: RequestId, member: MemberId, actions: &mut Vec<Action>) {
        let now = self.now;
        let open = &self.requests[&id];
        let class = self.class(open);
        // No early time-out: where work given up goes on, a second try costs more than it saves.
        let timeout = match class.effect {
            Effect::Unsafe => open.request.deadline.0 - now.0,
            _ => self.useful_until(open).0 - now.0,
        };
        // A dial may lie before its first byte: what allows it now has to hold then.
        let window = match (class.effect, open.may_have_run) {
            (Effect::KeyedInGroup(w) | Effect::KeyedEverywhere(w), Some(t)) => t.0 + w - self.settings.round,
            _ => i64::MAX,
        };
        let proven = self.settings.when_behind == WhenBehind::Answers
            && self.groups[&open.request.group].primary != Some(member);
        let proof = match class.freshness {
            Freshness::Bounded(bound) if proven => self.members[&member].position.0 + bound,
            _ => i64::MAX,
        };
        let within = window.min(proof).min(now.0 + timeout) - now.0;
        if let Some(m) = self.members.get_mut(&member) {
            m.in_flight += 1;
            m.ghosts.retain(|t| *t > now);
        }
        if let Some(open) = self.requests.get_mut(&id) {
            open.attempts.push(Attempt { member, sent: now, outcome: None });
        }
        self.unhold(id);
        actions.push(Action::Send { request: id, member, timeout: timeout.max(1), within });
    }

    fn hold(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut open.held, true) {
            self.groups.entry(open.request.group).or_default().held.push(id);
            self.held += 1;
        }
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut open.held)
            && let Some(group) = self.groups.get_mut(&open.request.group)
        {
            group.held.retain(|h| *h != id);
            self.held -= 1;
        }
    }

    /// Looks again at what is held for a group.
    fn release(&mut self, g: GroupId, actions: &mut Vec<Action>) {
        self.end_bans(g, actions);
        let held = self.groups.get(&g).map(|x| x.held.clone()).unwrap_or_default();
        // What earns most for its work goes first, the oldest among equals.
        let mut ranked: Vec<(i64, RequestId)> = held.into_iter().map(|id| (-self.rank(id), id)).collect();
        ranked.sort_unstable();
        ranked.into_iter().for_each(|(_, id)| self.dispatch(id, actions));
    }

    /// Worth per time of work.
    fn rank(&self, id: RequestId) -> i64 {
        let open = &self.requests[&id];
        let (class, usual) = (self.class(open), self.usual[open.request.class]);
        let late = self.now.0 + usual as i64 > open.first_asked.0 + class.aim;
        (class.worth * if late { class.late_worth } else { 1.0 } * 1e9 / usual.max(1.0)) as i64
    }

    /// A ban that has run out ends with a probe, so that the member comes back gently.
    fn end_bans(&mut self, g: GroupId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(group) = self.groups.get(&g) else { return };
        for id in group.members.clone() {
            let over = self.members[&id].banned_until.is_some_and(|t| t <= now);
            if over && !self.probe(id, actions) && !self.settings.may_probe {
                self.members.get_mut(&id).into_iter().for_each(Member::try_again);
            }
        }
    }

    /// The final answer of a request that is not served, given at once.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let safe = match self.class(open).effect {
            Effect::Safe | Effect::KeyedEverywhere(_) => true,
            _ => open.may_have_run.is_none() && open.settled(),
        };
        if safe {
            let come_back = self.settings.max_come_back.map(|m| m.min(self.class(open).aim));
            actions.push(Action::Refuse { request: id, come_back });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.end(id);
    }

    /// Nothing more goes out for this request; it stays known until its attempts have ended.
    fn end(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.ended = true;
        self.unhold(id);
        self.drop_if_done(id);
    }

    fn drop_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|o| o.ended && o.settled()) {
            self.requests.remove(&id);
        }
    }

    fn on_outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        member: MemberId,
        outcome: Outcome,
        commit: Option<Time>,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(attempt as usize) else { return };
        if a.outcome.replace(outcome).is_some() {
            return;
        }
        let sent = a.sent;
        if !outcome.never_ran() && outcome != Outcome::Ok {
            open.may_have_run = Some(open.may_have_run.map_or(sent, |t| t.min(sent)));
        }
        let (class, g, session) = (open.request.class, open.request.group, open.request.session);
        let ended = open.ended;
        let need = self.needs(&self.requests[&id]);
        let freshness = self.settings.classes[class].freshness;
        self.rate_member(member, class, sent, outcome, need);
        if let (Outcome::Ok, Some(commit), Some(session), Tokens::Remembered) =
            (outcome, commit, session, self.settings.tokens)
        {
            self.remember(g, session, commit);
        }
        match outcome {
            Outcome::ConnectFailed => self.doubt(member),
            // One connection broke; a probe tells whether the process is gone, too.
            Outcome::Reset => {
                if let Some(m) = self.members.get_mut(&member) {
                    m.asked_after_reset = true;
                }
                _ = self.probe(member, actions);
            }
            Outcome::TimedOut if self.groups.get(&g).is_some_and(|x| x.primary == Some(member)) => {
                _ = self.probe(member, actions)
            }
            Outcome::Miss if freshness == Freshness::Write => self.doubt(member),
            _ => {}
        }
        if outcome == Outcome::Ok {
            // An error is the member's only when another has served the same request: errors that follow
            // the request ban nobody, however many there are.
            let erred =
                |a: &Attempt| (a.outcome == Some(Outcome::Error) && a.member != member).then_some(a.member);
            let blamed: Vec<MemberId> = self.requests[&id].attempts.iter().filter_map(erred).collect();
            blamed.into_iter().for_each(|m| self.strike(m, false));
        }
        if !ended && self.requests.get(&id).is_some_and(Open::settled) {
            let free = matches!(outcome, Outcome::Miss | Outcome::Moot);
            if free || self.retries >= 1.0 {
                self.retries -= if free { 0.0 } else { 1.0 };
                self.dispatch(id, actions);
            } else {
                self.give_up(id, actions);
            }
        }
        self.drop_if_done(id);
        self.tidy(g, actions);
        self.release(g, actions);
    }

    /// What an ended attempt says of its member's health, speed and lag.
    fn rate_member(&mut self, id: MemberId, class: usize, sent: Time, outcome: Outcome, need: Option<Time>) {
        let now = self.now;
        let usual = self.usual[class];
        // How slow it was, as a share of the slowdown that the class with least room can bear.
        let room = |(c, u): (&Class, &f64)| c.aim as f64 / u.max(1.0);
        let bears = usual * self.settings.classes.iter().zip(&self.usual).map(room).fold(f64::MAX, f64::min);
        let aim = self.settings.classes[class].aim as f64;
        let Some(m) = self.members.get_mut(&id) else { return };
        let took = (now.0 - sent.0) as f64;
        let share = took / aim;
        let late = share > POOL_SHRINK && matches!(outcome, Outcome::Ok | Outcome::TimedOut);
        if late || outcome == Outcome::Full {
            m.pool = (m.pool * POOL_CUT).max(POOL_LEAST);
            m.late_at = now;
        } else if outcome == Outcome::Ok && took / bears < POOL_GROW && m.in_flight as f64 + 1.0 > m.pool {
            m.pool += POOL_GAIN / m.pool.max(1.0);
        }
        m.in_flight = m.in_flight.saturating_sub(1);
        let group = m.group;
        if matches!(outcome, Outcome::Error | Outcome::Full | Outcome::TimedOut) {
            // It goes on counting for a usual service time: it may still run there, and a member that
            // fails quickly must not look idle.
            m.ghosts.push(Time(now.0 + usual as i64));
        }
        match outcome {
            Outcome::Ok => {
                let took = took.max(1.0);
                let gain = if took < usual { GAIN } else { GAIN / 8.0 };
                self.usual[class] += gain * (took - usual);
                m.unreached = if m.unreached < UNREACHED { 0 } else { m.unreached };
                if share < POOL_GROW {
                    m.strikes = 0;
                    m.late_at = LONG_AGO;
                    m.trial = false;
                }
                if let (Some(n), true) = (need, self.settings.when_behind != WhenBehind::Answers) {
                    m.lag = m.lag.min(now.0 - n.0);
                    m.lag_at = now;
                }
            }
            Outcome::TimedOut => {
                // When many time out together the load is to blame: bans would only move it to the rest.
                let of = |x: &&MemberId| self.members[*x].banned_until.is_some();
                let group = self.groups.get(&group).map_or(&[][..], |x| &x.members);
                if 3 * (group.iter().filter(of).count() + 1) <= group.len() + 1 {
                    self.strike(id, false);
                }
            }
            Outcome::ConnectFailed => {
                m.unreached += u32::from(2.0 * took < self.settings.connect_timeout as f64);
                self.strike(id, true);
            }
            Outcome::Reset => self.strike(id, true),
            Outcome::Miss => {
                if let Some(n) = need {
                    m.lag = m.lag.max((now.0 - n.0) * 3 / 2);
                    m.lag_at = now;
                }
            }
            _ => {}
        }
    }

    /// Remembers a session's newest commit; when there are too many, the older half folds into the floor.
    fn remember(&mut self, g: GroupId, session: SessionId, commit: Time) {
        let t = self.sessions.entry((g, session)).or_insert(commit);
        *t = (*t).max(commit);
        if self.sessions.len() > SESSIONS {
            let mut times: Vec<Time> = self.sessions.values().copied().collect();
            let (_, &mut cut, _) = times.select_nth_unstable(SESSIONS / 2);
            self.floor = self.floor.max(Some(cut));
            self.sessions.retain(|_, t| *t > cut);
        }
    }
}
