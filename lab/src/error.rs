//! Why an experiment was not played, or not told.
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why an experiment was not played, or not told. Each message names the file, the key or the argument at fault.
#[derive(Debug, Error)]
pub enum Error {
    /// A file or folder can't be read.
    #[error("{}: cannot be read: {source}", .path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A file or folder can't be written.
    #[error("{}: cannot be written: {source}", .path.display())]
    Write {
        /// Which.
        path: PathBuf,
        /// Why not.
        source: Box<dyn std::error::Error>,
    },
    /// A file is no TOML.
    #[error("{}: {source}", .path.display())]
    Toml {
        /// Which.
        path: PathBuf,
        /// Why not.
        source: toml::de::Error,
    },
    /// A plan can't be played.
    #[error("{}: {source}", .path.display())]
    Plan {
        /// Its file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: simulator::PlanError,
    },
    /// Results are none.
    #[error("{}: {source}; give a folder that `run --out` or `sweep --out` wrote", .path.display())]
    Results {
        /// Their file.
        path: PathBuf,
        /// Why not.
        source: serde_json::Error,
    },
    /// A capture can't be read to its end.
    #[error("{}: {source}", .path.display())]
    Capture {
        /// Its file.
        path: PathBuf,
        /// Where, and why.
        source: pcap::capture::CaptureError,
    },
    /// A plan can't be put down as TOML.
    #[error("the plan can't be written down: {0}")]
    Printed(#[from] toml::ser::Error),
    /// The value of `--values` is neither TOML nor a text without quotes.
    #[error("expected a value of TOML, found '{0}'")]
    Value(String),
    /// `--key` names nothing in the plan.
    #[error("'{key}' is not in the plan: there is no '{part}'")]
    Key {
        /// The key.
        key: String,
        /// The part of it that was not found.
        part: String,
    },
    /// A statement of `--statement` is none.
    #[error("expected SHARE:STATEMENT, found '{0}'")]
    Statement(String),
    /// Nothing would be sent.
    #[error("expected statements with shares, a rate and a time above 0")]
    NoLoad,
    /// A log holds no line of a request.
    #[error(
        "the log names no such request; write it with DAMSONVALE_LOG=debug, and look at the number or the id"
    )]
    NotLogged,
    /// A soak's plan can't be played.
    #[error(transparent)]
    SoakPlan(#[from] soak::plan::PlanError),
    /// A soak could not be played: a port, a folder, a thread or a process was not to be had.
    #[error("the soak could not be played: {0}")]
    Soak(soak::error::RunError),
    /// A time is beyond what is counted.
    #[error("a time can't be counted: {0}")]
    Counted(Box<dyn std::error::Error>),
    /// A plan of processes can't be played.
    #[error("{}: {source}", .path.display())]
    Processes {
        /// Its file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: multiprocess::plan::PlanError,
    },
    /// There is no router to start.
    #[error("no program 'damsonvale' beside this one: build it, or name it with --program")]
    NoProgram,
    /// Processes did not start, or did not end.
    #[error(transparent)]
    Played(multiprocess::run::RunError),
    /// What the servers and clients recorded breaks a bound.
    #[error("the checker found what must not be")]
    Found,
    /// The experiment has failed, whatever its figures are.
    #[error("{broken} of {cases} cases broke a rule")]
    Broken {
        /// How many.
        broken: usize,
        /// Of how many.
        cases: usize,
    },
}

impl Error {
    /// What can't be written.
    pub fn write(path: &Path, source: impl Into<Box<dyn std::error::Error>>) -> Error {
        Error::Write { path: path.into(), source: source.into() }
    }
}
