//! A fault proxy for connections: the network between two sides, which can be cut, delayed, throttled, blocked in one
//! direction, reset or half closed. Connections stay open and silent while it is cut, as they do when a machine
//! vanishes.
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// What is wrong with the network; by default nothing is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing gets through in either direction.
    pub cut: bool,
    /// Nothing reaches the target; its answers get through.
    pub drop_to_target: bool,
    /// Nothing comes back from the target.
    pub drop_from_target: bool,
    /// Each read's data is delayed by this, in either direction.
    pub delay: Duration,
    /// Bytes a second in either direction; 0 for no limit.
    pub bytes_per_s: u64,
}

/// The two sides of a connection.
struct Link {
    client: TcpStream,
    target: TcpStream,
}

#[derive(Default)]
struct State {
    faults: Faults,
    links: Vec<Link>,
}

/// Forwards connections to one address; clones are handles to the same proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
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
    /// Starts a proxy in front of `target`, on a port of the system's choice.
    ///
    /// # Panics
    /// The system has no free port on loopback.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let addr = listener.local_addr().expect("its address");
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

    /// Bytes that got through since the start, in both directions together.
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Relaxed)
    }

    /// Changes the faults; they apply at once to data that waits.
    pub fn update_faults(&self, update: impl FnOnce(&mut Faults)) {
        update(&mut self.shared.state().faults);
        self.shared.changed.notify_all();
    }

    /// Cuts the network: nothing gets through.
    pub fn cut(&self) {
        self.update_faults(|faults| faults.cut = true);
    }

    /// Ends all faults; connections from before are closed.
    pub fn heal(&self) {
        self.update_faults(|faults| *faults = Faults::default());
        self.shared.take_links(|link| {
            _ = link.client.shutdown(Shutdown::Both);
            _ = link.target.shutdown(Shutdown::Both);
        });
    }

    /// Resets every connection: the client sees a reset, not an end.
    pub fn reset(&self) {
        self.shared.take_links(|link| {
            // Closing without lingering sends a reset.
            _ = SockRef::from(&link.client).set_linger(Some(Duration::ZERO));
            _ = link.target.shutdown(Shutdown::Both);
            // The forwarding threads have the other handles: the client's socket closes when they drop theirs.
            _ = link.client.shutdown(Shutdown::Read);
        });
    }

    /// Ends the sending towards the client of every connection, and leaves the other direction open.
    pub fn half_close(&self) {
        self.shared.take_links(|link| _ = link.client.shutdown(Shutdown::Write));
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes all links and calls `end` on each.
    fn take_links(&self, end: impl Fn(&Link)) {
        let links = std::mem::take(&mut self.state().links);
        links.iter().for_each(end);
        self.changed.notify_all();
    }

    /// Forwards one connection until its end.
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

    /// Waits while the faults are such, and returns those that follow.
    fn wait_while(&self, condition: impl Fn(&Faults) -> bool) -> Faults {
        let waited = self.changed.wait_while(self.state(), |state| condition(&state.faults));
        waited.unwrap_or_else(PoisonError::into_inner).faults
    }

    /// Copies one direction until its end.
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
        // A connection that is to be reset must not be ended first.
        if SockRef::from(to).linger().ok().flatten() != Some(Duration::ZERO) {
            _ = to.shutdown(Shutdown::Write);
        }
        _ = from.shutdown(Shutdown::Read);
    }
}
