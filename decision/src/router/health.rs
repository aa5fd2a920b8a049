//! Member health: the roles and positions that members report, ejection of failing members and their return.
use super::{GroupId, Member, MemberId, MemberReport, Micros, Outcome, RequestId, Router, Time};
use super::{elapsed, pool};

/// Length of a first ejection: long enough to skip a pause, short enough that a good member soon returns.
const BASE_EJECTION: Micros = 1_000_000;
/// Each further ejection in a row doubles, up to the ten seconds of the design page.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
pub(super) const MAX_EJECTION: Micros = BASE_EJECTION << MAX_EJECTION_DOUBLINGS;
/// The same for a member that can't be reached: asking it costs little, and it may be back at any time.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 1;
/// Refused connections in a row after which a member that answers again may have just started, cold. A
/// single one is the network's as often as the member's; one that merely never came up is of a member that
/// was cut off, whose process went on.
const RESTART_CONNECT_FAILURES: u32 = 2;
/// Resets in a row, no request served between them, after which a member is ejected though its probes answer.
const MAX_EXCUSED_RESETS: u32 = 3;
/// Connect timeouts after which a report may contradict a response on the primary: it may be older.
const DENIAL_CONNECT_TIMEOUTS: i64 = 4;
/// Weight of a new observation in running means.
const EWMA_GAIN: f64 = 0.1;
/// An observation above the running mean has this much less weight.
const SLOW_RISE_DIVISOR: f64 = 8.0;

impl Router {
    /// Takes in a role and a position that may be a little old: a response outranks them for a while.
    pub(super) fn learn_from_report(&mut self, id: MemberId, mut report: MemberReport) {
        let doubtful = self.recently_denied_primary(id);
        report.primary = report.primary.filter(|primary| !(*primary && doubtful));
        self.learn_state(id, report, None);
    }

    pub(super) fn learn_state(&mut self, id: MemberId, report: MemberReport, commit: Option<Time>) {
        let Some(member) = self.members.get_mut(&id) else { return };
        for position in [report.position, commit].into_iter().flatten() {
            member.position = member.position.max(position);
            member.lag = self.now.0 - position.0;
            member.lag_observed_at = Some(self.now);
        }
        let Some(primary) = report.primary else { return };
        member.role_known = true;
        let Some(group) = self.groups.get_mut(&member.listed.group) else { return };
        if primary && member.is_ready() && group.primary != Some(id) {
            group.primary = Some(id);
            group.searches = 0;
        } else if !primary {
            self.clear_primary(id);
        }
    }

    /// A response of the member said not long ago that it is a replica.
    pub(super) fn recently_denied_primary(&self, id: MemberId) -> bool {
        let hold = DENIAL_CONNECT_TIMEOUTS * self.settings.connect_timeout;
        self.members.get(&id).is_some_and(|m| elapsed(self.now, m.denied_primary_at) < hold)
    }

    /// It can't be reached or is no primary: it is believed to be one only when it says so again.
    pub(super) fn clear_primary(&mut self, id: MemberId) {
        self.groups.values_mut().filter(|g| g.primary == Some(id)).for_each(|g| g.primary = None);
    }

    /// What an ended attempt says of its member's health, speed and lag.
    pub(super) fn rate_attempt(&mut self, id: MemberId, request: RequestId, latency: f64, outcome: Outcome) {
        let pending = &self.requests[&request];
        let class = pending.request.class;
        let needed = self.required_position(pending);
        self.adjust_pool(id, class, latency, outcome);
        let Some(member) = self.members.get_mut(&id) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Error | Outcome::Rejected | Outcome::TimedOut) {
            // It goes on counting for a usual service time: it may still run there, and a member that
            // fails quickly must not look idle.
            member.abandoned_attempts.push(Time(self.now.0 + self.latency_ewma[class] as i64));
        }
        match outcome {
            Outcome::Ok => self.rate_success(id, class, latency, needed),
            Outcome::TimedOut => self.eject_after_timeout(id),
            Outcome::ConnectFailed => {
                let refused = 2.0 * latency < self.settings.connect_timeout as f64;
                member.consecutive_connect_failures += u32::from(refused);
                self.eject(id, outcome);
            }
            Outcome::Reset => self.eject(id, outcome),
            Outcome::NotEligible => {
                if let Some(needed) = needed {
                    member.lag = member.lag.max((self.now.0 - needed.0) * 3 / 2);
                    member.lag_observed_at = Some(self.now);
                }
            }
            Outcome::Error | Outcome::Rejected | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// When many time out together the load is to blame: ejections would only move it to the rest.
    fn eject_after_timeout(&mut self, id: MemberId) {
        let group = self.groups.get(&self.members[&id].listed.group);
        let members = group.map_or(&[][..], |g| &g.members);
        let ejected = members.iter().filter(|m| self.members[m].ejected_until.is_some()).count();
        if 3 * (ejected + 1) <= members.len() + 1 {
            self.eject(id, Outcome::TimedOut);
        }
    }

    fn rate_success(&mut self, id: MemberId, class: usize, latency: f64, needed: Option<Time>) {
        let objective = self.settings.classes[class].latency_objective as f64;
        let is_quick = latency / objective < pool::GROW_BELOW;
        let checked = self.replicas_check_freshness();
        self.adjust_latency_ewma(class, latency.max(1.0));
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.consecutive_connect_failures < RESTART_CONNECT_FAILURES {
            member.consecutive_connect_failures = 0;
        }
        if is_quick {
            member.consecutive_ejections = 0;
            member.late_response_at = None;
            member.half_open = false;
        }
        if let Some(needed) = needed.filter(|_| checked) {
            member.lag = member.lag.min(self.now.0 - needed.0);
            member.lag_observed_at = Some(self.now);
        }
    }

    /// The running mean falls quickly and rises slowly.
    fn adjust_latency_ewma(&mut self, class: usize, latency: f64) {
        let ewma = &mut self.latency_ewma[class];
        let gain = if latency < *ewma { EWMA_GAIN } else { EWMA_GAIN / SLOW_RISE_DIVISOR };
        *ewma += gain * (latency - *ewma);
    }

    /// A failure signal: ejects the member, longer each time in a row.
    pub(super) fn eject(&mut self, id: MemberId, signal: Outcome) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let unreachable = matches!(signal, Outcome::ConnectFailed | Outcome::Reset);
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.ejected_until.is_some_and(|t| t > self.now) {
            return;
        }
        let doublings = if unreachable { MAX_UNREACHABLE_DOUBLINGS } else { MAX_EJECTION_DOUBLINGS };
        let duration = (BASE_EJECTION << member.consecutive_ejections.min(doublings)) as f64 * jitter;
        member.ejected_as_unreachable = unreachable;
        member.ejected_until = Some(Time(self.now.0 + duration as i64));
        member.consecutive_ejections += 1;
    }

    /// What the end of a probe says of its member's health.
    pub(super) fn review_ejection(&mut self, id: MemberId, outcome: Outcome) {
        let ok = outcome == Outcome::Ok;
        let unreached = outcome == Outcome::ConnectFailed;
        // Ejections never empty a group: with nobody else left, a member that may be well gets its trial now.
        let group = self.groups.get(&self.members[&id].listed.group);
        let none_left = group.is_some_and(|g| !g.members.iter().any(|m| self.is_available(*m)));
        let Some(member) = self.members.get_mut(&id) else { return };
        if ok && std::mem::take(&mut member.consecutive_connect_failures) >= RESTART_CONNECT_FAILURES {
            // Its process was away: it may have started again, cold, before any list says so.
            member.listed.started_at = member.listed.started_at.max(Some(self.now));
        }
        let refused = 2 * elapsed(self.now, member.last_probe_at) < self.settings.connect_timeout;
        member.consecutive_connect_failures += u32::from(unreached && refused);
        let excused = std::mem::take(&mut member.reset_awaits_probe) && ok;
        let reached = member.ejected_as_unreachable && ok;
        if excused && member.consecutive_ejections <= MAX_EXCUSED_RESETS {
            // It was the connection's end, not the member's.
            member.ejected_until = None;
        } else if !unreached && member.ejected_until.is_some_and(|t| t <= self.now || none_left || reached) {
            member.end_ejection();
        }
    }

    /// An ejection that has run out ends with a probe, so that the member comes back gently.
    pub(super) fn end_ejections(&mut self, group: GroupId) {
        let Some(group) = self.groups.get(&group) else { return };
        for id in group.members.clone() {
            let over = self.members[&id].ejected_until.is_some_and(|t| t <= self.now);
            if over && !self.probe(id) && !self.settings.probing_allowed {
                self.members.get_mut(&id).into_iter().for_each(Member::end_ejection);
            }
        }
    }
}
