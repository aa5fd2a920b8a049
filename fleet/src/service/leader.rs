//! The actor that owns the quota allocator and the audit.
//!
//! In each round it reads its clock first, then has its leadership confirmed by a majority, and decides as of that
//! time. So a node that was paused, or that another one has replaced meanwhile, decides nothing from what expired since.
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

/// Reports that one confirmation of the leadership serves.
pub(super) const MAX_REPORTS_PER_ROUND: usize = 256;
/// Without reports, the state machines learn the time this often.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// A router's report whose response a connection waits for.
pub(super) struct PendingReport {
    pub(super) quota_report: quotas::Report,
    pub(super) version_report: audit::VersionReport,
    pub(super) reply: Sender<Response>,
}

impl PendingReport {
    fn respond(&self, response: Response) {
        // The connection may have given up waiting, or ended.
        _ = self.reply.try_send(response);
    }
}

fn respond_not_leader(reports: &[PendingReport], leader: u64) {
    for pending in reports {
        pending.respond(Response::NotLeader { leader });
    }
}

/// A report that the allocator decides on, until its response is sent.
struct AwaitedResponse {
    reply: Sender<Response>,
    audit_directive: audit::Directive,
}

pub(super) struct LeaderActor {
    store: Store,
    clock: Clock,
    allocator: Allocator,
    /// `None` where the audit is off.
    auditor: Option<Auditor>,
    /// The last term in which this node led, 0 for none.
    term: u64,
    /// The version that the allocator has in this term, 0 for none.
    version: Version,
    /// The version whose document cannot be used, 0 for none.
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

    /// Decides on reports until no connection can send one any more.
    pub(super) fn run(mut self, reports: &Receiver<PendingReport>) {
        let mut actions = Vec::new();
        while let Some(pending) = next_reports(reports) {
            // Read before the confirmation; all decisions of this round are as of this time.
            let mut now = self.clock.now();
            let mut confirmed = self.store.read_as_leader();
            if let Ok(Some(leadership)) = &confirmed
                && leadership.term != self.term
            {
                self.begin_term(leadership, &mut actions);
                now = self.clock.now();
                confirmed = self.store.read_as_leader();
            }
            match confirmed {
                Ok(Some(leadership)) => self.decide(now, &leadership, pending, &mut actions),
                Ok(None) => {
                    let leader = self.store.known_leader().leader.unwrap_or(UNKNOWN_LEADER);
                    respond_not_leader(&pending, leader);
                }
                // This node may be cut off from the present leader and not know it.
                Err(_) => respond_not_leader(&pending, UNKNOWN_LEADER),
            }
        }
    }

    /// Starts a term of this node. The time that was read before its confirmation may be from before the election, and
    /// the earlier leader may have granted quotas between the two: the term, and the time in which it grants nothing
    /// new, start after both.
    fn begin_term(&mut self, leadership: &ConfirmedRead, actions: &mut Vec<Action>) {
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
        // Elected again between the two confirmations: the next round begins the term.
        let is_present_term = leadership.term == self.term;
        if !is_present_term || !self.load_document(now, &leadership.state, actions) {
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

    /// Gives the allocator the document where its version is new. Returns whether the allocator has the current version:
    /// otherwise the configuration that binds is unknown, and an older one must not be confirmed in its place.
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

    /// Gives one report to the audit and the allocator. Returns what the allocator's response is to be sent with; `None`
    /// where the report is rejected or answered already.
    fn apply_report(
        &mut self,
        now: Time,
        connection: u64,
        pending: PendingReport,
        actions: &mut Vec<Action>,
    ) -> Option<AwaitedResponse> {
        if let Err(error) = pending.quota_report.check() {
            tracing::warn!(%error, "router report rejected");
            return None;
        }
        let audit_directive = self.audit_report(now, &pending);
        if matches!(audit_directive, audit::Directive::FenceOut { .. }) {
            // Nothing is renewed: the router's grants expire, and nobody else has them before.
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
        Some(AwaitedResponse { reply: pending.reply, audit_directive })
    }

    /// Gives a report to the audit; its directive for the router.
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

/// The reports of one round, after [`IDLE_TICK`] none; `None` where no more can come.
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

/// Sends the allocator's responses with the audit's directives.
fn send_responses(actions: &mut Vec<Action>, awaited: &mut HashMap<u64, AwaitedResponse>) {
    for Action::Respond { connection, response: quota_response } in actions.drain(..) {
        if let Some(AwaitedResponse { reply, audit_directive }) = awaited.remove(&connection) {
            // The connection may have given up waiting, or ended.
            _ = reply.try_send(Response::Report { quota_response, audit_directive });
        }
    }
}
