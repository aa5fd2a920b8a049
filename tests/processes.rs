//! A hundred real routers at once, with a store, quotas and placement, while parts of them fail. Guarantees are checked
//! against the records of servers and clients, never against how fast this machine is.
use multiprocess::check::{CheckSettings, Violation, check};
use multiprocess::history::{Outcome, QuotaLimit};
use multiprocess::{plan, run};
use std::path::Path;

const PLAN: &str = include_str!("processes.toml");

#[test]
fn hundred_routers_keep_quotas_placement_and_single_answers_during_faults() {
    let plan = plan::read(PLAN).unwrap();
    assert!(plan.routers >= 100);
    let report =
        run::run(Path::new(env!("CARGO_BIN_EXE_damsonvale")), &plan, &CheckSettings::default()).unwrap();
    assert!(report.is_good(), "{report}");
    // It is no proof where little ran, or where the quota and the faults were not felt.
    let outcomes = report.outcomes();
    let of = |name: &str| &outcomes.iter().find(|o| o.tenant == name).unwrap().counts;
    for tenant in &outcomes {
        assert!(tenant.counts.count(Outcome::Served) > 20, "{}: {report}", tenant.tenant);
    }
    assert!(of("tills").count(Outcome::Rejected) > 20, "{report}");
    assert!(report.history.outages.len() >= 70, "{report}");
    assert!(report.history.tenants.iter().any(|t| t.placements.len() > 1), "{report}");
    // The checker sees what ran: the same history is refused under a quota and a rule that did not hold.
    let mut other = report.history.clone();
    let tenant = |name: &str| other.tenants.iter().position(|t| t.name == name).unwrap();
    let (tills, books) = (tenant("tills"), tenant("books"));
    other.tenants[tills].quotas.iter_mut().for_each(|q| q.value = Some(QuotaLimit { rate: 5.0, burst: 1.0 }));
    let sites = Some(["hall-b".to_string()].into());
    other.tenants[books].placements.iter_mut().for_each(|p| p.value.reads = sites.clone());
    let violations = check(&other, &CheckSettings::default()).violations;
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
fn invalid_plan_is_rejected_with_its_key() {
    let faulty = |from: &str, to: &str, key: &str| {
        assert!(PLAN.contains(from), "{from}");
        let said = plan::read(&PLAN.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(said.contains(key), "{said}");
    };
    faulty("nodes = 3", "nodes = 2", "nodes");
    faulty("share = 0.7", "share = 1.7", "fault[0].share");
    faulty("share = 0.7", "shares = 0.7", "shares");
    faulty("tenant = \"tills\"", "tenant = \"nobody\"", "nobody");
    faulty("fleet = true", "fleet = false", "tenant[1]");
}
