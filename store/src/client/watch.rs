//! Watches: the changes of keys with a prefix, over a connection of their own.
use super::connection::{AttemptError, Connection};
use super::{Client, ClientError, Listing};
use crate::command::ChangeSet;
use crate::state::Value;
use crate::threads::spawn;
use crate::wire::{Request, Response, WatchPosition};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Events that wait for the watcher. While the queue is full nothing is received, and the node ends the watch in time.
const QUEUE_CAPACITY: usize = 64;

/// What a watch delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// All keys: those that are known from before and are not among them are gone.
    Snapshot {
        /// Changes after this position follow.
        position: WatchPosition,
        /// Whether there was a position before, and the changes after it are not retained any more.
        compacted: bool,
        /// The keys and their values.
        entries: Vec<(String, Value)>,
    },
    /// What one command changed.
    Changes(ChangeSet),
}

/// A watch; dropping it ends it.
pub struct Watch {
    /// The events, in order.
    pub events: Receiver<WatchEvent>,
    stop: Arc<AtomicBool>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Client {
    /// Watches the keys with a prefix, over a connection of its own: all of them come first, or the changes after a
    /// position that was seen before. No change is skipped and none comes twice, whatever connections break.
    ///
    /// # Errors
    /// [`ClientError::NoNodes`] and [`ClientError::SpawnThread`].
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

/// The watch's thread.
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
            let reason = match self.connection.send(&request).and_then(|()| self.follow()) {
                Ok(()) => return,
                Err(AttemptError::NotSent(reason) | AttemptError::NoResponse(reason)) => reason,
                Err(AttemptError::Rejected(rejection)) => rejection.to_string(),
            };
            tracing::debug!(%reason, "store watch resumed at another node");
            self.connection.switch_node();
            self.connection.back_off();
        }
    }

    /// Delivers events until the connection fails or the watch ends; `Ok` where it ends.
    fn follow(&mut self) -> Result<(), AttemptError> {
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
                    self.progress(revision)?;
                    if self.is_stopped() {
                        return Ok(());
                    }
                    continue;
                }
                Response::NoLeader => {
                    return Err(AttemptError::NoResponse("the node has no leader".into()));
                }
                Response::Rejected(rejection) => return Err(AttemptError::Rejected(rejection)),
                _ => return Err(AttemptError::NoResponse("something else than changes".into())),
            };
            self.connection.reset_backoff();
            if self.sender.send(event).is_err() {
                return Ok(());
            }
        }
    }

    /// Nothing of the watched keys has changed up to a revision.
    fn progress(&mut self, revision: u64) -> Result<(), AttemptError> {
        self.connection.reset_backoff();
        if self.position.is_none_or(|position| position.revision < revision) {
            self.advance_to(revision)?;
        }
        Ok(())
    }

    /// Moves the position to a later revision. An earlier one would be a change that comes twice.
    fn advance_to(&mut self, revision: u64) -> Result<(), AttemptError> {
        match &mut self.position {
            Some(position) if position.revision < revision => {
                position.revision = revision;
                Ok(())
            }
            _ => Err(AttemptError::NoResponse(format!("a change out of order, {revision}"))),
        }
    }
}
