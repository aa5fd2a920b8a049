//! One run of the platform's front: routers, servers, agents and clients, and the troubles at their times.
pub mod settings;
mod troubles;

use crate::history::{Absence, Absent, History, Micros, Recorder, SECOND, Start};
use crate::plan::Plan;
use crate::router::{Process, Programs, admin_call, control_file, is_ready};
use crate::trouble::Trouble;
use crate::world::agents::{Agents, Entry};
use crate::world::clients::{ClientSettings, Clients};
use crate::world::clock::WorldClock;
use crate::world::servers::Servers;
use fault_control::ControlFile;
use nix::sys::signal::Signal;
use settings::config;
pub use settings::{COLD_FROM, COLD_MS, DRAIN_GRACE, MEMORY_MB, OVERLOAD_FACTOR, OVERLOAD_WINDOW, SOCKETS};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use tempfile::TempDir;
use troubles::Schedule;

/// A process has to be ready by then.
const READY_TIMEOUT: Micros = 30 * SECOND;
/// After SIGTERM a process is killed: the longest deadline (3 s at least) and 0.7 s later.
const KILL_AFTER: Micros = 3_700_000;
/// Processes are sampled this often.
const SAMPLE_INTERVAL: Micros = SECOND;
/// How long open requests are waited for once the load has ended.
const DRAIN_TIMEOUT: Micros = 5 * SECOND;
/// The main loop's step.
const STEP: Duration = Duration::from_millis(2);

/// What a router's process is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It was started and does not answer yet.
    Starting {
        since: Micros,
    },
    Running,
    /// It was told to end.
    Ending {
        since: Micros,
    },
    /// It is gone, and started again then.
    Gone {
        start_at: Micros,
    },
}

struct Router {
    listen: SocketAddr,
    admin: SocketAddr,
    config: PathBuf,
    control: ControlFile,
    control_path: PathBuf,
    process: Option<Process>,
    phase: Phase,
    incarnation: usize,
    /// The place of its absence in the history, while it is absent.
    absent: Option<usize>,
    /// Which address of its agent the configuration names.
    agent: usize,
    next_look_at: Micros,
}

/// A run of the platform's front.
pub struct Run<'a> {
    plan: &'a Plan,
    programs: &'a Programs,
    folder: TempDir,
    clock: WorldClock,
    recorder: Recorder,
    servers: Servers,
    agents: Agents,
    clients: Option<Clients>,
    routers: Vec<Router>,
    /// How many processes each server has had, which its id tells.
    generations: Vec<usize>,
}

/// Plays a plan with these troubles and returns what was recorded.
///
/// # Errors
/// The system's, where no port, folder or process can be had.
pub fn play(plan: &Plan, seed: u64, troubles: &[Trouble], programs: &Programs) -> io::Result<History> {
    let mut run = Run::prepare(plan, programs)?;
    run.start_routers()?;
    run.play(seed, troubles)?;
    Ok(run.finish())
}

/// Addresses that nobody else listens on: on a loopback address of this run's own, so that they stay free until the routers
/// bind them, whatever ports outgoing connections take meanwhile. All are held until the last one is known.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let id = std::process::id();
    let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, 9];
    let bind = |_| TcpListener::bind(SocketAddr::from((ip, 0)));
    let held = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

impl<'a> Run<'a> {
    fn prepare(plan: &'a Plan, programs: &'a Programs) -> io::Result<Run<'a>> {
        let folder = tempfile::Builder::new().prefix("damsonvale-soak-").tempdir()?;
        let (clock, recorder) = (WorldClock::start(), Recorder::default());
        let servers = Servers::start(plan.routers, plan.groups, plan.replicas, &clock, &recorder)?;
        let agents = Agents::start(servers.addresses.clone(), &clock)?;
        let count = plan.groups * (plan.replicas + 1);
        for server in 0..count {
            let group = server / (plan.replicas + 1);
            let primary = server.is_multiple_of(plan.replicas + 1);
            let id = format!("s{server}-0");
            agents.change(Entry { server, id, group, state: "in_service", primary, started_ms: 0 });
        }
        let mut routers = Vec::new();
        let addresses = free_addresses(2 * plan.routers)?;
        for router in 0..plan.routers {
            let (control_path, control) = control_file(folder.path(), &format!("n{router}"))?;
            routers.push(Router {
                listen: addresses[2 * router],
                admin: addresses[2 * router + 1],
                config: folder.path().join(format!("n{router}.json")),
                control,
                control_path,
                process: None,
                phase: Phase::Gone { start_at: 0 },
                incarnation: 0,
                absent: None,
                agent: 0,
                next_look_at: 0,
            });
        }
        let generations = vec![0; count];
        Ok(Run {
            plan,
            programs,
            folder,
            clock,
            recorder,
            servers,
            agents,
            clients: None,
            routers,
            generations,
        })
    }

    fn write_config(&self, router: usize) -> io::Result<()> {
        let own = &self.routers[router];
        let known = self.agents.known(&self.servers.addresses[router]);
        let discovery = self.agents.addresses[router][own.agent];
        let text = config(router, own.listen, own.admin, discovery, known, self.plan.routers).to_string();
        std::fs::write(&own.config, text)
    }

    fn start_router(&mut self, router: usize) -> io::Result<()> {
        self.write_config(router)?;
        let own = &mut self.routers[router];
        let temporary = self.folder.path().join(format!("n{router}.tmp"));
        std::fs::create_dir_all(&temporary)?;
        let (config, temporary) = (own.config.display().to_string(), temporary.display().to_string());
        let variables = [("BALANCER_CONFIG", config.as_str()), ("TMPDIR", temporary.as_str())];
        own.process = Some(Process::start(self.programs, &[], &variables, &own.control_path)?);
        own.phase = Phase::Starting { since: self.clock.now() };
        own.incarnation += 1;
        Ok(())
    }

    /// Which routers are not ready, and what each said last.
    fn not_ready(&self) -> String {
        let late = self.routers.iter().enumerate().filter(|(_, router)| router.phase != Phase::Running);
        let said = late.map(|(index, router)| {
            let lines = router.process.as_ref().map(|process| process.last_lines(3)).unwrap_or_default();
            format!("router {index} at {}: {lines}", router.listen)
        });
        format!("not ready before the load: {}", said.collect::<Vec<String>>().join("; "))
    }

    fn start_routers(&mut self) -> io::Result<()> {
        (0..self.routers.len()).try_for_each(|router| self.start_router(router))?;
        let begun = self.clock.now();
        while self.routers.iter().any(|router| router.phase != Phase::Running) {
            (0..self.routers.len()).for_each(|router| self.advance_router(router));
            if self.clock.now() > begun + READY_TIMEOUT {
                return Err(io::Error::other(self.not_ready()));
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    fn play(&mut self, seed: u64, troubles: &[Trouble]) -> io::Result<()> {
        let settings = ClientSettings {
            routers: self.routers.iter().map(|router| router.listen).collect(),
            clients: self.plan.clients,
            groups: self.plan.groups,
            think: self.plan.think_ms as Micros * 1000,
            seed,
        };
        self.clients = Some(Clients::start(settings, &self.clock, &self.recorder)?);
        let begun = self.clock.now();
        let end = begun + self.plan.seconds as Micros * SECOND;
        let mut schedule = Schedule::new(troubles, begun);
        let mut next_sample_at = begun;
        while self.clock.now() < end || !schedule.is_over() {
            let now = self.clock.now();
            for step in schedule.due(now) {
                self.carry_out(&step, &mut schedule)?;
            }
            (0..self.routers.len()).for_each(|router| self.advance_router(router));
            if now >= next_sample_at {
                next_sample_at = now + SAMPLE_INTERVAL;
                self.sample();
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    /// Looks after a router's process: whether it is ready, has ended, or is to be started again.
    fn advance_router(&mut self, router: usize) {
        let now = self.clock.now();
        let own = &mut self.routers[router];
        if now < own.next_look_at {
            return;
        }
        own.next_look_at = now + 10_000;
        let ended = own.process.as_mut().is_none_or(Process::has_ended);
        match own.phase {
            Phase::Gone { start_at } if now >= start_at => {
                if let Err(error) = self.start_router(router) {
                    self.recorder.lock().failed_starts.push(format!("router {router}: {error}"));
                }
            }
            Phase::Gone { .. } => {}
            Phase::Ending { since } => {
                if ended || now > since + KILL_AFTER {
                    own.process = None;
                    own.phase = Phase::Gone { start_at: now + 100_000 };
                }
            }
            Phase::Starting { .. } | Phase::Running if ended => {
                let said = own.process.as_ref().map(|process| process.last_lines(4)).unwrap_or_default();
                self.recorder.lock().crashes.push(format!("router {router}: {said}"));
                self.set_absent(router, Absence::Killed);
                self.routers[router].phase = Phase::Gone { start_at: now + SECOND };
            }
            Phase::Starting { since } => {
                if is_ready(own.listen, Duration::from_millis(200)) {
                    own.phase = Phase::Running;
                    self.set_present(router);
                } else if now > since + READY_TIMEOUT {
                    self.recorder.lock().failed_starts.push(format!("router {router}: not ready in time"));
                    own.phase = Phase::Running;
                }
            }
            Phase::Running => {}
        }
    }

    fn set_absent(&mut self, router: usize, why: Absence) {
        if self.routers[router].absent.is_some() {
            return;
        }
        let mut history = self.recorder.lock();
        let from = self.clock.now();
        history.absent.push(Absent { router, why, from, to: Micros::MAX });
        self.routers[router].absent = Some(history.absent.len() - 1);
    }

    fn set_present(&mut self, router: usize) {
        if let Some(place) = self.routers[router].absent.take() {
            self.recorder.lock().absent[place].to = self.clock.now();
        }
    }

    fn note_start(&self, server: usize) {
        self.recorder.lock().starts.push(Start { server, at: self.clock.now() });
    }

    fn sample(&self) {
        let at = self.clock.now();
        for (index, router) in self.routers.iter().enumerate().filter(|(_, r)| r.phase == Phase::Running) {
            let sample = router.process.as_ref().and_then(|p| p.sample(index, router.incarnation, at));
            sample.into_iter().for_each(|sample| self.recorder.lock().samples.push(sample));
        }
    }

    /// Ends the load, waits for what is open, reads the routers' own counts, and ends every process.
    fn finish(mut self) -> History {
        self.clients.iter().for_each(Clients::end_load);
        let until = self.clock.now() + DRAIN_TIMEOUT;
        self.recorder.lock().load_ended_at = self.clock.now();
        while self.clients.as_ref().is_some_and(|c| c.open_requests() > 0) && self.clock.now() < until {
            (0..self.routers.len()).for_each(|router| self.advance_router(router));
            std::thread::sleep(STEP);
        }
        // The last answers are being recorded.
        std::thread::sleep(Duration::from_millis(50));
        self.clients = None;
        self.sample();
        for router in 0..self.routers.len() {
            self.read_violations(router);
        }
        for router in &mut self.routers {
            router.process.iter_mut().for_each(|process| process.signal(Signal::SIGKILL));
        }
        self.recorder.take()
    }

    /// The program's own count of violated invariants, and error lines of its log that tell of one.
    fn read_violations(&self, router: usize) {
        let own = &self.routers[router];
        let text = admin_call(own.admin, "GET /metrics HTTP/1.1", Duration::from_secs(2)).unwrap_or_default();
        let mut history = self.recorder.lock();
        for line in text.lines().filter(|line| line.contains("invariant_violations_total{")) {
            let name = line.split('"').nth(1).unwrap_or("").to_string();
            let count = line.rsplit(' ').next().and_then(|count| count.parse().ok()).unwrap_or(0);
            if count > 0 {
                history.invariant_violations.push((router, name, count));
            }
        }
        let said = own.process.as_ref().map(|p| p.lines_with(&["panicked"])).unwrap_or_default();
        history.crashes.extend(said.into_iter().map(|line| format!("router {router}: {line}")));
    }
}
