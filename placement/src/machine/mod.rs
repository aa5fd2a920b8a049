//! The state machine: rules and member data are its input events, and the members of each view are its output
//! actions.
//!
//! `members` maintains the record of each member (`member_record`), `views` derives the primaries of groups
//! and the members of views (`groups`) from the records, and `time` handles changes that depend on time
//! alone.
mod groups;
mod member_record;
mod members;
mod time;
mod views;

use crate::error::PlacementError;
use crate::interface::{Action, Event, RoutingQuery, RulesUpdate, Settings};
use crate::rules::{Boundary, BoundaryId, Rules};
use decision::{GroupId, Time};
use groups::{Group, View};
use member_record::MemberRecord;
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The lowest group number of a view. Requests must name groups below it.
pub const FIRST_VIEW: u32 = 1 << 31;

/// Decides which members a request may be sent to.
#[derive(Debug)]
pub struct PlacementEngine {
    settings: Settings,
    rules: Option<Rules>,
    last_boundary: BoundaryId,
    members: BTreeMap<Arc<str>, MemberRecord>,
    groups: BTreeMap<GroupId, Group>,
    views: BTreeMap<(GroupId, BoundaryId), View>,
    next_view: u32,
    /// Until this time the rules are confirmed to be the current ones.
    confirmed_until: Option<Time>,
    /// Whether the rules were confirmed at the last event. Strict views are empty while they are not.
    is_confirmed: bool,
    /// The times at which a member's new site starts to count or the record of a removed member is dropped.
    member_deadlines: BTreeSet<Time>,
    /// The earliest pending time requested with [`Action::SetTimer`].
    timer: Option<Time>,
}

impl PlacementEngine {
    /// Creates a state machine without rules and members.
    pub fn new(settings: Settings) -> Self {
        PlacementEngine {
            settings,
            rules: None,
            last_boundary: 0,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            views: BTreeMap::new(),
            next_view: FIRST_VIEW,
            confirmed_until: None,
            is_confirmed: false,
            member_deadlines: BTreeSet::new(),
            timer: None,
        }
    }

    /// Handles one event and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::RulesUpdated(RulesUpdate::Received { version, fleet }) => {
                self.on_rules(version, &fleet, actions);
            }
            Event::RulesUpdated(RulesUpdate::Confirmed { until }) => {
                self.confirmed_until = self.confirmed_until.max(Some(until));
            }
            Event::MembersUpdated { complete, entries } => self.on_members(now, complete, entries, actions),
            Event::RoleReported { member, primary, source } => {
                self.on_role(now, &member, primary, source, actions);
            }
            Event::ReachabilityChanged { member, reachable } => {
                self.on_reachability(&member, reachable, actions);
            }
            Event::TimerExpired => {}
        }
        self.on_time(now, actions);
    }

    /// Whether a timer is due: if so, [`Event::TimerExpired`] must be handled before any other event.
    pub fn is_due(&self, now: Time) -> bool {
        self.timer.is_some_and(|t| t <= now)
    }

    /// Returns the group to route a request in: the view for the rule of the request's tenant for the
    /// request's class, or the group that the request names if there is no such rule. The first request for a
    /// view creates the view with an entry in `actions`; the actions must be carried out before the request
    /// is forwarded.
    ///
    /// # Errors
    /// [`PlacementError`] if no member may serve the request. No part of the request may leave the router in
    /// that case.
    pub fn route(
        &mut self,
        now: Time,
        query: &RoutingQuery<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<GroupId, PlacementError> {
        let RoutingQuery { tenant, class, group, needs_primary } = *query;
        if group.0 >= FIRST_VIEW {
            return Err(PlacementError::Reserved { group });
        }
        if self.is_due(now) {
            self.on_time(now, actions);
        }
        let rules = self.rules.as_ref().ok_or(PlacementError::NoRules)?;
        let Some(id) = rules.boundary(tenant, class) else { return Ok(group) };
        let is_strict = rules.boundaries[&id].strict;
        if is_strict && self.confirmed_until.is_none_or(|until| until <= now) {
            return Err(PlacementError::Unconfirmed { version: rules.version });
        }
        self.ensure_view((group, id), actions);
        let rules = self.rules.as_ref().ok_or(PlacementError::NoRules)?;
        let view = &self.views[&(group, id)];
        if is_strict {
            self.check_strict(group, view, &rules.boundaries[&id], needs_primary)?;
        }
        Ok(view.number)
    }

    /// Checks that a strict view can serve a request: a member of it is in service and, if the primary is
    /// needed, the primary is in the view.
    fn check_strict(
        &self,
        group: GroupId,
        view: &View,
        boundary: &Boundary,
        needs_primary: bool,
    ) -> Result<(), PlacementError> {
        if !view.has_ready_member {
            return Err(PlacementError::NoneInside { group, sites: boundary.describe_sites() });
        }
        match self.primary(group) {
            Some(primary) if needs_primary && !view.members.contains(primary) => {
                let site = self.members[primary].describe_site();
                let sites = boundary.describe_sites();
                Err(PlacementError::PrimaryOutside { group, primary: primary.clone(), site, sites })
            }
            _ => Ok(()),
        }
    }

    /// A group's primary: the member that last reported being the primary, otherwise the listed one.
    pub fn primary(&self, group: GroupId) -> Option<&Arc<str>> {
        self.groups.get(&group)?.primary.as_ref()
    }

    /// The names of all members of a group, at any site.
    pub fn members(&self, group: GroupId) -> impl Iterator<Item = &Arc<str>> {
        self.groups.get(&group).into_iter().flat_map(|g| &g.members)
    }

    /// All views, as the view's number, its group and its members.
    pub fn views(&self) -> impl Iterator<Item = (GroupId, GroupId, &BTreeSet<Arc<str>>)> {
        self.views.iter().map(|((base, _), view)| (view.number, *base, &view.members))
    }

    /// Applies the rules of a newer version and removes the views whose boundaries are not used by any rule.
    fn on_rules(&mut self, version: Version, fleet: &Fleet, actions: &mut Vec<Action>) {
        if self.rules.as_ref().is_some_and(|rules| rules.version >= version) {
            return;
        }
        let replaced = self.rules.as_ref();
        let rules = Rules::compile(version, fleet, &self.settings.classes, replaced, &mut self.last_boundary);
        self.views.retain(|(base, id), view| {
            let is_used = rules.boundaries.contains_key(id);
            if !is_used {
                actions.push(Action::UpdateView { view: view.number, base: *base, members: Vec::new() });
            }
            is_used
        });
        self.rules = Some(rules);
        actions.push(Action::RerouteQueued);
    }
}
