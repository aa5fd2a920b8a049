//! The events of a simulation, in the order of their times.
use super::Fault;
use decision::Micros;
use quotas::{GrantResponse, Report};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

pub(super) enum Event {
    ExchangeDue { router: usize, timer: u64 },
    ResponseTimeout { router: usize, incarnation: u64, seq: u64 },
    ReportArrives { node: usize, router: usize, report: Report },
    ResponseArrives { router: usize, response: GrantResponse },
    RequestArrives { router: usize, tenant: usize, timer: u64 },
    ConfigArrives { router: usize, incarnation: u64, version: u64 },
    RouterStarts { router: usize },
    FaultDue(Fault),
}

impl Event {
    /// The router whose process handles the event.
    pub(super) fn handled_by(&self) -> Option<usize> {
        match self {
            Event::ExchangeDue { router, .. }
            | Event::ResponseTimeout { router, .. }
            | Event::ResponseArrives { router, .. }
            | Event::RequestArrives { router, .. }
            | Event::ConfigArrives { router, .. } => Some(*router),
            Event::ReportArrives { .. } | Event::RouterStarts { .. } | Event::FaultDue(_) => None,
        }
    }
}

/// A queue of events ordered by time; events of the same time are ordered by when they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.order.push(Reverse((at, self.count)));
    }

    /// Removes and returns the next event and its time, if it is due by `end`.
    pub(super) fn pop_until(&mut self, end: Micros) -> Option<(Micros, Event)> {
        let &Reverse((at, id)) = self.order.peek()?;
        if at > end {
            return None;
        }
        self.order.pop();
        self.events.remove(&id).map(|event| (at, event))
    }
}
