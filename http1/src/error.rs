//! Errors for malformed responses.
use std::io;

/// Why a response is malformed; the source of an [`io::Error`] of the kind
/// [`io::ErrorKind::InvalidData`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedResponse {
    /// The connection ended within the head, or the head is longer than [`crate::MAX_HEAD_BYTES`].
    #[error("the answer's head is cut off or too long")]
    IncompleteHead,
    /// The status line or a header is malformed, or there are too many headers.
    #[error("the answer's head: {0}")]
    Head(httparse::Error),
    /// The value of `Content-Length` is not a valid length.
    #[error("expected a length, found '{0}'")]
    ContentLength(String),
    /// The line with a chunk's size is longer than accepted.
    #[error("a chunk's size is too long")]
    ChunkSizeTooLong,
    /// The line with a chunk's size has no valid size; the field holds its bytes, escaped.
    #[error("expected a chunk's size, found '{0}'")]
    ChunkSize(String),
    /// A chunk is not followed by an end of line.
    #[error("a chunk does not end where its size says")]
    ChunkEnd,
}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
