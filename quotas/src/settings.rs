//! The constants of both state machines, and the bounds within which they are safe.
use decision::Micros;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Millionths in a whole; clock drift is counted in them.
pub(crate) const MILLIONTHS: u64 = 1_000_000;
/// The bounds of every duration, microseconds: from a millisecond to an hour.
const DURATION_RANGE: RangeInclusive<Micros> = 1_000..=3_600_000_000;
/// The highest clock drift, as a ratio.
const MAX_CLOCK_DRIFT: f64 = 0.2;

/// The constants of both state machines. Durations are in microseconds. All nodes and routers of an installation must
/// have the same `ttl` and `max_clock_drift`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The lifetime of a grant without a further exchange.
    pub ttl: Micros,
    /// How much faster or slower one clock may run than another, as a ratio; at most 0.2.
    pub max_clock_drift: f64,
    /// How long a tenant without demand beyond the reserved shares stays allocated by demand.
    pub idle_timeout: Micros,
    /// Grants move when one of them would change by more than this ratio.
    pub hysteresis: f64,
    /// The shortest time between two plans for a tenant's quota.
    pub min_plan_interval: Micros,
    /// How long tokens stay with some routers before the next get them, where there are fewer tokens than routers.
    pub rotation_interval: Micros,
    /// How long after a new version the fixed shares of `on_loss` are raised: longer than a grant's lifetime on any clock.
    pub settle_time: Micros,
    /// The shortest time after which a shed client is asked to retry.
    pub min_retry_after: Micros,
    /// The retry time where the router holds no token of the tenant: about two exchanges.
    pub no_token_retry_after: Micros,
    /// The retry time where the quota is zero, and the longest one before the random part.
    pub zero_quota_retry_after: Micros,
    /// A fault injected by tests that check the tests.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

/// Faults that the tests must find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// The allocator does not count what other routers hold.
    GrantTwice,
    /// A new leader grants at once.
    SkipQuietPeriod,
    /// A client does not check whether its grants have expired.
    IgnoreExpiry,
    /// A client accepts a response to an exchange that it has given up.
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

/// Settings under which the bound would not hold or a state machine would not work.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidSettings {
    /// A duration is not between one millisecond and one hour.
    #[error("quotas: `{key}` is {value} us; set it between {} and {}", DURATION_RANGE.start(), DURATION_RANGE.end())]
    Duration {
        /// The key.
        key: &'static str,
        /// Its value, microseconds.
        value: Micros,
    },
    /// A ratio is out of range.
    #[error("quotas: `{key}` is {value}; set it between {min} and {max}")]
    Ratio {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
    },
    /// Fixed shares would be raised while older grants are still valid.
    #[error(
        "quotas: `settle_time` is {value} us, less than a grant's lifetime on any clock; set it to {min} or more"
    )]
    SettleTime {
        /// Its value, microseconds.
        value: Micros,
        /// The smallest valid value, microseconds.
        min: Micros,
    },
}

impl Settings {
    /// Checks that the bound holds under these settings.
    ///
    /// # Errors
    /// The first value that is out of range.
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

    /// A grant's lifetime by a router's clock.
    pub(crate) fn lifetime_at_router(&self) -> Micros {
        self.scaled_ttl(MILLIONTHS - self.clock_drift_ppm())
    }

    /// A grant's lifetime by the allocator's clock.
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
