//! The state machines: cases one by one, then a long run of breaks, compactions, lagging members, repeated and
//! reordered changes against a model of a registry.
use decision::Time;
use fastrand::Rng;
use proptest::prelude::*;
use registry::fleet::{
    Action as FleetAction, Event as FleetEvent, Fleet, Level, Node, Settings as FleetSettings, State,
};
use registry::machine::{Action, Change, Event, Item, LeaveReason, Machine, Settings};
use std::collections::BTreeMap;

const S: i64 = 1_000_000;

fn item(key: &str, value: &str, created: u64, modified: u64) -> Item {
    Item { key: key.into(), value: value.into(), created, modified }
}

fn machine() -> Machine {
    Machine::new(Settings { restored_after: 10 * S, tombstones: 16 })
}

fn on(m: &mut Machine, at: i64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    m.handle(Time(at), event, &mut actions);
    actions
}

fn stands(endpoint: usize, revision: u64) -> Event {
    Event::MemberReached { endpoint, cluster: 7, revision }
}

fn snapshot(endpoint: usize, revision: u64, items: &[Item]) -> Event {
    Event::Snapshot { endpoint, cluster: 7, revision, items: items.to_vec() }
}

fn following() -> Machine {
    let mut m = machine();
    assert_eq!(on(&mut m, 0, stands(0, 10)), [Action::Read(0)]);
    let a = item("a", "1", 3, 9);
    let read = on(&mut m, 0, snapshot(0, 10, std::slice::from_ref(&a)));
    assert_eq!(read, [Action::Put(a), Action::Settled(10), Action::Watch(0, 11)]);
    m
}

#[test]
fn a_break_resumes_behind_what_was_acted_on() {
    let mut m = following();
    on(&mut m, 0, Event::Changes(0, vec![Change::Put(item("b", "1", 14, 14))]));
    assert_eq!(on(&mut m, S, stands(1, 20)), [Action::Watch(1, 15)]);
    on(&mut m, S, Event::Progress(1, 22));
    assert_eq!(on(&mut m, S, stands(2, 22)), [Action::Watch(2, 23)]);
}

#[test]
fn what_is_compacted_is_read_anew_and_deletions_in_between_are_seen() {
    let mut m = following();
    assert_eq!(on(&mut m, 0, Event::Compacted(0)), [Action::Read(0)]);
    let read = on(&mut m, 0, snapshot(0, 40, &[item("b", "2", 30, 31)]));
    let expected = [
        Action::Gone("a".into()),
        Action::Put(item("b", "2", 30, 31)),
        Action::Settled(40),
        Action::Watch(0, 41),
    ];
    assert_eq!(read, expected);
    // Deleted and made again under the same name: the old one is gone first.
    let read = on(&mut m, 0, snapshot(0, 50, &[item("b", "3", 45, 45)]));
    assert_eq!(read[..2], [Action::Gone("b".into()), Action::Put(item("b", "3", 45, 45))]);
}

#[test]
fn repeated_changes_are_passed_over_and_late_ones_make_it_read_anew() {
    let mut m = following();
    let (b, c) = (Change::Put(item("b", "1", 12, 12)), Change::Put(item("c", "1", 13, 13)));
    on(&mut m, 0, Event::Changes(0, vec![b.clone(), c.clone(), Change::Delete("a".into(), 14)]));
    let again = vec![b, c, Change::Put(item("a", "0", 3, 9)), Change::Delete("a".into(), 14)];
    assert_eq!(on(&mut m, 0, Event::Changes(0, again)), [Action::Settled(14)]);
    // Something that was never seen, from before what was acted on.
    let late = vec![Change::Put(item("d", "1", 11, 11))];
    assert_eq!(on(&mut m, 0, Event::Changes(0, late)), [Action::Read(0)]);
    // Should that read fail, no watch goes on from there.
    assert_eq!(on(&mut m, 0, Event::Progress(0, 15)), []);
    assert_eq!(on(&mut m, 0, stands(1, 15)), [Action::Read(1)]);
}

#[test]
fn a_member_that_lags_or_is_another_clusters_is_left() {
    let mut m = following();
    let behind = LeaveReason::Behind { theirs: 9, ours: 10 };
    assert_eq!(on(&mut m, 0, stands(1, 9)), [Action::Leave(1, behind)]);
    let other = Event::MemberReached { endpoint: 2, cluster: 8, revision: 99 };
    assert_eq!(on(&mut m, 0, other), [Action::Leave(2, LeaveReason::OtherCluster { theirs: 8, ours: 7 })]);
    assert_eq!(on(&mut m, 0, snapshot(1, 9, &[])), [Action::Leave(1, behind)]);
    // Two that disagree: one that stands where it should clears the suspicion each time.
    for n in 1..20 {
        assert_eq!(on(&mut m, n * S, stands(1, 9)), [Action::Leave(1, behind)]);
        assert_eq!(on(&mut m, n * S, stands(0, 10)), [Action::Watch(0, 11)]);
    }
}

#[test]
fn a_registry_that_stays_behind_was_restored() {
    let mut m = following();
    on(&mut m, 0, stands(1, 5));
    assert!(matches!(on(&mut m, 9 * S, stands(2, 5))[..], [Action::Leave(..)]));
    assert_eq!(on(&mut m, 10 * S, stands(0, 5)), [Action::Read(0)]);
    let read = on(&mut m, 10 * S, snapshot(0, 5, &[item("a", "0", 3, 4)]));
    let expected =
        [Action::Restored, Action::Put(item("a", "0", 3, 4)), Action::Settled(5), Action::Watch(0, 6)];
    assert_eq!(read, expected);
    // From there on as usual.
    let next = vec![Change::Put(item("a", "1", 3, 6))];
    assert_eq!(on(&mut m, 10 * S, Event::Changes(0, next))[0], Action::Put(item("a", "1", 3, 6)));
}

// ---- the fleet ----

fn fleet() -> Fleet {
    Fleet::new(FleetSettings {
        allow: vec!["127.0.0.0/8".parse().unwrap()],
        deny: vec!["127.9.0.0/16".parse().unwrap()],
        fresh: 10 * S,
        last: Some(60 * S),
        held_share: 0.5,
        window: 10 * S,
        held: 60 * S,
    })
}

fn does(f: &mut Fleet, at: i64, event: FleetEvent) -> Vec<FleetAction> {
    let mut actions = Vec::new();
    f.handle(Time(at), event, &mut actions);
    actions
}

fn put(f: &mut Fleet, at: i64, name: &str, value: &str, created: u64, modified: u64) -> Vec<FleetAction> {
    does(f, at, FleetEvent::Put { name: name.into(), item: item(name, value, created, modified) })
}

fn json(port: u16, state: &str) -> String {
    format!("{{\"addr\":\"127.0.0.1:{port}\",\"state\":\"{state}\"}}")
}

fn listed(actions: &[FleetAction]) -> Vec<(String, State)> {
    let of = |a: &FleetAction| match a {
        FleetAction::List(id, node) => Some((id.clone(), node.state)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn ten() -> Fleet {
    let mut f = fleet();
    for n in 0..10 {
        put(&mut f, 0, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
    }
    does(&mut f, 0, FleetEvent::Heard);
    f
}

#[test]
fn a_faulty_key_is_named_and_what_it_said_before_holds() {
    let mut f = ten();
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
            matches!(&put(&mut f, 0, "n3", bad, 1, 2)[..], [FleetAction::Faulty(n, _)] if n == "n3"),
            "{bad}"
        );
    }
    assert_eq!(f.faulty().collect::<Vec<_>>(), ["n3"]);
    assert_eq!(f.nodes().count(), 10);
    assert_eq!(
        listed(&put(&mut f, 0, "n3", &json(103, "draining"), 1, 3)),
        [("n3@1".into(), State::Draining)]
    );
    assert_eq!(f.faulty().count(), 0);
}

#[test]
fn another_node_under_the_same_name_gets_an_id_of_its_own() {
    let mut f = ten();
    let reborn = put(&mut f, 0, "n1", &json(101, "in_service"), 5, 5);
    assert_eq!(reborn[0], FleetAction::Unlist("n1@1".into()));
    assert_eq!(listed(&reborn), [("n1@5".into(), State::InService)]);
    let moved = put(&mut f, 0, "n1", &json(901, "in_service"), 5, 6);
    assert_eq!(moved[0], FleetAction::Unlist("n1@5".into()));
    assert_eq!(listed(&moved), [("n1@5.6".into(), State::InService)]);
    assert_eq!(
        listed(&put(&mut f, 0, "n1", &json(901, "draining"), 5, 7)),
        [("n1@5.6".into(), State::Draining)]
    );
    // The same again is no news.
    assert_eq!(put(&mut f, 0, "n1", &json(901, "draining"), 5, 8), []);
}

#[test]
fn a_mass_disappearance_is_held_back_and_drains_are_kept_at_once() {
    let mut f = ten();
    // One after the other over a long time is ordinary.
    assert_eq!(does(&mut f, 0, FleetEvent::Gone("n0".into())), [FleetAction::Unlist("n0@1".into())]);
    let at = 20 * S;
    for n in 1..5 {
        assert_eq!(does(&mut f, at, FleetEvent::Gone(format!("n{n}"))).len(), 1, "n{n}");
    }
    // More than half within the window: the rest stays.
    assert_eq!(does(&mut f, at, FleetEvent::Gone("n5".into())), [FleetAction::Holding(9)]);
    assert_eq!(does(&mut f, at, FleetEvent::Gone("n6".into())), []);
    assert_eq!(f.held(), 2);
    assert_eq!(
        listed(&put(&mut f, at, "n7", &json(107, "draining"), 1, 9)),
        [("n7@1".into(), State::Draining)]
    );
    // One that comes back is no longer held.
    put(&mut f, at, "n5", &json(105, "in_service"), 1, 10);
    assert_eq!(f.held(), 1);
    assert_eq!(
        does(&mut f, at + 59 * S, FleetEvent::Tick),
        [FleetAction::LevelChanged(Level::TooOld)]
            .into_iter()
            .chain(["n5", "n6", "n8", "n9"].into_iter().map(|n| FleetAction::List(format!("{n}@1"), node(n))))
            .collect::<Vec<_>>()
    );
    let over = does(&mut f, at + 60 * S, FleetEvent::Tick);
    assert_eq!(over[..2], [FleetAction::Unlist("n6@1".into()), FleetAction::Released(1)]);
}

fn node(name: &str) -> Node {
    let port = 100 + name[1..].parse::<u16>().unwrap();
    serde_json::from_str(&json(port, "draining")).unwrap()
}

#[test]
fn an_emptied_registry_leaves_the_list_until_an_operator_says_so() {
    let mut f = fleet();
    put(&mut f, 0, "n0", &json(100, "in_service"), 1, 1);
    does(&mut f, 0, FleetEvent::Heard);
    assert_eq!(does(&mut f, S, FleetEvent::Gone("n0".into())), [FleetAction::Holding(1)]);
    let gone = does(&mut f, 2 * S, FleetEvent::ReleaseHeld);
    assert_eq!(gone, [FleetAction::Unlist("n0@1".into()), FleetAction::Released(1)]);
}

#[test]
fn old_news_is_good_for_known_nodes_only_and_then_for_none() {
    let mut f = ten();
    assert_eq!(does(&mut f, 10 * S, FleetEvent::Tick), []);
    does(&mut f, 10 * S, FleetEvent::Answered("n4".into()));
    let old = does(&mut f, 10 * S + 1, FleetEvent::Tick);
    assert_eq!(old[0], FleetAction::LevelChanged(Level::KnownGood));
    // All had been put on the list when the registry was last heard; from then on only those that answer stay.
    assert_eq!(listed(&old), []);
    does(&mut f, 11 * S, FleetEvent::Heard);
    let old = does(&mut f, 30 * S, FleetEvent::Tick);
    assert_eq!(listed(&old).len(), 10);
    assert!(listed(&old).iter().all(|(_, s)| *s == State::Draining));
    // One that answers after all is used again; and past the last age none is.
    does(&mut f, 31 * S, FleetEvent::Answered("n4".into()));
    assert_eq!(listed(&does(&mut f, 31 * S, FleetEvent::Tick)), [("n4@1".into(), State::InService)]);
    assert_eq!(listed(&does(&mut f, 72 * S, FleetEvent::Tick)), [("n4@1".into(), State::Draining)]);
    let fresh = does(&mut f, 80 * S, FleetEvent::Heard);
    assert_eq!((fresh[0].clone(), listed(&fresh).len()), (FleetAction::LevelChanged(Level::Fresh), 10));
}

#[test]
fn a_restored_registry_does_not_put_drained_or_removed_nodes_back() {
    let mut f = ten();
    put(&mut f, 0, "n1", &json(101, "draining"), 1, 20);
    does(&mut f, 0, FleetEvent::Gone("n2".into()));
    does(&mut f, S, FleetEvent::Restored);
    for n in [1, 2, 3] {
        let state = if n == 3 { State::InService } else { State::Draining };
        let back = put(&mut f, S, &format!("n{n}"), &json(100 + n, "in_service"), 1, 1);
        assert!(listed(&back).iter().all(|(_, s)| *s == state), "n{n}: {back:?}");
    }
    assert!(f.nodes().any(|(n, _, told)| n == "n2" && told == Some(State::Draining)));
    // A change that is newer than the backup does.
    assert_eq!(
        listed(&put(&mut f, S, "n1", &json(101, "in_service"), 1, 6)),
        [("n1@1".into(), State::InService)]
    );
}

// ---- a long run ----

/// What a registry holds, with everything that ever happened to it.
#[derive(Default, Clone)]
struct Model {
    revision: u64,
    held: BTreeMap<String, Item>,
    history: Vec<Change>,
    compacted: u64,
}

impl Model {
    fn step(&mut self, rng: &mut Rng) {
        let key = format!("k{}", rng.u8(0..12));
        self.revision += 1;
        let at = self.revision;
        if rng.u8(0..4) == 0 {
            if self.held.remove(&key).is_some() {
                self.history.push(Change::Delete(key, at));
            }
            return;
        }
        let created = self.held.get(&key).map_or(at, |h| h.created);
        let item = item(&key, &rng.u32(..).to_string(), created, at);
        self.held.insert(key, item.clone());
        self.history.push(Change::Put(item));
    }
}

/// Runs a machine against the model; `wrong` is added to the revision at which it resumes.
fn run(seed: u64, steps: usize, wrong: u64) -> Result<usize, String> {
    let (mut rng, mut model, mut m) = (Rng::with_seed(seed), Model::default(), machine());
    let (mut now, mut acted, mut listed, mut quiet) = (0, 0u64, BTreeMap::<String, Item>::new(), 0);
    // Where a watch goes on, if there is one; its member may lag.
    let mut watch: Option<(usize, u64)> = None;
    let mut lagging: Option<(usize, Model)> = None;
    for _ in 0..steps {
        now += rng.i64(0..S / 20);
        for _ in 0..rng.u8(0..4) {
            model.step(&mut rng);
        }
        match rng.u8(0..30) {
            0..=3 => watch = None,
            4 => model.compacted = model.revision,
            5 => lagging = Some((rng.usize(0..3), model.clone())),
            6 => lagging = None,
            _ => {}
        }
        let mut events = Vec::new();
        match watch {
            None => {
                let endpoint = rng.usize(0..3);
                let seen = lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                events.push(stands(endpoint, seen.revision));
            }
            Some((endpoint, from)) if model.compacted >= from => {
                watch = None;
                events.push(Event::Compacted(endpoint));
            }
            Some((endpoint, from)) => {
                let mut changes: Vec<Change> =
                    model.history.iter().filter(|c| c.revision() >= from).cloned().collect();
                match rng.u8(0..12) {
                    0 => changes.extend(changes.clone()),
                    1 => changes.reverse(),
                    2 => {
                        // The connection breaks in the middle.
                        changes.truncate(rng.usize(0..=changes.len()));
                        watch = None;
                    }
                    _ => {}
                }
                if let Some((_, next)) = &mut watch {
                    *next = model.revision + 1;
                }
                let progress = watch.is_some() && rng.bool();
                events.push(Event::Changes(endpoint, changes));
                if progress {
                    events.push(Event::Progress(endpoint, model.revision));
                }
            }
        }
        while !events.is_empty() {
            for event in std::mem::take(&mut events) {
                for action in on(&mut m, now, event) {
                    match action {
                        Action::Read(endpoint) => {
                            let seen =
                                lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                            let items: Vec<Item> = seen.held.values().cloned().collect();
                            watch = None;
                            events.push(snapshot(endpoint, seen.revision, &items));
                            break;
                        }
                        Action::Watch(endpoint, from) => watch = Some((endpoint, from + wrong)),
                        Action::Leave(..) => watch = None,
                        Action::Put(i) => {
                            // A key never goes back to what it was.
                            if listed.get(&i.key).is_some_and(|l| l.modified >= i.modified) {
                                return Err(format!("{} goes back to {}", i.key, i.modified));
                            }
                            listed.insert(i.key.clone(), i);
                        }
                        Action::Gone(k) => _ = listed.remove(&k),
                        Action::Settled(at) => {
                            if at < acted {
                                return Err(format!("settled at {at} after {acted}"));
                            }
                            acted = at;
                        }
                        Action::Restored => return Err("nothing was restored".into()),
                    }
                }
            }
        }
        // A quiet moment: the watch has brought everything there is.
        if watch.is_some_and(|(_, next)| next == model.revision + 1)
            && m.revision() >= model.history.last().map_or(0, Change::revision)
        {
            quiet += 1;
            if listed != model.held {
                return Err(format!("at revision {} the list is not the registry's", model.revision));
            }
        }
    }
    Ok(quiet)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn the_list_is_the_registrys_at_each_quiet_moment(seed in any::<u64>()) {
        let quiet = run(seed, 2000, 0).map_err(TestCaseError::fail)?;
        prop_assert!(quiet > 300, "{quiet} quiet moments");
    }
}

#[test]
fn a_resume_at_the_wrong_revision_is_caught() {
    let caught = (0..20).filter(|seed| run(*seed, 2000, 1).is_err()).count();
    assert_eq!(caught, 20);
}

#[test]
fn what_a_watch_has_missed_is_read_wherever_it_goes_on() {
    let mut m = following();
    on(&mut m, 0, Event::ChangesMissed);
    assert_eq!(on(&mut m, 0, stands(1, 10)), [Action::Read(1)]);
    let a = item("a", "1", 3, 9);
    assert_eq!(on(&mut m, 0, snapshot(1, 12, &[a])), [Action::Settled(12), Action::Watch(1, 13)]);
    assert_eq!(on(&mut m, 0, stands(1, 12)), [Action::Watch(1, 13)]);
}
