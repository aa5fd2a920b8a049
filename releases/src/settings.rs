//! Settings of a release.
use crate::health::HealthSettings;
use crate::plan_error::PlanError;
use decision::Micros;
use serde::{Deserialize, Serialize};

/// Settings of a release.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The factor by which waves of a zone grow; the first wave has one router.
    #[serde(rename = "growth")]
    pub wave_growth: u32,
    /// The largest number of routers in a wave.
    #[serde(rename = "largest")]
    pub max_wave_size: u32,
    /// The lease of a reservation, as in the ledger, in microseconds.
    pub lease: Micros,
    /// A router that is not in service again after this time is lost, in microseconds. Less than the lease.
    #[serde(rename = "moving")]
    pub update_timeout: Micros,
    /// A request or an update without a response is repeated after this time, in microseconds.
    #[serde(rename = "retry")]
    pub retry_interval: Micros,
    /// The release halts if more routers than this are lost.
    #[serde(rename = "spare")]
    pub max_lost_routers: u32,
    /// The criteria for a healthy router.
    pub health: HealthSettings,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// [`PlanError::InvalidSetting`] for the first setting that is out of range.
    pub fn check(&self) -> Result<(), PlanError> {
        require(self.wave_growth >= 1, "growth", "at least 1", self.wave_growth)?;
        require(self.max_wave_size >= 1, "largest", "at least 1", self.max_wave_size)?;
        require(self.retry_interval >= 1, "retry", "more than 0", self.retry_interval)?;
        require(
            self.update_timeout >= 1 && self.update_timeout < self.lease,
            "moving",
            "more than 0 and less than the lease",
            self.update_timeout,
        )?;
        self.check_health()
    }

    fn check_health(&self) -> Result<(), PlanError> {
        let health = &self.health;
        require(health.min_requests >= 1, "health.enough", "at least 1", health.min_requests)?;
        require(
            (0.0..1.0).contains(&health.max_error_rate_increase),
            "health.errors",
            "a fraction from 0 to less than 1",
            health.max_error_rate_increase,
        )?;
        require(
            health.max_latency_factor >= 1.0 && health.max_latency_factor.is_finite(),
            "health.latency",
            "a finite factor of at least 1",
            health.max_latency_factor,
        )?;
        require(
            health.observation_time >= 1 && health.health_timeout > health.observation_time,
            "health.patience",
            "more than 'health.watch', which must be more than 0",
            health.health_timeout,
        )
    }
}

fn require(
    is_valid: bool,
    key: &'static str,
    expected: &'static str,
    found: impl ToString,
) -> Result<(), PlanError> {
    if is_valid {
        return Ok(());
    }
    Err(PlanError::InvalidSetting { key, expected, found: found.to_string() })
}
