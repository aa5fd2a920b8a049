//! Changes of membership, and their delivery to subscribers over bounded channels.
use crate::member::Member;
use crossbeam_channel::{Sender, TrySendError};

/// What a subscriber receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// All members that are alive, this router too: the first message, and again whenever the subscriber fell behind.
    Snapshot(Vec<Member>),
    /// The member is alive, or has rejoined under a higher incarnation.
    Up(Member),
    /// The member has left or failed.
    Down(Member),
    /// The others held this router to be down; it is back under this incarnation.
    Rejoined(Member),
    /// A later start took this router's name. The last message.
    Superseded(Member),
    /// This router has left. The last message.
    Left,
    /// The socket failed. The last message.
    Failed,
}

struct Subscriber {
    sender: Sender<Change>,
    /// It is new, or its channel was full: the whole list comes next.
    needs_snapshot: bool,
}

/// All subscribers. One that is gone is removed when something is sent to it.
#[derive(Default)]
pub(crate) struct Subscribers(Vec<Subscriber>);

impl Subscribers {
    /// Adds one that has received nothing yet.
    pub(crate) fn add(&mut self, sender: Sender<Change>) {
        self.0.push(Subscriber { sender, needs_snapshot: true });
    }

    /// Sends to all that wait for no snapshot; one whose channel is full will get a snapshot instead.
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

    /// Sends the whole list to those that need it and have room for it.
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

    /// Sends the last message. A subscriber whose channel is full sees the channel's end.
    pub(crate) fn finish(&self, last: &Change) {
        for subscriber in &self.0 {
            _ = subscriber.sender.try_send(last.clone());
        }
    }
}
