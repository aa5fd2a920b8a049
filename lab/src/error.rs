//! Errors of `damsonvale-lab`'s commands.
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of a command. Each message names the file, the key or the argument that caused it.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or folder can't be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Read {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file or folder can't be written.
    #[error("{}: cannot be written: {source}", .path.display())]
    Write {
        /// Path of the file or folder.
        path: PathBuf,
        /// Cause of the failure.
        source: Box<dyn std::error::Error>,
    },
    /// A file is not valid TOML.
    #[error("{}: {source}", .path.display())]
    Toml {
        /// Path of the TOML file.
        path: PathBuf,
        /// Error of the TOML parser.
        source: toml::de::Error,
    },
    /// A plan of a simulation is invalid.
    #[error("{}: {source}", .path.display())]
    Plan {
        /// Path of the simulation's plan.
        path: PathBuf,
        /// The invalid key and the reason.
        source: simulator::PlanError,
    },
    /// A file does not contain results.
    #[error("{}: {source}; give a folder that `run --out` or `sweep --out` wrote", .path.display())]
    Results {
        /// Path of the results file.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A capture file can't be read completely.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Path of the capture file.
        path: PathBuf,
        /// The offset in the file and the cause.
        source: pcap::capture::CaptureError,
    },
    /// A plan can't be serialized as TOML.
    #[error("cannot serialize the plan as TOML: {0}")]
    PlanNotSerialized(#[from] toml::ser::Error),
    /// A value of `--values` is neither TOML nor an unquoted string.
    #[error("expected a TOML value, found '{0}'")]
    InvalidValue(String),
    /// The key given by `--key` is not in the plan.
    #[error("'{key}' is not in the plan: there is no '{part}'")]
    UnknownKey {
        /// The complete key, as given by `--key`.
        key: String,
        /// The part of the key that was not found.
        part: String,
    },
    /// An argument of `--statement` does not have the form `SHARE:STATEMENT`.
    #[error("expected SHARE:STATEMENT, found '{0}'")]
    InvalidStatement(String),
    /// The shares, the rate or the duration of a load are 0, so that nothing would be sent.
    #[error("expected statement shares, a rate and a duration above 0")]
    NoLoad,
    /// A log has no line of the requested request.
    #[error(
        "the log has no such request; record it with DAMSONVALE_LOG=debug, and check the number or the id"
    )]
    RequestNotLogged,
    /// The plan of a soak run is invalid.
    #[error(transparent)]
    SoakPlan(#[from] soak::plan::PlanError),
    /// A soak run could not be completed: a port, a folder, a thread or a process was not available.
    #[error("the soak run could not be completed: {0}")]
    Soak(soak::error::RunError),
    /// A latency is outside the histogram's range.
    #[error("cannot record a latency: {0}")]
    LatencyNotRecorded(Box<dyn std::error::Error>),
    /// A plan of router processes is invalid.
    #[error("{}: {source}", .path.display())]
    ProcessPlan {
        /// Path of the processes' plan.
        path: PathBuf,
        /// The invalid key and the reason.
        source: multiprocess::plan::PlanError,
    },
    /// The router program was not found.
    #[error(
        "router program 'damsonvale' not found next to this program; build it or set its path with --program"
    )]
    ProgramNotFound,
    /// A run of router processes could not be completed.
    #[error(transparent)]
    ProcessRun(multiprocess::run::RunError),
    /// The checker found violations in a run of router processes or in a soak run.
    #[error("the checker found violations")]
    ViolationFound,
    /// Simulated cases violated a rule, which fails the experiment regardless of its other results.
    #[error("{violating} of {cases} cases violated a rule")]
    RulesViolated {
        /// Number of cases with a violation.
        violating: usize,
        /// Total number of cases.
        cases: usize,
    },
}

impl Error {
    /// Creates the error for a path that can't be written.
    pub fn write(path: &Path, source: impl Into<Box<dyn std::error::Error>>) -> Error {
        Error::Write { path: path.into(), source: source.into() }
    }
}
