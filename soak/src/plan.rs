//! What is played, as a TOML file.
use crate::trouble::Trouble;
use serde::{Deserialize, Serialize};
use std::path::Path;
use thiserror::Error;

/// Which front the routers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Front {
    /// The platform's front, with discovery and stand-in servers of the platform.
    Platform,
    /// `serve`: the `MySQL` front with sessions and a replicated store.
    Serve,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// The front.
    pub front: Front,
    /// Routers; at most 40.
    pub routers: usize,
    /// Groups of servers, each a primary and its replicas.
    pub groups: usize,
    /// Replicas of each group.
    pub replicas: usize,
    /// How long the load and the troubles last, in seconds.
    pub seconds: u64,
    /// Clients of all routers together.
    pub clients: usize,
    /// A client's pause between two requests, in milliseconds on average.
    pub think_ms: u64,
    /// Troubles that are drawn for each ten seconds.
    pub troubles_per_ten_seconds: usize,
    /// Troubles to play instead of drawn ones.
    pub trouble: Vec<Trouble>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            front: Front::Platform,
            routers: 10,
            groups: 3,
            replicas: 2,
            seconds: 20,
            clients: 60,
            think_ms: 150,
            troubles_per_ten_seconds: 6,
            trouble: Vec::new(),
        }
    }
}

/// Why a plan can't be played.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// It is no plan.
    #[error("{path}: {source}")]
    Toml {
        /// The file.
        path: String,
        /// What is wrong.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its bounds.
    #[error("expected {0}")]
    OutOfBounds(&'static str),
}

impl Plan {
    /// Reads a plan.
    ///
    /// # Errors
    /// [`PlanError`], which names the file and the key.
    pub fn read(path: &Path) -> Result<Plan, PlanError> {
        let named = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::Read { path: named.clone(), source })?;
        let plan: Plan = toml::from_str(&text)
            .map_err(|source| PlanError::Toml { path: named, source: Box::new(source) })?;
        plan.check()?;
        Ok(plan)
    }

    /// Whether it can be played.
    ///
    /// # Errors
    /// Which value is out of its bounds.
    pub fn check(&self) -> Result<(), PlanError> {
        if !(1..=40).contains(&self.routers) {
            return Err(PlanError::OutOfBounds("1 to 40 routers"));
        }
        if self.groups == 0 || self.groups * (self.replicas + 1) > 30 {
            return Err(PlanError::OutOfBounds("1 to 30 servers"));
        }
        if !(1..=3600).contains(&self.seconds) || self.clients > 400 {
            return Err(PlanError::OutOfBounds("1 to 3600 seconds and at most 400 clients"));
        }
        Ok(())
    }
}
