//! A fault proxy for datagrams to one address, which can be cut, delayed or lossy. It forwards one direction: two of
//! them stand between two members that hear each other, so a cut of one is a link that works in one direction.
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Datagrams that may be in flight; more are lost, as in any network.
const MAX_IN_FLIGHT: usize = 4096;
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// How often the thread checks whether the proxy was dropped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest read timeout: the system takes zero for no timeout at all.
const MIN_READ_TIMEOUT: Duration = Duration::from_micros(100);

/// What is wrong with the network; by default nothing is.
#[derive(Clone, Debug, Default)]
pub struct UdpFaults {
    /// Nothing gets through.
    pub cut: bool,
    /// Nothing gets through from these senders.
    pub cut_from: Vec<SocketAddr>,
    /// Each datagram is delayed by this.
    pub delay: Duration,
    /// Every so-many-th datagram is lost, counted from the start; 0 for none.
    pub lose_one_in: u32,
}

/// How many datagrams a proxy has handled since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent on to the target.
    pub forwarded: u64,
    /// Datagrams dropped, by faults or for lack of a target.
    pub lost: u64,
}

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    faults: UdpFaults,
    counts: DatagramCounts,
    stopped: bool,
}

/// Forwards datagrams to one address until it is dropped. The receiver sees the proxy as their sender.
pub struct UdpProxy {
    /// Where it receives.
    pub addr: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

impl UdpProxy {
    /// Receives on a port of the system's choice; datagrams are lost until [`UdpProxy::set_target`] is called.
    ///
    /// # Panics
    /// The system has no free port on loopback.
    pub fn start() -> UdpProxy {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port on loopback");
        let Ok(SocketAddr::V4(addr)) = socket.local_addr() else { unreachable!("bound to IPv4") };
        let state = Arc::<Mutex<State>>::default();
        let forwarder = Forwarder::new(socket, state.clone());
        std::thread::spawn(move || forwarder.run());
        UdpProxy { addr, state }
    }

    /// Sets where datagrams go from now on.
    pub fn set_target(&self, target: SocketAddrV4) {
        lock(&self.state).target = Some(target.into());
    }

    /// Changes the faults.
    pub fn update_faults(&self, update: impl FnOnce(&mut UdpFaults)) {
        update(&mut lock(&self.state).faults);
    }

    /// Datagrams forwarded and lost since the start.
    pub fn counts(&self) -> DatagramCounts {
        lock(&self.state).counts
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

struct DelayedDatagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// The thread that forwards datagrams.
struct Forwarder {
    socket: UdpSocket,
    state: Arc<Mutex<State>>,
    /// By arrival, which is also the order in which they are sent.
    in_flight: VecDeque<DelayedDatagram>,
    received: u64,
}

impl Forwarder {
    fn new(socket: UdpSocket, state: Arc<Mutex<State>>) -> Forwarder {
        Forwarder { socket, state, in_flight: VecDeque::new(), received: 0 }
    }

    fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let shared = self.state.clone();
        loop {
            _ = self.socket.set_read_timeout(Some(self.read_timeout()));
            let received = self.socket.recv_from(&mut buffer);
            let mut state = lock(&shared);
            if state.stopped {
                return;
            }
            if let Ok((length, sender)) = received {
                self.receive(&mut state, &buffer[..length], sender);
            }
            self.send_due(&mut state);
        }
    }

    fn read_timeout(&self) -> Duration {
        let Some(next) = self.in_flight.front() else { return STOP_CHECK_INTERVAL };
        let until_due = next.due.saturating_duration_since(Instant::now());
        STOP_CHECK_INTERVAL.min(until_due).max(MIN_READ_TIMEOUT)
    }

    /// Queues a datagram until it is due, or drops it.
    fn receive(&mut self, state: &mut State, bytes: &[u8], sender: SocketAddr) {
        self.received += 1;
        let faults = &state.faults;
        let chosen_to_lose =
            faults.lose_one_in > 0 && self.received.is_multiple_of(u64::from(faults.lose_one_in));
        let cut = faults.cut || faults.cut_from.contains(&sender);
        if cut || chosen_to_lose || self.in_flight.len() >= MAX_IN_FLIGHT {
            state.counts.lost += 1;
            return;
        }
        self.in_flight
            .push_back(DelayedDatagram { due: Instant::now() + faults.delay, bytes: bytes.to_vec() });
    }

    fn send_due(&mut self, state: &mut State) {
        while let Some(datagram) = self.in_flight.pop_front_if(|datagram| datagram.due <= Instant::now()) {
            match state.target {
                Some(target) if self.socket.send_to(&datagram.bytes, target).is_ok() => {
                    state.counts.forwarded += 1;
                }
                _ => state.counts.lost += 1,
            }
        }
    }
}
