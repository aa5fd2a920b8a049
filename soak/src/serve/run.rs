//! A run of `serve`: its setup, its load, the lifecycle of its router processes, and its end.
use super::load::Load;
use super::router::{Phase, Router};
use super::settings::{Addresses, NamedServer, config_text};
use super::store::StoreProbe;
use crate::environment::clock::RunClock;
use crate::error::RunError;
use crate::fault::PlannedFault;
use crate::history::{AbsenceReason, History, Recorder, SessionWrites};
use crate::plan::Plan;
use crate::router::{Programs, RouterInstance};
use crate::time::{MILLISECOND, Micros, SECOND};
use nix::sys::signal::Signal;
use std::io;
use std::net::TcpStream;
use std::time::Duration;
use tempfile::TempDir;
use test_servers::proxy::Proxy;
use test_servers::replication_group::ReplicationGroup;

/// The time within which a router process has to accept client connections.
const READY_TIMEOUT: Micros = 30 * SECOND;
/// The timeout of a connect that checks a router's readiness.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long after SIGTERM or SIGKILL a process is killed: longer than the longest request deadline.
const KILL_AFTER: Micros = 5 * SECOND;
/// The time within which the store has to accept changes again after the last fault.
const STORE_RECOVERY_TIMEOUT: Micros = 15 * SECOND;
/// The pause between two attempts to change the store at the end.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The sleep time of the main loop.
const LOOP_INTERVAL: Duration = Duration::from_millis(5);
/// The interval between two resource usage samples.
const SAMPLE_INTERVAL: Micros = SECOND;
/// The interval between two changes of the store.
const STORE_INTERVAL: Micros = 150 * MILLISECOND;
/// The replication lag of the replicas without a fault.
pub(super) const REPLICATION_LAG: Duration = Duration::from_millis(5);
/// The interval between two heartbeats of the simulated servers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);

/// An edge of a fault: its start or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Edge {
    /// The start of the fault.
    Begin,
    /// The end of the fault.
    End,
}

#[derive(Clone, Copy)]
struct ScheduledEdge {
    at: Micros,
    edge: Edge,
    fault: PlannedFault,
}

/// A run of `serve`.
pub(super) struct Run<'a> {
    plan: &'a Plan,
    programs: &'a Programs,
    folder: TempDir,
    clock: RunClock,
    recorder: Recorder,
    pub(super) replication_group: ReplicationGroup,
    addresses: Addresses,
    pub(super) routers: Vec<Router>,
    store: StoreProbe,
}

impl<'a> Run<'a> {
    /// Starts the servers, and creates the routers with their proxies but without their processes.
    pub(super) fn prepare(plan: &'a Plan, programs: &'a Programs) -> io::Result<Run<'a>> {
        let folder = tempfile::Builder::new().prefix("damsonvale-soak-").tempdir()?;
        let lags = vec![REPLICATION_LAG; plan.replicas];
        let replication_group = ReplicationGroup::start(&lags, HEARTBEAT_INTERVAL);
        let addresses = Addresses::allocate(plan.routers)?;
        let store = StoreProbe::new(&programs.router, &addresses.control_addresses);
        let (clock, recorder) = (RunClock::start(), Recorder::default());
        let mut run = Run {
            plan,
            programs,
            folder,
            clock,
            recorder,
            replication_group,
            addresses,
            routers: Vec::new(),
            store,
        };
        for index in 0..plan.routers {
            let router = run.create_router(index)?;
            run.routers.push(router);
        }
        Ok(run)
    }

    /// Creates a router without a process, starts its proxies and writes its configuration.
    fn create_router(&self, index: usize) -> io::Result<Router> {
        let (folder, name) = (self.folder.path(), format!("r{index}"));
        let instance = RouterInstance::create(index, folder, &name, &self.clock, &self.recorder)?;
        let mut servers = Vec::new();
        let mut proxies = Vec::new();
        for (id, address) in self.replication_group.servers() {
            let proxy = Proxy::start(address);
            servers.push(NamedServer { id, address: proxy.addr });
            proxies.push(proxy);
        }
        let config = folder.join(format!("{name}.toml"));
        std::fs::write(&config, config_text(index, &self.addresses, &servers, folder))?;
        Ok(Router { instance, config, phase: Phase::Running, proxies })
    }

    fn start_router(&mut self, router: usize) -> io::Result<()> {
        let now = self.clock.now();
        let router_state = &mut self.routers[router];
        let config = router_state.config.display().to_string();
        let temp_folder = self.folder.path().display().to_string();
        let variables = [("TMPDIR", temp_folder.as_str())];
        router_state.instance.start(self.programs, &["serve", &config], &variables)?;
        router_state.phase = Phase::Starting { since: now };
        Ok(())
    }

    /// Starts the router processes and waits until all accept client connections.
    pub(super) fn start_routers(&mut self) -> Result<(), RunError> {
        (0..self.routers.len()).try_for_each(|router| self.start_router(router))?;
        let started_at = self.clock.now();
        while self.routers.iter().any(|router| matches!(router.phase, Phase::Starting { .. })) {
            self.advance_routers();
            if self.clock.now() > started_at + READY_TIMEOUT {
                return Err(RunError::ServeNotReady);
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        Ok(())
    }

    /// Runs the load and injects the faults.
    pub(super) fn run_load(&mut self, seed: u64, faults: &[PlannedFault]) -> io::Result<()> {
        let mut load = Load::start(self.plan, seed, &self.addresses.clients, &self.clock, &self.recorder)?;
        let load_start = self.clock.now();
        let load_end = load_start + self.plan.seconds as Micros * SECOND;
        let mut edges = schedule(faults, load_start);
        let (mut next_change_at, mut next_sample_at) = (load_start, load_start);
        while self.clock.now() < load_end || !edges.is_empty() {
            let now = self.clock.now();
            while edges.first().is_some_and(|scheduled| scheduled.at <= now) {
                let scheduled = edges.remove(0);
                self.apply(&scheduled.fault, scheduled.edge)?;
            }
            self.advance_routers();
            if now >= next_change_at {
                next_change_at = now + STORE_INTERVAL;
                self.change_store();
            }
            if now >= next_sample_at {
                next_sample_at = now + SAMPLE_INTERVAL;
                self.sample();
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        load.end();
        self.recorder.lock().load_ended_at = self.clock.now();
        Ok(())
    }

    /// Sends a router a signal that ends it, unless it is already absent or not running.
    pub(super) fn end_router(&mut self, router: usize, signal: Signal, reason: AbsenceReason) {
        let router_state = &mut self.routers[router];
        if router_state.instance.is_absent() || router_state.phase != Phase::Running {
            return;
        }
        router_state.instance.set_absent(reason);
        router_state.instance.signal(signal);
        router_state.phase = Phase::Ending { since: self.clock.now() };
    }

    fn sample(&self) {
        let at = self.clock.now();
        let serving = self.routers.iter().filter(|router| !router.is_ending());
        serving.for_each(|router| router.instance.record_sample(at));
    }

    fn advance_routers(&mut self) {
        (0..self.routers.len()).for_each(|router| self.advance_router(router));
    }

    /// Advances a router's lifecycle: checks its readiness, detects its exit, and restarts it.
    fn advance_router(&mut self, router: usize) {
        let now = self.clock.now();
        let router_state = &mut self.routers[router];
        let has_ended = router_state.instance.has_ended();
        match router_state.phase {
            Phase::Ending { since } if has_ended || now > since + KILL_AFTER => {
                router_state.instance.discard_process();
                self.restart_router(router);
            }
            Phase::Starting { .. } | Phase::Running if has_ended => {
                router_state.instance.record_crash();
                self.restart_router(router);
            }
            Phase::Starting { since } => self.check_readiness(router, since, now),
            Phase::Ending { .. } | Phase::Running => {}
        }
    }

    fn restart_router(&mut self, router: usize) {
        if let Err(error) = self.start_router(router) {
            self.routers[router].instance.record_failed_start(error.to_string());
        }
    }

    fn check_readiness(&mut self, router: usize, since: Micros, now: Micros) {
        let router_state = &mut self.routers[router];
        if TcpStream::connect_timeout(&self.addresses.clients[router], PROBE_TIMEOUT).is_ok() {
            router_state.phase = Phase::Running;
            router_state.instance.set_present();
        } else if now > since + READY_TIMEOUT {
            router_state.phase = Phase::Running;
            router_state.instance.record_failed_start("not ready in time".into());
        }
    }

    /// Changes the store at the node whose turn it is, unless that node is absent.
    fn change_store(&mut self) {
        let node = self.store.next_node();
        let is_present = !self.routers[node].instance.is_absent();
        self.store.change(node, is_present);
    }

    /// Waits until the store accepts changes again or the timeout has expired, and reads the store.
    fn recover_store(&mut self) {
        let until = self.clock.now() + STORE_RECOVERY_TIMEOUT;
        while self.clock.now() < until {
            self.advance_routers();
            if self.store.read_back() {
                return;
            }
            std::thread::sleep(STORE_RETRY_PAUSE);
        }
    }

    /// Ends all faults, reads the store and the writes that the servers executed, and kills every process.
    pub(super) fn finish(mut self) -> io::Result<History> {
        for router in &self.routers {
            router.instance.control().clear_faults()?;
        }
        self.recover_store();
        for router in &self.routers {
            router.instance.record_panics();
        }
        let mut history = self.recorder.take();
        history.store = Some(self.store.record());
        let writes = self.replication_group.writes_by_session().into_iter();
        history.session_writes =
            writes.map(|(session, numbers)| SessionWrites { session, numbers }).collect();
        for router in &mut self.routers {
            router.instance.signal(Signal::SIGKILL);
        }
        Ok(history)
    }
}

/// Returns the starts and ends of the faults, ordered by time, for a load that starts at this time.
fn schedule(faults: &[PlannedFault], load_start: Micros) -> Vec<ScheduledEdge> {
    let mut edges = Vec::new();
    for fault in faults {
        let begin_at = load_start + fault.start_ms as Micros * MILLISECOND;
        let end_at = begin_at + fault.duration_ms as Micros * MILLISECOND;
        edges.push(ScheduledEdge { at: begin_at, edge: Edge::Begin, fault: *fault });
        edges.push(ScheduledEdge { at: end_at, edge: Edge::End, fault: *fault });
    }
    edges.sort_by_key(|scheduled| scheduled.at);
    edges
}
