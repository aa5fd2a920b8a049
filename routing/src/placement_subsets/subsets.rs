//! Placement subsets of one router: routing of requests, and updates from the rules, the endpoint list and
//! the members' reports.
use super::change::{OutcomeEffects, ReportedRole, RoutingResult, SubsetChange};
use super::member_ids::MemberIds;
use super::primary_search::PrimarySearch;
use super::tracked_endpoint::TrackedEndpoint;
use crate::endpoint::EndpointUpdate;
use decision::{Freshness, GroupId, MemberEntry, MemberId, Outcome, Time};
use placement::{Action, Event, PlacementEngine, RoutingQuery};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The placement subsets of one router.
pub struct PlacementSubsets {
    pub(super) engine: PlacementEngine,
    /// Whether requests need the primary, by request class.
    pub(super) needs_primary: Vec<bool>,
    /// Endpoints by canonical member ID.
    pub(super) endpoints: HashMap<MemberId, TrackedEndpoint>,
    /// Canonical member IDs by the endpoint's name in the placement engine.
    pub(super) canonical_ids: HashMap<Arc<str>, MemberId>,
    /// Canonical member ID of the endpoint, by alias.
    pub(super) canonical_id_by_alias: HashMap<MemberId, MemberId>,
    /// Members of each subset, as canonical member IDs.
    pub(super) subsets: HashMap<GroupId, BTreeSet<MemberId>>,
    pub(super) primary_searches: HashMap<GroupId, PrimarySearch>,
}

impl PlacementSubsets {
    /// Creates an empty set of subsets for requests of these classes.
    pub fn new(settings: placement::Settings, classes: &[decision::Class]) -> Self {
        let needs_primary =
            |class: &decision::Class| matches!(class.freshness, Freshness::Write | Freshness::Latest);
        PlacementSubsets {
            engine: PlacementEngine::new(settings),
            needs_primary: classes.iter().map(needs_primary).collect(),
            endpoints: HashMap::new(),
            canonical_ids: HashMap::new(),
            canonical_id_by_alias: HashMap::new(),
            subsets: HashMap::new(),
            primary_searches: HashMap::new(),
        }
    }

    /// Returns the canonical member ID of the endpoint that a member ID refers to.
    pub fn canonical_id(&self, member: MemberId) -> MemberId {
        self.canonical_id_by_alias.get(&member).copied().unwrap_or(member)
    }

    /// Returns whether [`Event::TimerExpired`] is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.engine.is_due(now)
    }

    /// Returns the group or subset whose members may serve a request.
    pub fn route(
        &mut self,
        now: Time,
        tenant: Option<&str>,
        class: usize,
        group: GroupId,
        ids: &mut MemberIds,
    ) -> RoutingResult {
        let needs_primary = self.needs_primary.get(class).copied().unwrap_or(true);
        let mut actions = Vec::new();
        let query = RoutingQuery { tenant, class, group, needs_primary };
        let group = self.engine.route(now, &query, &mut actions);
        let mut change = SubsetChange::default();
        self.apply(actions, &mut change, ids);
        RoutingResult { group, change }
    }

    /// Handles an update of the placement rules or the expiry of a timer.
    pub fn handle(&mut self, now: Time, event: Event, ids: &mut MemberIds) -> SubsetChange {
        let mut change = SubsetChange::default();
        self.handle_into(now, event, &mut change, ids);
        change
    }

    fn handle_into(&mut self, now: Time, event: Event, change: &mut SubsetChange, ids: &mut MemberIds) {
        let mut actions = Vec::new();
        self.engine.handle(now, event, &mut actions);
        self.apply(actions, change, ids);
    }

    /// Handles an update of the endpoint list. `entries` contains the member entry of each endpoint in the
    /// update, in the same order.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        update: &EndpointUpdate,
        entries: &[MemberEntry],
        ids: &mut MemberIds,
    ) -> SubsetChange {
        let members = self.track(update, entries);
        let listed_ids: BTreeSet<MemberId> = entries.iter().map(|entry| entry.id).collect();
        if update.complete {
            self.mark_missing_removed(&listed_ids);
        }
        let mut change = SubsetChange::default();
        let event = Event::MembersUpdated { complete: update.complete, entries: members };
        self.handle_into(now, event, &mut change, ids);
        for endpoint in listed_ids.iter().filter_map(|id| self.endpoints.get(id)) {
            let aliases = endpoint.active_aliases();
            change.entries.extend(aliases.map(|alias| (alias.id, endpoint.alias_entry(alias))));
        }
        change
    }

    /// Records the role that a member has reported and whether the member was reachable.
    pub fn record_outcome(
        &mut self,
        now: Time,
        member: MemberId,
        outcome: Outcome,
        reported: Option<ReportedRole>,
        ids: &mut MemberIds,
    ) -> OutcomeEffects {
        let (canonical_id, mut change) = (self.canonical_id(member), SubsetChange::default());
        let Some(endpoint) = self.endpoints.get_mut(&canonical_id) else { return OutcomeEffects::default() };
        let (name, group) = (endpoint.name.clone(), endpoint.entry.group);
        let mut changed = endpoint.record_reachability(outcome);
        if let Some(role) = reported {
            changed |= endpoint.reported_primary.replace(role.primary) != Some(role.primary);
        }
        let reachable = endpoint.reachable;
        let primary_before = self.engine.primary(group).cloned();
        if changed {
            let event = Event::ReachabilityChanged { member: name.clone(), reachable };
            self.handle_into(now, event, &mut change, ids);
        }
        if let Some(ReportedRole { primary, source }) = reported {
            let event = Event::RoleReported { member: name, primary, source };
            self.handle_into(now, event, &mut change, ids);
        }
        changed |= self.engine.primary(group) != primary_before.as_ref();
        let to_notify = if changed { self.ids_in_use(canonical_id, &[member]) } else { Vec::new() };
        OutcomeEffects { change, to_notify }
    }

    /// Estimates the number of unavailable endpoints from the number of unavailable members. A draining
    /// endpoint is counted once. Ejections are made per member ID and are not deduplicated here.
    pub fn unhealthy_endpoints(&self, unavailable_members: usize) -> usize {
        let draining = self.endpoints.values().filter(|e| e.is_draining());
        let duplicate_count: usize = draining.map(|e| e.active_aliases().count()).sum();
        unavailable_members.saturating_sub(duplicate_count).min(self.endpoints.len())
    }

    fn apply(&mut self, actions: Vec<Action>, change: &mut SubsetChange, ids: &mut MemberIds) {
        for action in actions {
            match action {
                Action::UpdateView { view, members, .. } => self.set_members(view, &members, change, ids),
                Action::RerouteQueued => change.reroute = true,
                Action::SetTimer { at } => change.timer = Some(change.timer.map_or(at, |t| t.min(at))),
            }
        }
    }

    /// Sets the members of a subset: deactivates the aliases of members that have left and activates those of
    /// all others.
    fn set_members(
        &mut self,
        subset: GroupId,
        names: &[Arc<str>],
        change: &mut SubsetChange,
        ids: &mut MemberIds,
    ) {
        let members: BTreeSet<MemberId> =
            names.iter().filter_map(|name| self.canonical_ids.get(name)).copied().collect();
        let before = self.subsets.remove(&subset).unwrap_or_default();
        for canonical_id in before.difference(&members) {
            self.deactivate_member(subset, *canonical_id, change);
        }
        for canonical_id in &members {
            self.activate_member(subset, *canonical_id, change, ids);
        }
        if !members.is_empty() {
            self.subsets.insert(subset, members);
        }
    }

    /// Deactivates the alias under which an endpoint is a member of a subset.
    fn deactivate_member(&mut self, subset: GroupId, canonical_id: MemberId, change: &mut SubsetChange) {
        let Some(endpoint) = self.endpoints.get_mut(&canonical_id) else { return };
        let Some(alias) = endpoint.deactivate_alias(subset) else { return };
        change.entries.insert(alias, endpoint.removed_entry(alias, subset));
        change.removed_aliases.push(alias);
    }

    /// Adds an endpoint to a subset under an alias for that subset.
    fn activate_member(
        &mut self,
        subset: GroupId,
        canonical_id: MemberId,
        change: &mut SubsetChange,
        ids: &mut MemberIds,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&canonical_id) else { return };
        let alias = endpoint.activate_alias(subset, || {
            let id = ids.allocate();
            self.canonical_id_by_alias.insert(id, canonical_id);
            id
        });
        change.removed_aliases.retain(|removed| *removed != alias.id);
        let entry = endpoint.alias_entry(&alias);
        change.entries.insert(alias.id, entry);
    }
}
