//! The table `[store]`: this node of the replicated store and the other nodes.
use super::table::{check_keys, loopback_address, optional, owned_string, read_peer, read_tables};
use crate::error::Error;
use crate::fields::unsigned_integer;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of this node of the replicated store.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct StoreConfig {
    /// The id of this node of the store, above 0.
    pub node_id: u64,
    /// The addresses of all nodes of the store by id, including this one.
    pub node_addresses: BTreeMap<u64, SocketAddr>,
    /// Folder of the replicated log; `None` to retain the log in memory only.
    pub log_folder: Option<String>,
    /// The address for control commands, as `ip:port`; `None` to accept none.
    pub control_address: Option<String>,
    /// The address at which requests of clients outside the store's nodes are served; `None` to serve none.
    pub client_address: Option<SocketAddr>,
}

impl StoreConfig {
    /// Returns the settings of an in-memory store with a single node, the default for a router without
    /// `[store]`.
    pub(super) fn single_node() -> StoreConfig {
        const NODE: u64 = 1;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        StoreConfig {
            node_id: NODE,
            node_addresses: BTreeMap::from([(NODE, any_port)]),
            ..StoreConfig::default()
        }
    }
}

pub(super) fn read_store(v: &Value) -> Result<StoreConfig, Error> {
    check_keys(v, &["node", "folder", "control", "clients", "peer"])?;
    let node_id = unsigned_integer(v, "node")?;
    let node_addresses: BTreeMap<u64, SocketAddr> =
        read_tables(v, "peer", |p| read_peer(p, "node"))?.into_iter().collect();
    if node_id == 0 || !node_addresses.contains_key(&node_id) {
        return Err(Error::invalid("'node' to be one of the peers and not 0", node_id));
    }
    let log_folder = optional(v, "folder", owned_string)?;
    let control_address = optional(v, "control", loopback_address)?.map(|addr| addr.to_string());
    let client_address = optional(v, "clients", loopback_address)?;
    Ok(StoreConfig { node_id, node_addresses, log_folder, control_address, client_address })
}
