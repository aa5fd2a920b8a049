//! A `MySQL` server with real session state: transactions, variables, locks, temporary tables, prepared statements,
//! warnings and the last insert ID belong to the session of a connection, and end with it or with its reset.
//! Stored programs, which the server has by name, change and read that state without any sign of it in their
//! statement. Each statement is logged with the session that ran it.
mod program;
mod session;
mod statement;

use crate::wire::{COMMAND_QUERY, COMMAND_QUIT, COMMAND_RESET_CONNECTION, error, greeting, packets, read};
use session::Session;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Error code for a command that the server does not know.
const ERROR_UNKNOWN_COMMAND: u16 = 1047;
/// Command byte that prepares a statement.
const COMMAND_PREPARE: u8 = 22;
/// Command byte that executes a prepared statement.
const COMMAND_EXECUTE: u8 = 23;

/// Properties of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionServerSettings {
    /// Whether a new session commits each statement by itself.
    pub default_autocommit: bool,
    /// Whether the server knows the command that resets a session.
    pub knows_reset: bool,
}

/// A statement that a server has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedStatement {
    /// Number of the session, in order of their starts.
    pub session: u32,
    /// Text of the statement, or the name of another command in angle brackets.
    pub text: String,
}

/// State that all sessions share.
#[derive(Default)]
struct Shared {
    committed: BTreeSet<String>,
    /// Sessions that hold a named lock.
    locks: HashMap<String, u32>,
    log: Vec<LoggedStatement>,
    next_session: u32,
    next_insert_id: u8,
}

/// A running server, which accepts connections until the process ends.
pub struct SessionServer {
    /// Address at which the server listens.
    pub addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl SessionServer {
    /// Starts a server on a port that the system chooses.
    ///
    /// # Errors
    /// Returns an error if the system has no port for the server.
    pub fn start(settings: SessionServerSettings) -> io::Result<SessionServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared: Arc<Mutex<Shared>> = Arc::default();
        let accepted = shared.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = accepted.clone();
                std::thread::spawn(move || {
                    let number = {
                        let mut shared = lock(&shared);
                        shared.next_session += 1;
                        shared.next_session
                    };
                    let mut session = Session::new(number, settings);
                    _ = serve(&socket, &shared, &mut session, settings);
                    session.reset(&mut lock(&shared));
                });
            }
        });
        Ok(SessionServer { addr, shared })
    }

    /// Returns whether an order is committed.
    pub fn has_committed(&self, order: &str) -> bool {
        lock(&self.shared).committed.contains(order)
    }

    /// Returns the sessions that ran a statement with this text, in order.
    pub fn sessions_of(&self, text: &str) -> Vec<u32> {
        let shared = lock(&self.shared);
        shared.log.iter().filter(|logged| logged.text.contains(text)).map(|logged| logged.session).collect()
    }

    /// Returns all statements that were run, in order.
    pub fn log(&self) -> Vec<LoggedStatement> {
        lock(&self.shared).log.clone()
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves one session until its connection is closed.
fn serve(
    mut socket: &TcpStream,
    shared: &Mutex<Shared>,
    session: &mut Session,
    settings: SessionServerSettings,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.write_all(&greeting())?;
    read(socket)?;
    socket.write_all(&packets(2, &[&session.ok()]))?;
    loop {
        let command = read(socket)?;
        let response = match command.split_first() {
            Some((&COMMAND_QUERY, text)) => session.run(&mut lock(shared), &String::from_utf8_lossy(text)),
            Some((&COMMAND_PREPARE, text)) => session.prepare(&String::from_utf8_lossy(text)),
            Some((&COMMAND_EXECUTE, body)) => session.execute(&mut lock(shared), body),
            Some((&COMMAND_RESET_CONNECTION, _)) if settings.knows_reset => {
                session.reset(&mut lock(shared));
                packets(1, &[&session.ok()])
            }
            Some((&COMMAND_QUIT, _)) | None => return Ok(()),
            _ => error(ERROR_UNKNOWN_COMMAND, "the command is not known here"),
        };
        socket.write_all(&response)?;
    }
}
