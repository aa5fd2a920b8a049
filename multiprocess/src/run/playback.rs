//! Injects a plan's faults at their times while the load runs.
use super::deployment::Deployment;
use super::error::RunError;
use super::faults::Recovery;
use super::startup::POLL_INTERVAL;
use crate::plan::{Fault, Plan};
use crate::report::ResourceFigures;
use std::time::{Duration, Instant};

/// Resources are measured at this part of the time to the first fault,
const SAMPLE_BEFORE_FIRST_FAULT: f64 = 0.95;
/// or of the load where there is no fault.
const SAMPLE_WITHOUT_FAULT: f64 = 0.5;

/// A recovery and when it is due.
struct DueRecovery {
    at: Instant,
    recovery: Recovery,
}

struct Playback<'a, 'p> {
    deployment: &'a mut Deployment<'p>,
    begin: Instant,
    /// Faults that are not injected yet, the next one last.
    faults: Vec<&'p Fault>,
    recoveries: Vec<DueRecovery>,
    sample_at: Instant,
    /// Bytes that the first router and the store had exchanged before the load.
    store_bytes_before: u64,
    resources: Option<ResourceFigures>,
}

/// Injects the faults and ends them, until the load's time is over. Returns the resources that processes used before
/// the first fault.
pub(super) fn play(deployment: &mut Deployment<'_>, begin: Instant) -> Result<ResourceFigures, RunError> {
    let plan = deployment.plan;
    let end = begin + Duration::from_secs_f64(plan.seconds);
    let mut playback = Playback::new(deployment, begin);
    std::thread::sleep(begin.saturating_duration_since(Instant::now()));
    loop {
        let now = Instant::now();
        playback.sample_resources(now);
        playback.inject_due_faults(now)?;
        playback.recover_due(now)?;
        playback.deployment.routers.find_ready()?;
        if now >= end && playback.faults.is_empty() {
            return playback.finish();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl<'a, 'p> Playback<'a, 'p> {
    fn new(deployment: &'a mut Deployment<'p>, begin: Instant) -> Playback<'a, 'p> {
        let plan: &'p Plan = deployment.plan;
        let mut faults: Vec<&Fault> = plan.faults.iter().collect();
        faults.sort_by(|a, b| b.at.total_cmp(&a.at));
        let sample_after = match faults.last() {
            Some(first) => first.at * SAMPLE_BEFORE_FIRST_FAULT,
            None => plan.seconds * SAMPLE_WITHOUT_FAULT,
        };
        let store_bytes_before = deployment.links.store_bytes();
        Playback {
            deployment,
            begin,
            faults,
            recoveries: Vec::new(),
            sample_at: begin + Duration::from_secs_f64(sample_after),
            store_bytes_before,
            resources: None,
        }
    }

    fn sample_resources(&mut self, now: Instant) {
        if self.resources.is_some() || now < self.sample_at {
            return;
        }
        let seconds = now.saturating_duration_since(self.begin).as_secs_f64();
        let bytes = || (self.deployment.links.store_bytes() - self.store_bytes_before) as f64;
        let rate = (self.deployment.plan.follows_fleet && seconds > 0.0).then(|| bytes() / seconds);
        self.resources = Some(self.deployment.resource_figures(rate));
    }

    fn inject_due_faults(&mut self, now: Instant) -> Result<(), RunError> {
        while let Some(fault) =
            self.faults.pop_if(|fault| self.begin + Duration::from_secs_f64(fault.at) <= now)
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

    /// Ends all faults that last, so that every request ends; killed routers stay down.
    fn finish(self) -> Result<ResourceFigures, RunError> {
        let lasting = self.recoveries.iter().filter(|r| !matches!(r.recovery, Recovery::StartRouters(_)));
        lasting.into_iter().try_for_each(|due| self.deployment.recover(&due.recovery))?;
        Ok(self.resources.unwrap_or_else(|| self.deployment.resource_figures(None)))
    }
}
