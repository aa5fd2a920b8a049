//! Pool limits: how many attempts a member may have in flight from here, and its share while it warms up.
use super::{Member, MemberId, Outcome, PendingRequest, Router};

/// All routers together start with this many attempts in flight at a member: about two for each core of a
/// small machine, so that nothing jams before the pools are learned.
pub(super) const INITIAL_FLEET_SIZE: f64 = 8.0;
/// A pool in full use grows with each response that took under this share of the slowdown that the tightest
/// class bears,
pub(super) const GROW_BELOW: f64 = 0.4;
/// by this much for each of its places: slower than slow responses shrink it, or it never settles.
const GROWTH: f64 = 0.5;
/// A response that took more than this share of its objective, or none in time, shrinks the pool
const SHRINK_ABOVE: f64 = 0.5;
/// to this share,
const SHRINK_FACTOR: f64 = 0.8;
/// but never below one attempt in ten times its length: a member must be able to show that it is well.
pub(super) const MIN_SIZE: f64 = 0.1;
/// A cold member is open to this share of what overloads it at full load: about what it can do then.
const SLOW_START_SHARE: f64 = 0.5;
/// Requests that have waited count so much more there: a backlog comes on top, from all routers at once.
pub(super) const MIN_BACKLOG_FACTOR: f64 = 2.0;
/// Reads that find the replicas full may take this share of the primary's places.
const SPARE_SHARE: f64 = 0.5;

impl Router {
    /// Its pool has room. A cold member takes the share of requests that it can carry: the draw is the
    /// request's own, so that neither many routers nor a queued backlog arrive in one instant, and asking
    /// again changes nothing.
    pub(super) fn has_room(&self, id: MemberId, draw: f64, backlog: f64) -> bool {
        let member = &self.members[&id];
        let load = self.load(member) as f64;
        let capacity = self.capacity_share(member);
        let draw = if capacity < 1.0 { self.slow_start_draw(id, draw) } else { draw };
        let share = capacity * SLOW_START_SHARE * self.settings.overload_factor;
        // A pool below one takes a share of the requests, one at a time.
        (capacity >= 1.0 || draw < 1.0 && draw * backlog < share)
            && (load < (member.pool_size * capacity).floor() || (load == 0.0 && draw < member.pool_size))
    }

    /// A primary that is warm has places that its writes do not need.
    pub(super) fn has_spare_room(&self, id: MemberId, draw: f64) -> bool {
        let member = &self.members[&id];
        let spare = (member.pool_size * self.capacity_share(member).floor() * SPARE_SHARE).floor();
        self.has_room(id, draw, 1.0) && self.is_available(id) && (self.load(member) as f64) < spare
    }

    pub(super) fn is_available(&self, id: MemberId) -> bool {
        let member = &self.members[&id];
        member.is_ready() && member.ejected_until.is_none() && !(member.half_open && member.in_flight > 0)
    }

    pub(super) fn load(&self, member: &Member) -> usize {
        member.in_flight as usize + member.abandoned_attempts.iter().filter(|t| **t > self.now).count()
    }

    /// The part of its full capacity that a member has for certain by now.
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let initial = self.settings.slow_start_initial_share;
        let duration = self.settings.slow_start_duration.max(1) as f64;
        let age = member.listed.started_at.map_or(duration, |t| (self.now.0 - t.0).max(0) as f64);
        initial + (1.0 - initial) * (age / duration).min(1.0)
    }

    /// How much a request counts at a cold member: what a deadline gathers comes at once, on top of the rest.
    pub(super) fn backlog(&self, pending: &PendingRequest) -> f64 {
        let gathered = self.class(pending).deadline as f64 / self.settings.overload_duration as f64;
        if pending.queued { MIN_BACKLOG_FACTOR.max(1.0 + gathered) } else { 1.0 }
    }

    /// Where a draw lies in a cold replica's own part, by listed size, of its group's reads, at most half of
    /// them; one and more is outside. It never stands in for peers that are ejected or full.
    fn slow_start_draw(&self, id: MemberId, draw: f64) -> f64 {
        let listed = &self.members[&id].listed;
        let group = &self.groups[&listed.group];
        let size = |m: &MemberId| if group.primary == Some(*m) { 0.0 } else { self.members[m].listed.weight };
        let all = group.members.iter().map(size).sum::<f64>().max(2.0 * listed.weight);
        let before: f64 = group.members.iter().take_while(|m| **m != id).map(size).sum();
        if group.primary == Some(id) { draw } else { (draw * all - before).rem_euclid(all) / listed.weight }
    }

    /// Grows the pool after a quick response in full use, shrinks it after a late or a missing one.
    pub(super) fn adjust_pool(&mut self, id: MemberId, class: usize, latency: f64, outcome: Outcome) {
        // How slow it was, as a share of the slowdown that the class with least room can bear.
        let classes = self.settings.classes.iter().zip(&self.latency_ewma);
        let slowdowns = classes.map(|(c, ewma)| c.latency_objective as f64 / ewma.max(1.0));
        let bearable = self.latency_ewma[class] * slowdowns.fold(f64::MAX, f64::min);
        let objective = self.settings.classes[class].latency_objective as f64;
        let answered = matches!(outcome, Outcome::Ok | Outcome::TimedOut);
        let late = answered && latency / objective > SHRINK_ABOVE;
        let Some(member) = self.members.get_mut(&id) else { return };
        let full = f64::from(member.in_flight) + 1.0 > member.pool_size;
        if late || outcome == Outcome::Rejected {
            member.pool_size = (member.pool_size * SHRINK_FACTOR).max(MIN_SIZE);
            member.late_response_at = Some(self.now);
        } else if outcome == Outcome::Ok && latency / bearable < GROW_BELOW && full {
            member.pool_size += GROWTH / member.pool_size.max(1.0);
        }
    }
}
