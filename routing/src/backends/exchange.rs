//! Runs one exchange with an endpoint, on a dedicated thread.
use super::resources::BackendResources;
use crate::attempt_id::AttemptId;
use crate::idle_connection::IdleConnection;
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender, RouterMessage};
use crate::permit::{AttemptGuard, ConnectionPermit, EndpointState, Verdict};
use crate::protocol::{BackendProtocol, Connection, Exchange, ExchangeResult, NotSent};
use crate::reasons::outcome_name;
use crate::released_connection::ReleasedConnection;
use decision::{MemberId, Outcome};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Work that an exchange carries out.
pub(super) enum Task<P: BackendProtocol> {
    Attempt { attempt: AttemptId, payload: Arc<P::Payload>, deadline: Instant },
    Probe,
}

/// State that a backend shares with its exchanges.
pub(super) struct Context<P: BackendProtocol> {
    pub(super) id: BackendId,
    pub(super) member: MemberId,
    pub(super) addr: SocketAddr,
    pub(super) state: EndpointState,
    pub(super) resources: BackendResources<P>,
    /// Sender to the backends actor.
    pub(super) backends: BackendSender<P>,
}

impl<P: BackendProtocol> Context<P> {
    /// Reports that a task ended with the given outcome and no other result.
    pub(super) fn report_outcome(&self, task: &Task<P>, outcome: Outcome) {
        self.report(task, ExchangeResult::from_outcome(outcome));
    }

    /// Reports the result of a task to the router actor.
    fn report(&self, task: &Task<P>, result: ExchangeResult<P::Response>) {
        // If the backend is retired, the endpoint may now have another address. The result of a probe or a
        // connect failure at the old address must not be attributed to the new one.
        let concerns_address = matches!(task, Task::Probe) || result.outcome == Outcome::ConnectFailed;
        let result = if concerns_address && self.state.is_retired() {
            ExchangeResult::from_outcome(Outcome::NeverSent)
        } else {
            result
        };
        let member = self.member;
        // Sending fails only during shutdown, because the router actor otherwise outlives its backends.
        _ = self.resources.router.send(match task {
            Task::Attempt { attempt, .. } => {
                RouterMessage::AttemptEnded { attempt: *attempt, member, result }
            }
            Task::Probe => {
                RouterMessage::ProbeEnded { member, outcome: result.outcome, report: result.load_report }
            }
        });
    }
}

/// Runs one task on the given connection or on a new one, then returns a reusable connection to its backend.
pub(super) fn run<P: BackendProtocol>(
    context: &Context<P>,
    task: Task<P>,
    guard: &AttemptGuard,
    idle: IdleConnection<P>,
) {
    let IdleConnection { connection, since: last_response, slot } = idle;
    let mut connection = connection.map(ReleasedConnection::into_inner);
    if connection.is_some() {
        wait_for_reuse_delay(context.resources.limits.backend_reuse_delay, last_response);
    }
    // A panic in the protocol implementation must not prevent the task from ending or the connection slot
    // from being released.
    let executed = catch_unwind(AssertUnwindSafe(|| {
        let result = execute(context, &mut connection, last_response, &task, guard);
        let released = connection
            .filter(|_| result.reusable)
            .and_then(|connection| ReleasedConnection::release(connection, &context.state));
        (result, released)
    }));
    let (result, released) =
        executed.unwrap_or_else(|_| (ExchangeResult::from_outcome(Outcome::Reset), None));
    // The endpoint measures idle time from its last response, so a task that sent nothing does not reset it.
    let since = if result.outcome == Outcome::NeverSent { last_response } else { Instant::now() };
    let connection = released.map(|connection| IdleConnection { connection: Some(connection), since, slot });
    // The backend is notified before the router actor, so that the next attempt finds this connection idle.
    let command = BackendCommand::ExchangeEnded { connection };
    _ = context.backends.send(AddressedCommand { backend: context.id, command });
    context.report(&task, result);
}

/// Waits for the reuse delay, so that data or a close that the endpoint sent right after its last response
/// has arrived.
fn wait_for_reuse_delay(reuse_delay: Duration, last_response: Instant) {
    let remaining = reuse_delay.saturating_sub(last_response.elapsed());
    if !remaining.is_zero() {
        std::thread::sleep(remaining);
    }
}

/// Runs one task on the pooled connection or on a new one. If a pooled connection fails before the last byte
/// was written, the request has not run, so the task is repeated on a new connection if it may still start.
fn execute<P: BackendProtocol>(
    context: &Context<P>,
    connection: &mut Option<P::Connection>,
    last_response: Instant,
    task: &Task<P>,
    guard: &AttemptGuard,
) -> ExchangeResult<P::Response> {
    loop {
        let Ok(pooled) = is_usable::<P>(connection.as_mut(), last_response, guard) else {
            // Nothing was written to the connection, so it can be reused.
            return ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::NeverSent) };
        };
        if !pooled && let Err(outcome) = reconnect(context, connection, guard) {
            return ExchangeResult::from_outcome(outcome);
        }
        let Some(current) = connection.as_mut() else {
            return ExchangeResult::from_outcome(Outcome::ConnectFailed);
        };
        match execute_guarded(current, task, guard) {
            // A pooled connection that is reset during a probe is replaced and does not count as a failure of
            // the endpoint. A reset of a new connection does.
            Ok(result) if result.outcome == Outcome::Reset && pooled && matches!(task, Task::Probe) => {
                *connection = None;
            }
            Ok(result) => return result,
            // Nothing was written to the connection, so it can be reused.
            Err(NotSent::Cancelled) => {
                return ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::NeverSent) };
            }
            Err(NotSent::ConnectionBroken) => {
                *connection = None;
                if !pooled {
                    return ExchangeResult::from_outcome(Outcome::ConnectFailed);
                }
            }
        }
    }
}

/// Returns whether there is a pooled connection that can be used for the task.
fn is_usable<P: BackendProtocol>(
    connection: Option<&mut P::Connection>,
    last_response: Instant,
    guard: &AttemptGuard,
) -> Verdict<bool> {
    let Some(connection) = connection else { return Ok(false) };
    let permit = guard.permit_connection()?;
    Ok(connection.is_usable(last_response.elapsed(), permit))
}

/// Replaces an unusable connection with a new one.
fn reconnect<P: BackendProtocol>(
    context: &Context<P>,
    connection: &mut Option<P::Connection>,
    guard: &AttemptGuard,
) -> Result<(), Outcome> {
    // The old connection is closed first to release its file descriptor.
    *connection = None;
    let permit = guard.permit_connection().map_err(|_| Outcome::NeverSent)?;
    *connection = Some(connect(context, permit)?);
    Ok(())
}

fn connect<P: BackendProtocol>(
    context: &Context<P>,
    permit: ConnectionPermit,
) -> Result<P::Connection, Outcome> {
    let started = Instant::now();
    let opened = context.resources.protocol.connect(context.addr, permit);
    let (member, took_us) = (context.member.0, started.elapsed().as_micros());
    match &opened {
        Ok(_) => tracing::debug!(member, took_us, "backend connection opened"),
        Err(outcome) => {
            let outcome = outcome_name(*outcome);
            tracing::debug!(member, took_us, outcome, "backend connection failed");
        }
    }
    opened
}

fn execute_guarded<P: BackendProtocol>(
    connection: &mut P::Connection,
    task: &Task<P>,
    guard: &AttemptGuard,
) -> Result<ExchangeResult<P::Response>, NotSent> {
    guard.attach_socket(connection.socket());
    let exchange = match task {
        Task::Attempt { payload, deadline, .. } => Exchange::Attempt(payload.as_ref(), *deadline),
        Task::Probe => Exchange::Probe,
    };
    let result = connection.execute(exchange, guard);
    // Detach the socket, so that a late cancellation of this task cannot shut down the connection during the
    // next one.
    guard.detach_socket();
    result
}
