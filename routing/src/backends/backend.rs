//! A backend: the idle connections to one endpoint, and the start of exchanges on idle or new connections.
use super::exchange::{Context, Task, run};
use super::resources::BackendResources;
use crate::idle_connection::{AcquiredSlot, IdleConnection};
use crate::messages::{BackendCommand, BackendId, BackendSender, RouterMessage};
use crate::permit::AttemptGuard;
use crate::permit::EndpointState;
use crate::protocol::BackendProtocol;
use crate::threads::spawn;
use crossbeam_channel::bounded;
use decision::{MemberId, Outcome};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Denominator of the two thresholds below, which are fractions of the connection limit.
const LIMIT_PARTS: usize = 16;
/// When 12/16 of the connection limit is reached, surplus idle connections of all endpoints are closed.
const NEAR_LIMIT_SIXTEENTHS: usize = 12;
/// Below 15/16 of the connection limit, one idle connection per endpoint is retained.
const CRITICAL_SIXTEENTHS: usize = 15;

/// Name of the threads that run exchanges.
const THREAD_NAME: &str = "exchange";

pub(super) struct Backend<P: BackendProtocol> {
    context: Arc<Context<P>>,
    /// Number of connections that are running an exchange.
    busy: usize,
    /// Idle connections, ordered such that the most recently used is last.
    idle: Vec<IdleConnection<P>>,
}

impl<P: BackendProtocol> Backend<P> {
    pub(super) fn new(
        id: BackendId,
        member: MemberId,
        addr: SocketAddr,
        state: EndpointState,
        resources: BackendResources<P>,
        backends: BackendSender<P>,
    ) -> Self {
        let context = Arc::new(Context { id, member, addr, state, resources, backends });
        Backend { context, busy: 0, idle: Vec::new() }
    }

    pub(super) fn is_retired(&self) -> bool {
        self.context.state.is_retired()
    }

    pub(super) fn handle(&mut self, command: BackendCommand<P>) {
        match command {
            BackendCommand::Attempt { attempt, payload, deadline, guard } => {
                self.start(Task::Attempt { attempt, payload, deadline }, guard);
            }
            BackendCommand::Probe => {
                let guard = AttemptGuard::new(self.context.state.clone());
                self.start(Task::Probe, guard);
            }
            BackendCommand::ExchangeEnded { connection } => {
                self.busy = self.busy.saturating_sub(1);
                self.idle.extend(connection);
            }
            BackendCommand::TrimIdle { max_idle } => self.trim_idle(max_idle),
            BackendCommand::CloseIdle => {}
            // The backends actor handles the commands that create or remove a backend.
            BackendCommand::Create { .. } | BackendCommand::Remove => {}
        }
        self.close_expired();
    }

    /// Closes connections that have exceeded the idle timeout, and all idle connections if the endpoint is
    /// out of service.
    pub(super) fn close_expired(&mut self) {
        let max_age = self.context.resources.limits.backend_idle_timeout;
        let in_service = self.context.state.accepts_exchanges();
        self.idle.retain(|idle| in_service && idle.idle_for() < max_age);
    }

    /// Closes all idle connections except the `max_idle` most recently used ones. Connections that were used
    /// very recently are also retained.
    fn trim_idle(&mut self, max_idle: usize) {
        let min_age = self.context.resources.limits.backend_idle_timeout_when_full;
        let mut surplus = self.idle.len().saturating_sub(max_idle);
        self.idle.retain(|idle| {
            let is_surplus = surplus > 0 && idle.idle_for() >= min_age;
            surplus -= usize::from(is_surplus);
            !is_surplus
        });
    }

    /// Starts an exchange on an idle connection if there is one, otherwise on a new connection.
    fn start(&mut self, task: Task<P>, guard: AttemptGuard) {
        // The endpoint may have started draining, or the client may have disconnected, since the command was
        // sent.
        if guard.check_start().is_err() {
            return self.context.report_outcome(&task, Outcome::NeverSent);
        }
        if let Some(idle) = self.take_idle() {
            return self.spawn_exchange(task, guard, idle);
        }
        let resources = &self.context.resources;
        let AcquiredSlot { open_before: open, slot } = resources.connections.acquire();
        self.report_near_limit(open);
        if open >= resources.limits.max_backend_connections
            || self.busy >= resources.limits.max_connections_per_backend
        {
            return self.context.report_outcome(&task, Outcome::NeverSent);
        }
        let idle = IdleConnection { connection: None, since: Instant::now(), slot };
        self.spawn_exchange(task, guard, idle);
    }

    /// Removes and returns an idle connection: the most recently used connection whose reuse delay has
    /// passed, or else the connection whose reuse delay ends first.
    fn take_idle(&mut self) -> Option<IdleConnection<P>> {
        let reuse_delay = self.context.resources.limits.backend_reuse_delay;
        let reusable_index = self.idle.iter().rposition(|idle| idle.idle_for() >= reuse_delay);
        (!self.idle.is_empty()).then(|| self.idle.remove(reusable_index.unwrap_or(0)))
    }

    /// Asks the router actor to close idle connections before attempts reach the connection limit.
    fn report_near_limit(&self, open: usize) {
        let BackendResources { limits, router, .. } = &self.context.resources;
        if LIMIT_PARTS * open >= NEAR_LIMIT_SIXTEENTHS * limits.max_backend_connections {
            let max_idle =
                usize::from(LIMIT_PARTS * open < CRITICAL_SIXTEENTHS * limits.max_backend_connections);
            _ = router.try_send(RouterMessage::ConnectionsNearLimit { max_idle });
        }
    }

    /// Runs an exchange on a new thread.
    fn spawn_exchange(&mut self, task: Task<P>, guard: AttemptGuard, idle: IdleConnection<P>) {
        // The task is passed through a channel, so that it can be recovered and reported if the thread cannot
        // be started.
        let (task_sender, task_receiver) = bounded(1);
        _ = task_sender.send((task, guard));
        let (context, receiver) = (self.context.clone(), task_receiver.clone());
        let started =
            spawn(THREAD_NAME, self.context.resources.limits.socket_thread_stack_bytes, move || {
                if let Ok((task, guard)) = receiver.try_recv() {
                    run(&context, task, &guard, idle);
                }
            });
        match started {
            Ok(()) => self.busy += 1,
            Err(error) => {
                tracing::error!(
                    %error,
                    addr = %self.context.addr,
                    "exchange thread not started, exchange not sent"
                );
                if let Ok((task, _)) = task_receiver.try_recv() {
                    self.context.report_outcome(&task, Outcome::NeverSent);
                }
            }
        }
    }
}
