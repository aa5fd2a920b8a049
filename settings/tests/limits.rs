//! Consistency of the limits: each rule between limits is violated in turn.
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
fn watch_limits_leave_one_second_of_the_notification_deadline() {
    let limits = limits();
    assert_eq!(limits.check_watch(), Ok(()));
    // The sum of silence timeout, longest backoff, connect timeout and first-line timeout.
    assert_eq!(limits.max_delay_after_silence(), ms(2600 + 1000 + 500 + 600));
    assert_eq!(limits.max_delay_after_move(), ms(250 + 500 + 600));
    assert!(
        limits.max_delay_after_silence() + limits.watch_notification_margin
            <= limits.watch_notification_deadline
    );
    assert_eq!((limits.watch_notification_deadline, limits.watch_notification_margin), (ms(6000), ms(1000)));
}

#[test]
fn inconsistent_watch_limit_is_rejected_with_a_remedy() {
    type SetLimit = fn(&mut Limits);
    let detected_late: [(&str, SetLimit); 5] = [
        ("silent", |l| l.watch_silence_timeout = ms(2901)),
        ("retry", |l| l.watch_backoff.max = ms(1301)),
        ("connect", |l| (l.watch_connect_timeout, l.max_pending_watches) = (ms(801), 16)),
        ("first line after head", |l| (l.watch_first_line_timeout, l.max_pending_watches) = (ms(901), 16)),
        ("first line before the next watch", |l| l.watch_first_line_timeout = ms(1001)),
    ];
    for (limit, set_limit) in detected_late {
        let mut limits = limits();
        set_limit(&mut limits);
        let found = limits.check_watch();
        assert!(matches!(found, Err(WatchError::SilenceDetectedLate { .. })), "{limit}: {found:?}");
        let error = found.unwrap_err().to_string();
        assert!(
            error.contains("later than 6s less the margin of 1s: shorten watch_silence_timeout"),
            "{error}"
        );
    }
    for (limit, set_limit) in [
        ("deadline", (|l| l.watch_notification_deadline = ms(5699)) as SetLimit),
        ("margin", |l| l.watch_notification_margin = ms(1301)),
    ] {
        let mut limits = limits();
        set_limit(&mut limits);
        assert!(matches!(limits.check_watch(), Err(WatchError::SilenceDetectedLate { .. })), "{limit}");
    }
    let error_after = |set_limit: SetLimit| {
        let mut limits = limits();
        set_limit(&mut limits);
        limits.check_watch().unwrap_err()
    };
    let move_detected_late = error_after(|l| l.watch_previous_address_duration = ms(2349));
    assert!(matches!(move_detected_late, WatchError::MoveDetectedLate { .. }), "{move_detected_late}");
    let too_short = error_after(|l| l.watch_silence_timeout = ms(2000));
    assert!(matches!(too_short, WatchError::SilenceTimeoutTooShort { .. }), "{too_short}");
    for set_limit in [
        (|l| l.max_pending_watches = 5) as SetLimit,
        |l| l.max_pending_watches = 0,
        |l| l.watch_backoff.min = ms(219),
    ] {
        let evicted_early = error_after(set_limit);
        assert!(matches!(evicted_early, WatchError::PendingWatchEvictedEarly { .. }), "{evicted_early}");
        assert!(
            evicted_early.to_string().contains("raise max_pending_watches or watch_backoff"),
            "{evicted_early}"
        );
    }
}

#[test]
fn connections_and_reserved_descriptors_fit_into_the_total() {
    let long = Duration::from_secs(20);
    for sockets in 64..=4096 {
        let resources = ProcessResources { descriptors: sockets, memory_bytes: 192 << 20 };
        let mut limits = Limits::new(
            resources,
            RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long },
        );
        let total =
            |l: &Limits| l.max_client_connections + l.max_backend_connections + l.reserved_descriptors;
        assert!(total(&limits) <= sockets, "{sockets} descriptors: {} are assigned", total(&limits));
        let (reserved_before, admin_connections_before, clients_before) =
            (limits.reserved_descriptors, limits.max_admin_connections, limits.max_client_connections);
        limits.reserve_admin_descriptors(resources);
        // Two processes running in parallel have to accept all connections that the platform's front end
        // opens, with or without an admin listener.
        assert!(sockets < 256 || limits.max_client_connections == clients_before, "{sockets}: {limits:?}");
        assert!(
            total(&limits) <= sockets,
            "{sockets} descriptors, with an admin listener: {} are assigned",
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
fn reserved_descriptors_suffice_for_all_watches() {
    let limits = limits();
    // Pending watches, a silent one and one of the previous address; each counts twice because its
    // predecessor may not be closed yet.
    assert!(limits.reserved_descriptors > 2 * (limits.max_pending_watches + 2) + 3 + 2 + 2);
}

/// Guards against connections that use more memory than the process has, although there are descriptors for them.
#[test]
fn connections_use_at_most_half_of_the_memory_that_the_program_leaves() {
    /// Memory of the program without connections, and of a connection without messages.
    const PROGRAM_BYTES: usize = 10 << 20;
    const CONNECTION_BYTES: usize = 24 * 1024;
    let long = Duration::from_secs(20);
    let times = RequestTimes { connect_timeout: long, backend_keepalive: long, longest_deadline: long };
    for memory_mb in [16, 32, 64, 192] {
        for descriptors in [256, 1024] {
            let resources = ProcessResources { descriptors, memory_bytes: memory_mb << 20 };
            let mut limits = Limits::new(resources, times);
            for _ in 0..2 {
                let connections = limits.max_client_connections + limits.max_backend_connections;
                let available = (resources.memory_bytes - PROGRAM_BYTES) / 2;
                assert!(connections * CONNECTION_BYTES <= available, "{resources:?}: {connections}");
                let sum = PROGRAM_BYTES + connections * CONNECTION_BYTES + limits.max_client_memory_bytes;
                assert!(sum <= resources.memory_bytes, "{resources:?}: {sum} bytes");
                limits.reserve_admin_descriptors(resources);
            }
            // As many clients as the platform opens connections for requests.
            let is_expected = limits.max_client_connections >= limits.expected_request_connections;
            assert!(memory_mb < 32 || is_expected, "{resources:?}: {limits:?}");
        }
    }
}
