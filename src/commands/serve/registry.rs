//! Starts the registry client, which watches the server list and registers this router.
use super::Environment;
use super::configuration::LiveConfiguration;
use crate::commands::Error;
use ::registry::client::{Client, Router};
use routing::{EndpointsHandle, RespondedEndpoints};
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts the client of the configured registry and registers this router, which serves clients at `address`.
/// Returns `None` if no registry is configured.
pub(super) fn start(
    environment: &Environment,
    address: SocketAddr,
    endpoints: EndpointsHandle,
    responded: Option<Arc<RespondedEndpoints>>,
    observer: Arc<LiveConfiguration>,
) -> Result<Option<Arc<Client>>, Error> {
    let operator = &environment.operator;
    let Some((settings, responded)) = operator.registry.clone().zip(responded) else { return Ok(None) };
    let clock = environment.clock;
    let client = Client::start(settings, &environment.limits, clock, endpoints, responded, observer)?;
    // A node of the store with port 0 is not registered, since the port that the system chose is not known
    // here.
    let store = operator.store.node_addresses.get(&operator.store.node_id).filter(|a| a.port() != 0);
    client.register(Router {
        addr: address,
        sessions: operator.sessions.as_ref().map(|s| (s.instance, s.listen)),
        store: store.map(|address| (operator.store.node_id, *address)),
        incarnation: clock.now().0 as u64,
    })?;
    Ok(Some(client))
}
