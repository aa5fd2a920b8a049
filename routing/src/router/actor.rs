//! State and main loop of the router actor, including the exchange of events and actions with the decision
//! state machine.
use super::endpoint_record::EndpointRecord;
use super::request_record::RequestRecord;
use super::shutdown_deadlines::ShutdownDeadlines;
use crate::attempt_id::AttemptId;
use crate::backends::BackendResources;
use crate::clock::Clock;
use crate::commit_sharing::CommitSharing;
use crate::messages::{BackendSender, RouterMessage};
use crate::metrics::Metrics;
use crate::observer::Observer;
use crate::permit::{Denial, RepeatRule};
use crate::placement_subsets::{MemberIds, PlacementSubsets};
use crate::probe_spacing::ProbeSpacing;
use crate::protocol::{BackendProtocol, ExchangeResult};
use crate::responded_endpoints::RespondedEndpoints;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use decision::{
    Action, Class, Event, Freshness, GroupId, MemberId, Outcome, RequestId, Router, Settings, Time,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Timer requested by the decision state machine.
    StateMachine,
    /// Update the metrics that are derived from the members.
    MemberMetrics,
    /// Time out an attempt.
    AttemptTimeout(AttemptId),
    /// Update the placement subsets, which depend on time.
    Placement,
    /// Send a probe that was delayed to keep the minimum interval between probes of an endpoint.
    Probe(MemberId),
    /// Send a probe that was delayed to keep this process's share of the router's probes.
    SpacedProbe(MemberId),
}

/// Rules of a request class that the router actor applies itself.
pub(super) struct ClassRules {
    pub(super) is_write: bool,
    /// Whether requests of the class must see the earlier writes of their session.
    pub(super) reads_session: bool,
    /// Retries and hedged attempts that are allowed.
    pub(super) repeat: RepeatRule,
    /// Retry-after value for requests of an unavailable group.
    pub(super) retry_after: Option<Duration>,
}

impl ClassRules {
    /// Derives the rules of a class from the settings of the decision state machine.
    fn new(class: &Class, settings: &Settings) -> ClassRules {
        let retry_after = settings
            .max_retry_after
            .map(|max| Duration::from_micros(max.min(class.latency_objective).max(0) as u64));
        let repeat = RepeatRule { idempotency: class.idempotency, hedging_allowed: settings.hedging_allowed };
        ClassRules {
            is_write: class.freshness == Freshness::Write,
            reads_session: class.freshness == Freshness::Session,
            repeat,
            retry_after,
        }
    }
}

pub(super) struct RouterActor<P: BackendProtocol> {
    pub(super) state_machine: Router,
    pub(super) clock: Clock,
    pub(super) resources: BackendResources<P>,
    /// Sender to the backends actor, which is started with the first backend.
    pub(super) backends: Option<BackendSender<P>>,
    pub(super) last_backend_id: u64,
    pub(super) classes: Vec<ClassRules>,
    pub(super) member_ids: MemberIds,
    /// Canonical member IDs by endpoint ID.
    pub(super) members_by_id: HashMap<String, MemberId>,
    pub(super) endpoints: HashMap<MemberId, EndpointRecord<P>>,
    pub(super) requests: HashMap<RequestId, RequestRecord<P>>,
    pub(super) timers: BinaryHeap<Reverse<(Time, Timer)>>,
    /// Messages that the actor sends to itself, which are handled after the current message.
    pub(super) deferred: VecDeque<RouterMessage<P>>,
    pub(super) responded: Option<Arc<RespondedEndpoints>>,
    pub(super) metrics: Option<Arc<Metrics>>,
    /// Number of routers that share the endpoints: taken from the settings until membership updates it.
    pub(super) router_count: u32,
    /// Number of processes that run as this router.
    pub(super) process_count: u32,
    /// Number of connections that are reserved for the other processes of this router.
    pub(super) reserved_connections: usize,
    pub(super) probe_spacing: ProbeSpacing,
    /// Groups without an available endpoint, of which at least one is in maintenance.
    pub(super) unavailable_groups: BTreeSet<GroupId>,
    /// Whether an endpoint that is missing from a complete list continues to serve, unless it was listed as
    /// draining.
    pub(super) missing_members_may_serve: bool,
    /// Checks the invariants of request handling, from the transitions of requests.
    pub(super) observer: Observer,
    /// Shares the commits of sessions with other processes of this router.
    pub(super) commit_sharing: Option<Arc<dyn CommitSharing>>,
    /// Limits on the deadlines of requests; `None` before the shutdown of the process.
    pub(super) shutdown: Option<ShutdownDeadlines>,
    /// Placement subsets; `None` without placement settings.
    pub(super) subsets: Option<Box<PlacementSubsets>>,
}

impl<P: BackendProtocol> RouterActor<P> {
    pub(super) fn new(settings: Settings, seed: u64, clock: Clock, resources: BackendResources<P>) -> Self {
        let classes: Vec<ClassRules> =
            settings.classes.iter().map(|class| ClassRules::new(class, &settings)).collect();
        let rules = classes.iter().map(|class| class.repeat).collect();
        RouterActor {
            classes,
            observer: Observer::new(rules, settings.drain_grace),
            router_count: settings.router_count,
            missing_members_may_serve: settings.missing_members_may_serve,
            probe_spacing: ProbeSpacing::new(&settings),
            state_machine: Router::new(settings, seed),
            clock,
            resources,
            backends: None,
            last_backend_id: 0,
            member_ids: MemberIds::default(),
            members_by_id: HashMap::new(),
            endpoints: HashMap::new(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            deferred: VecDeque::new(),
            responded: None,
            metrics: None,
            process_count: 1,
            reserved_connections: 0,
            unavailable_groups: BTreeSet::new(),
            commit_sharing: None,
            shutdown: None,
            subsets: None,
        }
    }

    pub(super) fn run(mut self, mailbox: &Receiver<RouterMessage<P>>) {
        self.update_member_metrics();
        loop {
            match self.receive(mailbox) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.handle_deferred();
            // At most one message is handled before a due timer fires.
            self.fire_due_timers();
        }
    }

    /// Waits for the next message, but not longer than until the next timer is due.
    fn receive(&self, mailbox: &Receiver<RouterMessage<P>>) -> Result<RouterMessage<P>, RecvTimeoutError> {
        match self.timers.peek() {
            Some(Reverse((at, _))) => mailbox.recv_deadline(self.clock.instant_at(*at)),
            None => mailbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    fn handle_deferred(&mut self) {
        while let Some(message) = self.deferred.pop_front() {
            self.handle(message);
        }
    }

    fn fire_due_timers(&mut self) {
        while let Some(Reverse((at, _))) = self.timers.peek()
            && *at <= self.clock.now()
            && let Some(Reverse((_, timer))) = self.timers.pop()
        {
            self.fire(timer);
            self.handle_deferred();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::StateMachine => {
                self.handle_decision_event(Event::TimerExpired);
                self.find_forgotten_requests();
            }
            Timer::MemberMetrics => self.update_member_metrics(),
            Timer::Placement => self.handle_placement(placement::Event::TimerExpired),
            Timer::Probe(endpoint) => self.schedule_probe(endpoint),
            Timer::SpacedProbe(endpoint) => self.send_probe(endpoint),
            Timer::AttemptTimeout(attempt) => {
                let cancelled = self.cancel_attempt(attempt, Denial::AttemptTimedOut, Outcome::TimedOut);
                if let Some((member, outcome)) = cancelled {
                    self.attempt_ended(attempt, member, ExchangeResult::from_outcome(outcome));
                }
                self.find_forgotten_requests();
            }
        }
    }

    fn handle(&mut self, message: RouterMessage<P>) {
        match message {
            RouterMessage::RequestArrived { id, request } => self.request_arrived(id, request),
            RouterMessage::ClientDisconnected(id) => self.client_disconnected(id),
            RouterMessage::RequestCancelled(id) => self.request_cancelled(id),
            RouterMessage::AttemptEnded { attempt, member, result } => {
                self.attempt_ended(attempt, member, result);
            }
            RouterMessage::ProbeEnded { member, outcome, report } => {
                self.probe_ended(member, outcome, report);
            }
            RouterMessage::ConnectionsNearLimit { max_idle } => self.trim_idle_connections(max_idle),
            RouterMessage::Endpoints(update) => self.update_endpoints(update),
            RouterMessage::UnavailableGroups(groups) => self.unavailable_groups = groups,
            RouterMessage::ProcessCount(processes) => self.set_process_count(processes),
            RouterMessage::RouterCount(routers) => self.set_router_count(routers),
            RouterMessage::ShutdownStarted { at } => self.shutdown_started(at),
            RouterMessage::Placement(update) => {
                self.handle_placement(placement::Event::RulesUpdated(update));
            }
        }
    }

    /// Passes an event to the decision state machine and performs the actions that it returns.
    pub(super) fn handle_decision_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        if self.subsets.as_ref().is_some_and(|subsets| subsets.is_due(now)) {
            // The decision state machine must not use a subset that has expired.
            self.handle_placement(placement::Event::TimerExpired);
            if matches!(&event, Event::RequestArrived(request) if !self.requests.contains_key(&request.id)) {
                // The request was rejected by this placement update, before its event was handled.
                return;
            }
        }
        // `damsonvale-lab count` reads these two lines of each router's log: docs/operate/fleet.md.
        tracing::debug!(at = now.0, ?event, "decision event received");
        self.state_machine.handle(now, event, &mut actions);
        for action in actions {
            tracing::debug!(at = now.0, ?action, "decision action requested");
            self.perform(now, action);
        }
    }

    fn perform(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { request, member, timeout, start_timeout } => {
                self.send_attempt(request, member, Time(now.0 + timeout), Time(now.0 + start_timeout));
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { request, number: attempt };
                let cancelled = self.cancel_attempt(attempt, Denial::AttemptCancelled, Outcome::Cancelled);
                if let Some((member, outcome)) = cancelled {
                    self.end_attempt_later(attempt, member, outcome);
                }
            }
            Action::Reject { request, retry_after } => {
                let retry_after = retry_after.map(|micros| Duration::from_micros(micros.max(0) as u64));
                self.reject(request, retry_after);
            }
            Action::Fail { request } => self.fail(request),
            Action::Probe { member } => self.probe_member(member),
            Action::SetTimer { after } => {
                self.timers.push(Reverse((Time(self.clock.now().0 + after), Timer::StateMachine)));
            }
            // No action is needed, because the endpoint list is always watched.
            Action::Subscribe => {}
            Action::Remove { member } => self.remove_member(member),
        }
    }

    /// Queues a message to be handled after the current one, because the decision state machine must not be
    /// re-entered while its actions are being performed.
    pub(super) fn defer(&mut self, message: RouterMessage<P>) {
        self.deferred.push_back(message);
    }
}
