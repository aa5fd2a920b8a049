//! Whole plays: the same again from the same seed, and the rules kept through each trouble.
use simulator::check::Rule;
use simulator::plan::{Kind, Plant, Trouble};
use simulator::{Plan, Results, play};

fn plan(kind: Option<(Kind, f64)>) -> Plan {
    let trouble = kind.map(|(kind, by)| Trouble { kind, at_s: 2.0, for_s: 2.0, count: 2, by });
    Plan {
        seconds: 6.0,
        warmup_s: 1.0,
        rate: 600.0,
        trouble: trouble.into_iter().collect(),
        ..Plan::default()
    }
}

fn kept(r: &Results) {
    assert!(r.broken.is_empty(), "{:?} {:#?}", r.broken, r.first_broken);
    let t = r.total();
    assert!(r.checked > 1000 && t.offered > 1000, "{t:?}");
    // Every request came to one end.
    assert_eq!(t.offered, t.in_time + t.late + t.refused + t.failed, "{t:?}");
}

#[test]
fn the_same_seed_gives_the_same_result_on_any_thread() {
    let mut p = plan(Some((Kind::CrashPrimary, 1.0)));
    p.trouble.push(Trouble { kind: Kind::RestartRouters, at_s: 3.0, for_s: 0.5, count: 2, by: 1.0 });
    let first = play(&p);
    let again: Vec<Results> = std::thread::scope(|s| {
        let runs: Vec<_> = (0..3).map(|_| s.spawn(|| play(&p))).collect();
        runs.into_iter().map(|r| r.join().unwrap()).collect()
    });
    assert!(again.iter().all(|r| *r == first));
    assert_ne!(play(&Plan { seed: 2, ..p }).total(), first.total());
}

#[test]
fn a_calm_day_is_served_in_time_mostly_by_replicas() {
    let r = play(&plan(None));
    kept(&r);
    let t = r.total();
    assert!(t.goodput() > 0.98, "{t:?}");
    assert!(t.at_primary * 2 < t.attempts, "{t:?}");
}

#[test]
fn rules_are_kept_through_every_trouble() {
    let troubles = [
        (Kind::CrashPrimary, 1.0),
        (Kind::CrashReplica, 1.0),
        (Kind::Hang, 1.0),
        (Kind::FastErrors, 1.0),
        (Kind::Slow, 5.0),
        (Kind::Gray, 0.3),
        (Kind::SlowDisk, 20.0),
        (Kind::Partition, 1.0),
        (Kind::RegistryOutage, 1.0),
        (Kind::Drain, 1.0),
        (Kind::RestartRouters, 1.0),
        (Kind::Reconnect, 1.0),
        (Kind::Surge, 4.0),
    ];
    for (kind, by) in troubles {
        let r = play(&plan(Some((kind, by))));
        assert!(r.broken.is_empty(), "{kind:?}: {:?} {:#?}", r.broken, r.first_broken);
        kept(&r);
    }
}

#[test]
fn a_plan_is_checked_and_says_what_is_wrong() {
    assert!(Plan::read("").is_ok());
    for (text, why) in [
        ("ratee = 1", "ratee"),
        ("rate = 0", "'rate'"),
        ("warmup_s = 99", "warmup_s"),
        ("[[trouble]]\nkind = 'fire'\nat_s = 1", "fire"),
        ("[[class]]\nname='a'\nfreshness='x'\naim_ms=1\ndeadline_ms=2\nwork_ms=1\nshare=1", "class a"),
    ] {
        let e = Plan::read(text).unwrap_err().to_string();
        assert!(e.contains(why), "{text}: {e}");
    }
}

#[test]
fn planted_faults_are_found() {
    let close = |p: Plan| Plan { sessions: 30, ship_ms: 200.0, ..p };
    let mut writes = plan(Some((Kind::Reconnect, 1.0)));
    writes.trouble = (0..20)
        .map(|n| Trouble {
            kind: Kind::Reconnect,
            at_s: 1.0 + f64::from(n) * 0.2,
            for_s: 0.0,
            count: 0,
            by: 1.0,
        })
        .collect();
    writes.class.last_mut().unwrap().share = 30.0;
    for (p, plant, rule) in [
        (close(plan(None)), Plant::ForgetSessions, Rule::OwnWrites),
        (plan(Some((Kind::Drain, 1.0))), Plant::IgnoreDrains, Rule::Drains),
        (writes, Plant::DenyResets, Rule::NoRepeat),
    ] {
        let sound = play(&p);
        assert!(sound.broken.is_empty(), "{plant:?}: {:?} {:#?}", sound.broken, sound.first_broken);
        let faulty = play(&Plan { plant: Some(plant), ..p });
        assert!(faulty.broken.contains_key(&rule), "{plant:?}: {:?}", faulty.broken);
    }
}
