//! The configuration of a running router: the operator's file and an overlay from a registry.
use crate::commands::Error;
use mysql_wire::front::Front;
use registry::client::{RegistryObserver, Router};
use sessions::node::Sessions;
use settings::operator::{OperatorConfig, Reload};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The configuration of a running router and the components to which changes are applied. Changes are
/// triggered by SIGHUP ([`LiveConfiguration::reload`]) and by the registry, which this type observes.
pub(super) struct LiveConfiguration {
    path: PathBuf,
    /// The configuration at the start; some keys can only be changed by a restart.
    operator: OperatorConfig,
    front: Arc<Front>,
    sessions: Arc<Sessions>,
    store: store::Store,
    registry_values: Mutex<RegistryValues>,
}

/// The latest values from the registry.
#[derive(Default)]
struct RegistryValues {
    /// The overlay with users, rules and the default group, as TOML.
    overlay: Option<String>,
    /// The registered addresses of instances that share sessions, by instance. Only the file determines which
    /// instances are peers: one that is not registered yet, or no longer, may still acknowledge writes to its
    /// clients.
    session_peers: BTreeMap<u64, SocketAddr>,
}

impl LiveConfiguration {
    /// Creates the configuration from the file at `path`, which was parsed into `operator` at the start.
    pub(super) fn new(
        path: &Path,
        operator: OperatorConfig,
        front: Arc<Front>,
        sessions: Arc<Sessions>,
        store: store::Store,
    ) -> LiveConfiguration {
        let registry_values = Mutex::default();
        LiveConfiguration { path: path.to_path_buf(), operator, front, sessions, store, registry_values }
    }

    /// Reloads the file and applies it. Returns the changed keys that require a restart.
    pub(super) fn reload(&self) -> Result<Vec<String>, Error> {
        let registry_values = self.lock_registry_values();
        let reload = self.read(registry_values.overlay.as_deref())?;
        Ok(self.apply(reload, &registry_values))
    }

    fn lock_registry_values(&self) -> MutexGuard<'_, RegistryValues> {
        self.registry_values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the file and replaces some of its keys with those of the registry's overlay.
    fn read(&self, overlay: Option<&str>) -> Result<Reload, Error> {
        let text = crate::commands::read_file(&self.path)?;
        settings::operator::reload(&text, overlay, &self.operator)
            .map_err(|source| Error::Settings { path: self.path.clone(), source })
    }

    /// Applies a reload to the front end and to sessions. Returns the changed keys that require a restart.
    fn apply(&self, reload: Reload, registry_values: &RegistryValues) -> Vec<String> {
        self.front.reload(reload.mysql);
        if let Some(mut peers) = reload.session_peers {
            for (instance, address) in &mut peers {
                if let Some(current) = registry_values.session_peers.get(instance) {
                    *address = *current;
                }
            }
            self.sessions.set_peers(peers);
        }
        reload.keys_needing_restart
    }
}

impl RegistryObserver for LiveConfiguration {
    fn on_config(&self, text: Option<&str>) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let mut registry_values = self.lock_registry_values();
        let reload = self.read(text)?;
        registry_values.overlay = text.map(str::to_string);
        self.apply(reload, &registry_values);
        Ok(())
    }

    fn on_routers(&self, known: &BTreeMap<String, Router>) {
        for (node, address) in known.values().filter_map(|router| router.store) {
            self.store.set_peer_address(node, address);
        }
        let Some(own) = &self.operator.sessions else { return };
        let mut registry_values = self.lock_registry_values();
        let previous_peers = registry_values.session_peers.clone();
        let instances = known.values().filter_map(|router| router.sessions);
        registry_values.session_peers.extend(instances.filter(|(instance, _)| *instance != own.instance));
        if registry_values.session_peers == previous_peers {
            return;
        }
        // If the file has become invalid, the error is reported at the next reload by SIGHUP.
        if let Ok(reload) = self.read(registry_values.overlay.as_deref()) {
            self.apply(reload, &registry_values);
        }
    }
}
