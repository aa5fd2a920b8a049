//! State machine that decides when connections close, at shutdown (SIGTERM) and during a drain by operators.
//! The state machine uses no sockets and no clock.
//!
//! Some time after health checks have begun to fail, clients open no new connections, but they go on using
//! open ones for as long as these stay open. So connections close in stages ([`ClosePolicy`]): first they all
//! stay open, then each closes once it is idle, and finally even connections that are never idle are no
//! longer read. Commands that were read always get their response, so the shutdown is not complete while one
//! is in flight.
use std::time::Duration;

/// How open client connections are treated; each variant is stricter than the variant before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ClosePolicy {
    /// Connections stay open for further commands.
    KeepOpen = 0,
    /// Each connection closes as soon as no command is in flight on it and it has no bytes to read.
    CloseWhenIdle = 1,
    /// No connection is read any more; each closes once the commands that were read have their responses.
    StopReading = 2,
}

impl From<u8> for ClosePolicy {
    fn from(n: u8) -> ClosePolicy {
        match n {
            0 => ClosePolicy::KeepOpen,
            1 => ClosePolicy::CloseWhenIdle,
            _ => ClosePolicy::StopReading,
        }
    }
}

/// When the stages of a shutdown and of a drain begin.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Time from the start of shutdown during which connections are accepted and stay open.
    pub grace: Duration,
    /// Time from the start of shutdown after which connections are no longer read.
    pub stop_reading: Duration,
    /// Time from the start of shutdown after which it is complete, even with open connections, unless a
    /// command is in flight.
    pub deadline: Duration,
    /// Time from the start of shutdown after which it is complete, even with commands in flight.
    pub forced_deadline: Duration,
    /// Time from the start of a drain after which connections close when idle.
    pub drain_close_when_idle: Duration,
    /// Time from the start of a drain after which connections are no longer read.
    pub drain_stop_reading: Duration,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Operators start a drain (`true`) or end it.
    SetDraining(bool),
    /// The shutdown of the process begins.
    Shutdown {
        /// Whether another process accepts the router's clients already.
        successor: bool,
    },
    /// Another process accepts the router's clients from now on (`true`), or no longer.
    SetSuccessor(bool),
    /// Time has passed; sent periodically while [`GracefulShutdown::needs_ticks`] returns `true`.
    Tick {
        /// Number of open connections.
        open_connections: usize,
        /// Number of commands that were read on them and have no response yet.
        commands_in_flight: usize,
    },
}

/// Output of the state machine, which the server has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Log that a drain has started (`true`) or ended.
    ReportDraining(bool),
    /// Apply this policy to all connections from now on.
    SetClosePolicy(ClosePolicy),
    /// Accept no more connections.
    StopAccepting,
    /// Shutdown is complete: stop serving.
    Complete,
}

/// State of a server's drain and shutdown. Times are durations since any fixed moment.
#[derive(Debug)]
pub struct GracefulShutdown {
    times: ShutdownTimes,
    drain_started: Option<Duration>,
    shutdown_started: Option<Duration>,
    successor: bool,
    accepting: bool,
    policy: ClosePolicy,
    /// Number of commands in flight at the last tick.
    commands_in_flight: usize,
    complete: bool,
}

impl GracefulShutdown {
    /// Creates the state of a server that accepts connections and is neither draining nor shutting down.
    pub fn new(times: ShutdownTimes) -> Self {
        GracefulShutdown {
            times,
            drain_started: None,
            shutdown_started: None,
            successor: false,
            accepting: true,
            policy: ClosePolicy::KeepOpen,
            commands_in_flight: 0,
            complete: false,
        }
    }

    /// Returns whether [`Event::Tick`] is needed, because a drain or a shutdown is in progress.
    pub fn needs_ticks(&self) -> bool {
        (self.drain_started.is_some() || self.shutdown_started.is_some()) && !self.complete
    }

    /// Handles one event and appends the resulting actions, in order. No action follows [`Action::Complete`].
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.complete {
            return;
        }
        self.apply(now, event, actions);
        self.update_accepting(now, actions);
        self.update_policy(now, actions);
        if self.is_over(now, event) {
            self.complete = true;
            actions.push(Action::Complete);
        }
    }

    /// Returns whether the shutdown is complete: the connections are closed, or the time for it is over. A
    /// command in flight extends that time, because the end of the process would discard its response.
    fn is_over(&self, now: Duration, event: Event) -> bool {
        let Some(elapsed) = self.since_shutdown(now) else { return false };
        let all_closed = matches!(event, Event::Tick { open_connections: 0, .. }) && !self.accepting;
        let latest =
            if self.commands_in_flight == 0 { self.times.deadline } else { self.times.forced_deadline };
        all_closed || elapsed >= latest
    }

    /// Updates the state of drain and shutdown from the event.
    fn apply(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::SetDraining(draining) if draining != self.drain_started.is_some() => {
                self.drain_started = draining.then_some(now);
                actions.push(Action::ReportDraining(draining));
            }
            Event::SetDraining(_) => {}
            Event::Tick { commands_in_flight, .. } => self.commands_in_flight = commands_in_flight,
            Event::Shutdown { successor } => {
                self.successor = successor;
                self.shutdown_started.get_or_insert(now);
            }
            Event::SetSuccessor(successor) => self.successor = successor,
        }
    }

    fn update_accepting(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.accepting && self.shutdown_policy(now) > ClosePolicy::KeepOpen {
            self.accepting = false;
            actions.push(Action::StopAccepting);
        }
    }

    fn update_policy(&mut self, now: Duration, actions: &mut Vec<Action>) {
        // The policy is never relaxed during a shutdown, even if operators end the drain: clients have been
        // sent to other routers already.
        let shutting_down = self.shutdown_started.is_some();
        let strictest_before = if shutting_down { self.policy } else { ClosePolicy::KeepOpen };
        let policy = self.drain_policy(now).max(self.shutdown_policy(now)).max(strictest_before);
        if policy != self.policy {
            self.policy = policy;
            actions.push(Action::SetClosePolicy(policy));
        }
    }

    /// Returns the policy that the drain requires.
    fn drain_policy(&self, now: Duration) -> ClosePolicy {
        match self.drain_started.map(|started| now.saturating_sub(started)) {
            Some(elapsed) if elapsed >= self.times.drain_stop_reading => ClosePolicy::StopReading,
            Some(elapsed) if elapsed >= self.times.drain_close_when_idle => ClosePolicy::CloseWhenIdle,
            _ => ClosePolicy::KeepOpen,
        }
    }

    /// Returns the policy that the shutdown requires. With a successor, new connections go to it immediately;
    /// without one, there is no other process to accept them until the grace period is over.
    fn shutdown_policy(&self, now: Duration) -> ClosePolicy {
        match self.since_shutdown(now) {
            Some(elapsed) if elapsed >= self.times.stop_reading => ClosePolicy::StopReading,
            Some(elapsed) if self.successor || elapsed >= self.times.grace => ClosePolicy::CloseWhenIdle,
            _ => ClosePolicy::KeepOpen,
        }
    }

    fn since_shutdown(&self, now: Duration) -> Option<Duration> {
        self.shutdown_started.map(|started| now.saturating_sub(started))
    }
}
