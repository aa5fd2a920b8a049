//! Served writes: from the commit until the write may be acknowledged, and the floor that covers unknown commits.
use super::Machine;
use super::event::{Action, Now, PendingAck, Push};
use crate::Key;
use decision::Time;

impl Machine {
    pub(super) fn commit(&mut self, ticket: PendingAck, key: Key, at: Time, actions: &mut Vec<Action>) {
        self.kept.add(key, at);
        self.seq += 1;
        self.recent.push_back((key, at.0));
        if self.recent.len() > self.settings.resume {
            self.recent.pop_front();
        }
        if self.durable {
            actions.push(Action::Append(self.seq, key, at));
        }
        self.push_to_receivers(&Push::Commits { first: self.seq, entries: vec![(key, at.0)] }, actions);
        self.waiting.insert(self.seq, ticket);
    }

    fn push_to_receivers(&self, push: &Push, actions: &mut Vec<Action>) {
        let receivers = self.peers.iter().filter(|(_, peer)| peer.receives);
        actions.extend(receivers.map(|(instance, _)| Action::Push(*instance, push.clone())));
    }

    pub(super) fn remember_all(&mut self, entries: Vec<(Key, i64)>) {
        entries.into_iter().for_each(|(key, at)| self.kept.add(key, Time(at)));
    }

    /// Releases writes that disk and peers hold: every peer that relies on us, or may do so for all we know.
    pub(super) fn release(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.superseded.is_some() || self.journal_stuck {
            // Peers rely on the newer start, or a later start on the file: what is acknowledged here might be missed
            // there.
            actions.extend(std::mem::take(&mut self.waiting).into_values().map(Action::Fail));
            return;
        }
        if self.unlisted_lease_until > now {
            return;
        }
        let held_here = if self.durable { self.synced } else { self.seq };
        let lease_holders = self.peers.values().filter(|peer| peer.granted_until > now);
        let held_by_all = lease_holders.map(|peer| peer.confirmed).fold(held_here, u64::min);
        while let Some(first) = self.waiting.first_entry().filter(|entry| *entry.key() <= held_by_all) {
            actions.push(Action::Release(first.remove()));
        }
    }

    /// Everything committed by now must be seen: there are commits that are not known one by one.
    pub(super) fn raise_floor(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(present) = now.present else {
            self.floor_due = true;
            return;
        };
        self.floor = self.floor.max(Some(present));
        if std::mem::take(&mut self.floor_due) && self.settings.incomplete {
            if self.durable {
                actions.push(Action::AppendFloor(present));
            }
            // What the start before this one acknowledged, its peers may lack as well.
            self.push_to_receivers(&Push::Whole { seq: self.seq, floor: Some(present.0) }, actions);
        }
    }
}
