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
    pub deaf_there: bool,
    /// Nothing comes back from the far side.
    pub deaf_back: bool,
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
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Changes what is wrong; what waits looks again.
    pub fn faults(&self, how: impl FnOnce(&mut Faults)) {
        how(&mut self.state().faults);
        self.state.1.notify_all();
    }

    /// Cuts it: nothing gets through.
    pub fn cut(&self) {
        self.faults(|f| f.cut = true);
    }

    /// Heals it; connections from before are closed.
    pub fn heal(&self) {
        self.faults(|f| *f = Faults::default());
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
        std::thread::spawn(move || own.copy(&far_again, &near_again, |f| f.cut || f.deaf_back));
        self.copy(&near, &far, |f| f.cut || f.deaf_there);
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Instant;

    const LONG: Duration = Duration::from_secs(20);

    /// An echo behind a proxy, and a client of it.
    fn echo() -> (Proxy, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Proxy::start(listener.local_addr().unwrap());
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || _ = io::copy(&mut &socket, &mut &socket));
            }
        });
        let client = TcpStream::connect(proxy.addr).unwrap();
        client.set_read_timeout(Some(LONG)).unwrap();
        (proxy, client)
    }

    fn echoed(mut client: &TcpStream, n: usize) -> io::Result<Duration> {
        let (begun, mut back) = (Instant::now(), vec![0; n]);
        client.write_all(&vec![7; n])?;
        client.read_exact(&mut back)?;
        Ok(begun.elapsed())
    }

    #[test]
    fn delay_and_throttle_slow_both_ways() {
        let (proxy, client) = echo();
        echoed(&client, 10).unwrap();
        proxy.faults(|f| f.delay = Duration::from_millis(30));
        assert!(echoed(&client, 10).unwrap() >= Duration::from_millis(60));
        proxy.faults(|f| *f = Faults { bytes_per_s: 10_000, ..Faults::default() });
        assert!(echoed(&client, 1000).unwrap() >= Duration::from_millis(200));
    }

    #[test]
    fn a_cut_or_deaf_way_is_silent_and_goes_on_where_it_was() {
        for deaf in [false, true] {
            let (proxy, client) = echo();
            echoed(&client, 10).unwrap();
            proxy.faults(|f| (f.cut, f.deaf_back) = (!deaf, deaf));
            (&client).write_all(b"x").unwrap();
            client.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            let silent = (&client).read(&mut [0; 1]).unwrap_err().kind();
            assert!(matches!(silent, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut));
            client.set_read_timeout(Some(LONG)).unwrap();
            proxy.faults(|f| *f = Faults::default());
            (&client).read_exact(&mut [0; 1]).unwrap();
        }
    }

    #[test]
    fn a_half_closed_way_still_carries_the_other_direction() {
        let (proxy, client) = echo();
        echoed(&client, 10).unwrap();
        proxy.half_close();
        assert_eq!((&client).read(&mut [0; 1]).unwrap(), 0);
        assert!((&client).write_all(b"x").is_ok());
    }

    #[test]
    fn a_reset_is_no_plain_end() {
        let (proxy, client) = echo();
        echoed(&client, 10).unwrap();
        proxy.reset();
        assert_eq!((&client).read(&mut [0; 1]).unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
}
