//! The table `[sessions]`: session commits that outlive a restart and are shared between router instances.
use super::table::{each, loopback, only, optional, or, owned, peer, positive};
use crate::error::Error;
use crate::fields::unsigned_integer;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The lease, in milliseconds, where the file sets none.
const DEFAULT_LEASE_MS: f64 = 300.0;
/// What the lease may be, in milliseconds.
const LEASE_MS: RangeInclusive<f64> = 50.0..=5000.0;
/// How many sessions are remembered where the file does not say.
const DEFAULT_MAX_SESSIONS: u64 = 1_000_000;
/// How many sessions may be remembered.
const MAX_SESSIONS_RANGE: RangeInclusive<usize> = 1..=100_000_000;

/// Sessions that live on across restarts and instances.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionsConfig {
    /// This instance's number.
    pub instance: u64,
    /// The cluster's name, the same at all its instances.
    pub cluster: String,
    /// Where peers send their commits.
    pub listen: SocketAddr,
    /// The addresses of the other instances by number.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Folder of the journal; without it nothing is written to disk.
    pub journal_folder: Option<String>,
    /// How many sessions are remembered one by one.
    pub max_sessions: usize,
    /// How long one instance relies on a peer's commits without receiving anything from it.
    pub lease: Duration,
    /// A registry may give peers other addresses than the file: a refused connection is then no proof that a peer is
    /// down.
    pub peer_addresses_may_change: bool,
    /// After a start without a journal, reads are served without the commits of before. Only for measuring what the
    /// safe way costs.
    pub trust_after_start: bool,
}

pub(super) fn read_sessions(v: &Value) -> Result<SessionsConfig, Error> {
    only(v, &["instance", "cluster", "listen", "folder", "remembered", "lease_ms", "after_start", "peer"])?;
    let instance = unsigned_integer(v, "instance")?;
    let peers = read_peers(v, instance)?;
    let journal_folder = optional(v, "folder", owned)?;
    let lease = read_lease(v)?;
    let max_sessions = or(v, "remembered", DEFAULT_MAX_SESSIONS, unsigned_integer)? as usize;
    if !MAX_SESSIONS_RANGE.contains(&max_sessions) {
        let expected = format!("{} to {}", MAX_SESSIONS_RANGE.start(), MAX_SESSIONS_RANGE.end());
        return Err(Error::invalid_value("remembered", expected, max_sessions));
    }
    let trust_after_start = read_trust_after_start(v, journal_folder.as_deref())?;
    Ok(SessionsConfig {
        instance,
        cluster: or(v, "cluster", "damsonvale".to_string(), owned)?,
        listen: loopback(v, "listen")?,
        peers,
        journal_folder,
        max_sessions,
        lease,
        peer_addresses_may_change: false,
        trust_after_start,
    })
}

fn read_peers(v: &Value, own_instance: u64) -> Result<BTreeMap<u64, SocketAddr>, Error> {
    let listed = each(v, "peer", |p| peer(p, "instance"))?;
    let mut peers: BTreeMap<u64, SocketAddr> = listed.iter().copied().collect();
    if peers.len() < listed.len() {
        return Err(Error::invalid("each 'peer' once", "an instance twice"));
    }
    // The same list may stand in the files of all instances.
    peers.remove(&own_instance);
    Ok(peers)
}

fn read_lease(v: &Value) -> Result<Duration, Error> {
    let lease_ms = or(v, "lease_ms", DEFAULT_LEASE_MS, positive)?;
    if !LEASE_MS.contains(&lease_ms) {
        let expected = format!("{} to {}", LEASE_MS.start(), LEASE_MS.end());
        return Err(Error::invalid_value("lease_ms", expected, lease_ms));
    }
    Ok(Duration::from_secs_f64(lease_ms / 1000.0))
}

/// Whether reads after a start are served without the commits of before; a journal would make that pointless.
fn read_trust_after_start(v: &Value, folder: Option<&str>) -> Result<bool, Error> {
    let after_start = or(v, "after_start", "floor".to_string(), owned)?;
    match (after_start.as_str(), folder) {
        ("floor", _) => Ok(false),
        ("trust", None) => Ok(true),
        ("trust", Some(folder)) => {
            Err(Error::invalid("no 'folder' beside after_start = \"trust\"", format_args!("'{folder}'")))
        }
        (x, _) => Err(Error::invalid_value("after_start", "floor or trust", format_args!("'{x}'"))),
    }
}
