//! Encoding and decoding of state machine snapshots.
use super::StateMachine;
use super::clients::ClientTable;
use super::leases::{LeaseTable, NameRecord};
use crate::limits::StoreLimits;
use crate::state::{State, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first byte of a snapshot. Legacy snapshots are JSON, which begins with a brace.
const FORMAT: u8 = 2;

/// A snapshot in the postcard format: the order of the fields must not change.
#[derive(Serialize, Deserialize)]
struct SnapshotContents {
    store_id: u64,
    applied_index: u64,
    revision: u64,
    keys: Vec<(String, Value)>,
    lease_names: BTreeMap<String, NameRecord>,
    highest_forgotten_epoch: u64,
    clients: ClientTable,
}

impl StateMachine {
    /// Encodes a snapshot; `None` if serialization fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let contents = SnapshotContents {
            store_id: self.state.store_id,
            applied_index: self.state.applied_index,
            revision: self.state.revision,
            keys: self.state.with_prefix("").map(|(key, value)| (key.to_string(), value.clone())).collect(),
            lease_names: self.leases.names().clone(),
            highest_forgotten_epoch: self.leases.highest_forgotten_epoch(),
            clients: self.clients.clone(),
        };
        postcard::to_extend(&contents, vec![FORMAT]).ok()
    }

    /// Decodes a snapshot in the current or the legacy format; `None` if the format is unknown or the
    /// contents are invalid.
    pub fn decode(bytes: &[u8], limits: StoreLimits) -> Option<StateMachine> {
        let mut machine = StateMachine::new(limits);
        match bytes {
            [FORMAT, body @ ..] => machine.restore(postcard::from_bytes(body).ok()?),
            [b'{', ..] => machine.state = State::from_legacy_json(bytes)?,
            _ => return None,
        }
        machine.attach_keys_to_leases()?;
        let keys = machine.state.with_prefix("");
        machine.total_bytes = keys.map(|(key, value)| key.len() + value.text.len()).sum();
        Some(machine)
    }

    fn restore(&mut self, contents: SnapshotContents) {
        self.state.store_id = contents.store_id;
        self.state.applied_index = contents.applied_index;
        self.state.revision = contents.revision;
        for (key, value) in contents.keys {
            self.state.insert(key, value);
        }
        self.leases = LeaseTable::restore(contents.lease_names, contents.highest_forgotten_epoch);
        self.clients = contents.clients;
    }

    /// Attaches all keys to the leases whose epochs they contain. Returns `None` if one of these leases is
    /// not held.
    fn attach_keys_to_leases(&mut self) -> Option<()> {
        for (key, value) in self.state.with_prefix("") {
            if let Some(epoch) = value.lease_epoch {
                self.leases.attach(epoch, key).then_some(())?;
            }
        }
        Some(())
    }
}
