//! Handles changes that depend on time alone: new sites start to count, records of removed members are
//! dropped, and confirmations expire.
use super::PlacementEngine;
use crate::interface::Action;
use decision::{GroupId, Time};
use std::collections::BTreeSet;

impl PlacementEngine {
    pub(super) fn on_time(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut changed_groups = self.settle_members(now);
        let is_confirmed = self.confirmed_until.is_some_and(|until| now < until);
        if std::mem::replace(&mut self.is_confirmed, is_confirmed) != is_confirmed {
            changed_groups.extend(self.views.keys().map(|(base, _)| *base));
            actions.push(Action::RerouteQueued);
        }
        for group in changed_groups {
            self.update_group(group, actions);
        }
        self.set_timer(now, actions);
    }

    /// Applies site changes whose settle time is over and drops the records of members that were removed a
    /// settle time ago. Returns the groups whose views may change.
    fn settle_members(&mut self, now: Time) -> BTreeSet<GroupId> {
        let mut changed_groups = BTreeSet::new();
        if self.member_deadlines.first().is_none_or(|t| *t > now) {
            return changed_groups;
        }
        self.member_deadlines.retain(|t| *t > now);
        let settle_time = self.settings.site_settle_time;
        let groups = &mut self.groups;
        self.members.retain(|name, member| {
            if member.site_settles_at.is_some_and(|t| t <= now) {
                member.site_settles_at = None;
                changed_groups.insert(member.group);
            }
            let is_expired = member.left_at.is_some_and(|t| t.0 + settle_time <= now.0);
            if is_expired && let Some(group) = groups.get_mut(&member.group) {
                group.members.remove(name);
            }
            !is_expired
        });
        self.groups.retain(|_, group| !group.members.is_empty());
        changed_groups
    }

    /// Requests a timer if the next deadline is earlier than the timer that is set.
    fn set_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.is_due(now) {
            self.timer = None;
        }
        let confirmation_end = self.confirmed_until.filter(|_| self.is_confirmed);
        let next = self.member_deadlines.first().copied().into_iter().chain(confirmation_end).min();
        if let Some(at) = next
            && self.timer.is_none_or(|t| at < t)
        {
            self.timer = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}
