//! Why a response is malformed.
use std::io;

/// Why a response is malformed. It stands in an [`io::Error`] of the kind [`io::ErrorKind::InvalidData`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedResponse {
    /// The connection ended within the head, or the head is longer than [`crate::MAX_HEAD_BYTES`].
    #[error("the answer's head is cut off or too long")]
    IncompleteHead,
    /// The status line or a header is malformed, or there are too many headers.
    #[error("the answer's head: {0}")]
    Head(httparse::Error),
    /// The value of `Content-Length` is no length.
    #[error("expected a length, found '{0}'")]
    ContentLength(String),
    /// A line with a chunk's size is longer than any that is accepted.
    #[error("a chunk's size is too long")]
    ChunkSizeTooLong,
    /// A line with a chunk's size has none; its bytes are escaped.
    #[error("expected a chunk's size, found '{0}'")]
    ChunkSize(String),
    /// No end of line follows a chunk.
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
