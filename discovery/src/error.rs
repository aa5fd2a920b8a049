//! Why a connection of the watch ends.

use crate::json_objects::StreamError;
use std::io;
use thiserror::Error;

/// Why a connection ended. Another one is opened in any case; the text is for the log.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// Discovery can't be reached, the connection broke, or the answer is not HTTP.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Another status than 200.
    #[error("expected status 200, found {0}: check the path and that this address is discovery's")]
    UnexpectedStatus(u16),
    /// The agent ended the answer.
    #[error("the agent closed it")]
    Closed,
    /// The body is not a stream of objects.
    #[error("{0}")]
    MalformedStream(#[from] StreamError),
    /// An object is no endpoint list; nothing of it was applied.
    #[error("a list that can't be used: {0}")]
    InvalidUpdate(settings::Error),
    /// Discovery counts its versions anew, so that the version this connection resumed from means nothing any more.
    #[error("discovery counts its versions anew, the whole list is asked for")]
    VersionsRestarted,
}
