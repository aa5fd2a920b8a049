//! Formats events and actions with fixed names, so that a renamed variant or field does not change the
//! fixtures.
use decision::{Action, Event, MemberEntry, MemberReport, MemberState, Outcome, Time};

fn optional(time: Option<Time>) -> String {
    time.map_or("-".into(), |t| t.0.to_string())
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never-sent",
        Outcome::NotEligible => "not-eligible",
    }
}

fn report_text(report: MemberReport) -> String {
    let role = report.primary.map_or("-", |p| if p { "primary" } else { "replica" });
    format!("{role}/{}", optional(report.position))
}

fn entry_text(entry: &MemberEntry) -> String {
    let state = match entry.state {
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Removed => "removed",
    };
    let MemberEntry { id, group, zone, listed_primary, weight, started_at, .. } = entry;
    let (id, group, started_at) = (id.0, group.0, optional(*started_at));
    format!(" [m{id} g{group} z{zone} {state} primary={listed_primary} weight={weight} start={started_at}]")
}

pub(crate) fn event_text(event: &Event) -> String {
    match event {
        Event::MemberListChanged { complete, entries } => {
            let entries: String = entries.iter().map(entry_text).collect();
            format!("member-list complete={complete}{entries}")
        }
        Event::ListUpdateFailed => "list-update-failed".into(),
        Event::RouterCountChanged(count) => format!("router-count {count}"),
        Event::RequestArrived(r) => {
            let session = r.session.map_or("-".into(), |s| s.0.to_string());
            let (id, class, group, deadline, commit) =
                (r.id.0, r.class, r.group.0, r.deadline.0, optional(r.session_commit));
            format!(
                "request r{id} class={class} g{group} session={session} deadline={deadline} commit={commit}"
            )
        }
        Event::ResponseStarted { request } => format!("response-begun r{}", request.0),
        Event::AttemptEnded {
            request,
            attempt,
            member,
            outcome,
            request_ended,
            response_report,
            commit,
            load_report,
        } => {
            let (outcome, commit) = (outcome_text(*outcome), optional(*commit));
            let (response, load) = (report_text(*response_report), report_text(*load_report));
            format!(
                "attempt-ended r{}.{attempt} m{} {outcome} final={request_ended} response={response} commit={commit} load={load}",
                request.0, member.0
            )
        }
        Event::ProbeEnded { member, outcome, report } => {
            format!("probe-ended m{} {} {}", member.0, outcome_text(*outcome), report_text(*report))
        }
        Event::ClientDisconnected { request } => format!("client-disconnected r{}", request.0),
        Event::DeadlineShortened { request, deadline } => {
            format!("deadline-shortened r{} deadline={}", request.0, deadline.0)
        }
        Event::SessionCommitted { group, session, commit } => {
            format!("session-committed g{} session={} commit={}", group.0, session.0, commit.0)
        }
        Event::SessionsCommitted { until } => format!("sessions-committed until={}", until.0),
        Event::TimerExpired => "timer".into(),
    }
}

pub(crate) fn action_text(action: &Action) -> String {
    match action {
        Action::Send { request, member, timeout, start_timeout } => {
            format!("send r{} m{} timeout={timeout} start={start_timeout}", request.0, member.0)
        }
        Action::Cancel { request, attempt } => format!("cancel r{}.{attempt}", request.0),
        Action::Reject { request, retry_after } => {
            let after = retry_after.map_or("-".into(), |after| after.to_string());
            format!("reject r{} retry-after={after}", request.0)
        }
        Action::Fail { request } => format!("fail r{}", request.0),
        Action::Probe { member } => format!("probe m{}", member.0),
        Action::SetTimer { after } => format!("set-timer {after}"),
        Action::Subscribe => "subscribe".into(),
        Action::Remove { member } => format!("remove m{}", member.0),
    }
}
