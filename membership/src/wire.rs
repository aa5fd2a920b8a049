//! The datagrams. Each has a header of [`HEADER_BYTES`] (magic number in 2 bytes, version and kind in 1 byte
//! each, the hash of the fleet's name in 8 bytes, big-endian), followed by one body.
//!
//! The body is the SWIM core's gossip or a [`JoinMessage`]. A datagram is decoded and checked completely
//! before it is passed to the core. Bodies are encoded with postcard, which writes values in declaration
//! order, without names: fields and variants may be renamed, but not reordered.
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::member::Member;
use crate::member_record::{ListEntry, MemberRecord};
use foca::Header;
use serde::{Deserialize, Serialize};

/// Size of a datagram's header in bytes.
pub const HEADER_BYTES: usize = 12;
const MAGIC: [u8; 2] = *b"dm";
const PROTOCOL_VERSION: u8 = 1;
const KIND_GOSSIP: u8 = 0;
const KIND_JOIN: u8 = 1;
/// Initial capacity of a datagram's buffer: the header and a short body.
const INITIAL_DATAGRAM_CAPACITY: usize = 128;

/// Why a datagram is rejected. [`Counters`](crate::Counters) has a counter for each reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The datagram is longer than permitted, or shorter than the header.
    WrongSize,
    /// The datagram does not begin with the magic number.
    WrongMagic,
    /// The datagram has another protocol version.
    WrongVersion,
    /// The datagram belongs to another fleet.
    WrongCluster,
    /// The body can't be decoded, or is followed by more bytes.
    Malformed,
}

/// A gossip datagram of the core. It is decoded before the core reads it, so that its contents can be checked
/// and bounded.
pub struct GossipDatagram<'a> {
    /// The core's header: sender, receiver and message.
    pub header: Header<Member>,
    /// The updates about members.
    pub updates: Vec<MemberRecord>,
    /// The encoded body, as passed to the core.
    pub body: &'a [u8],
}

/// Messages besides the core's gossip: they join a router to the fleet, and read member lists page by page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinMessage {
    /// Sent to an address at which the name of the router is not known yet.
    JoinRequest {
        /// The router that sends the message.
        from: Member,
    },
    /// The response to a join request: the router at that address, and the member that it knows under the
    /// requester's name.
    JoinReply {
        /// The router that sends the message.
        from: Member,
        /// The member with the requester's name in the sender's list, if any.
        known: Option<Member>,
    },
    /// Requests a page of the receiver's member list, with the names after `after`. The page has the same
    /// `request_id`.
    PageRequest {
        /// The router that sends the message.
        from: Member,
        /// Identifies the request; the page in response has the same value.
        request_id: u64,
        /// The last name that the sender has read; `None` to request the first page.
        after: Option<String>,
    },
    /// A page of the sender's member list, ordered by name.
    Page {
        /// The router that sends the message.
        from: Member,
        /// The `request_id` of the page request that this page responds to.
        request_id: u64,
        /// The members that this page lists.
        entries: Vec<ListEntry>,
        /// Whether the list continues after this page.
        more: bool,
    },
}

/// A decoded datagram between routers.
pub enum Datagram<'a> {
    /// A gossip datagram of the SWIM core.
    Gossip(GossipDatagram<'a>),
    /// A message that joins a router or reads a member list.
    Join(JoinMessage),
}

/// The hash of a fleet's name, as sent in the header.
pub fn cluster_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn header(kind: u8, cluster_hash: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_DATAGRAM_CAPACITY);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[PROTOCOL_VERSION, kind]);
    bytes.extend_from_slice(&cluster_hash.to_be_bytes());
    bytes
}

/// Encodes a datagram with the core's gossip as its body.
pub fn encode_gossip(cluster_hash: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = header(KIND_GOSSIP, cluster_hash);
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a datagram with a join message; `None` if the message is too long for one datagram.
pub fn encode_join_message(cluster_hash: u64, message: &JoinMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, header(KIND_JOIN, cluster_hash)).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram; bytes after the end of the body make it malformed.
///
/// # Errors
/// The reason why the datagram is rejected.
pub fn decode(cluster_hash: u64, bytes: &[u8]) -> Result<Datagram<'_>, RejectReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectReason::WrongSize);
    }
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(RejectReason::WrongSize);
    };
    if header[..2] != MAGIC {
        return Err(RejectReason::WrongMagic);
    }
    if header[2] != PROTOCOL_VERSION {
        return Err(RejectReason::WrongVersion);
    }
    if header[4..] != cluster_hash.to_be_bytes() {
        return Err(RejectReason::WrongCluster);
    }
    match header[3] {
        KIND_GOSSIP => decode_gossip(body).map(Datagram::Gossip),
        KIND_JOIN => decode_join_message(body).map(Datagram::Join),
        _ => Err(RejectReason::Malformed),
    }
}

fn malformed(_: postcard::Error) -> RejectReason {
    RejectReason::Malformed
}

/// Decodes the core's header, then the number of updates (2 bytes, big-endian) and the updates. A message
/// without updates may end after the header.
fn decode_gossip(body: &[u8]) -> Result<GossipDatagram<'_>, RejectReason> {
    let (header, mut rest) = postcard::take_from_bytes(body).map_err(malformed)?;
    let mut updates = Vec::new();
    if let Some((count, records)) = rest.split_at_checked(2) {
        rest = records;
        for _ in 0..u16::from_be_bytes([count[0], count[1]]) {
            let (update, after) = postcard::take_from_bytes(rest).map_err(malformed)?;
            updates.push(update);
            rest = after;
        }
    }
    // Routers do not send foca's custom broadcasts, so remaining bytes make the datagram malformed.
    if !rest.is_empty() {
        return Err(RejectReason::Malformed);
    }
    Ok(GossipDatagram { header, updates, body })
}

fn decode_join_message(body: &[u8]) -> Result<JoinMessage, RejectReason> {
    match postcard::take_from_bytes(body).map_err(malformed)? {
        (message, []) => Ok(message),
        _ => Err(RejectReason::Malformed),
    }
}
