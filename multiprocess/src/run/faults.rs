//! Injection of faults, and the actions that end them.
use super::deployment::Deployment;
use super::error::RunError;
use super::fleet_document::Quota;
use crate::plan::FaultKind;
use nix::sys::signal::Signal;
use std::time::Duration;

/// The action that ends a fault.
pub(super) enum Recovery {
    StartRouters(Vec<usize>),
    ResumeRouters(Vec<usize>),
    StartNode(usize),
    ResumeNode(usize),
    HealStoreLinks { routers: usize },
    HealServerLinks { routers: usize, site: String },
}

/// A recovery action and its delay after the fault.
pub(super) struct DelayedRecovery {
    pub(super) delay: Duration,
    pub(super) recovery: Recovery,
}

impl DelayedRecovery {
    fn new(delay_s: f64, recovery: Recovery) -> DelayedRecovery {
        DelayedRecovery { delay: Duration::from_secs_f64(delay_s), recovery }
    }
}

impl Deployment<'_> {
    /// Injects a fault. Returns the action that ends it; `None` if the fault is a single change or reset, or
    /// lasts until the end of the run.
    pub(super) fn inject(&mut self, fault: &FaultKind) -> Result<Option<DelayedRecovery>, RunError> {
        match fault {
            FaultKind::Kill { share, back_s } => return Ok(self.kill_routers(*share, *back_s)),
            FaultKind::Restart { share, back_s } => return self.terminate_routers(*share, *back_s).map(Some),
            FaultKind::Stop { share, for_s } => return self.suspend_routers(*share, *for_s).map(Some),
            FaultKind::KillLeader { back_s } => return Ok(self.kill_leader(*back_s)),
            FaultKind::StopLeader { for_s } => return self.suspend_leader(*for_s),
            FaultKind::CutStore { routers, direction, for_s } => {
                self.links.cut_store(*routers, *direction);
                let recovery = Recovery::HealStoreLinks { routers: *routers };
                return Ok(Some(DelayedRecovery::new(*for_s, recovery)));
            }
            FaultKind::CutServers { routers, site, direction, for_s } => {
                self.links.cut_servers(*routers, site, *direction);
                return Ok(Some(heal_server_links(*routers, site, *for_s)));
            }
            FaultKind::Delay { routers, site, ms, for_s } => {
                self.links.delay_servers(*routers, site, Duration::from_secs_f64(ms / 1000.0));
                return Ok(Some(heal_server_links(*routers, site, *for_s)));
            }
            FaultKind::Reset { routers, site } => self.links.reset_servers(*routers, site),
            FaultKind::Quota { tenant, rate, burst } => {
                self.document.set_quota(tenant, Quota { rate: *rate, burst: *burst });
                self.write_document()?;
            }
            FaultKind::Placement { tenant, sites, strict } => {
                self.document.set_placement(tenant, sites, *strict);
                self.write_document()?;
            }
        }
        Ok(None)
    }

    fn kill_routers(&mut self, share: f64, back_s: Option<f64>) -> Option<DelayedRecovery> {
        let chosen = self.routers.choose_running(share);
        self.routers.kill(&chosen);
        back_s.map(|seconds| DelayedRecovery::new(seconds, Recovery::StartRouters(chosen)))
    }

    fn terminate_routers(&mut self, share: f64, back_s: f64) -> Result<DelayedRecovery, RunError> {
        let chosen = self.routers.choose_running(share);
        self.routers.terminate(&chosen)?;
        Ok(DelayedRecovery::new(back_s, Recovery::StartRouters(chosen)))
    }

    fn suspend_routers(&mut self, share: f64, for_s: f64) -> Result<DelayedRecovery, RunError> {
        let chosen = self.routers.choose_running(share);
        self.routers.suspend(&chosen)?;
        Ok(DelayedRecovery::new(for_s, Recovery::ResumeRouters(chosen)))
    }

    /// Kills the store's leader; returns `None` if the store has no leader.
    fn kill_leader(&mut self, back_s: f64) -> Option<DelayedRecovery> {
        let leader = self.store.leader()?;
        self.store.kill_node(leader);
        Some(DelayedRecovery::new(back_s, Recovery::StartNode(leader)))
    }

    /// Suspends the store's leader; returns `None` if the store has no leader.
    fn suspend_leader(&self, for_s: f64) -> Result<Option<DelayedRecovery>, RunError> {
        let Some(leader) = self.store.leader() else { return Ok(None) };
        self.store.signal_node(leader, Signal::SIGSTOP)?;
        Ok(Some(DelayedRecovery::new(for_s, Recovery::ResumeNode(leader))))
    }

    /// Performs a recovery action.
    pub(super) fn recover(&mut self, recovery: &Recovery) -> Result<(), RunError> {
        match recovery {
            Recovery::StartRouters(routers) => self.routers.restart(routers)?,
            Recovery::ResumeRouters(routers) => self.routers.resume(routers)?,
            Recovery::StartNode(node) => self.store.start_node(*node)?,
            Recovery::ResumeNode(node) => self.store.signal_node(*node, Signal::SIGCONT)?,
            Recovery::HealStoreLinks { routers } => self.links.heal_store(*routers),
            Recovery::HealServerLinks { routers, site } => self.links.heal_servers(*routers, site),
        }
        Ok(())
    }
}

fn heal_server_links(routers: usize, site: &str, delay_s: f64) -> DelayedRecovery {
    DelayedRecovery::new(delay_s, Recovery::HealServerLinks { routers, site: site.to_string() })
}
