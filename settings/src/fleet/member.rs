//! An operator's `[fleet]`: how a router, or a node of the store, belongs to the fleet.
use super::document::MAX_ROUTERS;
use super::error::{FleetError, value};
use super::names::check_name;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// An operator's `[fleet]`: how a router, or a node of the store, belongs to the fleet. All addresses are of this
/// machine's loopback networks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "Member")]
pub struct FleetMemberConfig {
    /// This router's name; no two routers share one.
    pub name: String,
    /// This router's slot, 1 to `routers` of the document: which part of a reserved share of a quota is its own.
    pub slot: Option<u32>,
    /// Where the store's nodes answer clients (their `store.clients`); at least one.
    pub store_addresses: Vec<SocketAddr>,
    /// Where the store's nodes answer quota reports (their `fleet.listen`); at least one.
    pub allocator_addresses: Vec<SocketAddr>,
    /// On a node of the store: where it answers quota reports.
    pub allocator_listen: Option<SocketAddr>,
    /// Path of a file with the document, written to the store once where the store has none.
    pub seed_document_path: Option<String>,
    /// The audit; without it none is kept and no router fences itself.
    pub audit: Option<AuditConfig>,
}

/// An operator's `[fleet.audit]`: when a router that lags behind the current version is asked to fetch it, and when it
/// is fenced. On the routers it makes each fence itself; on the store's nodes it makes the leader keep the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "Audit")]
pub struct AuditConfig {
    /// A router that has lagged for this long, in milliseconds (100 to 60000), is asked to fetch the current version.
    pub max_lag_ms: u64,
    /// So is one that lags by more versions than this (1 to 200).
    pub max_lag_versions: u32,
    /// How often it is asked to before it is fenced (1 to 100).
    pub max_refetches: u32,
}

impl Default for AuditConfig {
    fn default() -> AuditConfig {
        AuditConfig { max_lag_ms: 800, max_lag_versions: 50, max_refetches: 3 }
    }
}

// The names of these two types and their fields stand in error messages.

/// The table `[fleet]` as it stands in the file, before it is checked.
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

/// The table `[fleet.audit]` as it stands in the file, before it is checked.
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
                Err(value(format!("audit.{key}"), expected, found))
            }
            None => Ok(()),
        }
    }
}

/// Reads an operator's `[fleet]`.
///
/// # Errors
/// A [`FleetError`] that names the faulty key.
pub fn read_member(v: &Value) -> Result<FleetMemberConfig, FleetError> {
    let member = FleetMemberConfig::deserialize(v)?;
    check_name("name", &member.name)?;
    if let Some(slot) = member.slot.filter(|slot| !(1..=MAX_ROUTERS).contains(slot)) {
        return Err(value("slot", format!("1 to {MAX_ROUTERS}"), slot));
    }
    member.audit.as_ref().map_or(Ok(()), AuditConfig::check)?;
    check_addresses(&member)?;
    Ok(member)
}

/// Both lists of addresses hold some, and all addresses are of loopback networks.
fn check_addresses(member: &FleetMemberConfig) -> Result<(), FleetError> {
    let lists = [("nodes", &member.store_addresses), ("allocators", &member.allocator_addresses)];
    if let Some((key, _)) = lists.iter().find(|(_, addrs)| addrs.is_empty()) {
        return Err(value(*key, "at least one ip:port", "none"));
    }
    let listed = lists.iter().flat_map(|(key, addrs)| addrs.iter().map(|addr| (*key, addr)));
    let listen = member.allocator_listen.iter().map(|addr| ("listen", addr));
    match listed.chain(listen).find(|(_, addr)| !addr.ip().is_loopback()) {
        Some((key, remote)) => Err(value(key, "ip:port on loopback", remote)),
        None => Ok(()),
    }
}
