//! Messages between routers and the nodes of the store.
//!
//! A connection starts with a hello each way (magic `DVFL` and a protocol version, six bytes). Messages follow in the
//! store's frames: a length of four bytes, little-endian, then the message in the postcard format. Postcard encodes
//! variants by their position and fields by their order, so both are part of the protocol; names are not.
use serde::{Deserialize, Serialize};
use settings::fleet::Version;
use std::io;
use std::net::TcpStream;
use std::time::Duration;
use store::wire::{Protocol, WireError};
pub use store::wire::{receive, send};

const FLEET_PROTOCOL: Protocol = Protocol { magic: *b"DVFL", version: 2 };
/// The most bytes of a document's text in one [`Response::DocumentPart`].
pub const MAX_PART_BYTES: usize = 256 << 10;
/// The leader's number in [`Response::NotLeader`] where the node knows of no leader. Nodes are numbered from 1.
pub const UNKNOWN_LEADER: u64 = 0;

/// A router's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A periodic report. The leader answers it with [`Response::Report`].
    Report {
        /// What the router's quota client reports.
        quota_report: quotas::Report,
        /// Which version the router routes under, for the audit.
        version_report: audit::VersionReport,
    },
    /// Asks for the fleet document that the node has, whether or not it is the leader.
    Document,
}

/// A node's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// After the hello: the node accepts the connection.
    Welcome {
        /// The node's number.
        node: u64,
    },
    /// After the hello: the node has as many connections as it may, and closes this one.
    Busy {
        /// How many connections that is.
        max_connections: u64,
    },
    /// To a report: this node is not the leader, or could not confirm that it is.
    NotLeader {
        /// The node that it believes to be the leader, or [`UNKNOWN_LEADER`].
        leader: u64,
    },
    /// To a report: what the leader decided.
    Report {
        /// The quota allocator's response.
        quota_response: quotas::GrantResponse,
        /// What the audit demands of the router.
        audit_directive: audit::Directive,
    },
    /// To [`Request::Document`]: a part of the text. Where the store has no document, one empty part of version 0.
    DocumentPart {
        /// The document's version, the same in all parts.
        version: Version,
        /// Bytes of the text. A part may end within a character.
        bytes: Vec<u8>,
        /// Whether this is the last part.
        is_last: bool,
    },
}

/// Sends this protocol's hello.
///
/// # Errors
/// Where the connection fails or the write times out.
pub fn send_hello(socket: &TcpStream) -> io::Result<()> {
    store::wire::send_hello(socket, FLEET_PROTOCOL)
}

/// Receives the other side's hello and checks it, within `timeout`.
///
/// # Errors
/// Where the connection fails, nothing comes in time, or the other side speaks another protocol or version.
pub fn receive_hello(socket: &TcpStream, timeout: Duration) -> Result<(), WireError> {
    store::wire::receive_hello(socket, FLEET_PROTOCOL, timeout)
}
