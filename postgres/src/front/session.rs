//! One client's session: its reader thread, from the startup to the end of the connection.
use super::command::{CommandResponse, SyncState, handle_message};
use super::response;
use super::response_writer::{
    ClientGone, QueueError, ResponseProgress, ResponseWriter, respond, respond_unless_pipelined,
};
use super::shared::Front;
use super::startup::start_up;
use crate::buffer::{Frame, MessageBuffer, ProtocolError, ReadError};
use crate::encode::write_gathered;
use client_listener::{Connection, is_timeout};
use routing::reasons::CloseReason;
use std::net::TcpStream;
use std::sync::Arc;

/// Serves a connection until it ends.
pub(super) fn serve(front: &Arc<Front>, connection: &Arc<Connection>) {
    let mut buffer = MessageBuffer::pooled(front.limits.max_message_bytes, &front.memory);
    let _cancel_key = match start_up(front, &mut buffer, connection) {
        Ok(Some(key)) => key,
        Ok(None) | Err(ReadError::Io(_)) => return,
        Err(ReadError::Protocol(violation)) => return report_violation(&connection.socket, violation),
    };
    if buffer.is_empty() {
        // No request came along with the startup: it is sent only now.
        connection.take_command_age();
    }
    let mut session =
        Session { front, connection, buffer: &mut buffer, sync: SyncState::default(), writer: None };
    let end = session.read_commands();
    session.close(end);
}

/// Writes why the connection is closed to a client that broke the protocol.
fn report_violation(socket: &TcpStream, violation: ProtocolError) {
    // A client that has left needs no response.
    _ = write_gathered(socket, &[&response::protocol_violation(violation)]);
}

/// Why a connection is read no further.
enum SessionEnd {
    /// Its client has disconnected, or takes no responses: its requests are abandoned.
    Disconnected,
    /// The router reads no more, or the connection is closed already: what was read is answered.
    Closing,
    /// Its client broke the protocol: it gets the responses to what it sent, and then the reason.
    Violation(ProtocolError),
}

impl From<ClientGone> for SessionEnd {
    fn from(ClientGone: ClientGone) -> Self {
        SessionEnd::Disconnected
    }
}

struct Session<'a> {
    front: &'a Arc<Front>,
    connection: &'a Arc<Connection>,
    buffer: &'a mut MessageBuffer,
    sync: SyncState,
    /// From when the client pipelines.
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

    /// Reads a command and carries it out, or waits in vain until it is time to look at the connection.
    fn read_command(&mut self) -> Result<(), SessionEnd> {
        let Some(frame) = self.read_frame()? else { return Ok(()) };
        self.begin_command(&frame)?;
        let response = handle_message(self.front, self.connection, self.buffer, &frame, &mut self.sync);
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

    /// `None` if nothing came in time and the connection stays open.
    fn read_frame(&mut self) -> Result<Option<Frame>, SessionEnd> {
        const TERMINATE: u8 = b'X';
        let reader = self.connection.command_reader(!self.buffer.is_empty());
        match self.buffer.read_message(reader) {
            Ok(Some(frame)) if frame.tag == TERMINATE => Err(SessionEnd::Disconnected),
            Ok(Some(frame)) => Ok(Some(frame)),
            Err(ReadError::Protocol(violation)) => Err(SessionEnd::Violation(violation)),
            Err(ReadError::Io(e)) if is_timeout(&e) => self.on_read_timeout(),
            // Where the client has disconnected as well, the watch of its socket reports it.
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

    /// Counts a command as in flight, unless it must not be carried out.
    fn begin_command(&self, frame: &Frame) -> Result<(), SessionEnd> {
        // What a client wrote before it disconnected is not carried out after that.
        if self.connection.in_flight_requests.is_disconnected() {
            return Err(SessionEnd::Disconnected);
        }
        // A request is not accepted if its response has no place in the queue.
        if frame.tag == b'Q' && self.writer.as_ref().is_some_and(ResponseWriter::is_full) {
            return Err(SessionEnd::Violation(ProtocolError::TooManyPipelined));
        }
        if !self.connection.begin_command(!self.buffer.is_empty()) {
            return Err(SessionEnd::Closing);
        }
        self.connection.set_last_command_malformed(false);
        Ok(())
    }

    /// Writes a command's response, or queues it behind others that the client still waits for.
    fn respond(&mut self, response: CommandResponse) -> Result<(), SessionEnd> {
        let Some(writer) = &self.writer else { return self.respond_without_writer(response) };
        queue(writer, response)
    }

    fn respond_without_writer(&mut self, response: CommandResponse) -> Result<(), SessionEnd> {
        // One command at a time needs no writer.
        let response = match respond_unless_pipelined(self.front, self.connection, self.buffer, response)? {
            ResponseProgress::Written => return Ok(()),
            ResponseProgress::Pipelined(response) => response,
        };
        self.writer = ResponseWriter::start(self.front, self.connection);
        let Some(writer) = &self.writer else {
            // The system has no thread: the response is waited for here, and the next command is read after it.
            return Ok(respond(self.connection, response)?);
        };
        queue(writer, response)
    }

    /// Waits until the client has the responses that it is owed.
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
        tracing::debug!(connection = self.connection.id, error = %violation, "client broke the protocol, closing");
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
        QueueError::ClientGone => SessionEnd::Disconnected,
    })
}
