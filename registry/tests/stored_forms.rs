//! Stored formats, compared byte for byte: the node list on disk, and this router's entry in the registry.
use registry::cache::{self, CachedList};
use registry::client::Router;
use testkit::fixture::Fixtures;

const FIXTURES: Fixtures = testkit::fixtures!();

fn list() -> CachedList {
    let node = br#"{"addr":"127.0.0.1:3311","state":"draining"}"#;
    CachedList {
        at: 1_764_656_000_123_456,
        revision: 70_000,
        items: vec![
            ("/damsonvale/nodes/a".into(), node.to_vec(), 3, 69_999),
            ("/damsonvale/nodes/b".into(), vec![0, 255, 128], 300, 300),
            ("/damsonvale/nodes/c".into(), Vec::new(), u64::MAX, 0),
        ],
    }
}

#[test]
fn node_list_on_disk_matches_the_fixture_byte_for_byte() {
    let folder = tempfile::tempdir().unwrap();
    cache::write(folder.path(), &list()).unwrap();
    let written = std::fs::read(folder.path().join("registry")).unwrap();
    FIXTURES.assert_same("node-list.bin", written);
    std::fs::write(folder.path().join("registry"), FIXTURES.bytes("node-list.bin")).unwrap();
    assert_eq!(cache::read(folder.path()).unwrap(), Some(list()));
}

#[test]
fn router_entry_matches_the_fixture_byte_for_byte() {
    let router = Router {
        addr: "127.0.0.1:3306".parse().unwrap(),
        sessions: Some((2, "127.0.0.1:7000".parse().unwrap())),
        store: Some((3, "[::1]:7100".parse().unwrap())),
        incarnation: 1_764_656_000_123_456,
    };
    // The entry is serialized as the client does it, with the keys in alphabetical order.
    let written = serde_json::json!(router).to_string();
    FIXTURES.assert_same("router-entry.json", written);
    let recorded = FIXTURES.text("router-entry.json");
    assert_eq!(serde_json::from_str::<Router>(&recorded).unwrap(), router);
    let without_store = r#"{"addr":"127.0.0.1:3306","sessions":null,"incarnation":7}"#;
    let router: Router = serde_json::from_str(without_store).unwrap();
    assert_eq!((router.sessions, router.store, router.incarnation), (None, None, 7));
}
