//! The actor that owns the quota allocator and the audit.
//!
//! In each round it first reads the clock, then has a majority confirm that this node is the leader, and then
//! makes all decisions as of the time it read. So a node that was paused, or replaced as the leader in the
//! meantime, makes no decision based on grants or leases that expired after that time.
use super::auditor::Auditor;
use crate::wire::{Response, UNKNOWN_LEADER};
use crate::{audit_record, document};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use quotas::{Action, Allocator, Event, GrantResponse, ResponseBody};
use routing::{Clock, Time};
use settings::fleet::Version;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use store::node::ConfirmedRead;
use store::{State, Store};

/// Maximum number of reports per round, that is, per confirmation of the leadership.
pub(super) const MAX_REPORTS_PER_ROUND: usize = 256;
/// The state machines are informed of the time at least this often, even without reports.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// A router's report whose connection waits for the response.
pub(super) struct PendingReport {
    pub(super) quota_report: quotas::Report,
    pub(super) version_report: audit::VersionReport,
    pub(super) responder: Sender<Response>,
}

impl PendingReport {
    fn respond(&self, response: Response) {
        // The connection may have timed out or closed.
        _ = self.responder.try_send(response);
    }
}

fn respond_not_leader(reports: &[PendingReport], leader: u64) {
    for pending in reports {
        pending.respond(Response::NotLeader { leader });
    }
}

/// A report that was passed to the allocator and whose response has not been sent yet.
struct AwaitedResponse {
    responder: Sender<Response>,
    audit_directive: audit::Directive,
}

pub(super) struct LeaderActor {
    store: Store,
    clock: Clock,
    allocator: Allocator,
    /// `None` if the audit is disabled.
    auditor: Option<Auditor>,
    /// The last term in which this node was the leader, 0 for none.
    term: u64,
    /// The document version that the allocator has received in this term, 0 for none.
    version: Version,
    /// The version of a document that cannot be used, 0 for none.
    unusable_version: Version,
}

impl LeaderActor {
    pub(super) fn new(
        store: Store,
        clock: Clock,
        quotas: quotas::Settings,
        audit: Option<audit::Settings>,
    ) -> io::Result<LeaderActor> {
        let auditor = audit.map(|settings| Auditor::new(&store, settings)).transpose()?;
        let allocator = Allocator::new(quotas);
        Ok(LeaderActor { store, clock, allocator, auditor, term: 0, version: 0, unusable_version: 0 })
    }

    /// Handles reports until all connections and the listener are closed.
    pub(super) fn run(mut self, reports: &Receiver<PendingReport>) {
        let mut actions = Vec::new();
        while let Some(pending) = next_reports(reports) {
            // The time is read before the leadership is confirmed; all decisions of this round are made as of
            // this time.
            let mut now = self.clock.now();
            let mut confirmed = self.store.read_as_leader();
            if let Ok(Some(leadership)) = &confirmed
                && leadership.term != self.term
            {
                self.start_term(leadership, &mut actions);
                now = self.clock.now();
                confirmed = self.store.read_as_leader();
            }
            match confirmed {
                Ok(Some(leadership)) => self.decide(now, &leadership, pending, &mut actions),
                Ok(None) => {
                    let leader = self.store.known_leader().leader.unwrap_or(UNKNOWN_LEADER);
                    respond_not_leader(&pending, leader);
                }
                // After a failed read the leader is unknown: this node may be partitioned from the current
                // leader without knowing it.
                Err(_) => respond_not_leader(&pending, UNKNOWN_LEADER),
            }
        }
    }

    /// Starts a term of this node as the leader. The time that was read before the confirmation may precede
    /// the election, and the previous leader may have granted quotas in between. So the clock is read again:
    /// the term, and its initial period without new grants, start after those grants.
    fn start_term(&mut self, leadership: &ConfirmedRead, actions: &mut Vec<Action>) {
        let term = leadership.term;
        self.term = term;
        self.version = 0;
        tracing::info!(term, "fleet leadership gained");
        let now = self.clock.now();
        self.allocator.handle(now, Event::BecameLeader { term }, actions);
        if let Some(auditor) = &mut self.auditor {
            let batches = audit_record::stored_batches(&leadership.state);
            auditor.handle(now, audit::Event::LeadershipGained { term, batches });
        }
    }

    fn decide(
        &mut self,
        now: Time,
        leadership: &ConfirmedRead,
        reports: Vec<PendingReport>,
        actions: &mut Vec<Action>,
    ) {
        // A new election may have happened between the two confirmations. The next round starts that term.
        let is_current_term = leadership.term == self.term;
        if !is_current_term || !self.load_document(now, &leadership.state, actions) {
            respond_not_leader(&reports, UNKNOWN_LEADER);
            return;
        }
        if let Some(auditor) = &mut self.auditor {
            auditor.handle(now, audit::Event::CurrentVersion { version: self.version });
        }
        let mut awaited = HashMap::new();
        for (connection, pending) in (0..).zip(reports) {
            if let Some(response) = self.apply_report(now, connection, pending, actions) {
                awaited.insert(connection, response);
            }
        }
        self.allocator.handle(now, Event::Tick, actions);
        send_responses(actions, &mut awaited);
        if let Some(auditor) = &mut self.auditor {
            auditor.tick(now);
        }
    }

    /// Passes the document to the allocator if its version is new. Returns whether the allocator has the
    /// current version. Otherwise the current configuration is unknown, and reports must not be confirmed
    /// under an older one.
    fn load_document(&mut self, now: Time, state: &State, actions: &mut Vec<Action>) -> bool {
        let version = document::current_version(state);
        if version != self.version && version != self.unusable_version {
            match document::from_state(state) {
                Ok(Some(document)) => {
                    let fleet = Arc::new(document.fleet);
                    self.allocator.handle(now, Event::Config { version, fleet }, actions);
                    self.version = version;
                }
                Ok(None) => {}
                Err(error) => {
                    self.unusable_version = version;
                    tracing::error!(version, %error, "fleet document unusable, no quotas are granted");
                }
            }
        }
        version == self.version
    }

    /// Passes a report to the audit and the allocator. Returns the data for sending the allocator's response;
    /// `None` if the report is rejected or its response has been sent.
    fn apply_report(
        &mut self,
        now: Time,
        connection: u64,
        pending: PendingReport,
        actions: &mut Vec<Action>,
    ) -> Option<AwaitedResponse> {
        if let Err(error) = pending.quota_report.check() {
            tracing::warn!(%error, "invalid router report rejected");
            return None;
        }
        let audit_directive = self.audit_report(now, &pending);
        if matches!(audit_directive, audit::Directive::FenceOut { .. }) {
            // No grant is renewed, so the router's grants expire. Until then they are not granted to other
            // routers.
            let quota_response = GrantResponse {
                term: self.term,
                incarnation: pending.quota_report.incarnation,
                seq: pending.quota_report.seq,
                version: self.version,
                body: ResponseBody::NotRenewed,
            };
            pending.respond(Response::Report { quota_response, audit_directive });
            return None;
        }
        self.allocator.handle(now, Event::Report { connection, report: pending.quota_report }, actions);
        Some(AwaitedResponse { responder: pending.responder, audit_directive })
    }

    /// Passes a report to the audit and returns the directive for the router.
    fn audit_report(&mut self, now: Time, pending: &PendingReport) -> audit::Directive {
        let Some(auditor) = &mut self.auditor else { return audit::Directive::AuditDisabled };
        let event = audit::Event::ReportReceived {
            router: pending.quota_report.router.clone(),
            incarnation: pending.quota_report.incarnation,
            version: pending.quota_report.version,
            report: pending.version_report,
            leaving: pending.quota_report.leaving,
        };
        auditor.handle(now, event)
    }
}

/// Waits for the reports of one round. Returns an empty list after [`IDLE_TICK`] without reports, and `None`
/// if no more can arrive.
fn next_reports(reports: &Receiver<PendingReport>) -> Option<Vec<PendingReport>> {
    let mut round = Vec::new();
    match reports.recv_timeout(IDLE_TICK) {
        Ok(first) => round.push(first),
        Err(RecvTimeoutError::Timeout) => {}
        Err(RecvTimeoutError::Disconnected) => return None,
    }
    round.extend(reports.try_iter().take(MAX_REPORTS_PER_ROUND - 1));
    Some(round)
}

/// Sends the allocator's responses together with the audit's directives.
fn send_responses(actions: &mut Vec<Action>, awaited: &mut HashMap<u64, AwaitedResponse>) {
    for Action::Respond { connection, response: quota_response } in actions.drain(..) {
        if let Some(AwaitedResponse { responder, audit_directive }) = awaited.remove(&connection) {
            // The connection may have timed out or closed.
            _ = responder.try_send(Response::Report { quota_response, audit_directive });
        }
    }
}
