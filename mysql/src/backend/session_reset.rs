//! Resets the session that a shared connection has at its server, before another request uses the connection.
//!
//! A statement may change its session in ways that neither its text nor its response shows: a procedure, a
//! function or a trigger sets variables, takes locks, or creates temporary tables. `COM_RESET_CONNECTION` clears
//! all of it: it rolls back an open transaction, releases locks, drops temporary tables and prepared statements,
//! and clears variables, warnings and the last insert ID. It also returns the settings of the session to the
//! defaults of the server, so a statement that restores the router's settings follows it in the same write.
use crate::command;
use crate::errors::error_number;
use crate::login::{LoginError, LoginSocket};
use crate::packet::{PacketReader, ReadError, push_packets};
use crate::results::SessionStatus;
use routing::{ConnectionPermit, ServerSocket};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Gives the session the character set of the router's login, and commits each statement by itself.
const SET_DEFAULTS: &[u8] = b"SET NAMES utf8mb4 COLLATE utf8mb4_general_ci, autocommit = 1";

/// Sequence number of a response's first packet.
const FIRST_RESPONSE_SEQUENCE: u8 = 1;

/// What is known about the session of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// No request has used the session since the login or the last reset.
    Clean,
    /// A request has used the session.
    Used,
    /// The reset was sent, and its responses have not been read.
    Resetting,
}

/// Why a session is not known to be clean after its reset.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResetError {
    /// The server returned the error with this number. Servers before `MySQL` 5.7.3 and `MariaDB` 10.2.4 do not
    /// know the reset.
    #[error("server returned error {0}")]
    Server(u16),
    /// A response could not be read.
    #[error("connection failed: {0}")]
    Read(#[from] ReadError),
    /// A response is no OK packet.
    #[error("server's response is malformed")]
    Malformed,
    /// The session is not in autocommit mode, or a transaction is open.
    #[error("server reports a session that does not commit each statement by itself")]
    NotAutocommit,
}

/// Sends the reset and the statement that restores the router's settings.
pub(super) fn send(socket: &ServerSocket, permit: ConnectionPermit) -> io::Result<()> {
    let mut packets = Vec::new();
    push_packets(&mut packets, 0, &[command::RESET_CONNECTION]);
    push_set_defaults(&mut packets);
    socket.write_check(permit, &mut [IoSlice::new(&packets)])
}

/// Reads the responses to a reset.
pub(super) fn confirm(
    socket: &ServerSocket,
    reader: &mut PacketReader,
    deadline: Instant,
) -> Result<(), ResetError> {
    read_ok(reader, socket.reader(deadline))?;
    confirm_defaults(reader, socket.reader(deadline))
}

/// Gives a session that has just logged in the router's settings.
pub(super) fn apply_defaults(
    socket: &impl LoginSocket,
    reader: &mut PacketReader,
    deadline: Instant,
) -> Result<(), LoginError> {
    let mut packets = Vec::new();
    push_set_defaults(&mut packets);
    socket.write(&packets)?;
    confirm_defaults(reader, socket.reader(deadline)?).map_err(|error| match error {
        ResetError::Server(number) => LoginError::Server(number),
        ResetError::Read(error) => LoginError::Read(error),
        ResetError::Malformed | ResetError::NotAutocommit => LoginError::SettingsNotConfirmed,
    })
}

/// Logs a reset that failed. A server without resets fails each of them, so the first failure is a warning.
pub(super) fn log_failure(addr: SocketAddr, error: &ResetError) {
    static WARNED: AtomicBool = AtomicBool::new(false);
    if WARNED.swap(true, Ordering::Relaxed) {
        tracing::debug!(server = %addr, %error, "session not reset, connection closed");
    } else {
        tracing::warn!(server = %addr, %error, "session not reset, connection closed");
    }
}

fn push_set_defaults(packets: &mut Vec<u8>) {
    push_packets(packets, 0, &[&[command::QUERY], SET_DEFAULTS].concat());
}

fn confirm_defaults(reader: &mut PacketReader, from: impl io::Read) -> Result<(), ResetError> {
    let status = read_ok(reader, from)?;
    if status.is_autocommit() && !status.in_transaction() { Ok(()) } else { Err(ResetError::NotAutocommit) }
}

fn read_ok(reader: &mut PacketReader, from: impl io::Read) -> Result<SessionStatus, ResetError> {
    let packet = reader.read_packet(from)?;
    if let Some(number) = error_number(&packet.payload) {
        return Err(ResetError::Server(number));
    }
    if packet.first_sequence != FIRST_RESPONSE_SEQUENCE {
        return Err(ResetError::Malformed);
    }
    SessionStatus::from_ok(&packet.payload).ok_or(ResetError::Malformed)
}
