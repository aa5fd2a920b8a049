//! Reading of HTTP/1.1 responses from any byte stream: the head, then the body as it comes, whether it is chunked, of a
//! stated length, or up to the end of the connection.
//!
//! `httparse` parses heads and the sizes of chunks. What is left by hand is the state between two reads: a body that was
//! interrupted by [`std::io::ErrorKind::WouldBlock`] goes on where it stopped. The chunk decoders of the registry
//! (`chunked_transfer` among them) lose the part of a size that they have read when a read fails, and accept size lines
//! of any length.
//!
//! Malformed responses fail with [`std::io::ErrorKind::InvalidData`]; [`MalformedResponse`] is the source of the error.
mod body;
mod chunked;
mod error;
mod response;

pub use body::Body;
pub use error::MalformedResponse;
pub use response::{MAX_HEAD_BYTES, Response};
