//! The order of a graceful shutdown where this router is registered.
use crate::commands::Error;
use client_listener::ServerCommand;
use crossbeam_channel::{Receiver, bounded};
use registry::client::Client;
use std::sync::Arc;

/// Takes this router off the registry once the shutdown is ordered, while it still serves its last requests. Returns
/// the orders that the client listener is to follow instead of `shutdown_orders`.
pub(super) fn deregister_on_shutdown(
    client: Arc<Client>,
    shutdown_orders: Receiver<ServerCommand>,
    stack_bytes: usize,
) -> Result<Receiver<ServerCommand>, Error> {
    let (sender, forwarded_orders) = bounded(1);
    let forward = move || {
        // The listener's grace period begins before the lease is given up, which takes less time than that.
        if let Ok(order) = shutdown_orders.recv() {
            _ = sender.send(order);
        }
        client.stop();
    };
    routing::spawn_needed("leaving", stack_bytes, forward)
        .map_err(|source| Error::Thread { what: "leaving", source })?;
    Ok(forwarded_orders)
}
