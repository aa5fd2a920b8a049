//! Reads HTTP/1.1 responses from any byte stream: the head, then the body incrementally. The body may be
//! chunked, have a `Content-Length`, or last until the connection closes.
//!
//! `httparse` parses heads and chunk sizes. This package adds the state between two reads: after
//! [`std::io::ErrorKind::WouldBlock`], reading of a body continues where it stopped. The chunk decoders on
//! crates.io (`chunked_transfer` among them) lose the part of a chunk size that they have read when a read
//! fails, and accept size lines of any length.
//!
//! Reading a malformed response fails with [`std::io::ErrorKind::InvalidData`]; the source of the error is a
//! [`MalformedResponse`].
mod body;
mod chunked;
mod error;
mod response;

pub use body::Body;
pub use error::MalformedResponse;
pub use response::{MAX_HEAD_BYTES, Response};
