//! Thread that reads a client's commands. It detects that the client has disconnected while a command is
//! being executed.
use super::shared::Front;
use crate::packet::{Packet, PacketReader, ReadError};
use client_listener::{Connection, is_timeout};
use crossbeam_channel::{Receiver, Sender, bounded};
use routing::{RequestId, spawn_with_retry};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time to retry if the operating system cannot start the reader thread.
const THREAD_START_TIMEOUT: Duration = Duration::from_millis(800);

/// Handle of a reader thread that waits for the end of the login.
pub(super) struct CommandReader {
    reader_sender: Sender<PacketReader>,
    commands: Receiver<Result<Packet, ReadError>>,
}

impl CommandReader {
    /// Starts the reader thread. Returns `None` if the thread could not be started.
    pub(super) fn start(front: &Front, connection: &Arc<Connection>) -> Option<CommandReader> {
        let (sender, commands) = bounded(front.limits.max_pipelined_requests);
        let (reader_sender, reader_receiver) = bounded::<PacketReader>(1);
        let (router, connection) = (front.router.clone(), connection.clone());
        let run = move || {
            if let Ok(reader) = reader_receiver.recv() {
                read_commands(&connection, reader, &sender, |id| router.client_disconnected(id));
            }
        };
        spawn_with_retry("commands", front.limits.socket_thread_stack_bytes, THREAD_START_TIMEOUT, run)
            .ok()?;
        Some(CommandReader { reader_sender, commands })
    }

    /// Starts reading commands with the login's packet reader, which may hold buffered bytes. The returned
    /// channel yields the commands, and finally the error that ended the reading. Returns `None` if the
    /// thread has ended.
    pub(super) fn start_reading(self, reader: PacketReader) -> Option<Receiver<Result<Packet, ReadError>>> {
        self.reader_sender.send(reader).ok()?;
        Some(self.commands)
    }
}

/// Reads commands until the client or the router closes the connection.
fn read_commands(
    connection: &Connection,
    mut reader: PacketReader,
    commands: &Sender<Result<Packet, ReadError>>,
    on_disconnect: impl Fn(RequestId),
) {
    loop {
        let command = reader.read_packet(connection.command_reader(!reader.is_empty()));
        match &command {
            Err(ReadError::IdleTimeout) if !connection.close_if_idle_timed_out() => continue,
            Err(error) if is_disconnect(error) && !connection.reading_stopped() => {
                connection.mark_disconnected(&on_disconnect);
            }
            Err(_) => {}
            Ok(_) => {
                if !connection.begin_command(!reader.is_empty()) {
                    return;
                }
            }
        }
        let is_last = command.is_err();
        if commands.send(command).is_err() || is_last {
            return;
        }
    }
}

/// Returns whether the client has disconnected and needs no response. A client that violated the protocol
/// receives an error after the responses to its earlier commands, and a client that timed out within a
/// command still receives those responses. If the router has stopped reading, it responds to the commands
/// that it has read; a disconnect of the client is then detected by the poll of its socket.
fn is_disconnect(error: &ReadError) -> bool {
    match error {
        ReadError::Closed => true,
        ReadError::Io(error) => !is_timeout(error),
        ReadError::IdleTimeout | ReadError::TooLong | ReadError::OutOfMemory | ReadError::OutOfOrder => false,
    }
}
