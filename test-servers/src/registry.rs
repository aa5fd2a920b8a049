//! An in-memory key-value registry with one or more members. It implements etcd's JSON gateway and Consul's
//! HTTP interface according to their published descriptions. Faults are set for each member separately.
mod connection;
mod consul;
mod contents;
mod etcd;
mod etcd_json;
mod etcd_watch;
mod faults;
mod http;
mod shared;
mod state;

pub use contents::{Contents, LeaseId};
pub use faults::Faults;

use rustls::ServerConfig;
use serde_json::Value;
use shared::Shared;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// How often leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A registry. Clones are handles to the same registry.
#[derive(Clone)]
pub struct Registry {
    shared: Arc<Shared>,
}

impl Registry {
    /// Starts a registry with the given number of members; it uses TLS if a configuration is given.
    ///
    /// # Panics
    /// Panics if the system has no free port on loopback.
    pub fn start(members: usize, tls: Option<Arc<ServerConfig>>) -> Registry {
        let shared = Arc::new(Shared::new(tls));
        for member in 0..members {
            let listener = TcpListener::bind("127.0.0.1:0").expect("no free port on loopback");
            let address = listener.local_addr().expect("listener has no local address");
            shared.state().add_member(address);
            let shared = shared.clone();
            std::thread::spawn(move || accept(&shared, member, &listener));
        }
        let expiry_handle = shared.clone();
        std::thread::spawn(move || expire_leases_periodically(&expiry_handle));
        Registry { shared }
    }

    /// Returns the members' addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.shared.state().members.iter().map(|member| member.address).collect()
    }

    /// Updates a member's faults; they also apply to requests that are waiting.
    pub fn update_faults(&self, member: usize, update: impl FnOnce(&mut Faults)) {
        update(&mut self.shared.state().members[member].faults);
        self.shared.notify();
    }

    /// Replaces the TLS configuration of new connections.
    pub fn set_tls(&self, tls: Arc<ServerConfig>) {
        self.shared.set_tls(tls);
    }

    /// Closes all connections to a member.
    pub fn break_connections(&self, member: usize) {
        let connections = std::mem::take(&mut self.shared.state().members[member].connections);
        connections.iter().for_each(|socket| _ = socket.shutdown(Shutdown::Both));
        self.shared.notify();
    }

    /// Returns the number of watches that a member has accepted.
    pub fn watch_count(&self, member: usize) -> usize {
        self.shared.state().members[member].watch_count
    }

    /// Returns the number of reads that all members have received.
    pub fn read_count(&self) -> usize {
        self.shared.state().read_count
    }

    /// Requires a user name and password from now on, and invalidates all earlier tokens.
    pub fn require_user(&self, name: &str, password: &str) {
        self.shared.state().require_user(name, password);
    }

    /// Sets a key and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.shared.state().contents.put(key, value.as_bytes().to_vec(), None);
        self.shared.notify();
        revision
    }

    /// Deletes a key and returns the registry's revision.
    pub fn delete(&self, key: &str) -> u64 {
        let revision = self.shared.state().contents.delete(key);
        self.shared.notify();
        revision
    }

    /// Makes several changes that each watch gets in one message.
    pub fn apply_together(&self, changes: impl FnOnce(&mut Contents)) {
        changes(&mut self.shared.state().contents);
        self.shared.notify();
    }

    /// Compacts the history: revisions before the current one can no longer be read.
    pub fn compact(&self) {
        self.shared.state().contents.compact();
    }

    /// Returns a copy of the test registry's contents.
    pub fn backup(&self) -> Contents {
        self.shared.state().contents.clone()
    }

    /// Replaces the test registry's contents with these, and notifies its watches.
    pub fn restore(&self, contents: Contents) {
        self.shared.state().contents = contents;
        self.shared.notify();
    }

    /// Returns the current keys with their values.
    pub fn entries(&self) -> BTreeMap<String, String> {
        self.shared.state().contents.text_values()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.shared.state().contents.revision()
    }

    /// Sets the instances of a service, in the form in which Consul's health endpoint lists them.
    pub fn set_service(&self, name: &str, instances: Value) {
        self.shared.state().set_service(name, instances);
        self.shared.notify();
    }

    /// Ends all leases immediately and deletes their keys.
    pub fn expire_leases(&self) {
        let leases = self.shared.state().leases();
        self.shared.end_leases(&leases);
    }
}

/// Accepts a member's connections and starts a thread for each.
fn accept(shared: &Arc<Shared>, member: usize, listener: &TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        let shared = shared.clone();
        std::thread::spawn(move || _ = connection::serve(&shared, member, socket));
    }
}

fn expire_leases_periodically(shared: &Shared) {
    loop {
        std::thread::sleep(LEASE_CHECK_INTERVAL);
        let expired = shared.state().expired_leases();
        if !expired.is_empty() {
            shared.end_leases(&expired);
        }
    }
}
