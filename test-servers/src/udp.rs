//! A fault-injecting proxy that forwards datagrams to one address, and can block, delay or lose them. A proxy
//! forwards one direction only: two members that exchange datagrams need two proxies, and blocking one of
//! them gives a one-way link.
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of datagrams in flight; further datagrams are lost, as on a congested network.
const MAX_IN_FLIGHT: usize = 4096;
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// How often the forwarding thread checks whether the proxy was dropped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum read timeout; the operating system takes zero as no timeout.
const MIN_READ_TIMEOUT: Duration = Duration::from_micros(100);

/// The faults that a proxy injects; none by default.
#[derive(Clone, Debug, Default)]
pub struct UdpFaults {
    /// All datagrams are lost.
    pub cut: bool,
    /// All datagrams from these senders are lost.
    pub cut_from: Vec<SocketAddr>,
    /// Delay of each datagram.
    pub delay: Duration,
    /// If `n` is above 0, every `n`-th datagram since the start is lost; 0 loses none.
    pub lose_one_in: u32,
}

/// Counts of the datagrams that a proxy has handled since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams that were sent to the target.
    pub forwarded: u64,
    /// Datagrams that were lost, because of a fault or because no target was set.
    pub lost: u64,
}

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    faults: UdpFaults,
    counts: DatagramCounts,
    stopped: bool,
}

/// Forwards datagrams to one address until it is dropped. The target sees the proxy's address as the sender.
pub struct UdpProxy {
    /// Address at which the proxy receives datagrams.
    pub addr: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

impl UdpProxy {
    /// Starts a proxy on a free port. Datagrams are lost until [`UdpProxy::set_target`] is called.
    ///
    /// # Panics
    /// Panics if the system has no free port on loopback.
    pub fn start() -> UdpProxy {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("no free port on loopback");
        let Ok(SocketAddr::V4(addr)) = socket.local_addr() else { unreachable!("bound to IPv4") };
        let state = Arc::<Mutex<State>>::default();
        let forwarder = Forwarder::new(socket, state.clone());
        std::thread::spawn(move || forwarder.run());
        UdpProxy { addr, state }
    }

    /// Sets the address to which datagrams are forwarded.
    pub fn set_target(&self, target: SocketAddrV4) {
        lock(&self.state).target = Some(target.into());
    }

    /// Updates the faults that the proxy injects.
    pub fn update_faults(&self, update: impl FnOnce(&mut UdpFaults)) {
        update(&mut lock(&self.state).faults);
    }

    /// Returns the counts of forwarded and lost datagrams.
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

/// State of the forwarding thread.
struct Forwarder {
    socket: UdpSocket,
    state: Arc<Mutex<State>>,
    /// Delayed datagrams in order of arrival, which is also the order in which they are sent.
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

    /// Queues a datagram until it is due, or drops it because of a fault or a full queue.
    fn receive(&mut self, state: &mut State, bytes: &[u8], sender: SocketAddr) {
        self.received += 1;
        let faults = &state.faults;
        let lost_by_rate =
            faults.lose_one_in > 0 && self.received.is_multiple_of(u64::from(faults.lose_one_in));
        let cut = faults.cut || faults.cut_from.contains(&sender);
        if cut || lost_by_rate || self.in_flight.len() >= MAX_IN_FLIGHT {
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
