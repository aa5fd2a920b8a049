//! The entry of a router in the registry.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A router, as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Where its clients connect.
    pub addr: SocketAddr,
    /// Its number among the instances that share sessions, and the address at which it accepts peers.
    pub sessions: Option<(u64, SocketAddr)>,
    /// Its node of the store, and the address at which that listens.
    #[serde(default)]
    pub store: Option<(u64, SocketAddr)>,
    /// Identifies this start of the router.
    pub incarnation: u64,
}
