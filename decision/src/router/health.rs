//! Member health: roles and positions that members report, ejection of failing members and their return.
use super::{GroupId, Member, MemberId, MemberReport, Micros, Outcome, RequestId, Router, Time};
use super::{elapsed, pool};

/// Duration of a first ejection: long enough to outlast a short pause, short enough that a healthy member
/// soon returns.
const BASE_EJECTION: Micros = 1_000_000;
/// How often the duration of an ejection doubles at most, once per consecutive ejection: to 8 s, or to 10 s
/// with jitter, the documented maximum.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
pub(super) const MAX_EJECTION: Micros = BASE_EJECTION << MAX_EJECTION_DOUBLINGS;
/// The maximum doublings for an unreachable member, which is cheap to probe and may return at any time.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 1;
/// Consecutive refused connections after which a member that responds again is treated as restarted and cold.
/// A single refusal can as well be caused by the network. A connection that times out indicates an
/// unreachable member whose process kept running, so it does not count.
const RESTART_CONNECT_FAILURES: u32 = 2;
/// Consecutive resets, without a served request in between, after which a member is ejected even if its
/// probes succeed.
const MAX_TOLERATED_RESETS: u32 = 3;
/// For this many connect timeouts after a response stated that a member is a replica, reports that call it
/// the primary are ignored: such reports may be older.
const ROLE_HOLD_CONNECT_TIMEOUTS: i64 = 4;
/// Weight of a new observation in a running mean.
const EWMA_GAIN: f64 = 0.1;
/// Divides the weight of observations above the running mean.
const SLOW_RISE_DIVISOR: f64 = 8.0;

impl Router {
    /// Applies a reported role and position, which may be slightly out of date: a recent response takes
    /// precedence.
    pub(super) fn apply_report(&mut self, id: MemberId, mut report: MemberReport) {
        let recently_replica = self.recently_reported_replica(id);
        report.primary = report.primary.filter(|primary| !(*primary && recently_replica));
        self.update_member_state(id, report, None);
    }

    pub(super) fn update_member_state(&mut self, id: MemberId, report: MemberReport, commit: Option<Time>) {
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

    /// Whether a recent response of the member stated that it is a replica.
    pub(super) fn recently_reported_replica(&self, id: MemberId) -> bool {
        let hold_time = ROLE_HOLD_CONNECT_TIMEOUTS * self.settings.connect_timeout;
        self.members.get(&id).is_some_and(|m| elapsed(self.now, m.reported_replica_at) < hold_time)
    }

    /// Clears a group's primary after it proved unreachable or not primary. The member becomes the primary
    /// again only when it reports this role.
    pub(super) fn clear_primary(&mut self, id: MemberId) {
        self.groups.values_mut().filter(|g| g.primary == Some(id)).for_each(|g| g.primary = None);
    }

    /// Updates the health, the pool and the lag of a member after an attempt.
    pub(super) fn update_health(&mut self, id: MemberId, request: RequestId, latency: f64, outcome: Outcome) {
        let pending = &self.requests[&request];
        let class = pending.request.class;
        let needed = self.required_position(pending);
        self.adjust_pool(id, class, latency, outcome);
        let Some(member) = self.members.get_mut(&id) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Error | Outcome::Rejected | Outcome::TimedOut) {
            // The attempt still counts as in flight for the usual latency: it may still be running at the
            // member, and a member that fails quickly must not appear idle.
            member.abandoned_attempts.push(Time(self.now.0 + self.latency_ewma[class] as i64));
        }
        match outcome {
            Outcome::Ok => self.update_health_on_success(id, class, latency, needed),
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

    /// Ejects a member after a timeout unless too many members are ejected already. If many members time out
    /// together, overload is the cause, and ejections would only move the load to the remaining members.
    fn eject_after_timeout(&mut self, id: MemberId) {
        let group = self.groups.get(&self.members[&id].listed.group);
        let members = group.map_or(&[][..], |g| &g.members);
        let ejected = members.iter().filter(|m| self.members[m].ejected_until.is_some()).count();
        if 3 * (ejected + 1) <= members.len() + 1 {
            self.eject(id, Outcome::TimedOut);
        }
    }

    fn update_health_on_success(&mut self, id: MemberId, class: usize, latency: f64, needed: Option<Time>) {
        let objective = self.settings.classes[class].latency_objective as f64;
        let is_quick = latency / objective < pool::GROWTH_THRESHOLD;
        let replicas_check = self.replicas_check_freshness();
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
        if let Some(needed) = needed.filter(|_| replicas_check) {
            member.lag = member.lag.min(self.now.0 - needed.0);
            member.lag_observed_at = Some(self.now);
        }
    }

    /// Updates the running mean of a class, which falls quickly and rises slowly.
    fn adjust_latency_ewma(&mut self, class: usize, latency: f64) {
        let ewma = &mut self.latency_ewma[class];
        let gain = if latency < *ewma { EWMA_GAIN } else { EWMA_GAIN / SLOW_RISE_DIVISOR };
        *ewma += gain * (latency - *ewma);
    }

    /// Ejects a member after a failure, for longer with each consecutive ejection.
    pub(super) fn eject(&mut self, id: MemberId, cause: Outcome) {
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let unreachable = matches!(cause, Outcome::ConnectFailed | Outcome::Reset);
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

    /// Ends or confirms an ejection according to the outcome of a probe.
    pub(super) fn update_ejection(&mut self, id: MemberId, outcome: Outcome) {
        let ok = outcome == Outcome::Ok;
        let connect_failed = outcome == Outcome::ConnectFailed;
        // An ejection must not leave a group without available members: if none is left, a member that is
        // possibly healthy returns at once.
        let group = self.groups.get(&self.members[&id].listed.group);
        let none_available = group.is_some_and(|g| !g.members.iter().any(|m| self.is_available(*m)));
        let Some(member) = self.members.get_mut(&id) else { return };
        if ok && std::mem::take(&mut member.consecutive_connect_failures) >= RESTART_CONNECT_FAILURES {
            // The member's process was down and may have restarted, cold, before any list states this.
            member.listed.started_at = member.listed.started_at.max(Some(self.now));
        }
        let refused = 2 * elapsed(self.now, member.last_probe_at) < self.settings.connect_timeout;
        member.consecutive_connect_failures += u32::from(connect_failed && refused);
        let is_tolerated_reset = std::mem::take(&mut member.reset_awaits_probe) && ok;
        let reachable_again = member.ejected_as_unreachable && ok;
        if is_tolerated_reset && member.consecutive_ejections <= MAX_TOLERATED_RESETS {
            // Only the connection had failed, not the member.
            member.ejected_until = None;
        } else if !connect_failed
            && member.ejected_until.is_some_and(|t| t <= self.now || none_available || reachable_again)
        {
            member.end_ejection();
        }
    }

    /// Probes members whose ejection has expired, so that they return gradually.
    pub(super) fn end_ejections(&mut self, group: GroupId) {
        let Some(group) = self.groups.get(&group) else { return };
        for id in group.members.clone() {
            let has_expired = self.members[&id].ejected_until.is_some_and(|t| t <= self.now);
            if has_expired && !self.probe(id) && !self.settings.probing_allowed {
                self.members.get_mut(&id).into_iter().for_each(Member::end_ejection);
            }
        }
    }
}
