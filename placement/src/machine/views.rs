//! Derives the primary of each group and the members of each view.
use super::PlacementEngine;
use super::groups::View;
use crate::interface::Action;
use crate::rules::{Boundary, BoundaryId};
use decision::GroupId;
use std::collections::BTreeSet;
use std::sync::Arc;

impl PlacementEngine {
    /// Creates the view if it does not exist.
    pub(super) fn ensure_view(&mut self, key: (GroupId, BoundaryId), actions: &mut Vec<Action>) {
        if self.views.contains_key(&key) {
            return;
        }
        let number = GroupId(self.next_view);
        self.next_view += 1;
        self.views.insert(key, View { number, members: BTreeSet::new(), has_ready_member: false });
        self.update_view(key, actions);
    }

    /// Recomputes a group's primary and the members of its views after a change of its members.
    pub(super) fn update_group(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        self.update_primary(group, actions);
        let all_boundaries = (group, BoundaryId::MIN)..=(group, BoundaryId::MAX);
        let boundaries: Vec<BoundaryId> = self.views.range(all_boundaries).map(|((_, id), _)| *id).collect();
        for id in boundaries {
            self.update_view((group, id), actions);
        }
    }

    fn update_primary(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let members = &self.members;
        let can_be_primary = |name: &Arc<str>| group.members.contains(name) && members[name].is_ready();
        if group.reported_primary.as_ref().is_some_and(|name| !can_be_primary(name)) {
            group.reported_primary = None;
        }
        let is_listed_primary = |name: &&Arc<str>| {
            let member = &members[*name];
            member.is_listed_primary && !member.denies_primary && member.is_reachable && member.is_ready()
        };
        let listed = || group.members.iter().find(is_listed_primary).cloned();
        let primary = group.reported_primary.clone().or_else(listed);
        if group.primary != primary {
            group.primary = primary;
            actions.push(Action::RerouteQueued);
        }
    }

    /// The members of a group that a boundary permits.
    fn permitted_members(&self, group: GroupId, boundary: &Boundary) -> BTreeSet<Arc<str>> {
        let Some(group) = self.groups.get(&group) else { return BTreeSet::new() };
        let records = group.members.iter().map(|name| (name, &self.members[name]));
        let listed = records.filter(|(_, member)| member.left_at.is_none());
        let inside = listed.clone().filter(|(_, member)| member.is_inside(&boundary.sites));
        if boundary.strict {
            return inside.filter(|_| self.is_confirmed).map(|(name, _)| name.clone()).collect();
        }
        let inside_can_serve = inside.clone().any(|(_, member)| member.is_ready() && member.is_reachable);
        if !inside_can_serve {
            return listed.map(|(name, _)| name.clone()).collect();
        }
        inside.map(|(name, _)| name).chain(&group.primary).cloned().collect()
    }

    fn update_view(&mut self, key: (GroupId, BoundaryId), actions: &mut Vec<Action>) {
        let Some(boundary) = self.rules.as_ref().and_then(|rules| rules.boundaries.get(&key.1)) else {
            return;
        };
        let members = self.permitted_members(key.0, boundary);
        let has_ready_member = members.iter().any(|name| self.members[name].is_ready());
        let Some(view) = self.views.get_mut(&key) else { return };
        if std::mem::replace(&mut view.has_ready_member, has_ready_member) != has_ready_member {
            actions.push(Action::RerouteQueued);
        }
        if view.members != members {
            let names = members.iter().cloned().collect();
            view.members = members;
            actions.push(Action::UpdateView { view: view.number, base: key.0, members: names });
        }
    }
}
