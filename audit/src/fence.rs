//! The router's part of the audit: a lease on the version that requests are routed under.
use crate::{Directive, VersionReport};
use decision::{Micros, Time};
use settings::fleet::Version;
use thiserror::Error;

/// Sentinel for an event that has not happened yet.
const NEVER: Time = Time(i64::MIN);

/// Why a router is fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceReason {
    /// No leader has confirmed the router's version as the current one within the lease duration.
    LeaseExpired,
    /// The leader has fenced the router out.
    FencedOut,
}

/// The error for a fenced router, which must not route any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this router is fenced: {}", explanation(*reason, *version, *epoch))]
pub struct Fenced {
    /// Version that the router held when it was fenced.
    pub version: Version,
    /// The router's epoch at that time.
    pub epoch: u64,
    /// When the router became fenced, on its own clock.
    pub since: Time,
    /// Why the router is fenced.
    pub reason: FenceReason,
}

/// Text of the error that clients receive; the operators' documentation quotes it.
fn explanation(reason: FenceReason, version: Version, epoch: u64) -> String {
    match reason {
        FenceReason::LeaseExpired => {
            format!("nobody has confirmed its version {version} for a lease's time; ask another router")
        }
        FenceReason::FencedOut => format!(
            "it is shut out under epoch {epoch} with version {version} until it has the current one; \
             ask another router"
        ),
    }
}

/// A leader's response to a report, with the time and version of that report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderResponse {
    /// When the report was sent, on the router's clock.
    pub report_sent_at: Time,
    /// Version that the report named.
    pub reported_version: Version,
    /// Version that the leader named as the current one.
    pub current_version: Version,
    /// The leader's directive to the router that reported.
    pub directive: Directive,
}

/// Decides under which version, if any, a request is routed.
///
/// A confirmation is valid for the lease duration, counted from when the report was sent. The leader counts
/// the same duration from when it responded, which is later: a router has fenced itself before the leader
/// records it as silent.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionFence {
    lease: Micros,
    version: Version,
    /// When the version was applied or the last fence was lifted.
    version_since: Time,
    /// Duration of the fence that was lifted at `version_since`; 0 if there was none.
    last_fence_duration: Micros,
    lease_expires_at: Time,
    epoch: u64,
    fenced: Option<Fenced>,
}

impl VersionFence {
    /// Creates a fence with no version and no lease. `lease` is how long a confirmation is valid, in
    /// microseconds: the leader's silence timeout minus the maximum clock difference.
    pub fn new(lease: Micros) -> VersionFence {
        VersionFence {
            lease,
            version: 0,
            version_since: NEVER,
            last_fence_duration: 0,
            lease_expires_at: NEVER,
            epoch: 0,
            fenced: None,
        }
    }

    /// Returns the version that a request is routed under at `now`.
    ///
    /// # Errors
    /// [`Fenced`] if the request must be rejected.
    pub fn check(&mut self, now: Time) -> Result<Version, Fenced> {
        if self.fenced.is_none() && now >= self.lease_expires_at {
            // A router whose version was never confirmed is fenced from now on.
            let since = if self.lease_expires_at == NEVER { now } else { self.lease_expires_at };
            self.fenced = Some(self.fence(since, FenceReason::LeaseExpired));
        }
        self.fenced.map_or(Ok(self.version), Err)
    }

    /// When the current lease expires: requests admitted under it must be sent to a server before that time.
    pub fn lease_expires_at(&self) -> Time {
        self.lease_expires_at
    }

    fn fence(&self, since: Time, reason: FenceReason) -> Fenced {
        Fenced { version: self.version, epoch: self.epoch, since, reason }
    }

    /// Sets the version that the router applied, under the current lease, if any. The version must have been
    /// read from a node of the store after the leader named it, or an earlier one, as the current one.
    pub fn version_applied(&mut self, now: Time, version: Version) {
        self.version = version;
        self.version_since = now;
        self.last_fence_duration = 0;
    }

    /// Creates the report to send at `now`.
    pub fn report(&self, now: Time, members_version: u64) -> VersionReport {
        let version_age =
            if self.version_since == NEVER { 0 } else { now.0.saturating_sub(self.version_since.0).max(0) };
        VersionReport {
            version_age,
            last_fence_duration: self.last_fence_duration,
            routing: self.fenced.is_none() && now < self.lease_expires_at,
            members_version,
            epoch: self.epoch,
        }
    }

    /// Applies the leader's response to a report. Returns whether the router's fence changed: it was set,
    /// lifted, or set for another reason.
    pub fn response_received(&mut self, now: Time, response: &LeaderResponse) -> bool {
        let before = self.fenced;
        match response.directive {
            // A response with an older epoch was sent before the leader fenced this router out.
            Directive::Continue { epoch } | Directive::Refetch { epoch } | Directive::FenceOut { epoch }
                if epoch < self.epoch =>
            {
                return false;
            }
            Directive::FenceOut { epoch } => self.fence_out(now, epoch),
            Directive::Refetch { epoch } => self.epoch = epoch,
            Directive::Continue { epoch } => {
                self.epoch = epoch;
                self.renew_lease(now, response);
            }
            Directive::AuditDisabled => {
                // Without an audit only the lease applies; a fence that an auditing leader set stays.
                if self.fenced.is_none_or(|fenced| fenced.reason == FenceReason::LeaseExpired) {
                    self.renew_lease(now, response);
                }
            }
        }
        self.fenced != before
    }

    fn fence_out(&mut self, now: Time, epoch: u64) {
        self.epoch = epoch;
        let replaces = |fenced: Fenced| fenced.reason == FenceReason::LeaseExpired || fenced.epoch < epoch;
        if self.fenced.is_none_or(replaces) {
            self.fenced = Some(self.fence(now, FenceReason::FencedOut));
        }
    }

    /// Renews the lease and lifts the fence, if the response confirms the version that the router holds.
    fn renew_lease(&mut self, now: Time, response: &LeaderResponse) {
        let expires_at = Time(response.report_sent_at.0.saturating_add(self.lease));
        let confirmed =
            response.reported_version == response.current_version && self.version == response.current_version;
        if !confirmed || now >= expires_at {
            return;
        }
        // If the lease has expired since the last check, that period counts as fenced too.
        _ = self.check(now);
        // No request was routed before the first confirmation, so there is no fenced period to report.
        let lifted_fence = if self.lease_expires_at == NEVER { None } else { self.fenced };
        self.lease_expires_at = expires_at;
        self.fenced = None;
        if let Some(fenced) = lifted_fence {
            self.version_since = now;
            self.last_fence_duration = now.0.saturating_sub(fenced.since.0).max(1);
        }
    }
}
