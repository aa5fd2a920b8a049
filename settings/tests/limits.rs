//! Bounds that have to be consistent, each broken in turn.
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes, WatchError};
use std::time::Duration;

fn limits() -> Limits {
    let long = Duration::from_secs(20);
    Limits::new(
        ProcessResources { descriptors: 256, memory_bytes: 192 << 20 },
        RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long },
    )
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn watch_bounds_leave_one_second_of_six() {
    let limits = limits();
    assert_eq!(limits.check_watch(), Ok(()));
    // Silence, the pause between two openings, a connection and its first line.
    assert_eq!(limits.max_delay_after_silence(), ms(2600 + 1000 + 500 + 600));
    assert_eq!(limits.max_delay_after_move(), ms(250 + 500 + 600));
    assert!(
        limits.max_delay_after_silence() + limits.watch_notification_margin
            <= limits.watch_notification_deadline
    );
    assert_eq!((limits.watch_notification_deadline, limits.watch_notification_margin), (ms(6000), ms(1000)));
}

#[test]
fn inconsistent_watch_bound_is_refused_with_a_remedy() {
    type BreakBound = fn(&mut Limits);
    let noticed_late: [(&str, BreakBound); 5] = [
        ("silent", |l| l.watch_silence_timeout = ms(2901)),
        ("retry", |l| l.watch_backoff.max = ms(1301)),
        ("connect", |l| (l.watch_connect_timeout, l.max_pending_watches) = (ms(801), 16)),
        ("answer, in the line", |l| (l.watch_first_line_timeout, l.max_pending_watches) = (ms(901), 16)),
        ("answer, before the next opening", |l| l.watch_first_line_timeout = ms(1001)),
    ];
    for (bound, break_bound) in noticed_late {
        let mut limits = limits();
        break_bound(&mut limits);
        let found = limits.check_watch();
        assert!(matches!(found, Err(WatchError::SilenceNoticedLate { .. })), "{bound}: {found:?}");
        let error = found.unwrap_err().to_string();
        assert!(
            error.contains("later than 6s less the margin of 1s: shorten watch_silence_timeout"),
            "{error}"
        );
    }
    for (bound, break_bound) in [
        ("deadline", (|l| l.watch_notification_deadline = ms(5699)) as BreakBound),
        ("margin", |l| l.watch_notification_margin = ms(1301)),
    ] {
        let mut limits = limits();
        break_bound(&mut limits);
        assert!(matches!(limits.check_watch(), Err(WatchError::SilenceNoticedLate { .. })), "{bound}");
    }
    let refusal_of = |break_bound: BreakBound| {
        let mut limits = limits();
        break_bound(&mut limits);
        limits.check_watch().unwrap_err()
    };
    let move_noticed_late = refusal_of(|l| l.watch_previous_address_duration = ms(2349));
    assert!(matches!(move_noticed_late, WatchError::MoveNoticedLate { .. }), "{move_noticed_late}");
    let too_short = refusal_of(|l| l.watch_silence_timeout = ms(2000));
    assert!(matches!(too_short, WatchError::SilenceTimeoutTooShort { .. }), "{too_short}");
    for break_bound in [
        (|l| l.max_pending_watches = 5) as BreakBound,
        |l| l.max_pending_watches = 0,
        |l| l.watch_backoff.min = ms(219),
    ] {
        let evicted_early = refusal_of(break_bound);
        assert!(matches!(evicted_early, WatchError::PendingWatchEvictedEarly { .. }), "{evicted_early}");
        assert!(
            evicted_early.to_string().contains("raise max_pending_watches or watch_backoff"),
            "{evicted_early}"
        );
    }
}

#[test]
fn connections_and_reserve_fit_into_descriptors() {
    let long = Duration::from_secs(20);
    for sockets in 64..=4096 {
        let mut limits = Limits::new(
            ProcessResources { descriptors: sockets, memory_bytes: 192 << 20 },
            RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long },
        );
        let total =
            |l: &Limits| l.max_client_connections + l.max_backend_connections + l.reserved_descriptors;
        assert!(total(&limits) <= sockets, "{sockets}: {} are handed out", total(&limits));
        let (reserved_before, admin_connections_before, clients_before) =
            (limits.reserved_descriptors, limits.max_admin_connections, limits.max_client_connections);
        limits.reserve_admin_descriptors(sockets);
        // Two processes have to hold all that the platform's front opens, with an admin listener as without.
        assert!(sockets < 256 || limits.max_client_connections == clients_before, "{sockets}: {limits:?}");
        assert!(
            total(&limits) <= sockets,
            "{sockets} with an admin listener: {} are handed out",
            total(&limits)
        );
        assert!(
            limits.reserved_descriptors >= reserved_before + limits.max_admin_connections
                && limits.max_admin_connections <= admin_connections_before
        );
        assert!(
            limits.max_client_connections >= 9 && limits.max_backend_connections >= 3,
            "{sockets}: {limits:?}"
        );
    }
}

#[test]
fn watch_has_descriptors_for_all_its_connections() {
    let limits = limits();
    // Those that wait, a silent one and a former one, each a second time while it is being closed.
    assert!(limits.reserved_descriptors > 2 * (limits.max_pending_watches + 2) + 3 + 2 + 2);
}
