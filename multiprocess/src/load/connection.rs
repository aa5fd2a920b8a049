//! One client connection to a router.
use super::schedule::ScheduledRequest;
use mio::net::TcpStream;
use std::time::{Duration, Instant};

/// Time between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The request that a connection waits for.
pub(super) struct InFlight {
    pub(super) request: ScheduledRequest,
    pub(super) sent: Instant,
}

#[derive(Default)]
pub(super) enum State {
    #[default]
    Disconnected,
    /// Waits for the server's greeting.
    AwaitingGreeting,
    /// Has sent its login.
    AwaitingLogin,
    Idle,
    Busy(InFlight),
}

pub(super) struct Connection {
    /// Index of its router.
    pub(super) router: usize,
    pub(super) stream: Option<TcpStream>,
    pub(super) read_buffer: Vec<u8>,
    pub(super) write_buffer: Vec<u8>,
    /// Packets of an answer that is not complete yet.
    pub(super) answer: Vec<Vec<u8>>,
    pub(super) state: State,
    reconnect_at: Instant,
}

impl Connection {
    /// A connection that is to be made at once.
    pub(super) fn new(router: usize) -> Connection {
        Connection {
            router,
            stream: None,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            answer: Vec::new(),
            state: State::Disconnected,
            reconnect_at: Instant::now(),
        }
    }

    /// Whether it is time to connect.
    pub(super) fn is_connect_due(&self, now: Instant) -> bool {
        matches!(self.state, State::Disconnected) && self.reconnect_at <= now
    }

    /// Sets the time before which no further attempt to connect is made.
    pub(super) fn delay_reconnect(&mut self, now: Instant) {
        self.reconnect_at = now + RECONNECT_DELAY;
    }

    /// Begins with a new stream, whose greeting comes next.
    pub(super) fn open(&mut self, stream: TcpStream) {
        self.read_buffer.clear();
        self.write_buffer.clear();
        self.answer.clear();
        self.stream = Some(stream);
        self.state = State::AwaitingGreeting;
    }

    /// Closes it; returns the request that was in flight.
    pub(super) fn close(&mut self) -> Option<InFlight> {
        self.stream = None;
        self.delay_reconnect(Instant::now());
        match std::mem::take(&mut self.state) {
            State::Busy(in_flight) => Some(in_flight),
            _ => None,
        }
    }
}
