//! Plans: TOML files that describe a run's routers, servers, clients and faults.
use crate::fault::PlannedFault;
use serde::{Deserialize, Serialize};
use std::path::Path;
use thiserror::Error;

/// The maximum number of routers in a plan.
const MAX_ROUTERS: usize = 40;
/// The maximum number of servers in a plan.
const MAX_SERVERS: usize = 30;
/// The maximum duration of a plan's load, in seconds.
const MAX_SECONDS: u64 = 3600;
/// The maximum number of clients in a plan.
const MAX_CLIENTS: usize = 400;

/// The front that the routers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Front {
    /// The platform front: it speaks the `PostgreSQL` protocol, and discovery provides its list of simulated
    /// servers.
    Platform,
    /// The `MySQL` front (`serve`), with sessions and a replicated store.
    Serve,
}

/// The configuration of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// The front that the routers run.
    pub front: Front,
    /// The number of routers, at most 40.
    pub routers: usize,
    /// The number of replication groups, each with a primary and its replicas.
    pub groups: usize,
    /// The number of replicas in each group.
    pub replicas: usize,
    /// The duration of the load, in seconds.
    pub seconds: u64,
    /// The total number of clients of all routers.
    pub clients: usize,
    /// The average pause of a client between two requests, in milliseconds.
    pub think_ms: u64,
    /// The number of faults drawn per ten seconds of load.
    #[serde(rename = "troubles_per_ten_seconds")]
    pub faults_per_ten_seconds: usize,
    /// Faults to inject; if empty, faults are generated from the seed.
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

/// Why a plan can't be used.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The plan's file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the plan's file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid plan.
    #[error("{path}: {source}")]
    Toml {
        /// The path of the plan's file.
        path: String,
        /// The parser's error, with the line number.
        source: Box<toml::de::Error>,
    },
    /// A value of the plan is out of bounds.
    #[error("plan out of bounds: expected {0}")]
    OutOfBounds(&'static str),
}

impl Plan {
    /// Reads a plan from a file and checks its values.
    ///
    /// # Errors
    /// The file can't be read, is not a valid plan, or has a value out of bounds.
    pub fn read(path: &Path) -> Result<Plan, PlanError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlanError::Read { path: displayed_path.clone(), source })?;
        let plan: Plan = toml::from_str(&text)
            .map_err(|source| PlanError::Toml { path: displayed_path, source: Box::new(source) })?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks that the plan's values are within their bounds.
    ///
    /// # Errors
    /// A value is out of bounds.
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

    /// Returns the number of servers in each group.
    pub fn servers_per_group(&self) -> usize {
        self.replicas + 1
    }

    /// Returns the number of servers in all groups.
    pub fn servers(&self) -> usize {
        self.groups * self.servers_per_group()
    }
}
