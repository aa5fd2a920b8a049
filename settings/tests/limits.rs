//! Bounds that have to be consistent, each broken in turn.
use settings::Limits;
use settings::limits::WatchError;
use std::time::Duration;

fn limits() -> Limits {
    let long = Duration::from_secs(20);
    Limits::new(256, 192 << 20, long, long, long)
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
    type Break = fn(&mut Limits);
    let late: [(&str, Break); 5] = [
        ("silent", |l| l.watch_silence_timeout = ms(2901)),
        ("retry", |l| l.watch_backoff.max = ms(1301)),
        ("connect", |l| (l.watch_connect_timeout, l.max_pending_watches) = (ms(801), 16)),
        ("answer, in the line", |l| (l.watch_first_line_timeout, l.max_pending_watches) = (ms(901), 16)),
        ("answer, before the next opening", |l| l.watch_first_line_timeout = ms(1001)),
    ];
    for (which, spoil) in late {
        let mut limits = limits();
        spoil(&mut limits);
        let found = limits.check_watch();
        assert!(matches!(found, Err(WatchError::SilenceNoticedLate { .. })), "{which}: {found:?}");
        let said = found.unwrap_err().to_string();
        assert!(
            said.contains("later than 6s less the margin of 1s: shorten watch_silence_timeout"),
            "{said}"
        );
    }
    for (which, spoil) in [
        ("told", (|l| l.watch_notification_deadline = ms(5699)) as Break),
        ("margin", |l| l.watch_notification_margin = ms(1301)),
    ] {
        let mut limits = limits();
        spoil(&mut limits);
        assert!(matches!(limits.check_watch(), Err(WatchError::SilenceNoticedLate { .. })), "{which}");
    }
    let broken = |spoil: Break| {
        let mut limits = limits();
        spoil(&mut limits);
        limits.check_watch().unwrap_err()
    };
    let moved = broken(|l| l.watch_previous_address_duration = ms(2349));
    assert!(matches!(moved, WatchError::MoveNoticedLate { .. }), "{moved}");
    let hasty = broken(|l| l.watch_silence_timeout = ms(2000));
    assert!(matches!(hasty, WatchError::SilenceTimeoutTooShort { .. }), "{hasty}");
    for spoil in [
        (|l| l.max_pending_watches = 5) as Break,
        |l| l.max_pending_watches = 0,
        |l| l.watch_backoff.min = ms(219),
    ] {
        let crowded = broken(spoil);
        assert!(matches!(crowded, WatchError::PendingWatchEvictedEarly { .. }), "{crowded}");
        assert!(crowded.to_string().contains("raise max_pending_watches or watch_backoff"), "{crowded}");
    }
}

#[test]
fn connections_and_reserve_fit_into_descriptors() {
    let long = Duration::from_secs(20);
    for sockets in 64..=4096 {
        let mut limits = Limits::new(sockets, 192 << 20, long, long, long);
        let all = |l: &Limits| l.max_client_connections + l.max_backend_connections + l.reserved_descriptors;
        assert!(all(&limits) <= sockets, "{sockets}: {} are handed out", all(&limits));
        let (without, callers, clients) =
            (limits.reserved_descriptors, limits.max_admin_connections, limits.max_client_connections);
        limits.reserve_admin_descriptors(sockets);
        // Two processes have to hold all that the platform's front deals out, with a door as without.
        assert!(sockets < 256 || limits.max_client_connections == clients, "{sockets}: {limits:?}");
        assert!(all(&limits) <= sockets, "{sockets} with a door: {} are handed out", all(&limits));
        assert!(
            limits.reserved_descriptors >= without + limits.max_admin_connections
                && limits.max_admin_connections <= callers
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
