//! The thread that reports to the leader and applies its responses.
//!
//! In each round the router reports to one node after another until one responds as the leader. If the
//! response names a newer version of the fleet document, the router fetches that document and reports once
//! more, for the new version.
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

/// The regular interval between the starts of two rounds.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest interval between the starts of two rounds, however often requests wake the exchange.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest pause after all nodes have failed. The actual pause is drawn at random between half of it and
/// all of it.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of reports to one node in a round: the first may reveal a newer version, and the second
/// confirms that it is applied.
const REPORTS_PER_ROUND: usize = 2;

/// Request to return all grants and stop the exchange.
pub(super) struct LeaveRequest {
    /// Receives a message once the exchange has tried to return the grants, whether or not a node responded.
    pub(super) done: Sender<()>,
}

/// Settings of the exchange.
pub(super) struct Settings {
    /// The addresses where the store's nodes receive reports.
    pub(super) nodes: Vec<SocketAddr>,
    /// How long a confirmation of the placement rules is valid, in microseconds from the time of the report.
    pub(super) lease_us: i64,
    /// The names of the request classes in this router's settings file.
    pub(super) classes: Vec<String>,
    /// The seed of the backoff's jitter.
    pub(super) seed: u64,
}

/// Whether a leader responds, according to the last log line about the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LeaderContact {
    NeverTried,
    Reached,
    Lost,
}

/// A report that the leader has responded to.
struct ProcessedReport {
    /// When the report was created: leases start at this time.
    reported_at: Time,
    /// The leader's current document version.
    current: Version,
}

/// The state of the exchange thread.
pub(super) struct Exchange {
    shared: Arc<Shared>,
    connection: Connection,
    /// Called with the placement rules of each document, and with each confirmation that they are current.
    on_rules_update: Box<dyn Fn(RulesUpdate) + Send>,
    /// Returns the version of the router's member list, which the audit records.
    member_list_version: Box<dyn Fn() -> u64 + Send>,
    lease_us: i64,
    classes: Vec<String>,
    logged_contact: LeaderContact,
    /// The last logged version of a store whose document is older than the document that this router follows;
    /// 0 for none.
    stale_store_version: Version,
    /// The version of a document that this router cannot parse, 0 for none. Such a version is not fetched
    /// again.
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

    /// Runs rounds until a leave request is received or all clients of the fleet are dropped.
    pub(super) fn run(mut self, wakeups: &Receiver<Wakeup>, leave_requests: &Receiver<LeaveRequest>) {
        let mut round_started = Instant::now();
        let mut due = round_started;
        loop {
            select! {
                recv(leave_requests) -> request => {
                    self.leave();
                    _ = request.map(|request| request.done.try_send(()));
                    return;
                }
                recv(wakeups) -> _ => {
                    let earliest = round_started + MIN_REPORT_INTERVAL;
                    std::thread::sleep(earliest.saturating_duration_since(Instant::now()));
                }
                default(due.saturating_duration_since(Instant::now())) => {}
            }
            round_started = Instant::now();
            due = round_started + REPORT_INTERVAL;
            if !self.run_round() {
                due = Instant::now() + self.random_backoff();
            }
        }
    }

    fn random_backoff(&mut self) -> Duration {
        let longest_us = MAX_BACKOFF.as_micros() as u64;
        Duration::from_micros(self.random.u64(longest_us / 2..=longest_us))
    }

    /// Tries the nodes in turn, starting with the node that responded last. Returns whether a node responded
    /// as the leader.
    fn run_round(&mut self) -> bool {
        let mut last_failure = String::new();
        // The nodes that have failed in this round without naming another leader.
        let mut unresponsive = BTreeSet::new();
        // A round has one attempt more than there are nodes, because a node may name a leader that was tried
        // earlier.
        for _ in 0..=self.connection.node_count() {
            let node = self.connection.addr();
            let error = match self.report_and_update() {
                Ok(()) => {
                    self.log_leader_found(node);
                    return true;
                }
                Err(error) => error,
            };
            self.shared.with_quota_client(|quotas, _| quotas.exchange_failed());
            last_failure = format!("{node}: {error}");
            self.connection.fail_over(&error, &mut unresponsive);
        }
        // The lease may have expired. This check logs the expiry even if no request arrives.
        _ = self.shared.check_fence();
        self.log_leader_lost(&last_failure);
        false
    }

    fn log_leader_found(&mut self, node: SocketAddr) {
        if std::mem::replace(&mut self.logged_contact, LeaderContact::Reached) != LeaderContact::Reached {
            tracing::info!(%node, "fleet leader found");
        }
    }

    fn log_leader_lost(&mut self, last_failure: &str) {
        if std::mem::replace(&mut self.logged_contact, LeaderContact::Lost) != LeaderContact::Lost {
            tracing::warn!(
                error = last_failure,
                "fleet leader lost, quota grants expire; check that a majority of the store runs"
            );
        }
    }

    /// Reports to the current node, and fetches the document version that its response names.
    fn report_and_update(&mut self) -> Result<(), ExchangeError> {
        for _ in 0..REPORTS_PER_ROUND {
            let ProcessedReport { reported_at, current } = self.report()?;
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
                // The router follows an older version, or none.
                _ => self.update_document()?,
            }
        }
        Ok(())
    }

    /// Confirms that the placement rules are current for one lease from the time of the report.
    fn confirm_placement(&self, reported_at: Time) {
        let until = Time(reported_at.0.saturating_add(self.lease_us));
        (self.on_rules_update)(RulesUpdate::Confirmed { until });
    }

    fn log_stale_store(&mut self, version: Version, followed: Version) {
        if std::mem::replace(&mut self.stale_store_version, version) != version {
            tracing::error!(
                version,
                followed,
                "fleet document in the store is older than the one in use, because the store was recreated; \
                 restart the router to use the stored one"
            );
        }
    }

    /// Sends a report and applies the response.
    fn report(&mut self) -> Result<ProcessedReport, ExchangeError> {
        // Connects first: leases start at the time of the report and must not be shortened by the time for
        // connecting.
        self.connection.open()?;
        let (reported_at, quota_report) =
            self.shared.with_quota_client(|quotas, now| (now, quotas.report(now)));
        let (seq, incarnation, reported) = (quota_report.seq, quota_report.incarnation, quota_report.version);
        let member_list_version = &self.member_list_version;
        // Without the audit, the report contains default values.
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
        self.apply_audit_directive(&audit::LeaderResponse {
            report_sent_at: reported_at,
            reported_version: reported,
            current_version: current,
            directive,
        });
        Ok(ProcessedReport { reported_at, current })
    }

    /// Applies the directive of the leader's audit, if the audit is enabled.
    fn apply_audit_directive(&mut self, leader_response: &audit::LeaderResponse) {
        let is_audited =
            self.shared.with_fence(|fence, now| fence.response_received(now, leader_response)).is_some();
        if !is_audited {
            return;
        }
        if matches!(leader_response.directive, audit::Directive::Refetch { .. }) {
            // A version that could not be parsed is fetched again too, because it may have been damaged in
            // transit.
            self.unreadable_version = 0;
            tracing::warn!(
                version = leader_response.reported_version,
                current = leader_response.current_version,
                "this router lags, the leader requested a refetch of the fleet document; check earlier logs"
            );
        }
        // `check_fence` logs a message if the response has fenced this router or lifted its fence.
        _ = self.shared.check_fence();
    }

    /// Fetches the document and applies it if it is newer than the document that the router follows. A
    /// document that cannot be parsed is logged, and not fetched again unless the audit requests it.
    fn update_document(&mut self) -> Result<(), ExchangeError> {
        let ReceivedDocument { version, bytes } = self.connection.fetch_document()?;
        if self.shared.followed_version().is_some_and(|followed| followed >= version) {
            return Ok(());
        }
        let text = String::from_utf8(bytes).map_err(|_| ExchangeError::UnexpectedResponse)?;
        if version == 0 {
            // The store has no document, so there are no tenants and no limits.
            self.apply(version, Arc::new(Fleet::default()));
            return Ok(());
        }
        match settings::fleet::read(&text, None) {
            Ok(fleet) => {
                self.warn_about_unknown_class(version, &fleet);
                self.apply(version, Arc::new(fleet));
            }
            Err(error) => {
                self.unreadable_version = version;
                tracing::error!(
                    version,
                    %error,
                    "fleet document cannot be parsed, quota grants will expire; update this router"
                );
            }
        }
        Ok(())
    }

    /// Logs the first request class in the document's placement rules that this router does not have: such a
    /// rule has no effect on this router.
    fn warn_about_unknown_class(&self, version: Version, fleet: &Fleet) {
        let placement_rules = fleet.tenants.values().flat_map(|tenant| &tenant.placement_rules);
        let mut named_classes = placement_rules.filter_map(|rule| rule.classes.as_ref()).flatten();
        if let Some(class) = named_classes.find(|class| !self.classes.contains(class)) {
            tracing::warn!(version, class, "placement rule ignored, its class is not in this router's file");
        }
    }

    /// Applies a document that this router follows from now on.
    fn apply(&self, version: Version, fleet: Arc<Fleet>) {
        // The placement rules are updated first: a request that is admitted under the new version must be
        // placed by its rules.
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

    /// Returns all grants, so that the leader can grant them to other routers immediately. Without a
    /// response, they are unavailable until they expire.
    fn leave(&mut self) {
        let quota_report = self.shared.with_quota_client(QuotaClient::release_all);
        let member_list_version = &self.member_list_version;
        let version_report =
            self.shared.with_fence(|fence, now| fence.report(now, member_list_version())).unwrap_or_default();
        match self.connection.request(&Request::Report { quota_report, version_report }) {
            Ok(_) => tracing::info!("fleet left, quota grants returned"),
            Err(error) => {
                tracing::info!(%error, "fleet left, quota grants not returned and will expire");
            }
        }
    }
}
