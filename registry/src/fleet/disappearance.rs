//! Handles deleted node keys: single nodes are removed at once; if many disappear together they are retained
//! for a time.
use super::{Action, Fleet, State};
use decision::Time;

impl Fleet {
    pub(super) fn on_key_deleted(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        self.invalid.remove(name);
        let Some(entry) = self.nodes.get(name) else { return };
        if entry.node.state != State::InService || entry.retained_until.is_some() {
            return self.remove(name, actions);
        }
        self.record_disappearance(now);
        let remaining = self.serving - 1;
        let serving_before = remaining + self.disappearances.len();
        if !self.is_mass_disappearance(serving_before) && remaining > 0 {
            return self.remove(name, actions);
        }
        self.retain(name, Time(now.0 + self.settings.mass_removal_delay));
        if !std::mem::replace(&mut self.is_retaining, true) {
            actions.push(Action::MassRemovalDelayed { nodes: serving_before });
        }
    }

    fn record_disappearance(&mut self, now: Time) {
        let window = self.settings.mass_removal_window;
        while self.disappearances.front().is_some_and(|at| now.0 - at.0 > window) {
            self.disappearances.pop_front();
        }
        self.disappearances.push_back(now);
    }

    /// Whether too many of the nodes that were in service before the window have disappeared. A single node
    /// never counts as too many, since removing one of two nodes is an ordinary change.
    fn is_mass_disappearance(&self, serving_before: usize) -> bool {
        let disappeared = self.disappearances.len();
        disappeared > 1 && disappeared as f64 > self.settings.mass_removal_share * serving_before as f64
    }

    fn retain(&mut self, name: &str, until: Time) {
        if let Some(entry) = self.nodes.get_mut(name) {
            entry.retained_until = Some(until);
        }
        self.serving -= 1;
    }

    /// Removes the retained nodes for whose end of retention `has_expired` returns `true`.
    pub(super) fn release_retained(&mut self, has_expired: impl Fn(Time) -> bool, actions: &mut Vec<Action>) {
        // Normally no node is retained; this avoids scanning a long list at each tick.
        if !self.is_retaining {
            return;
        }
        let released = self.nodes.iter().filter(|(_, entry)| entry.retained_until.is_some_and(&has_expired));
        let names: Vec<String> = released.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove(name, actions);
        }
        if !names.is_empty() {
            actions.push(Action::RetainedReleased { nodes: names.len() });
        }
        self.is_retaining = self.retained_count() > 0;
    }
}
