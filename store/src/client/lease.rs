//! Leases, as their holders may rely on them.
use super::connection::MIN_BACKOFF;
use super::{Client, ClientError, Settings};
use crate::command::{CommandEffect, FencingToken, Operation};
use crate::rejection::Rejection;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The share by which the monotonic clocks of two processes may drift apart.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// A keeper renews its lease this often in its time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its name and epoch: writes carry it.
    pub token: FencingToken,
    /// How long it lives from each renewal on.
    pub ttl: Duration,
    /// It must not be relied on from this time on.
    pub valid_until: Instant,
}

impl Lease {
    /// Whether it may be relied on at this time.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// When a lease ends that was not granted or renewed before a time: whatever the messages took, the store counts from
/// later on.
fn valid_until(not_before: Instant, ttl: Duration) -> Instant {
    not_before + ttl.mul_f64(1.0 - MAX_CLOCK_DRIFT)
}

impl Client {
    /// Takes the lease of a name that nobody holds. It may have ended again by the time that this returns.
    ///
    /// # Errors
    /// [`Rejection::LeaseHeld`] where another holds it; otherwise as for [`Client::put`].
    pub fn grant(&self, name: &str, ttl: Duration) -> Result<Lease, ClientError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let written = self.session().write(&Operation::Grant { name: name.into(), ttl_ms })?;
        let CommandEffect::Granted { epoch } = written.effect else {
            return Err(ClientError::UnexpectedResponse);
        };
        let token = FencingToken { name: name.into(), epoch };
        Ok(Lease { token, ttl, valid_until: valid_until(written.not_before, ttl) })
    }

    /// Restarts the time to live of a lease.
    ///
    /// # Errors
    /// [`Rejection::Fenced`] and [`Rejection::LeaseEnded`] where it is lost; otherwise as for [`Client::put`].
    pub fn renew(&self, lease: &mut Lease) -> Result<(), ClientError> {
        let written = self.session().write(&Operation::Renew(lease.token.clone()))?;
        lease.valid_until = valid_until(written.not_before, lease.ttl);
        Ok(())
    }

    /// Ends a lease, and removes the keys attached to it.
    ///
    /// # Errors
    /// As for [`Client::renew`].
    pub fn revoke(&self, lease: &Lease) -> Result<(), ClientError> {
        self.session().write(&Operation::Revoke(lease.token.clone())).map(|_| ())
    }

    /// Renews a lease, over a connection of its own, until the keeper is dropped or the lease is lost.
    ///
    /// # Errors
    /// [`ClientError::SpawnThread`].
    pub fn keep_alive(&self, lease: Lease) -> Result<LeaseKeeper, ClientError> {
        let interval = lease.ttl / RENEWALS_PER_TTL;
        let settings = Settings {
            call_timeout: interval,
            attempt_timeout: self.settings.attempt_timeout.min(interval),
            ..self.settings.clone()
        };
        let shared = Arc::new(Mutex::new(lease.clone()));
        let (stop, stopped) = bounded::<()>(0);
        let renewer = Renewer { client: Client::new(settings), lease, shared: shared.clone() };
        spawn("lease", move || renewer.run(&stopped))?;
        Ok(LeaseKeeper { lease: shared, _stop: stop })
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps a lease alive. Dropping it stops the renewals, and the lease runs out.
pub struct LeaseKeeper {
    lease: Arc<Mutex<Lease>>,
    _stop: Sender<()>,
}

impl LeaseKeeper {
    /// The lease as it was renewed last.
    pub fn lease(&self) -> Lease {
        lock(&self.lease).clone()
    }

    /// Whether it may be relied on now.
    pub fn is_valid(&self) -> bool {
        self.lease().is_valid(Instant::now())
    }
}

struct Renewer {
    client: Client,
    lease: Lease,
    shared: Arc<Mutex<Lease>>,
}

impl Renewer {
    fn run(mut self, stopped: &Receiver<()>) {
        let interval = self.lease.ttl / RENEWALS_PER_TTL;
        let mut pause = interval;
        while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(pause) {
            pause = interval;
            match self.client.renew(&mut self.lease) {
                Ok(()) => lock(&self.shared).valid_until = self.lease.valid_until,
                Err(ClientError::Rejected(
                    rejection @ (Rejection::Fenced { .. } | Rejection::LeaseEnded { .. }),
                )) => {
                    let name = &self.lease.token.name;
                    tracing::warn!(lease = %name, reason = %rejection, "store lease lost");
                    lock(&self.shared).valid_until = Instant::now();
                    return;
                }
                // It may still be held: renewals go on until the store says otherwise, for the store may count for
                // longer than this process does.
                Err(error) => {
                    let name = &self.lease.token.name;
                    tracing::debug!(lease = %name, %error, "store lease not renewed");
                    pause = MIN_BACKOFF;
                }
            }
        }
    }
}
