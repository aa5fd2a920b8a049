//! The connections of clients, whatever wire they speak: accepted, bounded in number, and let go at shutdown
//! without a request lost.
pub mod departures;
pub mod in_flight;
pub mod leaving;
pub mod listening;

use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use departures::{Departures, Requests};
use in_flight::InFlight;
use leaving::{Action, Event, Leaving, Step, Times};
pub use listening::{Listening, PassedError, Waker};
use routing::socket::{DeadlineReader, is_idle_and_open, peek};
use routing::{RequestId, spawn};
use settings::Limits;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A front: it speaks with one client at a time on the thread that it is called on.
pub trait Talk: Send + Sync + 'static {
    /// Speaks with one client until either side ends it.
    fn talk(self: &Arc<Self>, connection: &Arc<Connection>);

    /// The client of a request is gone: nobody waits for its answer.
    fn left(&self, request: RequestId);
}

/// The least time that a read waits for a client: one whose time is up may lie in the socket whole.
const LOOK: Duration = Duration::from_millis(1);

/// In [`Connection::ended_ms`]: it has not been ended.
const NOT_ENDED: u64 = u64::MAX;

/// A client's connection.
pub struct Connection {
    /// Its socket.
    pub socket: TcpStream,
    /// Its number, not used twice.
    pub number: u64,
    /// Its requests, and whether its client has left.
    pub requests: Requests,
    since: Instant,
    limits: Arc<Limits>,
    /// Commands read and not answered yet, and whether more are taken.
    in_flight: InFlight,
    /// A command has been read.
    asked: AtomicBool,
    /// A request has been made on it, not only what is answered without one.
    requested: AtomicBool,
    /// The last command could not be read.
    faulty: AtomicBool,
    /// When nothing was owed last, in milliseconds since it was opened.
    quiet_ms: AtomicU64,
    /// Part of a command has been read.
    begun: AtomicBool,
    /// The reader waits at the socket: what it holds is less than a command.
    reading: AtomicBool,
    /// When its sending was ended, in milliseconds since it was opened.
    ended_ms: AtomicU64,
    /// It is not to be kept from a reset any longer.
    cut: AtomicBool,
    manners: Arc<Manners>,
}

/// How all connections of a front are treated now.
#[derive(Default)]
struct Manners {
    /// Open connections that have made a request.
    asking: AtomicUsize,
    /// A [`Step`].
    step: AtomicU8,
    /// Operators drain it.
    drained: AtomicBool,
}

impl Manners {
    fn step(&self) -> Step {
        self.step.load(Ordering::SeqCst).into()
    }
}

impl Connection {
    /// A command has been read: the connection stays open until it is paid; `more` tells whether part of the next one
    /// was read with it. `false` where it is closed already; then the command must not be carried out, its client
    /// sends it elsewhere.
    #[must_use]
    pub fn owe(&self, more: bool) -> bool {
        self.asked.store(true, Ordering::SeqCst);
        self.begun.store(more, Ordering::SeqCst);
        self.in_flight.begin()
    }

    /// Asked right before an answer is written: while clients are let go, an answer that leaves nothing owed is its
    /// connection's last. Its last bytes are held back then until [`Connection::paid`] ends the connection and go out
    /// with that end, so that no client that has the whole answer takes the connection for one it may use.
    pub fn part_with(&self) {
        if self.may_end() && self.in_flight.close_if_last() {
            // Where that can't be, the end follows right behind.
            _ = SockRef::from(&self.socket).set_tcp_cork(true);
        }
    }

    /// A command is answered or needs no answer. When clients are let go, this lets the connection go.
    pub fn paid(&self) {
        self.quiet_ms.store(self.since.elapsed().as_millis() as u64, Ordering::Relaxed);
        if self.in_flight.finish() {
            return self.finish();
        }
        if self.may_end() {
            self.retire();
        }
    }

    /// Whether a connection that owes nothing ends now.
    fn may_end(&self) -> bool {
        match self.manners.step() {
            Step::Open => false,
            // What has been read, or waits to be, is carried out; the second half of a command may be on its way.
            Step::Quiet => !self.begun.load(Ordering::SeqCst) && self.silent(),
            // What has been read whole is carried out. A reader that waits holds no whole command, whatever it holds.
            Step::Last => self.reading.load(Ordering::SeqCst) || !self.begun.load(Ordering::SeqCst),
        }
    }

    /// Operators drain the router: whoever asks whether it takes clients gets a no.
    pub fn drained(&self) -> bool {
        self.manners.drained.load(Ordering::SeqCst)
    }

    /// Nothing more is read here: what was read is answered, then the connection ends. One that has just come is
    /// read once, so that whoever connects to ask how the router is hears it.
    pub fn let_go(&self) -> bool {
        self.manners.step() == Step::Last && self.asked.load(Ordering::SeqCst)
    }

    /// Nothing more of what comes is taken here.
    fn over(&self) -> bool {
        self.in_flight.is_closed() || self.let_go()
    }

    /// Lets the connection go while clients are: it falls quiet, or nothing more is read of it. One that owes something
    /// then ends with the last answer, in [`Connection::paid`]. Its reader must not be woken by an end of the reading:
    /// that looks like a client's leaving.
    fn part(&self) {
        if self.in_flight.is_closed() {
            let waited = self.ended_at().is_some_and(|at| at.elapsed() >= self.limits.client_linger);
            if waited && self.in_flight.count() == 0 {
                // Its reader still waits for a client that does not end it.
                self.cut();
            }
            return;
        }
        // A newcomer's first command is on its way.
        let fresh = !self.asked.load(Ordering::SeqCst) && self.since.elapsed() < self.limits.client_greeted;
        if !fresh && self.may_end() {
            self.retire();
        }
    }

    /// Ends the sending, behind all that was written; no command is taken from here on. Reading goes on: once both ways
    /// are shut, whatever still comes is answered with a reset, and a reset may take the last answer with it.
    pub fn finish(&self) {
        self.in_flight.close();
        let now = self.since.elapsed().as_millis() as u64;
        _ = self.ended_ms.compare_exchange(NOT_ENDED, now, Ordering::SeqCst, Ordering::SeqCst);
        // An error means that it is closed already.
        _ = self.socket.shutdown(Shutdown::Write);
    }

    /// When the sending was ended.
    fn ended_at(&self) -> Option<Instant> {
        let ms = self.ended_ms.load(Ordering::SeqCst);
        (ms != NOT_ENDED).then(|| self.since + Duration::from_millis(ms))
    }

    /// Ends the connection both ways and frees its place at once.
    fn cut(&self) {
        self.finish();
        if !self.cut.swap(true, Ordering::SeqCst) {
            _ = self.socket.shutdown(Shutdown::Both);
        }
    }

    /// Ends the sending and reads on, to nobody, until the client ends it too, for a time and a number of bytes: closed
    /// over unread bytes the connection would be reset, and a reset may take the last answer with it.
    fn linger(&self) {
        self.finish();
        let ended = self.ended_at().unwrap_or_else(Instant::now);
        let until = (ended + self.limits.client_linger).max(Instant::now() + LOOK);
        let (mut left, mut nobody) = (self.limits.client_linger_bytes, [0; 8192]);
        while left > 0 && !self.cut.load(Ordering::SeqCst) {
            match DeadlineReader::new(&self.socket, until).read(&mut nobody) {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// A request has been made: its client comes again.
    pub fn requested(&self) {
        if !self.requested.swap(true, Ordering::Relaxed) {
            self.manners.asking.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How long it may rest. The front deals out no more than a share of the descriptors: where clients that asked once
    /// and keep their connections have taken most of that, others hear a refusal from it and never come here.
    fn rest(&self) -> Duration {
        match 4 * self.manners.asking.load(Ordering::Relaxed) > 3 * self.limits.client_share {
            true => self.limits.client_idle_crowded,
            false => self.limits.client_idle,
        }
    }

    /// Whether the last command could not be read: such a client has no claim to rest.
    pub fn faulty(&self, yes: bool) {
        self.faulty.store(yes, Ordering::Relaxed);
    }

    /// Ends the connection for both threads that stand on it: a reader that waits for its client waits no longer.
    pub fn close(&self) {
        // The mark comes first: a reader that is not seen to wait sees the mark before it does.
        self.finish();
        if self.reading.load(Ordering::SeqCst) {
            self.cut();
        }
    }

    /// Ends the connection if nothing is owed on it.
    fn retire(&self) -> bool {
        let retired = self.in_flight.close_if_idle();
        if retired {
            self.finish();
        }
        retired
    }

    /// Frees the connection's place if nothing is owed on it and nothing has come: what it was told last is long there.
    fn release(&self) -> bool {
        let released = self.silent() && self.in_flight.close_if_idle();
        if released {
            self.cut();
        }
        released
    }

    /// Since when nothing has been owed.
    fn quiet_since(&self) -> Instant {
        self.since + Duration::from_millis(self.quiet_ms.load(Ordering::Relaxed))
    }

    /// Ends the connection if nothing has been asked on it for as long as it may rest. A request that has come by now,
    /// later than this thread ran, is still read.
    pub fn retire_if_spent(&self) -> bool {
        let most = match self.asked.load(Ordering::Relaxed) {
            true => self.rest(),
            false => self.limits.client_first.saturating_sub(self.quiet_since() - self.since),
        };
        self.quiet_since().elapsed() >= most && self.release()
    }

    /// How long it may rest where room is wanted.
    fn least(&self) -> Duration {
        if self.in_flight.is_closed() {
            return Duration::ZERO;
        }
        // One that has made no request, an empty query at most, has no claim to rest like one that will ask again:
        // a few hundred a second of these would keep everybody else out.
        match (self.requested.load(Ordering::Relaxed), self.faulty.load(Ordering::Relaxed)) {
            (_, true) => Duration::ZERO,
            (true, _) => self.limits.client_idle_least,
            (false, _) => self.limits.client_start_least,
        }
    }

    /// What the socket holds: nothing yet, more commands, or the client's end.
    pub fn standing(&self) -> Standing {
        if self.requests.departed() {
            return Standing::Gone;
        }
        if self.let_go() {
            // What still comes is not for this process.
            return Standing::Quiet;
        }
        match peek(&self.socket) {
            Ok(0) => Standing::Gone,
            Ok(_) => Standing::Asking,
            Err(e) if timed_out(&e) => Standing::Quiet,
            Err(_) => Standing::Gone,
        }
    }

    /// Nothing has come that waits to be read.
    fn silent(&self) -> bool {
        is_idle_and_open(&self.socket)
    }

    /// Reads the startup, which has to be whole within [`Limits::client_start`] of connecting.
    pub fn startup(&self) -> Timed<'_> {
        Timed { of: self, until: self.since + self.limits.client_start, begun: true, whole: Duration::ZERO }
    }

    /// Reads a command: it may let wait for itself, but once begun it has to come whole within
    /// [`Limits::client_message`].
    pub fn command(&self, begun: bool) -> Timed<'_> {
        let (now, whole) = (Instant::now(), self.limits.client_message);
        let until = match (begun, self.asked.load(Ordering::Relaxed)) {
            (true, _) => now + whole,
            (false, false) => self.since + self.limits.client_first,
            // The rest counts from the last answer, which may be given while this waits.
            (false, true) if self.in_flight.count() == 0 => self.quiet_since() + self.rest(),
            (false, true) => now + self.rest(),
        };
        self.begun.store(begun, Ordering::SeqCst);
        // Its time may be up before it was ever looked at.
        Timed { of: self, until: until.max(now + LOOK), begun, whole }
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
    of: &'a Connection,
    until: Instant,
    begun: bool,
    whole: Duration,
}

impl Read for Timed<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        // First said, then looked: whoever ends the connection looks the other way round.
        self.of.reading.store(true, Ordering::SeqCst);
        let got = match self.of.over() {
            true => Ok(0),
            false => DeadlineReader::new(&self.of.socket, self.until).read(to),
        };
        // It may have been ended while this waited: what came then is not for this process, nor what came before it of
        // the same command, and nobody is told that the rest is missing.
        let got = if self.of.over() { Ok(0) } else { got };
        if let Ok(n) = got {
            self.of.begun.store(n > 0, Ordering::SeqCst);
            if !std::mem::replace(&mut self.begun, true) {
                self.until = Instant::now() + self.whole;
            }
        }
        self.of.reading.store(false, Ordering::SeqCst);
        got
    }
}

/// A read that ended because its time was up.
pub fn timed_out(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// What a front is told while it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// End: SIGTERM has come.
    End,
    /// Operators drain the router, or no longer, as [`Clients::drain`] has said.
    Drain(bool),
    /// How many processes of this router there are, this one included, and whether another one takes clients.
    Sharing {
        /// Processes.
        processes: usize,
        /// Another one takes clients.
        successor: bool,
    },
}

/// All connections of one front.
pub struct Clients<T> {
    front: Arc<T>,
    limits: Arc<Limits>,
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    next: AtomicUsize,
    /// How many may be open.
    most: AtomicUsize,
    manners: Arc<Manners>,
    accepting: Arc<AtomicBool>,
    departures: Departures,
}

impl<T: Talk> Clients<T> {
    /// Nobody is connected yet.
    pub fn new(front: Arc<T>, limits: Arc<Limits>) -> Arc<Self> {
        let (open, next, most) =
            (Mutex::default(), AtomicUsize::new(0), AtomicUsize::new(limits.client_connections));
        let (manners, accepting) = (Arc::default(), Arc::default());
        let departures = Departures::new();
        Arc::new(Clients { front, limits, open, next, most, manners, accepting, departures })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether connections are taken, for whoever asks from elsewhere.
    pub fn accepting(&self) -> Arc<AtomicBool> {
        self.accepting.clone()
    }

    /// Operators drain the router, or no longer: whoever asks from now on hears a no. [`Order::Drain`] follows, which
    /// lets clients go.
    pub fn drain(&self, yes: bool) {
        self.manners.drained.store(yes, Ordering::SeqCst);
    }

    /// So many processes serve as this router from now on: each takes its part of the clients. What is known before
    /// [`Clients::serve`] binds the first of them.
    pub fn sharing(&self, processes: usize) {
        self.most.store(self.limits.client_connections / processes.max(1), Ordering::Relaxed);
    }

    /// Takes connections until an order ends it; returns when the last one has ended, or after
    /// [`Limits::shutdown_most`]. Where nobody gives orders any more it goes on for good.
    pub fn serve(self: &Arc<Self>, listening: Listening, orders: &Receiver<Order>) -> io::Result<()> {
        let (clients, own) = (self.clone(), listening.try_clone()?);
        // Held ready: at the end there may be no descriptor left for it.
        let waker = listening.waker()?;
        let (done, ended) = bounded::<()>(0);
        self.accepting.store(true, Ordering::Release);
        let watched = self.clone();
        spawn("departures", self.limits.stack_bytes, move || {
            watched.departures.run(|number| watched.departed(number));
        })?;
        spawn("accept", self.limits.stack_bytes, move || {
            clients.accept(&own);
            drop((own, done));
        })?;
        let mut listening = Some((listening, ended));
        let l = &self.limits;
        let mut leaving = Leaving::new(Times {
            grace: l.shutdown_grace,
            last: l.shutdown_last,
            most: l.shutdown_most,
            drain_quiet: l.drain_quiet,
            drain_last: l.drain_last,
        });
        let (begun, mut successor, mut actions) = (Instant::now(), false, Vec::new());
        loop {
            let order = match leaving.under_way() {
                // Blocks until an order comes, or for good if none ever does.
                false => orders.recv().map_err(|_| RecvTimeoutError::Disconnected),
                true => orders.recv_timeout(Duration::from_millis(5)),
            };
            let event = match order {
                Ok(Order::End) => {
                    tracing::info!(
                        "shutdown: taking requests for {:?} more",
                        match successor {
                            true => Duration::ZERO,
                            false => l.shutdown_grace,
                        }
                    );
                    Event::End { successor }
                }
                Ok(Order::Drain(yes)) => Event::Drain(yes),
                Ok(Order::Sharing { processes, successor: other }) => {
                    successor = other;
                    self.sharing(processes);
                    Event::Successor(other)
                }
                Err(RecvTimeoutError::Timeout) => {
                    self.open().values().cloned().collect::<Vec<_>>().iter().for_each(|c| c.part());
                    Event::Look { open: self.open().len() }
                }
                Err(RecvTimeoutError::Disconnected) if leaving.under_way() => {
                    std::thread::sleep(Duration::from_millis(5));
                    Event::Look { open: self.open().len() }
                }
                Err(RecvTimeoutError::Disconnected) => {
                    std::thread::park();
                    continue;
                }
            };
            leaving.handle(begun.elapsed(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::SayNo(yes) => {
                        tracing::info!("drain: {}", if yes { "the router says no" } else { "over" });
                    }
                    Action::Treat(step) => self.manners.step.store(step as u8, Ordering::SeqCst),
                    Action::StopAccepting => {
                        if let Some((listening, ended)) = listening.take() {
                            self.stop_accepting(listening, &waker, &ended, successor);
                        }
                    }
                    Action::Ended => {
                        tracing::info!("shutdown: ended with {} connections left", self.open().len());
                        return Ok(());
                    }
                }
            }
        }
    }

    fn stop_accepting(
        self: &Arc<Self>,
        listening: Listening,
        waker: &Waker,
        ended: &Receiver<()>,
        successor: bool,
    ) {
        self.accepting.store(false, Ordering::Release);
        waker.wake();
        _ = ended.recv_timeout(Duration::from_secs(1));
        // What the kernel has accepted already is ours, unless another process takes it from the same queue.
        if !successor {
            listening.rest().for_each(|(socket, from)| self.admit(socket, from));
        }
    }

    fn accept(self: &Arc<Self>, listening: &Listening) {
        let mut said: Option<Instant> = None;
        while self.accepting.load(Ordering::Acquire) {
            match listening.accept() {
                Ok(Some((socket, from))) => {
                    self.make_room();
                    self.admit(socket, from);
                }
                Ok(None) => {}
                // Out of descriptors, or a client that left at once.
                Err(e) => {
                    // As often as it is tried, it would fill the log.
                    let again = said.is_none_or(|at| at.elapsed() >= Duration::from_secs(1));
                    if e.kind() != io::ErrorKind::WouldBlock && again {
                        said = Some(Instant::now());
                        tracing::warn!("clients: cannot accept: {e}");
                    }
                    if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) {
                        self.release_some(&self.open());
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
    }

    /// At the bound, a connection that says nothing makes room; where none may be let go, the next one waits
    /// unaccepted until one may.
    fn make_room(&self) {
        // A connection that has been accepted is served, whatever the bound, once no more are.
        while self.accepting.load(Ordering::Acquire) {
            {
                let all = self.open();
                if all.len() < self.most.load(Ordering::Relaxed) {
                    return;
                }
                self.release_some(&all);
            }
            std::thread::sleep(self.limits.client_room);
        }
    }

    /// The client of a connection has left: nothing more is done for it.
    fn departed(&self, number: u64) {
        let connection = self.open().get(&number).cloned();
        if let Some(connection) = connection {
            connection.depart(|id| self.front.left(id));
        }
    }

    /// Lets some connections go that have the least claim to their place.
    fn release_some(&self, all: &HashMap<u64, Arc<Connection>>) {
        // First who is ended already or sent what can't be read, then who made no request yet, then who asked
        // nothing for the longest time. Silence is looked up at the socket: under load, a reader may
        // lag behind what has come.
        let now = Instant::now();
        let mut found: Vec<_> = all
            .values()
            .filter(|c| c.in_flight.count() == 0 && !c.cut.load(Ordering::SeqCst))
            .map(|c| (c.least(), c.quiet_since(), c))
            .filter(|(least, since, _)| now.saturating_duration_since(*since) >= *least)
            .collect();
        found.sort_unstable_by_key(|(least, since, _)| (*least, *since));
        // Some at a time: looking for one costs as much.
        let spent = found.into_iter().filter(|(_, _, c)| match c.in_flight.is_closed() {
            true => {
                c.cut();
                true
            }
            false => c.release(),
        });
        _ = spent.take(8).count();
    }

    fn admit(self: &Arc<Self>, socket: TcpStream, from: SocketAddr) {
        let ready = socket.set_nonblocking(false).and_then(|()| socket.set_nodelay(true));
        let ready = ready.and_then(|()| socket.set_write_timeout(Some(self.limits.client_write)));
        if let Err(e) = ready {
            return tracing::warn!("clients: {from}: {e}");
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed) as u64;
        let manners = self.manners.clone();
        let connection = Arc::new(Connection {
            socket,
            number,
            requests: Requests::default(),
            since: Instant::now(),
            limits: self.limits.clone(),
            in_flight: InFlight::default(),
            asked: AtomicBool::new(false),
            requested: AtomicBool::new(false),
            faulty: AtomicBool::new(false),
            quiet_ms: AtomicU64::new(0),
            begun: AtomicBool::new(false),
            reading: AtomicBool::new(false),
            ended_ms: AtomicU64::new(NOT_ENDED),
            cut: AtomicBool::new(false),
            manners,
        });
        self.open().insert(number, connection.clone());
        self.departures.watch(&connection);
        let clients = self.clone();
        let talk = move || {
            clients.front.talk(&connection);
            connection.linger();
            connection.cut();
            if connection.requested.load(Ordering::Relaxed) {
                clients.manners.asking.fetch_sub(1, Ordering::Relaxed);
            }
            clients.open().remove(&number);
        };
        if let Err(e) = spawn("client", self.limits.stack_bytes, talk) {
            tracing::error!("clients: no thread for {from}: {e}");
            self.open().remove(&number);
        }
    }
}
