//! Clients and the response to the last write of each: a retry gets the first response.
use crate::command::{CommandResponse, RequestOrigin};
use crate::rejection::Rejection;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is remembered of a client. It is part of a snapshot: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClientRecord {
    /// The sequence number of its last write, 0 before its first.
    last_sequence: u64,
    /// The log index of its last command: the client that has been silent for longest is evicted first.
    last_active_index: u64,
    last_response: Option<CommandResponse>,
}

/// Whether a write is to be executed.
pub(super) enum Admission {
    /// It is.
    New,
    /// It has been, with this response.
    Retry(CommandResponse),
    /// It must not be.
    Rejected(Rejection),
}

/// All clients, by their ids. It is part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct ClientTable(BTreeMap<u64, ClientRecord>);

impl ClientTable {
    /// Registers a client whose id is the log index of its registration; evicts another where there are too many.
    pub(super) fn register(&mut self, index: u64, max_clients: usize) {
        if self.0.len() >= max_clients {
            self.evict_least_recent();
        }
        let record = ClientRecord { last_sequence: 0, last_active_index: index, last_response: None };
        self.0.insert(index, record);
    }

    fn evict_least_recent(&mut self) {
        let least_recent = self.0.iter().min_by_key(|(_, client)| client.last_active_index);
        if let Some(client_id) = least_recent.map(|(id, _)| *id) {
            self.0.remove(&client_id);
        }
    }

    /// Decides on the write at this log index.
    pub(super) fn admit(&mut self, origin: RequestOrigin, store_id: u64, index: u64) -> Admission {
        if origin.store_id != store_id {
            return Admission::Rejected(Rejection::UnknownClient);
        }
        let Some(client) = self.0.get_mut(&origin.client_id) else {
            return Admission::Rejected(Rejection::UnknownClient);
        };
        if origin.sequence < client.last_sequence {
            return Admission::Rejected(Rejection::StaleSequence { latest: client.last_sequence });
        }
        match &client.last_response {
            Some(response) if origin.sequence == client.last_sequence => {
                client.last_active_index = index;
                Admission::Retry(response.clone())
            }
            _ => Admission::New,
        }
    }

    /// Remembers the response to the write at this log index.
    pub(super) fn record(&mut self, origin: RequestOrigin, index: u64, response: CommandResponse) {
        let record = ClientRecord {
            last_sequence: origin.sequence,
            last_active_index: index,
            last_response: Some(response),
        };
        self.0.insert(origin.client_id, record);
    }
}
