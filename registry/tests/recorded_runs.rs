//! Recorded runs of the state machines: seeded random events must result in the actions stored in a fixture.
//! A fixture holds the first steps as text and a hash of the whole run.
use decision::Time;
use fastrand::Rng;
use registry::endpoints::{MemberSelector, Settings as SelectorSettings};
use registry::fleet::{Action as FleetAction, Event as FleetEvent, Fleet, Level, Settings as FleetSettings};
use registry::machine::{Action, Change, Event, Item, LeaveReason, Machine, Settings};
use std::fmt::Write;
use testkit::fixture::Fixtures;
use xxhash_rust::xxh3::xxh3_64;

const FIXTURES: Fixtures = testkit::fixtures!();
const SECOND_US: i64 = 1_000_000;
const STEPS: usize = 20_000;
const TEXT_STEPS: usize = 300;

/// Formats the lines of a run as the text of a fixture.
fn fixture_text(lines: &[String]) -> String {
    let hash = xxh3_64(lines.join("\n").as_bytes());
    let text = lines[..TEXT_STEPS].join("\n");
    format!("{text}\nxxh3 of all {} steps: {hash:016x}\n", lines.len())
}

fn assert_recorded(name: &str, lines: &[String]) {
    FIXTURES.assert_same(name, fixture_text(lines));
}

fn item_text(item: &Item) -> String {
    let value = String::from_utf8_lossy(&item.value);
    format!("{}={value} created {} modified {}", item.key, item.created, item.modified)
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Read { endpoint } => format!("read from {endpoint}"),
        Action::Watch { endpoint, from } => format!("watch {endpoint} from {from}"),
        Action::Leave { endpoint, reason: LeaveReason::Behind { theirs, ours } } => {
            format!("leave {endpoint}: behind {theirs} < {ours}")
        }
        Action::Leave { endpoint, reason: LeaveReason::OtherCluster { theirs, ours } } => {
            format!("leave {endpoint}: cluster {theirs} != {ours}")
        }
        Action::Restored => "restored".into(),
        Action::Put(item) => format!("put {}", item_text(item)),
        Action::Deleted { key } => format!("deleted {key}"),
        Action::Synchronized { revision } => format!("settled {revision}"),
    }
}

/// Random events for the state machine, mostly with revisions near its current one.
struct MachineEvents {
    rng: Rng,
    revision: u64,
}

impl MachineEvents {
    fn item(&mut self, modified: u64) -> Item {
        let key = format!("k{}", self.rng.u8(0..8));
        let value = self.rng.u8(0..4).to_string().into_bytes();
        let created = if self.rng.u8(0..4) == 0 { modified } else { 1 };
        Item { key, value, created, modified }
    }

    fn nearby_revision(&mut self) -> u64 {
        (self.revision + self.rng.u64(0..6)).saturating_sub(self.rng.u64(0..4)).max(1)
    }

    fn changes(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for _ in 0..self.rng.u8(0..4) {
            self.revision += 1;
            let revision = if self.rng.u8(0..8) == 0 { self.nearby_revision() } else { self.revision };
            let item = self.item(revision);
            changes.push(match self.rng.u8(0..3) {
                0 => Change::Delete { key: item.key, revision },
                _ => Change::Put(item),
            });
        }
        changes
    }

    fn snapshot(&mut self, endpoint: usize, cluster: u64) -> Event {
        let revision = self.nearby_revision();
        let mut items: Vec<Item> = (0..self.rng.u8(0..6)).map(|_| self.item(revision)).collect();
        items.sort_by(|a, b| a.key.cmp(&b.key));
        items.dedup_by(|a, b| a.key == b.key);
        Event::Snapshot { endpoint, cluster, revision, items }
    }

    fn next(&mut self) -> Event {
        let endpoint = self.rng.usize(0..3);
        let cluster = if self.rng.u8(0..20) == 0 { 8 } else { 7 };
        match self.rng.u8(0..20) {
            0..=3 => Event::MemberReached { endpoint, cluster, revision: self.nearby_revision() },
            4..=6 => self.snapshot(endpoint, cluster),
            7..=14 => Event::Changes { endpoint, changes: self.changes() },
            15..=17 => Event::Progress { endpoint, revision: self.nearby_revision() },
            18 => Event::Compacted { endpoint },
            _ => Event::ChangesMissed,
        }
    }
}

#[test]
fn machine_run_matches_its_fixture() {
    let mut events = MachineEvents { rng: Rng::with_seed(41), revision: 20 };
    let mut machine = Machine::new(Settings { restored_after: 2 * SECOND_US, max_tombstones: 4 });
    let (mut now, mut lines) = (0, Vec::new());
    for _ in 0..STEPS {
        now += events.rng.i64(0..SECOND_US);
        let (event, mut actions) = (events.next(), Vec::new());
        machine.handle(Time(now), event, &mut actions);
        let actions: Vec<String> = actions.iter().map(action_text).collect();
        let mut line = actions.join("; ");
        write!(line, " | {} keys at {} of {}", machine.len(), machine.revision(), machine.cluster()).unwrap();
        lines.push(line);
    }
    let retained: Vec<String> = machine.all_items().map(|item| item_text(&item)).collect();
    lines.push(retained.join("; "));
    assert_recorded("machine-run.txt", &lines);
}

fn level_text(level: Level) -> &'static str {
    match level {
        Level::Fresh => "fresh",
        Level::KnownGood => "known good",
        Level::TooOld => "too old",
    }
}

fn fleet_action_text(action: &FleetAction) -> String {
    match action {
        FleetAction::List { id, node } => format!("list {id} {}", serde_json::to_string(node).unwrap()),
        FleetAction::Unlist { id } => format!("unlist {id}"),
        FleetAction::InvalidNode { name, reason: error_text } => format!("faulty {name}: {error_text}"),
        FleetAction::MassRemovalDelayed { nodes } => format!("holding {nodes}"),
        FleetAction::RetainedReleased { nodes } => format!("released {nodes}"),
        FleetAction::LevelChanged(level) => format!("now {}", level_text(*level)),
    }
}

/// Random events for the fleet, with increasing revisions except after a restore.
struct FleetEvents {
    rng: Rng,
    revision: u64,
}

impl FleetEvents {
    fn value(&mut self) -> String {
        let port = 100 + self.rng.u16(0..3);
        let state = ["in_service", "in_service", "in_service", "draining", "gone"][self.rng.usize(0..5)];
        match self.rng.u8(0..24) {
            0 => r#"{"addr":"10.0.0.1:1"}"#.into(),
            1 => r#"{"addr":"127.0.0.1:1","weight":-1}"#.into(),
            2 => r#"{"addr":"127.0.0.1:1","role":"leader"}"#.into(),
            3 => "{".into(),
            4 => format!(r#"{{"addr":"127.0.0.1:{port}","role":"primary","group":2,"zone":"hall-a"}}"#),
            _ => format!(r#"{{"addr":"127.0.0.1:{port}","state":"{state}"}}"#),
        }
    }

    fn next(&mut self) -> FleetEvent {
        let name = format!("n{}", self.rng.u8(0..10));
        match self.rng.u8(0..40) {
            0..=15 => {
                self.revision += 1;
                let created = if self.rng.u8(0..5) == 0 { self.revision } else { 1 };
                let value = self.value().into_bytes();
                let item = Item { key: name.clone(), value, created, modified: self.revision };
                FleetEvent::Put { name, item }
            }
            16..=23 => FleetEvent::KeyDeleted { name },
            24..=28 => FleetEvent::NodeResponded { name },
            29..=32 => FleetEvent::RegistryResponded,
            33 => {
                self.revision = self.revision.saturating_sub(self.rng.u64(0..10));
                FleetEvent::Restored
            }
            34 => FleetEvent::ReleaseRetained,
            _ => FleetEvent::Tick,
        }
    }
}

#[test]
fn fleet_run_matches_its_fixture() {
    let mut events = FleetEvents { rng: Rng::with_seed(42), revision: 20 };
    let mut fleet = Fleet::new(FleetSettings {
        allow: vec!["127.0.0.0/8".parse().unwrap()],
        deny: vec!["127.9.0.0/16".parse().unwrap()],
        max_fresh_age: 5 * SECOND_US,
        max_usable_age: Some(15 * SECOND_US),
        mass_removal_share: 0.5,
        mass_removal_window: 5 * SECOND_US,
        mass_removal_delay: 30 * SECOND_US,
    });
    let (mut now, mut lines) = (0, Vec::new());
    for _ in 0..STEPS {
        now += events.rng.i64(0..2 * SECOND_US);
        let (event, mut actions) = (events.next(), Vec::new());
        fleet.handle(Time(now), event, &mut actions);
        let actions: Vec<String> = actions.iter().map(fleet_action_text).collect();
        let invalid: Vec<&str> = fleet.invalid_names().collect();
        let mut line = actions.join("; ");
        let (nodes, retained) = (fleet.nodes().count(), fleet.retained_count());
        write!(
            line,
            " | {} with {nodes} nodes, {retained} held, faulty {invalid:?}",
            level_text(fleet.level())
        )
        .unwrap();
        lines.push(line);
    }
    assert_recorded("fleet-run.txt", &lines);
}

#[test]
fn endpoint_selection_matches_its_fixture() {
    let settings = SelectorSettings {
        endpoints: 3,
        first_backoff: SECOND_US / 10,
        max_backoff: 2 * SECOND_US,
        max_attempt_tokens: 5.0,
        attempts_per_s: 2.0,
    };
    let mut selector = MemberSelector::new(settings, 43);
    let (mut rng, mut now, mut lines) = (Rng::with_seed(43), 1, Vec::new());
    for _ in 0..STEPS {
        let (endpoint, wait) = selector.next(Time(now));
        now += wait + rng.i64(0..SECOND_US / 5);
        let failed = rng.u8(0..3) != 0;
        if failed {
            selector.record_failure(endpoint, Time(now));
        } else {
            selector.record_success(endpoint);
        }
        lines
            .push(format!("member {endpoint} after {wait} us, {}", if failed { "failed" } else { "worked" }));
    }
    assert_recorded("endpoint-selection.txt", &lines);
}
