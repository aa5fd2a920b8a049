//! Follows what the list and the members themselves report of each member.
use super::PlacementEngine;
use super::member_record::MemberRecord;
use crate::interface::{Action, Member, ReportSource};
use decision::{GroupId, MemberState, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

impl PlacementEngine {
    /// The list has entries for members; a complete one names all there are.
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
        let forgotten_at = Time(now.0 + self.settings.site_settle_time);
        for (name, member) in &mut self.members {
            if member.left_at.is_some() || listed.contains(&**name) {
                continue;
            }
            member.state = MemberState::Removed;
            member.left_at = Some(now);
            self.member_deadlines.insert(forgotten_at);
            changed_groups.insert(member.group);
        }
    }

    fn on_member(&mut self, now: Time, entry: Member, changed_groups: &mut BTreeSet<GroupId>) {
        let settles_at = Time(now.0 + self.settings.site_settle_time);
        let is_gone = entry.state == MemberState::Removed;
        let Some(member) = self.members.get_mut(&entry.name) else {
            if !is_gone {
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
        member.left_at = is_gone.then_some(now);
        if is_gone {
            self.member_deadlines.insert(settles_at);
        }
        // A list that names it anew is later than its denial.
        member.denies_primary &= member.is_listed_primary || !entry.primary;
        member.is_listed_primary = entry.primary;
        if member.group != entry.group {
            let left_group = std::mem::replace(&mut member.group, entry.group);
            changed_groups.insert(left_group);
            if let Some(group) = self.groups.get_mut(&left_group) {
                group.members.remove(&entry.name);
            }
            self.groups.entry(entry.group).or_default().members.insert(entry.name);
        }
    }

    /// A member has reported whether it is the primary.
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
        let changed =
            if is_primary { self.on_claim(now, name, source) } else { self.on_denial(now, name, source) };
        if changed {
            self.update_group(group, actions);
        }
    }

    /// A member reports that it is the primary. Returns whether that is new.
    fn on_claim(&mut self, now: Time, name: &Arc<str>, source: ReportSource) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        let Some(group) = self.groups.get_mut(&member.group) else { return false };
        let denial_time = self.settings.denial_time;
        // A probe may have been answered before the response that contradicts it.
        let is_contradicted = source == ReportSource::Probe
            && member.denied_primary_at.is_some_and(|t| now.0 - t.0 < denial_time);
        if is_contradicted || !member.is_ready() {
            return false;
        }
        member.denies_primary = false;
        member.is_reachable = true;
        if group.claimed_primary.as_ref() == Some(name) {
            return false;
        }
        group.claimed_primary = Some(name.clone());
        true
    }

    /// A member reports that it is not the primary. Returns whether that is new.
    fn on_denial(&mut self, now: Time, name: &Arc<str>, source: ReportSource) -> bool {
        let Some(member) = self.members.get_mut(name) else { return false };
        let Some(group) = self.groups.get_mut(&member.group) else { return false };
        if source == ReportSource::Response {
            member.denied_primary_at = Some(now);
        }
        let denied_before = std::mem::replace(&mut member.denies_primary, true);
        if group.claimed_primary.as_ref() == Some(name) {
            group.claimed_primary = None;
            return true;
        }
        !denied_before
    }

    /// A member could or could not be reached.
    pub(super) fn on_reachability(&mut self, name: &Arc<str>, is_reachable: bool, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if std::mem::replace(&mut member.is_reachable, is_reachable) == is_reachable {
            return;
        }
        let id = member.group;
        if !is_reachable
            && let Some(group) = self.groups.get_mut(&id)
            && group.claimed_primary.as_ref() == Some(name)
        {
            group.claimed_primary = None;
        }
        self.update_group(id, actions);
    }
}
