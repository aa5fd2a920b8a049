//! Program limits and settings of the decision logic, derived from the table `[mysql]`.
use crate::error::Error;
use crate::fields::{number, unsigned_integer};
use crate::limits::{Limits, ProcessResources, RequestTimes};
use crate::operator::table::{positive_number, value_or};
use decision::{Class, LaggingReplica, SessionCommitSource, Settings};
use serde_json::Value;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Upper limit of the connect timeout and of the clock skew, in milliseconds; higher values are clamped.
const MAX_CONNECT_AND_SKEW_MS: f64 = 60_000.0;
/// Upper limit of the servers' idle timeout for connections, in seconds (one day); higher values are clamped.
const MAX_SERVER_IDLE_S: f64 = 86_400.0;
/// Upper limit of the clock offset, in milliseconds (one day); larger offsets are clamped.
const MAX_CLOCK_OFFSET_MS: f64 = 86_400_000.0;
/// The accepted range of the memory limit, in MiB; values outside are clamped.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 16..=1 << 20;
/// Idle timeout of `MySQL` clients. It is as long as that of `MySQL` servers, because clients keep sessions
/// with prepared statements open.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_hours(8);

/// Reads the timeout for opening a connection to a server.
pub(super) fn read_connect_timeout(v: &Value) -> Result<Duration, Error> {
    let connect_ms = value_or(v, "connect_ms", 250.0, positive_number)?.min(MAX_CONNECT_AND_SKEW_MS);
    Ok(Duration::from_secs_f64(connect_ms / 1000.0))
}

/// Derives the program limits from the table `[mysql]`.
pub(super) fn read_limits(
    v: &Value,
    connect_timeout: Duration,
    deadlines_ms: &[u64],
) -> Result<Limits, Error> {
    let backend_keepalive =
        Duration::from_secs_f64(value_or(v, "idle_s", 60.0, positive_number)?.min(MAX_SERVER_IDLE_S));
    let longest_deadline = Duration::from_millis(deadlines_ms.iter().max().copied().unwrap_or(2000));
    let sockets = value_or(v, "sockets", 1024, unsigned_integer)? as usize;
    let memory_mb = value_or(v, "memory_mb", 256, unsigned_integer)?
        .clamp(*MEMORY_RANGE_MB.start(), *MEMORY_RANGE_MB.end()) as usize;
    let resources = ProcessResources { descriptors: sockets, memory_bytes: memory_mb << 20 };
    let times = RequestTimes { connect_timeout, backend_keepalive, longest_deadline };
    let mut limits = Limits::new(resources, times);
    limits.limit_clients_with_two_threads(resources);
    limits.max_message_bytes = value_or(v, "message_bytes", 512 * 1024, unsigned_integer)? as usize;
    limits.max_response_bytes =
        value_or(v, "answer_bytes", limits.max_response_bytes as u64, unsigned_integer)? as usize;
    limits.client_idle_timeout = CLIENT_IDLE_TIMEOUT;
    limits.client_idle_timeout_when_crowded = CLIENT_IDLE_TIMEOUT;
    limits.client_first_request_timeout = CLIENT_IDLE_TIMEOUT;
    // `MySQL` backend connections are closed once they have been idle for so long that they would need a
    // check before use: a stale connection must not occupy a connection slot of a server.
    limits.backend_idle_timeout = limits.max_unchecked_idle_time;
    let clock_skew_ms = value_or(v, "clock_skew_ms", 50.0, positive_number)?.min(MAX_CONNECT_AND_SKEW_MS);
    limits.max_clock_skew = Duration::from_secs_f64(clock_skew_ms / 1000.0);
    let clock_offset_ms = value_or(v, "clock_offset_ms", 0.0, number)?;
    limits.clock_offset_us =
        (clock_offset_ms.clamp(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS) * 1000.0) as i64;
    Ok(limits)
}

/// Returns the settings of the decision logic. Times are in microseconds.
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
        // A lagging replica responds with stale data, so reads are routed only to replicas that are known to
        // be fresh enough.
        lagging_replica: LaggingReplica::AnswersStale,
        // Each request carries the commits that its session must see: these commits may come from another
        // router instance, or from before a restart.
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
