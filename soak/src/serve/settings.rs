//! The configuration files of the routers in a run of `serve`.
use crate::router::{AddressBlock, free_addresses};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The number of store nodes; the first routers of a run are the nodes.
pub const STORE_NODES: usize = 3;

/// The `MySQL` user of the clients.
pub(super) const CLIENT_USER: &str = "till";
/// The password of [`CLIENT_USER`].
pub(super) const CLIENT_PASSWORD: &str = "secret";
/// The database that the clients use.
pub(super) const DATABASE: &str = "shop";
/// The request class of the sessions' reads.
pub(super) const READ_CLASS: &str = "basket-read";
/// The request class of the sessions' writes.
pub(super) const WRITE_CLASS: &str = "basket-add";

/// The listen addresses of a run, by router or by store node.
pub struct Addresses {
    /// The routers' addresses for clients.
    pub clients: Vec<SocketAddr>,
    /// The store nodes' addresses for the operators' commands.
    pub control_addresses: Vec<SocketAddr>,
    /// The addresses where peers replicate sessions.
    pub sessions: Vec<SocketAddr>,
    /// The addresses of the members' gossip.
    pub members: Vec<SocketAddr>,
    /// The addresses where the store nodes connect to each other.
    pub store_peers: Vec<SocketAddr>,
    /// The addresses where the store's clients connect.
    pub store_clients: Vec<SocketAddr>,
}

impl Addresses {
    /// Returns free addresses, on loopback addresses that no other run uses.
    ///
    /// # Errors
    /// No port is available.
    pub fn allocate(routers: usize) -> io::Result<Addresses> {
        Ok(Addresses {
            clients: free_addresses(AddressBlock(11), routers)?,
            control_addresses: free_addresses(AddressBlock(12), routers)?,
            sessions: free_addresses(AddressBlock(13), routers)?,
            members: free_addresses(AddressBlock(14), routers)?,
            store_peers: free_addresses(AddressBlock(15), STORE_NODES)?,
            store_clients: free_addresses(AddressBlock(16), STORE_NODES)?,
        })
    }
}

/// A server in a router's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedServer {
    /// The id of the server in the configuration.
    pub id: String,
    /// The address of the router's proxy in front of the server.
    pub address: SocketAddr,
}

/// Returns the configuration of one router.
pub fn config_text(router: usize, addresses: &Addresses, servers: &[NamedServer], folder: &Path) -> String {
    let mut text = mysql_section(addresses.clients[router], addresses.clients.len(), servers);
    text += &sessions_section(router, addresses, folder);
    text += &members_section(router, addresses);
    if router < STORE_NODES {
        text += &store_section(router, addresses, folder);
    }
    text
}

/// Returns a router's number as a session peer and as a store node; these numbers start at 1.
fn instance_number(router: usize) -> usize {
    router + 1
}

fn mysql_section(listen: SocketAddr, routers: usize, servers: &[NamedServer]) -> String {
    let mut text = format!(
        "[mysql]\nlisten = '{listen}'\ndatabase = '{DATABASE}'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
         server_clock = true\nclock_skew_ms = 1\nrouters = {routers}\n\
         [[mysql.user]]\nname = '{CLIENT_USER}'\npassword = '{CLIENT_PASSWORD}'\n"
    );
    text += &class_section(READ_CLASS, "session", "safe");
    text += &class_section(WRITE_CLASS, "write", "unsafe");
    for NamedServer { id, address } in servers {
        _ = write!(text, "[[mysql.server]]\nid = '{id}'\naddr = '{address}'\n");
    }
    text
}

fn class_section(name: &str, freshness: &str, effect: &str) -> String {
    format!(
        "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 1000\n\
         deadline_ms = 3000\n"
    )
}

fn sessions_section(router: usize, addresses: &Addresses, folder: &Path) -> String {
    let mut text = format!(
        "[sessions]\ninstance = {}\nlisten = '{}'\nfolder = '{}'\n",
        instance_number(router),
        addresses.sessions[router],
        folder.join(format!("sessions-{router}")).display()
    );
    for (peer, address) in addresses.sessions.iter().enumerate() {
        _ = write!(text, "[[sessions.peer]]\ninstance = {}\naddr = '{address}'\n", instance_number(peer));
    }
    text
}

fn members_section(router: usize, addresses: &Addresses) -> String {
    let (listen, seed) = (addresses.members[router], addresses.members[0]);
    format!("[members]\nname = 'r{router}'\nlisten = '{listen}'\nseeds = ['{seed}']\ncluster = 'soak'\n")
}

fn store_section(router: usize, addresses: &Addresses, folder: &Path) -> String {
    let mut text = format!(
        "[store]\nnode = {}\nfolder = '{}'\ncontrol = '{}'\nclients = '{}'\n",
        instance_number(router),
        folder.join(format!("store-{router}")).display(),
        addresses.control_addresses[router],
        addresses.store_clients[router]
    );
    for (peer, address) in addresses.store_peers.iter().enumerate() {
        _ = write!(text, "[[store.peer]]\nnode = {}\naddr = '{address}'\n", instance_number(peer));
    }
    text
}
