//! The router's side: a lease on the version that requests are routed under.
use crate::{Directive, VersionReport};
use decision::{Micros, Time};
use settings::fleet::Version;
use thiserror::Error;

/// Time of something that has not happened yet.
const NEVER: Time = Time(i64::MIN);

/// Why a router is fenced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceReason {
    /// No leader has confirmed the router's version as the current one within a lease's time.
    LeaseExpired,
    /// The leader has fenced the router out.
    FencedOut,
}

/// The router is fenced: it must not route any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this router is fenced: {}", explanation(*reason, *version, *epoch))]
pub struct Fenced {
    /// Version that the router held when it was fenced.
    pub version: Version,
    /// The router's epoch at that time.
    pub epoch: u64,
    /// Since when.
    pub since: Time,
    /// Why.
    pub reason: FenceReason,
}

/// Clients get this text, and the operators' pages quote it.
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

/// A leader's answer to a report, with what the report said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderAnswer {
    /// When the report was sent, on the router's clock.
    pub report_sent_at: Time,
    /// Version that the report named.
    pub reported_version: Version,
    /// Version that the leader named as the current one.
    pub current_version: Version,
    /// The leader's directive.
    pub directive: Directive,
}

/// Decides under which version, if any, a request is routed.
///
/// A confirmation counts for a lease's time from before the report was sent. The leader counts the same time from when it
/// answered, which is later: a router has fenced itself before the leader records it as silent.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionFence {
    lease: Micros,
    version: Version,
    /// When the version was applied or the last fence was lifted.
    version_since: Time,
    /// Duration of the fence that was lifted then; 0 if there was none.
    last_fence_duration: Micros,
    lease_expires_at: Time,
    epoch: u64,
    fenced: Option<Fenced>,
}

impl VersionFence {
    /// A fence with no version and no lease. `lease` is how long a confirmation counts, in microseconds: the leader's
    /// time less what the clocks may differ by.
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

    /// The version that a request at this time is routed under.
    ///
    /// # Errors
    /// [`Fenced`] if the request must be rejected.
    pub fn check(&mut self, now: Time) -> Result<Version, Fenced> {
        if self.fenced.is_none() && now >= self.lease_expires_at {
            // A router that has never been confirmed is fenced from now on.
            let since = if self.lease_expires_at == NEVER { now } else { self.lease_expires_at };
            self.fenced = Some(self.fence(since, FenceReason::LeaseExpired));
        }
        self.fenced.map_or(Ok(self.version), Err)
    }

    /// When the present lease expires: requests admitted under it must have been sent by then.
    pub fn lease_expires_at(&self) -> Time {
        self.lease_expires_at
    }

    fn fence(&self, since: Time, reason: FenceReason) -> Fenced {
        Fenced { version: self.version, epoch: self.epoch, since, reason }
    }

    /// The router holds this version from now on, under the present lease, if any. The version must have been read from
    /// a node of the store after the leader named it, or an earlier one, as the current one.
    pub fn version_applied(&mut self, now: Time, version: Version) {
        self.version = version;
        self.version_since = now;
        self.last_fence_duration = 0;
    }

    /// The report to send at this time.
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

    /// Applies the leader's answer to a report. Returns whether the router has become fenced, or is so no longer, or is so
    /// for another reason.
    pub fn answer_received(&mut self, now: Time, answer: &LeaderAnswer) -> bool {
        let before = self.fenced;
        match answer.directive {
            // An answer under an older epoch was sent before the leader fenced this router out.
            Directive::Continue { epoch } | Directive::Refetch { epoch } | Directive::FenceOut { epoch }
                if epoch < self.epoch =>
            {
                return false;
            }
            Directive::FenceOut { epoch } => self.fence_out(now, epoch),
            Directive::Refetch { epoch } => self.epoch = epoch,
            Directive::Continue { epoch } => {
                self.epoch = epoch;
                self.renew_lease(now, answer);
            }
            Directive::AuditDisabled => {
                // Without a tracker only the lease counts; a fence that a tracker set stays.
                if self.fenced.is_none_or(|fenced| fenced.reason == FenceReason::LeaseExpired) {
                    self.renew_lease(now, answer);
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

    /// Renews the lease and lifts the fence, if the answer confirms the version that the router holds.
    fn renew_lease(&mut self, now: Time, answer: &LeaderAnswer) {
        let expires_at = Time(answer.report_sent_at.0.saturating_add(self.lease));
        let confirmed =
            answer.reported_version == answer.current_version && self.version == answer.current_version;
        if !confirmed || now >= expires_at {
            return;
        }
        // A lease that has expired unnoticed is a fence too.
        _ = self.check(now);
        // Before the first confirmation nothing was served that a fence could have interrupted.
        let lifted = if self.lease_expires_at == NEVER { None } else { self.fenced };
        self.lease_expires_at = expires_at;
        self.fenced = None;
        if let Some(fenced) = lifted {
            self.version_since = now;
            self.last_fence_duration = now.0.saturating_sub(fenced.since.0).max(1);
        }
    }
}
