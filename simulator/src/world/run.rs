//! The event loop: takes events in order of time, dispatches each to its handler, and collects the results.
use super::events::{AvailabilityChange, ProcessEvent, RouterProcess, SimulationEvent};
use super::state::{JournalEntry, World};
use crate::fault::Fault;
use crate::plan::Plan;
use crate::results::{ClassResults, Results};
use crate::times::from_milliseconds;
use decision::{Event, Outcome, Time};

/// Time after the last possible deadline at which a run ends, in microseconds.
const GRACE_AFTER_DEADLINES: i64 = 200_000;

/// Simulates a plan and returns its results.
pub fn simulate(plan: &Plan) -> Results {
    let mut world = World::new(plan);
    world.run();
    world.into_results()
}

impl World<'_> {
    fn run(&mut self) {
        let deadlines = self.plan.classes.iter().map(|class| from_milliseconds(class.deadline_ms));
        let run_end = Time(self.end().0 + deadlines.max().unwrap_or(0) + GRACE_AFTER_DEADLINES);
        while let Some((at, event)) = self.event_queue.pop() {
            if at > run_end {
                break;
            }
            self.now = at;
            self.event_count += 1;
            self.handle_event(event);
        }
        self.now = run_end;
        self.checker.run_ended(run_end);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrived => self.handle_client_arrival(),
            SimulationEvent::ClientRetried { client } => self.send_client_request(client),
            SimulationEvent::AttemptReachedNode { job, node, connection } => {
                self.receive_attempt(job, node, connection);
            }
            SimulationEvent::JobFinished { job, node, node_epoch } => self.finish_job(job, node, node_epoch),
            SimulationEvent::ResponseArrived(response) => self.handle_response(response),
            SimulationEvent::AttemptTimedOut(job) => self.end_attempt(job, Outcome::TimedOut, None, None),
            SimulationEvent::AttemptCancelled(job) => self.end_attempt(job, Outcome::Cancelled, None, None),
            SimulationEvent::ProbeReachedNode { process, node } => self.respond_to_probe(process, node),
            SimulationEvent::CommitReachedReplica { node, commit } => self.receive_commit(node, commit),
            SimulationEvent::RegistryChangesArrived { router, changes } => {
                self.receive_registry_changes(router, changes);
            }
            SimulationEvent::PeerMessageArrived { from, to, message } => {
                self.handle_peer_message(from, to, message);
            }
            SimulationEvent::RouterRestartDue { router } => self.restart_router(router),
            SimulationEvent::Process(process, event) if self.is_running(process) => {
                self.handle_process_event(process, event);
            }
            // The router process that the event is for has ended.
            SimulationEvent::Process(..) => {}
            SimulationEvent::Availability(change) => {
                self.handle_availability_change(change);
                self.update_replicas_in_service();
            }
        }
    }

    fn handle_process_event(&mut self, process: RouterProcess, event: ProcessEvent) {
        match event {
            ProcessEvent::ProbeEnded { node, outcome, report } => {
                self.handle_probe_end(process.router, node, outcome, report);
            }
            ProcessEvent::DecisionTimerExpired => {
                self.handle_router_event(process.router, Event::TimerExpired);
            }
            ProcessEvent::Ticked => self.tick(process),
            ProcessEvent::JournalSynced { seq, session, commit } => {
                self.handle_journal_sync(process.router, seq, JournalEntry { session, commit });
            }
        }
    }

    fn handle_availability_change(&mut self, change: AvailabilityChange) {
        match change {
            AvailabilityChange::PrimaryPromotionDue { group } => self.promote_replica(group),
            AvailabilityChange::FaultBegan { fault } => self.begin_fault(fault),
            AvailabilityChange::FaultEnded { fault } => self.end_fault(fault),
            AvailabilityChange::NodeRestartDue { node, epoch } => self.restart_node(node, epoch),
        }
    }

    fn into_results(self) -> Results {
        let end = self.end();
        let names = self.plan.classes.iter().map(|class| class.name.clone());
        let classes = self.class_recorders.into_iter().map(|recorder| {
            let latency = recorder.latency.latency();
            ClassResults { counts: recorder.counts, latency }
        });
        let fault_end = |fault: &Fault| fault.start_s + fault.duration_s - self.plan.warmup_s;
        let fault_ends: Vec<f64> = self.plan.faults.iter().map(fault_end).collect();
        Results {
            plan: self.plan.name.clone(),
            seed: self.plan.seed,
            nodes: self.nodes.len(),
            routers: self.plan.routers,
            classes: names.zip(classes).collect(),
            seconds: self.second_counts,
            violations: self.checker.violations,
            first_violations: self.checker.first_violations,
            event_count: self.event_count,
            checked_attempts: self.checker.checked_attempts,
            spread: self.spread_meter.finish(end, &fault_ends),
        }
    }
}
