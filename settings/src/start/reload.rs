//! What a later file may change while the program runs, and which of its keys need a restart.
use super::config::{PlatformConfig, read};
use crate::error::Error;
use crate::key_diff::changed_keys;
use std::net::SocketAddr;

/// What a configuration file that is read while the program runs changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Where discovery answers from now on.
    pub discovery_address: SocketAddr,
    /// Keys that differ and take effect only at a restart.
    pub keys_needing_restart: Vec<String>,
}

/// Reads the text of a later file and compares it with the configuration of the start. The address of discovery is that
/// of the file: the environment variable that overrides it at the start is not read again.
///
/// # Errors
/// An [`Error`] that names the faulty key; nothing of the file is used then.
pub fn reload(config: &str, start: &PlatformConfig) -> Result<Reload, Error> {
    let new = read(config, &|_| None)?;
    let restart = changed_keys(&start.parsed_file, &new.parsed_file, &["discovery", "known", "seed"]);
    Ok(Reload { discovery_address: new.discovery_address, keys_needing_restart: restart })
}
