//! One client's session: the work of the reader thread from startup to the end of the connection.
use super::command::{Client, CommandResponse, SyncState, handle_message};
use super::response;
use super::response_writer::{
    ClientDisconnected, QueueError, ResponseProgress, ResponseWriter, respond, respond_unless_pipelined,
};
use super::shared::Front;
use super::startup::perform_startup;
use crate::buffer::{Frame, MessageBuffer, ProtocolError, ReadError};
use crate::encode::write_gathered;
use client_listener::memory::ClientMemory;
use client_listener::{Connection, is_timeout};
use routing::reasons::CloseReason;
use std::net::TcpStream;
use std::sync::Arc;

/// Serves a connection until either side closes it.
pub(super) fn serve(front: &Arc<Front>, connection: &Arc<Connection>) {
    let mut buffer = MessageBuffer::pooled(front.limits.max_message_bytes, &front.memory);
    let _cancel_key = match perform_startup(front, &mut buffer, connection) {
        Ok(Some(key)) => key,
        Ok(None) | Err(ReadError::Io(_)) => return,
        Err(ReadError::Protocol(violation)) => return report_violation(&connection.socket, violation),
    };
    if buffer.is_empty() {
        // The first request did not arrive together with the startup message, so it was not waiting for the
        // thread and its age is discarded.
        connection.take_command_age();
    }
    let client = Client { front, connection, memory: ClientMemory::new(&front.memory) };
    let mut session =
        Session { front, connection, client, buffer: &mut buffer, sync: SyncState::default(), writer: None };
    let end = session.read_commands();
    session.close(end);
}

/// Sends a client that violated the protocol the reason why the connection is closed.
fn report_violation(socket: &TcpStream, violation: ProtocolError) {
    // The client may have disconnected already; it needs no response then.
    _ = write_gathered(socket, &[&response::protocol_violation(violation)]);
}

/// Why the session stops reading commands.
enum SessionEnd {
    /// The client has disconnected, or no longer reads responses: its requests are abandoned.
    Disconnected,
    /// The router stops reading, or the connection is closed already: commands that were read still get their
    /// responses.
    Closing,
    /// The client violated the protocol: it gets the responses to earlier commands, and then the reason.
    Violation(ProtocolError),
}

impl From<ClientDisconnected> for SessionEnd {
    fn from(ClientDisconnected: ClientDisconnected) -> Self {
        SessionEnd::Disconnected
    }
}

struct Session<'a> {
    front: &'a Arc<Front>,
    connection: &'a Arc<Connection>,
    client: Client<'a>,
    buffer: &'a mut MessageBuffer,
    sync: SyncState,
    /// The writer thread; `None` until the client has pipelined commands.
    writer: Option<ResponseWriter>,
}

impl Session<'_> {
    fn read_commands(&mut self) -> SessionEnd {
        loop {
            if let Err(end) = self.read_command() {
                return end;
            }
        }
    }

    /// Reads and handles one command. Also returns if no command was received within the read timeout and
    /// the connection stays open.
    fn read_command(&mut self) -> Result<(), SessionEnd> {
        let Some(frame) = self.read_frame()? else { return Ok(()) };
        self.begin_command(&frame)?;
        let response = handle_message(&self.client, self.buffer, &frame, &mut self.sync);
        let Some(response) = response else {
            self.connection.finish_command();
            return Ok(());
        };
        match &response {
            CommandResponse::Error(_) => self.connection.set_last_command_malformed(true),
            CommandResponse::Pending(_) => self.connection.record_request(),
            CommandResponse::Immediate(_) => {}
        }
        self.respond(response)
    }

    /// Reads one message; returns `None` if none was received in time and the connection stays open.
    fn read_frame(&mut self) -> Result<Option<Frame>, SessionEnd> {
        const TERMINATE: u8 = b'X';
        let reader = self.connection.command_reader(!self.buffer.is_empty());
        match self.buffer.read_message(reader) {
            Ok(Some(frame)) if frame.tag == TERMINATE => Err(SessionEnd::Disconnected),
            Ok(Some(frame)) => Ok(Some(frame)),
            Err(ReadError::Protocol(violation)) => Err(SessionEnd::Violation(violation)),
            Err(ReadError::Io(e)) if is_timeout(&e) => self.on_read_timeout(),
            // If the client has disconnected too, the disconnect watcher reports it.
            Ok(None) | Err(ReadError::Io(_)) if self.connection.reading_stopped() => Err(SessionEnd::Closing),
            Ok(None) | Err(ReadError::Io(_)) => Err(SessionEnd::Disconnected),
        }
    }

    fn on_read_timeout(&self) -> Result<Option<Frame>, SessionEnd> {
        if !self.buffer.is_empty() {
            return Err(SessionEnd::Violation(ProtocolError::IncompleteMessage));
        }
        if self.connection.close_if_idle_timed_out() {
            return Err(SessionEnd::Closing);
        }
        Ok(None)
    }

    /// Counts a command as in flight; returns an error if the command must not be executed.
    fn begin_command(&self, frame: &Frame) -> Result<(), SessionEnd> {
        // Commands that a client sent before it disconnected are not executed afterwards.
        if self.connection.in_flight_requests.is_disconnected() {
            return Err(SessionEnd::Disconnected);
        }
        // A request is not accepted if the queue has no capacity for its response.
        if frame.tag == b'Q' && self.writer.as_ref().is_some_and(ResponseWriter::is_full) {
            return Err(SessionEnd::Violation(ProtocolError::TooManyPipelined));
        }
        if !self.connection.begin_command(!self.buffer.is_empty()) {
            return Err(SessionEnd::Closing);
        }
        self.connection.set_last_command_malformed(false);
        Ok(())
    }

    /// Writes a command's response, or queues it after the responses to earlier commands.
    fn respond(&mut self, response: CommandResponse) -> Result<(), SessionEnd> {
        let Some(writer) = &self.writer else { return self.respond_without_writer(response) };
        queue(writer, response)
    }

    fn respond_without_writer(&mut self, response: CommandResponse) -> Result<(), SessionEnd> {
        // A client that sends one command at a time needs no writer thread.
        let response = match respond_unless_pipelined(self.front, self.connection, self.buffer, response)? {
            ResponseProgress::Written => return Ok(()),
            ResponseProgress::Pipelined(response) => response,
        };
        self.writer = ResponseWriter::start(self.front, self.connection);
        let Some(writer) = &self.writer else {
            // No thread could be started, so this thread waits for the response before it reads the next
            // command.
            return Ok(respond(self.connection, response)?);
        };
        queue(writer, response)
    }

    /// Ends the session and waits until all outstanding responses are written.
    fn close(self, end: SessionEnd) {
        match end {
            SessionEnd::Closing => {}
            SessionEnd::Disconnected => self.front.abandon_requests(self.connection),
            SessionEnd::Violation(violation) => self.close_on_violation(violation),
        }
        if let Some(writer) = self.writer {
            writer.finish();
        }
    }

    fn close_on_violation(&self, violation: ProtocolError) {
        self.connection.set_close_reason(CloseReason::Malformed);
        tracing::debug!(
            connection = self.connection.id, error = %violation,
            "client violated the protocol, closing connection"
        );
        match &self.writer {
            None => report_violation(&self.connection.socket, violation),
            Some(writer) => {
                if self.connection.begin_command(false) {
                    writer.queue(CommandResponse::Immediate(response::protocol_violation(violation)));
                }
            }
        }
    }
}

fn queue(writer: &ResponseWriter, response: CommandResponse) -> Result<(), SessionEnd> {
    writer.try_queue(response).map_err(|error| match error {
        QueueError::Full => SessionEnd::Violation(ProtocolError::TooManyPipelined),
        QueueError::ClientDisconnected => SessionEnd::Disconnected,
    })
}
