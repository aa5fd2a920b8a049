//! Watches the list of servers: one HTTP request whose chunked answer stays open and carries a JSON object for each
//! change. [`silence`] decides when a watch is broken and what is opened when; here are the sockets and threads. One
//! thread drives; each connection has a thread that only reads. All news passes the driver, so nothing of a
//! connection that was closed reaches the list.
pub mod entries;
pub mod objects;
pub mod silence;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use http1::Answer;
use objects::{Objects, Piece, Unreadable};
use routing::{EndpointUpdate, EndpointsHandle, UpdateOrder, spawn};
use settings::Limits;
use silence::{Action, Event, Silence};
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Messages from the readers that may wait for the driver. Each may hold a whole list.
const WAITING: usize = 4;

/// Why a connection of the watch ended. It is opened anew in any case.
#[derive(Debug, Error)]
pub enum Broken {
    /// It can't be reached, broke, or did not answer in HTTP.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// Another status than 200.
    #[error("expected status 200, found {0}: check the path and that this address is discovery's")]
    Status(u16),
    /// The agent ended it.
    #[error("the agent closed it")]
    Closed,
    /// It brought something that is no list.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// It brought an object that is no list; nothing of it was applied.
    #[error("a list that can't be used: {0}")]
    List(settings::Error),
    /// It brought a change whose version comes before what was asked for or told on it.
    #[error("discovery counts its versions anew, the whole list is asked for")]
    Anew,
}

/// What the driver hears.
enum Heard {
    Follow(SocketAddr),
    /// This connection is up and asks for what comes after this version; closing the socket ends its reader.
    Up(u64, Open),
    Head(u64),
    Piece(u64, Piece),
    Ended(u64, Broken),
}

/// What the watch's handles share.
struct Shared {
    to: Sender<Heard>,
    /// Taken by the driver when it starts.
    from: Mutex<Option<Receiver<Heard>>>,
    first: Mutex<bool>,
    came: Condvar,
    /// The version held means nothing to discovery any more: the whole list is asked for.
    whole: AtomicBool,
}

/// A connection that is up.
struct Open {
    socket: Arc<TcpStream>,
    /// The version that it asked for, or told last.
    told: u64,
    /// Where it goes.
    to: SocketAddr,
}

/// Reads a socket that its driver may close. Not a handle of its own: descriptors are scarce.
struct Reading(Arc<TcpStream>);

impl Read for Reading {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(to)
    }
}

/// A poisoned lock guards a value that is whole all the same: each is set in one step.
fn open<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The watch, wherever it stands. It goes on when its handles are gone, until the list takes no more.
#[derive(Clone)]
pub struct Watch {
    zones: Vec<String>,
    limits: Arc<Limits>,
    list: EndpointsHandle,
    shared: Arc<Shared>,
}

impl Watch {
    /// A watch that is nowhere yet. News goes to the list's actor, which holds the version to resume at.
    pub fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Self {
        let (to, from) = bounded(WAITING);
        let from = Mutex::new(Some(from));
        let (first, came, whole) = (Mutex::default(), Condvar::new(), AtomicBool::new(false));
        let shared = Shared { to, from, first, came, whole };
        Watch { zones, limits, list, shared: Arc::new(shared) }
    }

    /// Watches this address from now on. Until it has brought something, what the old one tells still counts.
    /// Fails when no thread can be started.
    pub fn follow(&self, addr: SocketAddr) -> io::Result<()> {
        let mut from = open(&self.shared.from);
        if let Some(heard) = from.as_ref().cloned() {
            let driver = Driver::new(self.clone(), addr);
            spawn("discovery", self.limits.stack_bytes, move || driver.run(&heard))?;
            *from = None;
        }
        // An error means that the driver has ended, and so has the program's list.
        _ = self.shared.to.send(Heard::Follow(addr));
        Ok(())
    }

    /// Waits until the agent has told what it has, at most for `most`: `true` once its first news was handed to the
    /// list, or once it said by an empty line that it has none. Whatever the agent has counts as told from the first
    /// moment of a new process, so this is to be called before clients are taken. An agent that opens the answer and
    /// writes no line where it has no news is not told from a silent one: `most` passes then.
    pub fn first(&self, most: Duration) -> bool {
        let came = open(&self.shared.first);
        let wait = self.shared.came.wait_timeout_while(came, most, |came| !*came);
        *wait.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// The thread that decides; it alone tells the list.
struct Driver {
    watch: Watch,
    addr: SocketAddr,
    begun: Instant,
    silence: Silence,
    reader: entries::Reader,
    open: HashMap<u64, Open>,
    /// Whose version the list holds.
    teller: Option<SocketAddr>,
    /// Failed attempts since there was a watch: the first is logged, and each tenth.
    failed: u32,
}

impl Driver {
    fn new(watch: Watch, addr: SocketAddr) -> Driver {
        let limits = &watch.limits;
        let settings = silence::Settings {
            silent: limits.watch_silent,
            answer: limits.watch_answer,
            retry: limits.watch_retry,
            former: limits.watch_former,
            most: limits.watch_most,
            chance: limits.watch_chance(),
            patience: limits.watch_patience,
        };
        let reader = entries::Reader::new(watch.zones.clone());
        let (begun, open, silence) = (Instant::now(), HashMap::new(), Silence::new(settings));
        Driver { watch, addr, begun, silence, reader, open, teller: None, failed: 0 }
    }

    fn run(mut self, from: &Receiver<Heard>) {
        loop {
            let heard = match self.silence.due() {
                Some(due) => from.recv_deadline(self.begun + due),
                None => from.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match heard {
                Ok(Heard::Follow(addr)) => {
                    self.addr = addr;
                    self.handle(Event::Follow);
                }
                Ok(Heard::Up(number, open)) => self.up(number, open),
                Ok(Heard::Head(number)) => self.handle(Event::Head(number)),
                Ok(Heard::Piece(number, piece)) => {
                    if !self.piece(number, piece) {
                        self.open.values().for_each(|open| hang_up(&open.socket));
                        return;
                    }
                }
                Ok(Heard::Ended(number, why)) => self.ended(number, &why),
                Err(RecvTimeoutError::Timeout) => self.handle(Event::Due),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Takes a connection that has come up. One that was closed meanwhile is hung up, and so is one that asks from
    /// where discovery no longer counts.
    fn up(&mut self, number: u64, open: Open) {
        if !self.silence.listens_to(number) {
            return hang_up(&open.socket);
        }
        let old = open.told > 0 && self.watch.shared.whole.load(Ordering::Acquire);
        self.open.insert(number, open);
        if old {
            self.ended(number, &Broken::Anew);
        }
    }

    /// Takes one piece of a connection; `false` when nobody takes the news any more.
    fn piece(&mut self, connection: u64, piece: Piece) -> bool {
        if !self.silence.listens_to(connection) {
            return true;
        }
        let news = match piece {
            Piece::Blank => None,
            Piece::Object(bytes) => match self.reader.read(&bytes) {
                Ok(news) => Some(news),
                Err(e) => {
                    self.ended(connection, &Broken::List(e));
                    return true;
                }
            },
        };
        self.handle(Event::Line { connection, news: news.is_some() });
        if let Some(news) = news {
            let (found, complete) = (news.version, news.complete);
            // It has come up before it brings anything.
            let Some(open) = self.open.get_mut(&connection) else { return true };
            let (told, of) = (std::mem::replace(&mut open.told, found), open.to);
            let order = self.order(connection, told, of, &news);
            if !self.watch.list.notify_ordered(order, news) {
                return false;
            }
            if complete || (found >= told && order != UpdateOrder::AfterGap) {
                self.teller = Some(of);
            }
            if order == UpdateOrder::VersionsRestarted && told > 0 {
                // What else has changed since discovery began anew is not known: nothing builds on what is held.
                tracing::warn!("discovery: version {found} came after {told}");
                self.watch.shared.whole.store(true, Ordering::Release);
                let all: Vec<u64> = self.open.keys().copied().collect();
                all.iter().for_each(|number| self.ended(*number, &Broken::Anew));
            } else if complete || order == UpdateOrder::VersionsRestarted {
                self.watch.shared.whole.store(false, Ordering::Release);
            }
        }
        *open(&self.watch.shared.first) = true;
        self.watch.shared.came.notify_all();
        true
    }

    /// How news of this connection, which was at the version `told`, follows what the list has.
    fn order(&self, connection: u64, told: u64, of: SocketAddr, news: &EndpointUpdate) -> UpdateOrder {
        let whole = self.watch.shared.whole.load(Ordering::Acquire);
        if news.complete {
            // It stands for itself, whatever came before.
            UpdateOrder::Consecutive
        } else if (news.version < told && self.teller == Some(of)) || (whole && told == 0) {
            // Its own versions have gone back. Another agent's, after a move, may only be behind: what lies below the
            // version held is not taken then, until it brings a whole list.
            UpdateOrder::VersionsRestarted
        } else if self.silence.fell_silent(connection) {
            // It may have missed changes, and a new watch must still ask for these.
            UpdateOrder::AfterGap
        } else {
            UpdateOrder::Consecutive
        }
    }

    fn ended(&mut self, number: u64, why: &Broken) {
        if let Some(open) = self.open.remove(&number) {
            hang_up(&open.socket);
        }
        if !self.silence.listens_to(number) {
            return;
        }
        // While discovery is away, four attempts a second fail: not each is a line in the log.
        if self.failed.is_multiple_of(10) {
            tracing::warn!("discovery: the watch broke: {why}");
        } else {
            tracing::debug!("discovery: the watch broke: {why}");
        }
        self.failed += 1;
        self.handle(Event::Ended(number));
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.silence.handle(self.begun.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::Open(number) => self.open(number),
                Action::Close(number) => {
                    if let Some(open) = self.open.remove(&number) {
                        hang_up(&open.socket);
                    }
                }
                Action::Silent(_) => {
                    let silent = self.watch.limits.watch_silent;
                    tracing::warn!("discovery: no whole line for {silent:?}, the watch is opened anew");
                }
                Action::Back(without) => {
                    self.failed = 0;
                    tracing::info!("discovery: watched again after {without:?}");
                }
            }
        }
    }

    /// Starts a connection's reader. Where that fails, the connection has ended.
    fn open(&mut self, number: u64) {
        let (addr, limits) = (self.addr, self.watch.limits.clone());
        let (list, shared) = (self.watch.list.clone(), self.watch.shared.clone());
        let read = move || {
            let why = read(addr, number, &limits, &list, &shared).err().unwrap_or(Broken::Closed);
            // An error means that the driver has ended.
            _ = shared.to.send(Heard::Ended(number, why));
        };
        if let Err(e) = spawn("discovery", self.watch.limits.stack_bytes, read) {
            self.ended(number, &Broken::Socket(e));
        }
    }
}

fn hang_up(socket: &TcpStream) {
    // An error means that it is closed already.
    _ = socket.shutdown(Shutdown::Both);
}

/// Reads one connection to its end and passes on what it brings. A read without bytes goes on: how long that may
/// last is the driver's to say, which closes the socket.
fn read(
    addr: SocketAddr,
    number: u64,
    limits: &Limits,
    list: &EndpointsHandle,
    shared: &Shared,
) -> Result<(), Broken> {
    let to = &shared.to;
    let socket = TcpStream::connect_timeout(&addr, limits.watch_connect)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limits.watch_silent))?;
    socket.set_write_timeout(Some(limits.watch_silent))?;
    let version = if shared.whole.load(Ordering::Acquire) { 0 } else { list.version() };
    let socket = Arc::new(socket);
    let open = Open { socket: socket.clone(), told: version, to: addr };
    if to.send(Heard::Up(number, open)).is_err() {
        return Ok(());
    }
    write!(&*socket, "GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n")?;
    let answer = Answer::read(BufReader::with_capacity(8192, Reading(socket)))?;
    if answer.code != 200 {
        return Err(Broken::Status(answer.code));
    }
    let (mut body, mut objects) = (answer.body, Objects::new(limits.list_bytes));
    let (mut bytes, mut pieces) = (Vec::new(), Vec::new());
    let mut sent = to.send(Heard::Head(number));
    while sent.is_ok() {
        match body.some(&mut bytes) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(e) if patience(&e) => continue,
            Err(e) => return Err(e.into()),
        }
        let readable = objects.take(&bytes, &mut pieces);
        bytes.clear();
        sent = pieces.drain(..).try_for_each(|piece| to.send(Heard::Piece(number, piece)));
        readable?;
    }
    Ok(())
}

/// Whether a read only found nothing in its time, or met a signal.
fn patience(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
