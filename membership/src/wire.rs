//! The datagrams: a head of [`HEAD`] bytes (mark, version, kind, the fleet's name hashed), then one body.
use crate::machine::Known;
use crate::member::Member;
use crate::settings::MAX_DATAGRAM;
use foca::{Header, State};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Bytes before the body.
pub(crate) const HEAD: usize = 12;
const MARK: [u8; 2] = *b"dm";
const VERSION: u8 = 1;

/// Why a datagram is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    Size,
    Mark,
    Version,
    Cluster,
    Malformed,
}

/// What foca's datagram holds, read before foca does so that nothing unbounded reaches it.
pub(crate) struct Gossip {
    pub header: Header<Member>,
    pub updates: Vec<Known>,
}

/// What is said besides foca's own datagrams.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Talk {
    /// Sent to an address of which no name is known yet.
    Hello(Member),
    /// The answer: who hears here, and what is known under the greeter's name.
    Here(Member, Option<Member>),
    /// Asks for what the other knows of names past this one. The number comes back with the page.
    Ask { from: Member, number: u64, past: Option<String> },
    /// What is known, in the order of names; `more` when there is more.
    Page { from: Member, number: u64, entries: Vec<(Member, u16, Standing)>, more: bool },
}

/// A member's state on a page.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum Standing {
    Alive,
    Suspect,
    Down,
}

impl Standing {
    pub fn of(known: &Known) -> Standing {
        match known.state() {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Down,
        }
    }

    pub fn known(self, member: Member, incarnation: u16) -> Known {
        let state = match self {
            Standing::Alive => State::Alive,
            Standing::Suspect => State::Suspect,
            Standing::Down => State::Down,
        };
        Known::new(member, incarnation, state)
    }
}

/// A datagram's body.
pub(crate) enum Body<'a> {
    Gossip(Gossip, &'a [u8]),
    Talk(Talk),
}

/// A fleet's name as it stands in the head.
pub(crate) fn cluster(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn head(kind: u8, cluster: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&[VERSION, kind]);
    bytes.extend_from_slice(&cluster.to_be_bytes());
    bytes
}

pub(crate) fn gossip(cluster: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = head(0, cluster);
    bytes.extend_from_slice(body);
    bytes
}

/// None when it is too long for one datagram.
pub(crate) fn talk(cluster: u64, talk: &Talk) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(talk, head(1, cluster)).ok()?;
    (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
}

/// Reads all of a datagram, and refuses anything that is left over.
pub(crate) fn read(cluster: u64, bytes: &[u8]) -> Result<Body<'_>, Refusal> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Refusal::Size);
    }
    let Some((head, body)) = bytes.split_at_checked(HEAD) else { return Err(Refusal::Size) };
    if head[..2] != MARK {
        return Err(Refusal::Mark);
    }
    if head[2] != VERSION {
        return Err(Refusal::Version);
    }
    if head[4..] != cluster.to_be_bytes() {
        return Err(Refusal::Cluster);
    }
    let malformed = |_| Refusal::Malformed;
    match head[3] {
        0 => {
            let (header, mut rest) = postcard::take_from_bytes(body).map_err(malformed)?;
            let mut updates = Vec::new();
            if let Some((count, members)) = rest.split_at_checked(2) {
                rest = members;
                for _ in 0..u16::from_be_bytes([count[0], count[1]]) {
                    let (update, after) = postcard::take_from_bytes(rest).map_err(malformed)?;
                    updates.push(update);
                    rest = after;
                }
            }
            // Nobody sends foca's custom broadcasts here: what is left over is not ours.
            if !rest.is_empty() {
                return Err(Refusal::Malformed);
            }
            Ok(Body::Gossip(Gossip { header, updates }, body))
        }
        1 => match postcard::take_from_bytes(body).map_err(malformed)? {
            (talk, []) => Ok(Body::Talk(talk)),
            _ => Err(Refusal::Malformed),
        },
        _ => Err(Refusal::Malformed),
    }
}
