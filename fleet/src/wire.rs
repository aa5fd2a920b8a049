//! The messages between routers and the nodes of the store.
//!
//! Each side first sends a hello (magic number `DVFL` and protocol version, six bytes). Messages follow in
//! the store's frames: a length of four bytes, little-endian, then the message in the postcard format.
//! Postcard encodes variants by their index and fields by their order, so both are part of the protocol;
//! names are not.
use serde::{Deserialize, Serialize};
use settings::fleet::Version;
use std::io;
use std::net::TcpStream;
use std::time::Duration;
use store::wire::{Protocol, WireError};
pub use store::wire::{receive, send};

const FLEET_PROTOCOL: Protocol = Protocol { magic: *b"DVFL", version: 2 };
/// Maximum length of the document text in one [`Response::DocumentPart`], in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;
/// The leader's id in [`Response::NotLeader`] if the node knows no leader. Node ids start at 1.
pub const UNKNOWN_LEADER: u64 = 0;

/// A request from a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A periodic report. The leader responds with [`Response::Report`].
    Report {
        /// The report of the router's quota client.
        quota_report: quotas::Report,
        /// The configuration version that the router uses, for the audit.
        version_report: audit::VersionReport,
    },
    /// Requests the fleet document in the state of this node, which need not be the leader.
    Document,
}

/// A response from a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Sent after the hello: the node accepts the connection.
    Welcome {
        /// The id of the node that accepts the connection.
        node: u64,
    },
    /// Sent after the hello: the node has the maximum number of connections, and closes this one.
    Busy {
        /// The maximum number of connections.
        max_connections: u64,
    },
    /// Response to a report: this node is not the leader, or could not confirm that it is.
    NotLeader {
        /// The node that this node believes to be the leader, or [`UNKNOWN_LEADER`].
        leader: u64,
    },
    /// Response to a report: the leader's decisions.
    Report {
        /// The response of the quota allocator.
        quota_response: quotas::GrantResponse,
        /// The audit's directive to the router.
        audit_directive: audit::Directive,
    },
    /// Response to [`Request::Document`]: a part of the document's text. If the store has no document, a
    /// single empty part of version 0 is sent.
    DocumentPart {
        /// The document's version, the same in all parts.
        version: Version,
        /// A part of the text. A part may end within a character.
        bytes: Vec<u8>,
        /// Whether this is the last part of the document's text.
        is_last: bool,
    },
}

/// Sends this protocol's hello.
///
/// # Errors
/// Fails if the connection fails or the write times out.
pub fn send_hello(socket: &TcpStream) -> io::Result<()> {
    store::wire::send_hello(socket, FLEET_PROTOCOL)
}

/// Receives and checks the peer's hello within `timeout`.
///
/// # Errors
/// Fails if the connection fails, no hello is received in time, or the other side uses another protocol or
/// version.
pub fn receive_hello(socket: &TcpStream, timeout: Duration) -> Result<(), WireError> {
    store::wire::receive_hello(socket, FLEET_PROTOCOL, timeout)
}
