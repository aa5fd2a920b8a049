//! The registry's state: contents, members, leases, services and the user.
use super::contents::{Contents, LeaseId};
use super::faults::Faults;
use serde_json::Value;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Lease ids start above this value, because the ids of real registries are as large.
const FIRST_LEASE_ID: u64 = 7_000_000_000_000_000_000;
/// Index that Consul's health endpoint reports before a service is set.
const FIRST_SERVICE_INDEX: u64 = 1;

pub(super) struct Member {
    pub(super) address: SocketAddr,
    pub(super) faults: Faults,
    pub(super) connections: Vec<TcpStream>,
    pub(super) watch_count: usize,
}

struct Lease {
    expires_at: Instant,
    ttl: Duration,
}

struct User {
    name: String,
    password: String,
}

struct Service {
    name: String,
    instances: Value,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) contents: Contents,
    pub(super) members: Vec<Member>,
    leases: HashMap<LeaseId, Lease>,
    granted_leases: u64,
    user: Option<User>,
    /// Number of calls that set the user; tokens of earlier generations are invalid.
    token_generation: u64,
    services: Vec<Service>,
    services_revision: u64,
    pub(super) read_count: usize,
}

impl State {
    pub(super) fn add_member(&mut self, address: SocketAddr) {
        let (faults, connections) = (Faults::default(), Vec::new());
        self.members.push(Member { address, faults, connections, watch_count: 0 });
    }

    pub(super) fn require_user(&mut self, name: &str, password: &str) {
        self.user = Some(User { name: name.into(), password: password.into() });
        self.token_generation += 1;
    }

    pub(super) fn requires_user(&self) -> bool {
        self.user.is_some()
    }

    /// Whether the name and the password are those of the user.
    pub(super) fn is_user(&self, name: &Value, password: &Value) -> bool {
        self.user.as_ref().is_some_and(|user| *name == *user.name && *password == *user.password)
    }

    /// Returns the user's current token.
    pub(super) fn token(&self) -> String {
        format!("token.{}", self.token_generation)
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration) -> LeaseId {
        self.granted_leases += 1;
        let id = LeaseId(FIRST_LEASE_ID + self.granted_leases);
        self.leases.insert(id, Lease { expires_at: Instant::now() + ttl, ttl });
        id
    }

    /// Renews a lease and returns its time to live; `None` if it has ended.
    pub(super) fn renew_lease(&mut self, id: LeaseId) -> Option<Duration> {
        let lease = self.leases.get_mut(&id).filter(|lease| lease.expires_at > Instant::now())?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn has_lease(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    pub(super) fn leases(&self) -> Vec<LeaseId> {
        self.leases.keys().copied().collect()
    }

    pub(super) fn expired_leases(&self) -> Vec<LeaseId> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= Instant::now());
        expired.map(|(id, _)| *id).collect()
    }

    /// Ends leases and deletes their keys.
    pub(super) fn end_leases(&mut self, ended: &[LeaseId]) {
        self.leases.retain(|id, _| !ended.contains(id));
        self.contents.delete_leased(ended);
    }

    pub(super) fn set_service(&mut self, name: &str, instances: Value) {
        self.services_revision = self.contents.advance_revision();
        self.services.retain(|service| service.name != name);
        self.services.push(Service { name: name.into(), instances });
    }

    /// Returns the index that Consul's health endpoint reports.
    pub(super) fn services_index(&self) -> u64 {
        self.services_revision.max(FIRST_SERVICE_INDEX)
    }

    /// Returns the instances of a service; empty if the service is unknown.
    pub(super) fn service_instances(&self, name: &str) -> Vec<Value> {
        let service = self.services.iter().find(|service| service.name == name);
        service.and_then(|service| service.instances.as_array().cloned()).unwrap_or_default()
    }
}
