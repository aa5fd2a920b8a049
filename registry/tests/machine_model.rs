//! Model-based test of the state machine: long random runs with disconnects, compactions, lagging members,
//! and repeated or reordered changes.
mod support;

use fastrand::Rng;
use proptest::prelude::*;
use registry::machine::{Action, Change, Event, Item};
use std::collections::BTreeMap;
use support::{SECOND, handle, item, machine, member_reached, snapshot};

/// A model of a registry: its current items and the history of all changes.
#[derive(Default, Clone)]
struct Model {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    compacted: u64,
}

impl Model {
    fn step(&mut self, rng: &mut Rng) {
        let key = format!("k{}", rng.u8(0..12));
        self.revision += 1;
        let at = self.revision;
        if rng.u8(0..4) == 0 {
            if self.items.remove(&key).is_some() {
                self.history.push(Change::Delete { key, revision: at });
            }
            return;
        }
        let created = self.items.get(&key).map_or(at, |h| h.created);
        let item = item(&key, &rng.u32(..).to_string(), created, at);
        self.items.insert(key, item.clone());
        self.history.push(Change::Put(item));
    }
}

/// Runs the state machine against the model; returns how often their contents were compared. `resume_offset`
/// is added to the revision at which watches resume.
fn run(seed: u64, steps: usize, resume_offset: u64) -> Result<usize, String> {
    let (mut rng, mut model, mut m) = (Rng::with_seed(seed), Model::default(), machine());
    let (mut now, mut synchronized_at, mut listed, mut comparisons) =
        (0, 0u64, BTreeMap::<String, Item>::new(), 0);
    // The member and the next revision of the current watch.
    let mut watch: Option<(usize, u64)> = None;
    let mut lagging: Option<(usize, Model)> = None;
    for _ in 0..steps {
        now += rng.i64(0..SECOND / 20);
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
                let view = lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                events.push(member_reached(endpoint, view.revision));
            }
            Some((endpoint, from)) if model.compacted >= from => {
                watch = None;
                events.push(Event::Compacted { endpoint });
            }
            Some((endpoint, from)) => {
                let mut changes: Vec<Change> =
                    model.history.iter().filter(|c| c.revision() >= from).cloned().collect();
                match rng.u8(0..12) {
                    0 => changes.extend(changes.clone()),
                    1 => changes.reverse(),
                    2 => {
                        // The connection is lost in the middle of the changes.
                        changes.truncate(rng.usize(0..=changes.len()));
                        watch = None;
                    }
                    _ => {}
                }
                if let Some((_, next)) = &mut watch {
                    *next = model.revision + 1;
                }
                let progress = watch.is_some() && rng.bool();
                events.push(Event::Changes { endpoint, changes });
                if progress {
                    events.push(Event::Progress { endpoint, revision: model.revision });
                }
            }
        }
        while !events.is_empty() {
            for event in std::mem::take(&mut events) {
                for action in handle(&mut m, now, event) {
                    match action {
                        Action::Read { endpoint } => {
                            let view =
                                lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                            let items: Vec<Item> = view.items.values().cloned().collect();
                            watch = None;
                            events.push(snapshot(endpoint, view.revision, &items));
                            break;
                        }
                        Action::Watch { endpoint, from } => watch = Some((endpoint, from + resume_offset)),
                        Action::Leave { .. } => watch = None,
                        Action::Put(i) => {
                            // The revision of a key must never decrease.
                            if listed.get(&i.key).is_some_and(|l| l.modified >= i.modified) {
                                return Err(format!("revision of key {} decreased to {}", i.key, i.modified));
                            }
                            listed.insert(i.key.clone(), i);
                        }
                        Action::Deleted { key: k } => _ = listed.remove(&k),
                        Action::Synchronized { revision: at } => {
                            if at < synchronized_at {
                                return Err(format!("synchronized at {at} after {synchronized_at}"));
                            }
                            synchronized_at = at;
                        }
                        Action::Restored => return Err("restore reported without a restore".into()),
                    }
                }
            }
        }
        // The watch has delivered all changes, so both contents must be equal.
        if watch.is_some_and(|(_, next)| next == model.revision + 1)
            && m.revision() >= model.history.last().map_or(0, Change::revision)
        {
            comparisons += 1;
            if listed != model.items {
                return Err(format!("list differs from the registry at revision {}", model.revision));
            }
        }
    }
    Ok(comparisons)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn list_equals_registry_whenever_all_changes_are_delivered(seed in any::<u64>()) {
        let comparisons = run(seed, 2000, 0).map_err(TestCaseError::fail)?;
        prop_assert!(comparisons > 300, "only {comparisons} comparisons");
    }
}

#[test]
fn model_detects_resuming_one_revision_too_late() {
    let caught = (0..20).filter(|seed| run(*seed, 2000, 1).is_err()).count();
    assert_eq!(caught, 20);
}
