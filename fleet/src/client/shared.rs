//! State that is shared by requests and the exchange thread. No lock is held during I/O.
//!
//! The clock is read after the lock is acquired: a thread that had to wait for the lock must not act on an
//! outdated time.
use super::tenants::TenantDirectory;
use audit::{Fenced, VersionFence};
use crossbeam_channel::Sender;
use quotas::QuotaClient;
use routing::{Clock, Time};
use settings::fleet::Version;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

/// Requests a report before the next regular one.
pub(super) struct Wakeup;

/// The audit's version fence, and its state when it was last logged.
struct LoggedFence {
    fence: VersionFence,
    logged: Option<Result<Version, Fenced>>,
}

pub(super) struct Shared {
    quota_client: Mutex<QuotaClient>,
    /// `None` if the audit is disabled.
    fence: Option<Mutex<LoggedFence>>,
    /// `None` until the first document has been received.
    tenants: RwLock<Option<TenantDirectory>>,
    clock: Clock,
    wakeups: Sender<Wakeup>,
}

impl Shared {
    pub(super) fn new(
        quota_client: QuotaClient,
        fence: Option<VersionFence>,
        clock: Clock,
        wakeups: Sender<Wakeup>,
    ) -> Shared {
        Shared {
            quota_client: Mutex::new(quota_client),
            fence: fence.map(|fence| Mutex::new(LoggedFence { fence, logged: None })),
            tenants: RwLock::default(),
            clock,
            wakeups,
        }
    }

    /// Calls `operation` with the quota client and the current time.
    pub(super) fn with_quota_client<T>(&self, operation: impl FnOnce(&mut QuotaClient, Time) -> T) -> T {
        let mut quota_client = self.quota_client.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        operation(&mut quota_client, now)
    }

    /// Calls `operation` with the version fence and the current time. Returns `None` if the audit is
    /// disabled.
    pub(super) fn with_fence<T>(&self, operation: impl FnOnce(&mut VersionFence, Time) -> T) -> Option<T> {
        let mut locked = self.lock_fence()?;
        let now = self.clock.now();
        Some(operation(&mut locked.fence, now))
    }

    fn lock_fence(&self) -> Option<MutexGuard<'_, LoggedFence>> {
        self.fence.as_ref().map(|fence| fence.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the version in force, `None` if the audit is disabled. Logs when the router becomes fenced or
    /// a version comes into force.
    pub(super) fn check_fence(&self) -> Result<Option<Version>, Fenced> {
        let Some(mut locked) = self.lock_fence() else { return Ok(None) };
        let now = self.clock.now();
        let state = locked.fence.check(now);
        // No version is in force before the first confirmation, so being fenced is not logged as a change
        // then.
        let unchanged = locked.logged == Some(state) || (locked.logged.is_none() && state.is_err());
        if !unchanged {
            locked.logged = Some(state);
        }
        drop(locked);
        if !unchanged {
            log_fence(&state);
        }
        state.map(Some)
    }

    pub(super) fn tenants(&self) -> RwLockReadGuard<'_, Option<TenantDirectory>> {
        self.tenants.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_tenants(&self, tenants: TenantDirectory) {
        *self.tenants.write().unwrap_or_else(PoisonError::into_inner) = Some(tenants);
    }

    /// The version of the document that the router follows; `None` until the first one has been received.
    pub(super) fn followed_version(&self) -> Option<Version> {
        self.tenants().as_ref().map(|tenants| tenants.version)
    }

    /// Makes the exchange thread report before the next regular report. At most one wake-up is pending.
    pub(super) fn wake_exchange(&self) {
        _ = self.wakeups.try_send(Wakeup);
    }
}

fn log_fence(state: &Result<Version, Fenced>) {
    match state {
        Ok(version) => tracing::info!(version, fenced = false, "fleet document in force"),
        Err(fenced) => tracing::error!(
            version = fenced.version,
            fenced = true,
            epoch = fenced.epoch,
            error = %fenced,
            "fleet document not in force, all requests are rejected"
        ),
    }
}
