//! Stores the node list on disk, for starts at which no registry member responds.
use super::saved_list::LastSave;
use super::{Client, Key, lock, micros};
use crate::cache::{self, CachedList};
use crate::fleet::Event as FleetEvent;
use crate::machine::{Item, Machine};
use std::path::Path;

impl Client {
    /// Loads the saved list from disk.
    pub(super) fn load_list(&self, machine: &mut Machine) {
        let Some(folder) = &self.settings.list_folder else { return };
        let cached = match cache::read(Path::new(folder)) {
            Ok(Some(cached)) => cached,
            Ok(None) => return,
            Err(error) => return tracing::error!(%error, "saved registry list not used"),
        };
        let age_s = (self.clock.now().0 - cached.at).max(0) / 1_000_000;
        let (at, keys) = (cached.at, cached.items.len());
        let items: Vec<Item> = cached.items().collect();
        let mut list = self.list();
        for item in &items {
            if let Key::Node(name) = self.classify(&item.key) {
                self.handle_fleet_event(&mut list, FleetEvent::Put { name: name.into(), item: item.clone() });
            }
        }
        machine.load_saved(items);
        list.last_contact = Some(at);
        let mut actions = Vec::new();
        // Use the time at which the list was saved, so that the age limits apply to the age of its contents.
        list.fleet.handle(decision::Time(at), FleetEvent::RegistryResponded, &mut actions);
        self.apply_fleet_actions(&mut list, actions);
        self.flush(&mut list);
        tracing::warn!(keys, age_s, "saved registry list used until the registry responds");
    }

    /// Writes the list to disk, if it has changed and `registry_save_interval` has passed since the last
    /// write.
    pub(super) fn save_list_if_due(&self, machine: &Machine) {
        let Some(folder) = &self.settings.list_folder else { return };
        let now = self.clock.now().0;
        let mut last_saved = lock(&self.last_saved);
        let is_recent = now - last_saved.at < micros(self.limits.registry_save_interval);
        if is_recent || last_saved.revision == machine.revision() {
            return;
        }
        // The save is noted before the write, so that a failed write is not retried before the next interval.
        *last_saved = LastSave { at: now, revision: machine.revision() };
        let nodes = machine.all_items().filter(|item| matches!(self.classify(&item.key), Key::Node(_)));
        let items = nodes.map(|i| (i.key, i.value, i.created, i.modified)).collect();
        let cached = CachedList { at: now, revision: machine.revision(), items };
        if let Err(error) = cache::write(Path::new(folder), &cached) {
            tracing::error!(folder, %error, "registry list not saved");
        }
    }
}
