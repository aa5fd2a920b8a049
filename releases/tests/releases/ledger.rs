//! Tests the budget ledger on its own.
use crate::sim::{limits, target};
use decision::{Micros, Time};
use releases::{
    BudgetLedger, BudgetUsage, DisruptionBudget, GrantId, LedgerAction, LedgerEvent, Limit, Limits, Members,
    RequestId, TargetKind,
};

const REQUEST: RequestId = RequestId(7);
const LEASE: Micros = 100;

fn same_for_both_kinds(limits: Limits) -> DisruptionBudget {
    DisruptionBudget { routers: limits, instances: limits }
}

/// Six routers in two zones.
fn members() -> Members {
    (0..6).map(|i| (target(TargetKind::Router, &format!("r{i}")), format!("z{}", i % 2))).collect()
}

/// A ledger of six routers, of which two per zone may be out of service.
fn ledger(fleet_limit: u32) -> BudgetLedger {
    let limits = limits(Limit::Count(fleet_limit), Limit::Count(2));
    BudgetLedger::new(same_for_both_kinds(limits), LEASE, members())
}

fn acquire(ledger: &mut BudgetLedger, at: i64, owner: &str, router: &str) -> Option<GrantId> {
    let mut actions = Vec::new();
    let target = target(TargetKind::Router, router);
    let event = LedgerEvent::Acquire { owner: owner.into(), target, request: REQUEST };
    ledger.handle(Time(at), event, &mut actions);
    actions.iter().find_map(|action| match action {
        LedgerAction::Granted { grant, request: REQUEST, .. } => Some(*grant),
        _ => None,
    })
}

#[test]
fn two_owners_together_stay_within_budget() {
    let mut ledger = ledger(3);
    let mut granted = Vec::new();
    for i in 0..3 {
        granted.push(acquire(&mut ledger, 0, "anna", &format!("r{i}")).is_some());
        granted.push(acquire(&mut ledger, 0, "ben", &format!("r{}", i + 3)).is_some());
    }
    // r0 in z0, r3 and r1 in z1: then the fleet's limit of three is reached.
    assert_eq!(granted, [true, true, true, false, false, false]);
    assert!(acquire(&mut ledger, 0, "ben", "r0").is_none(), "r0 is already reserved by anna");
}

#[test]
fn reservation_expires_exactly_with_its_lease() {
    let mut ledger = ledger(1);
    let grant = acquire(&mut ledger, 0, "anna", "r0").unwrap();
    assert!(acquire(&mut ledger, 99, "ben", "r1").is_none());
    let renew = LedgerEvent::Renew { target: target(TargetKind::Router, "r0"), grant };
    ledger.handle(Time(99), renew, &mut Vec::new());
    assert!(acquire(&mut ledger, 198, "ben", "r1").is_none());
    // A new leader does not know how much of the lease has elapsed.
    let mut ledger = BudgetLedger::restore(ledger.snapshot(), members(), Time(198)).unwrap();
    assert!(acquire(&mut ledger, 297, "ben", "r1").is_none());
    assert!(acquire(&mut ledger, 298, "ben", "r1").is_some());
}

#[test]
fn delayed_return_of_earlier_grant_has_no_effect() {
    let mut ledger = ledger(1);
    let first = acquire(&mut ledger, 0, "anna", "r0").unwrap();
    let second = acquire(&mut ledger, 1, "anna", "r0").unwrap();
    let returned = |grant| LedgerEvent::Return { target: target(TargetKind::Router, "r0"), grant };
    ledger.handle(Time(2), returned(first), &mut Vec::new());
    assert!(acquire(&mut ledger, 3, "ben", "r1").is_none());
    ledger.handle(Time(4), returned(second), &mut Vec::new());
    assert!(acquire(&mut ledger, 5, "ben", "r1").is_some());
}

#[test]
fn lowered_budget_retains_reservations_and_denies_new_ones() {
    let mut ledger = ledger(3);
    assert!(
        acquire(&mut ledger, 0, "anna", "r0").is_some() && acquire(&mut ledger, 0, "anna", "r1").is_some()
    );
    let lowered = same_for_both_kinds(limits(Limit::Count(1), Limit::Count(1)));
    ledger.handle(Time(1), LedgerEvent::BudgetChanged(lowered), &mut Vec::new());
    assert_eq!(ledger.usage(TargetKind::Router, None), BudgetUsage { out: 2, limit: 1 });
    assert!(acquire(&mut ledger, 2, "ben", "r2").is_none());
    assert!(acquire(&mut ledger, 2, "anna", "r1").is_some(), "an owner may renew its reservation");
}

#[test]
fn invalid_limit_is_rejected_with_its_key() {
    let text = |fleet: &str| {
        format!(r#"{{"routers":{{"all":{fleet},"zone":1}},"instances":{{"all":"100%","zone":1}}}}"#)
    };
    let parse = |fleet| serde_json::from_str::<DisruptionBudget>(&text(fleet));
    for invalid in ["0", "-1", r#""0%""#, r#""101%""#, r#""some""#, "0.5"] {
        let error = parse(invalid).unwrap_err().to_string();
        assert!(error.contains("'budget.routers.all'"), "{invalid}: {error}");
    }
    let budget = parse(r#""10%""#).unwrap();
    assert_eq!((budget.routers.fleet.resolve(300), budget.routers.fleet.resolve(3)), (30, 1));
    let serialized = serde_json::to_string(&budget).unwrap();
    assert_eq!(serde_json::from_str::<DisruptionBudget>(&serialized).unwrap(), budget);
}
