//! The resources of the process and the program limits derived from them.
use crate::error::Error;
use crate::fields::{count, unsigned_integer};
use crate::limits::{Limits, ProcessResources, RequestTimes};
use decision::{Micros, Settings};
use serde_json::Value;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The minimum number of file descriptors with which the program can run.
const MIN_SOCKETS: usize = 64;
/// The accepted range of `memory_mb`, in MiB.
const MEMORY_RANGE_MB: RangeInclusive<usize> = 16..=(1 << 20) - 1;
/// Upper limit of the servers' idle timeout for connections (one day); higher values are clamped.
const MAX_KEEPALIVE: Duration = Duration::from_hours(24);

/// Reads the resources that the process may use from the table `limits`.
pub(super) fn read_resources(v: &Value) -> Result<ProcessResources, Error> {
    let sockets = count(v, "sockets")? as usize;
    if sockets < MIN_SOCKETS {
        return Err(Error::invalid_value("sockets", format!("at least {MIN_SOCKETS}"), sockets));
    }
    let memory_mb = unsigned_integer(v, "memory_mb")? as usize;
    if !MEMORY_RANGE_MB.contains(&memory_mb) {
        let expected = format!("{} to {}", MEMORY_RANGE_MB.start(), MEMORY_RANGE_MB.end());
        return Err(Error::invalid_value("memory_mb", expected, memory_mb));
    }
    Ok(ProcessResources { descriptors: sockets, memory_bytes: memory_mb << 20 })
}

/// Derives the program limits from the settings of the decision logic and the process's resources.
pub(super) fn limits(settings: &Settings, keepalive: Micros, resources: ProcessResources) -> Limits {
    let duration = |micros: Micros| Duration::from_micros(micros.max(0) as u64);
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let times = RequestTimes {
        connect_timeout: duration(settings.connect_timeout),
        backend_keepalive: duration(keepalive).min(MAX_KEEPALIVE),
        longest_deadline: duration(longest_deadline),
    };
    Limits::new(resources, times)
}
