//! Parses plans, and validates them before they are simulated.
use crate::plan::{ClassPlan, Plan, WRITE};
use crate::times::from_milliseconds;
use decision::Freshness;
use thiserror::Error;

/// Error in a plan; each message names the key.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// The value of the named key must be above 0 and is not.
    #[error("expected a value above 0 for '{0}', found {1}")]
    NotPositive(&'static str, f64),
    /// The warm-up is not shorter than the run, so that nothing would be counted.
    #[error("expected 'warmup_s' to be less than 'seconds', found {0} and {1}")]
    WarmupTooLong(f64, f64),
    /// The plan has no request class.
    #[error("expected at least one [[class]], found none")]
    NoClass,
    /// A service time, load share, latency objective or deadline of the named class is out of range.
    #[error("class {0}: expected work_ms > 0, share >= 0, 0 < aim_ms <= deadline_ms")]
    ClassOutOfRange(String),
    /// Requests of the named class are writes, and marked as idempotent.
    #[error("class {0}: expected safe = false for writes")]
    IdempotentWrite(String),
    /// The freshness of the named class, given as the second value, is unknown.
    #[error("class {0}: expected write, fresh, session, bounded or any in 'freshness', found '{1}'")]
    UnknownFreshness(String, String),
}

impl Plan {
    /// Parses a plan from TOML and validates it.
    ///
    /// # Errors
    /// The text is not a valid plan in TOML, or [`Plan::check`] fails.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// Validates the values of the plan.
    ///
    /// # Errors
    /// Describes the first key whose value is out of range.
    pub fn check(&self) -> Result<(), PlanError> {
        self.check_positive_values()?;
        if self.warmup_s >= self.duration_s {
            return Err(PlanError::WarmupTooLong(self.warmup_s, self.duration_s));
        }
        if self.classes.is_empty() {
            return Err(PlanError::NoClass);
        }
        self.classes.iter().try_for_each(ClassPlan::check)
    }

    fn check_positive_values(&self) -> Result<(), PlanError> {
        let values = [
            ("seconds", self.duration_s),
            ("rate", self.request_rate),
            ("routers", self.routers as f64),
            ("groups", self.groups as f64),
            ("halls", self.zones as f64),
            ("cores", self.cores as f64),
            ("cluster", self.cluster_size as f64),
            ("sessions", self.session_count as f64),
            ("near_ms", self.same_zone_delay_ms),
            ("far_ms", self.cross_zone_delay_ms),
        ];
        match values.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
            Some((key, value)) => Err(PlanError::NotPositive(key, *value)),
            None => Ok(()),
        }
    }
}

impl ClassPlan {
    /// Freshness that requests of the class require of the data they read.
    ///
    /// # Errors
    /// The plan names an unknown freshness.
    pub fn required_freshness(&self) -> Result<Freshness, PlanError> {
        match self.freshness.as_str() {
            WRITE => Ok(Freshness::Write),
            "fresh" => Ok(Freshness::Latest),
            "session" => Ok(Freshness::Session),
            "bounded" => Ok(Freshness::Bounded(from_milliseconds(self.max_staleness_ms))),
            "any" => Ok(Freshness::Any),
            other => Err(PlanError::UnknownFreshness(self.name.clone(), other.into())),
        }
    }

    fn check(&self) -> Result<(), PlanError> {
        self.required_freshness()?;
        let latency_objective_fits =
            self.latency_objective_ms > 0.0 && self.latency_objective_ms <= self.deadline_ms;
        if !(self.service_ms > 0.0 && self.load_share >= 0.0 && latency_objective_fits) {
            return Err(PlanError::ClassOutOfRange(self.name.clone()));
        }
        if self.idempotent && self.is_write() {
            return Err(PlanError::IdempotentWrite(self.name.clone()));
        }
        Ok(())
    }
}
