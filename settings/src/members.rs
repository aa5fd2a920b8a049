//! The table `[members]` of an operator's file: how this router takes part in the membership protocol of its
//! fleet. Unknown keys are rejected.
use serde::Deserialize;
use serde_json::Value;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The default protocol period, in milliseconds.
const DEFAULT_PROTOCOL_PERIOD_MS: u64 = 500;
/// The accepted range of the protocol period, in milliseconds.
const PROTOCOL_PERIOD_RANGE_MS: RangeInclusive<u64> = 20..=5000;
/// The maximum length of a router's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Errors in the table `[members]`; each message names the key and the accepted values.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key is missing, is unknown, or has a value of the wrong type; the deserializer's message names it.
    #[error("{0}")]
    Table(String),
    /// The router's name is empty, too long, or contains a character that is not allowed.
    #[error("expected 1 to 64 letters, digits, '.', '_' or '-' in 'name', found '{0}'")]
    Name(String),
    /// An address is not an IPv4 loopback address with a port.
    #[error("expected ip:port of 127.0.0.0/8 in '{key}', found '{found}'")]
    Address {
        /// Name of the faulty key.
        key: &'static str,
        /// The value found in the table.
        found: String,
    },
    /// The cluster's name is empty. It distinguishes the datagrams of this fleet from those of others.
    #[error("expected a non-empty name in 'cluster', found an empty one")]
    Cluster,
    /// The protocol period is outside the accepted range.
    #[error("expected 20 to 5000 in 'rhythm_ms', found {0}")]
    ProtocolPeriod(u64),
    /// The minimum number of routers for capacity shares is outside the accepted range.
    #[error("expected 1 to 'mysql.routers' ({routers}) in 'least', found {found}")]
    MinCountedRouters {
        /// The highest accepted value, which is the size of the whole fleet.
        routers: u32,
        /// The value found in the table.
        found: u32,
    },
}

/// How a router takes part in the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// The router's name, unique among the running routers of the fleet.
    pub name: String,
    /// The UDP address at which the router receives datagrams.
    pub listen: SocketAddrV4,
    /// The address to which other routers send datagrams, if it differs from `listen`.
    pub advertised_address: Option<SocketAddrV4>,
    /// Addresses of routers through which this router joins the fleet; empty for the first router.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's name in datagrams; not empty.
    pub cluster: String,
    /// The protocol period (20 ms to 5 s). One member is probed in each period; all other timeouts of the
    /// membership protocol are multiples of it.
    pub protocol_period: Duration,
    /// Minimum number of routers for computing this router's share of server capacity, even if fewer are
    /// alive.
    pub min_counted_routers: u32,
}

/// The table `[members]` as deserialized from the file, before validation. Error messages contain the name of
/// this type.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    listen: String,
    told: Option<String>,
    #[serde(default)]
    seeds: Vec<String>,
    cluster: String,
    rhythm_ms: Option<u64>,
    least: Option<u32>,
}

fn read_address(key: &'static str, found: &str, any_port: bool) -> Result<SocketAddrV4, Error> {
    match found.parse() {
        Ok(SocketAddr::V4(a)) if a.ip().is_loopback() && (any_port || a.port() != 0) => Ok(a),
        _ => Err(Error::Address { key, found: found.into() }),
    }
}

/// Reads and validates the table `[members]`. `routers` is the size of the whole fleet (`mysql.routers`);
/// `least` defaults to half of it.
///
/// # Errors
/// An [`Error`] that names the faulty key.
pub fn read(v: &Value, routers: u32) -> Result<MembershipConfig, Error> {
    let table: Raw = serde_json::from_value(v.clone()).map_err(|e| Error::Table(e.to_string()))?;
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    if !(1..=MAX_NAME_BYTES).contains(&table.name.len()) || !table.name.bytes().all(allowed) {
        return Err(Error::Name(table.name));
    }
    if table.cluster.is_empty() {
        return Err(Error::Cluster);
    }
    let period_ms = table.rhythm_ms.unwrap_or(DEFAULT_PROTOCOL_PERIOD_MS);
    if !PROTOCOL_PERIOD_RANGE_MS.contains(&period_ms) {
        return Err(Error::ProtocolPeriod(period_ms));
    }
    let routers = routers.max(1);
    let min_counted_routers = table.least.unwrap_or(routers.div_ceil(2));
    if !(1..=routers).contains(&min_counted_routers) {
        return Err(Error::MinCountedRouters { routers, found: min_counted_routers });
    }
    Ok(MembershipConfig {
        listen: read_address("listen", &table.listen, true)?,
        advertised_address: table.told.map(|a| read_address("told", &a, false)).transpose()?,
        seeds: table.seeds.iter().map(|a| read_address("seeds", a, false)).collect::<Result<_, _>>()?,
        name: table.name,
        cluster: table.cluster,
        protocol_period: Duration::from_millis(period_ms),
        min_counted_routers,
    })
}
