//! Limits of attempts in flight per member (pools), and a member's share of requests while it warms up.
use super::{Member, MemberId, Outcome, PendingRequest, Router};

/// Initial limit of attempts in flight at a member, over all routers: about two per core of a small machine,
/// so that requests don't queue before the limits have adapted.
pub(super) const INITIAL_FLEET_SIZE: f64 = 8.0;
/// A fully used pool grows after a response that took less than this share of the latency tolerable to the
/// class with the tightest latency objective.
pub(super) const GROWTH_THRESHOLD: f64 = 0.4;
/// Growth per response in attempts, divided by the pool size. The pool must grow more slowly than it shrinks,
/// or it never settles.
const GROWTH_STEP: f64 = 0.5;
/// A pool shrinks after a response slower than this share of its latency objective, and after a timeout.
const SHRINK_THRESHOLD: f64 = 0.5;
/// The factor by which a pool shrinks.
const SHRINK_FACTOR: f64 = 0.8;
/// Lower bound of a pool: one attempt in flight for a tenth of the requests, so that a member can prove that
/// it has recovered.
pub(super) const MIN_SIZE: f64 = 0.1;
/// A member that is warming up gets this share of the load that overloads it: about what it can handle.
const SLOW_START_SHARE: f64 = 0.5;
/// A queued request counts as at least this many at a member that is warming up, because all routers release
/// their backlogs at the same time, in addition to new requests.
pub(super) const MIN_BACKLOG_FACTOR: f64 = 2.0;
/// The share of the primary's pool that reads may use when all replicas are at capacity.
const SPARE_CAPACITY_SHARE: f64 = 0.5;

impl Router {
    /// Whether a member has capacity for a request with this random number. A member that is warming up gets
    /// only the share of requests that it can handle. The number belongs to the request, so neither many
    /// routers nor a queued backlog arrive at the same moment, and deciding again gives the same result.
    pub(super) fn has_capacity(&self, id: MemberId, draw: f64, backlog_factor: f64) -> bool {
        let member = &self.members[&id];
        let load = self.load(member) as f64;
        let capacity = self.capacity_share(member);
        let draw = if capacity < 1.0 { self.slow_start_draw(id, draw) } else { draw };
        let admitted_share = capacity * SLOW_START_SHARE * self.settings.overload_factor;
        // A pool below 1 accepts only a share of the requests, one at a time.
        (capacity >= 1.0 || draw < 1.0 && draw * backlog_factor < admitted_share)
            && (load < (member.pool_size * capacity).floor() || (load == 0.0 && draw < member.pool_size))
    }

    /// Whether a primary has capacity that its writes do not need. A primary that is warming up has none.
    pub(super) fn has_spare_capacity(&self, id: MemberId, draw: f64) -> bool {
        let member = &self.members[&id];
        let spare = (member.pool_size * self.capacity_share(member).floor() * SPARE_CAPACITY_SHARE).floor();
        self.has_capacity(id, draw, 1.0) && self.is_available(id) && (self.load(member) as f64) < spare
    }

    pub(super) fn is_available(&self, id: MemberId) -> bool {
        let member = &self.members[&id];
        member.is_ready() && member.ejected_until.is_none() && !(member.half_open && member.in_flight > 0)
    }

    pub(super) fn load(&self, member: &Member) -> usize {
        member.in_flight as usize + member.abandoned_attempts.iter().filter(|t| **t > self.now).count()
    }

    /// The share of its full capacity that a member certainly has at present.
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let initial = self.settings.slow_start_initial_share;
        let duration = self.settings.slow_start_duration.max(1) as f64;
        let age = member.listed.started_at.map_or(duration, |t| (self.now.0 - t.0).max(0) as f64);
        initial + (1.0 - initial) * (age / duration).min(1.0)
    }

    /// The number of requests that a request counts as at a member that is warming up: the requests that
    /// queue up within a deadline arrive at once, in addition to new requests.
    pub(super) fn backlog_factor(&self, pending: &PendingRequest) -> f64 {
        let queued = self.class(pending).deadline as f64 / self.settings.overload_duration as f64;
        if pending.queued { MIN_BACKLOG_FACTOR.max(1.0 + queued) } else { 1.0 }
    }

    /// Maps a request's random number to the share of the group's reads that is reserved for a replica that
    /// is warming up: results below 1 belong to it. The share is proportional to the listed weight, but at
    /// most half of all reads. The replica does not take over the shares of members that are ejected or at
    /// capacity.
    fn slow_start_draw(&self, id: MemberId, draw: f64) -> f64 {
        let listed = &self.members[&id].listed;
        let group = &self.groups[&listed.group];
        let size = |m: &MemberId| if group.primary == Some(*m) { 0.0 } else { self.members[m].listed.weight };
        let total = group.members.iter().map(size).sum::<f64>().max(2.0 * listed.weight);
        let offset: f64 = group.members.iter().take_while(|m| **m != id).map(size).sum();
        if group.primary == Some(id) {
            draw
        } else {
            (draw * total - offset).rem_euclid(total) / listed.weight
        }
    }

    /// Grows a fully used pool after a fast response, and shrinks it after a late, missing or rejected one.
    pub(super) fn adjust_pool(&mut self, id: MemberId, class: usize, latency: f64, outcome: Outcome) {
        // Usual latency times the slowdown (latency objective / usual latency) that all classes tolerate.
        let classes = self.settings.classes.iter().zip(&self.latency_ewma);
        let slowdowns = classes.map(|(c, ewma)| c.latency_objective as f64 / ewma.max(1.0));
        let tolerable_latency = self.latency_ewma[class] * slowdowns.fold(f64::MAX, f64::min);
        let objective = self.settings.classes[class].latency_objective as f64;
        let has_latency = matches!(outcome, Outcome::Ok | Outcome::TimedOut);
        let is_late = has_latency && latency / objective > SHRINK_THRESHOLD;
        let Some(member) = self.members.get_mut(&id) else { return };
        let fully_used = f64::from(member.in_flight) + 1.0 > member.pool_size;
        if is_late || outcome == Outcome::Rejected {
            member.pool_size = (member.pool_size * SHRINK_FACTOR).max(MIN_SIZE);
            member.late_response_at = Some(self.now);
        } else if outcome == Outcome::Ok && latency / tolerable_latency < GROWTH_THRESHOLD && fully_used {
            member.pool_size += GROWTH_STEP / member.pool_size.max(1.0);
        }
    }
}
