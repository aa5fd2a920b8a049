//! Conversations of a capture that could not be read in full.
use std::fmt;
use std::net::SocketAddr;

/// Why a conversation could not be read in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemarkKind {
    /// The capture began after the conversation with this server.
    BeginMissing(SocketAddr),
    /// The client's login is malformed.
    UnreadableLogin,
    /// An execution's statement was not prepared in the capture, or its parameters are malformed.
    UnreadableExecution,
    /// Segments were not captured.
    SegmentsMissing,
}

/// A conversation that could not be read in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remark {
    /// The client of the conversation.
    pub client: SocketAddr,
    /// The reason.
    pub kind: RemarkKind,
}

impl fmt::Display for Remark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let client = self.client;
        match self.kind {
            RemarkKind::BeginMissing(server) => {
                write!(f, "{client} to {server}: the capture begins within the conversation")
            }
            RemarkKind::UnreadableLogin => write!(f, "{client}: the login can't be read"),
            RemarkKind::UnreadableExecution => write!(f, "{client}: an execution can't be read"),
            RemarkKind::SegmentsMissing => {
                write!(f, "{client}: segments are missing; what came behind them is left out")
            }
        }
    }
}
