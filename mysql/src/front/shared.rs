//! What all connections of the front share.
use crate::backend::Mysql;
use crate::tap::Tap;
use routing::RouterHandle;
use sessions::node::Sessions;
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::sync::{Arc, PoisonError, RwLock};

/// The front for `MySQL` clients: the routing core that it submits requests to, and what its connections share.
pub struct Front {
    pub(super) handle: RouterHandle<Mysql>,
    settings: RwLock<Arc<Settings>>,
    pub(super) limits: Arc<Limits>,
    /// The recording of client traffic, if there is one.
    pub(super) tap: Option<Arc<dyn Tap>>,
    pub(super) sessions: Arc<Sessions>,
    /// Admits requests by the tenants' quotas, if there is a fleet.
    pub(super) fleet: Option<fleet::FleetClient>,
}

impl Front {
    /// A front for the users that the settings name. Where there is a fleet, it admits the requests.
    pub fn new(
        handle: RouterHandle<Mysql>,
        settings: Arc<Settings>,
        limits: Arc<Limits>,
        tap: Option<Arc<dyn Tap>>,
        sessions: Arc<Sessions>,
        fleet: Option<fleet::FleetClient>,
    ) -> Arc<Front> {
        Arc::new(Front { handle, settings: RwLock::new(settings), limits, tap, sessions, fleet })
    }

    /// Applies the users, the rules and the default group of these settings from now on.
    pub fn reload(&self, settings: Settings) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    pub(super) fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
