//! What happens to a router, and what is to be done.
use crate::member::Member;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Identifies one timer of a machine; given in [`Action::SetTimer`] and returned in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// What happens to a router. Times are durations since any one start that never goes back.
#[derive(Clone, Debug)]
pub enum Event {
    /// The router has started, and may find the fleet at these addresses; its own among them is passed over.
    Started {
        /// Addresses of any routers of the fleet.
        seeds: Vec<SocketAddrV4>,
    },
    /// A datagram was received.
    Datagram {
        /// The sender's address, by the socket.
        from: SocketAddrV4,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// The time of [`Action::SetTimer`] has passed; the token is that action's.
    Timer(TimerToken),
    /// The router is to leave; [`Action::Left`] follows.
    Leave,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddrV4,
        /// The whole datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// Give [`Event::Timer`] after this time.
    SetTimer {
        /// The time from now.
        after: Duration,
        /// The token to give back.
        token: TimerToken,
    },
    /// This member is alive; never this router itself.
    Up(Member),
    /// This member has left, failed, or is superseded by a later start (its `Up` follows).
    Down(Member),
    /// The others held this router to be down; it is back under this incarnation.
    Rejoined(Member),
    /// A later start holds this router's name at another address. The machine does nothing more.
    Superseded(Member),
    /// The router has left. The machine does nothing more.
    Left,
}
