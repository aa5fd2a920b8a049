//! Reload of the platform's configuration: which changes take effect while the program runs, and which
//! require a restart.
use super::config::{PlatformConfig, read};
use crate::error::Error;
use crate::key_diff::changed_keys;
use std::net::SocketAddr;

/// The changes that a reloaded configuration makes while the program runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// The new address of discovery.
    pub discovery_address: SocketAddr,
    /// Changed keys that take effect only after a restart.
    pub keys_needing_restart: Vec<String>,
}

/// Parses a reloaded configuration and compares it with the one at the start. The address of discovery is
/// taken from the file: the environment variable that overrides it at the start is not read again.
///
/// # Errors
/// An [`Error`] that names the faulty key; the whole file is rejected.
pub fn reload(config: &str, start: &PlatformConfig) -> Result<Reload, Error> {
    let new = read(config, &|_| None)?;
    let restart = changed_keys(&start.parsed_file, &new.parsed_file, &["discovery", "known", "seed"]);
    Ok(Reload { discovery_address: new.discovery_address, keys_needing_restart: restart })
}
