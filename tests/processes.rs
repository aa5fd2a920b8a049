//! A hundred router processes at once, with a store, quotas and placement, while some of the processes and
//! connections fail. Guarantees are checked against the records of servers and clients, never against the
//! speed of the machine.
use multiprocess::check::{CheckSettings, Violation, check};
use multiprocess::history::{Outcome, QuotaLimit};
use multiprocess::{plan, run};
use std::path::Path;

const PLAN: &str = include_str!("processes.toml");

#[test]
fn hundred_routers_keep_quotas_placement_and_single_responses_during_faults() {
    let plan = plan::read(PLAN).unwrap();
    assert!(plan.routers >= 100);
    let report =
        run::run(Path::new(env!("CARGO_BIN_EXE_damsonvale")), &plan, &CheckSettings::default()).unwrap();
    assert!(report.is_good(), "{report}");
    // The run proves nothing if few requests ran, or if the quota and the faults had no effect.
    let outcomes = report.outcomes();
    let counts_of = |name: &str| &outcomes.iter().find(|o| o.tenant == name).unwrap().counts;
    for tenant in &outcomes {
        assert!(tenant.counts.count(Outcome::Served) > 20, "{}: {report}", tenant.tenant);
    }
    assert!(counts_of("tills").count(Outcome::Rejected) > 20, "{report}");
    assert!(report.history.outages.len() >= 70, "{report}");
    assert!(report.history.tenants.iter().any(|t| t.placements.len() > 1), "{report}");
    // The checker does look at the history: with a lower quota and another placement rule, it finds
    // violations in the same history.
    let mut altered = report.history.clone();
    let tenant = |name: &str| altered.tenants.iter().position(|t| t.name == name).unwrap();
    let (tills, books) = (tenant("tills"), tenant("books"));
    altered.tenants[tills]
        .quotas
        .iter_mut()
        .for_each(|q| q.value = Some(QuotaLimit { rate: 5.0, burst: 1.0 }));
    let sites = Some(["hall-b".to_string()].into());
    altered.tenants[books].placements.iter_mut().for_each(|p| p.value.reads = sites.clone());
    let violations = check(&altered, &CheckSettings::default()).violations;
    assert!(
        violations.iter().any(|v| matches!(v, Violation::QuotaExceeded { tenant, .. } if tenant == "tills")),
        "{violations:?}"
    );
    assert!(
        violations
            .iter()
            .any(|v| matches!(v, Violation::OutsidePlacement { tenant, .. } if tenant == "books")),
        "{violations:?}"
    );
}

#[test]
fn rejection_of_invalid_plan_contains_the_key() {
    let assert_rejected = |from: &str, to: &str, key: &str| {
        assert!(PLAN.contains(from), "{from}");
        let message = plan::read(&PLAN.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(message.contains(key), "{message}");
    };
    assert_rejected("nodes = 3", "nodes = 2", "nodes");
    assert_rejected("share = 0.7", "share = 1.7", "fault[0].share");
    assert_rejected("share = 0.7", "shares = 0.7", "shares");
    assert_rejected("tenant = \"tills\"", "tenant = \"nobody\"", "nobody");
    assert_rejected("fleet = true", "fleet = false", "tenant[1]");
}
