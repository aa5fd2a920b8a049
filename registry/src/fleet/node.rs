//! A node as described by its key in the registry.
use super::Settings;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// A node's state, as stated in its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The node accepts requests.
    InService,
    /// Completes its requests and gets no new ones.
    Draining,
    /// Must not be used, although its key exists.
    Gone,
}

/// Why the value of a node's key is invalid.
#[derive(Debug, Error)]
pub(super) enum NodeError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("expected a positive weight, found {0}")]
    Weight(f64),
    #[error("expected primary or replica in 'role', found '{0}'")]
    Role(String),
    #[error("{0} is not in a network that may be connected to: look at registry.allow and registry.deny")]
    Network(IpAddr),
}

/// A node; the JSON value of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The address that the node listens on.
    pub addr: SocketAddr,
    /// The number of its replication group.
    #[serde(default)]
    pub group: u32,
    /// `primary` or `replica`. Only a hint: the router queries the servers for their actual role.
    #[serde(default)]
    pub role: Option<String>,
    /// Whether the node accepts new requests.
    #[serde(default = "default_state")]
    pub state: State,
    /// The node's capacity relative to other nodes; positive.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
}

fn default_state() -> State {
    State::InService
}

fn default_weight() -> f64 {
    1.0
}

/// Parses and validates the value of a node's key.
pub(super) fn parse(value: &[u8], settings: &Settings) -> Result<Node, NodeError> {
    let node: Node = serde_json::from_slice(value)?;
    if !(node.weight.is_finite() && node.weight > 0.0) {
        return Err(NodeError::Weight(node.weight));
    }
    if let Some(role) = node.role.as_deref().filter(|r| !matches!(*r, "primary" | "replica")) {
        return Err(NodeError::Role(role.into()));
    }
    let ip = node.addr.ip();
    if !is_allowed(ip, settings) {
        return Err(NodeError::Network(ip));
    }
    Ok(node)
}

fn is_allowed(ip: IpAddr, settings: &Settings) -> bool {
    let contains = |networks: &[IpNet]| networks.iter().any(|network| network.contains(&ip));
    !contains(&settings.deny) && (settings.allow.is_empty() || contains(&settings.allow))
}
