//! Waiting for responses and writing them: on the reader's own thread for a client that sends one command at a time, on
//! a thread of its own for a client that pipelines.
use super::command::CommandResponse;
use super::response;
use super::shared::Front;
use super::submission::PendingRequest;
use crate::buffer::MessageBuffer;
use crate::encode::write_gathered;
use client_listener::{Connection, SocketState};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use routing::reasons::CloseReason;
use routing::spawn;
use std::sync::Arc;

/// Nobody takes responses any more: the client has disconnected, or the program ends.
pub(super) struct ClientGone;

/// How far a response came on the reader's thread.
pub(super) enum ResponseProgress {
    /// It has been written.
    Written,
    /// Its client has sent another command before it was there.
    Pipelined(CommandResponse),
}

/// Waits for a response on the reader's thread and writes it: most clients send one command at a time, and a second
/// thread for each costs memory and, where the machine stops and starts the process, time.
pub(super) fn respond_unless_pipelined(
    front: &Front,
    connection: &Connection,
    buffer: &MessageBuffer,
    response: CommandResponse,
) -> Result<ResponseProgress, ClientGone> {
    let text = match response {
        CommandResponse::Immediate(text) | CommandResponse::Error(text) => text,
        CommandResponse::Pending(pending) => match wait_unless_pipelined(front, connection, buffer, pending)?
        {
            Waited::Ready(text) => text,
            Waited::Pipelined(pending) => {
                return Ok(ResponseProgress::Pipelined(CommandResponse::Pending(pending)));
            }
        },
    };
    write_response(connection, &text)?;
    Ok(ResponseProgress::Written)
}

/// How waiting for a response ended.
enum Waited {
    /// With the encoded response.
    Ready(Vec<u8>),
    /// With another command.
    Pipelined(PendingRequest),
}

fn wait_unless_pipelined(
    front: &Front,
    connection: &Connection,
    buffer: &MessageBuffer,
    pending: PendingRequest,
) -> Result<Waited, ClientGone> {
    loop {
        if !buffer.is_empty() {
            return Ok(Waited::Pipelined(pending));
        }
        match pending.receiver.recv_timeout(front.limits.client_poll_interval) {
            Ok(final_response) => {
                pending.request.finish();
                return Ok(Waited::Ready(response::encode(final_response)));
            }
            Err(RecvTimeoutError::Disconnected) => return Err(ClientGone),
            Err(RecvTimeoutError::Timeout) => {}
        }
        match connection.socket_state() {
            SocketState::Idle => {}
            SocketState::Readable => return Ok(Waited::Pipelined(pending)),
            SocketState::Disconnected => {
                front.abandon_requests(connection);
                return Err(ClientGone);
            }
        }
    }
}

/// Waits for a response, whatever else its client sends meanwhile, and writes it.
pub(super) fn respond(connection: &Connection, response: CommandResponse) -> Result<(), ClientGone> {
    let text = wait_for_response(response)?;
    write_response(connection, &text)
}

fn wait_for_response(response: CommandResponse) -> Result<Vec<u8>, ClientGone> {
    match response {
        CommandResponse::Immediate(text) | CommandResponse::Error(text) => Ok(text),
        CommandResponse::Pending(pending) => {
            let final_response = pending.receiver.recv().map_err(|_| ClientGone)?;
            // Its client may use the id again as soon as it has the response.
            pending.request.finish();
            Ok(response::encode(final_response))
        }
    }
}

/// Writes a response, which finishes its command.
fn write_response(connection: &Connection, text: &[u8]) -> Result<(), ClientGone> {
    connection.prepare_response();
    let written = write_gathered(&connection.socket, &[text]);
    connection.finish_command();
    written.map_err(|_| {
        connection.set_close_reason(CloseReason::ClientStalled);
        ClientGone
    })
}

/// Why a response was not queued.
pub(super) enum QueueError {
    /// The client has as many commands ahead of their responses as are accepted.
    Full,
    /// The writer has ended: the client takes no more responses.
    ClientGone,
}

/// The thread that writes the responses of a client that pipelines.
pub(super) struct ResponseWriter {
    responses: Sender<CommandResponse>,
    /// Disconnected once the thread has ended.
    ended: Receiver<()>,
}

impl ResponseWriter {
    /// Starts the thread; `None` where the system has none.
    pub(super) fn start(front: &Arc<Front>, connection: &Arc<Connection>) -> Option<ResponseWriter> {
        let (sender, responses) = bounded(front.limits.max_pipelined_requests);
        let (end_sender, ended) = bounded::<()>(0);
        let (stack_bytes, front, connection) =
            (front.limits.socket_thread_stack_bytes, front.clone(), connection.clone());
        let run = move || {
            write_responses(&front, &connection, &responses);
            drop(end_sender);
        };
        spawn("answers", stack_bytes, run).ok()?;
        Some(ResponseWriter { responses: sender, ended })
    }

    /// Whether no further response can be queued now.
    pub(super) fn is_full(&self) -> bool {
        self.responses.is_full()
    }

    /// Queues a response behind the others.
    pub(super) fn try_queue(&self, response: CommandResponse) -> Result<(), QueueError> {
        self.responses.try_send(response).map_err(|error| match error {
            TrySendError::Full(_) => QueueError::Full,
            TrySendError::Disconnected(_) => QueueError::ClientGone,
        })
    }

    /// Queues a response behind the others and waits for room if the queue is full. It is dropped where the client takes
    /// no more responses.
    pub(super) fn queue(&self, response: CommandResponse) {
        _ = self.responses.send(response);
    }

    /// Waits until all queued responses are written.
    pub(super) fn finish(self) {
        drop(self.responses);
        _ = self.ended.recv();
    }
}

/// Writes responses in order until the reader is done or the client takes no more.
fn write_responses(front: &Front, connection: &Connection, responses: &Receiver<CommandResponse>) {
    for response in responses {
        if respond(connection, response).is_err() {
            front.abandon_requests(connection);
            break;
        }
    }
    // The reader must not wait for a client that takes no responses.
    connection.close();
}
