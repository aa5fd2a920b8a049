//! An operator's `[fleet]`: how a router, or a node of the store, belongs to the fleet.
use super::document::ROUTERS;
use super::error::{FleetError, value};
use super::names::check_name;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// An operator's `[fleet]`: how a router, or a node of the store, belongs to the fleet. All addresses are of this
/// machine's loopback networks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// This router's name; no two routers share one.
    pub name: String,
    /// This router's slot, 1 to `routers` of the document: which part of a reserved share of a quota is its own.
    pub slot: Option<u32>,
    /// Where the store's nodes answer clients (their `store.clients`); at least one.
    pub nodes: Vec<SocketAddr>,
    /// Where the store's nodes answer quota reports (their `fleet.listen`); at least one.
    pub allocators: Vec<SocketAddr>,
    /// On a node of the store: where it answers quota reports.
    pub listen: Option<SocketAddr>,
    /// Path of a file with the document, written to the store once where the store has none.
    pub seed: Option<String>,
    /// The audit; without it none is kept and no router fences itself.
    pub audit: Option<Audit>,
}

/// An operator's `[fleet.audit]`: when a router that lags behind the current version is asked to fetch it, and when it
/// is fenced. On the routers it makes each fence itself; on the store's nodes it makes the leader keep the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Audit {
    /// A router that has lagged for this long, in milliseconds (100 to 60000), is asked to fetch the current version.
    pub lag_ms: u64,
    /// So is one that lags by more versions than this (1 to 200).
    pub lag_versions: u32,
    /// How often it is asked to before it is fenced (1 to 100).
    pub refetches: u32,
}

impl Default for Audit {
    fn default() -> Audit {
        Audit { lag_ms: 800, lag_versions: 50, refetches: 3 }
    }
}

impl Audit {
    fn check(&self) -> Result<(), FleetError> {
        let bounds = [
            ("lag_ms", self.lag_ms, 100..=60_000),
            ("lag_versions", self.lag_versions.into(), 1..=200),
            ("refetches", self.refetches.into(), 1..=100),
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
pub fn member(v: &Value) -> Result<Member, FleetError> {
    let member = Member::deserialize(v)?;
    check_name("name", &member.name)?;
    if let Some(slot) = member.slot.filter(|slot| !(1..=ROUTERS).contains(slot)) {
        return Err(value("slot", format!("1 to {ROUTERS}"), slot));
    }
    member.audit.as_ref().map_or(Ok(()), Audit::check)?;
    check_addresses(&member)?;
    Ok(member)
}

/// Both lists of addresses hold some, and all addresses are of loopback networks.
fn check_addresses(member: &Member) -> Result<(), FleetError> {
    let lists = [("nodes", &member.nodes), ("allocators", &member.allocators)];
    if let Some((key, _)) = lists.iter().find(|(_, addrs)| addrs.is_empty()) {
        return Err(value(*key, "at least one ip:port", "none"));
    }
    let listed = lists.iter().flat_map(|(key, addrs)| addrs.iter().map(|addr| (*key, addr)));
    let listen = member.listen.iter().map(|addr| ("listen", addr));
    match listed.chain(listen).find(|(_, addr)| !addr.ip().is_loopback()) {
        Some((key, remote)) => Err(value(key, "ip:port on loopback", remote)),
        None => Ok(()),
    }
}
