//! A way for datagrams to one address that can go wrong: cut, delayed, lossy. One way each: two of them stand between
//! two members that hear each other, so a cut of one is a link that works in one direction.
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What is wrong with the way.
#[derive(Clone, Debug, Default)]
pub struct UdpFaults {
    /// Nothing gets through.
    pub cut: bool,
    /// Nothing gets through from these senders.
    pub cut_from: Vec<SocketAddr>,
    /// Each datagram takes this long.
    pub delay: Duration,
    /// One in so many is lost, the same ones each time; 0 for none.
    pub lose_one_in: u32,
}

/// Datagrams that may be under way; more are lost, as in any network.
const UNDER_WAY: usize = 4096;

#[derive(Default)]
struct State {
    to: Option<SocketAddr>,
    faults: UdpFaults,
    passed: u64,
    lost: u64,
    over: bool,
}

/// How many datagrams a proxy has handled since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent on to the target.
    pub forwarded: u64,
    /// Datagrams dropped, by faults or for lack of a target.
    pub lost: u64,
}

/// Passes datagrams on to one address. The receiver sees the proxy as their sender.
pub struct UdpProxy {
    /// Where it hears.
    pub addr: SocketAddrV4,
    state: Arc<Mutex<State>>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl UdpProxy {
    /// Hears on a port of the system's choice; datagrams are lost until [`UdpProxy::to`] says where they go.
    pub fn start() -> UdpProxy {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port on loopback");
        let Ok(SocketAddr::V4(addr)) = socket.local_addr() else { unreachable!("bound to IPv4") };
        let state = Arc::<Mutex<State>>::default();
        let own = state.clone();
        std::thread::spawn(move || pass(&socket, &own));
        UdpProxy { addr, state }
    }

    /// Where datagrams go from now on.
    pub fn set_target(&self, to: SocketAddrV4) {
        locked(&self.state).to = Some(to.into());
    }

    /// Changes what is wrong.
    pub fn update_faults(&self, how: impl FnOnce(&mut UdpFaults)) {
        how(&mut locked(&self.state).faults);
    }

    /// Datagrams passed on and lost since the start.
    pub fn counts(&self) -> DatagramCounts {
        let state = locked(&self.state);
        DatagramCounts { forwarded: state.passed, lost: state.lost }
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        locked(&self.state).over = true;
    }
}

fn pass(socket: &UdpSocket, state: &Mutex<State>) {
    let mut bytes = [0; 64 * 1024];
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut came = 0u64;
    loop {
        // Looks at least this often whether it is over.
        let mut wait = Duration::from_millis(100);
        if let Some((due, _)) = waiting.front() {
            wait = wait.min(due.saturating_duration_since(Instant::now())).max(Duration::from_micros(100));
        }
        _ = socket.set_read_timeout(Some(wait));
        let got = socket.recv_from(&mut bytes);
        let mut state = locked(state);
        if state.over {
            return;
        }
        if let Ok((n, from)) = got {
            came += 1;
            let f = &state.faults;
            let lost = f.lose_one_in > 0 && came.is_multiple_of(u64::from(f.lose_one_in));
            if f.cut || lost || f.cut_from.contains(&from) || waiting.len() >= UNDER_WAY {
                state.lost += 1;
            } else {
                waiting.push_back((Instant::now() + f.delay, bytes[..n].to_vec()));
            }
        }
        while let Some((_, bytes)) = waiting.pop_front_if(|(due, _)| *due <= Instant::now()) {
            match state.to {
                Some(to) if socket.send_to(&bytes, to).is_ok() => state.passed += 1,
                _ => state.lost += 1,
            }
        }
    }
}
