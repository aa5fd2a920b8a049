//! The sub-command `check`: validates an operator's file as `serve` does, and prints a summary of its
//! settings.
use super::Error;
use settings::operator::{OperatorConfig, SessionsConfig};
use std::path::Path;

/// Validates an operator's file and the fleet document that it names, and prints a summary.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let operator = super::read_operator_file(path)?;
    println!("{}: can be used", path.display());
    print_mysql(&operator);
    println!("store: node {} of {}", operator.store.node_id, operator.store.node_addresses.len());
    if let Some(registry) = &operator.registry {
        let (kind, members) = (registry.kind, registry.endpoints.len());
        println!("registry: {kind:?} at {members} addresses, {}", registry.prefix);
    }
    check_fleet(&operator)?;
    if let Some(members) = &operator.members {
        println!(
            "members: '{}' of '{}', takes at most 1/{} of the room",
            members.name, members.cluster, members.min_counted_routers
        );
    }
    print_sessions(operator.sessions.as_ref());
    Ok(())
}

fn print_mysql(operator: &OperatorConfig) {
    let mysql = &operator.mysql;
    println!(
        "mysql: {} with {} servers, {} classes, {} rules, {} users",
        mysql.listen,
        mysql.servers.len(),
        mysql.class_names.len(),
        mysql.rules.len(),
        mysql.users.len()
    );
    println!(
        "limits: {} client connections, {} to servers",
        operator.limits.max_client_connections, operator.limits.max_backend_connections
    );
}

/// Validates the fleet document that the operator's file names, and prints the router's name in the fleet and
/// the number of store and allocator addresses.
fn check_fleet(operator: &OperatorConfig) -> Result<(), Error> {
    let Some(fleet) = &operator.fleet else { return Ok(()) };
    if let Some(document) = &fleet.seed_document_path {
        let text = super::read_file(Path::new(document))?;
        settings::fleet::read(&text, Some(&operator.mysql.class_names))
            .map_err(|source| Error::FleetFile { path: document.into(), source })?;
    }
    println!(
        "fleet: router {}, {} nodes, {} allocators",
        fleet.name,
        fleet.store_addresses.len(),
        fleet.allocator_addresses.len()
    );
    Ok(())
}

fn print_sessions(sessions: Option<&SessionsConfig>) {
    let Some(sessions) = sessions else {
        println!("sessions: remembered by this process alone");
        return;
    };
    let storage = match &sessions.journal_folder {
        None => "nothing on disk".to_string(),
        Some(folder) => format!("kept in {folder}"),
    };
    println!("sessions: instance {} with {} peers, {storage}", sessions.instance, sessions.peers.len());
}
