//! Remarks about conversations that could not be read completely.
use std::fmt;
use std::net::SocketAddr;

/// Reason why a conversation could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemarkKind {
    /// The capture started after the conversation with this server.
    StartMissing(SocketAddr),
    /// The client's login is malformed.
    UnreadableLogin,
    /// The statement of an execution was not prepared within the capture, or the parameters of the execution
    /// are malformed.
    UnreadableExecution,
    /// The capture lacks segments of the conversation.
    SegmentsMissing,
}

/// Remark about a conversation that could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remark {
    /// Address of the conversation's client.
    pub client: SocketAddr,
    /// Reason why the conversation could not be read completely.
    pub kind: RemarkKind,
}

impl fmt::Display for Remark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let client = self.client;
        match self.kind {
            RemarkKind::StartMissing(server) => {
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
