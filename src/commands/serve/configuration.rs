//! The configuration while the router runs: the operator's file, and what a registry says besides.
use crate::commands::Error;
use mysql_wire::front::Front;
use registry::client::{RegistryObserver, Router};
use sessions::node::Sessions;
use settings::operator::{OperatorConfig, Reload};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The configuration that a running router follows, and the parts that follow it. Changes come from SIGHUP
/// ([`LiveConfiguration::reload`]) and from the registry, of which this is an observer.
pub(super) struct LiveConfiguration {
    path: PathBuf,
    /// The file as it was at the start; some keys can only be changed by a restart.
    operator: OperatorConfig,
    front: Arc<Front>,
    sessions: Arc<Sessions>,
    store: store::Store,
    registered: Mutex<Registered>,
}

/// What the registry has said so far.
#[derive(Default)]
struct Registered {
    /// Users, rules and the default group.
    overlay: Option<String>,
    /// Where instances that share sessions are registered. Which of them belong together, the file alone says: an
    /// instance that is not listed yet, or no longer registered, may still acknowledge writes to its clients.
    session_peers: BTreeMap<u64, SocketAddr>,
}

impl LiveConfiguration {
    /// The configuration at `path`, which was read as `operator` at the start.
    pub(super) fn new(
        path: &Path,
        operator: OperatorConfig,
        front: Arc<Front>,
        sessions: Arc<Sessions>,
        store: store::Store,
    ) -> LiveConfiguration {
        let registered = Mutex::default();
        LiveConfiguration { path: path.to_path_buf(), operator, front, sessions, store, registered }
    }

    /// Reads the file anew and applies it. Returns the keys that differ and need a restart.
    pub(super) fn reload(&self) -> Result<Vec<String>, Error> {
        let registered = self.registered();
        let reload = self.read(registered.overlay.as_deref())?;
        Ok(self.apply(reload, &registered))
    }

    fn registered(&self) -> MutexGuard<'_, Registered> {
        self.registered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the file with the registry's overlay on it.
    fn read(&self, overlay: Option<&str>) -> Result<Reload, Error> {
        let text = crate::commands::read_file(&self.path)?;
        settings::operator::reload(&text, overlay, &self.operator)
            .map_err(|source| Error::Settings { path: self.path.clone(), source })
    }

    /// Hands what was read to the parts that follow it. Returns the keys that need a restart.
    fn apply(&self, reload: Reload, registered: &Registered) -> Vec<String> {
        self.front.reload(reload.mysql);
        if let Some(mut peers) = reload.session_peers {
            for (instance, address) in &mut peers {
                if let Some(current) = registered.session_peers.get(instance) {
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
        let mut registered = self.registered();
        let reload = self.read(text)?;
        registered.overlay = text.map(str::to_string);
        self.apply(reload, &registered);
        Ok(())
    }

    fn on_routers(&self, known: &BTreeMap<String, Router>) {
        for (node, address) in known.values().filter_map(|router| router.store) {
            self.store.set_peer_address(node, address);
        }
        let Some(own) = &self.operator.sessions else { return };
        let mut registered = self.registered();
        let before = registered.session_peers.clone();
        let instances = known.values().filter_map(|router| router.sessions);
        registered.session_peers.extend(instances.filter(|(instance, _)| *instance != own.instance));
        if registered.session_peers == before {
            return;
        }
        // A file that is faulty by now is reported when SIGHUP asks for it.
        if let Ok(reload) = self.read(registered.overlay.as_deref()) {
            self.apply(reload, &registered);
        }
    }
}
