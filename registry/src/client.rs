//! Follows a registry and registers this router there: the sockets, threads and clock around the state machines.
//!
//! Three threads run for each client: `follow` reads and watches one member of the registry at a time, `endpoint_list`
//! passes what changed on to the routers' endpoint list, `registration` keeps this router's entry under a lease.
//! `list_file` keeps the node list on disk, and `member` speaks the dialect that the settings name.
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
use saved_list::SavedList;
use settings::Limits;
use settings::operator::RegistryConfig as Settings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Deletions that the state machine remembers, to tell a repeated change from a late one.
const MAX_TOMBSTONES: usize = 100_000;
/// Nodes that vanish within this part of the time for which they would be held count as vanished at once.
const HOLD_TIME_PER_WINDOW: i64 = 6;

/// Is notified of what the registry holds besides the nodes.
pub trait RegistryObserver: Send + Sync {
    /// The text of the configuration key, or `None` where there is none.
    ///
    /// # Errors
    /// What is wrong with the text; the configuration from before stays in force.
    fn config(&self, text: Option<&str>) -> Result<(), Box<dyn std::error::Error + Send + Sync>>;
    /// The routers that are registered, by name.
    fn routers(&self, known: &BTreeMap<String, Router>);
}

/// Follows a registry.
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
    /// The lease of this router's entry, while it is registered.
    lease: Mutex<Option<String>>,
    last_saved: Mutex<SavedList>,
}

impl Client {
    /// Starts to follow. Where a folder is set and holds a list, that list is used until the registry answers.
    ///
    /// # Errors
    /// The files for TLS can't be used, or no thread can be started.
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
            last_saved: Mutex::new(SavedList::default()),
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

    /// Addresses of nodes in service, `max` at most.
    pub fn some_addresses(&self, max: usize) -> Vec<SocketAddr> {
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

    /// What a key of the registry stands for.
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

/// What a key of the registry stands for.
enum Key<'a> {
    /// The node of this name.
    Node(&'a str),
    /// The router of this name.
    Router(&'a str),
    /// The configuration.
    Config,
    /// An operator's command to release the nodes that are retained after they vanished.
    ReleaseRetained,
    /// Nothing that is followed.
    Other,
}

fn fleet_settings(settings: &Settings) -> FleetSettings {
    FleetSettings {
        allow: settings.allowed_networks.clone(),
        deny: settings.denied_networks.clone(),
        max_fresh_age: micros(settings.max_fresh_age),
        max_usable_age: settings.max_usable_age.map(micros),
        mass_removal_share: settings.mass_removal_share,
        mass_removal_window: micros(settings.mass_removal_delay) / HOLD_TIME_PER_WINDOW,
        mass_removal_delay: micros(settings.mass_removal_delay),
    }
}

fn micros(duration: Duration) -> i64 {
    duration.as_micros() as i64
}

/// Locks a mutex also after a thread has panicked while it held it: each change under these locks is complete in itself.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
