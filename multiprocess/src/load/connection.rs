//! A client connection to a router.
use super::schedule::ScheduledRequest;
use mio::net::TcpStream;
use std::time::{Duration, Instant};

/// Delay between two connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// A request that was sent and whose response is pending.
pub(super) struct InFlight {
    pub(super) request: ScheduledRequest,
    pub(super) sent: Instant,
}

#[derive(Default)]
pub(super) enum State {
    #[default]
    Disconnected,
    /// Connected or connecting; the router's greeting is pending.
    AwaitingGreeting,
    /// The login was sent; its response is pending.
    AwaitingLogin,
    Idle,
    Busy(InFlight),
}

pub(super) struct Connection {
    /// Index of the router that the connection belongs to.
    pub(super) router: usize,
    pub(super) stream: Option<TcpStream>,
    pub(super) read_buffer: Vec<u8>,
    pub(super) write_buffer: Vec<u8>,
    /// Packets of a response that is not complete yet.
    pub(super) response_packets: Vec<Vec<u8>>,
    pub(super) state: State,
    reconnect_at: Instant,
}

impl Connection {
    /// Creates a disconnected connection whose first attempt is due immediately.
    pub(super) fn new(router: usize) -> Connection {
        Connection {
            router,
            stream: None,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            response_packets: Vec::new(),
            state: State::Disconnected,
            reconnect_at: Instant::now(),
        }
    }

    /// Whether a connection attempt is due.
    pub(super) fn is_connect_due(&self, now: Instant) -> bool {
        matches!(self.state, State::Disconnected) && self.reconnect_at <= now
    }

    /// Delays the next connection attempt by [`RECONNECT_DELAY`].
    pub(super) fn delay_reconnect(&mut self, now: Instant) {
        self.reconnect_at = now + RECONNECT_DELAY;
    }

    /// Resets the buffers for a new stream, on which the greeting is expected next.
    pub(super) fn open(&mut self, stream: TcpStream) {
        self.read_buffer.clear();
        self.write_buffer.clear();
        self.response_packets.clear();
        self.stream = Some(stream);
        self.state = State::AwaitingGreeting;
    }

    /// Closes the connection, and returns the request in flight.
    pub(super) fn close(&mut self) -> Option<InFlight> {
        self.stream = None;
        self.delay_reconnect(Instant::now());
        match std::mem::take(&mut self.state) {
            State::Busy(in_flight) => Some(in_flight),
            _ => None,
        }
    }
}
