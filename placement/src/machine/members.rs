//! Applies changes of the member list and the members' own reports.
use super::PlacementEngine;
use super::member_record::MemberRecord;
use crate::interface::{Action, Member, ReportSource};
use decision::{GroupId, MemberState, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

impl PlacementEngine {
    /// Applies entries of the member list. A complete list contains all members, so members that it lacks are
    /// removed.
    pub(super) fn on_members(
        &mut self,
        now: Time,
        complete: bool,
        entries: Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        let mut changed_groups = BTreeSet::new();
        if complete {
            let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
            self.remove_unlisted(now, &listed, &mut changed_groups);
        }
        for entry in entries {
            changed_groups.insert(entry.group);
            self.on_member(now, entry, &mut changed_groups);
        }
        for group in changed_groups {
            self.update_group(group, actions);
        }
    }

    fn remove_unlisted(
        &mut self,
        now: Time,
        listed: &BTreeSet<&str>,
        changed_groups: &mut BTreeSet<GroupId>,
    ) {
        let expires_at = Time(now.0 + self.settings.site_settle_time);
        for (name, member) in &mut self.members {
            if member.left_at.is_some() || listed.contains(&**name) {
                continue;
            }
            member.state = MemberState::Removed;
            member.left_at = Some(now);
            self.member_deadlines.insert(expires_at);
            changed_groups.insert(member.group);
        }
    }

    fn on_member(&mut self, now: Time, entry: Member, changed_groups: &mut BTreeSet<GroupId>) {
        let settles_at = Time(now.0 + self.settings.site_settle_time);
        let is_removed = entry.state == MemberState::Removed;
        let Some(member) = self.members.get_mut(&entry.name) else {
            if !is_removed {
                self.groups.entry(entry.group).or_default().members.insert(entry.name.clone());
                self.members.insert(entry.name.clone(), MemberRecord::new(&entry));
            }
            return;
        };
        if member.site != entry.site {
            member.site = entry.site;
            member.site_settles_at = Some(settles_at);
            self.member_deadlines.insert(settles_at);
        }
        member.state = entry.state;
        member.left_at = is_removed.then_some(now);
        if is_removed {
            self.member_deadlines.insert(settles_at);
        }
        // If the list newly names the member primary, that is more recent than the member's report that it is
        // not the primary.
        member.denies_primary &= member.is_listed_primary || !entry.primary;
        member.is_listed_primary = entry.primary;
        if member.group != entry.group {
            let previous_group = std::mem::replace(&mut member.group, entry.group);
            changed_groups.insert(previous_group);
            if let Some(group) = self.groups.get_mut(&previous_group) {
                group.members.remove(&entry.name);
            }
            self.groups.entry(entry.group).or_default().members.insert(entry.name);
        }
    }

    /// Applies a member's report whether it is the primary.
    pub(super) fn on_role(
        &mut self,
        now: Time,
        name: &Arc<str>,
        is_primary: bool,
        source: ReportSource,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(name) else { return };
        let group = member.group;
        let changed = if is_primary {
            self.on_primary_report(now, name, source)
        } else {
            self.on_non_primary_report(now, name, source)
        };
        if changed {
            self.update_group(group, actions);
        }
    }

    /// Applies a member's report that it is the primary. Returns whether this changes the reported primary.
    fn on_primary_report(&mut self, now: Time, name: &Arc<str>, source: ReportSource) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        let Some(group) = self.groups.get_mut(&member.group) else { return false };
        let denial_time = self.settings.denial_time;
        // The probe's result may be older than the response that contradicts it.
        let is_contradicted = source == ReportSource::Probe
            && member.denied_primary_at.is_some_and(|t| now.0 - t.0 < denial_time);
        if is_contradicted || !member.is_ready() {
            return false;
        }
        member.denies_primary = false;
        member.is_reachable = true;
        if group.reported_primary.as_ref() == Some(name) {
            return false;
        }
        group.reported_primary = Some(name.clone());
        true
    }

    /// Applies a member's report that it is not the primary. Returns whether this is new.
    fn on_non_primary_report(&mut self, now: Time, name: &Arc<str>, source: ReportSource) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        let Some(group) = self.groups.get_mut(&member.group) else { return false };
        if source == ReportSource::Response {
            member.denied_primary_at = Some(now);
        }
        let denied_before = std::mem::replace(&mut member.denies_primary, true);
        if group.reported_primary.as_ref() == Some(name) {
            group.reported_primary = None;
            return true;
        }
        !denied_before
    }

    /// Applies whether a member could be reached.
    pub(super) fn on_reachability(&mut self, name: &Arc<str>, is_reachable: bool, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if std::mem::replace(&mut member.is_reachable, is_reachable) == is_reachable {
            return;
        }
        let id = member.group;
        if !is_reachable
            && let Some(group) = self.groups.get_mut(&id)
            && group.reported_primary.as_ref() == Some(name)
        {
            group.reported_primary = None;
        }
        self.update_group(id, actions);
    }
}
