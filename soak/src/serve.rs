//! One run of `serve`: routers with sessions on disk and among peers, three of them nodes of a replicated store, one fleet
//! by membership, in front of stand-in servers behind proxies.
mod load;
pub mod settings;

use crate::history::{Absence, Absent, History, Micros, Recorder, SECOND, StoreRecord};
use crate::plan::Plan;
use crate::router::{Process, Programs, control_file};
use crate::trouble::{Kind, Trouble};
use crate::world::clock::WorldClock;
use fault_control::{ControlFile, Fault};
use load::Load;
use nix::sys::signal::Signal;
use settings::{Addresses, STORE_NODES, file};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use tempfile::TempDir;
use test_servers::fleet::Fleet;
use test_servers::proxy::Proxy;

/// A process has to accept clients by then.
const READY_TIMEOUT: Micros = 30 * SECOND;
/// After SIGTERM a process is killed then: the longest deadline and some.
const KILL_AFTER: Micros = 5 * SECOND;
/// The store has to take changes again this long after the last trouble.
const STORE_BACK_AFTER: Micros = 15 * SECOND;
const STEP: Duration = Duration::from_millis(5);
/// Processes are sampled this often.
const SAMPLE_INTERVAL: Micros = SECOND;
/// A change of the store is made this often.
const STORE_INTERVAL: Micros = 150_000;
/// The key that is changed.
const STORE_KEY: &str = "soak";

struct Router {
    control: ControlFile,
    control_path: PathBuf,
    file: PathBuf,
    process: Option<Process>,
    /// When its process was told to end, or killed.
    ending_since: Option<Micros>,
    absent: Option<usize>,
    starting_since: Option<Micros>,
    /// How many processes it had before this one.
    incarnation: usize,
    proxies: Vec<Proxy>,
}

struct Run<'a> {
    plan: &'a Plan,
    programs: &'a Programs,
    folder: TempDir,
    clock: WorldClock,
    recorder: Recorder,
    fleet: Fleet,
    addresses: Addresses,
    routers: Vec<Router>,
    store: StoreRecord,
    next_change: u64,
}

/// Plays a plan with these troubles and returns what was recorded.
///
/// # Errors
/// The system's, where no port, folder or process can be had.
pub fn play(plan: &Plan, seed: u64, troubles: &[Trouble], programs: &Programs) -> io::Result<History> {
    let mut run = Run::prepare(plan, programs)?;
    (0..plan.routers).try_for_each(|router| run.start_router(router))?;
    let begun = run.clock.now();
    while run.routers.iter().any(|router| router.starting_since.is_some()) {
        run.advance_all();
        if run.clock.now() > begun + READY_TIMEOUT {
            return Err(io::Error::other("the routers were not ready before the load"));
        }
        std::thread::sleep(STEP);
    }
    run.play(seed, troubles)?;
    run.finish()
}

impl<'a> Run<'a> {
    fn prepare(plan: &'a Plan, programs: &'a Programs) -> io::Result<Run<'a>> {
        let folder = tempfile::Builder::new().prefix("damsonvale-soak-").tempdir()?;
        let lags = vec![Duration::from_millis(5); plan.replicas];
        let fleet = Fleet::start(&lags, Duration::from_millis(5));
        let addresses = Addresses::free(plan.routers)?;
        let mut routers = Vec::new();
        for router in 0..plan.routers {
            let (control_path, control) = control_file(folder.path(), &format!("r{router}"))?;
            let proxies: Vec<Proxy> =
                fleet.servers().into_iter().map(|(_, addr)| Proxy::start(addr)).collect();
            let servers: Vec<_> = fleet
                .servers()
                .into_iter()
                .zip(&proxies)
                .map(|((name, _), proxy)| (name, proxy.addr))
                .collect();
            let path = folder.path().join(format!("r{router}.toml"));
            std::fs::write(&path, file(router, &addresses, &servers, folder.path()))?;
            routers.push(Router {
                control,
                control_path,
                file: path,
                process: None,
                ending_since: None,
                absent: None,
                starting_since: None,
                incarnation: 0,
                proxies,
            });
        }
        Ok(Run {
            plan,
            programs,
            folder,
            clock: WorldClock::start(),
            recorder: Recorder::default(),
            fleet,
            addresses,
            routers,
            store: StoreRecord::default(),
            next_change: 0,
        })
    }

    fn start_router(&mut self, router: usize) -> io::Result<()> {
        let now = self.clock.now();
        let own = &mut self.routers[router];
        let path = own.file.display().to_string();
        let temporary = self.folder.path().display().to_string();
        let variables = [("TMPDIR", temporary.as_str())];
        own.process = Some(Process::start(self.programs, &["serve", &path], &variables, &own.control_path)?);
        (own.starting_since, own.ending_since) = (Some(now), None);
        Ok(())
    }

    fn play(&mut self, seed: u64, troubles: &[Trouble]) -> io::Result<()> {
        let mut load =
            Load::start(self.plan, seed, &self.addresses.clients, &self.clock, &self.recorder, &self.fleet)?;
        let begun = self.clock.now();
        let end = begun + self.plan.seconds as Micros * SECOND;
        let mut steps: Vec<(Micros, bool, Trouble)> = Vec::new();
        for trouble in troubles {
            let from = begun + trouble.at_ms as Micros * 1000;
            steps.push((from, true, *trouble));
            steps.push((from + trouble.for_ms as Micros * 1000, false, *trouble));
        }
        steps.sort_by_key(|(at, ..)| *at);
        let mut next_change_at = begun;
        let mut next_sample_at = begun;
        while self.clock.now() < end || !steps.is_empty() {
            let now = self.clock.now();
            while steps.first().is_some_and(|(at, ..)| *at <= now) {
                let (_, begins, trouble) = steps.remove(0);
                self.carry_out(&trouble, begins)?;
            }
            self.advance_all();
            if now >= next_change_at {
                next_change_at = now + STORE_INTERVAL;
                self.change_store();
            }
            if now >= next_sample_at {
                next_sample_at = now + SAMPLE_INTERVAL;
                self.sample();
            }
            std::thread::sleep(STEP);
        }
        load.end();
        self.recorder.lock().load_ended_at = self.clock.now();
        Ok(())
    }

    fn carry_out(&mut self, trouble: &Trouble, begins: bool) -> io::Result<()> {
        let Trouble { router, server, .. } = *trouble;
        let server = server % self.routers[router].proxies.len();
        match (trouble.kind, begins) {
            (Kind::Term, true) => self.signal_end(router, Signal::SIGTERM, Absence::Ended),
            (Kind::Kill, true) => self.signal_end(router, Signal::SIGKILL, Absence::Killed),
            (Kind::PauseShort | Kind::PauseLong, true) => {
                self.set_absent(router, Absence::Paused);
                self.signal(router, Signal::SIGSTOP);
            }
            (Kind::PauseShort | Kind::PauseLong, false) => {
                self.signal(router, Signal::SIGCONT);
                if self.routers[router].ending_since.is_none() {
                    self.set_present(router);
                }
            }
            (Kind::ServerLag, _) => {
                let lag = if begins { 800 } else { 5 };
                if server > 0 {
                    self.fleet.lag(server, Duration::from_millis(lag));
                }
            }
            (Kind::LinkCut, true) => self.routers[router].proxies[server].cut(),
            (Kind::LinkDelay, true) => {
                self.routers[router].proxies[server].faults(|f| f.delay = Duration::from_millis(100));
            }
            (Kind::LinkCut | Kind::LinkDelay, false) => self.routers[router].proxies[server].heal(),
            (Kind::ClockOne, _) => {
                let offset = if begins { trouble.amount * 1_000_000 } else { 0 };
                self.routers[router].control.set_clock_offset(offset)?;
            }
            (Kind::Syscalls, true) => {
                let control = &self.routers[router].control;
                control.set_fault_rate(Fault::Interrupt, 20_000)?;
                control.set_fault_rate(Fault::ShortTransfer, 100_000)?;
                control.set_fault_rate(Fault::Connect, 50_000)?;
            }
            (Kind::Disk, true) => {
                let control = &self.routers[router].control;
                control.set_fault_rate(Fault::FileWrite, 300_000)?;
                control.set_fault_rate(Fault::FileSync, 300_000)?;
            }
            (Kind::Syscalls | Kind::Disk, false) => self.routers[router].control.clear_faults()?,
            _ => {}
        }
        Ok(())
    }

    fn signal(&mut self, router: usize, signal: Signal) {
        self.routers[router].process.iter_mut().for_each(|process| process.signal(signal));
    }

    fn signal_end(&mut self, router: usize, signal: Signal, why: Absence) {
        let own = &self.routers[router];
        if own.absent.is_some() || own.ending_since.is_some() || own.starting_since.is_some() {
            return;
        }
        self.set_absent(router, why);
        self.signal(router, signal);
        self.routers[router].ending_since = Some(self.clock.now());
    }

    fn set_absent(&mut self, router: usize, why: Absence) {
        if self.routers[router].absent.is_none() {
            let mut history = self.recorder.lock();
            history.absent.push(Absent { router, why, from: self.clock.now(), to: Micros::MAX });
            self.routers[router].absent = Some(history.absent.len() - 1);
        }
    }

    fn set_present(&mut self, router: usize) {
        if let Some(place) = self.routers[router].absent.take() {
            self.recorder.lock().absent[place].to = self.clock.now();
        }
    }

    fn sample(&self) {
        let at = self.clock.now();
        let serving = |(_, router): &(usize, &Router)| router.ending_since.is_none();
        for (index, router) in self.routers.iter().enumerate().filter(serving) {
            let sample = router.process.as_ref().and_then(|p| p.sample(index, router.incarnation, at));
            self.recorder.lock().samples.extend(sample);
        }
    }

    fn advance_all(&mut self) {
        (0..self.routers.len()).for_each(|router| self.advance(router));
    }

    fn advance(&mut self, router: usize) {
        let now = self.clock.now();
        let address = self.addresses.clients[router];
        let own = &mut self.routers[router];
        let ended = own.process.as_mut().is_none_or(Process::has_ended);
        if let Some(since) = own.ending_since {
            if ended || now > since + KILL_AFTER {
                own.process = None;
                self.restart(router);
            }
        } else if ended {
            let said = own.process.as_ref().map(|process| process.last_lines(4)).unwrap_or_default();
            self.recorder.lock().crashes.push(format!("router {router}: {said}"));
            self.set_absent(router, Absence::Killed);
            self.restart(router);
        } else if let Some(since) = own.starting_since {
            if TcpStream::connect_timeout(&address, Duration::from_millis(50)).is_ok() {
                own.starting_since = None;
                self.set_present(router);
            } else if now > since + READY_TIMEOUT {
                own.starting_since = None;
                self.recorder.lock().failed_starts.push(format!("router {router}: not ready in time"));
            }
        }
    }

    fn restart(&mut self, router: usize) {
        self.routers[router].incarnation += 1;
        if let Err(error) = self.start_router(router) {
            self.recorder.lock().failed_starts.push(format!("router {router}: {error}"));
        }
    }

    /// Runs a command at a node's control address; its answer where it succeeded.
    fn control(&self, node: usize, words: &[&str]) -> Option<String> {
        let mut command = Command::new(&self.programs.router);
        let address = self.addresses.controls[node].to_string();
        command.arg("ctl").arg(address).args(words).env_clear();
        let output = command.output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Sets the key to the next number at one node. It counts as confirmed where the command says so.
    fn change_store(&mut self) {
        self.next_change += 1;
        let number = self.next_change;
        let node = number as usize % STORE_NODES;
        if self.routers[node].absent.is_none()
            && self.control(node, &["set", STORE_KEY, &number.to_string()]).is_some()
        {
            self.store.confirmed = number;
        }
    }

    /// What the store holds of the key, once it takes changes again.
    fn read_store_back(&mut self) {
        let until = self.clock.now() + STORE_BACK_AFTER;
        while self.clock.now() < until && !self.store.came_back {
            self.advance_all();
            for node in 0..STORE_NODES {
                if self.control(node, &["set", "soak-end", "1"]).is_some() {
                    let text = self.control(node, &["get", STORE_KEY]).unwrap_or_default();
                    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                    self.store.found = value["text"].as_str().and_then(|text| text.parse().ok());
                    self.store.came_back = true;
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    fn finish(mut self) -> io::Result<History> {
        for router in &self.routers {
            router.control.clear_faults()?;
        }
        self.read_store_back();
        let said: BTreeMap<usize, Vec<String>> = self
            .routers
            .iter()
            .enumerate()
            .filter_map(|(index, router)| Some((index, router.process.as_ref()?.lines_with(&["panicked"]))))
            .collect();
        let mut history = self.recorder.take();
        for (router, lines) in said {
            history.crashes.extend(lines.into_iter().map(|line| format!("router {router}: {line}")));
        }
        history.store = Some(self.store);
        history.writes_run = self.fleet.writes_by_session();
        for router in &mut self.routers {
            router.process.iter_mut().for_each(|process| process.signal(Signal::SIGKILL));
        }
        Ok(history)
    }
}
