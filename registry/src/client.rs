//! Follows a registry and registers this router there: runs the state machines with sockets, threads and a
//! clock.
//!
//! Each client has three threads: `follow` reads and watches one registry member at a time, `endpoint_list`
//! forwards changes to the routers' endpoint list, `registration` maintains this router's entry under a
//! lease. `list_file` stores the node list on disk, and `member` selects the etcd or the Consul client.
mod consul_poll;
mod endpoint_list;
mod etcd_watch;
mod follow;
mod list_file;
mod list_state;
mod member;
mod registration;
mod router;
mod saved_list;

pub use member::{MemberClient, MemberConnector};
pub use router::Router;

use crate::Error;
use crate::fleet::{Fleet, Settings as FleetSettings, State};
use crate::machine::{Machine, Settings as MachineSettings};
use list_state::ListState;
use routing::{Clock, EndpointsHandle, RespondedEndpoints};
use saved_list::LastSave;
use settings::Limits;
use settings::operator::RegistryConfig as Settings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Limit for deletions that the state machine remembers to distinguish a repeated change from a late one.
const MAX_TOMBSTONES: usize = 100_000;
/// The window for counting disappeared nodes is the hold time (`mass_removal_delay`) divided by this.
const REMOVAL_WINDOW_DIVISOR: i64 = 6;

/// Callbacks for the configuration and the router entries in the registry.
pub trait RegistryObserver: Send + Sync {
    /// Called with the text of the configuration key, or `None` if the key does not exist.
    ///
    /// # Errors
    /// If the text is invalid; the previous configuration stays in force.
    fn on_config(&self, text: Option<&str>) -> Result<(), Box<dyn std::error::Error + Send + Sync>>;
    /// Called with all registered routers by name.
    fn on_routers(&self, known: &BTreeMap<String, Router>);
}

/// The registry client of a router process.
pub struct Client {
    settings: Settings,
    connector: MemberConnector,
    limits: Arc<Limits>,
    clock: Clock,
    endpoint_list: EndpointsHandle,
    responded: Arc<RespondedEndpoints>,
    observer: Arc<dyn RegistryObserver>,
    list: Mutex<ListState>,
    stopping: AtomicBool,
    /// The lease ID of this router's entry, while it is registered.
    lease: Mutex<Option<String>>,
    last_saved: Mutex<LastSave>,
}

impl Client {
    /// Starts the client's threads. A list saved in the configured folder is used until the registry
    /// responds.
    ///
    /// # Errors
    /// If the TLS files are unreadable or invalid, or no thread can be started.
    pub fn start(
        settings: Settings,
        limits: &Arc<Limits>,
        clock: Clock,
        endpoint_list: EndpointsHandle,
        responded: Arc<RespondedEndpoints>,
        observer: Arc<dyn RegistryObserver>,
    ) -> Result<Arc<Client>, Error> {
        let connector = MemberConnector::new(&settings, limits)?;
        let fleet = Fleet::new(fleet_settings(&settings));
        let client = Arc::new(Client {
            connector,
            limits: limits.clone(),
            clock,
            endpoint_list,
            responded,
            observer,
            list: Mutex::new(ListState::new(fleet)),
            stopping: AtomicBool::new(false),
            lease: Mutex::new(None),
            last_saved: Mutex::new(LastSave::default()),
            settings,
        });
        let mut machine = Machine::new(MachineSettings {
            restored_after: micros(client.settings.restore_detection_delay),
            max_tombstones: MAX_TOMBSTONES,
        });
        client.load_list(&mut machine);
        let follower = client.clone();
        routing::spawn_needed("registry", limits.routing_thread_stack_bytes, move || {
            follower.follow(machine);
        })
        .map_err(Error::Thread)?;
        let timer = client.clone();
        routing::spawn_needed("registry-time", limits.socket_thread_stack_bytes, move || timer.run_timer())
            .map_err(Error::Thread)?;
        Ok(client)
    }

    /// Returns the addresses of up to `max` nodes in service.
    pub fn in_service_addresses(&self, max: usize) -> Vec<SocketAddr> {
        let list = self.list();
        let in_service = list.fleet.nodes().filter(|(_, _, listed)| *listed == Some(State::InService));
        in_service.map(|(_, node, _)| node.addr).take(max).collect()
    }

    fn list(&self) -> MutexGuard<'_, ListState> {
        lock(&self.list)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Determines the kind of a registry key.
    fn classify<'a>(&self, key: &'a str) -> Key<'a> {
        let Some((kind, name)) = key.strip_prefix(&self.settings.prefix).and_then(|k| k.split_once('/'))
        else {
            return Key::Other;
        };
        match (kind, name) {
            ("nodes", name) => Key::Node(name),
            ("routers", name) => Key::Router(name),
            ("config", "mysql") => Key::Config,
            ("control", "let-go") => Key::ReleaseRetained,
            _ => Key::Other,
        }
    }
}

/// The kind of a registry key.
enum Key<'a> {
    /// The entry of the node with this name.
    Node(&'a str),
    /// The entry of the router with this name.
    Router(&'a str),
    /// The key of the configuration.
    Config,
    /// An operator's command to remove the retained nodes, whose keys were deleted.
    ReleaseRetained,
    /// A key that is ignored.
    Other,
}

fn fleet_settings(settings: &Settings) -> FleetSettings {
    FleetSettings {
        allow: settings.allowed_networks.clone(),
        deny: settings.denied_networks.clone(),
        max_fresh_age: micros(settings.max_fresh_age),
        max_usable_age: settings.max_usable_age.map(micros),
        mass_removal_share: settings.mass_removal_share,
        mass_removal_window: micros(settings.mass_removal_delay) / REMOVAL_WINDOW_DIVISOR,
        mass_removal_delay: micros(settings.mass_removal_delay),
    }
}

fn micros(duration: Duration) -> i64 {
    duration.as_micros() as i64
}

/// Locks a mutex and ignores poisoning: a panic cannot leave the data inconsistent, as each change under
/// these locks is atomic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
