//! One small test for each failure found, named after its symptom.
mod common;
use common::*;
use decision::*;

const KEYED: Idempotency = Idempotency::DeduplicatedInGroup(3000 * MS);

#[test]
fn a_fresh_router_probes_every_member_of_a_group_that_is_asked_for_and_trusts_no_replica() {
    let mut b = Bench::new(settings(KEYED));
    let mut other = entry(9);
    other.group = GroupId(G.0 + 1);
    let entries = (0..3).map(entry).chain([other]).collect();
    assert_eq!(probes(&b.event(Event::MemberListChanged { complete: true, entries })), []);
    let out = b.ask(3, None).1;
    assert_eq!(probes(&out), [MemberId(0), MemberId(1), MemberId(2)]);
    assert!(sends(&out).is_empty());
}

#[test]
fn writes_and_fresh_reads_go_to_the_primary_and_other_reads_to_replicas() {
    let mut b = Bench::ready(settings(KEYED));
    for (class, on_primary) in [(0, true), (1, true), (2, false), (3, false), (4, false)] {
        let (id, out) = b.ask(class, None);
        let sent = sends(&out);
        assert_eq!(sent.len(), 1, "class {class}");
        assert_eq!(sent[0].1 == MemberId(0), on_primary, "class {class}");
        b.outcome(id, 0, sent[0].1, Outcome::Ok);
    }
}

#[test]
fn reads_spread_by_attempts_in_flight() {
    let mut b = Bench::ready(settings(KEYED));
    let first = sends(&b.ask(4, None).1)[0].1;
    let second = sends(&b.ask(4, None).1)[0].1;
    assert_ne!(first, second);
}

#[test]
fn reads_that_find_the_replicas_full_take_the_primary_s_spare_places_only() {
    let mut b = Bench::ready(settings(KEYED));
    // Two places at each member: four reads fill the replicas.
    for _ in 0..4 {
        assert_ne!(sends(&b.ask(4, None).1)[0].1, MemberId(0));
    }
    assert_eq!(sends(&b.ask(4, None).1)[0].1, MemberId(0));
    // Its last place is left for writes.
    assert!(sends(&b.ask(4, None).1).is_empty());
    assert_eq!(sends(&b.ask(0, None).1)[0].1, MemberId(0));
}

#[test]
fn a_stale_replica_gets_no_read_where_members_do_not_check() {
    let mut b = Bench::behind(settings(KEYED), [301, 299]);
    assert_eq!(sends(&b.ask(3, None).1), [(RequestId(0), MemberId(2))]);
    b.now += 2 * MS;
    let out = b.ask(3, None).1;
    assert!(sends(&out).iter().all(|s| s.1 == MemberId(0)));
}

#[test]
fn a_session_reads_what_it_wrote() {
    let mut s = settings(KEYED);
    s.session_commit_source = SessionCommitSource::RememberedByRouter;
    let mut b = Bench::ready(s);
    let (w, _) = b.ask(0, None);
    b.now += 10 * MS;
    let commit = Some(Time(b.now));
    let response_report = MemberReport { primary: Some(true), position: None };
    b.noted(w, 0, MemberId(0), Outcome::Ok, response_report, commit);
    // The replicas were last seen before the commit.
    assert!(sends(&b.ask(2, None).1).iter().all(|s| s.1 == MemberId(0)));
}

#[test]
fn a_demoted_primary_is_not_taken_for_the_present() {
    let mut b = Bench::ready(settings(KEYED));
    let (w, out) = b.ask(0, None);
    assert_eq!(sends(&out).len(), 1);
    let response_report = MemberReport { primary: Some(false), position: None };
    b.noted(w, 0, MemberId(0), Outcome::NotEligible, response_report, None);
    b.now += 400 * MS;
    // An old report that still calls it the primary is not believed over the answer.
    b.probed(0, true, 350);
    assert!(sends(&b.ask(1, None).1).is_empty());
    b.probed(1, true, 0);
    let (_, out) = b.ask(1, None);
    assert!(sends(&out).iter().all(|s| s.1 == MemberId(1)));
}

#[test]
fn nothing_new_goes_to_a_draining_member() {
    let mut b = Bench::ready(settings(KEYED));
    let mut e = entry(1);
    e.state = MemberState::Draining;
    b.event(Event::MemberListChanged { complete: false, entries: vec![e] });
    for _ in 0..6 {
        assert!(sends(&b.ask(4, None).1).iter().all(|s| s.1 != MemberId(1)));
    }
}

#[test]
fn a_member_missing_from_a_full_list_is_gone_and_forgotten() {
    let mut b = Bench::ready(settings(KEYED));
    let out = b.event(Event::MemberListChanged { complete: true, entries: vec![entry(0), entry(1)] });
    assert!(out.contains(&Action::Remove { member: MemberId(2) }));
}

#[test]
fn an_unsafe_write_that_may_have_run_fails_and_is_not_sent_again() {
    let mut b = Bench::ready(settings(Idempotency::NotIdempotent));
    let (w, _) = b.ask(0, None);
    let out = b.outcome(w, 0, MemberId(0), Outcome::Reset);
    assert!(failed(&out, w) && sends(&out).is_empty());
}

#[test]
fn a_write_that_never_ran_waits_for_the_new_primary() {
    let mut b = Bench::ready(settings(Idempotency::NotIdempotent));
    let (w, _) = b.ask(0, None);
    let out = b.outcome(w, 0, MemberId(0), Outcome::ConnectFailed);
    assert!(sends(&out).is_empty() && !failed(&out, w) && !refused(&out, w));
    b.now += 20 * MS;
    assert_eq!(sends(&b.probed(1, true, 0)), [(w, MemberId(1))]);
}

#[test]
fn a_keyed_write_is_not_resent_after_its_window() {
    let mut b = Bench::ready(settings(Idempotency::DeduplicatedInGroup(100 * MS)));
    let (w, _) = b.ask(0, None);
    b.now += 150 * MS;
    let out = b.outcome(w, 0, MemberId(0), Outcome::Reset);
    let later = b.probed(1, true, 0);
    assert!(sends(&out).is_empty() && sends(&later).is_empty());
    assert!(failed(&out, w) && !refused(&out, w));
}

/// Within which time each attempt has to begin.
fn start_timeout(actions: &[Action]) -> Vec<i64> {
    let pick =
        |a: &Action| if let Action::Send { start_timeout, .. } = a { Some(*start_timeout) } else { None };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn a_repeat_begins_before_its_window_ends_or_not_at_all() {
    let mut b = Bench::ready(settings(Idempotency::DeduplicatedInGroup(100 * MS)));
    let (w, out) = b.ask(0, None);
    assert_eq!(start_timeout(&out), [1200 * MS], "a first attempt has the time of its client");
    b.now += 60 * MS;
    let again = b.outcome(w, 0, MemberId(0), Outcome::Reset);
    // The window less what it is to take from the decision to the last byte.
    assert_eq!((sends(&again), start_timeout(&again)), (vec![(w, MemberId(0))], vec![35 * MS]));
    // Its connection came up too late: it never ran, and nothing is left of the window.
    b.now += 35 * MS;
    let out = b.outcome(w, 1, MemberId(0), Outcome::NeverSent);
    assert!(sends(&out).is_empty() && failed(&out, w));
}

#[test]
fn a_bounded_read_begins_while_its_replica_is_proven_fresh() {
    // The replicas are 250 of the 300 ms behind that the class bears.
    let mut b = Bench::behind(settings(KEYED), [250, 250]);
    let (r, out) = b.ask(3, None);
    let first = sends(&out)[0].1;
    assert_ne!(first, MemberId(0));
    assert_eq!(start_timeout(&out), [50 * MS]);
    // Its connection came up too late. The other replica is no fresher; the primary always is.
    b.now += 60 * MS;
    let out = b.outcome(r, 0, first, Outcome::NeverSent);
    assert_eq!((sends(&out), start_timeout(&out)), (vec![(r, MemberId(0))], vec![340 * MS]));
    // Members that look for themselves need no such bound.
    let checking = Settings { lagging_replica: LaggingReplica::Rejects, ..settings(KEYED) };
    let mut b = Bench::behind(checking, [250, 250]);
    let (_, out) = b.ask(3, None);
    assert_eq!(start_timeout(&out), [400 * MS]);
}

#[test]
fn a_held_read_is_given_up_before_its_aim_and_told_when_to_come_back() {
    let mut b = Bench::new(settings(KEYED));
    let (r, _) = b.ask(4, None);
    let mut answers = 0;
    for _ in 0..60 {
        let out = b.wait(10);
        answers += out
            .iter()
            .filter(|a| matches!(a, Action::Reject { request, retry_after: Some(_) } if *request == r))
            .count();
    }
    assert_eq!(answers, 1);
}

#[test]
fn a_member_that_cannot_be_reached_is_banned_and_comes_back_by_a_probe() {
    let mut b = Bench::ready(settings(KEYED));
    let (r, out) = b.ask(4, None);
    let bad = sends(&out)[0].1;
    let again = sends(&b.outcome(r, 0, bad, Outcome::ConnectFailed));
    assert!(again.len() == 1 && again[0].1 != bad);
    assert!((0..3).all(|_| sends(&b.ask(4, None).1).iter().all(|s| s.1 != bad)));
    b.now += 2000 * MS;
    assert!(b.event(Event::TimerExpired).contains(&Action::Probe { member: bad }));
}

#[test]
fn a_member_counts_as_avoided_from_its_ban_until_a_probe_has_ended_that() {
    let mut b = Bench::ready(settings(KEYED));
    let (r, out) = b.ask(4, None);
    let bad = sends(&out)[0].1;
    while sends(&b.ask(4, None).1)[0].1 != bad {}
    assert_eq!(b.router.unavailable_member_count(), 0);
    b.outcome(r, 0, bad, Outcome::ConnectFailed);
    assert_eq!(
        b.router.unavailable_member_count(),
        1,
        "what is under way there changes nothing: it gets nothing"
    );
    b.now += 3000 * MS;
    assert_eq!(b.router.unavailable_member_count(), 1, "nobody has asked it yet: it gets nothing");
    b.event(Event::TimerExpired);
    b.probed(bad.0, false, 0);
    assert_eq!(b.router.unavailable_member_count(), 0);
}

#[test]
fn a_reset_is_asked_after_at_once_and_an_answer_excuses_the_member() {
    let mut b = Bench::ready(settings(KEYED));
    let to = |b: &mut Bench, bad: MemberId| {
        (0..4).any(|_| {
            let (id, out) = b.ask(4, None);
            let sent = sends(&out);
            sent.iter().for_each(|s| _ = b.outcome(id, 0, s.1, Outcome::Ok));
            sent.iter().any(|s| s.1 == bad)
        })
    };
    let (r, out) = b.ask(4, None);
    let bad = sends(&out)[0].1;
    let out = b.outcome(r, 0, bad, Outcome::Reset);
    assert!(out.contains(&Action::Probe { member: bad }));
    assert!(sends(&out).iter().all(|s| s.1 != bad));
    assert!(!to(&mut b, bad), "not before it has answered");
    b.probed(bad.0, false, 0);
    // Neither banned any longer nor taken for one that has just started.
    assert!((0..10).filter(|_| to(&mut b, bad)).count() >= 8);
}

#[test]
fn lagging_replicas_do_not_flood_the_primary() {
    let mut b = Bench::behind(settings(KEYED), [5000, 5000]);
    let mut sent = 0;
    for _ in 0..40 {
        sent += sends(&b.ask(3, None).1).len();
    }
    for _ in 0..10 {
        sent += sends(&b.wait(10)).len();
    }
    assert!((1..=8).contains(&sent), "{sent} sent");
}

#[test]
fn a_member_back_from_failed_connections_is_treated_as_cold() {
    let mut b = Bench::ready(settings(KEYED));
    // Replicas refuse every connection for a while, of attempts and of probes.
    for _ in 0..6 {
        let mut out = b.ask(4, None).1;
        out.extend(b.wait(1500));
        while let Some(action) = out.pop() {
            match action {
                Action::Send { request, member, .. } if member != MemberId(0) => {
                    out.extend(b.outcome(request, 0, member, Outcome::ConnectFailed));
                }
                Action::Send { request, member, .. } => {
                    out.extend(b.outcome(request, 0, member, Outcome::Ok));
                    out.extend(b.outcome(request, 1, member, Outcome::Ok));
                }
                Action::Probe { member } if member != MemberId(0) => {
                    let (outcome, report) = (Outcome::ConnectFailed, MemberReport::default());
                    out.extend(b.event(Event::ProbeEnded { member, outcome, report }));
                }
                Action::Probe { .. } => out.extend(b.probed(0, true, 0)),
                _ => {}
            }
        }
    }
    b.now += 3000 * MS;
    b.event(Event::TimerExpired);
    b.probed(1, false, 0);
    b.probed(2, false, 0);
    let mut to_replicas = 0;
    for _ in 0..100 {
        let (id, out) = b.ask(4, None);
        for (_, m) in sends(&out) {
            to_replicas += usize::from(m != MemberId(0));
            b.outcome(id, 0, m, Outcome::Ok);
        }
    }
    assert!(to_replicas <= 35, "{to_replicas} of 100 at once to members that may be cold");
}

#[test]
fn a_member_that_was_cut_off_serves_as_before_once_it_answers() {
    let mut b = Bench::ready(settings(KEYED));
    let fail = |b: &mut Bench, id| {
        let (outcome, report) = (Outcome::ConnectFailed, MemberReport::default());
        b.event(Event::ProbeEnded { member: MemberId(id), outcome, report });
    };
    for _ in 0..4 {
        // Connections that never come up: nothing refuses them.
        b.now += 3000 * MS;
        fail(&mut b, 1);
        fail(&mut b, 2);
    }
    b.probed(1, false, 0);
    b.probed(2, false, 0);
    let mut to_replicas = 0;
    for _ in 0..100 {
        let (id, out) = b.ask(4, None);
        for (_, m) in sends(&out) {
            to_replicas += usize::from(m != MemberId(0));
            b.outcome(id, 0, m, Outcome::Ok);
        }
    }
    assert!(to_replicas >= 90, "{to_replicas} of 100 to members that answer again");
}

#[test]
fn a_replica_whose_first_probe_brought_no_report_is_asked_again() {
    let mut b = Bench::new(settings(KEYED));
    b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
    b.probed(0, true, 0);
    b.probed(1, false, 0);
    let (member, report) = (MemberId(2), MemberReport::default());
    b.event(Event::ProbeEnded { member, outcome: Outcome::Ok, report });
    b.now += 1000 * MS;
    assert!(b.ask(4, None).1.contains(&Action::Probe { member }));
}

#[test]
fn a_primary_that_just_started_is_not_pushed_over_by_few_busy_drivers() {
    let mut b = Bench::ready(settings(KEYED));
    let mut e = entry(0);
    e.started_at = Some(Time(b.now));
    b.event(Event::MemberListChanged { complete: false, entries: vec![e] });
    b.probed(0, true, 0);
    let mut sent = 0;
    for _ in 0..400 {
        b.now += 5 * MS;
        let (id, out) = b.ask(0, None);
        for (r, m) in sends(&out).into_iter().chain(sends(&b.event(Event::TimerExpired))) {
            assert_eq!(m, MemberId(0));
            sent += 1;
            b.outcome(r, 0, m, Outcome::Ok);
        }
        b.event(Event::ClientDisconnected { request: id });
    }
    // 400 writes in the tip time, and all that the warm primary could do came from this driver.
    let s = settings(KEYED);
    let budget = s.overload_factor * s.slow_start_initial_share * 400.0;
    assert!(sent > 0 && (sent as f64) < budget * 0.75, "{sent} sent, {budget} push it over");
}

#[test]
fn hundreds_of_drivers_with_a_backlog_do_not_push_over_a_cold_primary() {
    // A warm primary does 100 writes a second; 300 are held when it comes back, and 100 a second go on.
    let mut s = settings(KEYED);
    s.router_count = 500;
    let mut all: Vec<Bench> = (0..500)
        .map(|i| {
            let mut b = Bench::new(s.clone());
            b.router = Router::new(s.clone(), i);
            let mut entries: Vec<MemberEntry> = (0..3).map(entry).collect();
            entries[0].state = MemberState::Draining;
            b.event(Event::MemberListChanged { complete: true, entries });
            (1..3).for_each(|m| _ = b.probed(m, false, 0));
            b
        })
        .collect();
    let mut sent = 0;
    for b in &mut all[..300] {
        // Nobody is primary yet: each write goes round the replicas once and is held.
        let (id, mut out) = b.ask(0, None);
        let response_report = MemberReport { primary: Some(false), position: None };
        for attempt in 0..2 {
            let to = sends(&out);
            assert!(to.len() == 1 && to[0].1 != MemberId(0), "{to:?}");
            out = b.noted(id, attempt, to[0].1, Outcome::NotEligible, response_report, None);
        }
        assert!(sends(&out).is_empty());
    }
    for (i, b) in all.iter_mut().enumerate() {
        let mut e = entry(0);
        e.started_at = Some(Time(b.now));
        b.event(Event::MemberListChanged { complete: false, entries: vec![e] });
        sent += sends(&b.probed(0, true, 0)).len();
        b.now += 4 * MS * i as i64;
        if i % 5 < 2 {
            sent += sends(&b.ask(0, None).1).len();
        }
        b.now += (2000 - 4 * i as i64) * MS;
        sent += sends(&b.event(Event::TimerExpired)).len();
    }
    // It warms meanwhile, as evenly as it may at the slowest: its present capacity counts.
    let mean = s.slow_start_initial_share
        + (1.0 - s.slow_start_initial_share) * 0.5 * s.overload_duration as f64
            / s.slow_start_duration as f64;
    let budget = 0.9 * s.overload_factor * mean * 100.0 * s.overload_duration as f64 / 1e6;
    assert!(sent > 20 && (sent as f64) < budget, "{sent} sent, {budget} push it over");
}

#[test]
fn a_later_try_whose_aim_has_passed_is_refused_and_a_first_try_is_not() {
    let mut b = Bench::ready(settings(KEYED));
    let mut ask = |wait: i64| {
        let (id, out) = b.ask_waiting(4, None, wait);
        for (r, m) in sends(&out) {
            b.now += MS;
            b.outcome(r, 0, m, Outcome::Ok);
        }
        refused(&out, id)
    };
    // First tries wait 700 of 1200 ms; the aim is 400 ms. A last try may wait longer than a first one.
    assert!((0..20).all(|_| !ask(700)));
    assert!(ask(750), "450 ms have passed");
    assert!(ask(600), "600 ms have passed");
    assert!(!ask(1100), "100 ms have passed");
    assert!(!ask(700));
    // Clients that wait less from some day on are known after a while, however long the old ones were there.
    assert!((0..20_000).all(|_| !ask(700)));
    (0..2_000).for_each(|_| _ = ask(600));
    assert!(!ask(600));
}

#[test]
fn errors_that_follow_the_request_ban_nobody_and_those_of_a_member_do() {
    let mut b = Bench::ready(settings(KEYED));
    let erring = |b: &mut Bench, bad: &dyn Fn(MemberId) -> bool| {
        // Long enough for failed attempts to stop counting as in flight, not for a ban to end.
        b.now += 300 * MS;
        let (id, out) = b.ask(4, None);
        let mut next = sends(&out);
        for attempt in 0.. {
            let Some((_, m)) = next.first().copied() else { return attempt };
            b.now += MS;
            let outcome = if bad(m) { Outcome::Error } else { Outcome::Ok };
            next = sends(&b.outcome(id, attempt, m, outcome));
        }
        0
    };
    // A bad request is tried at one other member, and that is the end of it.
    assert!((0..10).all(|_| erring(&mut b, &|_| true) == 2));
    b.now += 300 * MS;
    let used: Vec<MemberId> = (0..2).flat_map(|_| sends(&b.ask(4, None).1)).map(|s| s.1).collect();
    assert!(used.contains(&MemberId(1)) && used.contains(&MemberId(2)));
    let mut b = Bench::ready(settings(KEYED));
    assert!((0..6).any(|_| erring(&mut b, &|m| m == MemberId(1)) == 2));
    b.now += 300 * MS;
    let used: Vec<MemberId> = (0..2).flat_map(|_| sends(&b.ask(4, None).1)).map(|s| s.1).collect();
    assert!(!used.is_empty() && !used.contains(&MemberId(1)), "{used:?}");
}

#[test]
fn a_driver_with_little_traffic_passes_over_a_member_that_was_late() {
    let mut b = Bench::ready(settings(KEYED));
    let (id, out) = b.ask(4, None);
    let slow = sends(&out)[0].1;
    b.now += 350 * MS;
    b.outcome(id, 0, slow, Outcome::Ok);
    for _ in 0..10 {
        b.now += 200 * MS;
        let (id, out) = b.ask(4, None);
        let m = sends(&out)[0].1;
        assert_ne!(m, slow);
        b.now += 5 * MS;
        b.outcome(id, 0, m, Outcome::Ok);
    }
}

#[test]
fn a_read_without_proof_asks_two_replicas_at_most() {
    let mut b = Bench::new(settings(KEYED));
    b.event(Event::MemberListChanged { complete: true, entries: (0..6).map(entry).collect() });
    (0..6).for_each(|m| _ = b.probed(m, m == 0, 900));
    b.now += 5000 * MS;
    let (_, mut out) = b.ask(3, None);
    let mut asked = 0;
    for _ in 0..20 {
        let members = probes(&out);
        asked += members.len();
        b.now += 2 * MS;
        out = members.into_iter().flat_map(|m| b.probed(m.0, false, 900)).collect();
        out.extend(b.event(Event::TimerExpired));
    }
    assert_eq!(asked, 2);
}

#[test]
fn a_search_for_the_primary_grows_rarer() {
    let mut b = Bench::new(settings(KEYED));
    b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
    let mut asked = 0;
    for _ in 0..500 {
        // Somebody always waits; nobody is primary for five seconds.
        let mut out = if b.now % (500 * MS) == 0 { b.ask(0, None).1 } else { vec![] };
        out.extend(b.wait(10));
        for m in probes(&out) {
            asked += 1;
            b.probed(m.0, false, 0);
        }
    }
    assert!((9..=45).contains(&asked), "{asked} probes of three members");
}

#[test]
fn a_number_of_drivers_that_was_not_told_leaves_pools_bounded() {
    let mut b = Bench::ready(Settings { router_count: 0, ..settings(KEYED) });
    let sent: usize = (0..200).map(|_| sends(&b.ask(4, None).1).len()).sum();
    assert!((1..=32).contains(&sent), "{sent}");
}

#[test]
fn a_cold_replica_does_not_stand_in_for_its_peers() {
    let mut b = Bench::ready(settings(KEYED));
    let (mut cold, mut other) = (entry(1), entry(2));
    cold.started_at = Some(Time(b.now));
    other.state = MemberState::Draining;
    b.event(Event::MemberListChanged { complete: false, entries: vec![cold, other] });
    let mut sent = 0;
    for _ in 0..200 {
        let (id, out) = b.ask(4, None);
        for (r, m) in sends(&out) {
            sent += usize::from(m == MemberId(1));
            b.outcome(r, 0, m, Outcome::Ok);
        }
        b.event(Event::ClientDisconnected { request: id });
    }
    // A fifth of its capacity, half of the threefold that pushes it over, half of that its own: 30 of 200 by the mean.
    assert!((1..=40).contains(&sent), "{sent} of 200");
}

#[test]
fn failed_probes_do_not_keep_a_serving_member_out() {
    let mut b = Bench::ready(settings(KEYED));
    for member in [MemberId(1), MemberId(2)] {
        for outcome in [Outcome::Error, Outcome::TimedOut] {
            b.event(Event::ProbeEnded { member, outcome, report: MemberReport::default() });
        }
    }
    assert_ne!(sends(&b.ask(4, None).1)[0].1, MemberId(0));
}

#[test]
fn a_write_finds_the_primary_itself_where_probes_fail() {
    let mut b = Bench::new(settings(KEYED));
    b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
    for member in (0..3).map(MemberId) {
        b.event(Event::ProbeEnded { member, outcome: Outcome::Error, report: MemberReport::default() });
    }
    let (id, out) = b.ask(0, None);
    let mut tried = sends(&out);
    for attempt in 0..2 {
        let m = tried[attempt as usize].1;
        let response_report = MemberReport { primary: Some(false), position: None };
        tried.extend(sends(&b.noted(id, attempt, m, Outcome::NotEligible, response_report, None)));
    }
    tried.sort();
    assert_eq!(tried.iter().map(|s| s.1.0).collect::<Vec<_>>(), [0, 1, 2]);
}

#[test]
fn a_long_run_leaves_no_growth() {
    let mut s = settings(KEYED);
    s.session_commit_source = SessionCommitSource::RememberedByRouter;
    let mut b = Bench::ready(s);
    let size = |b: &mut Bench, base: u32| {
        for i in 0..6000u64 {
            b.now += MS;
            let (id, group) = (RequestId(b.next), G);
            b.next += 1;
            let session = Some(SessionId(b.next));
            let deadline = Time(b.now + 1200 * MS);
            let r = Request { id, class: 0, tenant: 0, session, group, deadline, session_commit: None };
            for (r, m) in sends(&b.event(Event::RequestArrived(r))) {
                let (response_report, at) =
                    (MemberReport { primary: Some(true), position: None }, Time(b.now));
                b.noted(r, 0, m, Outcome::Ok, response_report, Some(at));
            }
            // Members come and go.
            let mut e = entry(base + (i / 2) as u32);
            e.state = if i % 2 == 0 { MemberState::Ready } else { MemberState::Removed };
            let (member, report) = (e.id, MemberReport::default());
            let out = b.event(Event::MemberListChanged { complete: false, entries: vec![e] });
            if out.contains(&Action::Probe { member }) {
                b.event(Event::ProbeEnded { member, outcome: Outcome::ConnectFailed, report });
            }
        }
        format!("{:?}", b.router).len()
    };
    let first = size(&mut b, 100);
    let second = size(&mut b, 10_000);
    assert!(second < first + first / 5, "{first} then {second}");
}

/// The share of 1,000 single writes that go to a primary that started so long ago.
fn share_at(age_ms: i64) -> f64 {
    let mut b = Bench::ready(settings(KEYED));
    let mut e = entry(0);
    e.started_at = Some(Time(b.now - age_ms * MS));
    b.event(Event::MemberListChanged { complete: false, entries: vec![e] });
    b.probed(0, true, 0);
    let mut sent = 0;
    for _ in 0..1000 {
        let (id, out) = b.ask(0, None);
        for (r, m) in sends(&out) {
            sent += 1;
            b.outcome(r, 0, m, Outcome::Ok);
        }
        b.event(Event::ClientDisconnected { request: id });
    }
    sent as f64 / 1000.0
}

#[test]
fn a_starting_primary_is_offered_what_it_can_do_and_all_before_it_is_quite_warm() {
    // Cold it does a fifth, and three times that pushes it over; it is warm after 17 s.
    let (cold, half, nearly) = (share_at(0), share_at(6_400), share_at(13_000));
    assert!(cold > 0.2 && cold < 0.4, "{cold} of all that a warm one gets");
    assert!(half > 0.5 && half < 0.9, "{half} at half its capacity");
    assert!(nearly == 1.0, "{nearly} at four fifths of its capacity");
}

/// Settings of members that check positions themselves, as the fleet's do, and a router that acts every millisecond.
fn checked() -> Settings {
    let mut s = settings(Idempotency::NotIdempotent);
    (s.lagging_replica, s.min_event_interval, s.router_count) =
        (LaggingReplica::WaitsThenRejects(20 * MS), MS, 100);
    s
}

/// A fresh router that was told of member 0 as the primary and of two replicas.
fn listed() -> Bench {
    let mut b = Bench::new(checked());
    let mut entries: Vec<MemberEntry> = (0..3).map(entry).collect();
    entries[0].listed_primary = true;
    b.event(Event::MemberListChanged { complete: true, entries });
    b
}

#[test]
fn where_members_check_a_fresh_router_learns_from_answers_and_not_from_a_probe_of_each() {
    let mut b = listed();
    let (read, out) = b.ask(4, None);
    let to = sends(&out);
    assert_eq!((to.len(), probes(&out).len()), (1, 0), "a hundred routers would ask sixty members each");
    assert_ne!(to[0].1, MemberId(0), "the listed primary is left to writes");
    let response_report = MemberReport { primary: Some(false), position: Some(Time(b.now)) };
    b.noted(read, 0, to[0].1, Outcome::Ok, response_report, None);
    // What it learned counts: a session read whose commit is older goes there and nowhere else.
    assert_eq!(sends(&b.ask(2, Some(10)).1)[0].1, to[0].1);
    let (write, out) = b.ask(0, None);
    assert_eq!((sends(&out), probes(&out)), (vec![(write, MemberId(0))], vec![]));
}

#[test]
fn a_write_goes_round_the_members_once_and_then_waits() {
    let mut b = listed();
    let (id, mut out) = b.ask(0, None);
    let response_report = MemberReport { primary: Some(false), position: None };
    let mut asked = Vec::new();
    while let [(_, m)] = sends(&out)[..] {
        asked.push(m);
        out = b.noted(id, asked.len() as u32 - 1, m, Outcome::NotEligible, response_report, None);
    }
    assert_eq!(asked[0], MemberId(0), "the listed one first");
    asked.sort_unstable();
    assert_eq!(asked, [MemberId(0), MemberId(1), MemberId(2)]);
    assert!(!refused(&out, id) && !failed(&out, id));
    // The next write does not ask again those that have just said no.
    assert!(sends(&b.ask(0, None).1).is_empty());
    b.now += 500 * MS;
    assert!(sends(&b.ask(0, None).1).is_empty(), "their word holds a second");
    // Another's answer tells who took over, and what waits goes there.
    b.now += 20 * MS;
    let out = b.probed(2, true, 0);
    assert!(sends(&out).is_empty(), "an answer's word holds longer than a report's");
    b.now += 1000 * MS;
    let out = b.probed(2, true, 0);
    assert!(sends(&out).iter().all(|s| s.1 == MemberId(2)));
}

#[test]
fn a_router_that_acts_every_millisecond_probes_no_more_often_than_reports_change() {
    let mut b = Bench::new(checked());
    b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
    let response_report = MemberReport { primary: Some(false), position: None };
    let mut asked = 0;
    for _ in 0..1000 {
        b.now += MS;
        let (id, mut out) = b.ask(0, None);
        let mut attempt = 0;
        loop {
            for m in probes(&out) {
                asked += 1;
                out.extend(b.probed(m.0, false, 0));
            }
            let [(_, m)] = sends(&out)[..] else { break };
            out = b.noted(id, attempt, m, Outcome::NotEligible, response_report, None);
            attempt += 1;
        }
        b.event(Event::ClientDisconnected { request: id });
    }
    // At 0, 100, 300 and 700 ms, three members each; a hundred routers do the same.
    assert!((6..=12).contains(&asked), "{asked} probes of one router in a second");
}

#[test]
fn where_members_may_not_be_probed_a_read_that_bears_any_age_is_sent_all_the_same() {
    let mut b = Bench::new(Settings { probing_allowed: false, ..settings(KEYED) });
    b.event(Event::MemberListChanged { complete: true, entries: (0..3).map(entry).collect() });
    // Nobody has said anything yet, and nobody may be asked.
    let (r, out) = b.ask(4, None);
    assert_eq!(sends(&out).iter().map(|(id, _)| *id).collect::<Vec<_>>(), [r]);
    // One that needs proof gets none without a write that shows who is primary.
    let (_, out) = b.ask(3, None);
    assert!(sends(&out).is_empty());
}
