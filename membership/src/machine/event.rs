//! The events that the machine handles, and the actions that it returns.
use crate::member::Member;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Identifies a timer of a machine; set in [`Action::SetTimer`] and passed back in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// An event for the machine. Times are durations from a fixed start.
#[derive(Clone, Debug)]
pub enum Event {
    /// The router has started and can find the fleet at these addresses. This router's own address among
    /// them is ignored.
    Started {
        /// Addresses of any routers of the fleet.
        seeds: Vec<SocketAddrV4>,
    },
    /// A datagram was received.
    Datagram {
        /// The sender's address, as reported by the socket.
        from: SocketAddrV4,
        /// The bytes of the received datagram.
        bytes: Vec<u8>,
    },
    /// The timer of [`Action::SetTimer`] with this token has expired.
    Timer(TimerToken),
    /// The router must leave the fleet; [`Action::Left`] follows.
    Leave,
}

/// An action that the driver must carry out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to the address `to`.
    Send {
        /// The address that the datagram is sent to.
        to: SocketAddrV4,
        /// The datagram's bytes; at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// Send [`Event::Timer`] after this time.
    SetTimer {
        /// The time until the timer expires.
        after: Duration,
        /// The token to pass back.
        token: TimerToken,
    },
    /// Report that this member, which is never this router itself, is alive.
    Up(Member),
    /// Report that this member has left, failed, or been superseded by a later start, whose `Up` follows.
    Down(Member),
    /// Other members had declared this router down; it has rejoined with this incarnation.
    Rejoined(Member),
    /// A later start uses this router's name at another address. The machine does nothing after this action.
    Superseded(Member),
    /// The router has left the fleet. The machine does nothing after this action.
    Left,
}
