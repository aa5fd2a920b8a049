//! Plans: what a run plays, as a TOML file.
use crate::fault::PlannedFault;
use serde::{Deserialize, Serialize};
use std::path::Path;
use thiserror::Error;

/// Most routers of a plan.
const MAX_ROUTERS: usize = 40;
/// Most servers of a plan.
const MAX_SERVERS: usize = 30;
/// Longest load of a plan, in seconds.
const MAX_SECONDS: u64 = 3600;
/// Most clients of a plan.
const MAX_CLIENTS: usize = 400;

/// Which front the routers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Front {
    /// The platform's front, with discovery and simulated servers of the platform.
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
    /// How long the load and the faults last, in seconds.
    pub seconds: u64,
    /// Clients of all routers together.
    pub clients: usize,
    /// A client's pause between two requests, in milliseconds on average.
    pub think_ms: u64,
    /// Faults that are drawn for each ten seconds.
    #[serde(rename = "troubles_per_ten_seconds")]
    pub faults_per_ten_seconds: usize,
    /// Faults to play instead of drawn ones.
    #[serde(rename = "trouble")]
    pub faults: Vec<PlannedFault>,
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
            faults_per_ten_seconds: 6,
            faults: Vec::new(),
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
        /// The system's error.
        source: std::io::Error,
    },
    /// It is no plan.
    #[error("{path}: {source}")]
    Toml {
        /// The file.
        path: String,
        /// What is wrong, with the line.
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
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::Read { path: shown.clone(), source })?;
        let plan: Plan = toml::from_str(&text)
            .map_err(|source| PlanError::Toml { path: shown, source: Box::new(source) })?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks that it can be played.
    ///
    /// # Errors
    /// Which value is out of its bounds.
    pub fn check(&self) -> Result<(), PlanError> {
        if !(1..=MAX_ROUTERS).contains(&self.routers) {
            return Err(PlanError::OutOfBounds("1 to 40 routers"));
        }
        if self.groups == 0 || self.servers() > MAX_SERVERS {
            return Err(PlanError::OutOfBounds("1 to 30 servers"));
        }
        if !(1..=MAX_SECONDS).contains(&self.seconds) || self.clients > MAX_CLIENTS {
            return Err(PlanError::OutOfBounds("1 to 3600 seconds and at most 400 clients"));
        }
        Ok(())
    }

    /// Servers of each group.
    pub fn servers_per_group(&self) -> usize {
        self.replicas + 1
    }

    /// Servers of all groups.
    pub fn servers(&self) -> usize {
        self.groups * self.servers_per_group()
    }
}
