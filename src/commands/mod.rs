//! The sub-commands, one module each, and shared helper functions.
pub(crate) mod capture;
pub(crate) mod check;
pub mod ctl;
mod error;
pub mod fleet;
mod members;
pub(crate) mod platform;
pub(crate) mod registry;
pub mod serve;
pub(crate) mod sessions;

pub(crate) use error::Error;

use settings::operator::OperatorConfig;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// Reads a text file.
fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadFile { path: path.into(), source })
}

/// Reads and validates an operator's file.
fn read_operator_file(path: &Path) -> Result<OperatorConfig, Error> {
    let text = read_file(path)?;
    settings::operator::read(&text).map_err(|source| Error::Settings { path: path.into(), source })
}

/// Binds the client listener to the configured `address` and logs the bound address with the listener's
/// `name`.
fn listen(name: &str, address: &str) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { key: "listen", addr: address.into(), source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    log_client_listener(name, listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Logs the address of the client listener. Tests and tools that start a router read the address from this
/// line.
fn log_client_listener(name: &str, address: SocketAddr) {
    tracing::info!(name, addr = %address, "client listener bound");
}
