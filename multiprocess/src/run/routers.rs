//! The router processes, their ports and their outages.
use super::error::RunError;
use super::startup::{POLL_INTERVAL, READY_LOG_LINE, STARTUP_TIMEOUT};
use crate::history::{Micros, Outage};
use crate::load::RouterPorts;
use crate::process::{Child, ResourceUsage};
use crate::report::UnexpectedExit;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Gives the choice of routers another random sequence than the load, which uses the same seed.
const SEED_MASK: u64 = 0x5eed;

struct Router {
    file: PathBuf,
    child: Option<Child>,
    /// Index of the current outage; `None` while the router is up.
    outage: Option<usize>,
    /// Whether the router was started and is not ready yet.
    starting: bool,
}

/// How to treat a router that is not ready yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OnNotReady {
    /// Keep waiting for the router.
    Wait,
    /// The startup timed out, so return an error.
    Fail,
}

/// All routers of a run; each is a process.
pub(super) struct Routers {
    program: PathBuf,
    run_start: Instant,
    routers: Vec<Router>,
    ports: RouterPorts,
    outages: Vec<Outage>,
    rng: fastrand::Rng,
}

impl Routers {
    /// Creates an empty list, with ports for `count` routers that are added later.
    pub(super) fn new(program: PathBuf, count: usize, seed: u64, run_start: Instant) -> Routers {
        Routers {
            program,
            run_start,
            routers: Vec::new(),
            ports: RouterPorts::new(count),
            outages: Vec::new(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_MASK),
        }
    }

    /// Adds a router with its configuration file, without starting it.
    pub(super) fn add(&mut self, file: PathBuf) {
        self.routers.push(Router { file, child: None, outage: None, starting: false });
    }

    /// Returns the ports on which the routers listen.
    pub(super) fn ports(&self) -> &RouterPorts {
        &self.ports
    }

    /// Returns all outages so far.
    pub(super) fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Starts all routers and waits until they are ready.
    pub(super) fn start_all(&mut self) -> Result<(), RunError> {
        (0..self.routers.len()).try_for_each(|index| self.start(index))?;
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while self.routers.iter().any(|router| router.starting) {
            let on_not_ready = if Instant::now() > deadline { OnNotReady::Fail } else { OnNotReady::Wait };
            self.check_readiness(on_not_ready)?;
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn start(&mut self, index: usize) -> Result<(), RunError> {
        let router = &mut self.routers[index];
        let file = router.file.display().to_string();
        router.child = Some(Child::start(&self.program, &format!("router {index}"), &["serve", &file])?);
        router.starting = true;
        Ok(())
    }

    /// Marks the starting routers that have become ready, and ends their outages.
    pub(super) fn update_readiness(&mut self) -> Result<(), RunError> {
        self.check_readiness(OnNotReady::Wait)
    }

    fn check_readiness(&mut self, on_not_ready: OnNotReady) -> Result<(), RunError> {
        let now = self.now();
        let starting = self.routers.iter_mut().enumerate().filter(|(_, router)| router.starting);
        for (index, router) in starting {
            let Some(child) = &router.child else { continue };
            match child.wait_for_log(READY_LOG_LINE, Duration::ZERO) {
                Ok(address) => {
                    self.ports.set(index, parse_address(child, address)?.port());
                    router.starting = false;
                    if let Some(outage) = router.outage.take() {
                        self.outages[outage].until = now;
                    }
                }
                Err(e) if on_not_ready == OnNotReady::Fail => return Err(e.into()),
                Err(_) => {}
            }
        }
        Ok(())
    }

    /// Chooses routers at random from those that are up. Their number is the given share of all routers, or
    /// fewer if not enough are up.
    pub(super) fn choose_running(&mut self, share: f64) -> Vec<usize> {
        let is_up = |router: &Router| router.child.is_some() && router.outage.is_none();
        let mut up: Vec<usize> = (0..self.routers.len()).filter(|i| is_up(&self.routers[*i])).collect();
        self.rng.shuffle(&mut up);
        up.truncate((share * self.routers.len() as f64).round() as usize);
        up
    }

    /// Kills the chosen routers.
    pub(super) fn kill(&mut self, chosen: &[usize]) {
        for &index in chosen {
            self.begin_outage(index);
            self.ports.set_down(index);
            self.routers[index].child = None;
        }
    }

    /// Sends SIGTERM to the chosen routers.
    pub(super) fn terminate(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        for &index in chosen {
            self.begin_outage(index);
            self.ports.set_down(index);
            self.signal(index, Signal::SIGTERM)?;
        }
        Ok(())
    }

    /// Starts the chosen routers again; kills those that have not exited after SIGTERM.
    pub(super) fn restart(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        chosen.iter().for_each(|index| self.routers[*index].child = None);
        chosen.iter().try_for_each(|index| self.start(*index))
    }

    /// Suspends the chosen routers until they are resumed.
    pub(super) fn suspend(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        for &index in chosen {
            self.begin_outage(index);
            self.signal(index, Signal::SIGSTOP)?;
        }
        Ok(())
    }

    /// Resumes the chosen suspended routers.
    pub(super) fn resume(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        for &index in chosen {
            self.signal(index, Signal::SIGCONT)?;
            let now = self.now();
            if let Some(outage) = self.routers[index].outage.take() {
                self.outages[outage].until = now;
            }
        }
        Ok(())
    }

    fn begin_outage(&mut self, index: usize) {
        self.routers[index].outage = Some(self.outages.len());
        self.outages.push(Outage { router: index, from: self.now(), until: Micros::MAX });
    }

    fn signal(&self, index: usize, signal: Signal) -> Result<(), RunError> {
        match &self.routers[index].child {
            Some(child) => Ok(child.signal(signal)?),
            None => Ok(()),
        }
    }

    /// Returns the resource usage of the running routers.
    pub(super) fn resource_usage(&self) -> Vec<ResourceUsage> {
        let children = self.routers.iter().filter_map(|router| router.child.as_ref());
        children.filter_map(Child::resource_usage).collect()
    }

    /// Returns the routers that exited without an outage.
    pub(super) fn unexpected_exits(&mut self) -> Vec<UnexpectedExit> {
        let expected_up = self.routers.iter_mut().enumerate().filter(|(_, router)| router.outage.is_none());
        expected_up
            .filter_map(|(router, state)| {
                let child = state.child.as_mut()?;
                child.has_ended().then(|| UnexpectedExit { router, log_lines: child.log_lines() })
            })
            .collect()
    }

    fn now(&self) -> Micros {
        self.run_start.elapsed().as_micros() as Micros
    }
}

fn parse_address(child: &Child, address: String) -> Result<SocketAddr, RunError> {
    address.parse().map_err(|_| RunError::Address { name: child.name.clone(), address })
}
