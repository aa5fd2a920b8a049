//! A client of the store that is no node of it. It sends requests to any node, goes on to another where one fails, and
//! retries what may be retried: a write carries the same sequence number each time, so that it is applied once.
//!
//! A lease is counted here from before it was requested, and for [`MAX_CLOCK_DRIFT`] less than it was granted for:
//! where the monotonic clocks of this process and of the leader drift apart by no more than that, it always ends here
//! first.
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

/// Bytes of keys and texts that one listing may have: more than a store can hold.
const MAX_LISTING_BYTES: usize = 64 << 20;

/// The result of a read, and what it stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read<T> {
    /// How it was read, its revision and the leader's term.
    pub header: ReadHeader,
    /// What was read.
    pub value: T,
}

/// An update that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Updated {
    /// The key's version, 0 where it was deleted.
    pub version: u64,
    /// The store's revision after it.
    pub revision: u64,
    /// The leader's term.
    pub term: u64,
}

/// Conditions of an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpdateOptions {
    /// The version that the key must be at; 0 where it must not exist.
    pub expected_version: Option<u64>,
    /// Only while this lease is held.
    pub fencing_token: Option<FencingToken>,
    /// The epoch of the lease that the key is attached to, and removed with.
    pub lease_epoch: Option<u64>,
}

/// A client; its clones share one connection and take turns.
#[derive(Clone)]
pub struct Client {
    settings: Settings,
    session: Arc<Mutex<Session>>,
}

impl Client {
    /// A client that connects at its first call.
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
    /// [`ClientError::Unavailable`] where no node responds in time.
    pub fn get(&self, key: &str, consistency: Consistency) -> Result<Read<Option<Value>>, ClientError> {
        let request = Request::Get { key: key.into(), consistency };
        self.session().read(&request, |connection| match connection.receive()? {
            Response::Value { header, value } => Ok(Read { header, value }),
            Response::Rejected(rejection) => Err(AttemptError::Rejected(rejection)),
            _ => Err(AttemptError::NoResponse("something else than a value".into())),
        })
    }

    /// Reads all keys with a prefix, at one revision, in order.
    ///
    /// # Errors
    /// As for [`Client::get`].
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
    /// [`ClientError::Rejected`] where a condition is not met, [`ClientError::Unconfirmed`] where the update may have
    /// been applied, [`ClientError::Unavailable`] where it has not.
    pub fn put(&self, key: &str, text: &str, options: UpdateOptions) -> Result<Updated, ClientError> {
        self.update(key, Some(text.into()), options)
    }

    /// Deletes a key; does nothing where there is none.
    ///
    /// # Errors
    /// As for [`Client::put`].
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
            _ => return Err(AttemptError::NoResponse("something else than keys".into())),
        }
    }
}

/// Keys that come in parts.
#[derive(Default)]
struct Listing {
    entries: Vec<(String, Value)>,
    bytes: usize,
}

impl Listing {
    fn add(&mut self, part: Vec<(String, Value)>) -> Result<(), AttemptError> {
        self.bytes += part.iter().map(|(key, value)| key.len() + value.text.len()).sum::<usize>();
        if self.bytes > MAX_LISTING_BYTES {
            return Err(AttemptError::NoResponse(format!("more than {MAX_LISTING_BYTES} bytes of keys")));
        }
        self.entries.extend(part);
        Ok(())
    }
}
