//! The form in which the store holds servers, and the endpoint list that a router derives from it.
use crossbeam_channel::bounded;
use damsonvale::commands::serve::endpoints::{endpoint_entry, endpoint_update, server_document};
use routing::{EndpointEntry, GroupId, MemberState};
use settings::operator::Server;
use std::net::SocketAddr;

/// The stored entries after a first start with server `a` in site `north` and server `b` without a site: one
/// entry per line, as key, tab and document.
const STORED_SERVERS: &str = include_str!("fixtures/stored_servers.txt");

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn server_document_keeps_its_stored_form() {
    let servers = [
        Server { id: "a".into(), addr: loopback(9), group: 0, weight: 1.0, site: Some("north".into()) },
        Server { id: "b".into(), addr: loopback(10), group: 3, weight: 0.5, site: None },
    ];
    let lines: Vec<String> =
        servers.iter().map(server_document).map(|(key, document)| format!("{key}\t{document}")).collect();
    assert_eq!(lines, STORED_SERVERS.lines().collect::<Vec<_>>());
}

#[test]
fn stored_server_is_parsed_into_its_endpoint() {
    let entry = |line: &str| {
        let (key, document) = line.split_once('\t').expect("a key, a tab and a document");
        endpoint_entry(key, document, Some("north")).expect("a document that can be read")
    };
    let [near, far] = STORED_SERVERS.lines().map(entry).collect::<Vec<_>>().try_into().expect("two servers");
    assert_eq!((near.id.as_str(), near.addr, near.group), ("a", loopback(9), GroupId(0)));
    assert_eq!((near.site.as_deref(), near.zone, near.weight), (Some("north"), 0, 1.0));
    assert_eq!((far.id.as_str(), far.addr, far.group), ("b", loopback(10), GroupId(3)));
    assert_eq!((far.site.as_deref(), far.zone, far.weight), (None, 1, 0.5));
    for entry in [near, far] {
        assert_eq!((entry.state, entry.listed_primary), (MemberState::Ready, false));
    }
}

#[test]
fn servers_of_own_site_are_near_and_servers_without_site_are_far() {
    let stored_entry = |(id, site): (&str, &str)| {
        let text = format!(r#"{{"addr":"127.0.0.1:1","group":0,"weight":1{site},"state":"in_service"}}"#);
        (store::control::server_key(id), text)
    };
    let seeds =
        [("a", r#","site":"north""#), ("b", r#","site":"south""#), ("c", "")].map(stored_entry).to_vec();
    let (sender, states) = bounded(16);
    let peers = [(1, loopback(0))].into();
    let settings = store::Settings { node: 1, peers, seeds, ..store::Settings::default() };
    let store = store::start(settings, move |state| _ = sender.send(state.clone()));
    let store = store.unwrap_or_else(|e| panic!("store not started: {e}"));
    let listed = states.iter().find(|s| s.with_prefix("server/").count() == 3);
    let state = listed.unwrap_or_default();
    let zones = |own_site| {
        let site_and_zone = |e: EndpointEntry| (e.site.as_deref().map(str::to_string), e.zone);
        endpoint_update(&state, own_site).endpoints.into_iter().map(site_and_zone).collect::<Vec<_>>()
    };
    let (north, south) = (Some("north".to_string()), Some("south".to_string()));
    assert_eq!(zones(Some("north")), [(north.clone(), 0), (south.clone(), 1), (None, 1)]);
    assert_eq!(zones(None), [(north, 0), (south, 0), (None, 0)]);
    drop(store);
}
