//! The table `[fleet]` of an operator's file, on a router or a node of the store.
use super::document::MAX_ROUTERS;
use super::error::{FleetError, invalid_value};
use super::names::check_name;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The table `[fleet]` of an operator's file: how a router or a node of the store connects to the fleet. All
/// addresses have to be loopback addresses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "Member")]
pub struct FleetMemberConfig {
    /// This router's name, unique in the fleet.
    pub name: String,
    /// This router's slot, from 1 to `routers` of the fleet document: selects its part of each quota's
    /// reserved share.
    pub slot: Option<u32>,
    /// Client addresses of the store's nodes (their `store.clients`); at least one.
    pub store_addresses: Vec<SocketAddr>,
    /// Addresses at which the store's nodes receive quota reports (their `fleet.listen`); at least one.
    pub allocator_addresses: Vec<SocketAddr>,
    /// On a node of the store: the address at which it receives quota reports.
    pub allocator_listen: Option<SocketAddr>,
    /// Path of a file with a fleet document that is written to the store if the store has none.
    pub seed_document_path: Option<String>,
    /// Settings of the audit; without them no audit record is written and no router fences itself.
    pub audit: Option<AuditConfig>,
}

/// The table `[fleet.audit]`: when a router that lags behind the current version of the fleet document is
/// asked to fetch it, and when the router is fenced. With this table, a router fences itself, and the leader
/// of the store writes the audit record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "Audit")]
pub struct AuditConfig {
    /// A router that has lagged for this many milliseconds (100 to 60000) is asked to fetch the current
    /// version.
    pub max_lag_ms: u64,
    /// A router that lags by more than this many versions (1 to 200) is asked to fetch the current version.
    pub max_lag_versions: u32,
    /// How many times a lagging router is asked to fetch the current version before it is fenced (1 to 100).
    pub max_refetches: u32,
}

impl Default for AuditConfig {
    fn default() -> AuditConfig {
        AuditConfig { max_lag_ms: 800, max_lag_versions: 50, max_refetches: 3 }
    }
}

// Error messages contain the names of the types `Member` and `Audit` and of their fields.

/// The table `[fleet]` as deserialized from the file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    name: String,
    slot: Option<u32>,
    nodes: Vec<SocketAddr>,
    allocators: Vec<SocketAddr>,
    listen: Option<SocketAddr>,
    seed: Option<String>,
    audit: Option<AuditConfig>,
}

impl From<Member> for FleetMemberConfig {
    fn from(table: Member) -> FleetMemberConfig {
        FleetMemberConfig {
            name: table.name,
            slot: table.slot,
            store_addresses: table.nodes,
            allocator_addresses: table.allocators,
            allocator_listen: table.listen,
            seed_document_path: table.seed,
            audit: table.audit,
        }
    }
}

/// The table `[fleet.audit]` as deserialized from the file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Audit {
    lag_ms: u64,
    lag_versions: u32,
    refetches: u32,
}

impl Default for Audit {
    fn default() -> Audit {
        let AuditConfig { max_lag_ms, max_lag_versions, max_refetches } = AuditConfig::default();
        Audit { lag_ms: max_lag_ms, lag_versions: max_lag_versions, refetches: max_refetches }
    }
}

impl From<Audit> for AuditConfig {
    fn from(table: Audit) -> AuditConfig {
        AuditConfig {
            max_lag_ms: table.lag_ms,
            max_lag_versions: table.lag_versions,
            max_refetches: table.refetches,
        }
    }
}

impl AuditConfig {
    fn check(&self) -> Result<(), FleetError> {
        let bounds = [
            ("lag_ms", self.max_lag_ms, 100..=60_000),
            ("lag_versions", self.max_lag_versions.into(), 1..=200),
            ("refetches", self.max_refetches.into(), 1..=100),
        ];
        match bounds.into_iter().find(|(_, found, allowed)| !allowed.contains(found)) {
            Some((key, found, allowed)) => {
                let expected = format!("{} to {}", allowed.start(), allowed.end());
                Err(invalid_value(format!("audit.{key}"), expected, found))
            }
            None => Ok(()),
        }
    }
}

/// Reads and validates the table `[fleet]` of an operator's file.
///
/// # Errors
/// A [`FleetError`] that names the faulty key.
pub fn read_member(v: &Value) -> Result<FleetMemberConfig, FleetError> {
    let member = FleetMemberConfig::deserialize(v)?;
    check_name("name", &member.name)?;
    if let Some(slot) = member.slot.filter(|slot| !(1..=MAX_ROUTERS).contains(slot)) {
        return Err(invalid_value("slot", format!("1 to {MAX_ROUTERS}"), slot));
    }
    member.audit.as_ref().map_or(Ok(()), AuditConfig::check)?;
    check_addresses(&member)?;
    Ok(member)
}

/// Checks that both address lists have entries and that all addresses are loopback addresses.
fn check_addresses(member: &FleetMemberConfig) -> Result<(), FleetError> {
    let lists = [("nodes", &member.store_addresses), ("allocators", &member.allocator_addresses)];
    if let Some((key, _)) = lists.iter().find(|(_, addrs)| addrs.is_empty()) {
        return Err(invalid_value(*key, "at least one ip:port", "none"));
    }
    let listed = lists.iter().flat_map(|(key, addrs)| addrs.iter().map(|addr| (*key, addr)));
    let listen = member.allocator_listen.iter().map(|addr| ("listen", addr));
    match listed.chain(listen).find(|(_, addr)| !addr.ip().is_loopback()) {
        Some((key, remote)) => Err(invalid_value(key, "ip:port on loopback", remote)),
        None => Ok(()),
    }
}
