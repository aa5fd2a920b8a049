//! Tests the configuration files of routers and store nodes, and the fleet document before and after faults
//! change it.
use multiprocess::history::{AllowedSites, QuotaLimit, Server};
use multiprocess::plan;
use multiprocess::run::fleet_document::{FleetDocument, Quota, TenantConfig};
use multiprocess::run::operator_file::{ConfigFile, FleetTable, StoreTable};
use multiprocess::servers::ListeningServer;
use std::net::SocketAddr;

const EVERY_KEY: &str = include_str!("fixtures/every_key.toml");
const NODE: &str = include_str!("fixtures/node.toml");
const ROUTER: &str = include_str!("fixtures/router.toml");
const ROUTER_WITHOUT_FLEET: &str = include_str!("fixtures/router_without_fleet.toml");
const DOCUMENT: &str = include_str!("fixtures/fleet_document.toml");
const DOCUMENT_AFTER_QUOTA: &str = include_str!("fixtures/fleet_document_quota.toml");
const DOCUMENT_AFTER_PLACEMENT: &str = include_str!("fixtures/fleet_document_placement.toml");

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn server(name: &str, site: &str, group: u32, port: u16) -> ListeningServer {
    let primary = name.ends_with("primary");
    let server = Server { name: name.into(), site: site.into(), group, primary };
    ListeningServer { server, address: address(port) }
}

fn servers() -> Vec<ListeningServer> {
    vec![
        server("g0-primary", "hall-a", 0, 1001),
        server("g0-replica-1", "hall-a", 0, 1002),
        server("g0-replica-2", "hall-b", 0, 1003),
        server("g1-primary", "hall-b", 1, 1004),
    ]
}

fn fleet(name: &str, slot: Option<usize>, listen: Option<SocketAddr>) -> FleetTable {
    FleetTable {
        name: name.into(),
        slot,
        nodes: [1006, 1010, 1011].map(address).to_vec(),
        allocators: [1012, 1013, 1014].map(address).to_vec(),
        listen,
    }
}

#[test]
fn store_node_file_matches_fixture() {
    let store = StoreTable {
        node: 1,
        folder: "/data/store-0".into(),
        control: address(1005),
        clients: address(1006),
        peers: [1007, 1008, 1009].map(address).to_vec(),
    };
    let file = ConfigFile {
        routers: 20,
        with_sites: true,
        servers: servers(),
        store: Some(store),
        fleet: Some(fleet("node-1", None, Some(address(1012)))),
    };
    assert_eq!(file.to_string(), NODE);
}

#[test]
fn router_file_with_fleet_matches_fixture() {
    let fleet = Some(fleet("router-19", Some(20), None));
    let file = ConfigFile { routers: 20, with_sites: true, servers: servers(), store: None, fleet };
    assert_eq!(file.to_string(), ROUTER);
}

#[test]
fn router_file_without_fleet_lists_no_sites() {
    let servers = vec![server("g0-primary", "a", 0, 1001)];
    let file = ConfigFile { routers: 2, with_sites: false, servers, store: None, fleet: None };
    assert_eq!(file.to_string(), ROUTER_WITHOUT_FLEET);
}

#[test]
fn fleet_document_matches_fixtures_after_each_change() {
    let mut document = FleetDocument::new(&plan::read(EVERY_KEY).unwrap());
    assert_eq!(document.to_string(), DOCUMENT);
    document.set_quota("tills", Quota { rate: 20.0, burst: 5 });
    assert_eq!(document.to_string(), DOCUMENT_AFTER_QUOTA);
    document.set_placement("books", &["hall-a".into(), "hall-b".into()], false);
    assert_eq!(document.to_string(), DOCUMENT_AFTER_PLACEMENT);
}

#[test]
fn limits_for_the_checker_match_the_fleet_document() {
    let mut document = FleetDocument::new(&plan::read(EVERY_KEY).unwrap());
    let limits: Vec<_> = document.tenants().iter().map(TenantConfig::quota_limit).collect();
    assert_eq!(limits, [None, Some(QuotaLimit { rate: 40.5, burst: 110.0 }), None]);
    let reads = Some(["hall-a".to_string()].into());
    assert_eq!(document.tenants()[2].allowed_sites(), AllowedSites { reads, writes: None });
    assert_eq!(document.tenants()[0].allowed_sites(), AllowedSites::default());
    // A rule that only prefers sites allows all sites.
    document.set_placement("books", &["hall-a".into()], false);
    assert_eq!(document.tenants()[2].allowed_sites(), AllowedSites::default());
}
