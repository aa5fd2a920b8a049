//! Oracles on router processes: crashes, starts, resource usage, and the routers' own counters of violated
//! invariants.
use super::promise::{Breach, Promise};
use super::spans::{absences_of, seconds};
use crate::history::{AbsenceReason, History, Sample};
use crate::platform::settings::{MAX_SOCKETS, MEMORY_MB};
use crate::time::{Micros, SECOND};
use std::collections::HashMap;

/// The maximum number of threads in one process: one for each descriptor, and 32 for the process itself.
const MAX_THREADS: usize = MAX_SOCKETS + 32;
/// Invariants that a router violates through no fault of its own when its process was paused.
const TIMING_INVARIANTS: [&str; 3] = ["response_in_time", "request_forgotten", "repeat_window"];
/// The longest pause after which a router must still satisfy its invariants.
const TOLERATED_PAUSE: Micros = 300_000;
/// A process that uses more than this share of a core over [`BUSY_LOOP_TIME`] counts as busy-looping.
const BUSY_LOOP_SHARE: f64 = 0.95;
/// The time over which [`BUSY_LOOP_SHARE`] applies.
const BUSY_LOOP_TIME: Micros = 6 * SECOND;

/// Identifies a process of a router.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ProcessId {
    router: usize,
    incarnation: usize,
}

pub(super) fn check(history: &History) -> Vec<Breach> {
    let crashes = history.crashes.iter().map(|crash| Breach::new(Promise::Crash, crash.to_string()));
    let mut breaches: Vec<Breach> = crashes.collect();
    let starts = history.failed_starts.iter().map(|start| Breach::new(Promise::Start, start.to_string()));
    breaches.extend(starts);
    breaches.extend(check_invariants(history));
    breaches.extend(check_limits(history));
    breaches.extend(check_cpu(history));
    breaches
}

fn check_invariants(history: &History) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for violations in &history.invariant_violations {
        let (router, name, count) = (violations.router, violations.invariant.as_str(), violations.count);
        // A process that was paused for long could not respond in time, so these violations do not count.
        // The other oracles subtract pauses as well.
        if TIMING_INVARIANTS.contains(&name) && was_paused_for_long(history, router) {
            continue;
        }
        let text = format!("router {router} counted violations of invariant {name}: {count}");
        breaches.push(Breach::new(Promise::Invariant, text));
    }
    breaches
}

fn was_paused_for_long(history: &History, router: usize) -> bool {
    absences_of(history, router).any(|a| a.reason == AbsenceReason::Paused && a.to - a.from > TOLERATED_PAUSE)
}

fn check_limits(history: &History) -> Vec<Breach> {
    let exceeds_limit = |sample: &&Sample| {
        sample.descriptors > MAX_SOCKETS
            || sample.threads > MAX_THREADS
            || sample.resident_kb > MEMORY_MB * 1024
    };
    let exceeding = history.samples.iter().filter(exceeds_limit);
    exceeding.map(|sample| Breach::new(Promise::Limits, format!("{sample:?}"))).collect()
}

fn check_cpu(history: &History) -> Vec<Breach> {
    let mut by_process: HashMap<ProcessId, Vec<&Sample>> = HashMap::new();
    for sample in &history.samples {
        let process = ProcessId { router: sample.router, incarnation: sample.incarnation };
        by_process.entry(process).or_default().push(sample);
    }
    let busy_loops =
        by_process.into_iter().filter_map(|(process, samples)| find_busy_loop(process, &samples));
    busy_loops.collect()
}

/// Returns a breach for the first period in which a process busy-loops.
fn find_busy_loop(process: ProcessId, samples: &[&Sample]) -> Option<Breach> {
    samples.iter().enumerate().find_map(|(index, first)| {
        let last = samples[index..].iter().find(|later| later.at >= first.at + BUSY_LOOP_TIME)?;
        let share = (last.cpu - first.cpu) as f64 / (last.at - first.at) as f64;
        let (router, from) = (process.router, seconds(first.at));
        let text = || format!("router {router} used {share:.2} of a core from {from} on");
        (share > BUSY_LOOP_SHARE).then(|| Breach::new(Promise::Cpu, text()))
    })
}
