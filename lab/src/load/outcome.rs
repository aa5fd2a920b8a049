//! Latencies and errors of a load, and their report.
use crate::error::Error;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Significant decimal digits of reported latencies.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// The outcomes of a load's statements; latencies are in microseconds.
#[derive(Default)]
pub(super) struct Outcomes {
    /// Latency of each response, measured from the statement's scheduled time.
    since_due: Vec<u64>,
    /// Latency of each response, measured from the time at which the statement was sent.
    since_sent: Vec<u64>,
    /// Number of errors by description.
    errors: BTreeMap<String, u64>,
}

impl Outcomes {
    pub(super) fn record_response(&mut self, since_due: Duration, since_sent: Duration) {
        self.since_due.push(since_due.as_micros() as u64);
        self.since_sent.push(since_sent.as_micros() as u64);
    }

    pub(super) fn record_error(&mut self, description: String) {
        *self.errors.entry(description).or_default() += 1;
    }

    pub(super) fn add(&mut self, other: Outcomes) {
        self.since_due.extend(other.since_due);
        self.since_sent.extend(other.since_sent);
        for (description, count) in other.errors {
            *self.errors.entry(description).or_default() += count;
        }
    }

    /// Formats the report of a load that offered `offered` statements and took `elapsed`.
    pub(super) fn report(&self, offered: usize, elapsed: Duration) -> Result<String, Error> {
        let (answered, seconds) = (self.since_due.len(), elapsed.as_secs_f64());
        let mut text = format!("{offered} offered, {answered} answered in {seconds:.1} s\n");
        _ = writeln!(text, "{:<22}{:>10}{:>10}{:>10}{:>10}  ms", "", "p50", "p90", "p99", "max");
        text += &latency_line("from when it was due", &self.since_due)?;
        text += &latency_line("from when it was sent", &self.since_sent)?;
        self.errors.iter().for_each(|(error, count)| _ = writeln!(text, "error {error}: {count}"));
        Ok(text)
    }
}

fn latency_line(name: &str, latencies: &[u64]) -> Result<String, Error> {
    let not_recorded = |source: Box<dyn std::error::Error>| Error::LatencyNotRecorded(source);
    let mut histogram =
        Histogram::<u64>::new(LATENCY_DIGITS).map_err(|source| not_recorded(source.into()))?;
    for latency in latencies {
        histogram.record(*latency).map_err(|source| not_recorded(source.into()))?;
    }
    let milliseconds = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND;
    let [p50, p90, p99, max] = [0.5, 0.9, 0.99, 1.0].map(milliseconds);
    Ok(format!("{name:<22}{p50:>10.2}{p90:>10.2}{p99:>10.2}{max:>10.2}\n"))
}
