//! The fleet that is made of a registry's keys: cases one by one.
use decision::Time;
use registry::fleet::{Action, Event, Fleet, Level, Node, Settings, State};
use registry::machine::Item;

/// One second of the fleet's time, in microseconds.
const SECOND: i64 = 1_000_000;

fn fleet() -> Fleet {
    Fleet::new(Settings {
        allow: vec!["127.0.0.0/8".parse().unwrap()],
        deny: vec!["127.9.0.0/16".parse().unwrap()],
        max_fresh_age: 10 * SECOND,
        max_usable_age: Some(60 * SECOND),
        mass_removal_share: 0.5,
        mass_removal_window: 10 * SECOND,
        mass_removal_delay: 60 * SECOND,
    })
}

fn handle(f: &mut Fleet, at: i64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    f.handle(Time(at), event, &mut actions);
    actions
}

fn put(f: &mut Fleet, at: i64, name: &str, value: &str, created: u64, modified: u64) -> Vec<Action> {
    let item = Item { key: name.into(), value: value.into(), created, modified };
    handle(f, at, Event::Put { name: name.into(), item })
}

fn json(port: u16, state: &str) -> String {
    format!("{{\"addr\":\"127.0.0.1:{port}\",\"state\":\"{state}\"}}")
}

/// The nodes that the actions put on the list, by id.
fn listed(actions: &[Action]) -> Vec<(String, State)> {
    let of = |a: &Action| match a {
        Action::List { id, node } => Some((id.clone(), node.state)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Ten nodes in service, `n0` to `n9`, each with a port of its own.
fn ten_nodes() -> Fleet {
    let mut f = fleet();
    for n in 0..10 {
        put(&mut f, 0, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
    }
    handle(&mut f, 0, Event::RegistryResponded);
    f
}

#[test]
fn faulty_key_is_reported_and_its_last_value_stays() {
    let mut f = ten_nodes();
    for bad in [
        "",
        "{}",
        "{\"addr\":\"db-1:3306\"}",
        "{\"addr\":\"127.0.0.1:1\",\"weight\":0}",
        "{\"addr\":\"127.0.0.1:1\",\"state\":\"up\"}",
        "{\"addr\":\"127.0.0.1:1\",\"role\":\"leader\"}",
        "{\"addr\":\"127.0.0.1:1\",\"wieght\":1}",
        "{\"addr\":\"10.0.0.1:1\"}",
        "{\"addr\":\"127.9.0.1:1\"}",
    ] {
        assert!(
            matches!(&put(&mut f, 0, "n3", bad, 1, 2)[..], [Action::InvalidNode { name: n, .. }] if n == "n3"),
            "{bad}"
        );
    }
    assert_eq!(f.invalid_names().collect::<Vec<_>>(), ["n3"]);
    assert_eq!(f.nodes().count(), 10);
    assert_eq!(
        listed(&put(&mut f, 0, "n3", &json(103, "draining"), 1, 3)),
        [("n3@1".into(), State::Draining)]
    );
    assert_eq!(f.invalid_names().count(), 0);
}

#[test]
fn new_node_under_same_name_gets_its_own_id() {
    let mut f = ten_nodes();
    let reborn = put(&mut f, 0, "n1", &json(101, "in_service"), 5, 5);
    assert_eq!(reborn[0], Action::Unlist { id: "n1@1".into() });
    assert_eq!(listed(&reborn), [("n1@5".into(), State::InService)]);
    let moved = put(&mut f, 0, "n1", &json(901, "in_service"), 5, 6);
    assert_eq!(moved[0], Action::Unlist { id: "n1@5".into() });
    assert_eq!(listed(&moved), [("n1@5.6".into(), State::InService)]);
    assert_eq!(
        listed(&put(&mut f, 0, "n1", &json(901, "draining"), 5, 7)),
        [("n1@5.6".into(), State::Draining)]
    );
    // The same again is no news.
    assert_eq!(put(&mut f, 0, "n1", &json(901, "draining"), 5, 8), []);
}

#[test]
fn mass_disappearance_is_held_while_drains_apply_at_once() {
    let mut f = ten_nodes();
    // One after the other over a long time is ordinary.
    assert_eq!(
        handle(&mut f, 0, Event::KeyDeleted { name: "n0".into() }),
        [Action::Unlist { id: "n0@1".into() }]
    );
    let at = 20 * SECOND;
    for n in 1..5 {
        assert_eq!(handle(&mut f, at, Event::KeyDeleted { name: format!("n{n}") }).len(), 1, "n{n}");
    }
    // More than half within the window: the rest stays.
    assert_eq!(
        handle(&mut f, at, Event::KeyDeleted { name: "n5".into() }),
        [Action::MassRemovalDelayed { nodes: 9 }]
    );
    assert_eq!(handle(&mut f, at, Event::KeyDeleted { name: "n6".into() }), []);
    assert_eq!(f.retained_count(), 2);
    assert_eq!(
        listed(&put(&mut f, at, "n7", &json(107, "draining"), 1, 9)),
        [("n7@1".into(), State::Draining)]
    );
    // One that comes back is no longer held.
    put(&mut f, at, "n5", &json(105, "in_service"), 1, 10);
    assert_eq!(f.retained_count(), 1);
    assert_eq!(
        handle(&mut f, at + 59 * SECOND, Event::Tick),
        [Action::LevelChanged(Level::TooOld)]
            .into_iter()
            .chain(
                ["n5", "n6", "n8", "n9"]
                    .into_iter()
                    .map(|n| Action::List { id: format!("{n}@1"), node: draining_node(n) })
            )
            .collect::<Vec<_>>()
    );
    let over = handle(&mut f, at + 60 * SECOND, Event::Tick);
    assert_eq!(over[..2], [Action::Unlist { id: "n6@1".into() }, Action::RetainedReleased { nodes: 1 }]);
}

/// A draining node of [`ten_nodes`].
fn draining_node(name: &str) -> Node {
    let port = 100 + name[1..].parse::<u16>().unwrap();
    serde_json::from_str(&json(port, "draining")).unwrap()
}

#[test]
fn last_node_is_held_until_released_by_operator() {
    let mut f = fleet();
    put(&mut f, 0, "n0", &json(100, "in_service"), 1, 1);
    handle(&mut f, 0, Event::RegistryResponded);
    assert_eq!(
        handle(&mut f, SECOND, Event::KeyDeleted { name: "n0".into() }),
        [Action::MassRemovalDelayed { nodes: 1 }]
    );
    let gone = handle(&mut f, 2 * SECOND, Event::ReleaseRetained);
    assert_eq!(gone, [Action::Unlist { id: "n0@1".into() }, Action::RetainedReleased { nodes: 1 }]);
}

#[test]
fn silent_registry_limits_list_to_answering_nodes_then_none() {
    let mut f = ten_nodes();
    assert_eq!(handle(&mut f, 10 * SECOND, Event::Tick), []);
    handle(&mut f, 10 * SECOND, Event::NodeResponded { name: "n4".into() });
    let old = handle(&mut f, 10 * SECOND + 1, Event::Tick);
    assert_eq!(old[0], Action::LevelChanged(Level::KnownGood));
    // All had been put on the list when the registry was last heard; from then on only those that answer stay.
    assert_eq!(listed(&old), []);
    handle(&mut f, 11 * SECOND, Event::RegistryResponded);
    let old = handle(&mut f, 30 * SECOND, Event::Tick);
    assert_eq!(listed(&old).len(), 10);
    assert!(listed(&old).iter().all(|(_, s)| *s == State::Draining));
    // One that answers after all is used again; and past the last age none is.
    handle(&mut f, 31 * SECOND, Event::NodeResponded { name: "n4".into() });
    assert_eq!(listed(&handle(&mut f, 31 * SECOND, Event::Tick)), [("n4@1".into(), State::InService)]);
    assert_eq!(listed(&handle(&mut f, 72 * SECOND, Event::Tick)), [("n4@1".into(), State::Draining)]);
    let fresh = handle(&mut f, 80 * SECOND, Event::RegistryResponded);
    assert_eq!((fresh[0].clone(), listed(&fresh).len()), (Action::LevelChanged(Level::Fresh), 10));
}

#[test]
fn restored_registry_keeps_drained_and_removed_nodes_out() {
    let mut f = ten_nodes();
    put(&mut f, 0, "n1", &json(101, "draining"), 1, 20);
    handle(&mut f, 0, Event::KeyDeleted { name: "n2".into() });
    handle(&mut f, SECOND, Event::Restored);
    for n in [1, 2, 3] {
        let state = if n == 3 { State::InService } else { State::Draining };
        let back = put(&mut f, SECOND, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
        assert!(listed(&back).iter().all(|(_, s)| *s == state), "n{n}: {back:?}");
    }
    assert!(f.nodes().any(|(name, _, listed)| name == "n2" && listed == Some(State::Draining)));
    // A change that is newer than the backup does.
    assert_eq!(
        listed(&put(&mut f, SECOND, "n1", &json(101, "in_service"), 1, 6)),
        [("n1@1".into(), State::InService)]
    );
}
