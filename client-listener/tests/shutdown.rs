//! The shutdown state machine: when its stages begin, and which invariants hold in any order of events.
use client_listener::shutdown::{Action, ClosePolicy, Event, GracefulShutdown, ShutdownTimes};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn new_server() -> GracefulShutdown {
    GracefulShutdown::new(ShutdownTimes {
        grace: ms(600),
        stop_reading: ms(850),
        deadline: ms(3600),
        forced_deadline: ms(8600),
        drain_close_when_idle: ms(500),
        drain_stop_reading: ms(1500),
    })
}

fn handle(server: &mut GracefulShutdown, at: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    server.handle(ms(at), event, &mut actions);
    actions
}

/// A tick while no command is in flight.
fn tick(server: &mut GracefulShutdown, at: u64, open_connections: usize) -> Vec<Action> {
    handle(server, at, Event::Tick { open_connections, commands_in_flight: 0 })
}

#[test]
fn drain_is_reported_at_once_closes_in_stages_and_can_be_ended() {
    let mut server = new_server();
    assert_eq!(handle(&mut server, 100, Event::SetDraining(true)), [Action::ReportDraining(true)]);
    assert_eq!(
        handle(&mut server, 300, Event::SetDraining(true)),
        [],
        "a repeated command has no effect and does not move the start of the drain"
    );
    assert_eq!(tick(&mut server, 599, 9), []);
    assert_eq!(tick(&mut server, 600, 9), [Action::SetClosePolicy(ClosePolicy::CloseWhenIdle)]);
    assert_eq!(tick(&mut server, 1600, 2), [Action::SetClosePolicy(ClosePolicy::StopReading)]);
    assert_eq!(tick(&mut server, 9000, 0), [], "a drained process must not complete without a shutdown");
    assert_eq!(
        handle(&mut server, 9001, Event::SetDraining(false)),
        [Action::ReportDraining(false), Action::SetClosePolicy(ClosePolicy::KeepOpen)]
    );
    assert!(!server.needs_ticks());
}

#[test]
fn shutdown_accepts_through_grace_and_completes_when_all_closed_or_at_deadline() {
    let mut server = new_server();
    assert_eq!(handle(&mut server, 0, Event::Shutdown { successor: false }), []);
    assert_eq!(tick(&mut server, 599, 0), [], "clients must be able to connect during the grace period");
    assert_eq!(
        tick(&mut server, 600, 3),
        [Action::StopAccepting, Action::SetClosePolicy(ClosePolicy::CloseWhenIdle)]
    );
    assert_eq!(tick(&mut server, 850, 3), [Action::SetClosePolicy(ClosePolicy::StopReading)]);
    assert_eq!(tick(&mut server, 900, 0), [Action::Complete]);
    assert_eq!(tick(&mut server, 901, 0), []);
    let mut server = new_server();
    handle(&mut server, 0, Event::Shutdown { successor: false });
    tick(&mut server, 850, 3);
    assert_eq!(tick(&mut server, 3600, 3), [Action::Complete]);
}

#[test]
fn shutdown_with_successor_stops_accepting_at_once_also_with_late_successor() {
    let mut server = new_server();
    let actions = handle(&mut server, 0, Event::Shutdown { successor: true });
    assert_eq!(actions, [Action::StopAccepting, Action::SetClosePolicy(ClosePolicy::CloseWhenIdle)]);
    let mut server = new_server();
    handle(&mut server, 0, Event::Shutdown { successor: false });
    let actions = handle(&mut server, 200, Event::SetSuccessor(true));
    assert_eq!(actions, [Action::StopAccepting, Action::SetClosePolicy(ClosePolicy::CloseWhenIdle)]);
    let mut server = new_server();
    assert_eq!(
        handle(&mut server, 0, Event::SetSuccessor(true)),
        [],
        "a successor alone does not start a shutdown"
    );
}

#[test]
fn drain_and_shutdown_apply_the_stricter_policy_in_any_order() {
    let mut server = new_server();
    handle(&mut server, 0, Event::SetDraining(true));
    assert_eq!(tick(&mut server, 1500, 4), [Action::SetClosePolicy(ClosePolicy::StopReading)]);
    assert_eq!(handle(&mut server, 1600, Event::Shutdown { successor: false }), []);
    assert_eq!(tick(&mut server, 2200, 1), [Action::StopAccepting]);
    let actions = handle(&mut server, 2300, Event::SetDraining(false));
    assert_eq!(
        actions,
        [Action::ReportDraining(false)],
        "the end of a drain must not relax the policy of a shutdown"
    );
    assert_eq!(tick(&mut server, 2450, 1), [], "reading must not resume during a shutdown");
    assert_eq!(tick(&mut server, 2451, 0), [Action::Complete]);
    let mut server = new_server();
    handle(&mut server, 0, Event::Shutdown { successor: true });
    assert_eq!(handle(&mut server, 10, Event::SetDraining(true)), [Action::ReportDraining(true)]);
    assert_eq!(tick(&mut server, 850, 1), [Action::SetClosePolicy(ClosePolicy::StopReading)]);
    assert_eq!(tick(&mut server, 851, 0), [Action::Complete]);
}

/// Guards against a process that exits before it has answered a request that it read late in the shutdown.
#[test]
fn shutdown_waits_for_commands_in_flight_until_forced_deadline() {
    let busy = |server: &mut GracefulShutdown, at| {
        handle(server, at, Event::Tick { open_connections: 2, commands_in_flight: 1 })
    };
    let mut server = new_server();
    handle(&mut server, 0, Event::Shutdown { successor: false });
    tick(&mut server, 850, 2);
    assert_eq!(busy(&mut server, 3600), []);
    assert_eq!(handle(&mut server, 3601, Event::SetSuccessor(true)), []);
    assert_eq!(busy(&mut server, 8599), []);
    assert_eq!(busy(&mut server, 8600), [Action::Complete]);
    let mut server = new_server();
    handle(&mut server, 0, Event::Shutdown { successor: false });
    tick(&mut server, 850, 2);
    busy(&mut server, 3700);
    assert_eq!(tick(&mut server, 3800, 1), [Action::Complete], "open connections alone do not delay the end");
}

/// Generates the milliseconds until the next event, and that event.
fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        any::<bool>().prop_map(Event::SetDraining),
        any::<bool>().prop_map(|successor| Event::Shutdown { successor }),
        any::<bool>().prop_map(Event::SetSuccessor),
        (0_usize..3).prop_map(|open_connections| Event::Tick { open_connections, commands_in_flight: 0 }),
        (0_usize..3, 0_usize..3).prop_map(|(open_connections, commands)| Event::Tick {
            open_connections,
            commands_in_flight: commands.min(open_connections),
        }),
    ];
    (0_u64..900, event)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn shutdown_completes_in_time_and_never_relaxes_in_any_order_of_events(
        events in prop::collection::vec(event(), 1..60)
    ) {
        let mut server = new_server();
        let (mut now, mut shutdown_at, mut in_flight) = (0, None, 0);
        let (mut policy, mut stopped, mut complete) = (ClosePolicy::KeepOpen, false, false);
        // Whatever the random events are, the last ticks come after the deadline.
        let late = [
            (4000, Event::Shutdown { successor: false }),
            (4000, Event::Tick { open_connections: 1, commands_in_flight: 1 }),
            (1, Event::Tick { open_connections: 0, commands_in_flight: 0 })
        ];
        for (later, event) in events.into_iter().chain(late) {
            now += later;
            if matches!(event, Event::Shutdown { .. }) {
                shutdown_at.get_or_insert(now);
            }
            if let Event::Tick { commands_in_flight, .. } = event {
                in_flight = commands_in_flight;
            }
            let since = shutdown_at.map(|at| now - at);
            let latest = if in_flight == 0 { 3600 } else { 8600 };
            let actions = handle(&mut server, now, event);
            prop_assert!(!complete || actions.is_empty(), "{actions:?} after completion");
            for action in actions {
                match action {
                    Action::StopAccepting => {
                        prop_assert!(!stopped && shutdown_at.is_some());
                        stopped = true;
                    }
                    Action::SetClosePolicy(to) => {
                        prop_assert!(to != policy, "policy {to:?} set twice");
                        prop_assert!(shutdown_at.is_none() || to > policy, "{policy:?} relaxed to {to:?}");
                        policy = to;
                    }
                    Action::Complete => {
                        let all_closed = matches!(event, Event::Tick { open_connections: 0, .. });
                        prop_assert!(
                            stopped && (all_closed || since >= Some(latest)), "{event:?} at {since:?}"
                        );
                        complete = true;
                    }
                    Action::ReportDraining(_) => {}
                }
            }
            prop_assert!(complete || since < Some(600) || (stopped && policy > ClosePolicy::KeepOpen));
            prop_assert!(complete || since < Some(850) || policy == ClosePolicy::StopReading);
            prop_assert!(complete || since < Some(latest), "not complete at {since:?}");
            prop_assert!(server.needs_ticks() || complete || shutdown_at.is_none(), "no tick requested");
        }
        prop_assert!(complete);
    }
}
