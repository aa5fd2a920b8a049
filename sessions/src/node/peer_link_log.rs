//! Logs the connection attempts to one peer. There are many attempts a second, so only changes are logged.
use crate::machine::{Instance, RejectionReason};

/// How a connection attempt, or the connection that it opened, ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The peer's address refused the connection.
    Refused,
    /// The peer can't be reached; contains the error's text.
    Unreachable(String),
    /// The peer rejected this instance's commits.
    Rejected(RejectionReason),
    /// The connection was closed.
    Closed,
    /// The connection failed; contains the error's text.
    Failed(String),
}

/// Logs the end of a connection attempt if it differs from the previous one.
pub(super) struct PeerConnectionLog {
    peer: Instance,
    last: Option<Outcome>,
}

impl PeerConnectionLog {
    pub(super) fn new(peer: Instance) -> PeerConnectionLog {
        PeerConnectionLog { peer, last: None }
    }

    pub(super) fn log(&mut self, end: Outcome) {
        if self.last.as_ref() == Some(&end) {
            return;
        }
        let peer = self.peer;
        match &end {
            Outcome::Refused => tracing::warn!(peer, "session peer down, its address refuses connections"),
            Outcome::Unreachable(error) => tracing::warn!(peer, %error, "session peer unreachable"),
            Outcome::Rejected(reason) => tracing::warn!(peer, ?reason, "commits rejected by session peer"),
            Outcome::Closed => tracing::info!(peer, "session peer disconnected"),
            Outcome::Failed(error) => tracing::warn!(peer, %error, "session peer disconnected"),
        }
        self.last = Some(end);
    }
}
