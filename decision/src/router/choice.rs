//! Where a request goes: to the primary, to a replica that is fresh enough, or into the queue.
use super::{Freshness, Member, MemberId, Outcome, PendingRequest, RequestId, Router, Time};
use super::{admission::Decision, elapsed, health::MAX_EJECTION, pool::MIN_BACKLOG_FACTOR};

/// Probes that one read may buy to prove a replica fresh; after these it is the primary's.
const MAX_FRESHNESS_PROBES: u32 = 2;
/// Replicas that may be too far behind and that one read tries, where they check that themselves.
const MAX_MISSES: usize = 2;
/// A replica that needs this multiple of a time to be fresh enough is not asked again within that time.
const CATCH_UP_FACTOR: i64 = 4;
/// A member of the own zone counts this much more in ties: crossing has a price, jamming a zone a higher one.
const OWN_ZONE_FACTOR: f64 = 2.0;

impl Router {
    pub(super) fn choose_primary(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let (group_id, draw, backlog) =
            (pending.request.group, pending.admission_draw, self.backlog(pending));
        let Some(group) = self.groups.get(&group_id) else { return Decision::Queue };
        if let Some(primary) = group.primary {
            let room = self.has_room(primary, draw, backlog);
            return if room { Decision::Forward(primary) } else { Decision::Queue };
        }
        // It goes round the members itself, the likeliest first, past those that have just said that they are
        // none; after one round of misses the search is left to probes. Reads do so only where members check.
        let misses = pending.count(Outcome::NotEligible);
        let checked = self.replicas_check_freshness() || self.class(pending).freshness == Freshness::Write;
        let searching = pending.attempts.len() == misses && misses + 1 < self.settings.max_attempts as usize;
        let untried = group.members.iter().filter(|m| pending.attempts.iter().all(|a| a.member != **m));
        let likeliest = untried
            .filter(|m| checked && searching && self.is_available(**m) && self.has_room(**m, draw, backlog))
            .filter(|m| !self.recently_denied_primary(**m))
            .max_by_key(|m| (self.members[m].listed.listed_primary, self.members[m].position));
        if let Some(member) = likeliest {
            return Decision::Forward(*member);
        }
        self.search_primary(group_id);
        Decision::Queue
    }

    /// Chooses for a read that a replica may serve, or looks for the proof that one is fresh enough.
    pub(super) fn choose_replica(&mut self, id: RequestId) -> Decision {
        let pending = &self.requests[&id];
        let (group_id, draw, backlog) =
            (pending.request.group, pending.admission_draw, self.backlog(pending));
        let (needed, misses) = (self.required_position(pending), pending.count(Outcome::NotEligible));
        let just_arrived = self.now.0 - pending.arrived_at.0 < self.class(pending).latency_objective / 8;
        let needs_proof = needed.is_some() && !self.replicas_check_freshness();
        let buys_proof = needs_proof && pending.freshness_probes < MAX_FRESHNESS_PROBES;
        let Some(group) = self.groups.get(&group_id) else { return Decision::Queue };
        let (primary, members) = (group.primary, group.members.clone());
        let (fresh, behind) = self.replicas_by_freshness(pending);
        // A first probe may have brought no report: who has not reported its role is probed again.
        for m in &members {
            if !self.replicas_check_freshness() && !self.members[m].role_known && self.is_available(*m) {
                self.probe(*m);
            }
        }
        // Of those behind, the ones that may have caught up by now and are less busy than the fresh ones.
        let least = fresh.iter().map(|m| self.load(&self.members[m])).min();
        let mut maybe_fresh = behind.clone();
        maybe_fresh.retain(|m| least.is_none_or(|l| self.load(&self.members[m]) + 1 < l));
        maybe_fresh.retain(|m| self.has_room(*m, draw, backlog) && self.may_have_caught_up(*m, needed));
        if buys_proof && maybe_fresh.iter().all(|m| self.members[m].probes_in_flight == 0) {
            // Proof is bought when it is wanted: none at hand, or those at hand are busier than others.
            self.rng.shuffle(&mut maybe_fresh);
            let bought = maybe_fresh.iter().any(|m| self.probe(*m));
            self.requests.get_mut(&id).into_iter().for_each(|p| p.freshness_probes += u32::from(bought));
        }
        if let Some(replica) = self.least_loaded(&fresh, draw, backlog) {
            return Decision::Forward(replica);
        }
        if !fresh.is_empty() {
            // Replicas enough, but all their places taken: the primary's spare ones are better than waiting.
            let spare = primary.filter(|p| self.has_spare_room(*p, draw));
            return spare.map_or(Decision::Queue, Decision::Forward);
        }
        // Waits for the proof that is under way.
        if needs_proof && just_arrived && behind.iter().any(|m| self.members[m].probes_in_flight > 0) {
            return Decision::Queue;
        }
        maybe_fresh.retain(|_| !needs_proof && misses < MAX_MISSES);
        let nearest = maybe_fresh.into_iter().max_by_key(|m| self.estimated_position(&self.members[m]));
        let backlog = MIN_BACKLOG_FACTOR * backlog * members.len().max(2) as f64;
        if let Some(member) = nearest.or(primary.filter(|p| self.has_room(*p, draw, backlog))) {
            return Decision::Forward(member);
        }
        if primary.is_none() || !members.iter().any(|m| self.is_available(*m)) {
            self.search_primary(group_id);
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
        let (member, gap) = (&self.members[&id], self.now.0 - needed.unwrap_or(self.now).0);
        needed.is_none() || elapsed(self.now, member.lag_observed_at) >= (member.lag - gap) / CATCH_UP_FACTOR
    }

    /// The replicas that may serve a read and were not tried for it: those fresh enough, and those behind.
    fn replicas_by_freshness(&self, pending: &PendingRequest) -> (Vec<MemberId>, Vec<MemberId>) {
        let (group, needed) = (&self.groups[&pending.request.group], self.required_position(pending));
        // Where members check, their first response tells as much as a probe. Where they don't, one whose
        // probes fail, or that may not be probed, may serve a class that bears any age.
        let checked = self.replicas_check_freshness();
        let unproven = |m: &Member| m.consecutive_failed_probes > 0 || !self.settings.probing_allowed;
        let likely = |m: &Member| unproven(m) || checked && !m.listed.listed_primary;
        let known = |m: &Member| m.role_known || ((checked || needed.is_none()) && likely(m));
        let replicas = group.members.iter().filter(|m| group.primary != Some(**m) && self.is_available(**m));
        let untried = replicas.filter(|m| pending.attempts.iter().all(|a| a.member != **m));
        let known = untried.copied().filter(|m| known(&self.members[m]));
        known.partition(|m| needed.is_none_or(|n| self.estimated_position(&self.members[m]) >= n))
    }

    /// The one with the fewest attempts in flight among those that may get more. Ties go to a cold one,
    /// whose part it is, or at random by size, to the own zone first: with hundreds of routers most are ties.
    fn least_loaded(&mut self, among: &[MemberId], draw: f64, backlog: f64) -> Option<MemberId> {
        let mut left = self.rng.f64();
        // A late response counts as one in flight for a while: routers with little traffic hold hardly any.
        let late = |m: &Member| elapsed(self.now, m.late_response_at) < MAX_EJECTION;
        let warm = |m: &Member| usize::from(self.capacity_share(m) >= 1.0);
        let busy = |m: &Member| 2 * (self.load(m) + usize::from(late(m))) + warm(m);
        let open = among.iter().filter(|m| self.has_room(**m, draw, backlog)).map(|m| (*m, &self.members[m]));
        let mut open: Vec<(MemberId, &Member)> = open.collect();
        let least = open.iter().map(|m| busy(m.1)).min()?;
        open.retain(|m| busy(m.1) == least);
        let own_zone = |m: &Member| if m.listed.zone == self.settings.zone { OWN_ZONE_FACTOR } else { 1.0 };
        let size = |m: &Member| m.listed.weight * own_zone(m);
        left *= open.iter().map(|m| size(m.1)).sum::<f64>();
        let drawn = open.iter().find(|m| {
            left -= size(m.1);
            left < 0.0
        });
        drawn.or(open.first()).map(|m| m.0)
    }
}
