//! The table `[members]`: how this router takes part in its fleet. A key that is not known is an error.
use serde::Deserialize;
use serde_json::Value;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The protocol period, in milliseconds, where the file sets none.
const DEFAULT_PROTOCOL_PERIOD_MS: u64 = 500;
/// What the protocol period may be, in milliseconds.
const PROTOCOL_PERIOD_MS: RangeInclusive<u64> = 20..=5000;
/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What can be wrong with the table; each message names the key and what may stand there.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key is missing, not known, or of another kind; the text of the deserializer names it.
    #[error("{0}")]
    Table(String),
    /// The name is empty, too long, or holds a character that names may not hold.
    #[error("expected 1 to 64 letters, digits, '.', '_' or '-' in 'name', found '{0}'")]
    Name(String),
    /// The address is not one that members can have.
    #[error("expected ip:port of 127.0.0.0/8 in '{key}', found '{found}'")]
    Address {
        /// The key.
        key: &'static str,
        /// What stands there.
        found: String,
    },
    /// The cluster's name, by which datagrams of other fleets are recognized, is empty.
    #[error("expected something in 'cluster'")]
    Cluster,
    /// The protocol period is out of its range.
    #[error("expected 20 to 5000 in 'rhythm_ms', found {0}")]
    ProtocolPeriod(u64),
    /// The smallest number of routers to count with is out of its range.
    #[error("expected 1 to 'mysql.routers' ({routers}) in 'least', found {found}")]
    MinCountedRouters {
        /// The highest that may stand there: the size of the whole fleet.
        routers: u32,
        /// What stands there.
        found: u32,
    },
}

/// How a router takes part in the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Its name; no two routers of the fleet share one at a time.
    pub name: String,
    /// Where it receives datagrams (UDP).
    pub listen: SocketAddrV4,
    /// The address that the others send to, where that is not `listen`.
    pub advertised_address: Option<SocketAddrV4>,
    /// Addresses of any routers of the fleet to join by; none for the first.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's name; not empty.
    pub cluster: String,
    /// The protocol period (20 ms to 5 s): one member is probed in each; every other time of membership is in proportion.
    pub protocol_period: Duration,
    /// Shares of the capacity are computed for at least this many routers, however few are alive.
    pub min_counted_routers: u32,
}

/// The table as it stands in the file, before it is checked. Messages of errors contain its name,
/// which therefore stays.
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

/// Reads the table. `routers` is the size of the whole fleet, as `mysql.routers` has it; `least` is half of it where it
/// is not set.
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
    if !PROTOCOL_PERIOD_MS.contains(&period_ms) {
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
