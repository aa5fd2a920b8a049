//! Decides which members are alive: wraps the SWIM core of `foca` and adds what the core does not do.
//!
//! The core probes members, suspects, refutes and gossips. The machine adds joining through seeds that are
//! only addresses (`join`), reading other members' lists page by page (`list_sync`), detection of stopped
//! processes (`timer_tasks`), the end of suspicions and forgetting down members (`suspicion`), the resolution
//! of name conflicts and limits on received datagrams (`datagrams`).
mod core_calls;
mod counters;
mod datagram_budget;
mod datagrams;
mod event;
mod join;
mod list_progress;
mod list_sync;
mod suspicion;
mod swim_core;
mod timer_tasks;
mod timers;

use self::datagram_budget::DatagramBudget;
use self::list_progress::ListProgress;
use self::swim_core::Core;
use self::timers::{Task, Timers};
use crate::error::Error;
use crate::member::Member;
use crate::settings::Settings;
use crate::wire;
use foca::{Foca, PostcardCodec};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

pub use counters::Counters;
pub use event::{Action, Event, TimerToken};

/// How often the announcement that this router leaves is repeated.
const LEAVE_REPEATS: u8 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    NotStarted,
    Running,
    Leaving { repeats_left: u8 },
    Ended,
}

/// The membership state machine of one router. The same settings, random seed and events give the same
/// actions.
pub struct Machine {
    settings: Settings,
    cluster_hash: u64,
    local: Member,
    core: Core,
    rng: StdRng,
    seeds: Vec<SocketAddrV4>,
    phase: Phase,
    /// Whether any other member has become known since the start.
    has_joined: bool,
    /// All live members but this router, by name, as reported to the host.
    live: BTreeMap<String, Member>,
    timers: Timers,
    list_progress: ListProgress,
    /// When this router last rejoined with a new incarnation.
    last_rejoin: Option<Duration>,
    /// When the last valid datagram of the fleet was received.
    last_received: Duration,
    /// Members that are down, by name, with the time since which this is known here.
    down_since: BTreeMap<String, (Member, Duration)>,
    datagram_budget: DatagramBudget,
    counters: Counters,
}

impl Machine {
    /// Creates the state machine of a router that has not started yet.
    ///
    /// # Errors
    /// [`Error::InvalidSettings`] if the settings are inconsistent.
    pub fn new(settings: Settings, local: Member, mut rng: StdRng) -> Result<Machine, Error> {
        settings.check()?;
        let config = swim_core::config(&settings);
        Ok(Machine {
            cluster_hash: wire::cluster_hash(&settings.cluster),
            core: Foca::new(local.clone(), config, StdRng::from_rng(&mut rng), PostcardCodec),
            datagram_budget: DatagramBudget::new(settings.max_datagrams_per_s),
            settings,
            local,
            rng,
            seeds: Vec::new(),
            phase: Phase::NotStarted,
            has_joined: false,
            live: BTreeMap::new(),
            timers: Timers::default(),
            list_progress: ListProgress::default(),
            last_rejoin: None,
            last_received: Duration::ZERO,
            down_since: BTreeMap::new(),
            counters: Counters::default(),
        })
    }

    /// The member that represents this router, with its current incarnation.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// All live members but this router, ordered by name.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.live.values()
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles one event and appends the resulting actions. `now` never decreases.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let first_new = actions.len();
        match event {
            Event::Started { seeds } => self.start(now, seeds, actions),
            Event::Datagram { from, bytes } => self.handle_datagram(now, from, &bytes, actions),
            Event::Timer(token) => self.handle_timer(now, token, actions),
            Event::Leave => self.leave(now, actions),
        }
        for action in &actions[first_new..] {
            if let Action::Send { bytes, .. } = action {
                self.counters.sent += 1;
                self.counters.sent_bytes += bytes.len() as u64;
            }
        }
    }

    fn start(&mut self, now: Duration, mut seeds: Vec<SocketAddrV4>, actions: &mut Vec<Action>) {
        if self.phase != Phase::NotStarted {
            return;
        }
        self.phase = Phase::Running;
        seeds.retain(|seed| seed.ip().is_loopback() && *seed != self.local.addr());
        self.seeds = seeds;
        self.datagram_budget.start(now);
        self.last_received = now;
        self.schedule(now, Duration::ZERO, Task::ContactSeeds, actions);
        // A random first interval, so that routers that start together do not all read lists at the same
        // time.
        let first_sync = self.settings.list_sync_interval.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(now, first_sync, Task::SyncList, actions);
        self.schedule(now, self.forget_down_interval(), Task::ForgetDown, actions);
    }

    fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::NotStarted => self.end(Action::Left, actions),
            Phase::Running => {
                let output = self.call_core(|core, output| core.leave_cluster(output));
                self.phase = Phase::Leaving { repeats_left: LEAVE_REPEATS };
                self.apply_core_output(now, output, actions);
                self.schedule(now, self.leave_repeat_interval(), Task::RepeatLeave, actions);
            }
            Phase::Leaving { .. } | Phase::Ended => {}
        }
    }

    fn leave_repeat_interval(&self) -> Duration {
        self.settings.gossip_interval / 4
    }

    /// Ends the state machine with a last action.
    fn end(&mut self, last: Action, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        self.timers.clear();
        actions.push(last);
    }
}
