//! Forms that are kept in the store, as they were written before any name of this package changed: they are read to the
//! same values and written again byte for byte.
use decision::Micros;
use releases::{
    Budget, FORMAT, Figures, Halt, HealthSettings, Kept, Kind, LedgerKept, Limit, Limits, Phase, RouterState,
    Settings, Slot, Step, Unit, Version,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Debug;

const SECOND: Micros = 1_000_000;

fn is_stored_as<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, stored: &str) {
    let stored = stored.trim_end();
    assert_eq!(serde_json::from_str::<T>(stored).unwrap(), *value);
    assert_eq!(serde_json::to_string(value).unwrap(), stored);
}

fn budget() -> Budget {
    Budget {
        routers: Limits { all: Limit::Percent(10), zone: Limit::Count(12) },
        instances: Limits { all: Limit::Percent(5), zone: Limit::Count(3) },
    }
}

#[test]
fn budget_ledger_is_read_and_written_as_stored() {
    let slot = |kind, name: &str, number| Slot {
        unit: Unit { kind, name: name.into() },
        zone: "z1".into(),
        owner: "release-7".into(),
        number,
    };
    let ledger = LedgerKept {
        format: FORMAT,
        next: 9,
        lease: 60 * SECOND,
        budget: budget(),
        slots: vec![slot(Kind::Router, "r001", 7), slot(Kind::Instance, "i001", 8)],
    };
    is_stored_as(&ledger, include_str!("fixtures/ledger.json"));
}

fn settings() -> Settings {
    Settings {
        growth: 2,
        largest: 32,
        lease: 60 * SECOND,
        moving: 30 * SECOND,
        retry: SECOND,
        spare: 1,
        health: HealthSettings {
            enough: 500,
            errors: 0.01,
            latency: 1.5,
            watch: 15 * SECOND,
            patience: 90 * SECOND,
        },
    }
}

fn release(phase: Phase, good: Version, target: Version) -> Kept {
    let steps =
        [Step::Waiting, Step::Moving, Step::Moved, Step::Lost, Step::Returning, Step::Back, Step::Left];
    let state = |(i, step): (usize, &Step)| {
        let before = Figures { requests: 1000 + i as u64, errors: 2, latency: 1_000_000 };
        (format!("r{i:03}"), RouterState { zone: format!("z{}", i % 2), step: *step, wave: i as u32, before })
    };
    Kept {
        format: FORMAT,
        name: "release-7".into(),
        good,
        target,
        settings: settings(),
        zones: vec!["z1".into(), "z0".into()],
        phase,
        back: false,
        wave: 3,
        size: 4,
        zone: Some("z1".into()),
        batch: BTreeSet::from(["r001".into(), "r002".into()]),
        routers: steps.iter().enumerate().map(state).collect(),
        life: 2,
    }
}

#[test]
fn release_of_a_program_is_read_and_written_as_stored() {
    let release = release(Phase::Running, Version::Program("1.0".into()), Version::Program("1.1".into()));
    is_stored_as(&release, include_str!("fixtures/release.json"));
}

#[test]
fn release_of_a_configuration_is_read_and_written_as_stored() {
    let mut release = release(Phase::Undoing, Version::Config(41), Version::Config(u64::MAX));
    (release.back, release.zone) = (true, None);
    is_stored_as(&release, include_str!("fixtures/undo.json"));
}

#[test]
fn phases_are_read_and_written_as_stored() {
    let names = || vec!["r001".to_string(), "r002".to_string()];
    let phases = vec![
        Phase::Running,
        Phase::Halted(Halt::Operator),
        Phase::Halted(Halt::Worse(names())),
        Phase::Halted(Halt::Unwell(names())),
        Phase::Halted(Halt::Lost(names())),
        Phase::Undoing,
        Phase::Done,
        Phase::Undone,
    ];
    is_stored_as(&phases, include_str!("fixtures/phases.json"));
}
