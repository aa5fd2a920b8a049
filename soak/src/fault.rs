//! The faults that a run injects.
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use thiserror::Error;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A router receives SIGTERM and is restarted after it has exited.
    Term,
    /// A router receives SIGKILL and is restarted.
    Kill,
    /// A router is paused with SIGSTOP for 0.15 s.
    PauseShort,
    /// A router is paused with SIGSTOP for 1 to 2.5 s.
    PauseLong,
    /// A router receives several SIGHUPs in quick succession, alternating between valid and invalid
    /// configurations.
    Reload,
    /// Discovery agents keep their open connections but never write to them again; new connections work.
    DiscoverySilent,
    /// Discovery agents reset all open and new connections.
    DiscoveryDown,
    /// Discovery agents delay each line.
    DiscoverySlow,
    /// A server drains, terminates, and is replaced by a cold server with another id.
    Drain,
    /// A server process crashes and restarts cold.
    ServerRestart,
    /// A server executes requests but sends no responses.
    ServerHang,
    /// A server resets connections in the middle of responses.
    ServerReset,
    /// A server responds with bytes that are not valid messages.
    ServerGarbage,
    /// A replica stops applying the log.
    ServerLag,
    /// A primary hangs, and a replica is promoted.
    Failover,
    /// The link between a router and a server blocks both directions.
    LinkCut,
    /// The link forwards requests to the server but blocks the responses.
    LinkDeaf,
    /// The link delays requests.
    LinkDelay,
    /// The link resets connections in the middle of responses.
    LinkReset,
    /// The link delivers responses one byte at a time.
    LinkTrickle,
    /// The link loses the state of its connections: the next byte that a router sends causes a reset.
    LinkForget,
    /// Clients disconnect or cancel while requests are pending.
    ClientsLeave,
    /// Clients stop sending in the middle of a message.
    ClientsStall,
    /// Clients pipeline requests without waiting for the responses.
    ClientsPipeline,
    /// Many additional clients connect at once.
    ClientsFlood,
    /// Clients that connect send their first request late, and wait for the longest time that its class allows.
    /// Not drawn from seeds, only used by plans that list their faults.
    ClientsHesitate,
    /// The wall clocks of all routers and servers are stepped, and restored at the end.
    ClockAll,
    /// The wall clock of one router is stepped, and restored at the end.
    ClockOne,
    /// System calls on sockets fail, are interrupted, or transfer fewer bytes than requested.
    Syscalls,
    /// Most attempts to start a thread fail.
    Threads,
    /// Writes to files fail; on `serve`, syncs fail too.
    Disk,
    /// An operator puts a server in maintenance at one router, and restores it at the end.
    Maintenance,
}

/// A fault with its start, its duration and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The start of the fault, in milliseconds after the start of the load.
    #[serde(rename = "at_ms")]
    pub start_ms: u64,
    /// The duration of the fault, in milliseconds. If it is odd, a fault of links or agents affects every
    /// router.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// The index of the affected router, for kinds that affect a router.
    #[serde(default)]
    pub router: usize,
    /// The index of the affected server, for kinds that affect a server.
    #[serde(default)]
    pub server: usize,
    /// The step of the wall clock in seconds; 0 for kinds that do not step a clock.
    #[serde(default, rename = "amount")]
    pub clock_step_seconds: i64,
}

impl PlannedFault {
    /// Whether a fault of links or agents affects every router.
    pub fn affects_all_routers(&self) -> bool {
        !self.duration_ms.is_multiple_of(2)
    }
}

/// The line that `damsonvale-lab soak --troubles` prints, with the names of keys in plans.
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

/// A name that is not a fault kind.
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
