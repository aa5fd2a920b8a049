//! The member list: who joins, restarts, drains and leaves, and among how many routers members are shared.
use super::{Action, BTreeSet, GroupId, LONG_AGO, Member, MemberEntry, MemberId, MemberState, Router, pool};

impl Router {
    pub(super) fn on_member_list(&mut self, complete: bool, entries: Vec<MemberEntry>) {
        let mut changed_groups: BTreeSet<GroupId> = entries.iter().map(|e| e.group).collect();
        if complete {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (_, missing) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if !self.settings.missing_members_may_serve || !missing.is_ready() {
                    missing.listed.state = MemberState::Removed;
                }
                changed_groups.insert(missing.listed.group);
            }
        }
        entries.into_iter().for_each(|entry| self.apply_entry(entry));
        changed_groups.into_iter().for_each(|g| self.review_group(g));
    }

    fn apply_entry(&mut self, entry: MemberEntry) {
        if entry.state == MemberState::Removed && !self.members.contains_key(&entry.id) {
            self.actions.push(Action::Remove { member: entry.id });
            return;
        }
        let pool_size = (pool::INITIAL_FLEET_SIZE / f64::from(self.settings.router_count.max(1))).max(1.0);
        // It is probed when a request first looks for it, not by hundreds of routers as it appears.
        let member = self.members.entry(entry.id).or_insert_with(|| {
            self.groups.entry(entry.group).or_default().members.push(entry.id);
            Member { listed: entry.clone(), pool_size, position: LONG_AGO, ..Member::default() }
        });
        if entry.started_at > member.listed.started_at {
            // A restart: the old ejections and doubts are about a process that is no more.
            member.ejected_until = None;
            member.consecutive_ejections = 0;
        }
        let started_at = entry.started_at.max(member.listed.started_at);
        let weight = if entry.weight.is_finite() { entry.weight.max(0.01) } else { 1.0 };
        member.listed = MemberEntry { group: member.listed.group, weight, started_at, ..entry };
    }

    /// Drops removed members that owe nothing, and a primary that takes no new work; then serves the queue.
    pub(super) fn review_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.members.retain(|id| {
            let member = &self.members[id];
            let busy = member.in_flight > 0 || member.probes_in_flight > 0;
            let keep = busy || member.listed.state != MemberState::Removed;
            if !keep {
                self.members.remove(id);
                self.actions.push(Action::Remove { member: *id });
            }
            keep
        });
        group.primary = group.primary.filter(|p| self.members.get(p).is_some_and(Member::is_ready));
        if group.members.is_empty() && group.queued.is_empty() {
            self.groups.remove(&id);
        }
        self.dispatch_queued(id);
    }

    /// What is learned of a member is shared with routers that join and grows with those that leave.
    pub(super) fn on_router_count(&mut self, count: u32) {
        let (before, count) = (f64::from(self.settings.router_count.max(1)), count.max(1));
        self.settings.router_count = count;
        for member in self.members.values_mut() {
            member.pool_size = (member.pool_size * before / f64::from(count)).max(pool::MIN_SIZE);
        }
    }
}
