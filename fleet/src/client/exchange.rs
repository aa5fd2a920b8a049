//! The thread that reports to the leader and applies its answers.
//!
//! In a round the router reports to one node after another until one answers as the leader. Where the answer names a newer
//! version of the fleet document, the router fetches that document and reports once more, for the new version.
use super::connection::{Connection, ExchangeError, ReceivedDocument};
use super::shared::{Shared, Wakeup};
use super::tenants::TenantDirectory;
use crate::wire::{Request, Response};
use crossbeam_channel::{Receiver, Sender, select};
use placement::RulesUpdate;
use quotas::QuotaClient;
use routing::Time;
use settings::fleet::{Fleet, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The usual time between two rounds.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between two rounds, even where requests wake the exchange again and again.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest pause after all nodes have failed; each pause is drawn between half of it and all of it.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// The most reports to one node in a round: the first may find a newer version, the second confirms it once it is
/// applied.
const REPORTS_PER_ROUND: usize = 2;

/// Asks the exchange to return all grants and to end.
pub(super) struct LeaveRequest {
    /// Gets a message once the exchange has tried to return the grants, whether or not a node has answered.
    pub(super) done: Sender<()>,
}

/// What the exchange has to know of this router and its fleet.
pub(super) struct Settings {
    /// Where the store's nodes answer reports.
    pub(super) nodes: Vec<SocketAddr>,
    /// How long a confirmation of the rules holds, in microseconds from before the report was sent.
    pub(super) lease_us: i64,
    /// The names of the request classes in this router's own settings.
    pub(super) classes: Vec<String>,
    /// The seed of the backoff's jitter.
    pub(super) seed: u64,
}

/// Whether a leader answers, as it was logged last.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LeaderContact {
    NeverTried,
    Reached,
    Lost,
}

/// A report that the leader has answered.
struct AnsweredReport {
    /// When the report was made: a lease counts from here.
    reported_at: Time,
    /// The version that is current at the leader.
    current: Version,
}

/// The state of the exchange's thread.
pub(super) struct Exchange {
    shared: Arc<Shared>,
    connection: Connection,
    /// Gets each document's placement rules, and each confirmation that they are the current ones.
    on_rules_update: Box<dyn Fn(RulesUpdate) + Send>,
    /// The version of the router's member list, which the audit records.
    member_list_version: Box<dyn Fn() -> u64 + Send>,
    lease_us: i64,
    classes: Vec<String>,
    logged_contact: LeaderContact,
    /// The version of a store that is behind what this router follows, as it was logged last; 0 for none.
    stale_store_version: Version,
    /// The version whose document this router cannot read, 0 for none: it is not asked for again.
    unreadable_version: Version,
    random: fastrand::Rng,
}

impl Exchange {
    pub(super) fn new(
        shared: Arc<Shared>,
        settings: Settings,
        on_rules_update: Box<dyn Fn(RulesUpdate) + Send>,
        member_list_version: Box<dyn Fn() -> u64 + Send>,
    ) -> Exchange {
        Exchange {
            shared,
            connection: Connection::new(settings.nodes),
            on_rules_update,
            member_list_version,
            lease_us: settings.lease_us,
            classes: settings.classes,
            logged_contact: LeaderContact::NeverTried,
            stale_store_version: 0,
            unreadable_version: 0,
            random: fastrand::Rng::with_seed(settings.seed),
        }
    }

    /// Reports until a leave request comes or all clients of the fleet are dropped.
    pub(super) fn run(mut self, wakeups: &Receiver<Wakeup>, leave_requests: &Receiver<LeaveRequest>) {
        let mut round_began = Instant::now();
        let mut due = round_began;
        loop {
            select! {
                recv(leave_requests) -> request => {
                    self.leave();
                    _ = request.map(|request| request.done.try_send(()));
                    return;
                }
                recv(wakeups) -> _ => {
                    let earliest = round_began + MIN_REPORT_INTERVAL;
                    std::thread::sleep(earliest.saturating_duration_since(Instant::now()));
                }
                default(due.saturating_duration_since(Instant::now())) => {}
            }
            round_began = Instant::now();
            due = round_began + REPORT_INTERVAL;
            if !self.run_round() {
                due = Instant::now() + self.draw_backoff();
            }
        }
    }

    fn draw_backoff(&mut self) -> Duration {
        let longest_us = MAX_BACKOFF.as_micros() as u64;
        Duration::from_micros(self.random.u64(longest_us / 2..=longest_us))
    }

    /// Tries the nodes in turn, first the one that answered last. Returns whether one answered as the leader.
    fn run_round(&mut self) -> bool {
        let mut last_failure = String::new();
        // Nodes that have failed in this round, other than by naming another leader.
        let mut silent = BTreeSet::new();
        // One more than there are nodes: a node may name as the leader one that was tried before it.
        for _ in 0..=self.connection.node_count() {
            let node = self.connection.addr();
            let error = match self.report_and_follow() {
                Ok(()) => {
                    self.log_reached(node);
                    return true;
                }
                Err(error) => error,
            };
            self.shared.with_quota_client(|quotas, _| quotas.exchange_failed());
            last_failure = format!("{node}: {error}");
            self.connection.fail_over(&error, &mut silent);
        }
        // The lease may be over by now. The check logs it, even where no request comes that would be rejected.
        _ = self.shared.check_fence();
        self.log_lost(&last_failure);
        false
    }

    fn log_reached(&mut self, node: SocketAddr) {
        if std::mem::replace(&mut self.logged_contact, LeaderContact::Reached) != LeaderContact::Reached {
            tracing::info!(%node, "fleet leader found");
        }
    }

    fn log_lost(&mut self, last_failure: &str) {
        if std::mem::replace(&mut self.logged_contact, LeaderContact::Lost) != LeaderContact::Lost {
            tracing::warn!(
                error = last_failure,
                "fleet leader lost, quota grants expire; check that a majority of the store runs"
            );
        }
    }

    /// Reports to the node in use, and follows the version that its answer names.
    fn report_and_follow(&mut self) -> Result<(), ExchangeError> {
        for _ in 0..REPORTS_PER_ROUND {
            let AnsweredReport { reported_at, current } = self.report()?;
            match self.shared.followed_version() {
                Some(followed) if followed == current => {
                    self.confirm_placement(reported_at);
                    return Ok(());
                }
                Some(followed) if followed > current => {
                    self.log_stale_store(current, followed);
                    return Ok(());
                }
                _ if current > 0 && current == self.unreadable_version => return Ok(()),
                // The router follows an older version or none.
                _ => self.follow()?,
            }
        }
        Ok(())
    }

    /// The placement rules are the current ones for a lease from the report on.
    fn confirm_placement(&self, reported_at: Time) {
        let until = Time(reported_at.0.saturating_add(self.lease_us));
        (self.on_rules_update)(RulesUpdate::Confirmed { until });
    }

    fn log_stale_store(&mut self, version: Version, followed: Version) {
        if std::mem::replace(&mut self.stale_store_version, version) != version {
            tracing::error!(
                version,
                followed,
                "fleet document older than the followed one, the store was set up anew; restart the router to \
                 follow it"
            );
        }
    }

    /// Sends one report and applies its answer.
    fn report(&mut self) -> Result<AnsweredReport, ExchangeError> {
        // Connected first: a lease counts from the report, and must not lose the time that connecting takes.
        self.connection.open()?;
        let (reported_at, quota_report) =
            self.shared.with_quota_client(|quotas, now| (now, quotas.report(now)));
        let (seq, incarnation, reported) = (quota_report.seq, quota_report.incarnation, quota_report.version);
        let member_list_version = &self.member_list_version;
        // A router without the audit's fence reports default values.
        let version_report = self
            .shared
            .with_fence(|fence, _| fence.report(reported_at, member_list_version()))
            .unwrap_or_default();
        let request = Request::Report { quota_report, version_report };
        let (response, directive) = match self.connection.request(&request)? {
            Response::Report { quota_response: response, audit_directive: directive }
                if response.seq == seq && response.incarnation == incarnation =>
            {
                (response, directive)
            }
            Response::NotLeader { leader } => return Err(ExchangeError::NotLeader { leader }),
            _ => return Err(ExchangeError::UnexpectedResponse),
        };
        let current = response.version;
        self.shared.with_quota_client(|quotas, now| quotas.handle_response(now, response));
        self.apply_audit_answer(&audit::LeaderResponse {
            report_sent_at: reported_at,
            reported_version: reported,
            current_version: current,
            directive,
        });
        Ok(AnsweredReport { reported_at, current })
    }

    /// Applies what the leader's audit demands of this router, if the audit is on.
    fn apply_audit_answer(&mut self, answer: &audit::LeaderResponse) {
        let is_audited = self.shared.with_fence(|fence, now| fence.response_received(now, answer)).is_some();
        if !is_audited {
            return;
        }
        if matches!(answer.directive, audit::Directive::Refetch { .. }) {
            // A version that could not be read is fetched again too: it may have been damaged in transit.
            self.unreadable_version = 0;
            tracing::warn!(
                version = answer.reported_version,
                current = answer.current_version,
                "fleet document refetch requested by the leader, this router lags; check the log lines before"
            );
        }
        // Logs where the answer has fenced the router or lifted its fence.
        _ = self.shared.check_fence();
    }

    /// Fetches the document and applies it where it is newer than the one followed. One that this router cannot read is
    /// logged, and not fetched again unless the audit asks for it.
    fn follow(&mut self) -> Result<(), ExchangeError> {
        let ReceivedDocument { version, bytes } = self.connection.fetch_document()?;
        if self.shared.followed_version().is_some_and(|followed| followed >= version) {
            return Ok(());
        }
        let text = String::from_utf8(bytes).map_err(|_| ExchangeError::UnexpectedResponse)?;
        if version == 0 {
            // The store has no document: there are no tenants, and nothing is limited.
            self.apply(version, Arc::new(Fleet::default()));
            return Ok(());
        }
        match settings::fleet::read(&text, None) {
            Ok(fleet) => {
                self.warn_of_unknown_class(version, &fleet);
                self.apply(version, Arc::new(fleet));
            }
            Err(error) => {
                self.unreadable_version = version;
                tracing::error!(
                    version,
                    %error,
                    "fleet document unreadable, quota grants expire; update this router"
                );
            }
        }
        Ok(())
    }

    /// Logs a request class in the document's placement rules that this router does not have: a rule for it never applies
    /// here.
    fn warn_of_unknown_class(&self, version: Version, fleet: &Fleet) {
        let placement_rules = fleet.tenants.values().flat_map(|tenant| &tenant.placement_rules);
        let mut named_classes = placement_rules.filter_map(|rule| rule.classes.as_ref()).flatten();
        if let Some(class) = named_classes.find(|class| !self.classes.contains(class)) {
            tracing::warn!(version, class, "placement rule ignored, its class is not in this router's file");
        }
    }

    /// Makes a document the one that this router follows.
    fn apply(&self, version: Version, fleet: Arc<Fleet>) {
        // Placement rules first: a request that is admitted under the new version must be placed by its rules.
        (self.on_rules_update)(RulesUpdate::Received { version, fleet: fleet.clone() });
        if version > 0 {
            self.shared.with_quota_client(|quotas, now| quotas.apply_config(now, version, &fleet));
        }
        self.shared.with_fence(|fence, now| fence.version_applied(now, version));
        let directory = TenantDirectory::new(version, &fleet);
        let tenants = directory.count();
        self.shared.set_tenants(directory);
        tracing::info!(version, tenants, "fleet document followed");
    }

    /// Returns all grants, so that the leader may grant them to other routers at once. Where no answer comes, the leader
    /// waits until they have expired.
    fn leave(&mut self) {
        let quota_report = self.shared.with_quota_client(QuotaClient::release_all);
        let member_list_version = &self.member_list_version;
        let version_report =
            self.shared.with_fence(|fence, now| fence.report(now, member_list_version())).unwrap_or_default();
        match self.connection.request(&Request::Report { quota_report, version_report }) {
            Ok(_) => tracing::info!("fleet left, quota grants returned"),
            Err(error) => {
                tracing::info!(%error, "fleet left, quota grants not returned and left to expire");
            }
        }
    }
}
