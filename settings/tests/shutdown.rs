//! Consistency of the timeouts after SIGTERM.
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::time::Duration;

#[test]
fn last_request_keeps_its_deadline_during_shutdown() {
    for ms in (0..=10_000).step_by(50) {
        let longest = Duration::from_millis(ms);
        let limits = Limits::new(
            ProcessResources { descriptors: 256, memory_bytes: 64 << 20 },
            RequestTimes { connect_timeout: longest, backend_keepalive: longest, longest_deadline: longest },
        );
        assert!(limits.shutdown_read_timeout + longest <= limits.shutdown_timeout, "{ms}");
        // The platform opens new connections for at most 0.4 s after SIGTERM.
        assert!(limits.shutdown_grace_period >= Duration::from_millis(400), "{ms}");
        // Connections are polled every 5 ms: all idle ones are closed before any that keeps sending.
        assert!(
            limits.shutdown_read_timeout >= limits.shutdown_grace_period + Duration::from_millis(50),
            "{ms}"
        );
        // SIGKILL is sent at the earliest after the longest deadline, counted as at most 3 s, plus 0.7 s.
        let counted_deadline = longest.min(Duration::from_secs(3));
        let earliest_kill = counted_deadline + Duration::from_millis(700);
        assert!(
            limits.shutdown_read_timeout + counted_deadline + Duration::from_millis(50) <= earliest_kill,
            "{ms}"
        );
        // A late request gets its response before the earliest SIGKILL, although the router may be suspended
        // for 0.15 s, and before the process exits by itself.
        assert!(limits.shutdown_late_response_timeout + Duration::from_millis(150) <= earliest_kill, "{ms}");
        assert!(limits.shutdown_late_response_timeout <= limits.shutdown_timeout, "{ms}");
        // SIGKILL is sent at the latest after the longest deadline, counted as at least 3 s, plus 0.7 s.
        let latest_kill = longest.max(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(limits.shutdown_timeout + Duration::from_millis(50) <= latest_kill, "{ms}");
    }
}
