//! The front for the platform's clients. Each connection has a reader, which hands requests to the module, notices
//! a client that leaves and writes the answer; for a client that asks ahead of its answers, a writer joins it, which
//! writes them in the order of the commands.
use crate::link::Postgres;
use crate::message::{
    Buffer, Frame, Pool, READY, Room, invalid, push, push_error, push_parameter, write_gathered,
};
use crate::statement::Statement;
use clients::{Connection, Standing, Talk, timed_out};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use routing::{Final, GroupId, Handle, Incoming, Outcome, RequestId, SessionId, Settings, Time, spawn};
use settings::Limits;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// In microseconds.
const DAY: i64 = 86_400_000_000;

fn micros(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000)
}

/// What all connections of the front share.
pub struct Front {
    handle: Handle<Postgres>,
    limits: Arc<Limits>,
    /// Places and deadlines of the classes.
    classes: HashMap<Vec<u8>, (usize, i64)>,
    /// Ids of open requests. An id stands for one request: another one that names it must get neither its answer
    /// nor its end.
    ids: Mutex<HashSet<Vec<u8>>>,
    /// What clients' long messages and open requests may still take.
    pool: Pool,
    /// What of it is another process's of this router.
    set_aside: Mutex<isize>,
}

/// An open request's id, and what its statement holds of the pool; both are free again when this is dropped.
struct Opened {
    front: Arc<Front>,
    id: Vec<u8>,
    _room: Room,
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.front.ids().remove(&self.id);
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
type Given = Receiver<Final<Vec<u8>>>;

impl Talk for Front {
    /// Reads one connection to its end.
    fn talk(self: &Arc<Self>, connection: &Arc<Connection>) {
        let socket = &connection.socket;
        let mut buffer = Buffer::pooled(self.limits.message_bytes, &self.pool);
        match self.greet(&mut buffer, connection) {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.hang_up(socket, &e),
        }
        // Requests that may still be under way, for the case that the client leaves.
        let mut under_way = VecDeque::with_capacity(self.limits.pipelined + 2);
        let (mut skip_to_sync, mut writer) = (false, None);
        let end = loop {
            let frame = match buffer.next(connection.command(!buffer.is_empty())) {
                Ok(Some(f)) if f.tag != b'X' => f,
                Ok(_) => break None,
                Err(e) if timed_out(&e) && !buffer.is_empty() => break Some(invalid("half a message")),
                Err(e) if timed_out(&e) && !connection.retire_if_spent() => continue,
                Err(e) => break Some(e),
            };
            if !connection.owe(!buffer.is_empty()) {
                break None;
            }
            connection.faulty(false);
            let next = self.command(connection, &buffer, &frame, &mut under_way, &mut skip_to_sync);
            match &next {
                Some(Owed::Error(_)) => connection.faulty(true),
                Some(Owed::Answer(..)) => connection.requested(),
                _ => {}
            }
            let next = match next {
                // One command at a time needs no writer.
                Some(next) if writer.is_none() => match self.answer(connection, &buffer, next) {
                    Step::Answered => continue,
                    Step::Gone => break None,
                    Step::Ahead(next) => Some(next),
                },
                next => next,
            };
            match next {
                Some(next) => {
                    if writer.is_none() {
                        writer = self.writer(connection);
                    }
                    match writer.as_ref().map(|w| w.owe.try_send(next)) {
                        Some(Ok(())) => {}
                        Some(Err(TrySendError::Full(_))) => {
                            break Some(invalid("too many commands ahead of their answers"));
                        }
                        Some(Err(TrySendError::Disconnected(_))) | None => break None,
                    }
                }
                None => {
                    connection.paid();
                }
            }
        };
        // A client that broke the protocol gets what it is owed and then hears why the connection ends.
        if let Some(e) = end.filter(|e| e.kind() == io::ErrorKind::InvalidData) {
            match &writer {
                None => self.hang_up(socket, &e),
                Some(w) => {
                    let mut text = Vec::new();
                    push_error(&mut text, "FATAL", "08P01", &e.to_string(), None);
                    if connection.owe(false) {
                        _ = w.owe.send(Owed::Ready(text));
                    }
                }
            }
        } else if !connection.let_go() {
            // Of one that is let go it is this side that reads no more: what was read is answered.
            under_way.iter().for_each(|id| self.handle.left(*id));
        }
        if let Some(Writer { owe, ended }) = writer {
            drop(owe);
            // The writer drops its end when it has written all.
            _ = ended.recv();
        }
    }
}

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
        handle: Handle<Postgres>,
        limits: Arc<Limits>,
        names: &[String],
        settings: &Settings,
    ) -> Arc<Front> {
        let deadlines = settings.classes.iter().map(|c| c.deadline);
        let places = names.iter().map(|c| c.clone().into_bytes()).zip(deadlines.enumerate());
        let (classes, ids) = (places.collect(), Mutex::default());
        let pool = Pool::new(AtomicIsize::new(limits.client_bytes as isize));
        Arc::new(Front { handle, limits, classes, ids, pool, set_aside: Mutex::default() })
    }

    /// So many processes serve as this router from now on: each takes its part of the memory for clients. What is held
    /// beyond it is kept until it is let go.
    pub fn sharing(&self, processes: u32) {
        let all = self.limits.client_bytes as isize;
        let aside = all - all / processes.max(1) as isize;
        let mut before = self.set_aside.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        self.pool.fetch_add(std::mem::replace(&mut *before, aside) - aside, Ordering::Relaxed);
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<Vec<u8>>> {
        self.ids.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn hang_up(&self, socket: &TcpStream, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData {
            let mut text = Vec::new();
            push_error(&mut text, "FATAL", "08P01", &error.to_string(), None);
            _ = write_gathered(socket, &[&text]);
        }
    }

    /// Reads the startup message and greets; `false` where the client wanted something else.
    fn greet(&self, buffer: &mut Buffer, connection: &Connection) -> io::Result<bool> {
        const SSL: u32 = 80_877_103;
        const GSS: u32 = 80_877_104;
        let socket = &connection.socket;
        loop {
            match buffer.startup(connection.startup())?.map(|s| s.code) {
                Some(SSL | GSS) => write_gathered(socket, &[b"N"])?,
                Some(code) if code >> 16 == 3 => break,
                // A CancelRequest needs no answer: a client gives a request up by leaving.
                _ => return Ok(false),
            }
        }
        write_gathered(socket, &[&greeting()])?;
        Ok(true)
    }

    /// What is owed for one message, if anything.
    fn command(
        self: &Arc<Self>,
        connection: &Connection,
        buffer: &Buffer,
        frame: &Frame,
        under_way: &mut VecDeque<RequestId>,
        skip_to_sync: &mut bool,
    ) -> Option<Owed> {
        let mut ready = Vec::new();
        match frame.tag {
            b'Q' => return Some(self.query(connection, buffer, frame, under_way)),
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

    fn query(
        self: &Arc<Self>,
        connection: &Connection,
        buffer: &Buffer,
        frame: &Frame,
        under_way: &mut VecDeque<RequestId>,
    ) -> Owed {
        let body = buffer.get(frame.body());
        let text = body.strip_suffix(b"\0").unwrap_or(body).trim_ascii();
        let mut ready = Vec::new();
        let word = text.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or(b"").to_ascii_uppercase();
        if text.is_empty() && connection.drained() {
            // The platform's front asks so whether clients may come.
            push_error(&mut ready, "ERROR", "57P03", "the router is drained by its operators", None);
        } else if text.is_empty() {
            push(&mut ready, b'I', &[]);
        } else if matches!(&word[..], b"SET" | b"RESET" | b"DISCARD") {
            push(&mut ready, b'C', &[&word, b"\0"]);
        } else {
            match self.submit(buffer.get(frame.whole.clone())) {
                Ok((id, answer, opened)) => {
                    // The writer has answered all but the newest of these.
                    while under_way.len() > self.limits.pipelined + 1 {
                        under_way.pop_front();
                    }
                    under_way.push_back(id);
                    return Owed::Answer(answer, opened);
                }
                Err((code, what)) => {
                    push_error(&mut ready, "ERROR", code, what, None);
                    ready.extend_from_slice(READY);
                    return Owed::Error(ready);
                }
            }
        }
        ready.extend_from_slice(READY);
        Owed::Ready(ready)
    }

    fn submit(
        self: &Arc<Self>,
        message: &[u8],
    ) -> Result<(RequestId, Given, Opened), (&'static str, &'static str)> {
        let now = self.handle.clock.now();
        let mut room = Room::new(&self.pool);
        let held = room.grow(message.len());
        let statement = Statement::parse(message).map_err(|m| ("42601", m.0))?;
        let unknown = ("42601", "the comment names an unknown class");
        let (class, longest) = *self.classes.get(statement.class()).ok_or(unknown)?;
        if !held {
            self.handle.refused(class);
            return Err(("53300", "refused: too much is under way"));
        }
        let id = statement.id().to_vec();
        if !self.ids().insert(id.clone()) {
            return Err(("42710", "a request of this id is open"));
        }
        let opened = Opened { front: self.clone(), id, _room: room };
        let session = statement.key().map(|k| {
            let mut h = DefaultHasher::new();
            k.hash(&mut h);
            SessionId(h.finish())
        });
        let (answer, given) = bounded(1);
        let id = self.handle.submit(Incoming {
            class,
            tenant: None,
            session,
            group: GroupId(statement.group),
            // Nobody waits longer than the class does, whatever is said.
            deadline: Time(now.0 + micros(statement.wait_ms).min(longest)),
            // What lies ahead of any clock is as far as what lies a day ahead, and can be reckoned with.
            token: statement.after_ms.map(|ms| Time(ms.saturating_mul(1000).min(now.0 + DAY))),
            payload: statement,
            answer,
        });
        Ok((id, given, opened))
    }

    fn writer(self: &Arc<Self>, connection: &Arc<Connection>) -> Option<Writer> {
        let (owe, owed) = bounded(self.limits.pipelined);
        let (front, own) = (self.clone(), connection.clone());
        let (done, ended) = bounded::<()>(0);
        let write = move || {
            front.write(&own, &owed);
            drop(done);
        };
        spawn("answers", self.limits.stack_bytes, write).ok()?;
        Some(Writer { owe, ended })
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
                match given.recv_timeout(self.limits.client_watch) {
                    Ok(answer) => {
                        drop(opened);
                        break worded(answer);
                    }
                    Err(RecvTimeoutError::Timeout) => match connection.standing() {
                        Standing::Quiet => {}
                        Standing::Asking => return Step::Ahead(Owed::Answer(given, opened)),
                        Standing::Gone => return Step::Gone,
                    },
                    Err(RecvTimeoutError::Disconnected) => return Step::Gone,
                }
            },
        };
        connection.part_with();
        let written = write_gathered(&connection.socket, &[&text]);
        connection.paid();
        if written.is_ok() { Step::Answered } else { Step::Gone }
    }

    /// Writes answers in order until the reader is done or the client takes no more.
    fn write(&self, connection: &Connection, owed: &Receiver<Owed>) {
        for next in owed {
            let text = match next {
                Owed::Ready(text) | Owed::Error(text) => text,
                Owed::Answer(given, opened) => match given.recv() {
                    Ok(answer) => {
                        // Its client may use the id again as soon as it has the answer.
                        drop(opened);
                        worded(answer)
                    }
                    // Nobody will answer any more: its client has left, or the program ends.
                    Err(_) => break,
                },
            };
            connection.part_with();
            let written = write_gathered(&connection.socket, &[&text]);
            connection.paid();
            if written.is_err() {
                break;
            }
        }
        // The reader must not wait for a client that takes no answers.
        connection.close();
    }
}

/// A final answer in PostgreSQL's words.
fn worded(answer: Final<Vec<u8>>) -> Vec<u8> {
    let mut text = match answer {
        Final::Served(text, _) => text,
        Final::Refused(come_back) => {
            let ms = come_back.map(|c| c.as_millis().to_string());
            let mut text = Vec::new();
            push_error(&mut text, "ERROR", "53300", "refused: trying again is harmless", ms.as_deref());
            text
        }
        // This protocol's clients are told no reasons.
        Final::NoPlace(_) => return worded(Final::Refused(None)),
        Final::Failed(last) => {
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
fn greeting() -> Vec<u8> {
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
    push(&mut b, b'K', &[&[0; 8]]);
    b.extend_from_slice(READY);
    b
}
