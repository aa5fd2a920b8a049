//! Network paths from routers to servers and to the store; those that a fault of the plan affects go through
//! fault-injecting proxies.
use super::store_cluster::StoreAddresses;
use crate::plan::{FaultKind, LinkDirection, Plan};
use crate::servers::{ListeningServer, Servers};
use std::net::SocketAddr;
use std::time::Duration;
use test_servers::proxy::Proxy;

/// The proxies between a router and the store's nodes.
struct StoreLinks {
    clients: Vec<Proxy>,
    allocators: Vec<Proxy>,
}

impl StoreLinks {
    fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.clients.iter().chain(&self.allocators)
    }
}

/// The proxy between a router and a server.
struct ServerLink {
    site: String,
    proxy: Proxy,
}

/// The proxies of all routers that link faults of the plan affect; these are the first routers.
#[derive(Default)]
pub(super) struct Links {
    to_servers: Vec<Vec<ServerLink>>,
    to_store: Vec<StoreLinks>,
}

impl Links {
    /// Starts the proxies that the plan's faults need.
    pub(super) fn start(plan: &Plan, servers: &Servers, store: &StoreAddresses) -> Links {
        let kinds = || plan.faults.iter().map(|fault| &fault.kind);
        let server_count = kinds().map(FaultKind::routers_with_server_proxies).max().unwrap_or(0);
        // With a fleet document, the first router always has proxies to the store, which count its traffic.
        let min_store_count = usize::from(plan.follows_fleet);
        let store_count =
            kinds().map(FaultKind::routers_with_store_proxies).max().unwrap_or(0).max(min_store_count);
        let server_links = |_| servers.listening.iter().map(ServerLink::start).collect();
        let store_links = |_| StoreLinks {
            clients: start_proxies(&store.clients),
            allocators: start_proxies(&store.allocators),
        };
        Links {
            to_servers: (0..server_count).map(server_links).collect(),
            to_store: (0..store_count).map(store_links).collect(),
        }
    }

    /// Returns the servers with the addresses at which a router reaches them.
    pub(super) fn servers_of(&self, router: usize, servers: &Servers) -> Vec<ListeningServer> {
        let mut listed = servers.listening.clone();
        if let Some(links) = self.to_servers.get(router) {
            listed.iter_mut().zip(links).for_each(|(server, link)| server.address = link.proxy.addr);
        }
        listed
    }

    /// Returns the store's addresses as a router reaches them.
    pub(super) fn store_of(&self, router: usize, store: &StoreAddresses) -> StoreAddresses {
        let mut addresses = store.clone();
        if let Some(links) = self.to_store.get(router) {
            addresses.clients = proxy_addresses(&links.clients);
            addresses.allocators = proxy_addresses(&links.allocators);
        }
        addresses
    }

    /// Blocks traffic between the first `routers` routers and the store.
    pub(super) fn cut_store(&self, routers: usize, direction: LinkDirection) {
        self.store_proxies(routers).for_each(|proxy| cut(proxy, direction));
    }

    /// Blocks traffic between the first `routers` routers and a site's servers.
    pub(super) fn cut_servers(&self, routers: usize, site: &str, direction: LinkDirection) {
        self.server_proxies(routers, site).for_each(|proxy| cut(proxy, direction));
    }

    /// Delays traffic between the first `routers` routers and a site's servers.
    pub(super) fn delay_servers(&self, routers: usize, site: &str, delay: Duration) {
        self.server_proxies(routers, site)
            .for_each(|proxy| proxy.update_faults(|faults| faults.delay = delay));
    }

    /// Resets the connections between the first `routers` routers and a site's servers.
    pub(super) fn reset_servers(&self, routers: usize, site: &str) {
        self.server_proxies(routers, site).for_each(Proxy::reset);
    }

    /// Removes all faults between the first `routers` routers and the store.
    pub(super) fn heal_store(&self, routers: usize) {
        self.store_proxies(routers).for_each(Proxy::heal);
    }

    /// Removes all faults between the first `routers` routers and a site's servers.
    pub(super) fn heal_servers(&self, routers: usize, site: &str) {
        self.server_proxies(routers, site).for_each(Proxy::heal);
    }

    /// Returns the number of bytes forwarded between the first router and the store, in both directions.
    pub(super) fn store_bytes(&self) -> u64 {
        self.store_proxies(1).map(Proxy::bytes_forwarded).sum()
    }

    fn store_proxies(&self, routers: usize) -> impl Iterator<Item = &Proxy> {
        self.to_store.iter().take(routers).flat_map(StoreLinks::proxies)
    }

    fn server_proxies(&self, routers: usize, site: &str) -> impl Iterator<Item = &Proxy> {
        let links = self.to_servers.iter().take(routers).flatten();
        links.filter(move |link| link.site == site).map(|link| &link.proxy)
    }
}

impl ServerLink {
    fn start(listening: &ListeningServer) -> ServerLink {
        ServerLink { site: listening.server.site.clone(), proxy: Proxy::start(listening.address) }
    }
}

fn start_proxies(targets: &[SocketAddr]) -> Vec<Proxy> {
    targets.iter().map(|target| Proxy::start(*target)).collect()
}

fn proxy_addresses(proxies: &[Proxy]) -> Vec<SocketAddr> {
    proxies.iter().map(|proxy| proxy.addr).collect()
}

fn cut(proxy: &Proxy, direction: LinkDirection) {
    proxy.update_faults(|faults| match direction {
        LinkDirection::Both => faults.cut = true,
        LinkDirection::ToTarget => faults.drop_to_target = true,
        LinkDirection::FromTarget => faults.drop_from_target = true,
    });
}
