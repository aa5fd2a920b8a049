//! The tables `[log]` and `[record]`: the log, and the recording of what clients ask.
use super::table::{only, or, owned, positive};
use crate::error::Error;
use serde_json::Value;

/// Bytes in a megabyte of `record.capacity_mb`.
const BYTES_PER_MB: f64 = 1e6;

/// The log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogConfig {
    /// The lowest level that is written: error, warn, info, debug or trace.
    pub level: String,
    /// Lines are JSON objects instead of text.
    pub json: bool,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { level: "info".into(), json: false }
    }
}

/// A recording of what the front serves, as a packet capture.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordingConfig {
    /// Path of the capture file, which each start overwrites.
    pub file: String,
    /// The recording stops when the file has this many bytes.
    pub max_bytes: u64,
}

pub(super) fn read_log(v: &Value) -> Result<LogConfig, Error> {
    only(v, &["level", "format"])?;
    let level = or(v, "level", "info".to_string(), owned)?;
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        let known = "error, warn, info, debug or trace";
        return Err(Error::invalid_value("level", known, format_args!("'{level}'")));
    }
    let json = match or(v, "format", "text".to_string(), owned)?.as_str() {
        "text" => false,
        "json" => true,
        x => return Err(Error::invalid_value("format", "text or json", format_args!("'{x}'"))),
    };
    Ok(LogConfig { level, json })
}

pub(super) fn read_record(v: &Value) -> Result<RecordingConfig, Error> {
    only(v, &["file", "capacity_mb"])?;
    Ok(RecordingConfig {
        file: owned(v, "file")?,
        max_bytes: (positive(v, "capacity_mb")? * BYTES_PER_MB) as u64,
    })
}
