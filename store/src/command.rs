//! The commands of the replicated log, and what they respond. All of these are stored or sent in the postcard format,
//! which knows neither names of types nor of fields: the order of variants and fields must not change.
use crate::rejection::Rejection;
use crate::state::{Update, Value};
use serde::{Deserialize, Serialize};

/// The first byte of a command in the log. Legacy entries are JSON, which begins with a brace.
const FORMAT: u8 = 1;

/// Identifies a client's write: a retry carries the same origin and gets the first response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOrigin {
    /// The id of the store that registered the client: a new store in its place gives the same client ids again.
    pub store_id: u64,
    /// The id that [`Command::RegisterClient`] gave.
    pub client_id: u64,
    /// Rises with each write of this client, which has one write in flight at a time.
    pub sequence: u64,
}

/// Names one grant of a lease. A write that carries it is only applied while that grant holds the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingToken {
    /// The name that is leased.
    pub name: String,
    /// The epoch of the grant. Epochs only rise, over all names.
    pub epoch: u64,
}

/// A write that a client may request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Updates a key.
    Update {
        /// The key, its new text and the version that it is expected at.
        update: Update,
        /// Only while this lease is held.
        fencing_token: Option<FencingToken>,
        /// The epoch of the lease that the key is attached to, and removed with.
        lease_epoch: Option<u64>,
    },
    /// Grants the lease of a name that nobody holds.
    Grant {
        /// The name.
        name: String,
        /// How long the lease lives without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Restarts the time to live of a lease.
    Renew(FencingToken),
    /// Ends a lease, and removes the keys attached to it.
    Revoke(FencingToken),
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Gives a new store its id, so that its revisions are not mistaken for those of another one.
    Initialize {
        /// The id, not 0.
        store_id: u64,
    },
    /// Gives a client its id.
    RegisterClient,
    /// A write.
    Write {
        /// Who requested it, where it may be retried.
        origin: Option<RequestOrigin>,
        /// The write.
        operation: Operation,
    },
    /// The leader has counted a lease to its end.
    ExpireLease {
        /// The lease.
        token: FencingToken,
        /// How often it had been renewed then. A renewal that was committed before this command keeps it alive.
        renewals: u64,
    },
    /// An update from a log of before there were leases: applied as it was then, without limits.
    LegacyUpdate(Update),
}

impl Command {
    /// The bytes of a log entry; `None` where the command can't be encoded.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![FORMAT]).ok()
    }

    /// From the bytes of a log entry, legacy ones included; `None` where the format is not known.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        match bytes {
            [FORMAT, body @ ..] => postcard::from_bytes(body).ok(),
            [b'{', ..] => Update::from_json(&serde_json::from_slice(bytes).ok()?).map(Command::LegacyUpdate),
            _ => None,
        }
    }

    /// Who requested it, where it may be retried.
    pub(crate) fn origin(&self) -> Option<RequestOrigin> {
        match self {
            Command::Write { origin, .. } => *origin,
            _ => None,
        }
    }
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandEffect {
    /// A client was registered.
    ClientRegistered {
        /// The client's id.
        client_id: u64,
        /// The store's id.
        store_id: u64,
    },
    /// A key was updated.
    Updated {
        /// Its version, 0 where it was deleted.
        version: u64,
    },
    /// A lease was granted.
    Granted {
        /// Its epoch.
        epoch: u64,
    },
    /// A lease was renewed or ended, or a command of the store's own was applied.
    Done,
}

/// The response to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// What the command did, or why it was rejected.
    pub result: Result<CommandEffect, Rejection>,
    /// The store's revision after it.
    pub revision: u64,
}

/// The change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its value; `None` where it was deleted.
    pub value: Option<Value>,
}

/// What one command changed, all at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The log index of the command.
    pub revision: u64,
    /// The changed keys, each once.
    pub changes: Vec<KeyChange>,
}
