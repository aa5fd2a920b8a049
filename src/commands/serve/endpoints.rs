//! Conversion between the store's JSON documents of servers and the router's endpoint list.
use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState};
use serde_json::{Value, json};
use settings::Error as SettingsError;
use settings::fields::{number, string, unsigned_integer};
use settings::operator::Server;
use std::net::SocketAddr;
use std::sync::Arc;

/// Prefix of the store's keys of servers.
const KEY_PREFIX: &str = "server/";
const IN_SERVICE: &str = "in_service";
const DRAINING: &str = "draining";

/// Returns the key and JSON document with which a new store is initialized for a configured server.
pub fn server_document(server: &Server) -> (String, String) {
    let mut document =
        json!({"addr": server.addr, "group": server.group, "weight": server.weight, "state": IN_SERVICE});
    if let Some(site) = &server.site {
        document["site"] = json!(site);
    }
    (store::control::server_key(&server.id), document.to_string())
}

/// Builds the endpoint list from the store's servers, for a router at `own_site`. Servers with an invalid
/// document are skipped and logged.
pub fn endpoint_update(state: &store::State, own_site: Option<&str>) -> EndpointUpdate {
    let entry = |(key, value): (&str, &store::Value)| {
        let entry = endpoint_entry(key, &value.text, own_site);
        entry.map_err(|error| tracing::error!(key, %error, "stored server ignored")).ok()
    };
    let entries = state.with_prefix(KEY_PREFIX).filter_map(entry).collect();
    EndpointUpdate { version: state.applied_index, complete: true, endpoints: entries }
}

/// Parses the document that is stored for a server under `key`.
///
/// # Errors
/// The document is not a JSON object, or one of its fields is missing or invalid.
pub fn endpoint_entry(
    key: &str,
    document: &str,
    own_site: Option<&str>,
) -> Result<EndpointEntry, SettingsError> {
    let document: Value = serde_json::from_str(document)?;
    let address = string(&document, "addr")?;
    let state = member_state(string(&document, "state")?)?;
    let site: Option<Arc<str>> = document.get("site").and_then(Value::as_str).map(Arc::from);
    Ok(EndpointEntry {
        id: key.trim_start_matches(KEY_PREFIX).to_string(),
        addr: parse_address(address)?,
        group: GroupId(unsigned_integer(&document, "group")? as u32),
        zone: zone_distance(site.as_deref(), own_site),
        site,
        state,
        // Health checks, not the stored list, determine which server is primary.
        listed_primary: false,
        weight: number(&document, "weight")?,
        started_at: None,
    })
}

fn member_state(state: &str) -> Result<MemberState, SettingsError> {
    match state {
        IN_SERVICE => Ok(MemberState::Ready),
        DRAINING => Ok(MemberState::Draining),
        other => {
            Err(SettingsError::invalid_value("state", "in_service or draining", format_args!("'{other}'")))
        }
    }
}

fn parse_address(address: &str) -> Result<SocketAddr, SettingsError> {
    address.parse().map_err(|_| SettingsError::invalid_value("addr", "ip:port", format_args!("'{address}'")))
}

/// Returns the zone of a server relative to the router: 1 if the router has a site and the server is at
/// another or at no site, otherwise 0.
fn zone_distance(site: Option<&str>, own_site: Option<&str>) -> u32 {
    u32::from(own_site.is_some() && site != own_site)
}
