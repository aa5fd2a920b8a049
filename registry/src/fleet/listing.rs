//! Derives each node's state on the endpoint list from its registered state and the time since the registry
//! responded.
use super::{Action, Entry, Fleet, Level, Node, State};
use decision::{Micros, Time};

impl Fleet {
    /// The state that a node is to have on the endpoint list.
    fn effective_state(&self, entry: &Entry) -> State {
        if entry.node.state != State::InService {
            return entry.node.state;
        }
        let last_contact = self.last_contact.unwrap_or(Time(0));
        let is_usable = match self.level {
            Level::Fresh => true,
            Level::KnownGood => entry.responded_at >= last_contact,
            Level::TooOld => false,
        };
        if is_usable && !entry.stays_drained { State::InService } else { State::Draining }
    }

    /// Updates the entry of a node on the endpoint list, if its state differs there or `has_changed` is
    /// `true`.
    pub(super) fn update_listing(&mut self, name: &str, has_changed: bool, actions: &mut Vec<Action>) {
        let Some(state) = self.nodes.get(name).map(|entry| self.effective_state(entry)) else { return };
        let Some(entry) = self.nodes.get_mut(name) else { return };
        if !has_changed && entry.listed_state == Some(state) {
            return;
        }
        let listed_before = entry.listed_state.replace(state);
        if state != State::Gone {
            actions.push(Action::List { id: entry.id.clone(), node: Node { state, ..entry.node.clone() } });
        } else if listed_before.is_some_and(|before| before != State::Gone) {
            actions.push(Action::Unlist { id: entry.id.clone() });
        }
    }

    /// Recomputes the level from the time since the registry's last response, and updates the entries that it
    /// affects.
    pub(super) fn update_level(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(last_contact) = self.last_contact else { return };
        let level = self.level_at_age(now.0 - last_contact.0);
        if std::mem::replace(&mut self.level, level) != level {
            actions.push(Action::LevelChanged(level));
        } else if level == Level::Fresh {
            return;
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.update_listing(name, false, actions);
        }
    }

    fn level_at_age(&self, age: Micros) -> Level {
        if self.settings.max_usable_age.is_some_and(|last| age > last) {
            Level::TooOld
        } else if age > self.settings.max_fresh_age {
            Level::KnownGood
        } else {
            Level::Fresh
        }
    }
}
