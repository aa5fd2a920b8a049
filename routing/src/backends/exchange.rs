//! One exchange, on the thread of its connection.
use super::resources::BackendResources;
use crate::attempt_id::AttemptId;
use crate::idle_connection::IdleConnection;
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender, RouterMessage};
use crate::permit::EndpointState;
use crate::permit::{AttemptGuard, ConnectionPermit, Verdict};
use crate::protocol::{BackendProtocol, Connection, Exchange, ExchangeResult, NotSent};
use crate::reasons::outcome_name;
use decision::{MemberId, Outcome};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The purpose of an exchange.
pub(super) enum Task<P: BackendProtocol> {
    Attempt { attempt: AttemptId, payload: Arc<P::Payload>, deadline: Instant },
    Probe,
}

/// The state that a backend shares with its exchanges.
pub(super) struct Context<P: BackendProtocol> {
    pub(super) id: BackendId,
    pub(super) member: MemberId,
    pub(super) addr: SocketAddr,
    pub(super) state: EndpointState,
    pub(super) resources: BackendResources<P>,
    /// The mailbox of the backends actor.
    pub(super) backends: BackendSender<P>,
}

impl<P: BackendProtocol> Context<P> {
    /// Reports a task that ended with nothing but an outcome.
    pub(super) fn report_outcome(&self, task: &Task<P>, outcome: Outcome) {
        self.report(task, ExchangeResult::from_outcome(outcome));
    }

    /// Reports the end of a task to the router actor.
    fn report(&self, task: &Task<P>, result: ExchangeResult<P::Response>) {
        // The endpoint may be listed under another address by now: a failed connection or a probe was about the old one.
        let about_old_address = matches!(task, Task::Probe) || result.outcome == Outcome::ConnectFailed;
        let result = if about_old_address && self.state.is_retired() {
            ExchangeResult::from_outcome(Outcome::NeverSent)
        } else {
            result
        };
        let member = self.member;
        // The router actor outlives its backends except at the very end of the program.
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

/// Carries one task on the given connection or a new one, then returns a reusable connection to its backend.
pub(super) fn run<P: BackendProtocol>(
    context: &Context<P>,
    task: Task<P>,
    guard: &AttemptGuard,
    idle: IdleConnection<P>,
) {
    let IdleConnection { mut connection, since: last_response, slot } = idle;
    if connection.is_some() {
        wait_until_settled(context.resources.limits.backend_reuse_delay, last_response);
    }
    // Even if the protocol's code panics, the task ends and the connection's slot is released.
    let executed =
        catch_unwind(AssertUnwindSafe(|| execute(context, &mut connection, last_response, &task, guard)));
    let result = executed.unwrap_or_else(|_| ExchangeResult::from_outcome(Outcome::Reset));
    // The endpoint counts idle time from the last response, also if nothing was sent since.
    let since = if result.outcome == Outcome::NeverSent { last_response } else { Instant::now() };
    let can_carry_more = connection.is_some() && result.reusable;
    let connection = can_carry_more.then_some(IdleConnection { connection, since, slot });
    // The backend is notified first: the router actor's next attempt finds this connection idle.
    let command = BackendCommand::ExchangeEnded { connection };
    _ = context.backends.send(AddressedCommand { backend: context.id, command });
    context.report(&task, result);
}

/// Waits until anything that the endpoint sent right after its last response has arrived.
fn wait_until_settled(settle_time: Duration, last_response: Instant) {
    let remaining = settle_time.saturating_sub(last_response.elapsed());
    if !remaining.is_zero() {
        std::thread::sleep(remaining);
    }
}

/// Carries one task on the pooled connection, or on a new one. If a pooled connection breaks before the last byte was
/// written, nothing ran, so the task is carried again on a new one, if it may still start by then.
fn execute<P: BackendProtocol>(
    context: &Context<P>,
    connection: &mut Option<P::Connection>,
    last_response: Instant,
    task: &Task<P>,
    guard: &AttemptGuard,
) -> ExchangeResult<P::Response> {
    loop {
        let Ok(pooled) = is_usable::<P>(connection.as_mut(), last_response, guard) else {
            // Nothing was written on the connection, so it stays usable.
            return ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::NeverSent) };
        };
        if !pooled && let Err(outcome) = reconnect(context, connection, guard) {
            return ExchangeResult::from_outcome(outcome);
        }
        let Some(current) = connection.as_mut() else {
            return ExchangeResult::from_outcome(Outcome::ConnectFailed);
        };
        match execute_guarded(current, task, guard) {
            // A pooled connection that breaks under a probe is no failure of the endpoint; a new one is.
            Ok(result) if result.outcome == Outcome::Reset && pooled && matches!(task, Task::Probe) => {
                *connection = None;
            }
            Ok(result) => return result,
            // Nothing was written on the connection, so it stays usable.
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

/// Whether the pooled connection, if there is one, can carry the task.
fn is_usable<P: BackendProtocol>(
    connection: Option<&mut P::Connection>,
    last_response: Instant,
    guard: &AttemptGuard,
) -> Verdict<bool> {
    let Some(connection) = connection else { return Ok(false) };
    let permit = guard.permit_connection()?;
    Ok(connection.is_usable(last_response.elapsed(), permit))
}

/// Replaces a connection that is not usable by a new one.
fn reconnect<P: BackendProtocol>(
    context: &Context<P>,
    connection: &mut Option<P::Connection>,
    guard: &AttemptGuard,
) -> Result<(), Outcome> {
    // Closed first, so that its descriptor is free for the new one.
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
    // A late cancellation of this task must not shut down the connection under the next one.
    guard.detach_socket();
    result
}
