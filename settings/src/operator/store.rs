//! The table `[store]`: this node of the replicated store and its peers.
use super::table::{each, loopback, only, optional, owned, peer};
use crate::error::Error;
use crate::fields::unsigned_integer;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The replicated store.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct StoreConfig {
    /// This node's number, above 0.
    pub node_id: u64,
    /// The addresses of all nodes by number, this one included.
    pub node_addresses: BTreeMap<u64, SocketAddr>,
    /// Folder of the log; without it the log is in memory alone.
    pub log_folder: Option<String>,
    /// Address of the control commands, as `ip:port`; without it there are none.
    pub control_address: Option<String>,
    /// Address at which clients that are not nodes are answered.
    pub client_address: Option<SocketAddr>,
}

impl StoreConfig {
    /// A store of one node, in memory, as a router without `[store]` has it.
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
    only(v, &["node", "folder", "control", "clients", "peer"])?;
    let node_id = unsigned_integer(v, "node")?;
    let node_addresses: BTreeMap<u64, SocketAddr> =
        each(v, "peer", |p| peer(p, "node"))?.into_iter().collect();
    if node_id == 0 || !node_addresses.contains_key(&node_id) {
        return Err(Error::invalid("'node' to be one of the peers and not 0", node_id));
    }
    let log_folder = optional(v, "folder", owned)?;
    let control_address = optional(v, "control", loopback)?.map(|addr| addr.to_string());
    let client_address = optional(v, "clients", loopback)?;
    Ok(StoreConfig { node_id, node_addresses, log_folder, control_address, client_address })
}
