//! The upper bound that a quota sets over time, including changes of its configuration.
use super::configuration::values_in_force;
use crate::history::{ConfigVersion, Micros, QuotaLimit};

/// Limit of a tenant without a quota; far more than any load can send.
const UNLIMITED: QuotaLimit = QuotaLimit { rate: 1e9, burst: 1e9 };

/// A period with constant rate and burst.
struct Segment {
    from: Micros,
    limit: QuotaLimit,
    /// Requests that the rates of earlier segments admit before `from`.
    admitted_before: f64,
}

impl Segment {
    /// Returns the number of requests that the rates admit from time 0 to `at`.
    fn admitted(&self, at: Micros) -> f64 {
        self.admitted_before + self.limit.rate * at.saturating_sub(self.from) as f64 / 1e6
    }
}

/// The number of requests that a quota admits from time 0 to a given time.
pub(super) struct Admission {
    /// Requests admitted by the rates from time 0 on.
    pub(super) by_rate: f64,
    /// Requests that may exceed the rate.
    pub(super) burst: f64,
}

/// The upper bound of a quota over time. While several versions are in force, the highest rate and the
/// highest burst apply.
pub(super) struct QuotaEnvelope {
    segments: Vec<Segment>,
}

impl QuotaEnvelope {
    pub(super) fn new(versions: &[ConfigVersion<Option<QuotaLimit>>], settle_time: Micros) -> QuotaEnvelope {
        let mut segments: Vec<Segment> = Vec::new();
        for from in change_times(versions, settle_time) {
            let admitted_before = segments.last().map_or(0.0, |last| last.admitted(from));
            let limit = highest_limit(versions, from, settle_time);
            segments.push(Segment { from, limit, admitted_before });
        }
        QuotaEnvelope { segments }
    }

    pub(super) fn admission(&self, at: Micros) -> Admission {
        let index = self.segments.partition_point(|segment| segment.from <= at).saturating_sub(1);
        let segment = &self.segments[index];
        Admission { by_rate: segment.admitted(at), burst: segment.limit.burst }
    }
}

/// Returns time 0 and each time at which a version comes into force or ceases to be, in order.
fn change_times(versions: &[ConfigVersion<Option<QuotaLimit>>], settle_time: Micros) -> Vec<Micros> {
    let changes = versions.iter().flat_map(|v| [v.requested, v.committed + settle_time]);
    let mut times: Vec<Micros> = changes.chain([0]).collect();
    times.sort_unstable();
    times.dedup();
    times
}

fn highest_limit(
    versions: &[ConfigVersion<Option<QuotaLimit>>],
    at: Micros,
    settle_time: Micros,
) -> QuotaLimit {
    let nothing = QuotaLimit { rate: 0.0, burst: 0.0 };
    let limits = values_in_force(versions, at, settle_time).map(|limit| limit.unwrap_or(UNLIMITED));
    limits.fold(nothing, |highest, limit| QuotaLimit {
        rate: highest.rate.max(limit.rate),
        burst: highest.burst.max(limit.burst),
    })
}
