//! A client of the store. The client sends requests to any node, switches to another node after a failure,
//! and retries requests where that is safe: each attempt of a write carries the same sequence number, so that
//! the write is applied at most once.
//!
//! The client counts down a lease from before it was requested, and for a shorter time than it was granted
//! for, by the share [`MAX_CLOCK_DRIFT`]. As long as the monotonic clocks of this process and of the leader
//! drift apart by no more than that, the lease always ends here before it ends in the store.
mod connection;
mod error;
mod lease;
mod session;
mod settings;
mod watch;

pub use error::ClientError;
pub use lease::{Lease, LeaseKeeper, MAX_CLOCK_DRIFT};
pub use settings::Settings;
pub use watch::{Watch, WatchEvent};

use crate::command::{CommandEffect, FencingToken, Operation};
use crate::state::{Update, Value};
use crate::wire::{Consistency, ReadHeader, Request, Response};
use connection::{AttemptError, Connection};
use session::Session;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum total length of the keys and texts of one listing, in bytes: more than a store can contain.
const MAX_LISTING_BYTES: usize = 64 << 20;

/// The result of a read, with its consistency, revision and term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read<T> {
    /// The consistency and revision of the read, and the leader's term.
    pub header: ReadHeader,
    /// The value or the keys that were read.
    pub value: T,
}

/// An update that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Updated {
    /// The key's new version, 0 if it was deleted.
    pub version: u64,
    /// The store's revision after the update.
    pub revision: u64,
    /// The term of the leader.
    pub term: u64,
}

/// Conditions of an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateOptions {
    /// The version that the key must have; 0 if the key must not exist.
    pub expected_version: Option<u64>,
    /// The update is rejected unless this lease is held.
    pub fencing_token: Option<FencingToken>,
    /// The epoch of the lease to attach the key to. The key is removed when that lease ends.
    pub lease_epoch: Option<u64>,
}

/// A client of the store. Clones share one connection, which serves one call at a time.
#[derive(Clone)]
pub struct Client {
    settings: Settings,
    session: Arc<Mutex<Session>>,
}

impl Client {
    /// Creates a client, which connects when the first call is made.
    pub fn new(settings: Settings) -> Client {
        let session = Session::new(settings.clone());
        Client { settings, session: Arc::new(Mutex::new(session)) }
    }

    fn session(&self) -> MutexGuard<'_, Session> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a key.
    ///
    /// # Errors
    /// [`ClientError::Unavailable`] if no node responds in time.
    pub fn get(&self, key: &str, consistency: Consistency) -> Result<Read<Option<Value>>, ClientError> {
        let request = Request::Get { key: key.into(), consistency };
        self.session().read(&request, |connection| match connection.receive()? {
            Response::Value { header, value } => Ok(Read { header, value }),
            Response::Rejected(rejection) => Err(AttemptError::Rejected(rejection)),
            _ => Err(AttemptError::NoResponse("expected a value, received another message".into())),
        })
    }

    /// Reads all keys with a prefix, at one revision, in order.
    ///
    /// # Errors
    /// Same as [`Client::get`].
    pub fn list(
        &self,
        prefix: &str,
        consistency: Consistency,
    ) -> Result<Read<Vec<(String, Value)>>, ClientError> {
        let request = Request::List { prefix: prefix.into(), consistency };
        self.session().read(&request, receive_list)
    }

    /// Sets a key.
    ///
    /// # Errors
    /// [`ClientError::Rejected`] if a condition is not met, [`ClientError::Unconfirmed`] if the update may
    /// have been applied, [`ClientError::Unavailable`] if it was not applied.
    pub fn put(&self, key: &str, text: &str, options: UpdateOptions) -> Result<Updated, ClientError> {
        self.update(key, Some(text.into()), options)
    }

    /// Deletes a key; has no effect if the key does not exist.
    ///
    /// # Errors
    /// Same as [`Client::put`].
    pub fn delete(&self, key: &str, options: UpdateOptions) -> Result<Updated, ClientError> {
        self.update(key, None, options)
    }

    fn update(
        &self,
        key: &str,
        text: Option<String>,
        options: UpdateOptions,
    ) -> Result<Updated, ClientError> {
        let UpdateOptions { expected_version, fencing_token, lease_epoch } = options;
        let update = Update { key: key.into(), text, expected_version };
        let written = self.session().write(&Operation::Update { update, fencing_token, lease_epoch })?;
        match written.effect {
            CommandEffect::Updated { version } => {
                Ok(Updated { version, revision: written.revision, term: written.term })
            }
            _ => Err(ClientError::UnexpectedResponse),
        }
    }
}

fn receive_list(connection: &Connection) -> Result<Read<Vec<(String, Value)>>, AttemptError> {
    let mut listing = Listing::default();
    loop {
        match connection.receive()? {
            Response::Keys { header, entries, last } => {
                listing.add(entries)?;
                if last {
                    return Ok(Read { header, value: listing.entries });
                }
            }
            Response::Rejected(rejection) => return Err(AttemptError::Rejected(rejection)),
            _ => return Err(AttemptError::NoResponse("expected keys, received another message".into())),
        }
    }
}

/// A list of keys that is received in parts.
#[derive(Default)]
struct Listing {
    entries: Vec<(String, Value)>,
    bytes: usize,
}

impl Listing {
    fn add(&mut self, part: Vec<(String, Value)>) -> Result<(), AttemptError> {
        self.bytes += part.iter().map(|(key, value)| key.len() + value.text.len()).sum::<usize>();
        if self.bytes > MAX_LISTING_BYTES {
            return Err(AttemptError::NoResponse(format!(
                "the list of keys exceeds {MAX_LISTING_BYTES} bytes"
            )));
        }
        self.entries.extend(part);
        Ok(())
    }
}
