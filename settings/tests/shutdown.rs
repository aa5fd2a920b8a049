//! The bounds after SIGTERM, which have to be consistent.
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::time::Duration;

#[test]
fn last_request_keeps_its_deadline_during_shutdown() {
    for ms in (0..=10_000).step_by(50) {
        let longest = Duration::from_millis(ms);
        let l = Limits::new(
            ProcessResources { descriptors: 256, memory_bytes: 64 << 20 },
            RequestTimes { connect_timeout: longest, backend_keepalive: longest, longest_deadline: longest },
        );
        assert!(l.shutdown_read_timeout + longest <= l.shutdown_timeout, "{ms}");
        // New connections come for 0.4 s at most after SIGTERM.
        assert!(l.shutdown_grace_period >= Duration::from_millis(400), "{ms}");
        // A connection is looked at every 5 ms: each one that falls quiet is ended before any that does not.
        assert!(l.shutdown_read_timeout >= l.shutdown_grace_period + Duration::from_millis(50), "{ms}");
        // SIGKILL comes no earlier than the longest deadline, taken as 3 s where it is longer, and 0.7 s.
        let counted = longest.min(Duration::from_secs(3));
        let killed = counted + Duration::from_millis(700);
        assert!(l.shutdown_read_timeout + counted + Duration::from_millis(50) <= killed, "{ms}");
        // Nobody ends it later than the longest deadline and that.
        let latest = longest.max(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(l.shutdown_timeout + Duration::from_millis(50) <= latest, "{ms}");
    }
}
