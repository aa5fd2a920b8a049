//! Tests that the checker counts and describes violations of each rule.
use decision::{Freshness, Time};
use simulator::checker::{Checker, FinalResponse, RouterRequest, Rule, ServedRead};

const DEADLINE: Time = Time(1_000_000);

fn request(request: u64) -> RouterRequest {
    RouterRequest { router: 0, request }
}

fn read(
    freshness: Freshness,
    sent_at: i64,
    acknowledged_commit: Option<Time>,
    data_position: i64,
) -> ServedRead {
    ServedRead {
        freshness,
        accepted_at: Time(55),
        sent_at: Time(sent_at),
        acknowledged_commit,
        data_position: Time(data_position),
    }
}

#[test]
fn violations_of_each_rule_are_counted() {
    let mut checker = Checker::default();
    let violations = |checker: &Checker, rule| checker.violations.get(&rule).copied().unwrap_or(0);
    checker.request_accepted(request(1), DEADLINE, false);
    checker.attempt_sent(Time(0), request(1), 5);
    checker.attempt_sent(Time(1), request(1), 6);
    assert_eq!(violations(&checker, Rule::NoUnsafeRetry), 1);
    checker.attempt_not_executed(request(1));
    checker.attempt_not_executed(request(1));
    checker.attempt_sent(Time(2), request(1), 6);
    assert_eq!(violations(&checker, Rule::NoUnsafeRetry), 1);
    checker.request_completed(Time(3), request(1), FinalResponse::Rejected);
    assert_eq!(violations(&checker, Rule::NoUnsafeRetry), 2);
    checker.request_completed(Time(4), request(1), FinalResponse::Other);
    assert_eq!(violations(&checker, Rule::SingleResponse), 1);
    checker.request_accepted(request(2), DEADLINE, true);
    checker.request_accepted(request(3), DEADLINE, true);
    checker.request_completed(Time(1_050_001), request(2), FinalResponse::Other);
    checker.run_ended(Time(2_000_000));
    assert_eq!(violations(&checker, Rule::SingleResponse), 3);
    checker.node_state_notified(Time(0), 0, 7, false);
    checker.request_accepted(request(4), DEADLINE, true);
    checker.attempt_sent(Time(250_000), request(4), 7);
    assert_eq!(violations(&checker, Rule::DrainRespected), 0);
    checker.attempt_sent(Time(250_001), request(4), 7);
    assert_eq!(violations(&checker, Rule::DrainRespected), 1);
    checker.write_acknowledged(9, Time(50));
    let acknowledged = checker.acknowledged_commit(9);
    checker.read_served(Time(60), read(Freshness::Session, 55, acknowledged, 49));
    checker.read_served(Time(60), read(Freshness::Session, 55, acknowledged, 50));
    checker.read_served(Time(60), read(Freshness::Bounded(10), 55, None, 44));
    checker.read_served(Time(60), read(Freshness::Latest, 56, None, 54));
    let stale = [Rule::ReadYourWrites, Rule::BoundedStaleness].map(|rule| violations(&checker, rule));
    assert_eq!(stale, [1, 2]);
    checker.write_executed(Time(1), 77);
    checker.write_executed(Time(2), 78);
    assert_eq!(violations(&checker, Rule::NoUnsafeRetry), 2);
    checker.write_executed(Time(3), 77);
    assert_eq!(violations(&checker, Rule::NoUnsafeRetry), 3);
    checker.node_overloaded_while_warming_up(Time(1), 3);
    assert_eq!(checker.violations.len(), 6);
}

#[test]
fn violations_are_described_with_the_recorded_rule_names() {
    let mut checker = Checker::default();
    checker.node_overloaded_while_warming_up(Time(1_500_000), 3);
    checker.request_completed(Time(2_000_000), request(1), FinalResponse::Other);
    assert_eq!(
        checker.first_violations,
        [
            "1.500000 s: NoTip: node 3 crashed under overload",
            "2.000000 s: OneAnswer: router 0: request 1 got a second final response"
        ]
    );
}
