//! Waits for responses and writes them: on the reader's thread for a client that sends one command at a time,
//! on a thread of its own for a client that pipelines.
use super::command::CommandResponse;
use super::response::{self, EncodedResponse};
use super::shared::Front;
use super::submission::PendingRequest;
use crate::buffer::MessageBuffer;
use crate::encode::{READY, write_gathered};
use client_listener::memory::MemoryReservation;
use client_listener::{Connection, SocketState};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use routing::reasons::CloseReason;
use routing::spawn;
use std::sync::Arc;

/// Responses can no longer be delivered, because the client has disconnected or the program is shutting down.
pub(super) struct ClientDisconnected;

/// Result of trying to respond on the reader's thread.
pub(super) enum ResponseProgress {
    /// The response has been written.
    Written,
    /// The client has sent another command before this response was ready.
    Pipelined(CommandResponse),
}

/// Waits for a response on the reader's thread and writes it. Most clients send one command at a time, and a
/// second thread per client costs memory and, when the machine suspends and resumes the process, time.
pub(super) fn respond_unless_pipelined(
    front: &Front,
    connection: &Connection,
    buffer: &MessageBuffer,
    response: CommandResponse,
) -> Result<ResponseProgress, ClientDisconnected> {
    match response {
        CommandResponse::Immediate(encoded) | CommandResponse::Error(encoded) => {
            write_response(connection, &[&encoded])?;
        }
        CommandResponse::Pending(pending) => match wait_unless_pipelined(front, connection, buffer, pending)?
        {
            WaitResult::Ready(encoded) => write_response(connection, &[&encoded.messages, READY])?,
            WaitResult::Pipelined(pending) => {
                return Ok(ResponseProgress::Pipelined(CommandResponse::Pending(pending)));
            }
        },
    }
    Ok(ResponseProgress::Written)
}

/// How the wait for a response ended.
enum WaitResult {
    /// The response is ready and encoded.
    Ready(EncodedResponse),
    /// The client has sent another command.
    Pipelined(PendingRequest),
}

fn wait_unless_pipelined(
    front: &Front,
    connection: &Connection,
    buffer: &MessageBuffer,
    pending: PendingRequest,
) -> Result<WaitResult, ClientDisconnected> {
    loop {
        if !buffer.is_empty() {
            return Ok(WaitResult::Pipelined(pending));
        }
        match pending.receiver.recv_timeout(front.limits.client_poll_interval) {
            Ok(final_response) => {
                pending.request.finish();
                return Ok(WaitResult::Ready(response::encode(final_response)));
            }
            Err(RecvTimeoutError::Disconnected) => return Err(ClientDisconnected),
            Err(RecvTimeoutError::Timeout) => {}
        }
        match connection.socket_state() {
            SocketState::Idle => {}
            SocketState::Readable => return Ok(WaitResult::Pipelined(pending)),
            SocketState::Disconnected => {
                front.abandon_requests(connection);
                return Err(ClientDisconnected);
            }
        }
    }
}

/// Waits for a response, without checking whether the client sends more commands, and writes it.
pub(super) fn respond(connection: &Connection, response: CommandResponse) -> Result<(), ClientDisconnected> {
    match response {
        CommandResponse::Immediate(encoded) | CommandResponse::Error(encoded) => {
            write_response(connection, &[&encoded])
        }
        CommandResponse::Pending(pending) => {
            let final_response = pending.receiver.recv().map_err(|_| ClientDisconnected)?;
            // The client may use the id again as soon as it has the response, so the request is finished
            // before the response is written.
            pending.request.finish();
            let encoded = response::encode(final_response);
            write_response(connection, &[&encoded.messages, READY])
        }
    }
}

/// Writes a response and finishes its command.
fn write_response(connection: &Connection, parts: &[&[u8]]) -> Result<(), ClientDisconnected> {
    connection.prepare_response();
    let written = write_gathered(&connection.socket, parts);
    connection.finish_command();
    written.map_err(|_| {
        connection.set_close_reason(CloseReason::ClientStalled);
        ClientDisconnected
    })
}

/// Why a response was not queued.
pub(super) enum QueueError {
    /// The client has sent the maximum number of commands without waiting for responses.
    Full,
    /// The writer thread has ended, because the client no longer reads responses.
    ClientDisconnected,
}

/// Memory of a writer thread, in bytes: what it uses of its stack, and its queue.
const WRITER_BYTES: usize = 24 * 1024;

/// The thread that writes the responses of a client that pipelines.
pub(super) struct ResponseWriter {
    _memory: MemoryReservation,
    responses: Sender<CommandResponse>,
    /// Channel that is disconnected once the thread has ended.
    ended: Receiver<()>,
}

impl ResponseWriter {
    /// Starts the thread; returns `None` if the system cannot start one, or there is no memory for it.
    pub(super) fn start(front: &Arc<Front>, connection: &Arc<Connection>) -> Option<ResponseWriter> {
        let mut memory = MemoryReservation::new(&front.memory);
        if !memory.grow_to(WRITER_BYTES) {
            return None;
        }
        let (sender, responses) = bounded(front.limits.max_pipelined_requests);
        let (end_sender, ended) = bounded::<()>(0);
        let (stack_bytes, front, connection) =
            (front.limits.socket_thread_stack_bytes, front.clone(), connection.clone());
        let run = move || {
            write_responses(&front, &connection, &responses);
            drop(end_sender);
        };
        spawn("answers", stack_bytes, run).ok()?;
        Some(ResponseWriter { _memory: memory, responses: sender, ended })
    }

    /// Returns whether no further response can be queued now.
    pub(super) fn is_full(&self) -> bool {
        self.responses.is_full()
    }

    /// Appends a response to the queue, without blocking.
    pub(super) fn try_queue(&self, response: CommandResponse) -> Result<(), QueueError> {
        self.responses.try_send(response).map_err(|error| match error {
            TrySendError::Full(_) => QueueError::Full,
            TrySendError::Disconnected(_) => QueueError::ClientDisconnected,
        })
    }

    /// Appends a response to the queue, and blocks while the queue is full. The response is dropped if the
    /// client no longer reads responses.
    pub(super) fn queue(&self, response: CommandResponse) {
        _ = self.responses.send(response);
    }

    /// Closes the queue and waits until all queued responses are written.
    pub(super) fn finish(self) {
        drop(self.responses);
        _ = self.ended.recv();
    }
}

/// Writes responses in order until the reader has finished or the client no longer reads them.
fn write_responses(front: &Front, connection: &Connection, responses: &Receiver<CommandResponse>) {
    for response in responses {
        if respond(connection, response).is_err() {
            front.abandon_requests(connection);
            break;
        }
    }
    // Closing makes the reader return, which must not wait for a client that reads no responses.
    connection.close();
}
