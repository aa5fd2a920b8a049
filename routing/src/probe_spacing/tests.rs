//! The spacing alone, and with the real decisions in simulated time.
use super::{ProbeSpacing, ProbeTiming};
use decision::{
    Action, Event, GroupId, MemberEntry, MemberId, Micros, Outcome, Report, Request, RequestId, Router,
    Settings, Time,
};

const MEMBER: MemberId = MemberId(1);

fn settings() -> Settings {
    let class = decision::Class {
        freshness: decision::Freshness::Bounded(1000),
        effect: decision::Effect::Safe,
        aim: 1_000_000,
        deadline: 2_000_000,
        worth: 1.0,
        late_worth: 0.5,
    };
    Settings {
        classes: vec![class],
        tenant_rates: vec![],
        over_share_worth: 1.0,
        drivers: 1,
        zone: 0,
        round: 5000,
        when_behind: decision::WhenBehind::Answers,
        tokens: decision::Tokens::Carried,
        may_duplicate: true,
        max_attempts: 6,
        may_cancel: true,
        may_probe: true,
        probe_price: 0.0,
        max_come_back: None,
        connect_timeout: 250_000,
        drain_grace: 500_000,
        only_draining_binds: false,
        cold_from: 0.3,
        cold_time: 10_000_000,
        overload_factor: 3.0,
        tip_time: 3_000_000,
        list_on_request: false,
    }
}

const START: i64 = 1_000_000_000;
/// A probe ends this long after it is sent.
const PROBE_DURATION: Micros = 2_000;

/// One process with the real decisions, and the probe that it has under way.
struct Process {
    decisions: Router,
    spacing: ProbeSpacing,
    sent_at: Option<Time>,
    /// How many probes have ended.
    ended: u32,
    /// For how long altogether probes waited for the process's turn.
    delay: Micros,
}

impl Process {
    fn new(process_count: u32) -> Process {
        let settings = settings();
        let mut spacing = ProbeSpacing::new(&settings);
        spacing.set_process_count(process_count);
        let mut decisions = Router::new(settings, 7);
        let member = MemberEntry {
            id: MEMBER,
            group: GroupId(0),
            zone: 0,
            state: decision::MemberState::Ready,
            listed_primary: false,
            weight: 1.0,
            started: None,
        };
        let event = Event::Members { complete: true, entries: vec![member] };
        decisions.handle(Time(START), event, &mut Vec::new());
        Process { decisions, spacing, sent_at: None, ended: 0, delay: 0 }
    }

    /// Ends the probe under way when its time has come.
    fn end_probe(&mut self, now: Time, reports: bool, actions: &mut Vec<Action>) {
        if self.sent_at.is_none_or(|sent| sent.0 + PROBE_DURATION > now.0) {
            return;
        }
        self.sent_at = None;
        self.ended += 1;
        // A member that is always a little too far behind, or one that reports nothing.
        let position = Time(now.0 - 2000);
        let report = Report { primary: reports.then_some(false), position: reports.then_some(position) };
        self.spacing.probe_ended(MEMBER, report);
        let event = Event::Probed { member: MEMBER, outcome: Outcome::Ok, report };
        self.decisions.handle(now, event, actions);
    }

    /// A client asks for a read and leaves again.
    fn request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let request = Request {
            id,
            class: 0,
            tenant: 0,
            session: None,
            group: GroupId(0),
            deadline: Time(now.0 + 2_000_000),
            token: None,
        };
        self.decisions.handle(now, Event::Request(request), actions);
        self.decisions.handle(now, Event::ClientLeft { request: id }, actions);
    }

    fn probe(&mut self, now: Time, member: MemberId) {
        assert!(self.sent_at.is_none(), "one at a time");
        match self.spacing.schedule(member, now) {
            ProbeTiming::Now => self.sent_at = Some(now),
            ProbeTiming::At(at) => {
                self.sent_at = Some(at);
                self.delay += at.0 - now.0;
            }
            ProbeTiming::Cached(report) => {
                let event = Event::Probed { member, outcome: Outcome::Ok, report };
                self.decisions.handle(now, event, &mut Vec::new());
            }
        }
    }
}

/// Reads without a pause for 20 s of simulated time at one of `process_count` processes: how often it has the member
/// probed, and for how long altogether probes waited.
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
        assert!(delay == 0 && alone >= 20, "one process is as it was: {alone}, {delay}");
        for process_count in [2, 3] {
            let (each, delay) = probes(process_count, reports);
            // The first probe of each is its own.
            let all = process_count * each;
            assert!(all <= alone + process_count, "{process_count} x {each}, {alone} alone");
            assert!(process_count * (each + 2) * 5 >= alone * 4, "about its share: {each} of {alone}");
            assert_eq!(delay == 0, reports, "a recent report is not waited for");
        }
    }
}

#[test]
fn failed_attempt_invalidates_cached_report() {
    let mut spacing = ProbeSpacing::new(&settings());
    spacing.set_process_count(2);
    let report = Report { primary: Some(true), position: Some(Time(5)) };
    assert_eq!(spacing.schedule(MEMBER, Time(0)), ProbeTiming::Now);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(100_000)), ProbeTiming::Cached(report));
    spacing.attempt_failed(MEMBER);
    assert_eq!(spacing.schedule(MEMBER, Time(150_000)), ProbeTiming::At(Time(200_000)));
    // It failed while the probe was under way: the report may be from before.
    spacing.attempt_failed(MEMBER);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(210_000)), ProbeTiming::At(Time(400_000)));
    spacing.set_process_count(1);
    spacing.probe_ended(MEMBER, report);
    assert_eq!(spacing.schedule(MEMBER, Time(410_000)), ProbeTiming::Now);
}
