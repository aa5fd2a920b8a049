//! Single scenarios of the state machine of the node list.
use decision::Time;
use registry::fleet::{Action, Event, Fleet, Level, Node, Settings, State};
use registry::machine::Item;

/// A second in microseconds, the unit of the state machine's times.
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

fn handle(fleet: &mut Fleet, at: i64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    fleet.handle(Time(at), event, &mut actions);
    actions
}

fn put(fleet: &mut Fleet, at: i64, name: &str, value: &str, created: u64, modified: u64) -> Vec<Action> {
    let item = Item { key: name.into(), value: value.into(), created, modified };
    handle(fleet, at, Event::Put { name: name.into(), item })
}

fn json(port: u16, state: &str) -> String {
    format!("{{\"addr\":\"127.0.0.1:{port}\",\"state\":\"{state}\"}}")
}

/// The endpoint IDs and states of all `List` actions.
fn listed(actions: &[Action]) -> Vec<(String, State)> {
    let of = |a: &Action| match a {
        Action::List { id, node } => Some((id.clone(), node.state)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// A fleet with ten nodes in service, `n0` to `n9`, on different ports.
fn ten_nodes() -> Fleet {
    let mut fleet = fleet();
    for n in 0..10 {
        put(&mut fleet, 0, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
    }
    handle(&mut fleet, 0, Event::RegistryResponded);
    fleet
}

#[test]
fn invalid_value_is_reported_and_the_last_valid_one_stays() {
    let mut fleet = ten_nodes();
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
            matches!(&put(&mut fleet, 0, "n3", bad, 1, 2)[..], [Action::InvalidNode { name: n, .. }] if n == "n3"),
            "{bad}"
        );
    }
    assert_eq!(fleet.invalid_names().collect::<Vec<_>>(), ["n3"]);
    assert_eq!(fleet.nodes().count(), 10);
    assert_eq!(
        listed(&put(&mut fleet, 0, "n3", &json(103, "draining"), 1, 3)),
        [("n3@1".into(), State::Draining)]
    );
    assert_eq!(fleet.invalid_names().count(), 0);
}

#[test]
fn new_node_under_the_same_name_gets_a_new_id() {
    let mut fleet = ten_nodes();
    let recreated = put(&mut fleet, 0, "n1", &json(101, "in_service"), 5, 5);
    assert_eq!(recreated[0], Action::Unlist { id: "n1@1".into() });
    assert_eq!(listed(&recreated), [("n1@5".into(), State::InService)]);
    let moved = put(&mut fleet, 0, "n1", &json(901, "in_service"), 5, 6);
    assert_eq!(moved[0], Action::Unlist { id: "n1@5".into() });
    assert_eq!(listed(&moved), [("n1@5.6".into(), State::InService)]);
    assert_eq!(
        listed(&put(&mut fleet, 0, "n1", &json(901, "draining"), 5, 7)),
        [("n1@5.6".into(), State::Draining)]
    );
    // An unchanged value causes no action.
    assert_eq!(put(&mut fleet, 0, "n1", &json(901, "draining"), 5, 8), []);
}

#[test]
fn nodes_of_a_mass_disappearance_are_retained_while_drains_apply_at_once() {
    let mut fleet = ten_nodes();
    // A single disappearance is applied at once; it is outside the window of the later ones.
    assert_eq!(
        handle(&mut fleet, 0, Event::KeyDeleted { name: "n0".into() }),
        [Action::Unlist { id: "n0@1".into() }]
    );
    let at = 20 * SECOND;
    for n in 1..5 {
        assert_eq!(handle(&mut fleet, at, Event::KeyDeleted { name: format!("n{n}") }).len(), 1, "n{n}");
    }
    // With the key of n5, more than half of the nodes have disappeared within the window: from then on, nodes
    // whose keys are deleted are retained.
    assert_eq!(
        handle(&mut fleet, at, Event::KeyDeleted { name: "n5".into() }),
        [Action::MassRemovalDelayed { nodes: 9 }]
    );
    assert_eq!(handle(&mut fleet, at, Event::KeyDeleted { name: "n6".into() }), []);
    assert_eq!(fleet.retained_count(), 2);
    assert_eq!(
        listed(&put(&mut fleet, at, "n7", &json(107, "draining"), 1, 9)),
        [("n7@1".into(), State::Draining)]
    );
    // A node whose key is recreated is no longer retained.
    put(&mut fleet, at, "n5", &json(105, "in_service"), 1, 10);
    assert_eq!(fleet.retained_count(), 1);
    assert_eq!(
        handle(&mut fleet, at + 59 * SECOND, Event::Tick),
        [Action::LevelChanged(Level::TooOld)]
            .into_iter()
            .chain(
                ["n5", "n6", "n8", "n9"]
                    .into_iter()
                    .map(|n| Action::List { id: format!("{n}@1"), node: draining_node(n) })
            )
            .collect::<Vec<_>>()
    );
    let expired = handle(&mut fleet, at + 60 * SECOND, Event::Tick);
    assert_eq!(expired[..2], [Action::Unlist { id: "n6@1".into() }, Action::RetainedReleased { nodes: 1 }]);
}

/// A node of [`ten_nodes`] in the state `draining`.
fn draining_node(name: &str) -> Node {
    let port = 100 + name[1..].parse::<u16>().unwrap();
    serde_json::from_str(&json(port, "draining")).unwrap()
}

#[test]
fn last_node_is_retained_until_released_by_operator() {
    let mut fleet = fleet();
    put(&mut fleet, 0, "n0", &json(100, "in_service"), 1, 1);
    handle(&mut fleet, 0, Event::RegistryResponded);
    assert_eq!(
        handle(&mut fleet, SECOND, Event::KeyDeleted { name: "n0".into() }),
        [Action::MassRemovalDelayed { nodes: 1 }]
    );
    let removed = handle(&mut fleet, 2 * SECOND, Event::ReleaseRetained);
    assert_eq!(removed, [Action::Unlist { id: "n0@1".into() }, Action::RetainedReleased { nodes: 1 }]);
}

#[test]
fn silent_registry_restricts_use_to_responding_nodes_then_to_none() {
    let mut fleet = ten_nodes();
    assert_eq!(handle(&mut fleet, 10 * SECOND, Event::Tick), []);
    handle(&mut fleet, 10 * SECOND, Event::NodeResponded { name: "n4".into() });
    let restricted = handle(&mut fleet, 10 * SECOND + 1, Event::Tick);
    assert_eq!(restricted[0], Action::LevelChanged(Level::KnownGood));
    // All nodes were listed at the time of the registry's last response, so all still count as responding.
    assert_eq!(listed(&restricted), []);
    handle(&mut fleet, 11 * SECOND, Event::RegistryResponded);
    let restricted = handle(&mut fleet, 30 * SECOND, Event::Tick);
    assert_eq!(listed(&restricted).len(), 10);
    assert!(listed(&restricted).iter().all(|(_, s)| *s == State::Draining));
    // A node that responds is used again; after `max_usable_age` no node is used.
    handle(&mut fleet, 31 * SECOND, Event::NodeResponded { name: "n4".into() });
    assert_eq!(listed(&handle(&mut fleet, 31 * SECOND, Event::Tick)), [("n4@1".into(), State::InService)]);
    assert_eq!(listed(&handle(&mut fleet, 72 * SECOND, Event::Tick)), [("n4@1".into(), State::Draining)]);
    let fresh = handle(&mut fleet, 80 * SECOND, Event::RegistryResponded);
    assert_eq!((fresh[0].clone(), listed(&fresh).len()), (Action::LevelChanged(Level::Fresh), 10));
}

#[test]
fn restored_registry_does_not_put_drained_or_removed_nodes_into_service() {
    let mut fleet = ten_nodes();
    put(&mut fleet, 0, "n1", &json(101, "draining"), 1, 20);
    handle(&mut fleet, 0, Event::KeyDeleted { name: "n2".into() });
    handle(&mut fleet, SECOND, Event::Restored);
    for n in [1, 2, 3] {
        let state = if n == 3 { State::InService } else { State::Draining };
        let recreated = put(&mut fleet, SECOND, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
        assert!(listed(&recreated).iter().all(|(_, s)| *s == state), "n{n}: {recreated:?}");
    }
    assert!(fleet.nodes().any(|(name, _, listed)| name == "n2" && listed == Some(State::Draining)));
    // A change made after the restore puts the node back into service.
    assert_eq!(
        listed(&put(&mut fleet, SECOND, "n1", &json(101, "in_service"), 1, 6)),
        [("n1@1".into(), State::InService)]
    );
}
