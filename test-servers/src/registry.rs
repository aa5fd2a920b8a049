//! A key-value registry in memory, with one or more members, that speaks etcd's JSON gateway and Consul's HTTP
//! interface, written from their published descriptions. Faults are set for each member.
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

/// How often it is checked which leases have expired.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The registry; clones are handles to the same one.
#[derive(Clone)]
pub struct Registry {
    shared: Arc<Shared>,
}

impl Registry {
    /// Starts a registry of this many members, with TLS where a configuration for it is given.
    ///
    /// # Panics
    /// The system has no free port on loopback.
    pub fn start(members: usize, tls: Option<Arc<ServerConfig>>) -> Registry {
        let shared = Arc::new(Shared::new(tls));
        for member in 0..members {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
            let address = listener.local_addr().expect("its address");
            shared.state().add_member(address);
            let shared = shared.clone();
            std::thread::spawn(move || accept(&shared, member, &listener));
        }
        let lease_checker = shared.clone();
        std::thread::spawn(move || expire_leases_in_time(&lease_checker));
        Registry { shared }
    }

    /// The members' addresses.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.shared.state().members.iter().map(|member| member.address).collect()
    }

    /// Changes a member's faults; they apply at once to what waits.
    pub fn update_faults(&self, member: usize, update: impl FnOnce(&mut Faults)) {
        update(&mut self.shared.state().members[member].faults);
        self.shared.notify();
    }

    /// Uses other certificates for connections from now on.
    pub fn set_tls(&self, tls: Arc<ServerConfig>) {
        self.shared.set_tls(tls);
    }

    /// Closes every connection to a member.
    pub fn break_connections(&self, member: usize) {
        let connections = std::mem::take(&mut self.shared.state().members[member].connections);
        connections.iter().for_each(|socket| _ = socket.shutdown(Shutdown::Both));
        self.shared.notify();
    }

    /// How many watches a member has accepted.
    pub fn watch_count(&self, member: usize) -> usize {
        self.shared.state().members[member].watch_count
    }

    /// How many reads all members have answered.
    pub fn read_count(&self) -> usize {
        self.shared.state().read_count
    }

    /// Requires a user and a password from now on; tokens given before are invalid.
    pub fn require_user(&self, name: &str, password: &str) {
        self.shared.state().require_user(name, password);
    }

    /// Sets a key; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.shared.state().contents.put(key, value.as_bytes().to_vec(), None);
        self.shared.notify();
        revision
    }

    /// Deletes a key; returns the registry's revision.
    pub fn delete(&self, key: &str) -> u64 {
        let revision = self.shared.state().contents.delete(key);
        self.shared.notify();
        revision
    }

    /// Makes several changes that every watch gets together.
    pub fn apply_together(&self, changes: impl FnOnce(&mut Contents)) {
        changes(&mut self.shared.state().contents);
        self.shared.notify();
    }

    /// Compacts the history: revisions before the present one can't be read any longer.
    pub fn compact(&self) {
        self.shared.state().contents.compact();
    }

    /// A copy of the contents.
    pub fn backup(&self) -> Contents {
        self.shared.state().contents.clone()
    }

    /// Puts a copy in place of the contents.
    pub fn restore(&self, contents: Contents) {
        self.shared.state().contents = contents;
        self.shared.notify();
    }

    /// The present keys with their values.
    pub fn entries(&self) -> BTreeMap<String, String> {
        self.shared.state().contents.texts()
    }

    /// The present revision.
    pub fn revision(&self) -> u64 {
        self.shared.state().contents.revision()
    }

    /// Sets a service's instances, as Consul's health endpoint lists them.
    pub fn set_service(&self, name: &str, instances: Value) {
        self.shared.state().set_service(name, instances);
        self.shared.notify();
    }

    /// Ends every lease at once, with its keys.
    pub fn expire_leases(&self) {
        let leases = self.shared.state().leases();
        self.shared.end_leases(&leases);
    }
}

/// Accepts a member's connections, a thread each.
fn accept(shared: &Arc<Shared>, member: usize, listener: &TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        let shared = shared.clone();
        std::thread::spawn(move || _ = connection::serve(&shared, member, socket));
    }
}

fn expire_leases_in_time(shared: &Shared) {
    loop {
        std::thread::sleep(LEASE_CHECK_INTERVAL);
        let expired = shared.state().expired_leases();
        if !expired.is_empty() {
            shared.end_leases(&expired);
        }
    }
}
