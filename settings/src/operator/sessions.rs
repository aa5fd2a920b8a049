//! The table `[sessions]`: session commits that are retained across restarts and shared between router
//! instances.
use super::table::{
    check_keys, loopback_address, optional, owned_string, positive_number, read_peer, read_tables, value_or,
};
use crate::error::Error;
use crate::fields::unsigned_integer;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The default lease duration, in milliseconds.
const DEFAULT_LEASE_MS: f64 = 300.0;
/// The accepted range of the lease duration, in milliseconds.
const LEASE_RANGE_MS: RangeInclusive<f64> = 50.0..=5000.0;
/// The default number of sessions that are tracked individually.
const DEFAULT_MAX_SESSIONS: u64 = 1_000_000;
/// The accepted range of the number of sessions that are tracked individually.
const MAX_SESSIONS_RANGE: RangeInclusive<usize> = 1..=100_000_000;

/// Settings for retaining session commits across restarts and sharing them between router instances.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionsConfig {
    /// The number of this router instance.
    pub instance: u64,
    /// The name of the cluster of router instances, the same at all of them.
    pub cluster: String,
    /// The address at which this instance receives session commits from its peers.
    pub listen: SocketAddr,
    /// The addresses of the other router instances, by instance number.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Folder of the session journal; `None` to write nothing to disk.
    pub journal_folder: Option<String>,
    /// The number of sessions that are tracked individually.
    pub max_sessions: usize,
    /// How long an instance treats a peer's commits as complete without receiving anything from that peer.
    pub lease: Duration,
    /// Whether a registry may change the addresses of peers: a refused connection then does not prove that a
    /// peer is down.
    pub peer_addresses_may_change: bool,
    /// After a start without a journal, serve reads without the session commits from before the start. This
    /// can return stale data and is only meant for measuring the cost of the safe default.
    pub trust_after_start: bool,
}

pub(super) fn read_sessions(v: &Value) -> Result<SessionsConfig, Error> {
    check_keys(
        v,
        &["instance", "cluster", "listen", "folder", "remembered", "lease_ms", "after_start", "peer"],
    )?;
    let instance = unsigned_integer(v, "instance")?;
    let peers = read_peers(v, instance)?;
    let journal_folder = optional(v, "folder", owned_string)?;
    let lease = read_lease(v)?;
    let max_sessions = value_or(v, "remembered", DEFAULT_MAX_SESSIONS, unsigned_integer)? as usize;
    if !MAX_SESSIONS_RANGE.contains(&max_sessions) {
        let expected = format!("{} to {}", MAX_SESSIONS_RANGE.start(), MAX_SESSIONS_RANGE.end());
        return Err(Error::invalid_value("remembered", expected, max_sessions));
    }
    let trust_after_start = read_trust_after_start(v, journal_folder.as_deref())?;
    Ok(SessionsConfig {
        instance,
        cluster: value_or(v, "cluster", "damsonvale".to_string(), owned_string)?,
        listen: loopback_address(v, "listen")?,
        peers,
        journal_folder,
        max_sessions,
        lease,
        peer_addresses_may_change: false,
        trust_after_start,
    })
}

fn read_peers(v: &Value, own_instance: u64) -> Result<BTreeMap<u64, SocketAddr>, Error> {
    let listed = read_tables(v, "peer", |p| read_peer(p, "instance"))?;
    let mut peers: BTreeMap<u64, SocketAddr> = listed.iter().copied().collect();
    if peers.len() < listed.len() {
        return Err(Error::invalid("each 'peer' once", "an instance twice"));
    }
    // The list may include this instance, so that all instances can use the same one.
    peers.remove(&own_instance);
    Ok(peers)
}

fn read_lease(v: &Value) -> Result<Duration, Error> {
    let lease_ms = value_or(v, "lease_ms", DEFAULT_LEASE_MS, positive_number)?;
    if !LEASE_RANGE_MS.contains(&lease_ms) {
        let expected = format!("{} to {}", LEASE_RANGE_MS.start(), LEASE_RANGE_MS.end());
        return Err(Error::invalid_value("lease_ms", expected, lease_ms));
    }
    Ok(Duration::from_secs_f64(lease_ms / 1000.0))
}

/// Reads whether reads after a start are served without the session commits from before it. This is rejected
/// together with a journal folder, since a journal restores those commits.
fn read_trust_after_start(v: &Value, folder: Option<&str>) -> Result<bool, Error> {
    let after_start = value_or(v, "after_start", "floor".to_string(), owned_string)?;
    match (after_start.as_str(), folder) {
        ("floor", _) => Ok(false),
        ("trust", None) => Ok(true),
        ("trust", Some(folder)) => {
            Err(Error::invalid("no 'folder' beside after_start = \"trust\"", format_args!("'{folder}'")))
        }
        (x, _) => Err(Error::invalid_value("after_start", "floor or trust", format_args!("'{x}'"))),
    }
}
