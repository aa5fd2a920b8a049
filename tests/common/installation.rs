//! What installations of one fleet have in common: the pieces of an operator's file, and a client.
use super::TIMEOUT;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use test_servers::replication_group::ReplicationGroup;

/// Addresses as a list of TOML has them.
pub(crate) fn toml_list(addrs: &[SocketAddr]) -> String {
    addrs.iter().map(|a| format!("'{a}'")).collect::<Vec<_>>().join(", ")
}

/// Addresses as commands take them.
pub(crate) fn comma_separated(addrs: &[SocketAddr]) -> String {
    addrs.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
}

/// The stand-in servers, with what `more` says of each.
pub(crate) fn server_tables(fleet: &ReplicationGroup, more: impl Fn(&str) -> String) -> String {
    let server = |(id, a): (String, _)| format!("[[mysql.server]]\nid = '{id}'\naddr = '{a}'\n{}", more(&id));
    fleet.servers().into_iter().map(server).collect()
}

/// Node `i` of a store whose nodes hear each other at `peers` and clients at `clients`.
pub(crate) fn store_table(i: usize, peers: &[SocketAddr], clients: &[SocketAddr]) -> String {
    let peer = |(n, a): (usize, &SocketAddr)| format!("[[store.peer]]\nnode = {}\naddr = '{a}'\n", n + 1);
    let peers: String = peers.iter().enumerate().map(peer).collect();
    format!("[store]\nnode = {}\nclients = '{}'\n{peers}", i + 1, clients[i])
}

/// A client of the user `till` at a router.
pub(crate) fn connect(addr: SocketAddr) -> Conn {
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let at = at.user(Some("till")).pass(Some("secret")).db_name(Some("shop"));
    Conn::new(at.read_timeout(Some(TIMEOUT))).unwrap()
}
