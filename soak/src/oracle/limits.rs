//! Oracles on processes: ends, starts, what they use, and what they count themselves.
use super::{Breach, Promise, seconds};
use crate::history::{Absence, History, Micros, SECOND};
use crate::platform::{MEMORY_MB, SOCKETS};
use std::collections::HashMap;

/// Most threads of one process: a thread for each descriptor, and a few for the process itself.
const MAX_THREADS: usize = SOCKETS + 32;
/// Invariants that a stopped process violates without a fault of its own.
const NEED_SCHEDULING: [&str; 3] = ["response_in_time", "request_forgotten", "repeat_window"];
/// A router has to bear being held up for so long.
const HELD_UP: Micros = 300_000;
/// A process that uses this share of a core
const SPIN_SHARE: f64 = 0.95;
/// for so long spins.
const SPIN_TIME: Micros = 6 * SECOND;

pub(super) fn check(history: &History) -> Vec<Breach> {
    let breach = |promise, text: String| Breach { promise, text };
    let crash = |text: &String| breach(Promise::Crash, text.clone());
    let start = |text: &String| breach(Promise::Start, text.clone());
    let mut breaches: Vec<Breach> = history.crashes.iter().map(crash).collect();
    breaches.extend(history.failed_starts.iter().map(start));
    let was_paused = |router: usize| {
        history
            .absent
            .iter()
            .any(|a| a.router == router && a.why == Absence::Paused && a.to - a.from > HELD_UP)
    };
    for (router, name, count) in &history.invariant_violations {
        // A process that was stopped for long has answered nothing meanwhile: the other oracles allow for it.
        if NEED_SCHEDULING.contains(&name.as_str()) && was_paused(*router) {
            continue;
        }
        breaches.push(breach(Promise::Invariant, format!("router {router} counts {name} {count} times")));
    }
    for sample in &history.samples {
        let over = sample.descriptors > SOCKETS
            || sample.threads > MAX_THREADS
            || sample.resident_kb > MEMORY_MB * 1024;
        if over {
            breaches.push(breach(Promise::Limits, format!("{sample:?}")));
        }
    }
    breaches.extend(check_cpu(history));
    breaches
}

fn check_cpu(history: &History) -> Vec<Breach> {
    let mut by_process: HashMap<(usize, usize), Vec<(Micros, Micros)>> = HashMap::new();
    for sample in &history.samples {
        by_process.entry((sample.router, sample.incarnation)).or_default().push((sample.at, sample.cpu));
    }
    let mut breaches = Vec::new();
    for ((router, _), samples) in by_process {
        let spins = |(i, (from, cpu)): (usize, &(Micros, Micros))| {
            let later = samples[i..].iter().find(|(at, _)| *at >= from + SPIN_TIME)?;
            let share = (later.1 - cpu) as f64 / (later.0 - from) as f64;
            (share > SPIN_SHARE).then_some((*from, share))
        };
        if let Some((from, share)) = samples.iter().enumerate().find_map(spins) {
            let text = format!("router {router} used {share:.2} of a core from {} on", seconds(from));
            breaches.push(Breach { promise: Promise::Cpu, text });
        }
    }
    breaches
}
