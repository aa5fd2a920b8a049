//! When connections close, at shutdown (SIGTERM) and while operators drain the router. A state machine: no sockets, no
//! clock.
//!
//! Clients open no new connections some time after health checks have begun to fail, but go on using open ones for as
//! long as they stay open. So connections close in stages ([`ClosePolicy`]): first they stay open as before, then each
//! closes once it is idle, and at last nothing more is read of a client that is never idle. Commands that were read
//! get their response in any case.
use std::time::Duration;

/// How open connections are treated; each stage is stricter than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ClosePolicy {
    /// Connections stay open.
    KeepOpen = 0,
    /// Each closes as soon as nothing is in flight on it and nothing waits to be read.
    CloseWhenIdle = 1,
    /// Nothing more is read; each closes once the commands that were read have their responses.
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

/// When the stages of shutdown and drain begin.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// After the start of shutdown, connections are accepted and stay open for this long.
    pub grace: Duration,
    /// After the start of shutdown, nothing more is read from here on.
    pub stop_reading: Duration,
    /// After the start of shutdown, it is complete by now whatever is open.
    pub deadline: Duration,
    /// After the start of a drain, connections close when idle from here on.
    pub drain_close_when_idle: Duration,
    /// After the start of a drain, nothing more is read from here on.
    pub drain_stop_reading: Duration,
}

/// What happens to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Operators start a drain (`true`) or end it.
    SetDraining(bool),
    /// Shutdown begins.
    Shutdown {
        /// Whether another process accepts the router's clients already.
        successor: bool,
    },
    /// Another process accepts the router's clients now (`true`), or none does any more.
    SetSuccessor(bool),
    /// Time has passed.
    Tick {
        /// Connections that are open.
        open_connections: usize,
    },
}

/// What the server has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A drain has started (`true`) or ended.
    ReportDraining(bool),
    /// Treat connections like this from now on.
    SetClosePolicy(ClosePolicy),
    /// Accept no more connections.
    StopAccepting,
    /// Shutdown is complete: stop serving.
    Complete,
}

/// The state of a server's drain and shutdown. Times count from any fixed moment.
#[derive(Debug)]
pub struct GracefulShutdown {
    times: ShutdownTimes,
    drain_started: Option<Duration>,
    shutdown_started: Option<Duration>,
    successor: bool,
    accepting: bool,
    policy: ClosePolicy,
    complete: bool,
}

impl GracefulShutdown {
    /// A server that accepts connections, neither drained nor shutting down.
    pub fn new(times: ShutdownTimes) -> Self {
        GracefulShutdown {
            times,
            drain_started: None,
            shutdown_started: None,
            successor: false,
            accepting: true,
            policy: ClosePolicy::KeepOpen,
            complete: false,
        }
    }

    /// Whether [`Event::Tick`] is needed: a drain or a shutdown is under way.
    pub fn needs_ticks(&self) -> bool {
        (self.drain_started.is_some() || self.shutdown_started.is_some()) && !self.complete
    }

    /// Handles one event and appends the actions that follow, in order. Nothing follows [`Action::Complete`].
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.complete {
            return;
        }
        self.apply(now, event, actions);
        self.update_accepting(now, actions);
        self.update_policy(now, actions);
        let all_closed = event == Event::Tick { open_connections: 0 } && !self.accepting;
        let past_deadline = |elapsed| elapsed >= self.times.deadline;
        if self.since_shutdown(now).is_some_and(|elapsed| all_closed || past_deadline(elapsed)) {
            self.complete = true;
            actions.push(Action::Complete);
        }
    }

    /// Takes over what the event says.
    fn apply(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::SetDraining(draining) if draining != self.drain_started.is_some() => {
                self.drain_started = draining.then_some(now);
                actions.push(Action::ReportDraining(draining));
            }
            Event::SetDraining(_) | Event::Tick { .. } => {}
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
        // A shutdown never relaxes the policy, even if operators end the drain: clients have been sent elsewhere.
        let shutting_down = self.shutdown_started.is_some();
        let strictest_before = if shutting_down { self.policy } else { ClosePolicy::KeepOpen };
        let policy = self.drain_policy(now).max(self.shutdown_policy(now)).max(strictest_before);
        if policy != self.policy {
            self.policy = policy;
            actions.push(Action::SetClosePolicy(policy));
        }
    }

    /// The policy that a drain asks for.
    fn drain_policy(&self, now: Duration) -> ClosePolicy {
        match self.drain_started.map(|started| now.saturating_sub(started)) {
            Some(elapsed) if elapsed >= self.times.drain_stop_reading => ClosePolicy::StopReading,
            Some(elapsed) if elapsed >= self.times.drain_close_when_idle => ClosePolicy::CloseWhenIdle,
            _ => ClosePolicy::KeepOpen,
        }
    }

    /// The policy that a shutdown asks for. New connections go to the successor at once; without one, there is no
    /// other process for them until the grace period is over.
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
