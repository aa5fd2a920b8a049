//! The table `[registry]`: the key-value registry from which the router reads and watches the node list.
use super::credentials::Credentials;
use super::table::{
    check_keys, duration_from_seconds, optional, optional_table, owned_string, positive_number, value_or,
};
use crate::error::Error;
use crate::fields::{string, strings};
use ipnet::IpNet;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The keys of the table `[registry]`.
const KEYS: [&str; 19] = [
    "kind",
    "endpoints",
    "prefix",
    "service",
    "user",
    "password",
    "token",
    "tls",
    "allow",
    "deny",
    "fresh_s",
    "last_s",
    "held_share",
    "held_s",
    "restored_after_s",
    "folder",
    "register",
    "ttl_s",
    "zone",
];

/// The shortest time to live of a registration.
const MIN_TTL: Duration = Duration::from_secs(1);

/// The protocol of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryKind {
    /// The JSON gateway of etcd, version 3.
    Etcd,
    /// The HTTP API of Consul.
    Consul,
}

/// TLS settings for connections to the registry; the files are in PEM format.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryTls {
    /// Path of the certificate of the certificate authority that signed the registry's certificate.
    pub ca_path: String,
    /// Path of this router's client certificate; set together with `key_path`.
    pub cert_path: Option<String>,
    /// Path of the private key of this router's client certificate.
    pub key_path: Option<String>,
    /// The server name expected in the registry's certificate; defaults to the address of the endpoint.
    pub server_name: Option<String>,
}

/// Settings of the key-value registry from which the node list is read and watched.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryConfig {
    /// The protocol of the registry.
    pub kind: RegistryKind,
    /// The addresses of the registry's members; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of all keys; starts and ends with a slash.
    pub prefix: String,
    /// Consul only: the service whose instances are used as nodes.
    pub service: Option<String>,
    /// etcd only: user and password.
    pub credentials: Option<Credentials>,
    /// Consul only: the access token.
    pub access_token: Option<String>,
    /// TLS settings; `None` for unencrypted connections.
    pub tls: Option<RegistryTls>,
    /// Networks in which nodes may be; an empty list allows all networks.
    pub allowed_networks: Vec<IpNet>,
    /// Networks in which nodes must not be.
    pub denied_networks: Vec<IpNet>,
    /// Up to this age of the node list, all nodes receive new requests.
    pub max_fresh_age: Duration,
    /// Above this age of the node list, no node receives new requests; `None` for no limit. At least
    /// `max_fresh_age`.
    pub max_usable_age: Option<Duration>,
    /// If more than this share (above 0, at most 1) of the nodes is removed at once, they stay listed for
    /// `mass_removal_delay`.
    pub mass_removal_share: f64,
    /// How long nodes stay listed after a mass removal.
    pub mass_removal_delay: Duration,
    /// A registry whose revision stays lower than one that was read earlier, for this long, is treated as
    /// restored from a backup.
    pub restore_detection_delay: Duration,
    /// Folder in which the latest node list is stored, for a start while the registry is unavailable.
    pub list_folder: Option<String>,
    /// The name under which this router registers itself; `None` if it does not register.
    pub registration_name: Option<String>,
    /// The time to live of the registration after this router stops renewing it; at least 1 s.
    pub registration_ttl: Duration,
    /// This router's zone; empty if not configured.
    pub zone: String,
}

pub(super) fn read_registry(v: &Value) -> Result<RegistryConfig, Error> {
    check_keys(v, &KEYS)?;
    let kind = read_kind(v)?;
    let endpoints = read_endpoints(v)?;
    let prefix = read_prefix(v)?;
    let mass_removal_share = value_or(v, "held_share", 0.5, positive_number)?;
    if mass_removal_share > 1.0 {
        return Err(Error::invalid_value("held_share", "at most 1", mass_removal_share));
    }
    let credentials = read_credentials(v)?;
    let ListAges { max_fresh_age, max_usable_age } = read_list_ages(v)?;
    if kind == RegistryKind::Etcd && v.get("service").is_some() {
        return Err(Error::invalid("'service' only with kind 'consul'", "it with kind 'etcd'"));
    }
    Ok(RegistryConfig {
        kind,
        endpoints,
        prefix,
        service: optional(v, "service", owned_string)?,
        credentials,
        access_token: optional(v, "token", owned_string)?,
        tls: optional_table(v, "tls", read_tls)?,
        allowed_networks: read_networks(v, "allow")?,
        denied_networks: read_networks(v, "deny")?,
        max_fresh_age,
        max_usable_age,
        mass_removal_share,
        mass_removal_delay: duration_from_seconds(v, "held_s", 60.0)?,
        restore_detection_delay: duration_from_seconds(v, "restored_after_s", 10.0)?,
        list_folder: optional(v, "folder", owned_string)?,
        registration_name: optional(v, "register", owned_string)?,
        registration_ttl: duration_from_seconds(v, "ttl_s", 10.0)?.max(MIN_TTL),
        zone: value_or(v, "zone", String::new(), owned_string)?,
    })
}

fn read_kind(v: &Value) -> Result<RegistryKind, Error> {
    match string(v, "kind")? {
        "etcd" => Ok(RegistryKind::Etcd),
        "consul" => Ok(RegistryKind::Consul),
        x => Err(Error::invalid_value("kind", "etcd or consul", format_args!("'{x}'"))),
    }
}

fn read_endpoints(v: &Value) -> Result<Vec<SocketAddr>, Error> {
    let address = |a: String| {
        let invalid = |_| Error::invalid_value("endpoints", "ip:port", format_args!("'{a}'"));
        a.parse().map_err(invalid)
    };
    let endpoints: Vec<SocketAddr> =
        value_or(v, "endpoints", Vec::new(), strings)?.into_iter().map(address).collect::<Result<_, _>>()?;
    if endpoints.is_empty() {
        return Err(Error::invalid_value("endpoints", "an address", "none"));
    }
    Ok(endpoints)
}

fn read_prefix(v: &Value) -> Result<String, Error> {
    let prefix = string(v, "prefix")?.trim_matches('/');
    if prefix.is_empty() {
        return Err(Error::invalid_value("prefix", "a non-empty key prefix", "only slashes"));
    }
    Ok(format!("/{prefix}/"))
}

fn read_credentials(v: &Value) -> Result<Option<Credentials>, Error> {
    let Some(user) = optional(v, "user", owned_string)? else { return Ok(None) };
    Ok(Some(Credentials { user, password: owned_string(v, "password")? }))
}

/// Age limits of the node list.
struct ListAges {
    max_fresh_age: Duration,
    max_usable_age: Option<Duration>,
}

/// Reads the age limits `fresh_s` and `last_s`.
fn read_list_ages(v: &Value) -> Result<ListAges, Error> {
    let max_usable_age = optional(v, "last_s", |v, key| duration_from_seconds(v, key, 0.0))?;
    let max_fresh_age = duration_from_seconds(v, "fresh_s", 10.0)?;
    match max_usable_age {
        Some(usable) if usable < max_fresh_age => {
            let found = format!("{} below {}", usable.as_secs_f64(), max_fresh_age.as_secs_f64());
            Err(Error::invalid("'last_s' to be at least 'fresh_s'", found))
        }
        _ => Ok(ListAges { max_fresh_age, max_usable_age }),
    }
}

fn read_tls(v: &Value) -> Result<RegistryTls, Error> {
    check_keys(v, &["ca", "cert", "key", "server_name"])?;
    let tls = RegistryTls {
        ca_path: owned_string(v, "ca")?,
        cert_path: optional(v, "cert", owned_string)?,
        key_path: optional(v, "key", owned_string)?,
        server_name: optional(v, "server_name", owned_string)?,
    };
    match (&tls.cert_path, &tls.key_path) {
        (Some(_), None) => Err(Error::invalid("'cert' and 'key' together", "'cert' alone")),
        (None, Some(_)) => Err(Error::invalid("'cert' and 'key' together", "'key' alone")),
        _ => Ok(tls),
    }
}

/// Reads a list of networks; a single address is read as the network that contains only that address.
fn read_networks(v: &Value, key: &str) -> Result<Vec<IpNet>, Error> {
    let network = |a: String| {
        let single_address = || a.parse::<IpAddr>().ok().map(IpNet::from);
        let parsed: Option<IpNet> = a.parse().ok().or_else(single_address);
        parsed.ok_or_else(|| Error::invalid_value(key, "a network or an address", format_args!("'{a}'")))
    };
    value_or(v, key, Vec::new(), strings)?.into_iter().map(network).collect()
}
