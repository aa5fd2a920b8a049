//! Runs random fault schedules on a small simulated fleet. In no time window may a tenant's admissions exceed
//! its quota.
mod simulation;
use decision::Micros;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quotas::{InjectedFault, Settings};
use settings::fleet::OnLoss;
use simulation::{Fault, Network, RELIABLE_NETWORK, Simulation, fleet, quota};

/// How long a schedule runs, microseconds.
const END: Micros = 12_000_000;
/// The number of cases if `PROPTEST_CASES` is not set; running them takes a few seconds.
const DEFAULT_CASES: u32 = 48;
/// The largest number of schedules until an injected fault must be detected.
const MAX_SCHEDULES: u64 = 300;

/// A fault and the time at which it is injected.
type Scheduled = (Micros, Fault);

fn fault() -> impl Strategy<Value = Fault> {
    let router = 0..5usize;
    let node = 0..3usize;
    let duration = 50_000..4_500_000i64;
    let downtime = 1_000..1_500_000i64;
    prop_oneof![
        2 => (router.clone(), duration.clone())
            .prop_map(|(router, duration)| Fault::Disconnect { router, duration }),
        3 => (router.clone(), duration).prop_map(|(router, duration)| Fault::Pause { router, duration }),
        2 => (router.clone(), downtime.clone())
            .prop_map(|(router, downtime)| Fault::Kill { router, downtime }),
        1 => (router.clone(), downtime).prop_map(|(router, downtime)| Fault::Shutdown { router, downtime }),
        3 => node.clone().prop_map(|node| Fault::Elect { node }),
        1 => node.prop_map(|leader| Fault::RestartNodes { leader }),
        2 => new_quota(),
        6 => new_demand(router),
        2 => unreliable_network(),
        1 => Just(Fault::SetNetwork(RELIABLE_NETWORK)),
    ]
}

fn new_quota() -> impl Strategy<Value = Fault> {
    let quota = (0..2usize, 1.0..200.0f64, 0..20u32, 0..6u32);
    quota.prop_map(|(tenant, rate, burst, routers)| Fault::SetQuota { tenant, rate, burst, routers })
}

fn new_demand(router: std::ops::Range<usize>) -> impl Strategy<Value = Fault> {
    let rate = prop_oneof![1 => Just(0.0), 3 => 1.0..400.0f64];
    let demand = (router, 0..3usize, rate);
    demand.prop_map(|(router, tenant, rate)| Fault::SetDemand { router, tenant, rate })
}

fn unreliable_network() -> impl Strategy<Value = Fault> {
    (0.0..0.5f64, 0.0..0.3f64, 0.0..0.3f64).prop_map(|(lost, duplicated, slow)| {
        let (max_delay, max_slow_delay) = (60_000, 3_500_000);
        Fault::SetNetwork(Network { lost, duplicated, max_delay, slow, max_slow_delay })
    })
}

fn schedule() -> impl Strategy<Value = Vec<Scheduled>> {
    proptest::collection::vec((0..END, fault()), 5..30)
}

/// Runs a schedule and checks the bound. The third tenant has fixed shares if the schedule does not change
/// the number of routers.
fn run(seed: u64, injected_fault: InjectedFault, faults: &[Scheduled]) -> Result<(), String> {
    let resizes = |fault: &Fault| matches!(fault, Fault::SetQuota { routers, .. } if *routers > 0);
    let has_slots = !faults.iter().any(|(_, fault)| resizes(fault));
    let on_loss = if has_slots { OnLoss::Share(0.4) } else { OnLoss::Closed };
    let quotas = [
        ("a".to_string(), quota(60.0, 6, OnLoss::Closed)),
        ("b".to_string(), quota(20.0, 3, OnLoss::Closed)),
        ("c".to_string(), quota(50.0, 10, on_loss)),
    ];
    let settings = Settings { injected_fault, idle_timeout: 1_000_000, ..Settings::default() };
    settings.check().map_err(|error| error.to_string())?;
    let mut simulation = Simulation::new(seed, 5, fleet(4, &quotas), settings, has_slots);
    for router in 0..4 {
        simulation.schedule(1, Fault::SetDemand { router, tenant: router, rate: 150.0 });
        simulation.schedule(1, Fault::SetDemand { router, tenant: router + 1, rate: 40.0 });
    }
    for (at, fault) in faults {
        simulation.schedule(*at, fault.clone());
    }
    simulation.run_until(END);
    simulation.check_bound()
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(DEFAULT_CASES)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: cases(), ..ProptestConfig::default() })]
    #[test]
    fn admissions_in_any_window_stay_within_quota(seed in any::<u64>(), faults in schedule()) {
        let outcome = run(seed, InjectedFault::None, &faults);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

/// Whether an injected fault violates the bound in one of the schedules drawn from a fixed seed.
fn violates_bound(injected_fault: InjectedFault) -> bool {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    (0..MAX_SCHEDULES).any(|seed| {
        let faults = schedule().new_tree(&mut runner).map(|tree| tree.current()).unwrap_or_default();
        run(seed, injected_fault, &faults).is_err()
    })
}

#[test]
fn granting_twice_violates_bound() {
    assert!(violates_bound(InjectedFault::GrantTwice));
}

#[test]
fn skipping_quiet_period_violates_bound() {
    assert!(violates_bound(InjectedFault::SkipQuietPeriod));
}

#[test]
fn ignoring_expiry_violates_bound() {
    assert!(violates_bound(InjectedFault::IgnoreExpiry));
}

#[test]
fn accepting_late_responses_violates_bound() {
    assert!(violates_bound(InjectedFault::AcceptLateResponse));
}
