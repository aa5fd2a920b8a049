//! Generates a plan's faults from a seed. Changing the order of the random draws changes the faults that a
//! seed produces.
use crate::fault::{FaultKind, PlannedFault};
use crate::plan::{Front, Plan};
use fastrand::Rng;

/// Fault kinds that can be drawn for the platform front.
const PLATFORM_KINDS: [FaultKind; 30] = [
    FaultKind::Term,
    FaultKind::Kill,
    FaultKind::PauseShort,
    FaultKind::PauseLong,
    FaultKind::Reload,
    FaultKind::DiscoverySilent,
    FaultKind::DiscoveryDown,
    FaultKind::DiscoverySlow,
    FaultKind::Drain,
    FaultKind::ServerRestart,
    FaultKind::ServerHang,
    FaultKind::ServerReset,
    FaultKind::ServerGarbage,
    FaultKind::ServerLag,
    FaultKind::Failover,
    FaultKind::LinkCut,
    FaultKind::LinkDeaf,
    FaultKind::LinkDelay,
    FaultKind::LinkReset,
    FaultKind::LinkTrickle,
    FaultKind::LinkForget,
    FaultKind::ClientsLeave,
    FaultKind::ClientsStall,
    FaultKind::ClientsPipeline,
    FaultKind::ClientsFlood,
    FaultKind::ClockAll,
    FaultKind::ClockOne,
    FaultKind::Syscalls,
    FaultKind::Threads,
    FaultKind::Maintenance,
];

/// Fault kinds that can be drawn for `serve`.
const SERVE_KINDS: [FaultKind; 10] = [
    FaultKind::Term,
    FaultKind::Kill,
    FaultKind::PauseShort,
    FaultKind::PauseLong,
    FaultKind::ServerLag,
    FaultKind::LinkCut,
    FaultKind::LinkDelay,
    FaultKind::ClockOne,
    FaultKind::Syscalls,
    FaultKind::Disk,
];

/// No fault starts earlier than this, because the routers' connection pools are still empty.
const MIN_START_MS: u64 = 1500;
/// No fault starts within this time before the end of the load.
const FAULT_FREE_END_MS: u64 = 3000;
/// How long a fault may last into the period of [`FAULT_FREE_END_MS`].
const MAX_FAULT_OVERRUN_MS: u64 = 1500;
/// The faults of a cluster start within this time of each other.
const CLUSTER_SPREAD_MS: u64 = 1000;
/// On average, one in this many faults is applied to a router and a server other than those of the fault's
/// cluster.
const OTHER_TARGET_ONE_IN: u8 = 4;
/// The possible steps of a wall clock, in seconds.
const CLOCK_STEPS: [i64; 4] = [-3600, -5, 5, 3600];

/// Returns the faults listed in the plan or, if there are none, faults generated from the seed; usually two
/// or three generated faults overlap. If `only` is not empty, only these kinds are drawn.
pub fn draw(plan: &Plan, seed: u64, only: &[FaultKind]) -> Vec<PlannedFault> {
    if !plan.faults.is_empty() {
        return plan.faults.clone();
    }
    let kinds = drawable_kinds(plan.front, only);
    let mut rng = Rng::with_seed(seed);
    let count = (plan.faults_per_ten_seconds as u64 * plan.seconds).div_ceil(10);
    let mut drawn_faults = Vec::new();
    while (drawn_faults.len() as u64) < count && !kinds.is_empty() {
        draw_cluster(plan, &kinds, &mut rng, &mut drawn_faults);
    }
    drawn_faults.sort_by_key(|fault| fault.start_ms);
    drawn_faults
}

fn drawable_kinds(front: Front, only: &[FaultKind]) -> Vec<FaultKind> {
    let all: &[FaultKind] = match front {
        Front::Platform => &PLATFORM_KINDS,
        Front::Serve => &SERVE_KINDS,
    };
    all.iter().copied().filter(|kind| only.is_empty() || only.contains(kind)).collect()
}

/// Draws faults that start close to each other and usually affect the same router and server, so that their
/// effects interact.
fn draw_cluster(plan: &Plan, kinds: &[FaultKind], rng: &mut Rng, drawn_faults: &mut Vec<PlannedFault>) {
    let end_ms = plan.seconds * 1000;
    let last_start_ms = end_ms.saturating_sub(FAULT_FREE_END_MS).max(MIN_START_MS + 1);
    let max_duration_ms = end_ms - last_start_ms.min(end_ms) + MAX_FAULT_OVERRUN_MS;
    let cluster_start_ms = rng.u64(MIN_START_MS..last_start_ms);
    let router = rng.usize(..plan.routers);
    let server = rng.usize(..plan.servers());
    for _ in 0..rng.usize(2..=3) {
        let kind = kinds[rng.usize(..kinds.len())];
        let has_other_target = rng.u8(..OTHER_TARGET_ONE_IN) == 0;
        drawn_faults.push(PlannedFault {
            kind,
            start_ms: (cluster_start_ms + rng.u64(..CLUSTER_SPREAD_MS)).min(last_start_ms),
            duration_ms: draw_duration_ms(kind, rng).min(max_duration_ms),
            router: if has_other_target { rng.usize(..plan.routers) } else { router },
            server: if has_other_target { rng.usize(..plan.servers()) } else { server },
            clock_step_seconds: draw_clock_step(kind, rng),
        });
    }
}

fn draw_duration_ms(kind: FaultKind, rng: &mut Rng) -> u64 {
    match kind {
        FaultKind::PauseShort => 150,
        FaultKind::PauseLong => rng.u64(1000..2500),
        FaultKind::Term | FaultKind::Kill => rng.u64(100..800),
        FaultKind::Drain | FaultKind::ServerRestart | FaultKind::Maintenance => rng.u64(800..3000),
        _ => rng.u64(500..4000),
    }
}

fn draw_clock_step(kind: FaultKind, rng: &mut Rng) -> i64 {
    match kind {
        FaultKind::ClockAll | FaultKind::ClockOne => CLOCK_STEPS[rng.usize(..CLOCK_STEPS.len())],
        _ => 0,
    }
}
