//! Registers this router in the registry under a lease, and renews the lease.
use super::{Client, MemberClient, Router, lock};
use crate::{Error, RequestError};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The number of lease renewals per time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// The delay before a failed registration is retried, as a multiple of the minimum backoff.
const RETRY_BACKOFF_FACTOR: u32 = 4;

impl Client {
    /// Starts the thread that registers this router and keeps it registered until [`Client::stop`].
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn register(self: &Arc<Self>, router: Router) -> Result<(), Error> {
        let Some(name) = self.settings.registration_name.clone() else { return Ok(()) };
        let client = self.clone();
        let stack = self.limits.routing_thread_stack_bytes;
        routing::spawn_needed("registry-lease", stack, move || client.keep_registered(&name, &router))
            .map_err(Error::Thread)
    }

    fn keep_registered(&self, name: &str, router: &Router) {
        let key = format!("{}routers/{name}", self.settings.prefix);
        let value = json!(router).to_string();
        let (mut endpoint, mut last_logged) = (0, String::new());
        while !self.is_stopping() {
            let mut member = self.connector.client_for(endpoint);
            let end_reason = match self.hold_registration(&mut member, &key, value.as_bytes()) {
                Ok(()) => {
                    last_logged.clear();
                    "the lease was lost; registering anew".to_string()
                }
                Err(e) => {
                    endpoint = (endpoint + 1) % self.settings.endpoints.len();
                    e.to_string()
                }
            };
            if self.is_stopping() {
                return;
            }
            if end_reason != last_logged {
                tracing::warn!(key, reason = end_reason, "registration ended, retrying");
                last_logged = end_reason;
            }
            std::thread::sleep(self.limits.registry_backoff.min * RETRY_BACKOFF_FACTOR);
        }
    }

    /// Writes the entry under a new lease, and renews the lease until it is lost or this router stops.
    fn hold_registration(
        &self,
        member: &mut MemberClient,
        key: &str,
        value: &[u8],
    ) -> Result<(), RequestError> {
        let lease = member.grant_lease(self.settings.registration_ttl)?;
        member.put(key, value, Some(&lease))?;
        *lock(&self.lease) = Some(lease.clone());
        tracing::info!(key, "router registered");
        loop {
            std::thread::sleep(self.settings.registration_ttl / RENEWALS_PER_TTL);
            if self.is_stopping() || !member.keep_alive(&lease)? {
                return Ok(());
            }
        }
    }

    /// Stops following the registry and revokes the lease, which removes the entry at once.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let lease = lock(&self.lease).take();
        let Some(lease) = lease else { return };
        let mut members = 0..self.settings.endpoints.len();
        if members.any(|member| self.connector.client_for(member).revoke_lease(&lease).is_ok()) {
            tracing::info!("registration revoked");
        } else {
            tracing::warn!("registration not revoked by any member, it stays until its lease expires");
        }
    }
}
