//! Runs random events with fixed seeds and compares the actions and the stored state with recorded output,
//! which was written before this package's identifiers were renamed. One run is recorded as text; many more,
//! and whole simulated releases, as hashes.
use crate::sim::{
    BadVersion, SECOND, Scenario, Simulation, last_good, limits, plan, settings, target, target_version,
};
use decision::{Micros, Time};
use releases::{
    Action, BudgetLedger, DisruptionBudget, Event, GrantId, HaltReason, LedgerAction, LedgerEvent, Limit,
    Members, Release, RequestId, RequestStats, ReservationError, TargetKind, Version,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;
use testkit::random::{Random, SplitMix64};

const FIXTURES: Fixtures = testkit::fixtures!();
const ROUTERS: u64 = 9;
const ZONES: u64 = 3;
const OWNERS: [&str; 2] = ["anna", "ben"];
const TEXT_STEPS: u32 = 500;
const HASHED_STEPS: u32 = 1000;
const HASHED_SEEDS: u64 = 24;
const SIMULATED_SEEDS: u64 = 8;

fn router_name(random: &mut SplitMix64) -> String {
    format!("r{}", random.below(ROUTERS))
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn hash_of(value: &impl Serialize) -> String {
    format!("{:016x}", fnv1a(json(value)))
}

fn denial_text(reason: &ReservationError) -> String {
    match reason {
        ReservationError::UnknownTarget(name) => format!("unknown {name}"),
        ReservationError::AlreadyReserved { target, owner } => format!("{target} held by {owner}"),
        ReservationError::ZoneBudgetExhausted { zone, out, limit } => format!("zone {zone} {out}/{limit}"),
        ReservationError::FleetBudgetExhausted { out, limit } => format!("fleet {out}/{limit}"),
    }
}

fn budget(fleet: u32, zone: u32) -> DisruptionBudget {
    let limits = limits(Limit::Count(fleet), Limit::Percent(zone));
    DisruptionBudget { routers: limits, instances: limits }
}

fn members(random: &mut SplitMix64) -> Members {
    let mut members = Members::new();
    for i in 0..ROUTERS {
        if !random.one_in(12) {
            members.insert(target(TargetKind::Router, &format!("r{i}")), format!("z{}", i % ZONES));
        }
    }
    members.insert(target(TargetKind::Instance, "i0"), "z0".into());
    members
}

/// Runs random events on a budget ledger and records its actions.
fn record_ledger(seed: u64, steps: u32) -> String {
    let mut random = SplitMix64::new(seed);
    let mut current_members = members(&mut random);
    let mut ledger = BudgetLedger::new(budget(3, 50), 20 * SECOND, current_members.clone());
    let (mut now, mut lines) = (0, String::new());
    for request in (0..u64::from(steps)).map(RequestId) {
        now += random.time_below(2 * SECOND);
        let router = target(TargetKind::Router, &router_name(&mut random));
        let target = if random.one_in(10) { target(TargetKind::Instance, "i0") } else { router };
        let latest = ledger.reservations().map(|reservation| reservation.grant).max().unwrap_or(GrantId(0));
        let grant = GrantId(latest.0.saturating_sub(random.below(4)));
        let event = match random.below(12) {
            0 => {
                current_members = members(&mut random);
                LedgerEvent::MembersChanged(current_members.clone())
            }
            1 => LedgerEvent::BudgetChanged(budget(1 + random.below(4) as u32, 10 + random.below(90) as u32)),
            2..=6 => {
                let owner = OWNERS[random.below(2) as usize].into();
                LedgerEvent::Acquire { owner, target, request }
            }
            7 | 8 => LedgerEvent::Renew { target, grant },
            9 | 10 => LedgerEvent::Return { target, grant },
            _ => LedgerEvent::Tick,
        };
        let mut actions = Vec::new();
        ledger.handle(Time(now), event, &mut actions);
        for action in actions {
            let text = match action {
                LedgerAction::Persist => "record".into(),
                LedgerAction::Granted { owner, target, request, grant } => {
                    format!("grant {} to {owner} for {}, request {}", grant.0, target.name, request.0)
                }
                LedgerAction::Denied { owner, target, request, reason } => {
                    format!("refuse {owner} {}, request {}: {}", target.name, request.0, denial_text(&reason))
                }
                LedgerAction::Expired(reservation) => format!("expired {}", json(&reservation)),
            };
            writeln!(lines, "{now} {text}").unwrap();
        }
        writeln!(lines, "{now} state {}", hash_of(&ledger.snapshot())).unwrap();
        if random.one_in(60) {
            ledger = BudgetLedger::restore(ledger.snapshot(), current_members.clone(), Time(now)).unwrap();
            writeln!(lines, "{now} rebuilt").unwrap();
        }
    }
    lines
}

/// A release with random events.
struct ReleaseRun {
    random: SplitMix64,
    now: Micros,
    release: Release,
    open_requests: Vec<(String, RequestId)>,
    last_grant: u64,
    /// Updates that no router has responded to.
    updating: Vec<(String, Version)>,
    lines: String,
    last_state: String,
}

impl ReleaseRun {
    fn new(seed: u64) -> ReleaseRun {
        let routers: BTreeMap<String, String> =
            (0..ROUTERS).map(|i| (format!("r{i}"), format!("z{}", i % ZONES))).collect();
        let mut settings = settings();
        settings.max_lost_routers = (seed % 3) as u32;
        let release = Release::new(plan(&routers), settings).unwrap();
        ReleaseRun {
            random: SplitMix64::new(seed),
            now: 0,
            release,
            open_requests: Vec::new(),
            last_grant: 1,
            updating: Vec::new(),
            lines: String::new(),
            last_state: String::new(),
        }
    }

    fn write_line(&mut self, text: &str) {
        writeln!(self.lines, "{} {text}", self.now).unwrap();
    }

    fn halt_text(reason: &HaltReason) -> String {
        match reason {
            HaltReason::Operator => "operator".into(),
            HaltReason::Regressed(names) => format!("worse {names:?}"),
            HaltReason::FleetDegraded(names) => format!("unwell {names:?}"),
            HaltReason::RoutersLost(names) => format!("lost {names:?}"),
        }
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let text = match action {
                Action::Persist => format!("record {}", hash_of(self.release.snapshot())),
                Action::Acquire { router, request } => {
                    let text = format!("ask {} for {router}", request.0);
                    self.open_requests.push((router, request));
                    text
                }
                Action::Update { router, version, grant, timeout } => {
                    self.updating.push((router.clone(), version.clone()));
                    format!("move {router} to {version} by slot {} within {timeout}", grant.0)
                }
                Action::Return { router, grant } => format!("return {} of {router}", grant.0),
                Action::Halted { reason } => format!("halt {}", Self::halt_text(&reason)),
                Action::Completed => "done".into(),
                Action::RolledBack => "undone".into(),
            };
            self.write_line(&text);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.release.handle(Time(self.now), event, &mut actions);
        self.record_actions(actions);
    }

    fn random_response(&mut self) -> Event {
        let Some(last) = self.open_requests.len().checked_sub(1) else { return Event::Tick };
        let i = last - (self.random.below(3) as usize).min(last);
        // A response may be duplicated.
        let (router, request) = if self.random.one_in(5) {
            self.open_requests[i].clone()
        } else {
            self.open_requests.swap_remove(i)
        };
        if self.random.one_in(10) {
            let reason = match self.random.below(6) {
                0 => ReservationError::UnknownTarget(router.clone()),
                1 => ReservationError::AlreadyReserved { target: router.clone(), owner: "ben".into() },
                _ => ReservationError::FleetBudgetExhausted { out: 3, limit: 3 },
            };
            return Event::Denied { router, request, reason };
        }
        self.last_grant += 1;
        Event::Granted { router, request, grant: GrantId(self.last_grant) }
    }

    /// Draws a router that is in service again: usually one instructed to update, sometimes another.
    fn random_update(&mut self) -> Event {
        if self.updating.is_empty() || self.random.one_in(12) {
            let version = if self.random.one_in(2) { last_good() } else { target_version() };
            return Event::Updated { router: router_name(&mut self.random), version };
        }
        let i = self.random.below(self.updating.len() as u64) as usize;
        let (router, version) = self.updating.swap_remove(i);
        Event::Updated { router, version }
    }

    /// Reports statistics of every router; sometimes those of the first four have many errors.
    fn report_stats(&mut self) {
        let bad = self.random.one_in(25);
        for i in 0..ROUTERS {
            let requests = 100 + self.random.below(200);
            let errors = if bad && i < 4 { requests / 4 } else { self.random.below(2) };
            let latency_sum = requests * (900 + self.random.below(200));
            let stats = RequestStats { requests, errors, latency_sum };
            self.handle(Event::StatsReported { router: format!("r{i}"), stats });
        }
    }

    fn step(&mut self) {
        let max_delay = if self.random.one_in(40) { 40 * SECOND } else { 2 * SECOND };
        self.now += self.random.time_below(max_delay);
        match self.random.below(160) {
            0..=19 => self.report_stats(),
            20..=69 => {
                let event = self.random_response();
                self.handle(event);
            }
            70..=119 => {
                let event = self.random_update();
                self.handle(event);
            }
            120 => self.handle(Event::Halt),
            121..=126 => self.handle(Event::Resume),
            127 if self.random.one_in(2) => self.handle(Event::RollBack),
            128 | 129 => {
                let mut actions = Vec::new();
                self.release = Release::restore(self.release.snapshot().clone(), &mut actions).unwrap();
                self.write_line("rebuilt");
                self.record_actions(actions);
            }
            _ => self.handle(Event::Tick),
        }
        let text = format!("state {} {}", hash_of(self.release.snapshot()), json(self.release.phase()));
        if text != self.last_state {
            self.write_line(&text);
            self.last_state = text;
        }
    }
}

/// Runs random events on a release, and on another one after it has ended.
fn record_releases(seed: u64, steps: u32) -> String {
    let mut run = ReleaseRun::new(seed);
    for step in 0..steps {
        run.step();
        if matches!(json(run.release.phase()).as_str(), "\"Done\"" | "\"Undone\"") && run.random.one_in(8) {
            run.release = ReleaseRun::new(seed + u64::from(step)).release;
            run.open_requests.clear();
            run.write_line("another release");
        }
    }
    run.lines
}

/// Simulates a fleet with all kinds of faults.
fn simulate(seed: u64) -> String {
    let bad_version = BadVersion { from_routers: 5, zone: None, error_rate: 0.2 };
    let scenario = Scenario {
        update_failure: if seed.is_multiple_of(2) { 0.0 } else { 0.03 },
        bad_version: seed.is_multiple_of(4).then_some(bad_version),
        roll_back_at: (seed % 4 == 1).then_some(60 * SECOND),
        until: 1200 * SECOND,
        ..Scenario::with_faults(seed)
    };
    let simulation = Simulation::new(scenario).run();
    let outcome = &simulation.outcome;
    format!(
        "{seed} {} {} ended {:?} grants {} refused {} expired {} halts {} out {}/{}\n",
        hash_of(&simulation.snapshot),
        hash_of(&simulation.ledger_snapshot),
        outcome.ended_at,
        outcome.grants,
        outcome.denials,
        outcome.expired_reservations,
        outcome.halts.len(),
        outcome.max_routers_out,
        outcome.max_instances_out
    )
}

#[test]
fn ledger_run_matches_recorded_text() {
    FIXTURES.assert_same("ledger-run.txt", record_ledger(1, TEXT_STEPS));
}

#[test]
fn release_run_matches_recorded_text() {
    FIXTURES.assert_same("release-run.txt", record_releases(1, TEXT_STEPS));
}

#[test]
fn runs_with_many_seeds_match_recorded_hashes() {
    let mut output = String::new();
    for seed in 0..HASHED_SEEDS {
        let ledger = fnv1a(record_ledger(seed, HASHED_STEPS));
        let releases = fnv1a(record_releases(seed, HASHED_STEPS));
        writeln!(output, "{seed} {ledger:016x} {releases:016x}").unwrap();
    }
    FIXTURES.assert_same("run-hashes.txt", &output);
}

#[test]
fn simulated_fleets_match_recorded_results() {
    let output: String = (0..SIMULATED_SEEDS).map(simulate).collect();
    FIXTURES.assert_same("played.txt", &output);
}
