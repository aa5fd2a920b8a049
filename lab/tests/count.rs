//! Tests the counting of events in a router's log.
use damsonvale_lab::count::{EventCounts, count_router_log};
use std::collections::BTreeMap;

#[test]
fn rejections_are_counted_by_whether_an_attempt_was_sent() {
    let log = [
        "0.10 decision event received event=RequestArrived { id: RequestId(7), class: 2, .. }",
        "0.20 decision event received event=RequestArrived { id: RequestId(8), class: 1, .. }",
        "0.30 decision action requested action=Send { request: RequestId(7), member: MemberId(3) }",
        "0.40 backend connection opened member=3",
        "1.50 decision action requested action=Reject { request: RequestId(7) }",
        "1.60 decision action requested action=Reject { request: RequestId(8) }",
        "1.70 decision event received event=ProbeEnded { member: MemberId(3), outcome: Reset, report: MemberReport { primary: None } }",
        "2.00 decision action requested action=Probe { member: MemberId(3) }",
        "a line of something else",
    ];
    let mut counts = EventCounts::default();
    count_router_log(log, &mut counts);
    assert_eq!(counts.total("requests"), 2);
    assert_eq!(counts.total("refused class 2, after attempts"), 1);
    assert_eq!(counts.total("refused class 1, never sent"), 1);
    assert_eq!(counts.total("connections"), 1);
    assert_eq!(counts.total("probe after Reset, no report"), 1);
    assert_eq!(counts.0["attempts"], BTreeMap::from([(0, 1)]));
}
