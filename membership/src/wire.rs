//! The datagrams: a header of [`HEADER_BYTES`] (magic in 2 bytes, version and kind in 1 each, the hash of the fleet's name
//! in 8, big-endian), then one body.
//!
//! The body is the core's own gossip, or a [`JoinMessage`]. A datagram is read whole and checked before the core sees
//! it. Bodies are postcard, which writes values in the order of declaration and no names: fields and variants may be
//! renamed, but not reordered.
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::member::Member;
use crate::member_record::{ListEntry, MemberRecord};
use foca::Header;
use serde::{Deserialize, Serialize};

/// Bytes before the body.
pub const HEADER_BYTES: usize = 12;
const MAGIC: [u8; 2] = *b"dm";
const PROTOCOL_VERSION: u8 = 1;
const KIND_GOSSIP: u8 = 0;
const KIND_JOIN: u8 = 1;
/// Room for the header and a short body.
const USUAL_DATAGRAM_BYTES: usize = 128;

/// Why a datagram is rejected; [`Counters`](crate::Counters) has a counter for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It is longer than a datagram may be, or shorter than the header.
    WrongSize,
    /// It does not begin as a datagram of this package does.
    WrongMagic,
    /// It is of another version of the protocol.
    WrongVersion,
    /// It is of another fleet.
    WrongCluster,
    /// Its body cannot be read, or goes on behind its end.
    Malformed,
}

/// What the core's datagram holds, read before the core reads it so that nothing unbounded reaches it.
pub struct GossipDatagram<'a> {
    /// The core's header: sender, receiver and message.
    pub header: Header<Member>,
    /// The updates of members.
    pub updates: Vec<MemberRecord>,
    /// The body as it was received, for the core.
    pub body: &'a [u8],
}

/// What routers send besides the core's datagrams: how a start joins the fleet, and how lists are read page by page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinMessage {
    /// Sent to an address of which no name is known yet.
    JoinRequest {
        /// The sender.
        from: Member,
    },
    /// The answer: who listens at that address, and what it knows under the requester's name.
    JoinReply {
        /// The sender.
        from: Member,
        /// Who has the requester's name, by the sender's list.
        known: Option<Member>,
    },
    /// Asks for what the receiver knows of the names past `after`. The page carries the same `request_id`.
    PageRequest {
        /// The sender.
        from: Member,
        /// Identifies the request.
        request_id: u64,
        /// The last name that the sender has read; `None` for the first page.
        after: Option<String>,
    },
    /// What is known, in the order of names; `more` when the list goes on.
    Page {
        /// The sender.
        from: Member,
        /// The request's id.
        request_id: u64,
        /// The members.
        entries: Vec<ListEntry>,
        /// Whether the list goes on.
        more: bool,
    },
}

/// A datagram that was read.
pub enum Datagram<'a> {
    /// The core's own gossip.
    Gossip(GossipDatagram<'a>),
    /// A message of this package.
    Join(JoinMessage),
}

/// The hash of a fleet's name, as sent in the header.
pub fn cluster_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn header(kind: u8, cluster_hash: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(USUAL_DATAGRAM_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[PROTOCOL_VERSION, kind]);
    bytes.extend_from_slice(&cluster_hash.to_be_bytes());
    bytes
}

/// A datagram around what the core wants sent.
pub fn encode_gossip(cluster_hash: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = header(KIND_GOSSIP, cluster_hash);
    bytes.extend_from_slice(body);
    bytes
}

/// A datagram with this message; `None` when the message is too long for one datagram.
pub fn encode_join_message(cluster_hash: u64, message: &JoinMessage) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, header(KIND_JOIN, cluster_hash)).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Reads all of a datagram; bytes that are left over make it malformed.
///
/// # Errors
/// The [`RejectReason`].
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

/// The core's header, then the number of updates in 2 bytes, big-endian, and the updates; a message without updates may
/// end behind the header.
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
    // Nobody sends foca's custom broadcasts here: what is left over is not ours.
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
