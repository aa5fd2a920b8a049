//! State that requests and the exchange share. No lock is held across I/O.
//!
//! Time is read under the lock that it is used with: a thread that was paused while it waited for the lock must not
//! act on the time from before.
use super::tenants::TenantDirectory;
use audit::{Fenced, VersionFence};
use crossbeam_channel::Sender;
use quotas::QuotaClient;
use routing::{Clock, Time};
use settings::fleet::Version;
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

/// Asks the exchange to report before its usual time.
pub(super) struct Wakeup;

/// The audit's fence, and its state that was logged last.
struct LoggedFence {
    fence: VersionFence,
    logged: Option<Result<Version, Fenced>>,
}

pub(super) struct Shared {
    quota_client: Mutex<QuotaClient>,
    /// `None` where the audit is off.
    fence: Option<Mutex<LoggedFence>>,
    /// `None` until the first document is known.
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

    /// Runs `act` on the quota client.
    pub(super) fn with_quota_client<T>(&self, act: impl FnOnce(&mut QuotaClient, Time) -> T) -> T {
        let mut quota_client = self.quota_client.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        act(&mut quota_client, now)
    }

    /// Runs `act` on the audit's fence; `None` where the audit is off.
    pub(super) fn with_fence<T>(&self, act: impl FnOnce(&mut VersionFence, Time) -> T) -> Option<T> {
        let mut locked = self.lock_fence()?;
        let now = self.clock.now();
        Some(act(&mut locked.fence, now))
    }

    fn lock_fence(&self) -> Option<MutexGuard<'_, LoggedFence>> {
        self.fence.as_ref().map(|fence| fence.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The version in force, `None` where the audit is off. Logs a change between in force and fenced.
    pub(super) fn check_fence(&self) -> Result<Option<Version>, Fenced> {
        let Some(mut locked) = self.lock_fence() else { return Ok(None) };
        let now = self.clock.now();
        let state = locked.fence.check(now);
        // Before the first confirmation no version was in force: being fenced is no change then.
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

    /// The version of the document that the router follows; `None` until the first one is known.
    pub(super) fn followed_version(&self) -> Option<Version> {
        self.tenants().as_ref().map(|tenants| tenants.version)
    }

    /// Makes the exchange report before its usual time. One wake-up is pending at most.
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
            "all requests are rejected"
        ),
    }
}
