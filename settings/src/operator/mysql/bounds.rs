//! The bounds of the program and the settings of the decision logic that follow from the table.
use crate::error::Error;
use crate::fields::{number, unsigned_integer};
use crate::limits::{Limits, ProcessResources, RequestTimes};
use crate::operator::table::{or, positive};
use decision::{Class, LaggingReplica, SessionCommitSource, Settings};
use serde_json::Value;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The longest time to connect and the largest clock skew, in milliseconds; higher ones count as this.
const MAX_SHORT_MS: f64 = 60_000.0;
/// The longest time that a server may leave a connection idle, in seconds: a day. Longer ones count as this.
const MAX_IDLE_S: f64 = 86_400.0;
/// The largest offset of the clock, in milliseconds: a day. Larger ones count as this.
const MAX_CLOCK_OFFSET_MS: f64 = 86_400_000.0;
/// What the memory may be, in MiB; the nearest of these where the file has another.
const MEMORY_MB: RangeInclusive<u64> = 16..=1 << 20;
/// How long `MySQL` clients may stay idle: they keep sessions with prepared statements, and servers let them for as long.
const CLIENT_IDLE: Duration = Duration::from_hours(8);

/// The time within which a connection to a server is made.
pub(super) fn read_connect_timeout(v: &Value) -> Result<Duration, Error> {
    let connect_ms = or(v, "connect_ms", 250.0, positive)?.min(MAX_SHORT_MS);
    Ok(Duration::from_secs_f64(connect_ms / 1000.0))
}

/// The bounds of the program.
pub(super) fn read_limits(
    v: &Value,
    connect_timeout: Duration,
    deadlines_ms: &[u64],
) -> Result<Limits, Error> {
    let backend_keepalive = Duration::from_secs_f64(or(v, "idle_s", 60.0, positive)?.min(MAX_IDLE_S));
    let longest_deadline = Duration::from_millis(deadlines_ms.iter().max().copied().unwrap_or(2000));
    let sockets = or(v, "sockets", 1024, unsigned_integer)? as usize;
    let memory_mb =
        or(v, "memory_mb", 256, unsigned_integer)?.clamp(*MEMORY_MB.start(), *MEMORY_MB.end()) as usize;
    let resources = ProcessResources { descriptors: sockets, memory_bytes: memory_mb << 20 };
    let times = RequestTimes { connect_timeout, backend_keepalive, longest_deadline };
    let mut limits = Limits::new(resources, times);
    limits.max_message_bytes = or(v, "message_bytes", 512 * 1024, unsigned_integer)? as usize;
    limits.max_response_bytes =
        or(v, "answer_bytes", limits.max_response_bytes as u64, unsigned_integer)? as usize;
    limits.client_idle_timeout = CLIENT_IDLE;
    limits.client_idle_timeout_when_crowded = CLIENT_IDLE;
    limits.client_first_request_timeout = CLIENT_IDLE;
    // These connections are not checked before use: one that is stale must not keep a server's place.
    limits.backend_idle_timeout = limits.max_unchecked_idle_time;
    let clock_skew_ms = or(v, "clock_skew_ms", 50.0, positive)?.min(MAX_SHORT_MS);
    limits.max_clock_skew = Duration::from_secs_f64(clock_skew_ms / 1000.0);
    let clock_offset_ms = or(v, "clock_offset_ms", 0.0, number)?;
    limits.clock_offset_us =
        (clock_offset_ms.clamp(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS) * 1000.0) as i64;
    Ok(limits)
}

/// The settings of the decision logic. Times are in microseconds.
pub(super) fn decision_settings(
    classes: Vec<Class>,
    router_count: u32,
    connect_timeout: Duration,
) -> Settings {
    Settings {
        classes,
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count,
        zone: 0,
        min_event_interval: 5_000,
        // A replica answers from the state that it has: a read goes only where it is proved to be fresh enough.
        lagging_replica: LaggingReplica::AnswersStale,
        // The front carries what a session must see: it may come from another instance, or from before a restart.
        session_commit_source: SessionCommitSource::CarriedByRequest,
        hedging_allowed: true,
        max_attempts: 6,
        cancel_allowed: true,
        probing_allowed: true,
        probe_cost: 0.0,
        max_retry_after: Some(500_000),
        connect_timeout: connect_timeout.as_micros() as i64,
        drain_grace: 250_000,
        missing_members_may_serve: false,
        slow_start_initial_share: 0.25,
        slow_start_duration: 15_000_000,
        overload_factor: 2.5,
        overload_duration: 1_000_000,
        list_requires_subscription: false,
    }
}
