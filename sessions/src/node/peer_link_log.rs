//! The log of connections to one peer: they are attempted many times a second, and only what is new is logged.
use crate::machine::{Instance, RejectionReason};

/// How an attempt to send commits to a peer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The peer's address refused the connection.
    Refused,
    /// The peer can't be reached; the error's text.
    Unreachable(String),
    /// The peer does not accept our commits.
    Rejected(RejectionReason),
    /// The connection has ended.
    Closed,
    /// The connection has failed; the error's text.
    Failed(String),
}

/// Logs the ends that differ from the one before.
pub(super) struct PeerLinkLog {
    peer: Instance,
    last: Option<LinkEnd>,
}

impl PeerLinkLog {
    pub(super) fn new(peer: Instance) -> PeerLinkLog {
        PeerLinkLog { peer, last: None }
    }

    pub(super) fn log(&mut self, end: LinkEnd) {
        if self.last.as_ref() == Some(&end) {
            return;
        }
        let peer = self.peer;
        match &end {
            LinkEnd::Refused => tracing::warn!(peer, "session peer down, its address refuses connections"),
            LinkEnd::Unreachable(error) => tracing::warn!(peer, %error, "session peer unreachable"),
            LinkEnd::Rejected(reason) => tracing::warn!(peer, ?reason, "commits rejected by session peer"),
            LinkEnd::Closed => tracing::info!(peer, "session peer disconnected"),
            LinkEnd::Failed(error) => tracing::warn!(peer, %error, "session peer disconnected"),
        }
        self.last = Some(end);
    }
}
