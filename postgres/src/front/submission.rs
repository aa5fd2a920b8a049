//! Submits queries to the routing core.
use super::open_request::OpenRequest;
use super::shared::{Front, FrontClass};
use crate::request::{Request, Response};
use crate::statement::{Statement, StatementError};
use client_listener::Connection;
use client_listener::memory::{ClientMemory, MemoryReservation};
use crossbeam_channel::{Receiver, bounded};
use routing::{ClientRequest, FinalResponse, GroupId, SessionId, Time};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Memory of an open request besides its statement, in bytes: its records in the front, the routing core and the
/// decision module, and its attempts.
const REQUEST_BYTES: usize = 2048;

/// A submitted request, and the channel on which its final response arrives.
pub(super) struct PendingRequest {
    pub(super) receiver: Receiver<FinalResponse<Response>>,
    pub(super) request: OpenRequest,
}

/// Why a query was not submitted.
pub(super) enum SubmitError {
    /// The query is not a valid request.
    Malformed(StatementError),
    /// The memory for open requests is used up.
    OutOfMemory,
    /// A request with the same id is open.
    DuplicateId,
    /// The client has disconnected in the meantime, so no response is needed.
    Disconnected,
}

impl From<StatementError> for SubmitError {
    fn from(error: StatementError) -> Self {
        SubmitError::Malformed(error)
    }
}

/// Submits a Query message, given with its tag and length. The memory of its response is reserved on the client's account.
pub(super) fn submit(
    front: &Arc<Front>,
    connection: &Arc<Connection>,
    client_memory: &ClientMemory,
    message: &[u8],
) -> Result<PendingRequest, SubmitError> {
    let now = front.handle.clock.now();
    let statement = Statement::parse(message)?;
    let class = front.class(statement.class()).ok_or(StatementError::UnknownClass)?;
    let mut memory = MemoryReservation::new(&front.memory);
    if !memory.grow_to(message.len() + REQUEST_BYTES) {
        front.handle.count_rejected(class.index);
        return Err(SubmitError::OutOfMemory);
    }
    let statement = statement.into_owned();
    let mut request =
        OpenRequest::register(front, connection, statement.id(), memory).ok_or(SubmitError::DuplicateId)?;
    let (sender, receiver) = bounded(1);
    let deadline = deadline(now, &statement, class, connection);
    let client_request = ClientRequest {
        connection: connection.id,
        class: class.index,
        tenant: None,
        session: statement.key().map(session_id),
        group: GroupId(statement.group),
        deadline,
        session_commit: statement
            .after_ms
            .map(|ms| front.handle.wall_clock.commit(Time(ms.saturating_mul(1000)))),
        may_run_partially: false,
        payload: Request { statement, memory: client_memory.clone() },
        response_sender: sender,
    };
    let submitted = connection.submit(|| front.handle.submit(client_request));
    let id = submitted.ok_or(SubmitError::Disconnected)?;
    request.set_submitted(id);
    let client_id = request.client_id.escape_ascii();
    tracing::debug!(request = id.0, connection = connection.id, id = %client_id, "request submitted");
    Ok(PendingRequest { receiver, request })
}

/// Returns the deadline of a request. The waiting time that the query states is limited to the deadline of
/// its class, and counts from when the client sent the query.
fn deadline(now: Time, statement: &Statement, class: FrontClass, connection: &Connection) -> Time {
    let age = connection.take_command_age().as_micros() as i64;
    let wait = i64::try_from(statement.wait_ms).unwrap_or(i64::MAX).saturating_mul(1000);
    Time(now.0 + wait.min(class.deadline_us) - age)
}

/// Returns the session with this key. The processes of one router exchange these ids, so that all versions of the
/// program have to use the same hash function.
fn session_id(key: &[u8]) -> SessionId {
    SessionId(xxh3_64(key))
}
