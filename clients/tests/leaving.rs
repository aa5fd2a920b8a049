//! How a front lets its clients go, as a state machine: the moments of its steps, and what holds in any order of events.
use clients::leaving::{Action, Event, Leaving, Step, Times};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn front() -> Leaving {
    Leaving::new(Times {
        grace: ms(600),
        last: ms(850),
        most: ms(3600),
        drain_quiet: ms(500),
        drain_last: ms(1500),
    })
}

fn told(front: &mut Leaving, at: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    front.handle(ms(at), event, &mut actions);
    actions
}

fn look(front: &mut Leaving, at: u64, open: usize) -> Vec<Action> {
    told(front, at, Event::Look { open })
}

#[test]
fn a_drain_says_no_at_once_lets_go_in_steps_and_is_taken_back() {
    let mut f = front();
    assert_eq!(told(&mut f, 100, Event::Drain(true)), [Action::SayNo(true)]);
    assert_eq!(
        told(&mut f, 300, Event::Drain(true)),
        [],
        "a second call changes nothing, not the time either"
    );
    assert_eq!(look(&mut f, 599, 9), []);
    assert_eq!(look(&mut f, 600, 9), [Action::Treat(Step::Quiet)]);
    assert_eq!(look(&mut f, 1600, 2), [Action::Treat(Step::Last)]);
    assert_eq!(look(&mut f, 9000, 0), [], "the process goes on with nobody connected");
    assert_eq!(told(&mut f, 9001, Event::Drain(false)), [Action::SayNo(false), Action::Treat(Step::Open)]);
    assert!(!f.under_way());
}

#[test]
fn an_end_takes_what_comes_through_the_grace_and_is_over_when_nobody_is_left_or_its_time_is() {
    let mut f = front();
    assert_eq!(told(&mut f, 0, Event::End { successor: false }), []);
    assert_eq!(look(&mut f, 599, 0), [], "somebody may still come");
    assert_eq!(look(&mut f, 600, 3), [Action::StopAccepting, Action::Treat(Step::Quiet)]);
    assert_eq!(look(&mut f, 850, 3), [Action::Treat(Step::Last)]);
    assert_eq!(look(&mut f, 900, 0), [Action::Ended]);
    assert_eq!(look(&mut f, 901, 0), []);
    let mut f = front();
    told(&mut f, 0, Event::End { successor: false });
    look(&mut f, 850, 3);
    assert_eq!(look(&mut f, 3600, 3), [Action::Ended]);
}

#[test]
fn with_a_successor_nothing_more_is_accepted_from_the_first_moment_and_one_that_comes_late_counts() {
    let mut f = front();
    let first = told(&mut f, 0, Event::End { successor: true });
    assert_eq!(first, [Action::StopAccepting, Action::Treat(Step::Quiet)]);
    let mut f = front();
    told(&mut f, 0, Event::End { successor: false });
    let late = told(&mut f, 200, Event::Successor(true));
    assert_eq!(late, [Action::StopAccepting, Action::Treat(Step::Quiet)]);
    let mut f = front();
    assert_eq!(told(&mut f, 0, Event::Successor(true)), [], "alone it is no reason to end");
}

#[test]
fn a_drain_and_an_end_go_by_the_stricter_in_any_order() {
    let mut f = front();
    told(&mut f, 0, Event::Drain(true));
    assert_eq!(look(&mut f, 1500, 4), [Action::Treat(Step::Last)]);
    assert_eq!(told(&mut f, 1600, Event::End { successor: false }), []);
    assert_eq!(look(&mut f, 2200, 1), [Action::StopAccepting]);
    let back = told(&mut f, 2300, Event::Drain(false));
    assert_eq!(back, [Action::SayNo(false)], "the end goes on, and opens nothing again");
    assert_eq!(look(&mut f, 2450, 1), [], "what is not read any more stays so");
    assert_eq!(look(&mut f, 2451, 0), [Action::Ended]);
    let mut f = front();
    told(&mut f, 0, Event::End { successor: true });
    assert_eq!(told(&mut f, 10, Event::Drain(true)), [Action::SayNo(true)]);
    assert_eq!(look(&mut f, 850, 1), [Action::Treat(Step::Last)]);
    assert_eq!(look(&mut f, 851, 0), [Action::Ended]);
}

/// What comes next, and how many milliseconds later.
fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        any::<bool>().prop_map(Event::Drain),
        any::<bool>().prop_map(|successor| Event::End { successor }),
        any::<bool>().prop_map(Event::Successor),
        (0_usize..3).prop_map(|open| Event::Look { open }),
        (0_usize..3).prop_map(|open| Event::Look { open }),
    ];
    (0_u64..900, event)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn in_any_order_an_end_is_reached_in_time_and_never_taken_back(events in prop::collection::vec(event(), 1..60)) {
        let (mut f, mut now, mut begun) = (front(), 0, None);
        let (mut step, mut stopped, mut over) = (Step::Open, false, false);
        // However it went before, the last looks come after all times are up.
        let late = [(4000, Event::End { successor: false }), (4000, Event::Look { open: 1 }), (1, Event::Look { open: 0 })];
        for (later, event) in events.into_iter().chain(late) {
            now += later;
            if matches!(event, Event::End { .. }) {
                begun.get_or_insert(now);
            }
            let since = begun.map(|at| now - at);
            let actions = told(&mut f, now, event);
            prop_assert!(!over || actions.is_empty(), "{actions:?} after the end");
            for action in actions {
                match action {
                    Action::StopAccepting => {
                        prop_assert!(!stopped && begun.is_some());
                        stopped = true;
                    }
                    Action::Treat(to) => {
                        prop_assert!(to != step, "{to:?} once more");
                        prop_assert!(begun.is_none() || to > step, "from {step:?} back to {to:?}");
                        step = to;
                    }
                    Action::Ended => {
                        let nobody = matches!(event, Event::Look { open: 0 });
                        prop_assert!(stopped && (nobody || since >= Some(3600)), "{event:?} at {since:?}");
                        over = true;
                    }
                    Action::SayNo(_) => {}
                }
            }
            prop_assert!(over || since < Some(600) || (stopped && step > Step::Open));
            prop_assert!(over || since < Some(850) || step == Step::Last);
            prop_assert!(over || since < Some(3600), "still there at {since:?}");
            prop_assert!(f.under_way() || over || begun.is_none(), "nobody would look again");
        }
        prop_assert!(over);
    }
}
