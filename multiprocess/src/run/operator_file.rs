//! The configuration files of routers and store nodes.
use crate::plan::{READ_CLASS, WRITE_CLASS};
use crate::servers::ListeningServer;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration file of a router or a store node; `Display` writes it as TOML.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    /// Number of routers in the run.
    pub routers: usize,
    /// Whether servers are listed with their sites; a router without placement rules accepts no sites.
    pub with_sites: bool,
    /// Servers that the router uses, with their addresses.
    pub servers: Vec<ListeningServer>,
    /// The `[store]` table; `None` for a router.
    pub store: Option<StoreTable>,
    /// The `[fleet]` table; `None` without a fleet document.
    pub fleet: Option<FleetTable>,
}

/// The `[store]` table of a store node.
#[derive(Clone, Debug)]
pub struct StoreTable {
    /// Number of the node, from 1.
    pub node: usize,
    /// Folder of the node's data.
    pub folder: PathBuf,
    /// Address for operators' commands.
    pub control: SocketAddr,
    /// Address for clients of the store.
    pub clients: SocketAddr,
    /// Addresses for traffic between nodes, in the order of the nodes' numbers.
    pub peers: Vec<SocketAddr>,
}

/// The `[fleet]` table of a member.
#[derive(Clone, Debug)]
pub struct FleetTable {
    /// Name of the member.
    pub name: String,
    /// Slot of a router, from 1; `None` for a store node.
    pub slot: Option<usize>,
    /// Addresses at which the store's nodes accept clients.
    pub nodes: Vec<SocketAddr>,
    /// Addresses at which the store's nodes accept routers of the fleet.
    pub allocators: Vec<SocketAddr>,
    /// Address at which this store node accepts routers of the fleet; `None` for a router.
    pub listen: Option<SocketAddr>,
}

impl fmt::Display for ConfigFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             routers = {}\n[[mysql.user]]\nname = 'load'\npassword = ''\n",
            self.routers
        )?;
        write_class(f, READ_CLASS, "any", "safe")?;
        write_class(f, WRITE_CLASS, "write", "unsafe")?;
        self.servers.iter().try_for_each(|server| write_server(f, server, self.with_sites))?;
        self.store.iter().try_for_each(|table| write!(f, "{table}"))?;
        self.fleet.iter().try_for_each(|table| write!(f, "{table}"))
    }
}

fn write_class(f: &mut fmt::Formatter<'_>, name: &str, freshness: &str, effect: &str) -> fmt::Result {
    write!(
        f,
        "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 1000\n\
         deadline_ms = 2000\n"
    )
}

fn write_server(f: &mut fmt::Formatter<'_>, listening: &ListeningServer, with_site: bool) -> fmt::Result {
    let ListeningServer { server, address } = listening;
    write!(f, "[[mysql.server]]\nid = '{}'\naddr = '{address}'\ngroup = {}\n", server.name, server.group)?;
    if with_site {
        writeln!(f, "site = '{}'", server.site)?;
    }
    Ok(())
}

impl fmt::Display for StoreTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StoreTable { node, folder, control, clients, peers } = self;
        let folder = folder.display();
        write!(
            f,
            "[store]\nnode = {node}\nfolder = '{folder}'\ncontrol = '{control}'\nclients = '{clients}'\n"
        )?;
        for (number, peer) in (1..).zip(peers) {
            write!(f, "[[store.peer]]\nnode = {number}\naddr = '{peer}'\n")?;
        }
        Ok(())
    }
}

impl fmt::Display for FleetTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[fleet]\nname = '{}'", self.name)?;
        if let Some(slot) = self.slot {
            writeln!(f, "slot = {slot}")?;
        }
        writeln!(f, "nodes = {}", toml_array(&self.nodes))?;
        writeln!(f, "allocators = {}", toml_array(&self.allocators))?;
        if let Some(address) = self.listen {
            writeln!(f, "listen = '{address}'")?;
        }
        Ok(())
    }
}

/// Formats values as a TOML array of strings.
pub(super) fn toml_array<T: fmt::Display>(values: &[T]) -> String {
    let quoted: Vec<String> = values.iter().map(|value| format!("'{value}'")).collect();
    format!("[{}]", quoted.join(", "))
}
