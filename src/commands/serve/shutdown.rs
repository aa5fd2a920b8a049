//! Graceful shutdown of a router that is registered in a registry.
use crate::commands::Error;
use client_listener::ServerCommand;
use crossbeam_channel::{Receiver, bounded};
use registry::client::Client;
use std::sync::Arc;

/// Removes this router from the registry after a shutdown command, while its last requests are still served.
/// Returns the command channel that the client listener has to use instead of `shutdown_commands`.
pub(super) fn deregister_on_shutdown(
    client: Arc<Client>,
    shutdown_commands: Receiver<ServerCommand>,
    stack_bytes: usize,
) -> Result<Receiver<ServerCommand>, Error> {
    let (sender, forwarded_commands) = bounded(1);
    let forward = move || {
        // The listener's grace period starts before the lease is revoked; revoking it takes less time than
        // that period.
        if let Ok(command) = shutdown_commands.recv() {
            _ = sender.send(command);
        }
        client.stop();
    };
    routing::spawn_needed("leaving", stack_bytes, forward)
        .map_err(|source| Error::Thread { purpose: "leaving", source })?;
    Ok(forwarded_commands)
}
