//! Random schedules of a small fleet: every window of every tenant is checked.
mod sim;
use proptest::prelude::*;
use quotas::{InjectedFault, Settings};
use settings::fleet::OnLoss;
use sim::{CALM, Fault, Net, World, fleet, quota};

const END: i64 = 12_000_000;

fn fault() -> impl Strategy<Value = Fault> {
    let r = 0..5usize;
    let span = 50_000..4_500_000i64;
    let rate = prop_oneof![1 => Just(0.0), 3 => 1.0..400.0f64];
    prop_oneof![
        2 => (r.clone(), span.clone()).prop_map(|(r, s)| Fault::Cut(r, s)),
        3 => (r.clone(), span.clone()).prop_map(|(r, s)| Fault::Stop(r, s)),
        2 => (r.clone(), 1_000..1_500_000i64).prop_map(|(r, s)| Fault::Kill(r, s)),
        1 => (r.clone(), 1_000..1_500_000i64).prop_map(|(r, s)| Fault::Leave(r, s)),
        3 => (0..3usize).prop_map(Fault::Elect),
        1 => (0..3usize).prop_map(Fault::Restart),
        2 => (0..2usize, 1.0..200.0f64, 0..20u32, 0..6u32).prop_map(|(t, r, b, n)| Fault::Quota(t, r, b, n)),
        6 => (r, 0..3usize, rate).prop_map(|(r, t, d)| Fault::Demand(r, t, d)),
        2 => (0.0..0.5f64, 0.0..0.3f64, 0.0..0.3f64).prop_map(|(lost, doubled, held)| Fault::Net(Net {
            lost,
            doubled,
            usual: 60_000,
            held,
            longest: 3_500_000,
        })),
        1 => Just(Fault::Net(CALM)),
    ]
}

/// Runs a schedule; the third tenant has a fixed share for each slot, in schedules that leave the places as they are.
fn run(seed: u64, plant: InjectedFault, faults: &[(i64, Fault)]) -> Result<(), String> {
    let places = faults.iter().all(|(_, f)| !matches!(f, Fault::Quota(_, _, _, n) if *n > 0));
    let on_loss = if places { OnLoss::Share(0.4) } else { OnLoss::Closed };
    let quotas = [
        ("a".to_string(), quota(60.0, 6, OnLoss::Closed)),
        ("b".to_string(), quota(20.0, 3, OnLoss::Closed)),
        ("c".to_string(), quota(50.0, 10, on_loss)),
    ];
    let settings = Settings { injected_fault: plant, idle_timeout: 1_000_000, ..Settings::default() };
    settings.check().map_err(|e| e.to_string())?;
    let mut world = World::new(seed, 5, fleet(4, &quotas), settings, places);
    for r in 0..4 {
        world.plan(1, Fault::Demand(r, r, 150.0));
        world.plan(1, Fault::Demand(r, r + 1, 40.0));
    }
    for (at, fault) in faults {
        world.plan(*at, fault.clone());
    }
    world.run(END);
    world.check()
}

fn schedule() -> impl Strategy<Value = Vec<(i64, Fault)>> {
    proptest::collection::vec((0..END, fault()), 5..30)
}

/// `PROPTEST_CASES`, or as many as take a few seconds.
fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(48)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: cases(), ..ProptestConfig::default() })]
    /// Whatever happens, no window of any tenant has more than its quota.
    #[test]
    fn no_window_is_broken(seed in any::<u64>(), faults in schedule()) {
        let outcome = run(seed, InjectedFault::None, &faults);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

/// Each planted fault breaks a window within the schedules of one fixed seed.
fn is_found(plant: InjectedFault) {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    let found = (0..300).find(|&seed| {
        let faults = schedule().new_tree(&mut runner).map(|t| t.current()).unwrap_or_default();
        run(seed, plant, &faults).is_err()
    });
    assert!(found.is_some(), "{plant:?} was not found");
}

#[test]
fn lending_twice_is_found() {
    is_found(InjectedFault::GrantTwice);
}

#[test]
fn a_leader_that_lends_at_once_is_found() {
    is_found(InjectedFault::SkipQuietPeriod);
}

#[test]
fn a_pocket_that_never_looks_at_its_time_is_found() {
    is_found(InjectedFault::IgnoreExpiry);
}

#[test]
fn a_late_answer_that_is_taken_is_found() {
    is_found(InjectedFault::AcceptLateResponse);
}
