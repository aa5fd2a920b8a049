//! Choice of a request's destination: the primary, a replica that is fresh enough, or the queue.
use super::{
    Freshness, Group, GroupId, Member, MemberId, Micros, Outcome, PendingRequest, RequestId, Router,
};
use super::{Time, admission::Decision, elapsed, health::MAX_EJECTION, pool::MIN_BACKLOG_FACTOR};

/// A read may start this many probes to prove a replica fresh; afterwards the primary serves the read.
const MAX_FRESHNESS_PROBES: u32 = 2;
/// The number of replicas that one read tries without proof of freshness, if replicas check freshness.
const MAX_UNPROVEN_ATTEMPTS: usize = 2;
/// A replica that exceeds the permitted lag by some time may be tried again after that time divided by this.
const CATCH_UP_DIVISOR: i64 = 4;
/// Weight of a member in the router's own zone among equally loaded members. Other zones add latency, but an
/// overloaded zone adds more, so all zones get a share.
const LOCAL_ZONE_WEIGHT: f64 = 2.0;
/// A read waits for a probe in flight only until the latency objective divided by this has passed.
const PROBE_WAIT_DIVISOR: Micros = 8;

/// The conditions under which a member may serve a read.
#[derive(Clone, Copy)]
struct ReadRequirements {
    group: GroupId,
    /// The position that the member must have applied, if any.
    position: Option<Time>,
    /// Whether the read may still start a probe to prove that a replica is fresh enough.
    may_start_probe: bool,
    /// Whether the read arrived so recently that it can wait for a probe in flight.
    may_wait_for_probe: bool,
    /// Whether the read may be sent to a replica that may be too stale, because replicas check freshness.
    may_try_unproven: bool,
    /// The request's random number for the admission limits of members that are warming up.
    admission_draw: f64,
    /// The number of requests that this read counts as at a member that is warming up.
    backlog_factor: f64,
}

/// The available replicas to which a read has not been sent yet.
struct UntriedReplicas {
    /// Replicas known to be fresh enough.
    fresh: Vec<MemberId>,
    /// Replicas not known to be fresh enough.
    unproven: Vec<MemberId>,
}

impl Router {
    /// Chooses the member for a write, or for a read that only the primary may serve.
    pub(super) fn choose_primary(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let group_id = pending.request.group;
        let Some(group) = self.groups.get(&group_id) else { return Decision::Queue };
        if let Some(primary) = group.primary {
            let accepts = self.has_capacity(primary, pending.admission_draw, self.backlog_factor(pending));
            return if accepts { Decision::Forward(primary) } else { Decision::Queue };
        }
        if let Some(member) = self.most_likely_primary(pending, group) {
            return Decision::Forward(member);
        }
        self.probe_for_primary(group_id);
        Decision::Queue
    }

    /// Chooses the member to try while no primary is known: the most likely one that has not recently
    /// responded as a replica. A request tries each member once, then the search is left to probes. Reads are
    /// tried this way only if members check whether they may serve them.
    fn most_likely_primary(&self, pending: &PendingRequest, group: &Group) -> Option<MemberId> {
        let not_eligible = pending.count(Outcome::NotEligible);
        let all_not_eligible = pending.attempts.len() == not_eligible;
        let all_tried = not_eligible + 1 >= self.settings.max_attempts as usize;
        let can_check = self.replicas_check_freshness() || self.class(pending).freshness == Freshness::Write;
        if !can_check || !all_not_eligible || all_tried || pending.request.may_run_partially {
            return None;
        }
        let backlog_factor = self.backlog_factor(pending);
        let candidates = group.members.iter().copied().filter(|m| {
            !pending.has_tried(*m)
                && self.is_available(*m)
                && self.has_capacity(*m, pending.admission_draw, backlog_factor)
                && !self.recently_reported_replica(*m)
        });
        candidates.max_by_key(|m| (self.members[m].listed.listed_primary, self.members[m].position))
    }

    /// Chooses the member for a read that a replica may serve, or probes for a replica that is fresh enough.
    pub(super) fn choose_replica(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let read = self.read_requirements(pending);
        let Some(group) = self.groups.get(&read.group) else { return Decision::Queue };
        let primary = group.primary;
        let members = group.members.clone();
        let replicas = self.untried_replicas(pending);
        self.probe_unknown_roles(&members);
        let mut possibly_fresh = self.possibly_fresh_replicas(&replicas, &read);
        if read.may_start_probe {
            self.probe_for_freshness(id, &mut possibly_fresh);
        }
        if let Some(replica) = self.least_loaded(&replicas.fresh, &read) {
            return Decision::Forward(replica);
        }
        if !replicas.fresh.is_empty() {
            // All fresh replicas are at capacity: spare capacity of the primary is better than waiting.
            let spare_primary = primary.filter(|p| self.has_spare_capacity(*p, read.admission_draw));
            return spare_primary.map_or(Decision::Queue, Decision::Forward);
        }
        if read.may_wait_for_probe && replicas.unproven.iter().any(|m| self.members[m].probes_in_flight > 0) {
            return Decision::Queue;
        }
        if !read.may_try_unproven {
            possibly_fresh.clear();
        }
        self.choose_without_fresh_replica(&read, primary, &members, possibly_fresh)
    }

    fn read_requirements(&self, pending: &PendingRequest) -> ReadRequirements {
        let position = self.required_position(pending);
        let needs_proof = position.is_some() && !self.replicas_check_freshness();
        let waited = self.now.0 - pending.arrived_at.0;
        let just_arrived = waited < self.class(pending).latency_objective / PROBE_WAIT_DIVISOR;
        ReadRequirements {
            group: pending.request.group,
            position,
            may_start_probe: needs_proof && pending.freshness_probes < MAX_FRESHNESS_PROBES,
            may_wait_for_probe: needs_proof && just_arrived,
            may_try_unproven: !needs_proof && pending.count(Outcome::NotEligible) < MAX_UNPROVEN_ATTEMPTS,
            admission_draw: pending.admission_draw,
            backlog_factor: self.backlog_factor(pending),
        }
    }

    /// Probes members again that have not reported their role: an earlier probe may have returned no report.
    fn probe_unknown_roles(&mut self, members: &[MemberId]) {
        if self.replicas_check_freshness() {
            return;
        }
        for id in members {
            if !self.members[id].role_known && self.is_available(*id) {
                self.probe(*id);
            }
        }
    }

    /// The lagging replicas that may have caught up by now and have fewer attempts in flight than the fresh
    /// ones.
    fn possibly_fresh_replicas(&self, replicas: &UntriedReplicas, read: &ReadRequirements) -> Vec<MemberId> {
        let min_load = replicas.fresh.iter().map(|m| self.load(&self.members[m])).min();
        let less_loaded = |m: &MemberId| min_load.is_none_or(|min| self.load(&self.members[m]) + 1 < min);
        let candidates = replicas.unproven.iter().copied().filter(less_loaded);
        let usable = candidates.filter(|m| self.has_capacity(*m, read.admission_draw, read.backlog_factor));
        usable.filter(|m| self.may_have_caught_up(*m, read.position)).collect()
    }

    /// Probes candidates in random order until a probe starts, unless a probe of a candidate is already in
    /// flight. Leaves the candidates in that random order.
    fn probe_for_freshness(&mut self, id: RequestId, candidates: &mut [MemberId]) {
        if candidates.iter().any(|m| self.members[m].probes_in_flight > 0) {
            return;
        }
        self.rng.shuffle(candidates);
        let probe_started = candidates.iter().any(|m| self.probe(*m));
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.freshness_probes += u32::from(probe_started);
        }
    }

    /// Chooses the most advanced replica that may be fresh enough, or else the primary.
    fn choose_without_fresh_replica(
        &mut self,
        read: &ReadRequirements,
        primary: Option<MemberId>,
        members: &[MemberId],
        possibly_fresh: Vec<MemberId>,
    ) -> Decision {
        let newest = possibly_fresh.into_iter().max_by_key(|m| self.estimated_position(&self.members[m]));
        let backlog_factor = MIN_BACKLOG_FACTOR * read.backlog_factor * members.len().max(2) as f64;
        let free_primary = primary.filter(|p| self.has_capacity(*p, read.admission_draw, backlog_factor));
        if let Some(member) = newest.or(free_primary) {
            return Decision::Forward(member);
        }
        if primary.is_none() || !members.iter().any(|m| self.is_available(*m)) {
            self.probe_for_primary(read.group);
        }
        Decision::Queue
    }

    /// The position that a read requires, if any.
    pub(super) fn required_position(&self, pending: &PendingRequest) -> Option<Time> {
        match self.class(pending).freshness {
            Freshness::Bounded(bound) => Some(Time(self.now.0 - bound)),
            Freshness::Session => pending.request.session_commit,
            Freshness::Any => None,
            Freshness::Write | Freshness::Latest => Some(pending.arrived_at),
        }
    }

    /// The estimated current position of a member, which is a lower bound if members don't check their
    /// freshness.
    fn estimated_position(&self, member: &Member) -> Time {
        if !self.replicas_check_freshness() || member.lag_observed_at.is_none() {
            return member.position;
        }
        member.position.max(Time(self.now.0 - member.lag))
    }

    /// Whether a lagging replica may have caught up: the further it lagged behind, the longer until it is
    /// tried again.
    fn may_have_caught_up(&self, id: MemberId, needed: Option<Time>) -> bool {
        let Some(needed) = needed else { return true };
        let member = &self.members[&id];
        let allowed_lag = self.now.0 - needed.0;
        elapsed(self.now, member.lag_observed_at) >= (member.lag - allowed_lag) / CATCH_UP_DIVISOR
    }

    fn untried_replicas(&self, pending: &PendingRequest) -> UntriedReplicas {
        let group = &self.groups[&pending.request.group];
        let needed = self.required_position(pending);
        let candidates = group.members.iter().copied().filter(|m| {
            group.primary != Some(*m)
                && self.is_available(*m)
                && !pending.has_tried(*m)
                && self.counts_as_replica(&self.members[m], needed)
        });
        let is_fresh = |m: &MemberId| needed.is_none_or(|n| self.estimated_position(&self.members[m]) >= n);
        let (fresh, unproven) = candidates.partition(is_fresh);
        UntriedReplicas { fresh, unproven }
    }

    /// Whether to treat a member that is not the known primary as a replica. If members check their
    /// freshness, their first response tells as much as a probe. If they don't, a member whose probes fail or
    /// that may not be probed may serve a class that accepts data of any age.
    fn counts_as_replica(&self, member: &Member, needed: Option<Time>) -> bool {
        let can_check = self.replicas_check_freshness();
        let cannot_be_proven = member.consecutive_failed_probes > 0 || !self.settings.probing_allowed;
        let is_likely_replica = cannot_be_proven || can_check && !member.listed.listed_primary;
        member.role_known || ((can_check || needed.is_none()) && is_likely_replica)
    }

    /// Chooses the member with the fewest attempts in flight among those with capacity. Ties go to a member
    /// that is warming up, because `slow_start_draw` reserves a share for it, otherwise to a random one by
    /// weight, with a preference for the router's zone. With hundreds of routers most choices are ties.
    fn least_loaded(&mut self, candidates: &[MemberId], read: &ReadRequirements) -> Option<MemberId> {
        let draw = self.rng.f64();
        let usable =
            candidates.iter().filter(|m| self.has_capacity(**m, read.admission_draw, read.backlog_factor));
        let mut eligible: Vec<(MemberId, &Member)> = usable.map(|m| (*m, &self.members[m])).collect();
        let min_rank = eligible.iter().map(|(_, member)| self.load_rank(member)).min()?;
        eligible.retain(|(_, member)| self.load_rank(member) == min_rank);
        let mut remaining = draw * eligible.iter().map(|(_, member)| self.tie_weight(member)).sum::<f64>();
        let chosen = eligible.iter().find(|(_, member)| {
            remaining -= self.tie_weight(member);
            remaining < 0.0
        });
        chosen.or(eligible.first()).map(|(id, _)| *id)
    }

    /// Ranks a member by load; of equally loaded members, one that is warming up is first. A recent late
    /// response counts as an attempt in flight, because routers with little traffic rarely have any.
    fn load_rank(&self, member: &Member) -> usize {
        let is_late = elapsed(self.now, member.late_response_at) < MAX_EJECTION;
        let is_warm = self.capacity_share(member) >= 1.0;
        2 * (self.load(member) + usize::from(is_late)) + usize::from(is_warm)
    }

    /// The weight of a member in the random choice among equally loaded members.
    fn tie_weight(&self, member: &Member) -> f64 {
        let in_local_zone = member.listed.zone == self.settings.zone;
        member.listed.weight * if in_local_zone { LOCAL_ZONE_WEIGHT } else { 1.0 }
    }
}
