//! Errors that end a connection of the watch.

use crate::json_objects::StreamError;
use std::io;
use thiserror::Error;

/// Why a connection ended. A new one is opened in any case; the error is only logged.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// Discovery is unreachable, the connection failed, or the response is not HTTP.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The response has a status other than 200.
    #[error("expected status 200, found {0}: check the path and that this address is discovery's")]
    UnexpectedStatus(u16),
    /// The discovery agent ended the response.
    #[error("closed by the discovery agent")]
    Closed,
    /// The response body is not a stream of JSON objects.
    #[error("{0}")]
    MalformedStream(#[from] StreamError),
    /// An object is not a valid endpoint list; no part of it was applied.
    #[error("invalid endpoint list: {0}")]
    InvalidUpdate(settings::Error),
    /// Discovery restarted its version numbers, so the version that this connection resumed from is
    /// meaningless.
    #[error("discovery restarted its version numbers, requesting the complete list")]
    VersionsRestarted,
}
