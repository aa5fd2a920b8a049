//! The tables `[log]` and `[record]`: log output and the recording of client traffic.
use super::table::{check_keys, owned_string, positive_number, value_or};
use crate::error::Error;
use serde_json::Value;

/// Number of bytes per megabyte in `record.capacity_mb`.
const BYTES_PER_MB: f64 = 1e6;

/// The table `[log]`: settings of the log output.
#[derive(Clone, Debug, PartialEq)]
pub struct LogConfig {
    /// The least severe level that is written: error, warn, info, debug or trace.
    pub level: String,
    /// Write log lines as JSON objects instead of text.
    pub json: bool,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig { level: "info".into(), json: false }
    }
}

/// The table `[record]`: the recording of client traffic as a packet capture.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordingConfig {
    /// Path of the capture file, which is overwritten at each start.
    pub file: String,
    /// The size at which the recording stops, in bytes.
    pub max_bytes: u64,
}

pub(super) fn read_log(v: &Value) -> Result<LogConfig, Error> {
    check_keys(v, &["level", "format"])?;
    let level = value_or(v, "level", "info".to_string(), owned_string)?;
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        let known = "error, warn, info, debug or trace";
        return Err(Error::invalid_value("level", known, format_args!("'{level}'")));
    }
    let json = match value_or(v, "format", "text".to_string(), owned_string)?.as_str() {
        "text" => false,
        "json" => true,
        x => return Err(Error::invalid_value("format", "text or json", format_args!("'{x}'"))),
    };
    Ok(LogConfig { level, json })
}

pub(super) fn read_record(v: &Value) -> Result<RecordingConfig, Error> {
    check_keys(v, &["file", "capacity_mb"])?;
    Ok(RecordingConfig {
        file: owned_string(v, "file")?,
        max_bytes: (positive_number(v, "capacity_mb")? * BYTES_PER_MB) as u64,
    })
}
