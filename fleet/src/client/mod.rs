//! The router's part of the fleet.
//!
//! A thread reports every 200 ms to the store's leader, applies its response and updates the fleet document
//! (`exchange`). Requests never wait for this thread: they are admitted or rejected using state behind locks
//! that are never held during I/O (`shared`).
mod connection;
mod exchange;
mod shared;
pub mod tenants;

use audit::{Fenced, VersionFence};
use crossbeam_channel::{Sender, bounded};
use exchange::{Exchange, LeaveRequest};
use placement::RulesUpdate;
use quotas::{Admission, QuotaClient, QuotaClientSettings};
use routing::{Clock, Time};
use settings::fleet::{FleetMemberConfig, Version};
use shared::Shared;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

const STACK_BYTES: usize = 1 << 20;
/// The retry-after time that clients get while the router has not received the fleet document.
const RETRY_AFTER_START: Duration = Duration::from_millis(400);
/// How long after the end of the audit's lease a request that was admitted under it may still be sent to a
/// server, in microseconds.
const GRACE_AFTER_LEASE_US: i64 = 200_000;
/// How long [`FleetClient::leave`] waits for the exchange thread.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request is rejected. No part of it has been executed.
#[derive(Clone, Debug, Error)]
pub enum AdmissionError {
    /// The tenant has exceeded its quota at this router.
    #[error("quota of tenant '{tenant}'; come back in {} ms", retry_after.as_millis())]
    QuotaExceeded {
        /// The name of the tenant whose quota is exceeded.
        tenant: Arc<str>,
        /// The time after which a token is likely to be available.
        retry_after: Duration,
    },
    /// The router's version of the fleet document is not in force, so no request may be routed.
    #[error(transparent)]
    Fenced(#[from] Fenced),
    /// The router has just started and has not received the fleet document yet.
    #[error(
        "this router has not heard from the fleet's store yet; come back in {} ms",
        retry_after.as_millis()
    )]
    NotConfigured {
        /// The time after which the document is likely to be available.
        retry_after: Duration,
    },
}

/// Settings of a router's fleet membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The operator's `[fleet]` table.
    pub member: FleetMemberConfig,
    /// The incarnation of the router, which increases with each start.
    pub incarnation: u64,
    /// The names of the router's request classes, for a warning about placement rules for unknown classes.
    pub classes: Vec<String>,
    /// Constants of the quota state machines, which must be the same on all routers and nodes.
    pub quotas: quotas::Settings,
    /// Seed for the random jitter of the pauses between reports.
    pub seed: u64,
}

/// A router's membership in its fleet: resolves tenants and admits requests. Clones share their state.
#[derive(Clone)]
pub struct FleetClient {
    shared: Arc<Shared>,
    leave: Sender<LeaveRequest>,
}

impl FleetClient {
    /// Starts the thread that reports to the leader.
    ///
    /// `on_rules_update` is called with the placement rules of each version and with each confirmation that
    /// they are current, on the exchange thread. `member_list_version` returns the version of the router's
    /// member list, for the audit.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(
        settings: Settings,
        clock: Clock,
        on_rules_update: impl Fn(RulesUpdate) + Send + 'static,
        member_list_version: impl Fn() -> u64 + Send + 'static,
    ) -> io::Result<FleetClient> {
        let member = settings.member;
        let quota_client = QuotaClient::new(QuotaClientSettings {
            router: member.name,
            incarnation: settings.incarnation,
            slot: member.slot,
            settings: settings.quotas.clone(),
            seed: settings.seed,
        });
        // The leader counts down the full lease. The router's lease is shorter by the maximum drift between
        // the two clocks.
        let lease_us = (settings.quotas.ttl as f64 * (1.0 - settings.quotas.max_clock_drift)) as i64;
        let fence = member.audit.map(|_| VersionFence::new(lease_us));
        let (wakeup_sender, wakeups) = bounded(1);
        let (leave, leave_requests) = bounded(1);
        let shared = Arc::new(Shared::new(quota_client, fence, clock, wakeup_sender));
        let exchange = Exchange::new(
            shared.clone(),
            exchange::Settings {
                nodes: member.allocator_addresses,
                lease_us,
                classes: settings.classes,
                seed: settings.seed,
            },
            Box::new(on_rules_update),
            Box::new(member_list_version),
        );
        routing::spawn_needed("fleet", STACK_BYTES, move || exchange.run(&wakeups, &leave_requests))?;
        Ok(FleetClient { shared, leave })
    }

    /// Resolves the tenant of a request by the database user `user` that names the tenant `named`. Returns
    /// `None` if the fleet has no tenants. Does not take a token of the tenant's quota.
    ///
    /// # Errors
    /// [`AdmissionError::NotConfigured`] and [`AdmissionError::Fenced`] if the request must not be sent to
    /// any server.
    pub fn resolve_tenant(
        &self,
        user: &str,
        named: Option<&str>,
    ) -> Result<Option<Arc<str>>, AdmissionError> {
        self.resolve(user, named).map(|resolved| resolved.tenant)
    }

    fn resolve(&self, user: &str, named: Option<&str>) -> Result<ResolvedTenant, AdmissionError> {
        let tenants = self.shared.tenants();
        let Some(tenants) = &*tenants else {
            return Err(AdmissionError::NotConfigured { retry_after: RETRY_AFTER_START });
        };
        let tenant = tenants.resolve(user, named).cloned();
        Ok(ResolvedTenant { tenant, version_in_force: self.shared.check_fence()? })
    }

    /// The time by which a request that is admitted now must have been sent to a server: the request's
    /// deadline or, if the audit is enabled and this is earlier, shortly after the end of the lease under
    /// which the request is admitted.
    pub fn dispatch_deadline(&self, deadline: Time) -> Time {
        let lease_end = self.shared.with_fence(|fence, _| fence.lease_expires_at());
        lease_end.map_or(deadline, |end| deadline.min(Time(end.0.saturating_add(GRACE_AFTER_LEASE_US))))
    }

    /// Admits a request by the database user `user` that names the tenant `named`, and takes one token of its
    /// tenant's quota. Returns the tenant, `None` if the fleet has no tenants.
    ///
    /// # Errors
    /// [`AdmissionError`] if the request must not be sent to any server.
    pub fn admit(&self, user: &str, named: Option<&str>) -> Result<Option<Arc<str>>, AdmissionError> {
        let resolved = self.resolve(user, named)?;
        let Some(tenant) = resolved.tenant else { return Ok(None) };
        let (admission, report_early) = self
            .shared
            .with_quota_client(|quotas, now| (quotas.admit(now, &tenant), quotas.wants_early_report()));
        if report_early {
            self.shared.wake_exchange();
        }
        match admission {
            Admission::Admitted => {
                tracing::trace!(version = resolved.version_in_force, %tenant, "request admitted");
                Ok(Some(tenant))
            }
            Admission::Shed { retry_after } => {
                let retry_after = Duration::from_micros(retry_after.max(0) as u64);
                Err(AdmissionError::QuotaExceeded { tenant, retry_after })
            }
        }
    }

    /// Leaves the fleet and returns all quota grants. Must be called after the last request. Waits for the
    /// exchange thread for at most one second; grants that are not returned expire.
    pub fn leave(&self) {
        let (done, left_fleet) = bounded(1);
        if self.leave.try_send(LeaveRequest { done }).is_ok() {
            _ = left_fleet.recv_timeout(LEAVE_TIMEOUT);
        }
    }
}

/// A request's tenant, and the version under which the request is routed.
struct ResolvedTenant {
    /// `None` if the fleet has no tenants.
    tenant: Option<Arc<str>>,
    /// `None` if the audit is disabled.
    version_in_force: Option<Version>,
}
