//! Parts of the configuration files that tests of a fleet share, and a client.
use super::TIMEOUT;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use test_servers::replication_group::ReplicationGroup;

/// Formats addresses as the elements of a TOML array.
pub(crate) fn toml_list(addrs: &[SocketAddr]) -> String {
    addrs.iter().map(|a| format!("'{a}'")).collect::<Vec<_>>().join(", ")
}

/// Formats addresses as the commands' `--store` argument.
pub(crate) fn comma_separated(addrs: &[SocketAddr]) -> String {
    addrs.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
}

/// The `[[mysql.server]]` tables of the stand-in servers; `more` returns further keys for a server's id.
pub(crate) fn server_tables(group: &ReplicationGroup, more: impl Fn(&str) -> String) -> String {
    let server = |(id, a): (String, _)| format!("[[mysql.server]]\nid = '{id}'\naddr = '{a}'\n{}", more(&id));
    group.servers().into_iter().map(server).collect()
}

/// The `[store]` table of node `i`; the store's nodes listen for each other at `peers` and for clients at
/// `clients`.
pub(crate) fn store_table(i: usize, peers: &[SocketAddr], clients: &[SocketAddr]) -> String {
    let peer = |(n, a): (usize, &SocketAddr)| format!("[[store.peer]]\nnode = {}\naddr = '{a}'\n", n + 1);
    let peers: String = peers.iter().enumerate().map(peer).collect();
    format!("[store]\nnode = {}\nclients = '{}'\n{peers}", i + 1, clients[i])
}

/// Connects to a router as the user `till`.
pub(crate) fn connect(addr: SocketAddr) -> Conn {
    let options =
        OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    let options = options.user(Some("till")).pass(Some("secret")).db_name(Some("shop"));
    Conn::new(options.read_timeout(Some(TIMEOUT))).unwrap()
}
