//! Starts this router's node of the store and its listeners.
use super::{Environment, bind, endpoints};
use crate::commands::Error;
use ::store::Store;
use routing::EndpointsHandle;

/// Starts this router's node of the store. Without a registry, the servers in the store are the endpoint
/// list.
pub(super) fn start(environment: &Environment, list: &EndpointsHandle) -> Result<Store, Error> {
    let operator = &environment.operator;
    let node = operator.store.clone();
    let settings = ::store::Settings {
        node: node.node_id,
        peers: node.node_addresses,
        folder: node.log_folder.map(Into::into),
        seeds: environment.mysql.servers.iter().map(endpoints::server_document).collect(),
        ..::store::Settings::default()
    };
    // If a registry is configured, it is the only source of the endpoint list.
    let list = operator.registry.is_none().then(|| list.clone());
    let own_site = operator.mysql.site.clone();
    let store = ::store::start(settings, move |state| {
        if let Some(list) = &list {
            list.notify(endpoints::endpoint_update(state, own_site.as_deref()));
        }
    })?;
    Ok(store)
}

/// Starts the listeners for store clients and for `ctl` commands, each if its address is configured.
pub(super) fn listen(node: &settings::operator::StoreConfig, store: &Store) -> Result<(), Error> {
    if let Some(address) = node.client_address {
        let (listener, address) = bind("store.clients", address)?;
        ::store::server::listen(listener, store.clone(), ::store::server::Limits::default())?;
        tracing::info!(addr = %address, "store listener bound");
    }
    if let Some(address) = &node.control_address {
        let (listener, address) = bind("store.control", address)?;
        ::store::control::listen(listener, store.clone())
            .map_err(|source| Error::Thread { purpose: "store.control", source })?;
        tracing::info!(addr = %address, "store control listener bound");
    }
    Ok(())
}
