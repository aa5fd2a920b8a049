//! One exchange, on the thread of its connection.
use super::resources::BackendResources;
use crate::attempt_id::AttemptId;
use crate::idle_connection::IdleConnection;
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender, RouterMessage};
use crate::permit::EndpointState;
use crate::permit::{AttemptGuard, ConnectionPermit, Verdict};
use crate::protocol::{BackendProtocol, Connection, Exchange, ExchangeResult, NotSent};
use decision::{MemberId, Outcome};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What an exchange is for.
pub(super) enum Task<P: BackendProtocol> {
    Attempt { attempt: AttemptId, payload: Arc<P::Payload>, deadline: Instant },
    Probe,
}

/// What a backend and its exchanges share.
pub(super) struct Context<P: BackendProtocol> {
    pub(super) id: BackendId,
    pub(super) member: MemberId,
    pub(super) addr: SocketAddr,
    pub(super) state: EndpointState,
    pub(super) resources: BackendResources<P>,
    /// The mailbox of the backends' actor.
    pub(super) backends: BackendSender<P>,
}

impl<P: BackendProtocol> Context<P> {
    /// Reports a task that ended with nothing but an outcome.
    pub(super) fn report_outcome(&self, task: &Task<P>, outcome: Outcome) {
        self.report(task, ExchangeResult::from_outcome(outcome));
    }

    /// Reports the end of a task to the router actor.
    fn report(&self, task: &Task<P>, result: ExchangeResult<P::Response>) {
        // An endpoint that is listed under another address by now: what could not be reached, or was only probed, was
        // the old one.
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

/// Carries one task on the given connection or a new one, then returns a connection that can carry more to its backend.
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
    // Whatever fails in the protocol's code, the task gets its end and the connection's place is free again.
    let executed =
        catch_unwind(AssertUnwindSafe(|| execute(context, &mut connection, last_response, &task, guard)));
    let result = executed.unwrap_or_else(|_| ExchangeResult::from_outcome(Outcome::Reset));
    // The endpoint counts the idle time of a connection that carried nothing from its last response on.
    let since = if result.outcome == Outcome::NeverSent { last_response } else { Instant::now() };
    let can_carry_more = connection.is_some() && result.reusable;
    let connection = can_carry_more.then_some(IdleConnection { connection, since, slot });
    // The backend is notified first: the router actor's next attempt finds this connection idle.
    let command = BackendCommand::ExchangeEnded { connection };
    _ = context.backends.send(AddressedCommand { backend: context.id, command });
    context.report(&task, result);
}

/// What comes right behind a response has to be there before the connection is looked at.
fn wait_until_settled(settle_time: Duration, last_response: Instant) {
    let remaining = settle_time.saturating_sub(last_response.elapsed());
    if !remaining.is_zero() {
        std::thread::sleep(remaining);
    }
}

/// One task on the connection at hand, or on a new one. A pooled connection that broke before the last byte was written
/// has carried nothing, so the task is executed once more on a new one, if it may still start by then.
fn execute<P: BackendProtocol>(
    context: &Context<P>,
    connection: &mut Option<P::Connection>,
    last_response: Instant,
    task: &Task<P>,
    guard: &AttemptGuard,
) -> ExchangeResult<P::Response> {
    loop {
        let Ok(pooled) = is_usable::<P>(connection.as_mut(), last_response, guard) else {
            // Nothing was written on it: it stays as it is.
            return ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::NeverSent) };
        };
        if !pooled && let Err(outcome) = reconnect(context, connection, guard) {
            return ExchangeResult::from_outcome(outcome);
        }
        let Some(current) = connection.as_mut() else {
            return ExchangeResult::from_outcome(Outcome::ConnectFailed);
        };
        match execute_guarded(current, task, guard) {
            // A pooled connection that breaks under a probe says nothing of the endpoint: a new one does.
            Ok(result) if result.outcome == Outcome::Reset && pooled && matches!(task, Task::Probe) => {
                *connection = None;
            }
            Ok(result) => return result,
            // Nothing was written on it: it stays usable.
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

/// Whether the connection at hand can carry the task.
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
    // Its descriptor is free before another is opened.
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
    let (member, took) = (context.member.0, started.elapsed().as_micros());
    tracing::debug!(member, took, "link: {:?}", opened.as_ref().err());
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
    // Whoever cancels this task late must not shut down what carries the next.
    guard.detach_socket();
    result
}
