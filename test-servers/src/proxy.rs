//! A network between two sides that can go wrong: cut, delayed, throttled, deaf in one direction, reset, half closed.
//! Connections stay open and silent while it is cut, as they do when a machine vanishes.
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// What is wrong with the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing gets through.
    pub cut: bool,
    /// Nothing gets through to the far side; answers do.
    pub drop_to_target: bool,
    /// Nothing comes back from the far side.
    pub drop_from_target: bool,
    /// Each piece takes this long, either way.
    pub delay: Duration,
    /// Bytes a second, either way; 0 for as many as there are.
    pub bytes_per_s: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    /// The near and the far side of each connection.
    open: Vec<(TcpStream, TcpStream)>,
}

/// Passes connections on to one address.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    passed: Arc<AtomicU64>,
}

impl Proxy {
    /// Listens on a port of the system's choice.
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let addr = listener.local_addr().expect("its address");
        let proxy = Proxy { addr, state: Arc::default(), passed: Arc::default() };
        let own = proxy.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                std::thread::spawn(move || _ = own.pass(socket, to));
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Bytes that got through so far, both ways together.
    pub fn bytes_forwarded(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Changes what is wrong; what waits looks again.
    pub fn update_faults(&self, how: impl FnOnce(&mut Faults)) {
        how(&mut self.state().faults);
        self.state.1.notify_all();
    }

    /// Cuts it: nothing gets through.
    pub fn cut(&self) {
        self.update_faults(|f| f.cut = true);
    }

    /// Heals it; connections from before are closed.
    pub fn heal(&self) {
        self.update_faults(|f| *f = Faults::default());
        self.each(|near, far| {
            _ = near.shutdown(Shutdown::Both);
            _ = far.shutdown(Shutdown::Both);
        });
    }

    fn each(&self, how: impl Fn(&TcpStream, &TcpStream)) {
        let open = std::mem::take(&mut self.state().open);
        open.iter().for_each(|(near, far)| how(near, far));
        self.state.1.notify_all();
    }

    /// Resets every connection: the near side sees a reset, not an end.
    pub fn reset(&self) {
        self.each(|near, far| {
            // Closing with nothing to linger for sends a reset.
            _ = SockRef::from(near).set_linger(Some(Duration::ZERO));
            _ = far.shutdown(Shutdown::Both);
            // The copying threads hold the other handles: the near one closes when they have let go of theirs.
            _ = near.shutdown(Shutdown::Read);
        });
    }

    /// Ends the sending towards the near side of every connection, and leaves the other direction open.
    pub fn half_close(&self) {
        self.each(|near, _| _ = near.shutdown(Shutdown::Write));
    }

    fn pass(&self, near: TcpStream, to: SocketAddr) -> io::Result<()> {
        self.wait(|f| f.cut);
        let far = TcpStream::connect(to)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        self.state().open.push((near.try_clone()?, far.try_clone()?));
        let (own, near_again, far_again) = (self.clone(), near.try_clone()?, far.try_clone()?);
        std::thread::spawn(move || own.copy(&far_again, &near_again, |f| f.cut || f.drop_from_target));
        self.copy(&near, &far, |f| f.cut || f.drop_to_target);
        Ok(())
    }

    fn wait(&self, while_so: impl Fn(&Faults) -> bool) -> Faults {
        let waited = self.state.1.wait_while(self.state(), |s| while_so(&s.faults));
        waited.unwrap_or_else(|p| p.into_inner()).faults
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, deaf: impl Fn(&Faults) -> bool) {
        let mut bytes = [0; 16 * 1024];
        while let Ok(n @ 1..) = from.read(&mut bytes) {
            let faults = self.wait(&deaf);
            std::thread::sleep(faults.delay);
            if let Some(us) = (n as u64 * 1_000_000).checked_div(faults.bytes_per_s) {
                std::thread::sleep(Duration::from_micros(us));
            }
            if to.write_all(&bytes[..n]).is_err() {
                break;
            }
            self.passed.fetch_add(n as u64, Ordering::Relaxed);
        }
        // One that is to be reset must not be ended first.
        if SockRef::from(to).linger().ok().flatten() != Some(Duration::ZERO) {
            _ = to.shutdown(Shutdown::Write);
        }
        _ = from.shutdown(Shutdown::Read);
    }
}
