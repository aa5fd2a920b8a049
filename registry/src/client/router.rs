//! The entry of a router in the registry.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A router's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// The address at which the router accepts client connections.
    pub addr: SocketAddr,
    /// The router's instance number for session sharing, and the address at which it accepts session peers.
    pub sessions: Option<(u64, SocketAddr)>,
    /// The ID of the router's store node, and the address at which that node listens.
    #[serde(default)]
    pub store: Option<(u64, SocketAddr)>,
    /// The incarnation: identifies this start of the router process.
    pub incarnation: u64,
}
