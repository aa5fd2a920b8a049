//! Watches of the keys with a prefix, each over its own connection.
use super::connection::{AttemptError, Connection};
use super::{Client, ClientError, Listing};
use crate::command::ChangeSet;
use crate::state::Value;
use crate::threads::spawn;
use crate::wire::{Request, Response, WatchPosition};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum number of events queued for the application. While the queue is full nothing is received from the
/// node, which eventually ends the watch.
const QUEUE_CAPACITY: usize = 64;

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// All watched keys. Previously known keys that are not in the snapshot have been deleted.
    Snapshot {
        /// The position after which changes follow.
        position: WatchPosition,
        /// Whether the watch had a position, and the changes after it are no longer retained.
        compacted: bool,
        /// All watched keys and their values.
        entries: Vec<(String, Value)>,
    },
    /// The changes of watched keys by one command.
    Changes(ChangeSet),
}

/// A watch, which ends when it is dropped.
pub struct Watch {
    /// The events, in the order of their revisions.
    pub events: Receiver<WatchEvent>,
    stop: Arc<AtomicBool>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Client {
    /// Watches the keys with a prefix, over a separate connection. The first events are a snapshot of all
    /// keys, or the changes after `after` if a position is given. No change is skipped or delivered twice,
    /// even if connections fail.
    ///
    /// # Errors
    /// [`ClientError::NoNodes`] if no node is configured, [`ClientError::SpawnThread`] if no thread can be
    /// started.
    pub fn watch(&self, prefix: &str, after: Option<WatchPosition>) -> Result<Watch, ClientError> {
        if self.settings.nodes.is_empty() {
            return Err(ClientError::NoNodes);
        }
        let (sender, events) = bounded(QUEUE_CAPACITY);
        let stop = Arc::new(AtomicBool::new(false));
        let mut watcher = Watcher {
            connection: Connection::new(self.settings.clone()),
            prefix: prefix.into(),
            position: after,
            sender,
            stop: stop.clone(),
        };
        spawn("store-watch", move || watcher.run())?;
        Ok(Watch { events, stop })
    }
}

/// The state of a watch's thread.
struct Watcher {
    connection: Connection,
    prefix: String,
    position: Option<WatchPosition>,
    sender: Sender<WatchEvent>,
    stop: Arc<AtomicBool>,
}

impl Watcher {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn run(&mut self) {
        while !self.is_stopped() {
            let request = Request::Watch { prefix: self.prefix.clone(), after: self.position };
            let reason = match self.connection.send(&request).and_then(|()| self.deliver_events()) {
                Ok(()) => return,
                Err(AttemptError::NotSent(reason) | AttemptError::NoResponse(reason)) => reason,
                Err(AttemptError::Rejected(rejection)) => rejection.to_string(),
            };
            tracing::debug!(%reason, "store watch interrupted, resuming at another node");
            self.connection.switch_node();
            self.connection.back_off();
        }
    }

    /// Delivers events until the connection fails or the watch ends. Returns `Ok` if it ends.
    fn deliver_events(&mut self) -> Result<(), AttemptError> {
        let mut listing = Listing::default();
        loop {
            let event = match self.connection.receive()? {
                Response::Snapshot { position, compacted, entries, last } => {
                    listing.add(entries)?;
                    if !last {
                        continue;
                    }
                    self.position = Some(position);
                    let entries = std::mem::take(&mut listing).entries;
                    WatchEvent::Snapshot { position, compacted, entries }
                }
                Response::Changes(changes) => {
                    self.advance_to(changes.revision)?;
                    WatchEvent::Changes(changes)
                }
                Response::Progress { revision } => {
                    self.handle_progress(revision)?;
                    if self.is_stopped() {
                        return Ok(());
                    }
                    continue;
                }
                Response::NoLeader => {
                    return Err(AttemptError::NoResponse("the node knows no leader".into()));
                }
                Response::Rejected(rejection) => return Err(AttemptError::Rejected(rejection)),
                _ => return Err(AttemptError::NoResponse("expected changes, received other data".into())),
            };
            self.connection.reset_backoff();
            if self.sender.send(event).is_err() {
                return Ok(());
            }
        }
    }

    /// Handles a progress message: no watched key has changed up to `revision`.
    fn handle_progress(&mut self, revision: u64) -> Result<(), AttemptError> {
        self.connection.reset_backoff();
        if self.position.is_none_or(|position| position.revision < revision) {
            self.advance_to(revision)?;
        }
        Ok(())
    }

    /// Advances the position to `revision`. A revision that is not later than the position would be a
    /// duplicate change, and is an error.
    fn advance_to(&mut self, revision: u64) -> Result<(), AttemptError> {
        match &mut self.position {
            Some(position) if position.revision < revision => {
                position.revision = revision;
                Ok(())
            }
            _ => Err(AttemptError::NoResponse(format!("change out of order at revision {revision}"))),
        }
    }
}
