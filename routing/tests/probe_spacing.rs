//! Tests of probe spacing, alone and with the real decision state machine in simulated time.
use decision::{
    Action, Event, GroupId, MemberEntry, MemberId, MemberReport, Micros, Outcome, Request, RequestId, Router,
    Settings, Time,
};
use routing::probe_spacing::{ProbeSpacing, ProbeTiming};

const MEMBER: MemberId = MemberId(1);

fn settings() -> Settings {
    let class = decision::Class {
        freshness: decision::Freshness::Bounded(1000),
        idempotency: decision::Idempotency::Idempotent,
        latency_objective: 1_000_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.5,
    };
    Settings {
        classes: vec![class],
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count: 1,
        zone: 0,
        min_event_interval: 5000,
        lagging_replica: decision::LaggingReplica::AnswersStale,
        session_commit_source: decision::SessionCommitSource::CarriedByRequest,
        hedging_allowed: true,
        max_attempts: 6,
        cancel_allowed: true,
        probing_allowed: true,
        probe_cost: 0.0,
        max_retry_after: None,
        connect_timeout: 250_000,
        drain_grace: 500_000,
        missing_members_may_serve: false,
        slow_start_initial_share: 0.3,
        slow_start_duration: 10_000_000,
        overload_factor: 3.0,
        overload_duration: 3_000_000,
        list_requires_subscription: false,
    }
}

const START: i64 = 1_000_000_000;
/// Time from the start of a probe to its end.
const PROBE_DURATION: Micros = 2_000;

/// A router process with a real decision state machine and the probe that it has in flight.
struct Process {
    state_machine: Router,
    spacing: ProbeSpacing,
    sent_at: Option<Time>,
    /// Number of probes that have ended.
    ended: u32,
    /// Total time for which probes were delayed by the probe spacing.
    delay: Micros,
}

impl Process {
    fn new(process_count: u32) -> Process {
        let settings = settings();
        let mut spacing = ProbeSpacing::new(&settings);
        spacing.set_process_count(process_count);
        let mut state_machine = Router::new(settings, 7);
        let member = MemberEntry {
            id: MEMBER,
            group: GroupId(0),
            zone: 0,
            state: decision::MemberState::Ready,
            listed_primary: false,
            weight: 1.0,
            started_at: None,
        };
        let event = Event::MemberListChanged { complete: true, entries: vec![member] };
        state_machine.handle(Time(START), event, &mut Vec::new());
        Process { state_machine, spacing, sent_at: None, ended: 0, delay: 0 }
    }

    /// Ends the probe in flight when it is due.
    fn end_probe(&mut self, now: Time, reports: bool, actions: &mut Vec<Action>) {
        if self.sent_at.is_none_or(|sent| sent.0 + PROBE_DURATION > now.0) {
            return;
        }
        self.sent_at = None;
        self.ended += 1;
        // The member reports a position that is always slightly too old, or it reports nothing.
        let position = Time(now.0 - 2000);
        let report =
            MemberReport { primary: reports.then_some(false), position: reports.then_some(position) };
        self.spacing.probe_ended(MEMBER, report);
        let event = Event::ProbeEnded { member: MEMBER, outcome: Outcome::Ok, report };
        self.state_machine.handle(now, event, actions);
    }

    /// Submits a read and disconnects its client.
    fn request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let request = Request {
            id,
            class: 0,
            tenant: 0,
            session: None,
            group: GroupId(0),
            deadline: Time(now.0 + 2_000_000),
            session_commit: None,
            may_run_partially: false,
        };
        self.state_machine.handle(now, Event::RequestArrived(request), actions);
        self.state_machine.handle(now, Event::ClientDisconnected { request: id }, actions);
    }

    fn probe(&mut self, now: Time, member: MemberId) {
        assert!(self.sent_at.is_none(), "a probe is already in flight");
        match self.spacing.schedule(member, now) {
            ProbeTiming::Now => self.sent_at = Some(now),
            ProbeTiming::At(at) => {
                self.sent_at = Some(at);
                self.delay += at.0 - now.0;
            }
            ProbeTiming::Cached(report) => {
                let event = Event::ProbeEnded { member, outcome: Outcome::Ok, report };
                self.state_machine.handle(now, event, &mut Vec::new());
            }
        }
    }
}

/// Sends a read every millisecond for 20 s of simulated time to one of `process_count` processes. Returns the
/// number of probes of that process and their total delay.
fn probes(process_count: u32, reports: bool) -> (u32, Micros) {
    let (mut process, mut actions) = (Process::new(process_count), Vec::new());
    for n in 0..20_000 {
        let now = Time(START + 1000 * n);
        process.end_probe(now, reports, &mut actions);
        process.request(now, RequestId(n as u64), &mut actions);
        for action in actions.drain(..) {
            if let Action::Probe { member } = action {
                process.probe(now, member);
            }
        }
    }
    (process.ended, process.delay)
}

#[test]
fn several_processes_probe_no_more_often_than_one() {
    for reports in [true, false] {
        let (alone, delay) = probes(1, reports);
        assert!(
            delay == 0 && alone >= 20,
            "a single process must not be limited: {alone} probes, delay {delay} us"
        );
        for process_count in [2, 3] {
            let (each, delay) = probes(process_count, reports);
            // The first probe of each process is not limited.
            let all = process_count * each;
            assert!(
                all <= alone + process_count,
                "{process_count} processes sent {each} probes each, a single one {alone}"
            );
            assert!(
                process_count * (each + 2) * 5 >= alone * 4,
                "a process sent too few probes: {each} of {alone}"
            );
            assert_eq!(delay == 0, reports, "a probe must not be delayed if a recent report exists");
        }
    }
}

#[test]
fn failed_attempt_invalidates_cached_report() {
    let mut spacing = ProbeSpacing::new(&settings());
    spacing.set_process_count(2);
    let report = MemberReport { primary: Some(true), position: Some(Time(5)) };
    assert_eq!(spacing.schedule(MEMBER, Time(0)), ProbeTiming::Now);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(100_000)), ProbeTiming::Cached(report));
    spacing.attempt_failed(MEMBER);
    assert_eq!(spacing.schedule(MEMBER, Time(150_000)), ProbeTiming::At(Time(200_000)));
    // The attempt failed while a probe was in flight, so the report may be from before the failure.
    spacing.attempt_failed(MEMBER);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(210_000)), ProbeTiming::At(Time(400_000)));
    spacing.set_process_count(1);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(410_000)), ProbeTiming::Now);
}
