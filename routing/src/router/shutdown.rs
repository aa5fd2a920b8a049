//! Handling of the start of the process's shutdown.
use super::actor::{RouterActor, Timer};
use super::shutdown_deadlines::ShutdownDeadlines;
use crate::attempt_id::AttemptId;
use crate::protocol::BackendProtocol;
use decision::{Event, RequestId, Time};
use std::cmp::Reverse;

impl<P: BackendProtocol> RouterActor<P> {
    /// Limits the deadlines of all open requests, and of those that arrive from now on. A second call changes
    /// nothing.
    pub(super) fn shutdown_started(&mut self, at: Time) {
        if self.shutdown.is_some() {
            return;
        }
        let deadlines = ShutdownDeadlines::new(at, &self.resources.limits);
        self.shutdown = Some(deadlines);
        let too_late = self.requests.iter().filter(|(_, record)| record.deadline > deadlines.latest());
        for id in too_late.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.shorten_deadline(id, deadlines.latest());
        }
    }

    fn shorten_deadline(&mut self, id: RequestId, deadline: Time) {
        let Some(record) = self.requests.get_mut(&id) else { return };
        record.deadline = deadline;
        for attempt in &record.in_flight {
            let attempt = AttemptId { request: id, number: attempt.number };
            self.timers.push(Reverse((deadline, Timer::AttemptTimeout(attempt))));
        }
        self.handle_decision_event(Event::DeadlineShortened { request: id, deadline });
    }
}
