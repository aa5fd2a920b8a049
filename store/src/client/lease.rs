//! Leases from the holder's point of view.
use super::connection::MIN_BACKOFF;
use super::{Client, ClientError, Settings};
use crate::command::{CommandEffect, FencingToken, Operation};
use crate::rejection::Rejection;
use crate::threads::spawn;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The assumed maximum drift between the monotonic clocks of two processes, as a share of the elapsed time.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Number of renewals that a keeper attempts per time to live of the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The name and epoch of the lease, which fenced writes carry.
    pub token: FencingToken,
    /// The time to live after the grant and each renewal.
    pub ttl: Duration,
    /// The holder must not rely on the lease from this time on.
    pub valid_until: Instant,
}

impl Lease {
    /// Whether the holder may rely on the lease at this time.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// The end of a lease that was granted or renewed at `not_before` or later. The store starts its countdown no
/// earlier than that, however long the messages were in flight.
fn valid_until(not_before: Instant, ttl: Duration) -> Instant {
    not_before + ttl.mul_f64(1.0 - MAX_CLOCK_DRIFT)
}

impl Client {
    /// Requests the lease of a free name. The lease may already have expired when this returns.
    ///
    /// # Errors
    /// [`Rejection::LeaseHeld`] if another client holds the name; otherwise same as [`Client::put`].
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
    /// [`Rejection::Fenced`] and [`Rejection::LeaseEnded`] if the lease is lost; otherwise same as
    /// [`Client::put`].
    pub fn renew(&self, lease: &mut Lease) -> Result<(), ClientError> {
        let written = self.session().write(&Operation::Renew(lease.token.clone()))?;
        lease.valid_until = valid_until(written.not_before, lease.ttl);
        Ok(())
    }

    /// Ends a lease and removes the keys attached to it.
    ///
    /// # Errors
    /// Same as [`Client::renew`].
    pub fn revoke(&self, lease: &Lease) -> Result<(), ClientError> {
        self.session().write(&Operation::Revoke(lease.token.clone())).map(|_| ())
    }

    /// Renews a lease periodically, over a separate connection, until the keeper is dropped or the lease is
    /// lost.
    ///
    /// # Errors
    /// [`ClientError::SpawnThread`] if the thread for the renewals cannot be started.
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

/// Keeps a lease alive by periodic renewals. When it is dropped, the renewals stop and the lease expires.
pub struct LeaseKeeper {
    lease: Arc<Mutex<Lease>>,
    _stop: Sender<()>,
}

impl LeaseKeeper {
    /// The lease as of its last renewal.
    pub fn lease(&self) -> Lease {
        lock(&self.lease).clone()
    }

    /// Whether the holder may rely on the lease at the current time.
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
                // The lease may still be held, because the store may count it down for longer than this
                // process does. Renewals continue until the store rejects one.
                Err(error) => {
                    let name = &self.lease.token.name;
                    tracing::debug!(lease = %name, %error, "store lease not renewed");
                    pause = MIN_BACKOFF;
                }
            }
        }
    }
}
