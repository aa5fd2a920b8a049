//! A run on the platform front: its setup, its load, the lifecycle of its router processes, and its end.
use super::probe::{admin_call, is_ready};
use super::router::{Phase, Router};
use super::schedule::Schedule;
use super::settings::RouterSettings;
use crate::environment::clients::{ClientSettings, Clients};
use crate::environment::clock::RunClock;
use crate::environment::discovery::{DiscoveryAgents, Endpoint, EndpointState};
use crate::environment::servers::Servers;
use crate::error::{RunError, UnreadyRouter};
use crate::fault::PlannedFault;
use crate::history::{AbsenceReason, History, InvariantViolations, Recorder, ServerStart};
use crate::plan::Plan;
use crate::router::{AddressBlock, Programs, RouterInstance, free_addresses};
use crate::time::{MILLISECOND, Micros, SECOND};
use nix::sys::signal::Signal;
use std::io;
use std::time::Duration;
use tempfile::TempDir;

/// The time within which a router process has to become ready.
const READY_TIMEOUT: Micros = 30 * SECOND;
/// The timeout of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long after SIGTERM or SIGKILL a process is killed: the longest request deadline (at least 3 s) plus
/// 0.7 s.
const KILL_AFTER: Micros = 3_700_000;
/// The delay before a process that was ended by a signal is replaced.
const RESTART_DELAY: Micros = 100 * MILLISECOND;
/// The delay before a crashed process is replaced.
const CRASH_RESTART_DELAY: Micros = SECOND;
/// The interval between two checks of a process.
const CHECK_INTERVAL: Micros = 10 * MILLISECOND;
/// The interval between two resource usage samples.
const SAMPLE_INTERVAL: Micros = SECOND;
/// The maximum time to wait for pending requests after the end of the load.
const DRAIN_TIMEOUT: Micros = 5 * SECOND;
/// The time allowed for the last responses to be recorded.
const RECORDING_TIME: Duration = Duration::from_millis(50);
/// The timeout of the metrics call to a router.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);
/// The sleep time of the main loop.
const LOOP_INTERVAL: Duration = Duration::from_millis(2);
/// The address block of the routers.
const ROUTER_ADDRESSES: AddressBlock = AddressBlock(9);
/// The number of log lines shown for a router that does not become ready.
const MAX_UNREADY_LINES: usize = 3;
/// The start of the metric that counts violated invariants.
const VIOLATIONS_METRIC: &str = "invariant_violations_total{";

/// A run on the platform front.
pub(super) struct Run<'a> {
    pub(super) plan: &'a Plan,
    programs: &'a Programs,
    folder: TempDir,
    pub(super) clock: RunClock,
    pub(super) recorder: Recorder,
    pub(super) servers: Servers,
    pub(super) agents: DiscoveryAgents,
    pub(super) clients: Option<Clients>,
    pub(super) routers: Vec<Router>,
    /// How often each server was replaced; the number is part of the server's id.
    pub(super) generations: Vec<usize>,
}

/// Returns the id of a server in the endpoint list.
pub(super) fn server_id(server: usize, generation: usize) -> String {
    format!("s{server}-{generation}")
}

impl<'a> Run<'a> {
    /// Starts the servers and the discovery agents, and creates the routers without their processes.
    pub(super) fn prepare(plan: &'a Plan, programs: &'a Programs) -> io::Result<Run<'a>> {
        let folder = tempfile::Builder::new().prefix("damsonvale-soak-").tempdir()?;
        let (clock, recorder) = (RunClock::start(), Recorder::default());
        let servers = Servers::start(plan, &clock, &recorder)?;
        let agents = DiscoveryAgents::start(servers.addresses.clone(), &clock)?;
        list_servers(plan, &agents);
        let routers = create_routers(plan, &folder, &clock, &recorder)?;
        let generations = vec![0; plan.servers()];
        let clients = None;
        Ok(Run { plan, programs, folder, clock, recorder, servers, agents, clients, routers, generations })
    }

    /// Writes a router's configuration with the current endpoint list.
    pub(super) fn write_config(&self, router: usize) -> io::Result<()> {
        let router_state = &self.routers[router];
        let settings = RouterSettings {
            router,
            listen: router_state.listen,
            admin: router_state.admin,
            discovery: self.agents.addresses[router][router_state.agent_address],
            endpoints: self.agents.list_json(&self.servers.addresses[router]),
            routers: self.plan.routers,
        };
        std::fs::write(&router_state.config, settings.to_json().to_string())
    }

    fn start_router(&mut self, router: usize) -> io::Result<()> {
        self.write_config(router)?;
        let temp_folder = self.folder.path().join(format!("n{router}.tmp"));
        std::fs::create_dir_all(&temp_folder)?;
        let temp_folder = temp_folder.display().to_string();
        let router_state = &mut self.routers[router];
        let config = router_state.config.display().to_string();
        let variables = [("BALANCER_CONFIG", config.as_str()), ("TMPDIR", temp_folder.as_str())];
        router_state.instance.start(self.programs, &[], &variables)?;
        router_state.phase = Phase::Starting { since: self.clock.now() };
        Ok(())
    }

    /// Starts the router processes and waits until all are ready.
    pub(super) fn start_routers(&mut self) -> Result<(), RunError> {
        (0..self.routers.len()).try_for_each(|router| self.start_router(router))?;
        let started_at = self.clock.now();
        while !self.routers.iter().all(Router::is_running) {
            self.advance_routers();
            if self.clock.now() > started_at + READY_TIMEOUT {
                return Err(RunError::PlatformNotReady(self.unready_routers()));
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        Ok(())
    }

    fn unready_routers(&self) -> Vec<UnreadyRouter> {
        let unready = self.routers.iter().enumerate().filter(|(_, router)| !router.is_running());
        let descriptions = unready.map(|(index, router)| UnreadyRouter {
            router: index,
            listen: router.listen,
            last_lines: router.instance.last_lines(MAX_UNREADY_LINES),
        });
        descriptions.collect()
    }

    /// Runs the load and injects the faults.
    pub(super) fn run_load(&mut self, seed: u64, faults: &[PlannedFault]) -> io::Result<()> {
        let settings = ClientSettings {
            routers: self.routers.iter().map(|router| router.listen).collect(),
            clients: self.plan.clients,
            groups: self.plan.groups,
            think_time: self.plan.think_ms as Micros * MILLISECOND,
            seed,
        };
        self.clients = Some(Clients::start(settings, &self.clock, &self.recorder)?);
        let load_start = self.clock.now();
        let load_end = load_start + self.plan.seconds as Micros * SECOND;
        let mut schedule = Schedule::new(faults, load_start);
        let mut next_sample_at = load_start;
        while self.clock.now() < load_end || !schedule.is_finished() {
            let now = self.clock.now();
            for step in schedule.take_due(now) {
                self.execute_step(&step, &mut schedule)?;
            }
            self.advance_routers();
            if now >= next_sample_at {
                next_sample_at = now + SAMPLE_INTERVAL;
                self.sample();
            }
            std::thread::sleep(LOOP_INTERVAL);
        }
        Ok(())
    }

    fn advance_routers(&mut self) {
        (0..self.routers.len()).for_each(|router| self.advance_router(router));
    }

    /// Advances a router's lifecycle: checks its readiness, detects its exit, and restarts it.
    fn advance_router(&mut self, router: usize) {
        let now = self.clock.now();
        let router_state = &mut self.routers[router];
        if now < router_state.next_check_at {
            return;
        }
        router_state.next_check_at = now + CHECK_INTERVAL;
        let has_ended = router_state.instance.has_ended();
        match router_state.phase {
            Phase::Exited { restart_at } if now >= restart_at => self.restart_router(router),
            Phase::Ending { since } if has_ended || now > since + KILL_AFTER => {
                router_state.instance.discard_process();
                router_state.phase = Phase::Exited { restart_at: now + RESTART_DELAY };
            }
            Phase::Starting { .. } | Phase::Running if has_ended => {
                router_state.instance.record_crash();
                router_state.phase = Phase::Exited { restart_at: now + CRASH_RESTART_DELAY };
            }
            Phase::Starting { since } => self.check_readiness(router, since, now),
            Phase::Exited { .. } | Phase::Ending { .. } | Phase::Running => {}
        }
    }

    fn restart_router(&mut self, router: usize) {
        if let Err(error) = self.start_router(router) {
            self.routers[router].instance.record_failed_start(error.to_string());
        }
    }

    fn check_readiness(&mut self, router: usize, since: Micros, now: Micros) {
        let router_state = &mut self.routers[router];
        if is_ready(router_state.listen, PROBE_TIMEOUT) {
            router_state.phase = Phase::Running;
            router_state.instance.set_present();
        } else if now > since + READY_TIMEOUT {
            router_state.instance.record_failed_start("not ready in time".into());
            router_state.phase = Phase::Running;
        }
    }

    /// Records the start of a server process.
    pub(super) fn record_server_start(&self, server: usize) {
        let at = self.clock.now();
        self.recorder.lock().server_starts.push(ServerStart { server, at });
    }

    fn sample(&self) {
        let at = self.clock.now();
        let running = self.routers.iter().filter(|router| router.is_running());
        running.for_each(|router| router.instance.record_sample(at));
    }

    /// Sends a router a signal that ends it, unless it is already absent or not running.
    pub(super) fn end_router(&mut self, router: usize, signal: Signal, reason: AbsenceReason) {
        let router_state = &mut self.routers[router];
        if !router_state.is_running() || router_state.instance.is_absent() {
            return;
        }
        router_state.instance.set_absent(reason);
        router_state.instance.signal(signal);
        router_state.phase = Phase::Ending { since: self.clock.now() };
    }

    /// Ends the load, waits for pending requests, reads the routers' own violation counters, and kills every
    /// process.
    pub(super) fn finish(mut self) -> History {
        if let Some(clients) = &self.clients {
            clients.end_load();
        }
        let until = self.clock.now() + DRAIN_TIMEOUT;
        self.recorder.lock().load_ended_at = self.clock.now();
        while self.has_pending_requests() && self.clock.now() < until {
            self.advance_routers();
            std::thread::sleep(LOOP_INTERVAL);
        }
        std::thread::sleep(RECORDING_TIME);
        self.clients = None;
        self.sample();
        for router in 0..self.routers.len() {
            self.read_violations(router);
            self.routers[router].instance.record_panics();
        }
        for router in &mut self.routers {
            router.instance.signal(Signal::SIGKILL);
        }
        self.recorder.take()
    }

    fn has_pending_requests(&self) -> bool {
        self.clients.as_ref().is_some_and(|clients| clients.pending_requests() > 0)
    }

    /// Reads the router's metrics and records its counters of violated invariants.
    fn read_violations(&self, router: usize) {
        let admin = self.routers[router].admin;
        let metrics = admin_call(admin, "GET /metrics HTTP/1.1", METRICS_TIMEOUT).unwrap_or_default();
        let violations = metrics.lines().filter_map(|line| parse_violations(router, line));
        self.recorder.lock().invariant_violations.extend(violations);
    }
}

/// Parses a metric line; returns `None` if it is not a counter of violated invariants or if the counter is 0.
fn parse_violations(router: usize, line: &str) -> Option<InvariantViolations> {
    if !line.contains(VIOLATIONS_METRIC) {
        return None;
    }
    let invariant = line.split('"').nth(1).unwrap_or("").to_string();
    let count = line.rsplit(' ').next().and_then(|count| count.parse().ok()).unwrap_or(0);
    (count > 0).then_some(InvariantViolations { router, invariant, count })
}

/// Adds every server to the endpoint list, the first of each group as its primary.
fn list_servers(plan: &Plan, agents: &DiscoveryAgents) {
    let members = plan.servers_per_group();
    for server in 0..plan.servers() {
        agents.change(Endpoint {
            server,
            id: server_id(server, 0),
            group: server / members,
            state: EndpointState::InService,
            primary: server.is_multiple_of(members),
            started_ms: 0,
        });
    }
}

fn create_routers(
    plan: &Plan,
    folder: &TempDir,
    clock: &RunClock,
    recorder: &Recorder,
) -> io::Result<Vec<Router>> {
    let addresses = free_addresses(ROUTER_ADDRESSES, 2 * plan.routers)?;
    let mut routers = Vec::new();
    for (index, pair) in addresses.chunks_exact(2).enumerate() {
        let name = format!("n{index}");
        routers.push(Router {
            instance: RouterInstance::create(index, folder.path(), &name, clock, recorder)?,
            listen: pair[0],
            admin: pair[1],
            config: folder.path().join(format!("{name}.json")),
            phase: Phase::Exited { restart_at: 0 },
            agent_address: 0,
            next_check_at: 0,
        });
    }
    Ok(routers)
}
