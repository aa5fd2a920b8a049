//! What the core's actors say to each other; the module, the list and the peers stand on this and not on one another's
//! insides.
use crate::stop::{Service, Stop};
use crate::wire::{Reply, Wire};
use crossbeam_channel::Sender;
use decision::{GroupId, MemberId, MemberState, Outcome, Report, RequestId, SessionId, Time};
use placement::Refusal;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request's one final answer.
#[derive(Debug)]
pub enum Final<A> {
    /// What an instance answered; of a write, when it was committed, where that is known.
    Served(A, Option<Time>),
    /// Not served; trying again is harmless, after this time where one is known.
    Refused(Option<Duration>),
    /// Not served, and it may have run; how its last attempt ended, if it had any.
    Failed(Option<Outcome>),
    /// Its tenant's data may not be where it would have to go: nothing ran.
    NoPlace(Refusal),
    /// Its client cancelled it; what had begun by then may have run.
    Cancelled,
}

/// A request as a front hands it over.
pub struct Incoming<W: Wire> {
    /// Its class.
    pub class: usize,
    /// Its tenant, where it names one.
    pub tenant: Option<Arc<str>>,
    /// Its session.
    pub session: Option<SessionId>,
    /// Its group.
    pub group: GroupId,
    /// The client gives up then.
    pub deadline: Time,
    /// The commit that it must see.
    pub token: Option<Time>,
    /// What goes to an instance.
    pub payload: W::Payload,
    /// Gets the final answer; must have room for it.
    pub answer: Sender<Final<W::Answer>>,
}

/// What the module's mailbox takes.
pub enum Message<W: Wire> {
    /// A request has arrived.
    Arrived(RequestId, Incoming<W>),
    /// Its client is gone.
    Left(RequestId),
    /// Its client waits for the one final answer, but wants nothing done any more.
    Cancelled(RequestId),
    /// An attempt has ended.
    Ended {
        /// Which attempt.
        key: Key,
        /// At which member.
        member: MemberId,
        /// How.
        reply: Reply<W::Answer>,
    },
    /// A probe has ended.
    Probed {
        /// Of which member.
        member: MemberId,
        /// How.
        outcome: Outcome,
        /// What the member reported.
        report: Report,
    },
    /// Links to instances take up most of their descriptors.
    Crowded {
        /// Links that each peer may keep warm.
        keep: usize,
    },
    /// News of the list.
    List(ListNews),
    /// All of these groups' instances are out, by hand at least in part: what is asked of them is refused at once.
    Shut(BTreeSet<GroupId>),
    /// So many processes serve as this router: its room is shared among them.
    Sharing(u32),
    /// News of where tenants' data may be.
    Places(placement::News),
    /// So many routers share the instances, this one included.
    Drivers(u32),
}

/// An attempt's name: its request and its number.
pub type Key = (RequestId, u32);

/// Which peer a message is for: a number that no later peer gets, though an instance that is listed elsewhere keeps its id.
pub type PeerId = u64;

/// What a peer is told. A full mailbox may lose of this what says nothing new or is answered for by the sender: whether
/// work may begin is asked of its [`Stop`] and [`Service`].
pub enum PeerMessage<W: Wire> {
    /// Begin with an instance.
    Start {
        /// Which instance.
        member: MemberId,
        /// Where it listens.
        addr: SocketAddr,
        /// Whether it may get anything new, from now on.
        service: Service,
    },
    /// Carry an attempt, unless that is stopped; the router stops waiting for it at this moment.
    Attempt(Key, Arc<W::Payload>, Instant, Stop),
    /// Ask the instance how it is.
    Probe,
    /// It is out of service: what rests with it is let go. Where this gets lost, that is found at the next look.
    Tidy,
    /// Descriptors run short: links that rest are let go.
    Trim {
        /// but for so many, the warmest.
        keep: usize,
    },
    /// The module has no more use for it.
    Forgotten,
    /// A link has ended its work; it rests with the peer if it takes more.
    Ended {
        /// The connection, where it takes more work.
        kept: Option<crate::peer::Parked<W>>,
    },
}

/// One instance as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id, the same after a restart.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: u32,
    /// Its site, for tenants whose data must not leave theirs.
    pub site: Option<Arc<str>>,
    /// Its state.
    pub state: MemberState,
    /// The list takes it for the primary of its group.
    pub primary: bool,
    /// Its size against others.
    pub weight: f64,
    /// Its last start; `None` means long ago.
    pub started: Option<Time>,
}

/// News of the list.
#[derive(Clone, Debug)]
pub struct ListNews {
    /// The list's version with this news.
    pub version: u64,
    /// The whole list: what it lacks is gone.
    pub complete: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}
