//! The state machine: which instances are in maintenance and whether the router drains.
//!
//! The rules are those in the operators' documentation. An instance stays in maintenance until it is
//! restored, whatever the endpoint list says. One `RESTORE` undoes any number of `SUSPEND`s. A command for an
//! id that is neither listed nor in maintenance is rejected.
use crate::interface::{Action, EndpointChange, Event, MaintenanceError, MaintenanceMask, Settings};
use crate::state::{MaintenanceEntry, State};
use decision::Time;
use std::collections::BTreeSet;

/// The state machine. A clone copies the ids of the endpoint list and the entries.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: Settings,
    state: State,
    /// Currently listed ids; `None` before the first endpoint list.
    listed: Option<BTreeSet<String>>,
    /// Ids that were restored while not listed, and not listed since. They are expected in the list again, so
    /// they may be suspended.
    awaiting_listing: BTreeSet<String>,
    /// The mask in the last action, or at the start.
    notified_mask: MaintenanceMask,
    /// The drain state in the last action, or at the start.
    notified_draining: bool,
}

impl Machine {
    /// Creates a machine from the stored state. The driver must read the initial [`mask`](Self::mask) and
    /// [`draining`](Self::draining) itself, as actions only report changes.
    pub fn new(settings: Settings, stored: State) -> Machine {
        let awaiting_listing = stored.restored.keys().cloned().collect();
        let mut machine = Machine {
            settings,
            state: stored,
            listed: None,
            awaiting_listing,
            notified_mask: MaintenanceMask::default(),
            notified_draining: false,
        };
        machine.notified_mask = machine.mask();
        machine.notified_draining = machine.draining();
        machine
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.expire_restored(now);
        let revision_before = self.state.revision;
        let response = self.apply(now, event);
        if response.is_some() && self.state.revision != revision_before {
            actions.push(Action::Persist(self.state.clone()));
        }
        // The endpoint list must apply a change before the operator receives the response: after the
        // response, a suspended instance must not receive a new attempt.
        self.notify_changes(actions);
        actions.extend(response.map(Action::Respond));
    }

    /// Returns the state to be stored.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the mask that applies to the endpoint list.
    pub fn mask(&self) -> MaintenanceMask {
        MaintenanceMask {
            in_maintenance: self.state.in_maintenance.keys().cloned().collect(),
            restored_at: self.state.restored.clone(),
        }
    }

    /// Whether the router drains.
    pub fn draining(&self) -> bool {
        self.state.draining_since.is_some()
    }

    /// Applies an event to the state. Returns the response if the event is a command.
    fn apply(&mut self, now: Time, event: Event) -> Option<Result<(), MaintenanceError>> {
        match event {
            Event::EndpointsUpdated { complete, changes } => {
                self.update_listed(complete, changes);
                None
            }
            Event::StateRead(state) => {
                self.adopt_if_later(now, state);
                None
            }
            Event::Suspend(id) => Some(self.suspend(now, id)),
            Event::Restore(id) => Some(self.restore(now, id)),
            Event::Pause => {
                self.begin_drain(now);
                Some(Ok(()))
            }
            Event::Resume => {
                self.end_drain();
                Some(Ok(()))
            }
        }
    }

    fn notify_changes(&mut self, actions: &mut Vec<Action>) {
        let mask = self.mask();
        if mask != self.notified_mask {
            self.notified_mask = mask.clone();
            actions.push(Action::SetMask(mask));
        }
        let draining = self.draining();
        if draining != self.notified_draining {
            self.notified_draining = draining;
            actions.push(Action::SetDraining(draining));
        }
    }

    fn advance_revision(&mut self) {
        self.state.revision = self.state.revision.saturating_add(1);
    }

    /// Drops restored ids whose retention is over. This does not advance the revision: each process does it
    /// by its own clock, and a revision advanced without a write would hide the next change by another
    /// process. A time far in the future comes from a clock that was set back since, and must not be retained
    /// until that clock has caught up.
    fn expire_restored(&mut self, now: Time) {
        let retention = self.settings.restored_retention.max(0).unsigned_abs();
        self.state.restored.retain(|_, at| now.0.abs_diff(at.0) <= retention);
        let restored = &self.state.restored;
        self.awaiting_listing.retain(|id| restored.contains_key(id));
    }

    fn update_listed(&mut self, complete: bool, changes: Vec<EndpointChange>) {
        let listed = self.listed.get_or_insert_default();
        if complete {
            listed.clear();
        }
        for change in changes {
            if change.listed {
                self.awaiting_listing.remove(&change.id);
                listed.insert(change.id);
            } else {
                listed.remove(&change.id);
            }
        }
    }

    fn is_listed(&self, id: &str) -> bool {
        self.listed.as_ref().is_some_and(|listed| listed.contains(id))
    }

    fn adopt_if_later(&mut self, now: Time, state: State) {
        if state.revision <= self.state.revision {
            return;
        }
        let previous = std::mem::replace(&mut self.state, state);
        for (id, at) in &self.state.restored {
            // Another process of this router restored this id, so this process expects it in the endpoint
            // list too.
            if previous.restored.get(id) != Some(at) && !self.is_listed(id) {
                self.awaiting_listing.insert(id.clone());
            }
        }
        self.expire_restored(now);
    }

    fn suspend(&mut self, now: Time, id: String) -> Result<(), MaintenanceError> {
        if self.state.in_maintenance.contains_key(&id) {
            return Ok(());
        }
        if !self.is_listed(&id) && !self.awaiting_listing.contains(&id) {
            return Err(match &self.listed {
                Some(listed) => MaintenanceError::NotListed { id, listed_count: listed.len() },
                None => MaintenanceError::EndpointsPending { id },
            });
        }
        let max_entries = self.settings.max_entries;
        if self.state.in_maintenance.len() >= max_entries {
            return Err(MaintenanceError::TooManyEntries { max_entries });
        }
        self.state.restored.remove(&id);
        self.awaiting_listing.remove(&id);
        self.state.in_maintenance.insert(id, MaintenanceEntry { since: now });
        self.advance_revision();
        Ok(())
    }

    fn restore(&mut self, now: Time, id: String) -> Result<(), MaintenanceError> {
        if self.state.in_maintenance.remove(&id).is_none() {
            let entry_count = self.state.in_maintenance.len();
            return Err(MaintenanceError::NotInMaintenance { id, entry_count });
        }
        if self.state.restored.len() >= self.settings.max_entries {
            self.forget_oldest_restored();
        }
        if !self.is_listed(&id) {
            self.awaiting_listing.insert(id.clone());
        }
        self.state.restored.insert(id, now);
        self.advance_revision();
        Ok(())
    }

    fn forget_oldest_restored(&mut self) {
        let oldest = self.state.restored.iter().min_by_key(|(_, at)| **at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.state.restored.remove(&id);
            self.awaiting_listing.remove(&id);
        }
    }

    fn begin_drain(&mut self, now: Time) {
        if self.state.draining_since.is_none() {
            self.state.draining_since = Some(now);
            self.advance_revision();
        }
    }

    fn end_drain(&mut self) {
        if self.state.draining_since.take().is_some() {
            self.advance_revision();
        }
    }
}
