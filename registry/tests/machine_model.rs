//! The machine against a model of a registry: long runs of breaks, compactions, lagging members, repeated and reordered
//! changes.
mod support;

use fastrand::Rng;
use proptest::prelude::*;
use registry::machine::{Action, Change, Event, Item};
use std::collections::BTreeMap;
use support::{SECOND, handle, item, machine, member_reached, snapshot};

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
                self.history.push(Change::Delete { key, revision: at });
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
                let seen = lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                events.push(member_reached(endpoint, seen.revision));
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
                            let seen =
                                lagging.as_ref().filter(|(e, _)| *e == endpoint).map_or(&model, |(_, l)| l);
                            let items: Vec<Item> = seen.held.values().cloned().collect();
                            watch = None;
                            events.push(snapshot(endpoint, seen.revision, &items));
                            break;
                        }
                        Action::Watch { endpoint, from } => watch = Some((endpoint, from + wrong)),
                        Action::Leave { .. } => watch = None,
                        Action::Put(i) => {
                            // A key never goes back to what it was.
                            if listed.get(&i.key).is_some_and(|l| l.modified >= i.modified) {
                                return Err(format!("{} goes back to {}", i.key, i.modified));
                            }
                            listed.insert(i.key.clone(), i);
                        }
                        Action::Deleted { key: k } => _ = listed.remove(&k),
                        Action::Synchronized { revision: at } => {
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
    fn list_equals_registry_at_each_quiet_moment(seed in any::<u64>()) {
        let quiet = run(seed, 2000, 0).map_err(TestCaseError::fail)?;
        prop_assert!(quiet > 300, "{quiet} quiet moments");
    }
}

#[test]
fn resume_one_revision_late_is_caught() {
    let caught = (0..20).filter(|seed| run(*seed, 2000, 1).is_err()).count();
    assert_eq!(caught, 20);
}
