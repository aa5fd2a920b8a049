//! A hundred real routers at once, with a store, quotas and places, while parts of them fail. What holds is told by the
//! records of servers and clients, never by how fast this machine is.
use multiprocess::check::{Bounds, Violation, check};
use multiprocess::history::{Bound, Outcome};
use multiprocess::{plan, run};
use std::path::Path;

const PLAN: &str = include_str!("processes.toml");

#[test]
fn a_hundred_routers_keep_quotas_places_and_single_answers_while_parts_fail() {
    let plan = plan::read(PLAN).unwrap();
    assert!(plan.routers >= 100);
    let report = run::run(Path::new(env!("CARGO_BIN_EXE_damsonvale")), &plan, &Bounds::default()).unwrap();
    assert!(report.good(), "{report}");
    // It is no proof where little ran, or where the quota and the faults were not felt.
    let ended = report.ended();
    let of = |name: &str| &ended.iter().find(|(n, _)| n == name).unwrap().1;
    for (name, e) in &ended {
        assert!(e.count(Outcome::Served) > 20, "{name}: {report}");
    }
    assert!(of("tills").count(Outcome::Refused) > 20, "{report}");
    assert!(report.history.downs.len() >= 70, "{report}");
    assert!(report.history.tenants.iter().any(|t| t.places.len() > 1), "{report}");
    // The checker sees what ran: the same history is refused under a quota and a rule that did not hold.
    let mut other = report.history.clone();
    let tenant = |name: &str| other.tenants.iter().position(|t| t.name == name).unwrap();
    let (tills, books) = (tenant("tills"), tenant("books"));
    other.tenants[tills].quotas.iter_mut().for_each(|q| q.is = Some(Bound { rate: 5.0, burst: 1.0 }));
    let sites = Some(["hall-b".to_string()].into());
    other.tenants[books].places.iter_mut().for_each(|p| p.is.reads = sites.clone());
    let found = check(&other, &Bounds::default()).violations;
    assert!(
        found.iter().any(|v| matches!(v, Violation::Quota { tenant, .. } if tenant == "tills")),
        "{found:?}"
    );
    assert!(
        found.iter().any(|v| matches!(v, Violation::Outside { tenant, .. } if tenant == "books")),
        "{found:?}"
    );
}

#[test]
fn a_plan_that_cannot_be_played_says_which_key() {
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
