//! The troubles, and how they are drawn from a seed.
use crate::plan::{Front, Plan};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use thiserror::Error;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
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
    /// Discovery's agents keep the connections that are open and never say anything on them again; new ones are served.
    DiscoverySilent,
    /// Discovery's agents reset everything and refuse.
    DiscoveryDown,
    /// Discovery's agents take long for each line.
    DiscoverySlow,
    /// A server drains, vanishes and is replaced by a cold one under another id.
    Drain,
    /// A server's process dies and comes back cold.
    ServerRestart,
    /// A server takes work and answers nothing.
    ServerHang,
    /// A server resets its connections under requests.
    ServerReset,
    /// A server answers nonsense.
    ServerGarbage,
    /// A replica stops applying the log.
    ServerLag,
    /// A primary hangs, and a replica takes over.
    Failover,
    /// The link between a router and a server is silent in both directions.
    LinkCut,
    /// The server hears the router; its answers are lost.
    LinkDeaf,
    /// The link is slow.
    LinkDelay,
    /// The link resets connections in the middle of answers.
    LinkReset,
    /// Answers come byte by byte.
    LinkTrickle,
    /// The link forgets its connections: the next byte on one brings a reset.
    LinkForget,
    /// Many clients leave in the middle of requests.
    ClientsLeave,
    /// Clients stall in the middle of a command.
    ClientsStall,
    /// Clients ask ahead of their answers.
    ClientsPipeline,
    /// Many new clients come at once.
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
    /// Operators take a server out of service and back.
    Maintenance,
}

/// What can be drawn for the platform's front.
const PLATFORM: [Kind; 30] = [
    Kind::Term,
    Kind::Kill,
    Kind::PauseShort,
    Kind::PauseLong,
    Kind::Reload,
    Kind::DiscoverySilent,
    Kind::DiscoveryDown,
    Kind::DiscoverySlow,
    Kind::Drain,
    Kind::ServerRestart,
    Kind::ServerHang,
    Kind::ServerReset,
    Kind::ServerGarbage,
    Kind::ServerLag,
    Kind::Failover,
    Kind::LinkCut,
    Kind::LinkDeaf,
    Kind::LinkDelay,
    Kind::LinkReset,
    Kind::LinkTrickle,
    Kind::LinkForget,
    Kind::ClientsLeave,
    Kind::ClientsStall,
    Kind::ClientsPipeline,
    Kind::ClientsFlood,
    Kind::ClockAll,
    Kind::ClockOne,
    Kind::Syscalls,
    Kind::Threads,
    Kind::Maintenance,
];

/// What can be drawn for `serve`.
const SERVE: [Kind; 10] = [
    Kind::Term,
    Kind::Kill,
    Kind::PauseShort,
    Kind::PauseLong,
    Kind::ServerLag,
    Kind::LinkCut,
    Kind::LinkDelay,
    Kind::ClockOne,
    Kind::Syscalls,
    Kind::Disk,
];

/// No trouble begins in the first moments, while the routers' pools are empty.
const FIRST_AT_MS: u64 = 1500;
/// Troubles are over this long before the load ends.
const QUIET_END_MS: u64 = 3000;

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When it begins, from the start of the load.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// The router concerned, where it is one.
    #[serde(default)]
    pub router: usize,
    /// The server concerned, where it is one.
    #[serde(default)]
    pub server: usize,
    /// How much, where that matters: the step of a clock in seconds.
    #[serde(default)]
    pub amount: i64,
}

/// A name that is no trouble.
#[derive(Debug, Error)]
#[error("there is no trouble '{0}'; the names are those of soak/src/trouble.rs, such as server_restart")]
pub struct UnknownKind(String);

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Kind, UnknownKind> {
        let quoted = serde_json::Value::String(text.trim().to_string());
        serde_json::from_value(quoted).map_err(|_| UnknownKind(text.to_string()))
    }
}

/// The troubles of a plan for a seed; `only` bounds which are drawn. Two or three overlap as a rule.
pub fn draw(plan: &Plan, seed: u64, only: &[Kind]) -> Vec<Trouble> {
    if !plan.trouble.is_empty() {
        return plan.trouble.clone();
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    let all: &[Kind] = match plan.front {
        Front::Platform => &PLATFORM,
        Front::Serve => &SERVE,
    };
    let kinds: Vec<Kind> = all.iter().copied().filter(|k| only.is_empty() || only.contains(k)).collect();
    let end = plan.seconds * 1000;
    let last_at = end.saturating_sub(QUIET_END_MS).max(FIRST_AT_MS + 1);
    let count = (plan.troubles_per_ten_seconds as u64 * plan.seconds).div_ceil(10);
    let mut drawn = Vec::new();
    // Troubles come in clusters: each cluster's begin within a second of each other.
    while (drawn.len() as u64) < count && !kinds.is_empty() {
        let cluster_at = rng.u64(FIRST_AT_MS..last_at);
        // A cluster concerns one router and one server as a rule: that is where events meet.
        let router = rng.usize(..plan.routers);
        let server = rng.usize(..plan.groups * (plan.replicas + 1));
        for _ in 0..rng.usize(2..=3) {
            let kind = kinds[rng.usize(..kinds.len())];
            let elsewhere = rng.u8(..4) == 0;
            drawn.push(Trouble {
                kind,
                at_ms: (cluster_at + rng.u64(..1000)).min(last_at),
                for_ms: length_ms(kind, &mut rng).min(end - last_at.min(end) + 1500),
                router: if elsewhere { rng.usize(..plan.routers) } else { router },
                server: if elsewhere { rng.usize(..plan.groups * (plan.replicas + 1)) } else { server },
                amount: amount(kind, &mut rng),
            });
        }
    }
    drawn.sort_by_key(|trouble| trouble.at_ms);
    drawn
}

fn length_ms(kind: Kind, rng: &mut fastrand::Rng) -> u64 {
    match kind {
        Kind::PauseShort => 150,
        Kind::PauseLong => rng.u64(1000..2500),
        Kind::Term | Kind::Kill => rng.u64(100..800),
        Kind::Drain | Kind::ServerRestart | Kind::Maintenance => rng.u64(800..3000),
        _ => rng.u64(500..4000),
    }
}

fn amount(kind: Kind, rng: &mut fastrand::Rng) -> i64 {
    match kind {
        Kind::ClockAll | Kind::ClockOne => [-3600, -5, 5, 3600][rng.usize(..4)],
        _ => 0,
    }
}
