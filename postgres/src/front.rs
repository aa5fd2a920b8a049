//! The front for the platform's clients. Each connection has a reader, which hands requests to the module, notices
//! a client that leaves and writes the answer; for a client that asks ahead of its answers, a writer joins it, which
//! writes them in the order of the commands.
use crate::link::Postgres;
use crate::message::{
    Buffer, CancelKey, Frame, Pool, READY, Room, Startup, invalid, push, push_error, push_parameter,
    write_gathered,
};
use crate::statement::Statement;
use client_listener::{Connection, ConnectionHandler, SocketState, is_timeout};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use routing::reasons::CloseReason;
use routing::{
    ClientRequest, FinalResponse, GroupId, Outcome, RequestId, RouterHandle, SessionId, Settings, Time, spawn,
};
use settings::Limits;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

fn micros(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000)
}

/// What all connections of the front share.
pub struct Front {
    handle: RouterHandle<Postgres>,
    limits: Arc<Limits>,
    /// Places and deadlines of the classes.
    classes: HashMap<Vec<u8>, (usize, i64)>,
    /// Ids of open requests. An id stands for one request: another one that names it must get neither its answer
    /// nor its end.
    ids: Mutex<HashSet<Vec<u8>>>,
    /// Open connections by the keys that they were told.
    keys: Mutex<HashMap<CancelKey, Arc<Connection>>>,
    /// What clients' long messages and open requests may still take.
    pool: Pool,
    /// What of it is another process's of this router.
    set_aside: Mutex<isize>,
}

/// An open request's id, and what its statement holds of the pool; both are free again when this is dropped. A request
/// that has no answer by then is given up: nobody waits for it.
struct Opened {
    front: Arc<Front>,
    connection: Arc<Connection>,
    /// Once it has been handed over.
    request: Option<RequestId>,
    id: Vec<u8>,
    _room: Room,
}

impl Opened {
    /// It has its answer.
    fn answered(mut self) {
        self.request.take().into_iter().for_each(|id| _ = self.connection.in_flight_requests.finish(id));
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        if let Some(id) = self.request.take().filter(|id| self.connection.in_flight_requests.finish(*id)) {
            self.front.handle.client_disconnected(id);
        }
        self.front.ids().remove(&self.id);
    }
}

/// The key that a connection was told; it means nothing any more when this is dropped.
struct Keyed<'a> {
    front: &'a Front,
    key: CancelKey,
}

impl Drop for Keyed<'_> {
    fn drop(&mut self) {
        self.front.keys().remove(&self.key);
    }
}

/// What the writer owes next.
enum Owed {
    Ready(Vec<u8>),
    /// The command could not be read.
    Error(Vec<u8>),
    Answer(Given, Opened),
}

/// Where a request's final answer comes out.
type Given = Receiver<FinalResponse<Vec<u8>>>;

/// Why a connection is read no further.
enum End {
    /// Its client has left, or takes no answers: its requests are given up.
    Left,
    /// It is this side that reads no more, or it is retired already: what was read is answered.
    LetGo,
    /// Its client broke the protocol: it gets what it is owed and then hears why the connection ends.
    Broken(io::Error),
}

/// Why a request is not handed over.
enum Unsubmitted {
    /// With this code and text.
    Refused(&'static str, &'static str),
    /// Its client has left meanwhile.
    Departed,
}

impl ConnectionHandler for Front {
    /// Reads one connection to its end.
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        let socket = &connection.socket;
        let mut buffer = Buffer::pooled(self.limits.max_message_bytes, &self.pool);
        let _key = match self.greet(&mut buffer, connection) {
            Ok(Some(key)) => key,
            Ok(None) => return,
            Err(e) => return self.hang_up(socket, &e),
        };
        if buffer.is_empty() {
            // No request came along with the startup: it is sent only now.
            connection.take_command_age();
        }
        let (mut skip_to_sync, mut writer) = (false, None::<Writer>);
        let end = loop {
            let frame = match buffer.next(connection.command_reader(!buffer.is_empty())) {
                Ok(Some(f)) if f.tag != b'X' => f,
                Ok(Some(_)) => break End::Left,
                Err(e) if is_timeout(&e) && !buffer.is_empty() => {
                    break End::Broken(invalid("half a message"));
                }
                Err(e) if is_timeout(&e) && !connection.close_if_idle_timed_out() => continue,
                Err(e) if is_timeout(&e) => break End::LetGo,
                Err(e) if e.kind() == io::ErrorKind::InvalidData => break End::Broken(e),
                // Where the client has left, too, whoever watches its socket says so.
                Ok(None) | Err(_) if connection.reading_stopped() => break End::LetGo,
                Ok(None) | Err(_) => break End::Left,
            };
            // What it wrote before its end is not carried out after it.
            if connection.in_flight_requests.is_disconnected() {
                break End::Left;
            }
            // A request is not taken where its answer has no place in the row.
            if frame.tag == b'Q' && writer.as_ref().is_some_and(|w| w.owe.is_full()) {
                break End::Broken(invalid(TOO_MANY));
            }
            if !connection.begin_command(!buffer.is_empty()) {
                break End::LetGo;
            }
            connection.set_last_command_malformed(false);
            let next = self.command(connection, &buffer, &frame, &mut skip_to_sync);
            match &next {
                Some(Owed::Error(_)) => connection.set_last_command_malformed(true),
                Some(Owed::Answer(..)) => connection.record_request(),
                _ => {}
            }
            let next = match next {
                // One command at a time needs no writer.
                Some(next) if writer.is_none() => match self.answer(connection, &buffer, next) {
                    Step::Answered => continue,
                    Step::Gone => break End::Left,
                    Step::Ahead(next) => Some(next),
                },
                next => next,
            };
            let Some(next) = next else {
                connection.finish_command();
                continue;
            };
            if writer.is_none() {
                writer = self.writer(connection);
            }
            let Some(w) = &writer else {
                // No thread is to be had: its answer is waited for here, and the next command is read after it.
                match self.answer_alone(connection, next) {
                    true => continue,
                    false => break End::Left,
                }
            };
            match w.owe.try_send(next) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => break End::Broken(invalid(TOO_MANY)),
                Err(TrySendError::Disconnected(_)) => break End::Left,
            }
        };
        if let End::Broken(e) = &end {
            connection.set_close_reason(CloseReason::Malformed);
            tracing::debug!("client {}: {e}", connection.id);
        }
        match (end, &writer) {
            (End::LetGo, _) => {}
            (End::Left, _) => self.give_up(connection),
            (End::Broken(e), None) => self.hang_up(socket, &e),
            (End::Broken(e), Some(w)) => {
                let mut text = Vec::new();
                push_error(&mut text, "FATAL", "08P01", &e.to_string(), None);
                if connection.begin_command(false) {
                    _ = w.owe.send(Owed::Ready(text));
                }
            }
        }
        if let Some(Writer { owe, ended }) = writer {
            drop(owe);
            // The writer drops its end when it has written all.
            _ = ended.recv();
        }
    }

    fn reject(&self, connection: &Connection) {
        let mut text = Vec::new();
        push_error(
            &mut text,
            "FATAL",
            "53300",
            "refused: no thread is to be had; trying again is harmless",
            None,
        );
        // A client that has left already needs no answer.
        _ = write_gathered(&connection.socket, &[&text]);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.handle.client_disconnected(request);
    }
}

/// What a client hears that asks further ahead of its answers than is kept for one.
const TOO_MANY: &str = "too many commands ahead of their answers";

/// The thread that writes the answers of a client which asks ahead of them.
struct Writer {
    owe: Sender<Owed>,
    ended: Receiver<()>,
}

/// How a command that was answered alone has ended.
enum Step {
    Answered,
    Gone,
    /// The client asks on before its answer: a writer takes over.
    Ahead(Owed),
}

impl Front {
    /// A front whose clients name these classes.
    pub fn new(
        handle: RouterHandle<Postgres>,
        limits: Arc<Limits>,
        names: &[String],
        settings: &Settings,
    ) -> Arc<Front> {
        let deadlines = settings.classes.iter().map(|c| c.deadline);
        let places = names.iter().map(|c| c.clone().into_bytes()).zip(deadlines.enumerate());
        let (classes, ids, keys) = (places.collect(), Mutex::default(), Mutex::default());
        let pool = Pool::new(AtomicIsize::new(limits.max_client_memory_bytes as isize));
        Arc::new(Front { handle, limits, classes, ids, keys, pool, set_aside: Mutex::default() })
    }

    /// So many processes serve as this router from now on: each takes its part of the memory for clients. What is held
    /// beyond it is kept until it is let go.
    pub fn sharing(&self, processes: u32) {
        let all = self.limits.max_client_memory_bytes as isize;
        let aside = all - all / processes.max(1) as isize;
        let mut before = self.set_aside.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        self.pool.fetch_add(std::mem::replace(&mut *before, aside) - aside, Ordering::Relaxed);
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<Vec<u8>>> {
        self.ids.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn keys(&self) -> MutexGuard<'_, HashMap<CancelKey, Arc<Connection>>> {
        self.keys.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A key of a connection's own, which nobody else can guess.
    fn key(&self, connection: &Arc<Connection>) -> io::Result<Keyed<'_>> {
        loop {
            let mut key = CancelKey::default();
            getrandom::fill(&mut key)?;
            if let Entry::Vacant(free) = self.keys().entry(key) {
                free.insert(connection.clone());
                return Ok(Keyed { front: self, key });
            }
        }
    }

    /// Cancels what the connection of this key waits for now, if there is one and if it waits.
    fn cancel(&self, key: &CancelKey) {
        let connection = self.keys().get(key).cloned();
        if let Some(id) = connection.and_then(|c| c.in_flight_requests.oldest()) {
            self.handle.cancel(id);
        }
    }

    fn hang_up(&self, socket: &TcpStream, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData {
            let mut text = Vec::new();
            push_error(&mut text, "FATAL", "08P01", &error.to_string(), None);
            _ = write_gathered(socket, &[&text]);
        }
    }

    /// Reads the startup message and greets; `None` where the client wanted something else.
    fn greet(&self, buffer: &mut Buffer, connection: &Arc<Connection>) -> io::Result<Option<Keyed<'_>>> {
        const CANCEL: u32 = 80_877_102;
        const SSL: u32 = 80_877_103;
        const GSS: u32 = 80_877_104;
        let socket = &connection.socket;
        loop {
            match buffer.startup(connection.startup_reader())? {
                Some(Startup { code: SSL | GSS, .. }) => write_gathered(socket, &[b"N"])?,
                Some(Startup { code, .. }) if code >> 16 == 3 => break,
                // No answer tells whether the key was right.
                Some(Startup { code: CANCEL, key: Some(key) }) => {
                    self.cancel(&key);
                    return Ok(None);
                }
                _ => return Ok(None),
            }
        }
        let key = self.key(connection)?;
        write_gathered(socket, &[&greeting(&key.key)])?;
        Ok(Some(key))
    }

    /// What is owed for one message, if anything.
    fn command(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        buffer: &Buffer,
        frame: &Frame,
        skip_to_sync: &mut bool,
    ) -> Option<Owed> {
        let mut ready = Vec::new();
        match frame.tag {
            b'Q' => return self.query(connection, buffer, frame),
            b'S' => {
                *skip_to_sync = false;
                ready.extend_from_slice(READY);
            }
            _ if *skip_to_sync => return None,
            b'H' => return None,
            tag => {
                let text = "only simple queries are spoken here";
                push_error(&mut ready, "ERROR", "0A000", text, None);
                // The extended protocol skips what follows an error until its Sync.
                *skip_to_sync = matches!(tag, b'P' | b'B' | b'D' | b'E' | b'C');
                if !*skip_to_sync {
                    ready.extend_from_slice(READY);
                }
                return Some(Owed::Error(ready));
            }
        }
        Some(Owed::Ready(ready))
    }

    fn query(self: &Arc<Self>, connection: &Arc<Connection>, buffer: &Buffer, frame: &Frame) -> Option<Owed> {
        let body = buffer.get(frame.body());
        let text = body.strip_suffix(b"\0").unwrap_or(body).trim_ascii();
        let mut ready = Vec::new();
        let word = text.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or(b"").to_ascii_uppercase();
        if text.is_empty() && connection.is_draining() {
            // The platform's front asks so whether clients may come.
            push_error(&mut ready, "ERROR", "57P03", "the router is drained by its operators", None);
        } else if text.is_empty() {
            push(&mut ready, b'I', &[]);
        } else if matches!(&word[..], b"SET" | b"RESET" | b"DISCARD") {
            push(&mut ready, b'C', &[&word, b"\0"]);
        } else {
            match self.submit(connection, buffer.get(frame.whole.clone())) {
                Ok((answer, opened)) => return Some(Owed::Answer(answer, opened)),
                Err(Unsubmitted::Departed) => return None,
                Err(Unsubmitted::Refused(code, what)) => {
                    push_error(&mut ready, "ERROR", code, what, None);
                    ready.extend_from_slice(READY);
                    return Some(Owed::Error(ready));
                }
            }
        }
        ready.extend_from_slice(READY);
        Some(Owed::Ready(ready))
    }

    fn submit(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        message: &[u8],
    ) -> Result<(Given, Opened), Unsubmitted> {
        let refused = Unsubmitted::Refused;
        let now = self.handle.clock.now();
        let mut room = Room::new(&self.pool);
        let held = room.grow(message.len());
        let statement = Statement::parse(message).map_err(|m| refused("42601", m.0))?;
        let known = self.classes.get(statement.class());
        let (class, longest) =
            *known.ok_or_else(|| refused("42601", "the comment names an unknown class"))?;
        if !held {
            self.handle.count_rejected(class);
            return Err(refused("53300", "refused: too much is under way"));
        }
        let id = statement.id().to_vec();
        if !self.ids().insert(id.clone()) {
            return Err(refused("42710", "a request of this id is open"));
        }
        let connection = connection.clone();
        let mut opened = Opened { front: self.clone(), connection, request: None, id, _room: room };
        let session = statement.key().map(|k| {
            let mut h = DefaultHasher::new();
            k.hash(&mut h);
            SessionId(h.finish())
        });
        let (answer, given) = bounded(1);
        let wall_clock = &self.handle.wall_clock;
        let age = opened.connection.take_command_age().as_micros() as i64;
        let incoming = ClientRequest {
            connection: opened.connection.id,
            class,
            tenant: None,
            session,
            group: GroupId(statement.group),
            // Nobody waits longer than the class does, whatever is said. The client's time runs from when it sent this.
            deadline: Time(now.0 + micros(statement.wait_ms).min(longest) - age),
            session_commit: statement.after_ms.map(|ms| wall_clock.commit(Time(ms.saturating_mul(1000)))),
            payload: statement,
            response_sender: answer,
        };
        opened.request = opened.connection.submit(|| self.handle.submit(incoming));
        match opened.request {
            Some(request) => {
                let (connection, id) = (opened.connection.id, opened.id.escape_ascii());
                tracing::debug!(request = request.0, connection, %id, "request named");
                Ok((given, opened))
            }
            None => Err(Unsubmitted::Departed),
        }
    }

    fn writer(self: &Arc<Self>, connection: &Arc<Connection>) -> Option<Writer> {
        let (owe, owed) = bounded(self.limits.max_pipelined_requests);
        let (front, own) = (self.clone(), connection.clone());
        let (done, ended) = bounded::<()>(0);
        let write = move || {
            front.write(&own, &owed);
            drop(done);
        };
        spawn("answers", self.limits.socket_thread_stack_bytes, write).ok()?;
        Some(Writer { owe, ended })
    }

    /// Nobody takes the answers to what is in flight on a connection any more.
    fn give_up(&self, connection: &Connection) {
        connection.mark_disconnected(|id| self.handle.client_disconnected(id));
    }

    /// Answers a command on the reader's own thread: most clients ask one thing at a time, and a second thread for
    /// each costs memory and, where the machine stops and starts the process, time.
    fn answer(&self, connection: &Connection, buffer: &Buffer, next: Owed) -> Step {
        let text = match next {
            Owed::Ready(text) | Owed::Error(text) => text,
            Owed::Answer(given, opened) => loop {
                if !buffer.is_empty() {
                    return Step::Ahead(Owed::Answer(given, opened));
                }
                match given.recv_timeout(self.limits.client_poll_interval) {
                    Ok(answer) => {
                        opened.answered();
                        break worded(answer);
                    }
                    Err(RecvTimeoutError::Timeout) => match connection.socket_state() {
                        SocketState::Idle => {}
                        SocketState::Readable => return Step::Ahead(Owed::Answer(given, opened)),
                        SocketState::Disconnected => {
                            self.give_up(connection);
                            return Step::Gone;
                        }
                    },
                    Err(RecvTimeoutError::Disconnected) => return Step::Gone,
                }
            },
        };
        if hand_out(connection, &text) { Step::Answered } else { Step::Gone }
    }

    /// Answers a command on the reader's own thread, whatever else its client asks meanwhile; `false` where nobody
    /// takes the answer.
    fn answer_alone(&self, connection: &Connection, next: Owed) -> bool {
        owed_text(next).is_some_and(|text| hand_out(connection, &text))
    }

    /// Writes answers in order until the reader is done or the client takes no more.
    fn write(&self, connection: &Connection, owed: &Receiver<Owed>) {
        for next in owed {
            if !self.answer_alone(connection, next) {
                self.give_up(connection);
                break;
            }
        }
        // The reader must not wait for a client that takes no answers.
        connection.close();
    }
}

/// Waits for what is owed; `None` where nobody will answer any more: its client has left, or the program ends.
fn owed_text(next: Owed) -> Option<Vec<u8>> {
    match next {
        Owed::Ready(text) | Owed::Error(text) => Some(text),
        Owed::Answer(given, opened) => given.recv().ok().map(|answer| {
            // Its client may use the id again as soon as it has the answer.
            opened.answered();
            worded(answer)
        }),
    }
}

/// Writes an answer, which pays for its command; `false` where the client takes no more.
fn hand_out(connection: &Connection, text: &[u8]) -> bool {
    connection.prepare_response();
    let written = write_gathered(&connection.socket, &[text]);
    connection.finish_command();
    if written.is_err() {
        connection.set_close_reason(CloseReason::ClientStalled);
    }
    written.is_ok()
}

/// A final answer in PostgreSQL's words.
fn worded(answer: FinalResponse<Vec<u8>>) -> Vec<u8> {
    let mut text = match answer {
        FinalResponse::Served(text, _) => text,
        FinalResponse::Rejected(come_back) => {
            let ms = come_back.map(|c| c.as_millis().to_string());
            let mut text = Vec::new();
            push_error(&mut text, "ERROR", "53300", "refused: trying again is harmless", ms.as_deref());
            text
        }
        FinalResponse::Cancelled => {
            let mut text = Vec::new();
            push_error(&mut text, "ERROR", "57014", "canceling statement due to user request", None);
            text
        }
        // This protocol's clients are told no reasons.
        FinalResponse::PlacementDenied(_) => return worded(FinalResponse::Rejected(None)),
        FinalResponse::Failed(last) => {
            let (code, said) = match last {
                Some(Outcome::TimedOut) => ("57014", "no answer in time; it may have run"),
                Some(Outcome::Reset) => ("08006", "the instance's connection broke; it may have run"),
                Some(Outcome::Error) => ("XX000", "the instance failed; it may have run"),
                _ => ("58000", "it could not be served"),
            };
            let mut text = Vec::new();
            push_error(&mut text, "ERROR", code, said, None);
            text
        }
    };
    text.extend_from_slice(READY);
    text
}

/// What a connection is greeted with once its startup is read.
fn greeting(key: &CancelKey) -> Vec<u8> {
    let mut b = Vec::with_capacity(256);
    push(&mut b, b'R', &[&[0, 0, 0, 0]]);
    for (name, value) in [
        ("server_version", "16.0 (damsonvale)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        push_parameter(&mut b, name, value);
    }
    push(&mut b, b'K', &[key]);
    b.extend_from_slice(READY);
    b
}
