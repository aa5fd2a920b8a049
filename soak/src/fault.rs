//! The faults that a run plays.
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use thiserror::Error;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A router gets SIGTERM and is started again once it has ended.
    Term,
    /// A router gets SIGKILL and is started again.
    Kill,
    /// A router is stopped for 0.15 s.
    PauseShort,
    /// A router is stopped for seconds.
    PauseLong,
    /// SIGHUPs in quick succession, with good and faulty files.
    Reload,
    /// Discovery's agents keep the connections that are open and never write on them again; new ones are served.
    DiscoverySilent,
    /// Discovery's agents reset everything and refuse.
    DiscoveryDown,
    /// Discovery's agents take long for each line.
    DiscoverySlow,
    /// A server drains, terminates and is replaced by a cold one under another id.
    Drain,
    /// A server's process dies and starts again cold.
    ServerRestart,
    /// A server takes work and answers nothing.
    ServerHang,
    /// A server resets its connections under requests.
    ServerReset,
    /// A server answers bytes that are no messages.
    ServerGarbage,
    /// A replica stops applying the log.
    ServerLag,
    /// A primary hangs, and a replica takes over.
    Failover,
    /// The link between a router and a server is silent in both directions.
    LinkCut,
    /// The server receives what the router sends; its answers are lost.
    LinkDeaf,
    /// The link is slow.
    LinkDelay,
    /// The link resets connections in the middle of answers.
    LinkReset,
    /// Answers arrive byte by byte.
    LinkTrickle,
    /// The link forgets its connections: the next byte on one brings a reset.
    LinkForget,
    /// Many clients disconnect in the middle of requests.
    ClientsLeave,
    /// Clients stall in the middle of a command.
    ClientsStall,
    /// Clients send requests ahead of their answers.
    ClientsPipeline,
    /// Many new clients connect at once.
    ClientsFlood,
    /// Every machine's wall clock is stepped, and back at the end.
    ClockAll,
    /// One router's wall clock is stepped, and back at the end.
    ClockOne,
    /// System calls on sockets fail, are interrupted or cut short.
    Syscalls,
    /// No thread can be started.
    Threads,
    /// Writes to and syncs of files fail.
    Disk,
    /// Operators put a server in maintenance and back.
    Maintenance,
}

/// A fault with its times and what it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, in milliseconds from the start of the load.
    #[serde(rename = "at_ms")]
    pub start_ms: u64,
    /// How long it lasts, in milliseconds. An odd length lets faults of links and agents concern every router.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// The router concerned, where it is one.
    #[serde(default)]
    pub router: usize,
    /// The server concerned, where it is one.
    #[serde(default)]
    pub server: usize,
    /// The step of a clock in seconds; 0 for other kinds.
    #[serde(default, rename = "amount")]
    pub clock_step_seconds: i64,
}

impl PlannedFault {
    /// Whether it concerns the links or agents of every router.
    pub fn concerns_all_routers(&self) -> bool {
        !self.duration_ms.is_multiple_of(2)
    }
}

/// The line that `damsonvale-lab soak --troubles` prints, in the words of the plans.
impl Display for PlannedFault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let PlannedFault { kind, start_ms, duration_ms, router, server, clock_step_seconds } = self;
        write!(
            f,
            "Trouble {{ kind: {kind:?}, at_ms: {start_ms}, for_ms: {duration_ms}, router: {router}, \
             server: {server}, amount: {clock_step_seconds} }}"
        )
    }
}

/// A name that is no fault.
#[derive(Debug, Error)]
#[error("there is no trouble '{0}'; the names are those of soak/src/fault.rs, such as server_restart")]
pub struct UnknownFault(String);

impl FromStr for FaultKind {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<FaultKind, UnknownFault> {
        let quoted = serde_json::Value::String(text.trim().to_string());
        serde_json::from_value(quoted).map_err(|_| UnknownFault(text.to_string()))
    }
}
