//! Where a request goes: to the primary, to a replica that is fresh enough, or into the queue.
use super::{
    Freshness, Group, GroupId, Member, MemberId, Micros, Outcome, PendingRequest, RequestId, Router,
};
use super::{Time, admission::Decision, elapsed, health::MAX_EJECTION, pool::MIN_BACKLOG_FACTOR};

/// Probes that one read may start to prove a replica fresh; after these the primary serves it.
const MAX_FRESHNESS_PROBES: u32 = 2;
/// Replicas that one read tries without proof that they are fresh enough, where replicas check that.
const MAX_MISSES: usize = 2;
/// A replica that lags too far by some time is asked again after that time divided by this, not earlier.
const CATCH_UP_FACTOR: i64 = 4;
/// Weight of a member of the own zone among equally loaded ones: other zones cost latency, but an overloaded
/// zone costs more, so all keep a share.
const OWN_ZONE_FACTOR: f64 = 2.0;
/// A read waits for a probe in flight only while it is younger than its latency objective divided by this.
const PROOF_WAIT_DIVISOR: Micros = 8;

/// What a read asks of the member that serves it.
#[derive(Clone, Copy)]
struct ReadRequirements {
    group: GroupId,
    /// The position that the member must have applied, if any.
    position: Option<Time>,
    /// It may still start a probe that proves a replica fresh enough.
    may_start_probe: bool,
    /// It arrived so recently that it can wait for a probe that is in flight.
    may_wait_for_proof: bool,
    /// It may try a replica that is perhaps too far behind, which then says so itself.
    may_try_unproven: bool,
    /// Its random number for the limits of members that are warming up.
    admission_draw: f64,
    /// How much it counts at a member that is warming up.
    backlog: f64,
}

/// The available replicas that a read has not tried yet.
struct UntriedReplicas {
    /// Fresh enough for the read.
    fresh: Vec<MemberId>,
    /// Not known to be fresh enough.
    behind: Vec<MemberId>,
}

impl Router {
    /// Chooses for a write, or for a read that only the primary may serve.
    pub(super) fn choose_primary(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let group_id = pending.request.group;
        let Some(group) = self.groups.get(&group_id) else { return Decision::Queue };
        if let Some(primary) = group.primary {
            let has_room = self.has_room(primary, pending.admission_draw, self.backlog(pending));
            return if has_room { Decision::Forward(primary) } else { Decision::Queue };
        }
        if let Some(member) = self.likeliest_primary(pending, group) {
            return Decision::Forward(member);
        }
        self.search_primary(group_id);
        Decision::Queue
    }

    /// While no primary is known, a request goes round the members itself, the likeliest first, past those
    /// that have just said that they are none. After one round the search is left to probes. Reads do so
    /// only where members check what they may serve.
    fn likeliest_primary(&self, pending: &PendingRequest, group: &Group) -> Option<MemberId> {
        let misses = pending.count(Outcome::NotEligible);
        let only_missed = pending.attempts.len() == misses;
        let round_over = misses + 1 >= self.settings.max_attempts as usize;
        let checked = self.replicas_check_freshness() || self.class(pending).freshness == Freshness::Write;
        if !checked || !only_missed || round_over {
            return None;
        }
        let backlog = self.backlog(pending);
        let candidates = group.members.iter().copied().filter(|m| {
            !pending.has_tried(*m)
                && self.is_available(*m)
                && self.has_room(*m, pending.admission_draw, backlog)
                && !self.recently_denied_primary(*m)
        });
        candidates.max_by_key(|m| (self.members[m].listed.listed_primary, self.members[m].position))
    }

    /// Chooses for a read that a replica may serve, or looks for the proof that one is fresh enough.
    pub(super) fn choose_replica(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let read = self.read_requirements(pending);
        let Some(group) = self.groups.get(&read.group) else { return Decision::Queue };
        let primary = group.primary;
        let members = group.members.clone();
        let replicas = self.untried_replicas(pending);
        self.probe_unknown_roles(&members);
        let mut maybe_fresh = self.maybe_fresh_replicas(&replicas, &read);
        if read.may_start_probe {
            self.probe_for_proof(id, &mut maybe_fresh);
        }
        if let Some(replica) = self.least_loaded(&replicas.fresh, &read) {
            return Decision::Forward(replica);
        }
        if !replicas.fresh.is_empty() {
            // All fresh replicas are at capacity: spare capacity of the primary is better than waiting.
            let spare = primary.filter(|p| self.has_spare_room(*p, read.admission_draw));
            return spare.map_or(Decision::Queue, Decision::Forward);
        }
        if read.may_wait_for_proof && replicas.behind.iter().any(|m| self.members[m].probes_in_flight > 0) {
            return Decision::Queue;
        }
        if !read.may_try_unproven {
            maybe_fresh.clear();
        }
        self.choose_without_fresh_replica(&read, primary, &members, maybe_fresh)
    }

    fn read_requirements(&self, pending: &PendingRequest) -> ReadRequirements {
        let position = self.required_position(pending);
        let needs_proof = position.is_some() && !self.replicas_check_freshness();
        let waited = self.now.0 - pending.arrived_at.0;
        let just_arrived = waited < self.class(pending).latency_objective / PROOF_WAIT_DIVISOR;
        ReadRequirements {
            group: pending.request.group,
            position,
            may_start_probe: needs_proof && pending.freshness_probes < MAX_FRESHNESS_PROBES,
            may_wait_for_proof: needs_proof && just_arrived,
            may_try_unproven: !needs_proof && pending.count(Outcome::NotEligible) < MAX_MISSES,
            admission_draw: pending.admission_draw,
            backlog: self.backlog(pending),
        }
    }

    /// A first probe may have brought no report: a member that has not reported its role is probed again.
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

    /// Of the replicas that are behind, those that may have caught up by now and are less busy than the
    /// fresh ones.
    fn maybe_fresh_replicas(&self, replicas: &UntriedReplicas, read: &ReadRequirements) -> Vec<MemberId> {
        let min_load = replicas.fresh.iter().map(|m| self.load(&self.members[m])).min();
        let less_busy = |m: &MemberId| min_load.is_none_or(|min| self.load(&self.members[m]) + 1 < min);
        let candidates = replicas.behind.iter().copied().filter(less_busy);
        let with_room = candidates.filter(|m| self.has_room(*m, read.admission_draw, read.backlog));
        with_room.filter(|m| self.may_have_caught_up(*m, read.position)).collect()
    }

    /// Probes candidates until one probe starts, unless one of them has a probe in flight. Leaves the
    /// candidates in the random order in which they were probed.
    fn probe_for_proof(&mut self, id: RequestId, candidates: &mut [MemberId]) {
        if candidates.iter().any(|m| self.members[m].probes_in_flight > 0) {
            return;
        }
        self.rng.shuffle(candidates);
        let started = candidates.iter().any(|m| self.probe(*m));
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.freshness_probes += u32::from(started);
        }
    }

    /// The nearest replica that may be fresh enough, or else the primary.
    fn choose_without_fresh_replica(
        &mut self,
        read: &ReadRequirements,
        primary: Option<MemberId>,
        members: &[MemberId],
        maybe_fresh: Vec<MemberId>,
    ) -> Decision {
        let nearest = maybe_fresh.into_iter().max_by_key(|m| self.estimated_position(&self.members[m]));
        let backlog = MIN_BACKLOG_FACTOR * read.backlog * members.len().max(2) as f64;
        let open_primary = primary.filter(|p| self.has_room(*p, read.admission_draw, backlog));
        if let Some(member) = nearest.or(open_primary) {
            return Decision::Forward(member);
        }
        if primary.is_none() || !members.iter().any(|m| self.is_available(*m)) {
            self.search_primary(read.group);
        }
        Decision::Queue
    }

    /// The position that a read needs, if any.
    pub(super) fn required_position(&self, pending: &PendingRequest) -> Option<Time> {
        match self.class(pending).freshness {
            Freshness::Bounded(bound) => Some(Time(self.now.0 - bound)),
            Freshness::Session => pending.request.session_commit,
            Freshness::Any => None,
            Freshness::Write | Freshness::Latest => Some(pending.arrived_at),
        }
    }

    /// Where the member probably stands now; exact proof only where members don't check.
    fn estimated_position(&self, member: &Member) -> Time {
        if !self.replicas_check_freshness() || member.lag_observed_at.is_none() {
            return member.position;
        }
        member.position.max(Time(self.now.0 - member.lag))
    }

    /// A replica that was far behind needs time to catch up: it is asked again the later, the farther.
    fn may_have_caught_up(&self, id: MemberId, needed: Option<Time>) -> bool {
        let Some(needed) = needed else { return true };
        let member = &self.members[&id];
        let allowed_lag = self.now.0 - needed.0;
        elapsed(self.now, member.lag_observed_at) >= (member.lag - allowed_lag) / CATCH_UP_FACTOR
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
        let (fresh, behind) = candidates.partition(is_fresh);
        UntriedReplicas { fresh, behind }
    }

    /// Whether a member that is not the known primary is taken for a replica. Where members check, their
    /// first response tells as much as a probe. Where they don't, one whose probes fail, or that may not be
    /// probed, may serve a class that bears any age.
    fn counts_as_replica(&self, member: &Member, needed: Option<Time>) -> bool {
        let checked = self.replicas_check_freshness();
        let cannot_be_proven = member.consecutive_failed_probes > 0 || !self.settings.probing_allowed;
        let is_likely = cannot_be_proven || checked && !member.listed.listed_primary;
        member.role_known || ((checked || needed.is_none()) && is_likely)
    }

    /// The one with the fewest attempts in flight among those that may get more. Ties go to a member that
    /// is warming up, whose part it is, or at random by size, to the own zone first: with hundreds of
    /// routers most are ties.
    fn least_loaded(&mut self, candidates: &[MemberId], read: &ReadRequirements) -> Option<MemberId> {
        let draw = self.rng.f64();
        let with_room = candidates.iter().filter(|m| self.has_room(**m, read.admission_draw, read.backlog));
        let mut open: Vec<(MemberId, &Member)> = with_room.map(|m| (*m, &self.members[m])).collect();
        let min_rank = open.iter().map(|(_, member)| self.load_rank(member)).min()?;
        open.retain(|(_, member)| self.load_rank(member) == min_rank);
        let mut left = draw * open.iter().map(|(_, member)| self.tie_weight(member)).sum::<f64>();
        let drawn = open.iter().find(|(_, member)| {
            left -= self.tie_weight(member);
            left < 0.0
        });
        drawn.or(open.first()).map(|(id, _)| *id)
    }

    /// Orders members by their load; of two with the same load the one that is warming up comes first. A
    /// late response counts as one in flight for a while: routers with little traffic have hardly any.
    fn load_rank(&self, member: &Member) -> usize {
        let is_late = elapsed(self.now, member.late_response_at) < MAX_EJECTION;
        let is_warm = self.capacity_share(member) >= 1.0;
        2 * (self.load(member) + usize::from(is_late)) + usize::from(is_warm)
    }

    /// The weight of a member in the random draw among equally loaded ones.
    fn tie_weight(&self, member: &Member) -> f64 {
        let in_own_zone = member.listed.zone == self.settings.zone;
        member.listed.weight * if in_own_zone { OWN_ZONE_FACTOR } else { 1.0 }
    }
}
