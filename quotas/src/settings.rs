//! The constants of both state machines, and the ranges in which the quota bound holds.
use decision::Micros;
use std::ops::RangeInclusive;
use thiserror::Error;

/// The number of millionths in a whole; clock drift is counted in millionths.
pub(crate) const MILLIONTHS: u64 = 1_000_000;
/// The valid range of every duration, microseconds: from one millisecond to one hour.
const DURATION_RANGE: RangeInclusive<Micros> = 1_000..=3_600_000_000;
/// The highest valid clock drift, as a ratio.
const MAX_CLOCK_DRIFT: f64 = 0.2;

/// The constants of both state machines. Durations are in microseconds. All nodes and routers of an
/// installation must have the same `ttl` and `max_clock_drift`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a grant is valid after the exchange that last renewed it.
    pub ttl: Micros,
    /// The greatest ratio by which a clock may run faster or slower than true time; at most 0.2.
    pub max_clock_drift: f64,
    /// How long a tenant remains allocated by demand after demand beyond the reserved shares has ended.
    pub idle_timeout: Micros,
    /// The grants of a quota are changed when the rate of at least one grant would change by more than this
    /// ratio.
    pub hysteresis: f64,
    /// The shortest time between two plans for a tenant's quota.
    pub min_plan_interval: Micros,
    /// How long the tokens stay with the same routers if there are fewer tokens than routers.
    pub rotation_interval: Micros,
    /// How long after a new version the fixed shares of `on_loss` are raised. Must be longer than a grant's
    /// lifetime on any clock.
    pub settle_time: Micros,
    /// The shortest retry-after time of a shed request.
    pub min_retry_after: Micros,
    /// The retry-after time if the router never holds a token of the tenant: about two exchanges.
    pub no_token_retry_after: Micros,
    /// The retry-after time if the quota is zero, and the longest one before the random part is added.
    pub zero_quota_retry_after: Micros,
    /// A fault to inject, for tests that check that the tests detect it.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

/// Faults that the tests must detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault is injected.
    #[default]
    None,
    /// The allocator ignores what other routers hold.
    GrantTwice,
    /// A new leader grants without a quiet period.
    SkipQuietPeriod,
    /// A client uses grants that have expired.
    IgnoreExpiry,
    /// A client accepts a response to an exchange that it has abandoned.
    AcceptLateResponse,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ttl: 2_000_000,
            max_clock_drift: 0.02,
            idle_timeout: 3_000_000,
            hysteresis: 0.1,
            min_plan_interval: 100_000,
            rotation_interval: 1_000_000,
            settle_time: 2_500_000,
            min_retry_after: 20_000,
            no_token_retry_after: 400_000,
            zero_quota_retry_after: 5_000_000,
            injected_fault: InjectedFault::None,
        }
    }
}

/// An invalid setting, with which the quota bound might not hold or a state machine would not work.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidSettings {
    /// A duration is not between one millisecond and one hour.
    #[error("quotas: `{key}` is {value} us; set it between {} and {}", DURATION_RANGE.start(), DURATION_RANGE.end())]
    Duration {
        /// The name of the setting that is out of range.
        key: &'static str,
        /// The invalid value, microseconds.
        value: Micros,
    },
    /// A ratio is out of range.
    #[error("quotas: `{key}` is {value}; set it between {min} and {max}")]
    Ratio {
        /// The name of the setting that is out of range.
        key: &'static str,
        /// The value that is out of range.
        value: f64,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
    },
    /// The settle time is too short: fixed shares would be raised while older grants are still valid.
    #[error(
        "quotas: `settle_time` is {value} us, less than a grant's lifetime on any clock; set it to {min} or more"
    )]
    SettleTime {
        /// The invalid value, microseconds.
        value: Micros,
        /// The smallest valid value, microseconds.
        min: Micros,
    },
}

impl Settings {
    /// Checks that all settings are in the ranges in which the quota bound holds.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<(), InvalidSettings> {
        for (key, value) in self.durations() {
            if !DURATION_RANGE.contains(&value) {
                return Err(InvalidSettings::Duration { key, value });
            }
        }
        check_ratio("max_clock_drift", self.max_clock_drift, MAX_CLOCK_DRIFT)?;
        check_ratio("hysteresis", self.hysteresis, 1.0)?;
        let min = (self.lifetime_at_allocator() as f64 / (1.0 - self.max_clock_drift)).ceil() as Micros;
        if self.settle_time < min {
            return Err(InvalidSettings::SettleTime { value: self.settle_time, min });
        }
        Ok(())
    }

    fn durations(&self) -> [(&'static str, Micros); 8] {
        [
            ("ttl", self.ttl),
            ("idle_timeout", self.idle_timeout),
            ("min_plan_interval", self.min_plan_interval),
            ("rotation_interval", self.rotation_interval),
            ("settle_time", self.settle_time),
            ("min_retry_after", self.min_retry_after),
            ("no_token_retry_after", self.no_token_retry_after),
            ("zero_quota_retry_after", self.zero_quota_retry_after),
        ]
    }

    /// `max_clock_drift` in millionths, rounded up.
    pub(crate) fn clock_drift_ppm(&self) -> u64 {
        (self.max_clock_drift.clamp(0.0, MAX_CLOCK_DRIFT) * 1e6).ceil() as u64
    }

    /// A grant's lifetime on a router's clock: the TTL less the greatest clock drift.
    pub(crate) fn lifetime_at_router(&self) -> Micros {
        self.scaled_ttl(MILLIONTHS - self.clock_drift_ppm())
    }

    /// A grant's lifetime on the allocator's clock: the TTL plus the greatest clock drift.
    pub(crate) fn lifetime_at_allocator(&self) -> Micros {
        self.scaled_ttl(MILLIONTHS + self.clock_drift_ppm()) + 1
    }

    fn scaled_ttl(&self, millionths: u64) -> Micros {
        (i128::from(self.ttl) * i128::from(millionths) / i128::from(MILLIONTHS)) as Micros
    }
}

fn check_ratio(key: &'static str, value: f64, max: f64) -> Result<(), InvalidSettings> {
    let min = 0.0;
    if (min..=max).contains(&value) { Ok(()) } else { Err(InvalidSettings::Ratio { key, value, min, max }) }
}
