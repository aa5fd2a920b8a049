//! State that all client connections share.
use crate::backend::Mysql;
use crate::tap::Tap;
use client_listener::memory::MemoryPool;
use routing::RouterHandle;
use sessions::node::Sessions;
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::sync::{Arc, PoisonError, RwLock};

/// Front for `MySQL` clients. It submits requests to the routing core and holds the state that its
/// connections share.
pub struct Front {
    pub(super) router: RouterHandle<Mysql>,
    settings: RwLock<Arc<Settings>>,
    pub(super) limits: Arc<Limits>,
    /// Observer of client traffic, if traffic is recorded.
    pub(super) tap: Option<Arc<dyn Tap>>,
    pub(super) sessions: Arc<Sessions>,
    /// Memory for commands, prepared statements, requests, responses and cursors of clients.
    pub(super) memory: MemoryPool,
    /// Client of the fleet, which admits requests within the tenants' quotas. `None` without a fleet.
    pub(super) fleet: Option<fleet::FleetClient>,
}

impl Front {
    /// Creates a front for the users in the settings. With a fleet, the fleet's quotas and placement rules
    /// apply to requests.
    pub fn new(
        router: RouterHandle<Mysql>,
        settings: Arc<Settings>,
        limits: Arc<Limits>,
        tap: Option<Arc<dyn Tap>>,
        sessions: Arc<Sessions>,
        fleet: Option<fleet::FleetClient>,
    ) -> Arc<Front> {
        let memory = MemoryPool::new(limits.max_client_memory_bytes);
        Arc::new(Front { router, settings: RwLock::new(settings), limits, tap, sessions, memory, fleet })
    }

    /// Replaces the users, the rules and the default group with those of `settings`.
    pub fn reload(&self, settings: Settings) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    pub(super) fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
