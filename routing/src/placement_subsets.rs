//! The subsets of groups that tenants' placement rules draw, as the decisions see them. [`placement`] calls them views.
//!
//! Each subset is a group of its own to the decisions, and its members are further member ids (*aliases*) of endpoints
//! that the list names once, under the endpoint's *own* member id. An endpoint has one backend with its connections,
//! however many aliases it has.
//!
//! Here is the bookkeeping between [`placement`] and the router actor: which alias belongs to which endpoint, what the
//! decisions have to be notified of when a subset changes, and what one alias has learned that the others need to know.
mod members;
mod probes;

use crate::endpoint::EndpointUpdate;
use decision::{Freshness, GroupId, MemberEntry, MemberId, Outcome, Time};
use members::TrackedEndpoint;
use placement::{Action, Event, Places, Refusal};
use probes::PrimarySearch;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub(crate) use probes::ProbeStart;

/// What the router actor has to do after a change.
#[derive(Default)]
pub(crate) struct SubsetChange {
    /// Members whose entries are new; by id, each once.
    pub(crate) entries: BTreeMap<MemberId, MemberEntry>,
    /// Aliases that have left their subsets: an attempt that has not started there must not start.
    pub(crate) departed: Vec<MemberId>,
    /// Requests without an attempt under way have to be routed again.
    pub(crate) reroute: bool,
    /// When [`Event::Timer`] is due.
    pub(crate) timer: Option<Time>,
}

/// An endpoint's role as it has stated it itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedRole {
    /// It is its group's primary.
    pub(crate) primary: bool,
    /// Stated with a response; otherwise in answer to a probe.
    pub(crate) with_response: bool,
}

/// Hands out the member ids of endpoints and aliases, each once.
#[derive(Default)]
pub(crate) struct MemberIds {
    last: u32,
}

impl MemberIds {
    /// An id that nobody has had.
    pub(crate) fn next(&mut self) -> MemberId {
        self.last += 1;
        MemberId(self.last)
    }
}

/// The subsets of one router.
pub(crate) struct PlacementSubsets {
    places: Places,
    /// By class.
    needs_primary: Vec<bool>,
    /// By the endpoint's own member id.
    endpoints: HashMap<MemberId, TrackedEndpoint>,
    own_ids: HashMap<Arc<str>, MemberId>,
    /// The endpoint's own member id, by alias.
    own_id_of_alias: HashMap<MemberId, MemberId>,
    /// The members of each subset, by the endpoints' own ids.
    subsets: HashMap<GroupId, BTreeSet<MemberId>>,
    primary_searches: HashMap<GroupId, PrimarySearch>,
}

impl PlacementSubsets {
    /// No subsets yet, for requests of these classes.
    pub(crate) fn new(settings: placement::Settings, classes: &[decision::Class]) -> Self {
        let needs_primary =
            |class: &decision::Class| matches!(class.freshness, Freshness::Write | Freshness::Latest);
        PlacementSubsets {
            places: Places::new(settings),
            needs_primary: classes.iter().map(needs_primary).collect(),
            endpoints: HashMap::new(),
            own_ids: HashMap::new(),
            own_id_of_alias: HashMap::new(),
            subsets: HashMap::new(),
            primary_searches: HashMap::new(),
        }
    }

    /// The own member id of the endpoint that a member id stands for.
    pub(crate) fn own_id(&self, member: MemberId) -> MemberId {
        self.own_id_of_alias.get(&member).copied().unwrap_or(member)
    }

    /// Whether [`Event::Timer`] is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.places.is_due(now)
    }

    /// The group, perhaps a subset's, whose members may serve a request.
    pub(crate) fn route(
        &mut self,
        now: Time,
        tenant: Option<&str>,
        class: usize,
        group: GroupId,
        ids: &mut MemberIds,
    ) -> (Result<GroupId, Refusal>, SubsetChange) {
        let needs_primary = self.needs_primary.get(class).copied().unwrap_or(true);
        let mut actions = Vec::new();
        let routed = self.places.route(now, tenant, class, group, needs_primary, &mut actions);
        let mut change = SubsetChange::default();
        self.apply(actions, &mut change, ids);
        (routed, change)
    }

    /// Handles an update of the rules, or a timer.
    pub(crate) fn handle(&mut self, now: Time, event: Event, ids: &mut MemberIds) -> SubsetChange {
        let mut change = SubsetChange::default();
        self.handle_into(now, event, &mut change, ids);
        change
    }

    fn handle_into(&mut self, now: Time, event: Event, change: &mut SubsetChange, ids: &mut MemberIds) {
        let mut actions = Vec::new();
        self.places.handle(now, event, &mut actions);
        self.apply(actions, change, ids);
    }

    /// Handles an update of the endpoint list; `entries` has the member entry of each of its endpoints.
    pub(crate) fn update_endpoints(
        &mut self,
        now: Time,
        update: &EndpointUpdate,
        entries: &[MemberEntry],
        ids: &mut MemberIds,
    ) -> SubsetChange {
        let members = self.track(update, entries);
        let named: BTreeSet<MemberId> = entries.iter().map(|entry| entry.id).collect();
        if update.complete {
            self.mark_missing_gone(&named);
        }
        let mut change = SubsetChange::default();
        let event = Event::Members { complete: update.complete, entries: members };
        self.handle_into(now, event, &mut change, ids);
        for endpoint in named.iter().filter_map(|id| self.endpoints.get(id)) {
            let shown = endpoint.shown_aliases();
            change.entries.extend(shown.map(|alias| (alias.id, endpoint.alias_entry(alias))));
        }
        change
    }

    /// Records what a member has stated about its role and whether it was reachable. Returns also the other member ids
    /// of its endpoint that have to be notified.
    pub(crate) fn record_outcome(
        &mut self,
        now: Time,
        member: MemberId,
        outcome: Outcome,
        stated: Option<StatedRole>,
        ids: &mut MemberIds,
    ) -> (SubsetChange, Vec<MemberId>) {
        let (own_id, mut change) = (self.own_id(member), SubsetChange::default());
        let Some(endpoint) = self.endpoints.get_mut(&own_id) else { return (change, Vec::new()) };
        let (name, group) = (endpoint.name.clone(), endpoint.entry.group);
        let mut changed = endpoint.record_reachability(outcome);
        if let Some(role) = stated {
            changed |= endpoint.stated_primary.replace(role.primary) != Some(role.primary);
        }
        let reached = endpoint.reachable;
        let primary_before = self.places.primary(group).cloned();
        if changed {
            self.handle_into(now, Event::Reach { member: name.clone(), reached }, &mut change, ids);
        }
        if let Some(StatedRole { primary, with_response }) = stated {
            let event = Event::Said { member: name, primary, note: with_response };
            self.handle_into(now, event, &mut change, ids);
        }
        changed |= self.places.primary(group) != primary_before.as_ref();
        let to_notify = if changed { self.ids_in_use(own_id, &[member]) } else { Vec::new() };
        (change, to_notify)
    }

    /// Of this many unavailable members, how many endpoints that may be: a draining endpoint is counted once. Ejections
    /// are made for each member id apart and can't be told apart here.
    pub(crate) fn unhealthy_endpoints(&self, unavailable_members: usize) -> usize {
        let draining = self.endpoints.values().filter(|e| e.is_draining());
        let counted_again: usize = draining.map(|e| e.shown_aliases().count()).sum();
        unavailable_members.saturating_sub(counted_again).min(self.endpoints.len())
    }

    fn apply(&mut self, actions: Vec<Action>, change: &mut SubsetChange, ids: &mut MemberIds) {
        for action in actions {
            match action {
                Action::Show { view, members, .. } => self.show(view, &members, change, ids),
                Action::Recheck => change.reroute = true,
                Action::Timer { at } => change.timer = Some(change.timer.map_or(at, |t| t.min(at))),
            }
        }
    }

    /// Gives a subset exactly these members.
    fn show(&mut self, subset: GroupId, names: &[Arc<str>], change: &mut SubsetChange, ids: &mut MemberIds) {
        let members: BTreeSet<MemberId> =
            names.iter().filter_map(|name| self.own_ids.get(name)).copied().collect();
        let before = self.subsets.remove(&subset).unwrap_or_default();
        for own_id in before.difference(&members) {
            self.hide_member(subset, *own_id, change);
        }
        for own_id in &members {
            self.show_member(subset, *own_id, change, ids);
        }
        if !members.is_empty() {
            self.subsets.insert(subset, members);
        }
    }

    fn hide_member(&mut self, subset: GroupId, own_id: MemberId, change: &mut SubsetChange) {
        let Some(endpoint) = self.endpoints.get_mut(&own_id) else { return };
        let Some(alias) = endpoint.hide_alias(subset) else { return };
        change.entries.insert(alias, endpoint.gone_entry(alias, subset));
        change.departed.push(alias);
    }

    fn show_member(
        &mut self,
        subset: GroupId,
        own_id: MemberId,
        change: &mut SubsetChange,
        ids: &mut MemberIds,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&own_id) else { return };
        let alias = endpoint.show_alias(subset, || {
            let id = ids.next();
            self.own_id_of_alias.insert(id, own_id);
            id
        });
        change.departed.retain(|departed| *departed != alias.id);
        let entry = endpoint.alias_entry(&alias);
        change.entries.insert(alias.id, entry);
    }
}
