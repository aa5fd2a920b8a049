//! Errors of the commands.
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command failed. Each message names the file, the key or the argument at fault.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or folder can't be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Read {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or folder can't be written.
    #[error("{}: cannot be written: {source}", .path.display())]
    Write {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error>,
    },
    /// A file is not TOML.
    #[error("{}: {source}", .path.display())]
    Toml {
        /// Its path.
        path: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
    /// A plan can't be played.
    #[error("{}: {source}", .path.display())]
    Plan {
        /// Its path.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: simulator::PlanError,
    },
    /// A file holds no results.
    #[error("{}: {source}; give a folder that `run --out` or `sweep --out` wrote", .path.display())]
    Results {
        /// Their file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// A capture can't be read to its end.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Its path.
        path: PathBuf,
        /// The place in the file, and the cause.
        source: pcap::capture::CaptureError,
    },
    /// A plan can't be serialized as TOML.
    #[error("the plan can't be written down: {0}")]
    PlanNotSerialized(#[from] toml::ser::Error),
    /// A value of `--values` is neither TOML nor a text without quotes.
    #[error("expected a value of TOML, found '{0}'")]
    InvalidValue(String),
    /// `--key` names nothing in the plan.
    #[error("'{key}' is not in the plan: there is no '{part}'")]
    UnknownKey {
        /// The key.
        key: String,
        /// The part of it that was not found.
        part: String,
    },
    /// An argument of `--statement` has another form than `SHARE:STATEMENT`.
    #[error("expected SHARE:STATEMENT, found '{0}'")]
    InvalidStatement(String),
    /// Nothing would be sent.
    #[error("expected statements with shares, a rate and a time above 0")]
    NoLoad,
    /// A log has no line of the request.
    #[error(
        "the log names no such request; write it with DAMSONVALE_LOG=debug, and look at the number or the id"
    )]
    RequestNotLogged,
    /// A soak's plan can't be played.
    #[error(transparent)]
    SoakPlan(#[from] soak::plan::PlanError),
    /// A soak could not be played: a port, a folder, a thread or a process was not available.
    #[error("the soak could not be played: {0}")]
    Soak(soak::error::RunError),
    /// A latency is out of the histogram's range.
    #[error("a time can't be counted: {0}")]
    LatencyNotRecorded(Box<dyn std::error::Error>),
    /// A plan of real processes can't be played.
    #[error("{}: {source}", .path.display())]
    ProcessPlan {
        /// Its path.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: multiprocess::plan::PlanError,
    },
    /// The router's program was not found.
    #[error("no program 'damsonvale' beside this one: build it, or name it with --program")]
    ProgramNotFound,
    /// Processes did not start, or did not end.
    #[error(transparent)]
    ProcessRun(multiprocess::run::RunError),
    /// The checker of a run with real processes, or of a soak, found a violation.
    #[error("the checker found what must not be")]
    ViolationFound,
    /// Simulated cases violated a rule, which fails the experiment whatever its figures are.
    #[error("{violating} of {cases} cases broke a rule")]
    RulesViolated {
        /// Cases with a violation.
        violating: usize,
        /// All cases.
        cases: usize,
    },
}

impl Error {
    /// The error of a path that can't be written.
    pub fn write(path: &Path, source: impl Into<Box<dyn std::error::Error>>) -> Error {
        Error::Write { path: path.into(), source: source.into() }
    }
}
