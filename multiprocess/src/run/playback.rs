//! Injects a plan's faults at their times while the load runs.
use super::deployment::Deployment;
use super::error::RunError;
use super::faults::Recovery;
use super::startup::POLL_INTERVAL;
use crate::plan::{Fault, Plan};
use crate::report::ResourceFigures;
use std::time::{Duration, Instant};

/// Resource usage is sampled at this fraction of the time until the first fault.
const SAMPLE_BEFORE_FIRST_FAULT: f64 = 0.95;
/// Resource usage is sampled at this fraction of the load if the plan has no faults.
const SAMPLE_WITHOUT_FAULT: f64 = 0.5;

/// A recovery action and the time at which it is due.
struct DueRecovery {
    at: Instant,
    recovery: Recovery,
}

struct FaultInjector<'a, 'p> {
    deployment: &'a mut Deployment<'p>,
    load_start: Instant,
    /// Faults that have not been injected yet, in reverse order of time.
    faults: Vec<&'p Fault>,
    recoveries: Vec<DueRecovery>,
    sample_at: Instant,
    /// Bytes forwarded between the first router and the store before the load started.
    store_bytes_before: u64,
    resources: Option<ResourceFigures>,
}

/// Injects the faults and performs the recovery actions until the load's time is over. Returns the resource
/// usage before the first fault.
pub(super) fn inject_faults(
    deployment: &mut Deployment<'_>,
    load_start: Instant,
) -> Result<ResourceFigures, RunError> {
    let plan = deployment.plan;
    let end = load_start + Duration::from_secs_f64(plan.seconds);
    let mut injector = FaultInjector::new(deployment, load_start);
    std::thread::sleep(load_start.saturating_duration_since(Instant::now()));
    loop {
        let now = Instant::now();
        injector.sample_resources(now);
        injector.inject_due_faults(now)?;
        injector.recover_due(now)?;
        injector.deployment.routers.update_readiness()?;
        if now >= end && injector.faults.is_empty() {
            return injector.finish();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl<'a, 'p> FaultInjector<'a, 'p> {
    fn new(deployment: &'a mut Deployment<'p>, load_start: Instant) -> FaultInjector<'a, 'p> {
        let plan: &'p Plan = deployment.plan;
        let mut faults: Vec<&Fault> = plan.faults.iter().collect();
        faults.sort_by(|a, b| b.at.total_cmp(&a.at));
        let sample_after = match faults.last() {
            Some(first) => first.at * SAMPLE_BEFORE_FIRST_FAULT,
            None => plan.seconds * SAMPLE_WITHOUT_FAULT,
        };
        let store_bytes_before = deployment.links.store_bytes();
        FaultInjector {
            deployment,
            load_start,
            faults,
            recoveries: Vec::new(),
            sample_at: load_start + Duration::from_secs_f64(sample_after),
            store_bytes_before,
            resources: None,
        }
    }

    fn sample_resources(&mut self, now: Instant) {
        if self.resources.is_some() || now < self.sample_at {
            return;
        }
        let seconds = now.saturating_duration_since(self.load_start).as_secs_f64();
        let bytes = || (self.deployment.links.store_bytes() - self.store_bytes_before) as f64;
        let rate = (self.deployment.plan.follows_fleet && seconds > 0.0).then(|| bytes() / seconds);
        self.resources = Some(self.deployment.resource_figures(rate));
    }

    fn inject_due_faults(&mut self, now: Instant) -> Result<(), RunError> {
        while let Some(fault) =
            self.faults.pop_if(|fault| self.load_start + Duration::from_secs_f64(fault.at) <= now)
        {
            if let Some(delayed) = self.deployment.inject(&fault.kind)? {
                let at = Instant::now() + delayed.delay;
                self.recoveries.push(DueRecovery { at, recovery: delayed.recovery });
            }
        }
        Ok(())
    }

    fn recover_due(&mut self, now: Instant) -> Result<(), RunError> {
        let recoveries = std::mem::take(&mut self.recoveries);
        let (due, later): (Vec<_>, Vec<_>) = recoveries.into_iter().partition(|r| r.at <= now);
        self.recoveries = later;
        due.iter().try_for_each(|due| self.deployment.recover(&due.recovery))
    }

    /// Ends all remaining faults, so that every request gets an outcome. Killed routers are not started
    /// again.
    fn finish(self) -> Result<ResourceFigures, RunError> {
        let lasting = self.recoveries.iter().filter(|r| !matches!(r.recovery, Recovery::StartRouters(_)));
        lasting.into_iter().try_for_each(|due| self.deployment.recover(&due.recovery))?;
        Ok(self.resources.unwrap_or_else(|| self.deployment.resource_figures(None)))
    }
}
