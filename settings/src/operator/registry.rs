//! The table `[registry]`: the key-value registry from which the node list is followed.
use super::credentials::Credentials;
use super::table::{only, optional, optional_table, or, owned, positive, seconds};
use crate::error::Error;
use crate::fields::{string, strings};
use ipnet::IpNet;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The keys of the table.
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

/// The shortest lifetime of a registration.
const MIN_TTL: Duration = Duration::from_secs(1);

/// Which interface a registry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryKind {
    /// etcd's JSON gateway, version 3.
    Etcd,
    /// Consul's HTTP interface.
    Consul,
}

/// Paths of the PEM files for TLS to the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryTls {
    /// The certificate authority of the registry's certificate.
    pub ca_path: String,
    /// This router's certificate; set together with `key`.
    pub cert_path: Option<String>,
    /// The private key of `cert`.
    pub key_path: Option<String>,
    /// The name in the registry's certificate; the address of the endpoint where it is not set.
    pub server_name: Option<String>,
}

/// A key-value registry that is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryConfig {
    /// Its interface.
    pub kind: RegistryKind,
    /// The addresses of its members; at least one.
    pub endpoints: Vec<SocketAddr>,
    /// What all keys begin with; starts and ends with a slash.
    pub prefix: String,
    /// Consul: the service whose instances are nodes.
    pub service: Option<String>,
    /// etcd: user and password.
    pub credentials: Option<Credentials>,
    /// Consul: the access token.
    pub access_token: Option<String>,
    /// TLS to the registry; without it connections are plain.
    pub tls: Option<RegistryTls>,
    /// Networks that nodes may be in; any where the list is empty.
    pub allowed_networks: Vec<IpNet>,
    /// Networks that nodes may not be in.
    pub denied_networks: Vec<IpNet>,
    /// While the list is not older than this, every node gets new requests.
    pub max_fresh_age: Duration,
    /// Once the list is older than this, no node gets new requests; without it there is no such age. Not below
    /// `max_fresh_age`.
    pub max_usable_age: Option<Duration>,
    /// Where more than this share (above 0, at most 1) of the nodes vanishes at once, they stay listed for
    /// `mass_removal_delay`.
    pub mass_removal_share: f64,
    /// How long nodes that vanished together stay listed.
    pub mass_removal_delay: Duration,
    /// A registry whose revision is behind for this long counts as restored from a backup.
    pub restore_detection_delay: Duration,
    /// Folder of the last list, for a start without the registry.
    pub list_folder: Option<String>,
    /// The name under which this router registers itself; without it, it does not.
    pub registration_name: Option<String>,
    /// How long a registration outlives this router; at least 1 s.
    pub registration_ttl: Duration,
    /// This router's zone; empty where the file sets none.
    pub zone: String,
}

pub(super) fn read_registry(v: &Value) -> Result<RegistryConfig, Error> {
    only(v, &KEYS)?;
    let kind = read_kind(v)?;
    let endpoints = read_endpoints(v)?;
    let prefix = read_prefix(v)?;
    let mass_removal_share = or(v, "held_share", 0.5, positive)?;
    if mass_removal_share > 1.0 {
        return Err(Error::invalid_value("held_share", "at most 1", mass_removal_share));
    }
    let credentials = read_credentials(v)?;
    let ListAges { max_fresh_age, max_usable_age } = read_list_ages(v)?;
    if kind == RegistryKind::Etcd && v.get("service").is_some() {
        return Err(Error::invalid("'service' with consul only", "it with etcd"));
    }
    Ok(RegistryConfig {
        kind,
        endpoints,
        prefix,
        service: optional(v, "service", owned)?,
        credentials,
        access_token: optional(v, "token", owned)?,
        tls: optional_table(v, "tls", read_tls)?,
        allowed_networks: read_networks(v, "allow")?,
        denied_networks: read_networks(v, "deny")?,
        max_fresh_age,
        max_usable_age,
        mass_removal_share,
        mass_removal_delay: seconds(v, "held_s", 60.0)?,
        restore_detection_delay: seconds(v, "restored_after_s", 10.0)?,
        list_folder: optional(v, "folder", owned)?,
        registration_name: optional(v, "register", owned)?,
        registration_ttl: seconds(v, "ttl_s", 10.0)?.max(MIN_TTL),
        zone: or(v, "zone", String::new(), owned)?,
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
        or(v, "endpoints", Vec::new(), strings)?.into_iter().map(address).collect::<Result<_, _>>()?;
    if endpoints.is_empty() {
        return Err(Error::invalid_value("endpoints", "an address", "none"));
    }
    Ok(endpoints)
}

fn read_prefix(v: &Value) -> Result<String, Error> {
    let prefix = string(v, "prefix")?.trim_matches('/');
    if prefix.is_empty() {
        return Err(Error::invalid_value("prefix", "something", "nothing but slashes"));
    }
    Ok(format!("/{prefix}/"))
}

fn read_credentials(v: &Value) -> Result<Option<Credentials>, Error> {
    let Some(user) = optional(v, "user", owned)? else { return Ok(None) };
    Ok(Some(Credentials { user, password: owned(v, "password")? }))
}

/// How old the list may be.
struct ListAges {
    max_fresh_age: Duration,
    max_usable_age: Option<Duration>,
}

/// The ages `fresh_s` and `last_s`.
fn read_list_ages(v: &Value) -> Result<ListAges, Error> {
    let max_usable_age = optional(v, "last_s", |v, key| seconds(v, key, 0.0))?;
    let max_fresh_age = seconds(v, "fresh_s", 10.0)?;
    match max_usable_age {
        Some(usable) if usable < max_fresh_age => {
            let found = format!("{} below {}", usable.as_secs_f64(), max_fresh_age.as_secs_f64());
            Err(Error::invalid("'last_s' to be at least 'fresh_s'", found))
        }
        _ => Ok(ListAges { max_fresh_age, max_usable_age }),
    }
}

fn read_tls(v: &Value) -> Result<RegistryTls, Error> {
    only(v, &["ca", "cert", "key", "server_name"])?;
    let tls = RegistryTls {
        ca_path: owned(v, "ca")?,
        cert_path: optional(v, "cert", owned)?,
        key_path: optional(v, "key", owned)?,
        server_name: optional(v, "server_name", owned)?,
    };
    match (&tls.cert_path, &tls.key_path) {
        (Some(_), None) => Err(Error::invalid("'cert' and 'key' together", "'cert' alone")),
        (None, Some(_)) => Err(Error::invalid("'cert' and 'key' together", "'key' alone")),
        _ => Ok(tls),
    }
}

/// A list of networks; an address alone stands for the network of just that address.
fn read_networks(v: &Value, key: &str) -> Result<Vec<IpNet>, Error> {
    let network = |a: String| {
        let single_address = || a.parse::<IpAddr>().ok().map(IpNet::from);
        let parsed: Option<IpNet> = a.parse().ok().or_else(single_address);
        parsed.ok_or_else(|| Error::invalid_value(key, "a network or an address", format_args!("'{a}'")))
    };
    or(v, key, Vec::new(), strings)?.into_iter().map(network).collect()
}
