//! The registered clients and the response to the last write of each client, which a retry receives again.
use crate::command::{CommandResponse, RequestOrigin};
use crate::rejection::Rejection;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The stored state of a client, which is part of a snapshot: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClientRecord {
    /// The sequence number of the client's last write, 0 before the first one.
    last_sequence: u64,
    /// The log index of the client's last command. When there are too many clients, the client with the
    /// lowest index is evicted.
    last_active_index: u64,
    last_response: Option<CommandResponse>,
}

/// The decision whether to execute a client's write.
pub(super) enum Admission {
    /// The write is new and must be executed.
    New,
    /// The write was executed before, with this response.
    Retry(CommandResponse),
    /// The write must not be executed.
    Rejected(Rejection),
}

/// All clients, keyed by client id. The table is part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct ClientTable(BTreeMap<u64, ClientRecord>);

impl ClientTable {
    /// Registers a client; its id is the log index of the registration. Evicts the least recently active
    /// client if there are `max_clients` already.
    pub(super) fn register(&mut self, index: u64, max_clients: usize) {
        if self.0.len() >= max_clients {
            self.evict_least_recently_active();
        }
        let record = ClientRecord { last_sequence: 0, last_active_index: index, last_response: None };
        self.0.insert(index, record);
    }

    fn evict_least_recently_active(&mut self) {
        let least_recently_active = self.0.iter().min_by_key(|(_, client)| client.last_active_index);
        if let Some(client_id) = least_recently_active.map(|(id, _)| *id) {
            self.0.remove(&client_id);
        }
    }

    /// Decides whether to execute the write at this log index.
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

    /// Stores the response to the write at this log index, for retries.
    pub(super) fn record(&mut self, origin: RequestOrigin, index: u64, response: CommandResponse) {
        let record = ClientRecord {
            last_sequence: origin.sequence,
            last_active_index: index,
            last_response: Some(response),
        };
        self.0.insert(origin.client_id, record);
    }
}
