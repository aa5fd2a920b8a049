//! The identity of a member: its name, address and incarnation.
use crate::error::Error;
use crate::limits::{MAX_GENERATION, MAX_INCARNATION, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Number of low bits of the incarnation that count the rejoins since a start.
const REJOIN_BITS: u32 = 16;

/// The identity of a router: its name, its address, and an incarnation that increases with each start and
/// each rejoin.
///
/// The names of the fields appear in log lines through `Debug`; datagrams contain only the values.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "UncheckedMember")]
pub struct Member {
    name: String,
    addr: SocketAddrV4,
    incarnation: u64,
    /// Hash of the name, because foca compares it with that of every member for each update.
    #[serde(skip_serializing)]
    name_hash: u128,
}

/// A member as decoded from a datagram, before validation.
#[derive(Deserialize)]
struct UncheckedMember {
    name: String,
    addr: SocketAddrV4,
    incarnation: u64,
}

impl TryFrom<UncheckedMember> for Member {
    type Error = Error;

    fn try_from(unchecked: UncheckedMember) -> Result<Member, Error> {
        Member::checked(&unchecked.name, unchecked.addr, unchecked.incarnation)
    }
}

impl Member {
    /// Creates the identity of a router that starts. `generation` is the start time in milliseconds since the
    /// Unix epoch, or any number that increases with each start of this name.
    ///
    /// # Errors
    /// [`Error::InvalidName`] unless the name has 1 to [`MAX_NAME_BYTES`] letters, digits, `.`, `_` or `-`;
    /// [`Error::InvalidAddress`] unless the address is a loopback address with a port;
    /// [`Error::GenerationTooLarge`] if the generation is above [`MAX_GENERATION`].
    pub fn new(name: &str, addr: SocketAddrV4, generation: u64) -> Result<Member, Error> {
        if generation > MAX_GENERATION {
            return Err(Error::GenerationTooLarge(generation));
        }
        // Rejoins are counted in the bits below the generation, so that a start that rejoins often does not
        // overtake a later start.
        Member::checked(name, addr, generation << REJOIN_BITS)
    }

    fn checked(name: &str, addr: SocketAddrV4, incarnation: u64) -> Result<Member, Error> {
        let permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !name.bytes().all(permitted) {
            // The name in the error is at most as long as a datagram.
            return Err(Error::InvalidName(name.into()));
        }
        if !addr.ip().is_loopback() || addr.port() == 0 {
            return Err(Error::InvalidAddress(addr));
        }
        if incarnation > MAX_INCARNATION {
            return Err(Error::GenerationTooLarge(incarnation));
        }
        let name_hash = xxhash_rust::xxh3::xxh3_128(name.as_bytes());
        Ok(Member { name: name.into(), addr, incarnation, name_hash })
    }

    /// The member's name; unique among the routers of the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The IPv4 loopback address that other members send to.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// The incarnation, which increases with each start and each rejoin: the generation times 65,536, plus
    /// the number of rejoins.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The generation of the start, as configured or as raised above that of an earlier start.
    pub fn generation(&self) -> u64 {
        self.incarnation >> REJOIN_BITS
    }

    /// Whether both members have the same name.
    pub(crate) fn same_name(&self, other: &Member) -> bool {
        self.name_hash == other.name_hash
    }

    /// Returns this member with an incarnation above its own and above `incarnation`.
    pub(crate) fn supersede(&self, incarnation: u64) -> Member {
        Member {
            incarnation: self.incarnation.max(incarnation).saturating_add(1).min(MAX_INCARNATION),
            ..self.clone()
        }
    }

    /// Whether this member supersedes another one with the same name. Equal incarnations are ordered by
    /// address, so that every router decides the same way.
    pub(crate) fn is_later_than(&self, other: &Member) -> bool {
        (self.incarnation, self.addr) > (other.incarnation, other.addr)
    }
}

impl foca::Identity for Member {
    type Addr = u128;

    fn renew(&self) -> Option<Member> {
        Some(self.supersede(0))
    }

    fn addr(&self) -> u128 {
        self.name_hash
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.is_later_than(other)
    }
}
