//! The routers: their processes, ports and outages.
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

/// Keeps the draws of routers apart from those of the load.
const SEED_MASK: u64 = 0x5eed;

struct Router {
    file: PathBuf,
    child: Option<Child>,
    /// Index of its present outage.
    outage: Option<usize>,
    /// It was started and is not ready yet.
    starting: bool,
}

/// What happens to a router that is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotReady {
    /// It may still become ready.
    Wait,
    /// Its time is over.
    Fail,
}

/// The routers, a process each.
pub(super) struct Routers {
    program: PathBuf,
    epoch: Instant,
    routers: Vec<Router>,
    ports: RouterPorts,
    outages: Vec<Outage>,
    rng: fastrand::Rng,
}

impl Routers {
    /// No routers yet, of `count` to be added.
    pub(super) fn new(program: PathBuf, count: usize, seed: u64, epoch: Instant) -> Routers {
        Routers {
            program,
            epoch,
            routers: Vec::new(),
            ports: RouterPorts::new(count),
            outages: Vec::new(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_MASK),
        }
    }

    /// Adds a router with its operator's file, without starting it.
    pub(super) fn add(&mut self, file: PathBuf) {
        self.routers.push(Router { file, child: None, outage: None, starting: false });
    }

    /// Where the routers listen.
    pub(super) fn ports(&self) -> &RouterPorts {
        &self.ports
    }

    /// Outages so far.
    pub(super) fn outages(&self) -> &[Outage] {
        &self.outages
    }

    /// Starts all routers and waits until they are ready.
    pub(super) fn start_all(&mut self) -> Result<(), RunError> {
        (0..self.routers.len()).try_for_each(|index| self.start(index))?;
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while self.routers.iter().any(|router| router.starting) {
            let not_ready = if Instant::now() > deadline { NotReady::Fail } else { NotReady::Wait };
            self.check_readiness(not_ready)?;
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

    /// Finds which of the starting routers have become ready.
    pub(super) fn find_ready(&mut self) -> Result<(), RunError> {
        self.check_readiness(NotReady::Wait)
    }

    fn check_readiness(&mut self, not_ready: NotReady) -> Result<(), RunError> {
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
                Err(e) if not_ready == NotReady::Fail => return Err(e.into()),
                Err(_) => {}
            }
        }
        Ok(())
    }

    /// Draws a share of all routers from those that are up.
    pub(super) fn draw(&mut self, share: f64) -> Vec<usize> {
        let is_up = |router: &Router| router.child.is_some() && router.outage.is_none();
        let mut up: Vec<usize> = (0..self.routers.len()).filter(|i| is_up(&self.routers[*i])).collect();
        self.rng.shuffle(&mut up);
        up.truncate((share * self.routers.len() as f64).round() as usize);
        up
    }

    /// Kills routers.
    pub(super) fn kill(&mut self, chosen: &[usize]) {
        for &index in chosen {
            self.begin_outage(index);
            self.ports.set_down(index);
            self.routers[index].child = None;
        }
    }

    /// Asks routers to end.
    pub(super) fn terminate(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        for &index in chosen {
            self.begin_outage(index);
            self.ports.set_down(index);
            self.signal(index, Signal::SIGTERM)?;
        }
        Ok(())
    }

    /// Starts routers again; one that was asked to end and has not is killed.
    pub(super) fn restart(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        chosen.iter().for_each(|index| self.routers[*index].child = None);
        chosen.iter().try_for_each(|index| self.start(*index))
    }

    /// Stops routers' processes until they are resumed.
    pub(super) fn suspend(&mut self, chosen: &[usize]) -> Result<(), RunError> {
        for &index in chosen {
            self.begin_outage(index);
            self.signal(index, Signal::SIGSTOP)?;
        }
        Ok(())
    }

    /// Lets suspended routers go on.
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

    /// The resources that the running routers use.
    pub(super) fn resource_usage(&self) -> Vec<ResourceUsage> {
        let children = self.routers.iter().filter_map(|router| router.child.as_ref());
        children.filter_map(Child::resource_usage).collect()
    }

    /// Routers that ended though they have no outage.
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
        self.epoch.elapsed().as_micros() as Micros
    }
}

fn parse_address(child: &Child, address: String) -> Result<SocketAddr, RunError> {
    address.parse().map_err(|_| RunError::Address { name: child.name.clone(), address })
}
