//! How a front lets its clients go: at its end (SIGTERM) and while operators drain it. A state machine: no sockets, no
//! clock.
//!
//! New connections stop some time after the front has said no; connections that are open go on being used for as long
//! as they stay open. So they are let go step by step: first all is as before, then each connection ends as it falls
//! quiet, and in the end nothing more is read of a client that is never quiet. What was read is answered in any case.
use std::time::Duration;

/// How connections are treated, one step stricter after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Step {
    /// As ever.
    Open = 0,
    /// Each ends as soon as nothing is owed on it and nothing waits to be read.
    Quiet = 1,
    /// Nothing more is read; each ends once what was read is answered.
    Last = 2,
}

impl From<u8> for Step {
    fn from(n: u8) -> Step {
        match n {
            0 => Step::Open,
            1 => Step::Quiet,
            _ => Step::Last,
        }
    }
}

/// The times of letting go.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// From SIGTERM: connections are taken as before for this long,
    pub grace: Duration,
    /// read for this long,
    pub last: Duration,
    /// and all has ended after this.
    pub most: Duration,
    /// From the start of a drain: connections end as they fall quiet,
    pub drain_quiet: Duration,
    /// and are read no further.
    pub drain_last: Duration,
}

/// What the front is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Operators drain it, or no longer.
    Drain(bool),
    /// It is to end; another process takes its clients already, or none does.
    End {
        /// Whether one does.
        successor: bool,
    },
    /// Another process takes clients now, or none does any more.
    Successor(bool),
    /// The time has come to look again.
    Look {
        /// Connections that are open.
        open: usize,
    },
}

/// What the front does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The empty query is answered with a no from now on, or with a yes.
    SayNo(bool),
    /// How connections are treated from now on.
    Treat(Step),
    /// No more connections are taken.
    StopAccepting,
    /// The program ends.
    Ended,
}

/// Where the front stands between serving and its end. All moments are times since any one beginning.
#[derive(Debug)]
pub struct Leaving {
    times: Times,
    drained: Option<Duration>,
    ends: Option<Duration>,
    successor: bool,
    accepting: bool,
    step: Step,
    ended: bool,
}

impl Leaving {
    /// A front that serves.
    pub fn new(times: Times) -> Self {
        let (drained, ends, successor, accepting, step) = (None, None, false, true, Step::Open);
        Leaving { times, drained, ends, successor, accepting, step, ended: false }
    }

    /// Whether there is something to look at again soon.
    pub fn under_way(&self) -> bool {
        (self.drained.is_some() || self.ends.is_some()) && !self.ended
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.ended {
            return;
        }
        let mut open = None;
        match event {
            Event::Drain(yes) if yes != self.drained.is_some() => {
                self.drained = yes.then_some(now);
                actions.push(Action::SayNo(yes));
            }
            Event::Drain(_) => {}
            Event::End { successor } => {
                self.successor = successor;
                self.ends.get_or_insert(now);
            }
            Event::Successor(yes) => self.successor = yes,
            Event::Look { open: n } => open = Some(n),
        }
        let since_drain = self.drained.map(|t| now.saturating_sub(t));
        let since_end = self.ends.map(|t| now.saturating_sub(t));
        let times = &self.times;
        let drain = match since_drain {
            Some(t) if t >= times.drain_last => Step::Last,
            Some(t) if t >= times.drain_quiet => Step::Quiet,
            _ => Step::Open,
        };
        // With a successor new connections are its own; alone, there is nobody else for them yet.
        let end = match since_end {
            Some(t) if t >= times.last => Step::Last,
            Some(t) if self.successor || t >= times.grace => Step::Quiet,
            _ => Step::Open,
        };
        if self.accepting && end > Step::Open {
            self.accepting = false;
            actions.push(Action::StopAccepting);
        }
        // What ends never opens again: clients have been told to ask elsewhere, whoever takes a drain back by then.
        let least = if since_end.is_some() { self.step } else { Step::Open };
        let step = drain.max(end).max(least);
        if step != self.step {
            self.step = step;
            actions.push(Action::Treat(step));
        }
        let done = open == Some(0) && !self.accepting;
        if since_end.is_some_and(|t| done || t >= times.most) {
            self.ended = true;
            actions.push(Action::Ended);
        }
    }
}
