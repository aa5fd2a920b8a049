//! The thread that reports to the leader and applies its answers.
use super::connection::{Connection, ExchangeError, ReceivedDocument};
use super::shared::{Shared, Wakeup};
use super::tenants::TenantDirectory;
use crate::wire::{Request, Response};
use crossbeam_channel::{Receiver, Sender, select};
use placement::News;
use quotas::QuotaClient;
use routing::Time;
use settings::fleet::{Fleet, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The usual time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest pause after all nodes have failed; each pause is drawn between half of it and all of it.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Reports of one round: the second one follows the version that the answer to the first has named.
const REPORTS_PER_ROUND: usize = 2;

/// Asks the exchange to return all grants and to end.
pub(super) struct LeaveRequest {
    /// Gets a message once that has been tried.
    pub(super) done: Sender<()>,
}

pub(super) struct Settings {
    /// Where the store's nodes answer reports.
    pub(super) nodes: Vec<SocketAddr>,
    /// How long a confirmation of the rules holds, in microseconds from before the report was sent.
    pub(super) lease_us: i64,
    /// The names of the request classes.
    pub(super) classes: Vec<String>,
    /// Seeds the draws of pauses.
    pub(super) seed: u64,
}

/// Whether a leader answers, as it was logged last.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LeaderContact {
    NeverTried,
    Reached,
    Lost,
}

/// What an answered report says.
struct Confirmation {
    /// When the report was made: a lease counts from here.
    reported_at: Time,
    /// The version that is current at the leader.
    current: Version,
}

pub(super) struct Exchange {
    shared: Arc<Shared>,
    connection: Connection,
    on_placement_news: Box<dyn Fn(News) + Send>,
    member_list_version: Box<dyn Fn() -> u64 + Send>,
    lease_us: i64,
    classes: Vec<String>,
    contact: LeaderContact,
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
        on_placement_news: Box<dyn Fn(News) + Send>,
        member_list_version: Box<dyn Fn() -> u64 + Send>,
    ) -> Exchange {
        Exchange {
            shared,
            connection: Connection::new(settings.nodes),
            on_placement_news,
            member_list_version,
            lease_us: settings.lease_us,
            classes: settings.classes,
            contact: LeaderContact::NeverTried,
            stale_store_version: 0,
            unreadable_version: 0,
            random: fastrand::Rng::with_seed(settings.seed),
        }
    }

    /// Reports until a leave request comes or all clients of the fleet are dropped.
    pub(super) fn run(mut self, wakeups: &Receiver<Wakeup>, leave_requests: &Receiver<LeaveRequest>) {
        let mut last = Instant::now();
        let mut due = last;
        loop {
            select! {
                recv(leave_requests) -> request => {
                    self.leave();
                    _ = request.map(|request| request.done.try_send(()));
                    return;
                }
                recv(wakeups) -> _ => {
                    std::thread::sleep((last + MIN_REPORT_INTERVAL).saturating_duration_since(Instant::now()));
                }
                default(due.saturating_duration_since(Instant::now())) => {}
            }
            last = Instant::now();
            due = last + REPORT_INTERVAL;
            if !self.round() {
                due = Instant::now() + self.draw_backoff();
            }
        }
    }

    fn draw_backoff(&mut self) -> Duration {
        let longest_us = MAX_BACKOFF.as_micros() as u64;
        Duration::from_micros(self.random.u64(longest_us / 2..=longest_us))
    }

    /// Tries the nodes in turn, first the one that answered last. Returns whether one answered.
    fn round(&mut self) -> bool {
        let mut last_failure = String::new();
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
        // The lease may be over by now, whether or not a request asks.
        _ = self.shared.check_fence();
        self.log_lost(&last_failure);
        false
    }

    fn log_reached(&mut self, node: SocketAddr) {
        if std::mem::replace(&mut self.contact, LeaderContact::Reached) != LeaderContact::Reached {
            tracing::info!(%node, "leader answers fleet reports");
        }
    }

    fn log_lost(&mut self, last_failure: &str) {
        if std::mem::replace(&mut self.contact, LeaderContact::Lost) != LeaderContact::Lost {
            tracing::warn!(
                error = last_failure,
                "no leader answers fleet reports, quota grants expire; check that a majority of the store runs"
            );
        }
    }

    /// Reports to the node in use, and follows the version that its answer names.
    fn report_and_follow(&mut self) -> Result<(), ExchangeError> {
        for _ in 0..REPORTS_PER_ROUND {
            let Confirmation { reported_at, current } = self.report()?;
            match self.shared.followed_version() {
                Some(followed) if followed == current => {
                    let until = Time(reported_at.0.saturating_add(self.lease_us));
                    (self.on_placement_news)(News::Confirmed { until });
                    return Ok(());
                }
                Some(followed) if followed > current => {
                    self.log_stale_store(current, followed);
                    return Ok(());
                }
                _ if current > 0 && current == self.unreadable_version => return Ok(()),
                _ => self.follow()?,
            }
        }
        Ok(())
    }

    fn log_stale_store(&mut self, version: Version, followed: Version) {
        if std::mem::replace(&mut self.stale_store_version, version) != version {
            tracing::error!(
                version,
                followed,
                "the store is behind the fleet document that this router follows, it was set up anew; restart the \
                 router to follow it"
            );
        }
    }

    /// One report and its answer.
    fn report(&mut self) -> Result<Confirmation, ExchangeError> {
        // Connected first, so that a lease does not count the time that this takes.
        self.connection.open()?;
        let (reported_at, quota_report) =
            self.shared.with_quota_client(|quotas, now| (now, quotas.report(now)));
        let (seq, incarnation, reported) = (quota_report.seq, quota_report.incarnation, quota_report.version);
        let members = &self.member_list_version;
        let version_report =
            self.shared.with_fence(|fence, _| fence.report(reported_at, members())).unwrap_or_default();
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
        self.apply_directive(reported_at, reported, current, directive);
        Ok(Confirmation { reported_at, current })
    }

    /// Applies what the leader's audit demands of this router.
    fn apply_directive(
        &mut self,
        reported_at: Time,
        reported: Version,
        current: Version,
        directive: audit::Directive,
    ) {
        let answer = audit::LeaderAnswer {
            report_sent_at: reported_at,
            reported_version: reported,
            current_version: current,
            directive,
        };
        let changed = self.shared.with_fence(|fence, now| fence.answer_received(now, &answer));
        if changed.is_none() {
            return;
        }
        if matches!(directive, audit::Directive::Refetch { .. }) {
            // Even a version that could not be read: it may have been damaged in transit.
            self.unreadable_version = 0;
            tracing::warn!(
                version = reported,
                current,
                "the leader asks to fetch the fleet document again, this router lags; check the log lines before"
            );
        }
        _ = self.shared.check_fence();
    }

    /// Fetches the document and applies it where it is newer than the one followed.
    fn follow(&mut self) -> Result<(), ExchangeError> {
        let ReceivedDocument { version, bytes } = self.connection.fetch_document()?;
        if self.shared.followed_version().is_some_and(|followed| followed >= version) {
            return Ok(());
        }
        let text = String::from_utf8(bytes).map_err(|_| ExchangeError::UnexpectedResponse)?;
        let fleet = match settings::fleet::read(&text, None) {
            // Without a document there are no tenants, and nothing is limited.
            _ if version == 0 => Fleet::default(),
            Ok(fleet) => fleet,
            Err(error) => {
                self.unreadable_version = version;
                tracing::error!(
                    version,
                    %error,
                    "fleet document unreadable, quota grants expire; update this router"
                );
                return Ok(());
            }
        };
        self.warn_of_unknown_class(version, &fleet);
        self.apply(version, Arc::new(fleet));
        Ok(())
    }

    fn warn_of_unknown_class(&self, version: Version, fleet: &Fleet) {
        let rules = fleet.tenants.values().flat_map(|tenant| &tenant.places);
        let mut named = rules.filter_map(|rule| rule.classes.as_ref()).flatten();
        if let Some(class) = named.find(|class| !self.classes.contains(class)) {
            tracing::warn!(
                version,
                class,
                "a placement rule names a class that this router's file does not have"
            );
        }
    }

    fn apply(&self, version: Version, fleet: Arc<Fleet>) {
        // Rules before anything else: what is admitted by the new version must be bound by it.
        (self.on_placement_news)(News::Rules { version, fleet: fleet.clone() });
        if version > 0 {
            self.shared.with_quota_client(|quotas, now| quotas.apply_config(now, version, &fleet));
        }
        self.shared.with_fence(|fence, now| fence.version_applied(now, version));
        let directory = TenantDirectory::new(version, &fleet);
        let tenants = directory.count();
        self.shared.set_tenants(directory);
        tracing::info!(version, tenants, "fleet document followed");
    }

    /// Returns all grants. The answer says that the node has them; without it, they expire before others get them.
    fn leave(&mut self) {
        let quota_report = self.shared.with_quota_client(QuotaClient::release_all);
        let members = &self.member_list_version;
        let version_report =
            self.shared.with_fence(|fence, now| fence.report(now, members())).unwrap_or_default();
        match self.connection.request(&Request::Report { quota_report, version_report }) {
            Ok(_) => tracing::info!("left the fleet, quota grants returned"),
            Err(error) => {
                tracing::info!(%error, "left the fleet, quota grants not returned and left to expire");
            }
        }
    }
}
