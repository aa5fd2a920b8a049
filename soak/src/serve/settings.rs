//! The operators' files of a run of `serve`.
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// Nodes of the store: the first routers.
pub const STORE_NODES: usize = 3;

/// Every address of a run, by router.
pub struct Addresses {
    /// Where clients connect.
    pub clients: Vec<SocketAddr>,
    /// Where operators' commands are taken.
    pub controls: Vec<SocketAddr>,
    /// Where peers exchange sessions.
    pub sessions: Vec<SocketAddr>,
    /// Where members gossip.
    pub members: Vec<SocketAddr>,
    /// Where the store's nodes talk to each other.
    pub store_peers: Vec<SocketAddr>,
    /// Where the store's clients connect.
    pub store_clients: Vec<SocketAddr>,
}

impl Addresses {
    /// Addresses that nobody else listens on: on loopback addresses of this run's own.
    ///
    /// # Errors
    /// Where no port can be had.
    pub fn free(routers: usize) -> io::Result<Addresses> {
        let id = std::process::id();
        let mut last = 10;
        let mut free = |count: usize| -> io::Result<Vec<SocketAddr>> {
            last += 1;
            let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, last];
            let bind = |_| TcpListener::bind(SocketAddr::from((ip, 0)));
            let held = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
            held.iter().map(TcpListener::local_addr).collect()
        };
        Ok(Addresses {
            clients: free(routers)?,
            controls: free(routers)?,
            sessions: free(routers)?,
            members: free(routers)?,
            store_peers: free(STORE_NODES)?,
            store_clients: free(STORE_NODES)?,
        })
    }
}

/// One router's file.
pub fn file(router: usize, addresses: &Addresses, servers: &[(String, SocketAddr)], folder: &Path) -> String {
    let number = router + 1;
    let routers = addresses.clients.len();
    let mut text = format!(
        "[mysql]\nlisten = '{}'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
         server_clock = true\nclock_skew_ms = 1\nrouters = {routers}\n\
         [[mysql.user]]\nname = 'till'\npassword = 'secret'\n",
        addresses.clients[router]
    );
    for (name, freshness, effect) in [("basket-read", "session", "safe"), ("basket-add", "write", "unsafe")] {
        _ = write!(
            text,
            "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 1000\n\
             deadline_ms = 3000\n"
        );
    }
    for (id, address) in servers {
        _ = write!(text, "[[mysql.server]]\nid = '{id}'\naddr = '{address}'\n");
    }
    _ = write!(
        text,
        "[sessions]\ninstance = {number}\nlisten = '{}'\nfolder = '{}'\n",
        addresses.sessions[router],
        folder.join(format!("sessions-{router}")).display()
    );
    for (peer, address) in addresses.sessions.iter().enumerate() {
        _ = write!(text, "[[sessions.peer]]\ninstance = {}\naddr = '{address}'\n", peer + 1);
    }
    _ = write!(
        text,
        "[members]\nname = 'r{router}'\nlisten = '{}'\nseeds = ['{}']\ncluster = 'soak'\n",
        addresses.members[router], addresses.members[0]
    );
    if router < STORE_NODES {
        _ = write!(
            text,
            "[store]\nnode = {number}\nfolder = '{}'\ncontrol = '{}'\nclients = '{}'\n",
            folder.join(format!("store-{router}")).display(),
            addresses.controls[router],
            addresses.store_clients[router]
        );
        for (peer, address) in addresses.store_peers.iter().enumerate() {
            _ = write!(text, "[[store.peer]]\nnode = {}\naddr = '{address}'\n", peer + 1);
        }
    }
    text
}
