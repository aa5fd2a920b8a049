//! The commands of the replicated log and their responses. These types are stored or sent in the postcard
//! format, which contains neither type nor field names: the order of variants and fields must not change.
use crate::rejection::Rejection;
use crate::state::{Update, Value};
use serde::{Deserialize, Serialize};

/// The first byte of an encoded command. Legacy log entries are JSON, which starts with a brace.
const FORMAT: u8 = 1;

/// Identifies a client's write. A retry has the same origin and receives the response of the first execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOrigin {
    /// The id of the store that registered the client. A new store that replaces it assigns the same client
    /// ids again.
    pub store_id: u64,
    /// The id that [`Command::RegisterClient`] assigned.
    pub client_id: u64,
    /// Increases with each write of this client, which has only one write in flight at a time.
    pub sequence: u64,
}

/// Identifies one grant of a lease. A write with a token is applied only while that grant holds the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingToken {
    /// The name of the lease.
    pub name: String,
    /// The epoch of the grant. Epochs increase over the grants of all names.
    pub epoch: u64,
}

/// A write that a client may request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Updates the value of a key.
    Update {
        /// The key, its new text and its expected version.
        update: Update,
        /// The update is rejected unless this lease is held.
        fencing_token: Option<FencingToken>,
        /// The epoch of the lease to attach the key to. The key is removed when that lease ends.
        lease_epoch: Option<u64>,
    },
    /// Grants the lease of a free name.
    Grant {
        /// The name of the lease.
        name: String,
        /// Time to live of the lease after the grant and each renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Restarts the time to live of a lease.
    Renew(FencingToken),
    /// Ends a lease and removes the keys attached to it.
    Revoke(FencingToken),
}

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Assigns the id of a new store, so that its revisions are not mistaken for those of another store.
    Initialize {
        /// The id of the store; 0 is not allowed.
        store_id: u64,
    },
    /// Registers a client and assigns its id.
    RegisterClient,
    /// A write of a client or of the store itself.
    Write {
        /// Identifies the request if the client may retry it.
        origin: Option<RequestOrigin>,
        /// The operation to execute.
        operation: Operation,
    },
    /// Expires a lease whose countdown on the leader has ended.
    ExpireLease {
        /// The fencing token of the expired lease.
        token: FencingToken,
        /// The number of renewals that the leader knew of. If another renewal was committed before this
        /// command, the lease stays alive.
        renewals: u64,
    },
    /// An update in the legacy log format, from before leases and limits were introduced, which is
    /// applied without limits.
    LegacyUpdate(Update),
}

impl Command {
    /// Encodes the command as a log entry; `None` if serialization fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT]).ok()
    }

    /// Decodes a log entry in the current or the legacy format; `None` if the format is unknown or the
    /// contents are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        match bytes {
            [FORMAT, body @ ..] => postcard::from_bytes(body).ok(),
            [b'{', ..] => Update::from_json(&serde_json::from_slice(bytes).ok()?).map(Command::LegacyUpdate),
            _ => None,
        }
    }

    /// Identifies the request if the client may retry it.
    pub(crate) fn origin(&self) -> Option<RequestOrigin> {
        match self {
            Command::Write { origin, .. } => *origin,
            _ => None,
        }
    }
}

/// The effect of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandEffect {
    /// A client was registered.
    ClientRegistered {
        /// The id of the registered client.
        client_id: u64,
        /// The id of the store that registered the client.
        store_id: u64,
    },
    /// A key was updated.
    Updated {
        /// The key's new version; 0 if it was deleted.
        version: u64,
    },
    /// A lease was granted.
    Granted {
        /// The epoch of the lease.
        epoch: u64,
    },
    /// A lease was renewed or ended, or a command that the store itself proposed was applied.
    Done,
}

/// The response to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The effect of the command, or why it was rejected.
    pub result: Result<CommandEffect, Rejection>,
    /// The store's revision after the command.
    pub revision: u64,
}

/// The change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key that was changed.
    pub key: String,
    /// The key's new value; `None` if the key was deleted.
    pub value: Option<Value>,
}

/// The changes of one command, all at the same revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The log index of the command.
    pub revision: u64,
    /// The changed keys, each at most once.
    pub changes: Vec<KeyChange>,
}
