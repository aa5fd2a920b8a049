//! A member's identity: who a router is, to the others.
use crate::error::Error;
use crate::limits::{MAX_GENERATION, MAX_INCARNATION, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The low bits of the incarnation, which count a start's rejoins.
const REJOIN_BITS: u32 = 16;

/// A router: its name, its address, and an incarnation that rises with each start and each rejoin.
///
/// Field names stand in log lines, by way of `Debug`; the datagrams hold the values alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "UncheckedMember")]
pub struct Member {
    name: String,
    addr: SocketAddrV4,
    incarnation: u64,
    /// The name hashed: foca compares it with every member for every update.
    #[serde(skip_serializing)]
    name_hash: u128,
}

/// A member as a datagram holds it, not checked yet.
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
    /// A member at its start. `generation` is the start time in milliseconds since 1970, or any number that rises
    /// with each start of this name.
    ///
    /// # Errors
    /// [`Error::InvalidName`] unless the name has 1 to [`MAX_NAME_BYTES`] letters, digits, `.`, `_` or `-`;
    /// [`Error::InvalidAddress`] unless the address is on loopback with a port; [`Error::GenerationTooLarge`] where
    /// the generation is above [`MAX_GENERATION`].
    pub fn new(name: &str, addr: SocketAddrV4, generation: u64) -> Result<Member, Error> {
        if generation > MAX_GENERATION {
            return Err(Error::GenerationTooLarge(generation));
        }
        // Rejoins count below the generation: a start that rejoins often does not overtake a later start.
        Member::checked(name, addr, generation << REJOIN_BITS)
    }

    fn checked(name: &str, addr: SocketAddrV4, incarnation: u64) -> Result<Member, Error> {
        let permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !name.bytes().all(permitted) {
            // A name from a datagram is at most as long as the datagram.
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

    /// The name; one router of the fleet has it at a time.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that others send to: IPv4, on loopback.
    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Rises with each start and each rejoin: the generation times 65,536, plus the rejoins since.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of the start, as it was given or as it had to be raised past an earlier one.
    pub fn generation(&self) -> u64 {
        self.incarnation >> REJOIN_BITS
    }

    /// Whether both have one name.
    pub(crate) fn same_name(&self, other: &Member) -> bool {
        self.name_hash == other.name_hash
    }

    /// The same router under an incarnation that is past both its own and this one.
    pub(crate) fn supersede(&self, incarnation: u64) -> Member {
        Member {
            incarnation: self.incarnation.max(incarnation).saturating_add(1).min(MAX_INCARNATION),
            ..self.clone()
        }
    }

    /// Whether this is the later holder of a name that both have. Equal incarnations are decided by address, the
    /// same way at every router.
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
