//! Plays cases on several threads.
use crate::case::Case;
use simulator::{Plan, simulate};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A case to be played.
pub struct PlannedCase {
    /// Its name.
    pub name: String,
    /// Its plan, with the seed.
    pub plan: Plan,
}

/// The cases of an experiment: its plan with so many seeds, from the plan's on; at least one.
pub fn cases_with_seeds(experiment: &str, plan: &Plan, seeds: u64) -> Vec<PlannedCase> {
    let with_seed = |seed| PlannedCase {
        name: Case::name_with_seed(experiment, seed),
        plan: Plan { seed, ..plan.clone() },
    };
    (0..seeds.max(1)).map(|offset| with_seed(plan.seed + offset)).collect()
}

/// Plays cases on so many threads, at least one. The results are in the order of the cases and do not depend on the
/// number of threads.
pub fn play_cases(planned: &[PlannedCase], threads: usize) -> Vec<Case> {
    let next = AtomicUsize::new(0);
    let played: Mutex<Vec<(usize, Case)>> = Mutex::new(Vec::new());
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(case) = planned.get(index) else { return };
            let case = Case { name: case.name.clone(), results: simulate(&case.plan) };
            played.lock().unwrap_or_else(PoisonError::into_inner).push((index, case));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
    played.sort_by_key(|(index, _)| *index);
    played.into_iter().map(|(_, case)| case).collect()
}
