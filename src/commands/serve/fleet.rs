//! Connects a router to its fleet, from whose store it receives quotas and placement rules.
use super::{Core, Environment, bind};
use crate::commands::Error;
use ::fleet::FleetClient;
use settings::fleet::FleetMemberConfig;
use std::net::SocketAddr;
use std::path::Path;
use store::Store;

fn thread_error(source: std::io::Error) -> Error {
    Error::Thread { purpose: "fleet", source }
}

/// Joins the fleet. If configured, this node of the store also serves the fleet's routers, and an initial
/// fleet document is written to the store.
pub(super) fn join(
    member: &FleetMemberConfig,
    environment: &Environment,
    store: &Store,
    core: &Core,
) -> Result<FleetClient, Error> {
    let clock = environment.clock;
    let classes = &environment.mysql.class_names;
    let quotas = quotas::Settings::default();
    if let Some(address) = member.allocator_listen {
        serve_routers(member, address, environment, store, &quotas)?;
    }
    let random_seed = clock.now().0 as u64 ^ u64::from(std::process::id());
    if let Some(path) = &member.seed_document_path {
        seed_document(member, Path::new(path), classes, random_seed)?;
    }
    let settings = ::fleet::client::Settings {
        member: member.clone(),
        incarnation: clock.now().0 as u64,
        classes: classes.clone(),
        quotas,
        seed: random_seed,
    };
    let (handle, endpoints) = (core.handle.clone(), core.endpoints.clone());
    FleetClient::start(
        settings,
        clock,
        move |update| handle.update_placement(update),
        move || endpoints.version(),
    )
    .map_err(thread_error)
}

/// Starts to serve quota reports of the fleet's routers at `address`.
fn serve_routers(
    member: &FleetMemberConfig,
    address: SocketAddr,
    environment: &Environment,
    store: &Store,
    quotas: &quotas::Settings,
) -> Result<(), Error> {
    let clock = environment.clock;
    let (listener, address) = bind("fleet.listen", address)?;
    let random_seed = clock.now().0 as u64;
    let audit = member.audit.as_ref().map(|table| audit::Settings::new(table, quotas.ttl, random_seed));
    ::fleet::service::start(listener, store.clone(), clock, quotas.clone(), audit, Default::default())
        .map_err(thread_error)?;
    tracing::info!(addr = %address, "fleet listener bound");
    Ok(())
}

/// Validates a fleet document and starts to write it to the store, unless the store already has one.
fn seed_document(
    member: &FleetMemberConfig,
    path: &Path,
    classes: &[String],
    client_seed: u64,
) -> Result<(), Error> {
    let text = crate::commands::read_file(path)?;
    settings::fleet::read(&text, Some(classes))
        .map_err(|source| Error::FleetFile { path: path.into(), source })?;
    let settings = store::client::Settings::new(member.store_addresses.clone(), client_seed);
    ::fleet::document::start_seeding(store::client::Client::new(settings), text).map_err(thread_error)
}
