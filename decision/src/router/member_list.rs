//! The member list: members that join, restart, drain and leave, and the number of routers that share them.
use super::{
    Action, BTreeSet, DISTANT_PAST, GroupId, Member, MemberEntry, MemberId, MemberState, Router, pool,
};

impl Router {
    pub(super) fn on_member_list(&mut self, complete: bool, entries: Vec<MemberEntry>) {
        let mut changed_groups: BTreeSet<GroupId> = entries.iter().map(|e| e.group).collect();
        if complete {
            let listed_ids: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (_, missing) in self.members.iter_mut().filter(|(id, _)| !listed_ids.contains(id)) {
                if !self.settings.missing_members_may_serve || !missing.is_ready() {
                    missing.listed.state = MemberState::Removed;
                }
                changed_groups.insert(missing.listed.group);
            }
        }
        entries.into_iter().for_each(|entry| self.apply_entry(entry));
        changed_groups.into_iter().for_each(|g| self.refresh_group(g));
    }

    fn apply_entry(&mut self, entry: MemberEntry) {
        if entry.state == MemberState::Removed && !self.members.contains_key(&entry.id) {
            self.actions.push(Action::Remove { member: entry.id });
            return;
        }
        let pool_size = (pool::INITIAL_FLEET_SIZE / f64::from(self.settings.router_count.max(1))).max(1.0);
        // A new member is probed when a request first needs it. Otherwise hundreds of routers would probe it
        // when it appears in the list.
        let member = self.members.entry(entry.id).or_insert_with(|| {
            self.groups.entry(entry.group).or_default().members.push(entry.id);
            Member { listed: entry.clone(), pool_size, position: DISTANT_PAST, ..Member::default() }
        });
        if entry.started_at > member.listed.started_at {
            // The process restarted: earlier ejections concerned the previous process.
            member.ejected_until = None;
            member.consecutive_ejections = 0;
        }
        let started_at = entry.started_at.max(member.listed.started_at);
        let weight = if entry.weight.is_finite() { entry.weight.max(0.01) } else { 1.0 };
        member.listed = MemberEntry { group: member.listed.group, weight, started_at, ..entry };
    }

    /// Removes members that were removed from the list and have no work in flight, clears a primary that
    /// accepts no new work, then dispatches queued requests.
    pub(super) fn refresh_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.members.retain(|id| {
            let member = &self.members[id];
            let has_work = member.in_flight > 0 || member.probes_in_flight > 0;
            let retain = has_work || member.listed.state != MemberState::Removed;
            if !retain {
                self.members.remove(id);
                self.actions.push(Action::Remove { member: *id });
            }
            retain
        });
        group.primary = group.primary.filter(|p| self.members.get(p).is_some_and(Member::is_ready));
        if group.members.is_empty() && group.queued.is_empty() {
            self.groups.remove(&id);
        }
        self.dispatch_queued(id);
    }

    /// Rescales the limits of attempts in flight: new routers take over a part of the limits, and the
    /// remaining routers take over the part of routers that leave.
    pub(super) fn on_router_count(&mut self, new_count: u32) {
        let (old_count, new_count) = (f64::from(self.settings.router_count.max(1)), new_count.max(1));
        self.settings.router_count = new_count;
        for member in self.members.values_mut() {
            member.pool_size = (member.pool_size * old_count / f64::from(new_count)).max(pool::MIN_SIZE);
        }
    }
}
