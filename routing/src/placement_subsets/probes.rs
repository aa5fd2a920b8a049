//! Probes of endpoints with several member IDs. One probe serves all member IDs, and a primary that is
//! outside a subset is found by probing the whole group.
use super::primary_search::PrimarySearch;
use super::subsets::PlacementSubsets;
use decision::{GroupId, MemberId, MemberReport, MemberState, Micros, Outcome, Time};

/// Minimum interval between two probes of one endpoint, regardless of which of its member IDs they are for.
/// It is half of the shortest interval at which a single group requests probes.
const MIN_PROBE_INTERVAL: Micros = 50_000;
/// Minimum interval between two searches of a group for its primary.
const MIN_SEARCH_INTERVAL: Micros = 100_000;
/// Maximum number of times that the search interval is doubled while searches are unsuccessful.
const MAX_SEARCH_DOUBLINGS: u32 = 3;

/// Decision about a requested probe.
#[derive(Debug, PartialEq, Eq)]
pub enum ProbeStart {
    /// Probe the endpoint with this canonical member ID now.
    Now(MemberId),
    /// Probe the endpoint at this time.
    At(MemberId, Time),
    /// A probe of the endpoint is already in flight or scheduled.
    AlreadyPending,
}

impl PlacementSubsets {
    /// Requests a probe of the endpoint that a member ID refers to.
    pub fn request_probe(&mut self, member: MemberId, now: Time) -> ProbeStart {
        let id = self.canonical_id(member);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return ProbeStart::Now(id) };
        endpoint.probe_waiters.push(member);
        if std::mem::replace(&mut endpoint.probing, true) {
            return ProbeStart::AlreadyPending;
        }
        let allowed_at = endpoint.probed_at.map(|ended| Time(ended.0 + MIN_PROBE_INTERVAL));
        match allowed_at.filter(|at| *at > now) {
            Some(at) => ProbeStart::At(id, at),
            None => ProbeStart::Now(id),
        }
    }

    /// Records the end of a probe. Returns the member IDs that have to be notified of its outcome.
    pub fn probe_ended(
        &mut self,
        canonical_id: MemberId,
        now: Time,
        outcome: Outcome,
        report: MemberReport,
    ) -> Vec<MemberId> {
        let Some(endpoint) = self.endpoints.get_mut(&canonical_id) else { return vec![canonical_id] };
        endpoint.probing = false;
        endpoint.probed_at = Some(now);
        let mut to_notify = std::mem::take(&mut endpoint.probe_waiters);
        // A load report and a connect failure apply to all member IDs. A probe without a report only concerns
        // the member IDs that requested it.
        let concerns_all = match outcome {
            Outcome::ConnectFailed => true,
            Outcome::Ok => report.primary.is_some(),
            _ => false,
        };
        if concerns_all {
            let others = self.ids_in_use(canonical_id, &to_notify);
            to_notify.extend(others);
        }
        to_notify
    }

    /// Returns the group of a subset's member if the primary of that group is unknown.
    pub fn group_without_primary(&self, alias: MemberId) -> Option<GroupId> {
        let group = self.endpoints.get(self.canonical_id_by_alias.get(&alias)?)?.entry.group;
        self.engine.primary(group).is_none().then_some(group)
    }

    /// Returns the endpoints of a group that are to be probed in search of its primary, inside and outside of
    /// all subsets. This is needed because a subset only probes its own members, and a request that is
    /// rejected because of the primary's location triggers no probe. The result is empty if the last search
    /// was too recent.
    pub fn primary_search_targets(&mut self, group: GroupId, now: Time) -> Vec<MemberId> {
        if !self.primary_search_due(group, now) {
            return Vec::new();
        }
        let canonical_ids: Vec<MemberId> =
            self.engine.members(group).filter_map(|name| self.canonical_ids.get(name)).copied().collect();
        canonical_ids.into_iter().filter(|id| self.begin_search_probe(*id, now)).collect()
    }

    /// Returns whether a search is due, and counts it if so.
    fn primary_search_due(&mut self, group: GroupId, now: Time) -> bool {
        let primary = self.engine.primary(group).cloned();
        let search = self.primary_searches.entry(group).or_default();
        if search.primary != primary {
            *search = PrimarySearch { last_at: None, count: 0, primary };
        }
        let interval = MIN_SEARCH_INTERVAL << search.count.min(MAX_SEARCH_DOUBLINGS);
        if search.last_at.is_some_and(|last| now.0 - last.0 < interval) {
            return false;
        }
        search.last_at = Some(now);
        search.count += 1;
        true
    }

    /// Marks an endpoint as being probed and returns `true`, unless it is already being probed, was probed
    /// recently or is out of service.
    fn begin_search_probe(&mut self, canonical_id: MemberId, now: Time) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&canonical_id) else { return false };
        let interval_elapsed = endpoint.probed_at.is_none_or(|ended| now.0 - ended.0 >= MIN_PROBE_INTERVAL);
        let ready = endpoint.entry.state == MemberState::Ready && !endpoint.canonical_id_removed;
        let starts_probe = ready && interval_elapsed && !endpoint.probing;
        endpoint.probing |= starts_probe;
        starts_probe
    }
}
