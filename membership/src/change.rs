//! Membership changes, and their delivery to subscribers over bounded channels.
use crate::member::Member;
use crossbeam_channel::{Sender, TrySendError};

/// A membership change, as delivered to subscribers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// All live members, including this router. It is the first message, and is sent again after a
    /// subscriber's channel was full.
    Snapshot(Vec<Member>),
    /// The member is alive, or has rejoined with a higher incarnation.
    Up(Member),
    /// The member has left or failed.
    Down(Member),
    /// Other members had declared this router down; it has rejoined with this incarnation.
    Rejoined(Member),
    /// A later start uses this router's name. This is the last message.
    Superseded(Member),
    /// This router has left the fleet. This is the last message.
    Left,
    /// The socket failed. This is the last message.
    Failed,
}

struct Subscriber {
    sender: Sender<Change>,
    /// The subscriber is new or its channel was full, so it must receive a snapshot next.
    needs_snapshot: bool,
}

/// All subscribers. A subscriber whose channel is disconnected is removed at the next send.
#[derive(Default)]
pub(crate) struct Subscribers(Vec<Subscriber>);

impl Subscribers {
    /// Adds a subscriber, which receives a snapshot first.
    pub(crate) fn add(&mut self, sender: Sender<Change>) {
        self.0.push(Subscriber { sender, needs_snapshot: true });
    }

    /// Sends a change to all subscribers that are not waiting for a snapshot. If a subscriber's channel is
    /// full, it receives a snapshot later instead.
    pub(crate) fn publish(&mut self, change: &Change) {
        self.0.retain_mut(|subscriber| {
            if subscriber.needs_snapshot {
                return true;
            }
            match subscriber.sender.try_send(change.clone()) {
                Ok(()) => true,
                Err(TrySendError::Full(_)) => {
                    subscriber.needs_snapshot = true;
                    true
                }
                Err(TrySendError::Disconnected(_)) => false,
            }
        });
    }

    pub(crate) fn any_needs_snapshot(&self) -> bool {
        self.0.iter().any(|subscriber| subscriber.needs_snapshot)
    }

    /// Sends a snapshot to the subscribers that need one, if their channels have capacity.
    pub(crate) fn send_snapshot(&mut self, members: &[Member]) {
        self.0.retain_mut(|subscriber| {
            if !subscriber.needs_snapshot {
                return true;
            }
            match subscriber.sender.try_send(Change::Snapshot(members.to_vec())) {
                Ok(()) => {
                    subscriber.needs_snapshot = false;
                    true
                }
                Err(TrySendError::Full(_)) => true,
                Err(TrySendError::Disconnected(_)) => false,
            }
        });
    }

    /// Sends the last change. A subscriber whose channel is full only sees the channel disconnect.
    pub(crate) fn finish(&self, last: &Change) {
        for subscriber in &self.0 {
            _ = subscriber.sender.try_send(last.clone());
        }
    }
}
