//! `check`: reads an operator's file as `serve` would, and prints a summary of what it sets up.
use super::Error;
use settings::operator::{Operator, Sessions};
use std::path::Path;

/// Checks a file.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let operator = super::read_operator_file(path)?;
    println!("{}: can be used", path.display());
    print_mysql(&operator);
    println!("store: node {} of {}", operator.store.node, operator.store.peers.len());
    if let Some(registry) = &operator.registry {
        let (kind, members) = (registry.kind, registry.endpoints.len());
        println!("registry: {kind:?} at {members} addresses, {}", registry.prefix);
    }
    check_fleet(&operator)?;
    if let Some(members) = &operator.members {
        println!(
            "members: '{}' of '{}', takes at most 1/{} of the room",
            members.name, members.cluster, members.least
        );
    }
    print_sessions(operator.sessions.as_ref());
    Ok(())
}

fn print_mysql(operator: &Operator) {
    let mysql = &operator.mysql;
    println!(
        "mysql: {} with {} servers, {} classes, {} rules, {} users",
        mysql.listen,
        mysql.servers.len(),
        mysql.classes.len(),
        mysql.rules.len(),
        mysql.users.len()
    );
    println!(
        "limits: {} client connections, {} to servers",
        operator.limits.client_connections, operator.limits.link_connections
    );
}

/// Checks the fleet document that the file names, and prints how the router belongs to the fleet.
fn check_fleet(operator: &Operator) -> Result<(), Error> {
    let Some(fleet) = &operator.fleet else { return Ok(()) };
    if let Some(document) = &fleet.seed {
        let text = super::read_file(Path::new(document))?;
        settings::fleet::read(&text, Some(&operator.mysql.classes))
            .map_err(|source| Error::FleetFile { path: document.into(), source })?;
    }
    println!(
        "fleet: router {}, {} nodes, {} allocators",
        fleet.name,
        fleet.nodes.len(),
        fleet.allocators.len()
    );
    Ok(())
}

fn print_sessions(sessions: Option<&Sessions>) {
    let Some(sessions) = sessions else {
        println!("sessions: remembered by this process alone");
        return;
    };
    let storage = match &sessions.folder {
        None => "nothing on disk".to_string(),
        Some(folder) => format!("kept in {folder}"),
    };
    println!("sessions: instance {} with {} peers, {storage}", sessions.instance, sessions.peers.len());
}
