//! A fault-injecting TCP proxy that simulates the network between two sides: it can be cut, delayed,
//! throttled, blocked in one direction, reset or half-closed. While it is cut, connections stay open and
//! silent, as if the remote machine had vanished.
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// The faults that a proxy injects; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Blocks data in both directions.
    pub cut: bool,
    /// Blocks data to the target; data from the target is forwarded.
    pub drop_to_target: bool,
    /// Blocks data from the target; data to the target is forwarded.
    pub drop_from_target: bool,
    /// Delay of each block of data, in both directions.
    pub delay: Duration,
    /// Maximum rate in bytes per second, separately for each direction; 0 for no limit.
    pub bytes_per_s: u64,
}

/// The two sockets of a forwarded connection.
struct Link {
    client: TcpStream,
    target: TcpStream,
}

#[derive(Default)]
struct State {
    faults: Faults,
    links: Vec<Link>,
}

/// Forwards connections to one address. Clones are handles to the same proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    bytes_forwarded: AtomicU64,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port.
    ///
    /// # Panics
    /// Panics if the system has no free port on loopback.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port on loopback");
        let addr = listener.local_addr().expect("listener has no local address");
        let proxy = Proxy { addr, shared: Arc::default() };
        let shared = proxy.shared.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                std::thread::spawn(move || _ = shared.forward(socket, target));
            }
        });
        proxy
    }

    /// Returns the number of bytes forwarded since the start, in both directions together.
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Relaxed)
    }

    /// Updates the faults; they also apply to data that is currently blocked.
    pub fn update_faults(&self, update: impl FnOnce(&mut Faults)) {
        update(&mut self.shared.state().faults);
        self.shared.changed.notify_all();
    }

    /// Blocks all data in both directions.
    pub fn cut(&self) {
        self.update_faults(|faults| faults.cut = true);
    }

    /// Removes all faults, and closes all existing connections.
    pub fn heal(&self) {
        self.update_faults(|faults| *faults = Faults::default());
        self.shared.take_links(|link| {
            _ = link.client.shutdown(Shutdown::Both);
            _ = link.target.shutdown(Shutdown::Both);
        });
    }

    /// Resets every connection: the client sees a reset instead of an orderly close.
    pub fn reset(&self) {
        self.shared.take_links(|link| {
            // With a linger time of zero, closing the socket sends a reset.
            _ = SockRef::from(&link.client).set_linger(Some(Duration::ZERO));
            _ = link.target.shutdown(Shutdown::Both);
            // The forwarding threads own the remaining handles to the client's socket, which closes when they
            // drop these handles.
            _ = link.client.shutdown(Shutdown::Read);
        });
    }

    /// Closes the direction to the client on every connection; the direction to the target stays open.
    pub fn half_close(&self) {
        self.shared.take_links(|link| _ = link.client.shutdown(Shutdown::Write));
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes all links and calls `end` on each of them.
    fn take_links(&self, end: impl Fn(&Link)) {
        let links = std::mem::take(&mut self.state().links);
        links.iter().for_each(end);
        self.changed.notify_all();
    }

    /// Forwards a connection until it is closed.
    fn forward(self: &Arc<Self>, client: TcpStream, target: SocketAddr) -> io::Result<()> {
        self.wait_while(|faults| faults.cut);
        let target = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        self.state().links.push(Link { client: client.try_clone()?, target: target.try_clone()? });
        let (shared, back_from, back_to) = (self.clone(), target.try_clone()?, client.try_clone()?);
        std::thread::spawn(move || shared.copy(&back_from, &back_to, |f| f.cut || f.drop_from_target));
        self.copy(&client, &target, |faults| faults.cut || faults.drop_to_target);
        Ok(())
    }

    /// Waits while the faults meet the condition, and returns the faults after the wait.
    fn wait_while(&self, condition: impl Fn(&Faults) -> bool) -> Faults {
        let waited = self.changed.wait_while(self.state(), |state| condition(&state.faults));
        waited.unwrap_or_else(PoisonError::into_inner).faults
    }

    /// Copies the data of one direction until it is closed.
    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, blocked: impl Fn(&Faults) -> bool) {
        let mut bytes = [0; COPY_BUFFER_BYTES];
        while let Ok(length @ 1..) = from.read(&mut bytes) {
            let faults = self.wait_while(&blocked);
            std::thread::sleep(faults.delay);
            if let Some(us) = (length as u64 * 1_000_000).checked_div(faults.bytes_per_s) {
                std::thread::sleep(Duration::from_micros(us));
            }
            if to.write_all(&bytes[..length]).is_err() {
                break;
            }
            self.bytes_forwarded.fetch_add(length as u64, Ordering::Relaxed);
        }
        // A connection that is to be reset must not be closed in an orderly way first.
        if SockRef::from(to).linger().ok().flatten() != Some(Duration::ZERO) {
            _ = to.shutdown(Shutdown::Write);
        }
        _ = from.shutdown(Shutdown::Read);
    }
}
