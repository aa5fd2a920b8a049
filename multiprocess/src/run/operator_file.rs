//! The operators' files of routers and store nodes.
use crate::plan::{READ_CLASS, WRITE_CLASS};
use crate::servers::ListeningServer;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An operator's file; printed, it is TOML.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// How many routers there are.
    pub routers: usize,
    /// Whether servers are listed with their sites: a router without placement knows no sites.
    pub with_sites: bool,
    /// The servers.
    pub servers: Vec<ListeningServer>,
    /// The table of a store node.
    pub store: Option<StoreTable>,
    /// The table of a member of a fleet.
    pub fleet: Option<FleetTable>,
}

/// The table of a store node.
#[derive(Clone, Debug)]
pub struct StoreTable {
    /// The node's number, from 1.
    pub node: usize,
    /// Where it has its data.
    pub folder: PathBuf,
    /// Where it answers commands.
    pub control: SocketAddr,
    /// Where it answers clients.
    pub clients: SocketAddr,
    /// Where the nodes answer each other, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
}

/// The table of a member of a fleet.
#[derive(Clone, Debug)]
pub struct FleetTable {
    /// The member's name.
    pub name: String,
    /// A router's slot, from 1; a store node has none.
    pub slot: Option<usize>,
    /// Where the store's nodes answer clients.
    pub nodes: Vec<SocketAddr>,
    /// Where the store's nodes answer routers.
    pub allocators: Vec<SocketAddr>,
    /// Where this store node answers routers; a router has none.
    pub listen: Option<SocketAddr>,
}

impl fmt::Display for OperatorFile {
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

/// Values as an array of TOML strings.
pub(super) fn toml_array<T: fmt::Display>(values: &[T]) -> String {
    let quoted: Vec<String> = values.iter().map(|value| format!("'{value}'")).collect();
    format!("[{}]", quoted.join(", "))
}
