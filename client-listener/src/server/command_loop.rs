//! The loop that receives commands and drives the shutdown state machine.
use super::{ClientServer, ConnectionHandler, ServerCommand};
use crate::listener::{AcceptWaker, ClientListener};
use crate::shutdown::{Action, Event, GracefulShutdown, ShutdownTimes};
use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use routing::spawn_needed;
use settings::Limits;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval between ticks of the state machine during drain and shutdown.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// How long to wait for the accept thread to stop.
const ACCEPT_STOP_TIMEOUT: Duration = Duration::from_secs(1);

impl<H: ConnectionHandler> ClientServer<H> {
    /// Accepts and serves connections until [`ServerCommand::Shutdown`] was received and the last connection
    /// has closed, or [`Limits::shutdown_timeout`] has passed since the command and no response is outstanding,
    /// or [`Limits::client_write_timeout`] has passed after that. If all senders of commands are dropped before
    /// that, the server continues and this never returns.
    ///
    /// # Errors
    /// Returns the system's error if a descriptor or a thread that the start needs is not available.
    pub fn serve(
        self: &Arc<Self>,
        listener: ClientListener,
        commands: &Receiver<ServerCommand>,
    ) -> io::Result<()> {
        CommandLoop::start(self, listener)?.run(commands);
        Ok(())
    }
}

/// Whether the server continues after an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Serving,
    Complete,
}

/// The thread that accepts connections, and a handle of the listener that it uses.
struct AcceptThread {
    listener: ClientListener,
    /// Channel that is disconnected once the thread has stopped.
    stopped: Receiver<()>,
}

/// Receives commands and drives the shutdown state machine of a server.
struct CommandLoop<'a, H> {
    server: &'a Arc<ClientServer<H>>,
    machine: GracefulShutdown,
    /// The state machine's times are durations since this moment.
    started_at: Instant,
    successor: bool,
    accept_thread: Option<AcceptThread>,
    /// Wakes the accept thread. Created at the start, because at shutdown there may be no free descriptor.
    waker: AcceptWaker,
}

impl<'a, H: ConnectionHandler> CommandLoop<'a, H> {
    /// Starts the threads that accept connections and watch for disconnects.
    fn start(server: &'a Arc<ClientServer<H>>, listener: ClientListener) -> io::Result<Self> {
        let accepting_listener = listener.try_clone()?;
        let waker = listener.waker()?;
        server.accepting.store(true, Ordering::Release);
        spawn_disconnect_thread(server)?;
        let stopped = spawn_accept_thread(server, accepting_listener)?;
        Ok(CommandLoop {
            server,
            machine: GracefulShutdown::new(shutdown_times(&server.limits)),
            started_at: Instant::now(),
            successor: false,
            accept_thread: Some(AcceptThread { listener, stopped }),
            waker,
        })
    }

    /// Runs until shutdown is complete.
    fn run(mut self, commands: &Receiver<ServerCommand>) {
        let mut actions = Vec::new();
        loop {
            let event = self.next_event(commands);
            self.machine.handle(self.started_at.elapsed(), event, &mut actions);
            for action in actions.drain(..) {
                if self.execute(action) == Progress::Complete {
                    return;
                }
            }
        }
    }

    /// Waits for the next command, or for the next tick if one is needed. Blocks forever if no command can
    /// arrive and no tick is needed.
    fn next_event(&mut self, commands: &Receiver<ServerCommand>) -> Event {
        if !self.machine.needs_ticks() {
            return match commands.recv() {
                Ok(command) => self.command_event(command),
                Err(_) => park_forever(),
            };
        }
        match commands.recv_timeout(TICK_INTERVAL) {
            Ok(command) => self.command_event(command),
            Err(RecvTimeoutError::Timeout) => {
                self.server.connections().values().for_each(|connection| connection.apply_close_policy());
                self.tick()
            }
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(TICK_INTERVAL);
                self.tick()
            }
        }
    }

    fn tick(&self) -> Event {
        let connections = self.server.connections();
        Event::Tick {
            open_connections: connections.len(),
            commands_in_flight: connections.values().map(|connection| connection.commands_in_flight()).sum(),
        }
    }

    fn command_event(&mut self, command: ServerCommand) -> Event {
        match command {
            ServerCommand::Shutdown => {
                let grace =
                    if self.successor { Duration::ZERO } else { self.server.limits.shutdown_grace_period };
                tracing::info!(?grace, "shutdown started, requests are taken for the grace time");
                self.server.handler.shutdown_started();
                Event::Shutdown { successor: self.successor }
            }
            ServerCommand::SetDraining(draining) => Event::SetDraining(draining),
            ServerCommand::SetProcessCount { processes, successor } => {
                self.successor = successor;
                self.server.set_process_count(processes);
                Event::SetSuccessor(successor)
            }
        }
    }

    fn execute(&mut self, action: Action) -> Progress {
        match action {
            Action::ReportDraining(true) => tracing::info!("drain started, readiness check fails"),
            Action::ReportDraining(false) => tracing::info!("drain ended"),
            Action::SetClosePolicy(policy) => self.server.shared.set_close_policy(policy),
            Action::StopAccepting => self.stop_accepting(),
            Action::Complete => {
                self.log_shutdown_end();
                return Progress::Complete;
            }
        }
        Progress::Serving
    }

    fn log_shutdown_end(&self) {
        let connections = self.server.connections();
        let unanswered: usize = connections.values().map(|connection| connection.commands_in_flight()).sum();
        tracing::info!(connections = connections.len(), unanswered, "shutdown ended");
    }

    fn stop_accepting(&mut self) {
        let Some(AcceptThread { listener, stopped }) = self.accept_thread.take() else { return };
        self.server.accepting.store(false, Ordering::Release);
        self.waker.wake();
        _ = stopped.recv_timeout(ACCEPT_STOP_TIMEOUT);
        // Connections in the listen backlog are served here, unless another process accepts from the same
        // queue.
        if !self.successor {
            self.server.start_connections(listener.into_backlog());
        }
    }
}

fn shutdown_times(limits: &Limits) -> ShutdownTimes {
    ShutdownTimes {
        grace: limits.shutdown_grace_period,
        stop_reading: limits.shutdown_read_timeout,
        deadline: limits.shutdown_timeout,
        forced_deadline: limits.shutdown_timeout + limits.client_write_timeout,
        drain_close_when_idle: limits.drain_idle_close_delay,
        drain_stop_reading: limits.drain_read_timeout,
    }
}

fn spawn_disconnect_thread<H: ConnectionHandler>(server: &Arc<ClientServer<H>>) -> io::Result<()> {
    let server = server.clone();
    let stack_bytes = server.limits.socket_thread_stack_bytes;
    spawn_needed("disconnects", stack_bytes, move || {
        server.disconnect_watcher.run(|connection_id| server.handle_disconnect(connection_id));
    })
}

/// Starts the thread that accepts connections; the returned channel is disconnected once the thread has
/// stopped.
fn spawn_accept_thread<H: ConnectionHandler>(
    server: &Arc<ClientServer<H>>,
    listener: ClientListener,
) -> io::Result<Receiver<()>> {
    let server = server.clone();
    let stack_bytes = server.limits.socket_thread_stack_bytes;
    let (stopping, stopped) = bounded::<()>(0);
    spawn_needed("accept", stack_bytes, move || {
        server.accept_loop(&listener);
        // The listener has to be closed before the thread counts as stopped.
        drop(listener);
        drop(stopping);
    })?;
    Ok(stopped)
}

fn park_forever() -> ! {
    loop {
        std::thread::park();
    }
}
