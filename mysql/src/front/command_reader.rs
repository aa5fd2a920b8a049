//! The thread that reads a client's commands, so that a client that disconnects is noticed while one is carried out.
use super::shared::Front;
use crate::packet::{Packet, PacketReader, ReadError};
use client_listener::{Connection, is_timeout};
use crossbeam_channel::{Receiver, Sender, bounded};
use routing::{RequestId, spawn_with_retry};
use std::sync::Arc;
use std::time::Duration;

/// How long the system may take to have a thread for a client's commands.
const THREAD_START_TIMEOUT: Duration = Duration::from_millis(800);

/// The reader thread, which waits for the login.
pub(super) struct CommandReader {
    reader_sender: Sender<PacketReader>,
    commands: Receiver<Result<Packet, ReadError>>,
}

impl CommandReader {
    /// Starts the thread; `None` where the system has none.
    pub(super) fn start(front: &Front, connection: &Arc<Connection>) -> Option<CommandReader> {
        let (sender, commands) = bounded(front.limits.max_pipelined_requests);
        let (reader_sender, readers) = bounded::<PacketReader>(1);
        let (handle, connection) = (front.handle.clone(), connection.clone());
        let run = move || {
            if let Ok(reader) = readers.recv() {
                read_commands(&connection, reader, &sender, |id| handle.client_disconnected(id));
            }
        };
        spawn_with_retry("commands", front.limits.socket_thread_stack_bytes, THREAD_START_TIMEOUT, run)
            .ok()?;
        Some(CommandReader { reader_sender, commands })
    }

    /// Lets the thread read commands, with what has been read ahead by the end of the login. They come out of the
    /// receiver, and at last why there are no more; `None` if the thread has ended.
    pub(super) fn read(self, reader: PacketReader) -> Option<Receiver<Result<Packet, ReadError>>> {
        self.reader_sender.send(reader).ok()?;
        Some(self.commands)
    }
}

/// Reads commands until the client or this side ends the connection.
fn read_commands(
    connection: &Connection,
    mut reader: PacketReader,
    commands: &Sender<Result<Packet, ReadError>>,
    abandon: impl Fn(RequestId),
) {
    loop {
        let command = reader.read_packet(connection.command_reader(!reader.is_empty()));
        match &command {
            Err(ReadError::IdleTimeout) if !connection.close_if_idle_timed_out() => continue,
            Err(error) if is_disconnect(error) && !connection.reading_stopped() => {
                connection.mark_disconnected(&abandon);
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

/// Whether the client is gone and needs no response. One that broke the protocol is told so in its turn, and one that
/// stopped within a command gets the responses that it is owed. Where this side reads no more, what was read is answered;
/// if the client has disconnected as well, the watch of its socket reports it.
fn is_disconnect(error: &ReadError) -> bool {
    match error {
        ReadError::Closed => true,
        ReadError::Io(error) => !is_timeout(error),
        ReadError::IdleTimeout | ReadError::TooLong | ReadError::OutOfOrder => false,
    }
}
