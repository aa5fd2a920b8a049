//! The connections of clients, whatever wire they speak: accepted, bounded in number, and let go at shutdown
//! without a request lost.
use crossbeam_channel::{Receiver, bounded};
use routing::spawn;
use routing::wire::{Until, idle_and_open, peek};
use settings::Limits;
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A front: it speaks with one client at a time on the thread that it is called on.
pub trait Talk: Send + Sync + 'static {
    /// Speaks with one client until either side ends it.
    fn talk(self: &Arc<Self>, connection: &Arc<Connection>);
}

/// Set in [`Connection::owed`] once the connection takes no more commands.
const RETIRED: usize = 1 << (usize::BITS - 1);

/// A client's connection.
pub struct Connection {
    /// Its socket.
    pub socket: TcpStream,
    /// Its number, not used twice.
    pub number: u64,
    since: Instant,
    limits: Arc<Limits>,
    /// Commands read and not answered yet. A count and a mark in one word: a command is either taken before the
    /// connection is retired, or never, so that none is carried out whose client is told to ask elsewhere.
    owed: AtomicUsize,
    /// The startup has been read.
    greeted: AtomicBool,
    /// A command has been read.
    asked: AtomicBool,
    /// The last command could not be read.
    faulty: AtomicBool,
    /// When nothing was owed last, in milliseconds since it was opened.
    quiet_ms: AtomicU64,
    closing: Arc<AtomicBool>,
}

impl Connection {
    /// A command has been read: the connection stays open until it is paid. `false` where it is retired
    /// already; then the command must not be carried out, its client sends it elsewhere.
    #[must_use]
    pub fn owe(&self) -> bool {
        self.asked.store(true, Ordering::Relaxed);
        let more = |n: usize| (n & RETIRED == 0).then_some(n + 1);
        self.owed.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).is_ok()
    }

    /// A command is answered or needs no answer. At shutdown, this lets the connection go.
    pub fn paid(&self) {
        self.quiet_ms.store(self.since.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.owed.fetch_sub(1, Ordering::SeqCst);
        if self.closing.load(Ordering::SeqCst) && self.silent() {
            self.retire();
        }
    }

    /// The startup has been read.
    pub fn greeted(&self) {
        self.greeted.store(true, Ordering::Relaxed);
    }

    /// Whether the last command could not be read: such a client has no claim to rest.
    pub fn faulty(&self, yes: bool) {
        self.faulty.store(yes, Ordering::Relaxed);
    }

    /// Ends the connection for both threads that stand on it.
    pub fn close(&self) {
        // An error means that it is closed already.
        _ = self.socket.shutdown(Shutdown::Both);
    }

    /// Ends the connection if nothing is owed on it.
    pub fn retire(&self) -> bool {
        let retired = self.owed.compare_exchange(0, RETIRED, Ordering::SeqCst, Ordering::SeqCst).is_ok();
        if retired {
            self.close();
        }
        retired
    }

    /// Since when nothing has been owed.
    fn quiet_since(&self) -> Instant {
        self.since + Duration::from_millis(self.quiet_ms.load(Ordering::Relaxed))
    }

    /// Ends the connection if nothing has been asked on it for as long as it may rest.
    pub fn retire_if_spent(&self) -> bool {
        let most = match self.asked.load(Ordering::Relaxed) {
            true => self.limits.client_idle,
            false => self.limits.client_first.saturating_sub(self.quiet_since() - self.since),
        };
        self.quiet_since().elapsed() >= most && self.retire()
    }

    /// How long it may rest where room is wanted.
    fn least(&self) -> Duration {
        let (greeted, faulty) = (self.greeted.load(Ordering::Relaxed), self.faulty.load(Ordering::Relaxed));
        match (greeted, faulty) {
            (_, true) => Duration::ZERO,
            (true, _) => self.limits.client_idle_least,
            (false, _) => self.limits.client_start_least,
        }
    }

    /// What the socket holds: nothing yet, more commands, or the client's end.
    pub fn standing(&self) -> Standing {
        match peek(&self.socket) {
            Ok(0) => Standing::Gone,
            Ok(_) => Standing::Asking,
            Err(e) if timed_out(&e) => Standing::Quiet,
            Err(_) => Standing::Gone,
        }
    }

    /// Nothing has come that waits to be read.
    fn silent(&self) -> bool {
        idle_and_open(&self.socket)
    }

    /// Reads the startup, which has to be whole within [`Limits::client_start`] of connecting.
    pub fn startup(&self) -> Timed<'_> {
        Timed {
            socket: &self.socket,
            until: self.since + self.limits.client_start,
            begun: true,
            whole: Duration::ZERO,
        }
    }

    /// Reads a command: it may let wait for itself, but once begun it has to come whole within
    /// [`Limits::client_message`].
    pub fn command(&self, begun: bool) -> Timed<'_> {
        let (now, whole) = (Instant::now(), self.limits.client_message);
        let until = match (begun, self.asked.load(Ordering::Relaxed)) {
            (true, _) => now + whole,
            (false, false) => self.since + self.limits.client_first,
            // The rest counts from the last answer, which may be given while this waits.
            (false, true) if self.owed.load(Ordering::SeqCst) == 0 => {
                self.quiet_since() + self.limits.client_idle
            }
            (false, true) => now + self.limits.client_idle,
        };
        Timed { socket: &self.socket, until, begun, whole }
    }
}

/// How a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing to read.
    Quiet,
    /// Bytes wait to be read.
    Asking,
    /// The client has ended it.
    Gone,
}

/// Reads a connection up to a moment: a client that falls silent, or sends a byte now and then, must not hold its
/// place for good.
pub struct Timed<'a> {
    socket: &'a TcpStream,
    until: Instant,
    begun: bool,
    whole: Duration,
}

impl Read for Timed<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let got = Until(self.socket, self.until).read(to)?;
        if !std::mem::replace(&mut self.begun, true) {
            self.until = Instant::now() + self.whole;
        }
        Ok(got)
    }
}

/// A read that ended because its time was up.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// All connections of one front.
pub struct Clients<T> {
    front: Arc<T>,
    limits: Arc<Limits>,
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    next: AtomicUsize,
    /// Connections are closed as soon as nothing is owed on them.
    closing: Arc<AtomicBool>,
}

impl<T: Talk> Clients<T> {
    /// Nobody is connected yet.
    pub fn new(front: Arc<T>, limits: Arc<Limits>) -> Arc<Self> {
        let (open, next, closing) = (Mutex::default(), AtomicUsize::new(0), Arc::default());
        Arc::new(Clients { front, limits, open, next, closing })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes connections until `stop` says so; returns when the last one has ended, or after
    /// [`Limits::shutdown_most`].
    pub fn serve(self: &Arc<Self>, listener: TcpListener, stop: &Receiver<()>) -> io::Result<()> {
        let (clients, accepting) = (self.clone(), Arc::new(AtomicBool::new(true)));
        let (on, own) = (accepting.clone(), listener.try_clone()?);
        let (done, ended) = bounded::<()>(0);
        spawn("accept", self.limits.stack_bytes, move || {
            clients.accept(&own, &on);
            drop((own, done));
        })?;
        // Blocks until the signal comes, or for good if it never does.
        _ = stop.recv();
        tracing::info!("shutdown: taking requests for {:?} more", self.limits.shutdown_grace);
        let asked = Instant::now();
        std::thread::sleep(self.limits.shutdown_grace);
        accepting.store(false, Ordering::Release);
        // A thread that waits in accept() hears of nothing but a connection: it gets one.
        _ = listener.local_addr().and_then(|a| TcpStream::connect_timeout(&a, Duration::from_secs(1)));
        _ = ended.recv_timeout(Duration::from_secs(1));
        // What the kernel has accepted already is ours: it is taken before the listener closes.
        listener.set_nonblocking(true)?;
        while let Ok((socket, from)) = listener.accept() {
            self.admit(socket, from);
        }
        drop(listener);
        self.closing.store(true, Ordering::SeqCst);
        while asked.elapsed() < self.limits.shutdown_most {
            let open: Vec<Arc<Connection>> = self.open().values().cloned().collect();
            if open.is_empty() {
                break;
            }
            open.iter().filter(|c| c.silent()).for_each(|c| _ = c.retire());
            std::thread::sleep(Duration::from_millis(5));
        }
        tracing::info!("shutdown: ended with {} connections left", self.open().len());
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, accepting: &AtomicBool) {
        while accepting.load(Ordering::Acquire) {
            match listener.accept() {
                Ok((socket, from)) => {
                    self.make_room();
                    self.admit(socket, from);
                }
                // Out of descriptors, or a client that left at once.
                Err(e) => {
                    if e.kind() != io::ErrorKind::WouldBlock {
                        tracing::warn!("clients: cannot accept: {e}");
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
    }

    /// At the bound, a connection that says nothing makes room; where none may be let go, the next one waits
    /// unaccepted until one may.
    fn make_room(&self) {
        loop {
            {
                let all = self.open();
                if all.len() < self.limits.client_connections {
                    return;
                }
                // First who sent what can't be read, then who connected and sent no startup, then who asked
                // nothing for the longest time. Silence is looked up at the socket: under load, a reader may
                // lag behind what has come.
                let now = Instant::now();
                let mut found: Vec<_> = all
                    .values()
                    .filter(|c| c.owed.load(Ordering::SeqCst) == 0)
                    .map(|c| (c.least(), c.quiet_since(), c))
                    .filter(|(least, since, _)| now.saturating_duration_since(*since) >= *least)
                    .collect();
                found.sort_unstable_by_key(|(least, since, _)| (*least, *since));
                // Some at a time: looking for one costs as much.
                let spent = found.into_iter().filter(|(_, _, c)| c.silent() && c.retire());
                _ = spent.take(8).count();
            }
            std::thread::sleep(self.limits.client_room);
        }
    }

    fn admit(self: &Arc<Self>, socket: TcpStream, from: SocketAddr) {
        let ready = socket.set_nonblocking(false).and_then(|()| socket.set_nodelay(true));
        let ready = ready.and_then(|()| socket.set_write_timeout(Some(self.limits.client_write)));
        if let Err(e) = ready {
            return tracing::warn!("clients: {from}: {e}");
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u64;
        let closing = self.closing.clone();
        let connection = Arc::new(Connection {
            socket,
            number,
            since: Instant::now(),
            limits: self.limits.clone(),
            owed: AtomicUsize::new(0),
            greeted: AtomicBool::new(false),
            asked: AtomicBool::new(false),
            faulty: AtomicBool::new(false),
            quiet_ms: AtomicU64::new(0),
            closing,
        });
        self.open().insert(number, connection.clone());
        let clients = self.clone();
        let talk = move || {
            clients.front.talk(&connection);
            connection.close();
            clients.open().remove(&number);
        };
        if let Err(e) = spawn("client", self.limits.stack_bytes, talk) {
            tracing::error!("clients: no thread for {from}: {e}");
            self.open().remove(&number);
        }
    }
}
