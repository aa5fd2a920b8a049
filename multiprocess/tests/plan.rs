//! Tests the parsing of plans: every key and fault, the defaults, and the text of every error.
use multiprocess::plan::{self, FaultKind, LinkDirection, Placement, Plan, RouterSet, Targets};
use std::fmt::Write;

const EVERY_KEY: &str = include_str!("fixtures/every_key.toml");
const ERRORS: &str = include_str!("fixtures/plan_errors.txt");
const MINIMAL: &str = "routers = 2\nseconds = 1.0\nsites = ['a']\nload = []\n\
                       [[group]]\nprimary = 'a'\nreplicas = []\n[[tenant]]\nname = 't'\n";

fn every_key() -> Plan {
    plan::read(EVERY_KEY).unwrap()
}

#[test]
fn general_keys_are_parsed() {
    let plan = every_key();
    assert_eq!((plan.routers, plan.store_nodes, plan.follows_fleet), (20, 3, true));
    assert_eq!((plan.seconds, plan.seed, plan.service_ms), (12.5, 7, 2.5));
    assert_eq!((plan.load_threads, plan.connections), (3, 4));
    assert_eq!(plan.sites, ["hall-a", "hall-b"]);
    assert_eq!(plan.groups[0].primary, "hall-a");
    assert_eq!(plan.groups[0].replicas, ["hall-a", "hall-b"]);
    assert_eq!(plan.groups[1].primary, "hall-b");
    assert!(plan.groups[1].replicas.is_empty() && plan.groups.len() == 2);
}

#[test]
fn omitted_keys_get_default_values() {
    let plan = plan::read(MINIMAL).unwrap();
    assert_eq!((plan.store_nodes, plan.follows_fleet, plan.seed), (0, false, 1));
    assert_eq!((plan.service_ms, plan.load_threads, plan.connections), (5.0, 4, 2));
    assert!(plan.loads.is_empty() && plan.faults.is_empty());
    let tenant = &plan.tenants[0];
    assert!(tenant.rate.is_none() && tenant.burst.is_none() && tenant.on_loss.is_none());
    assert!(tenant.placement.is_none());
}

#[test]
fn tenants_are_parsed_with_quota_and_placement() {
    let plan = every_key();
    let names: Vec<&str> = plan.tenants.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["everyone", "tills", "books"]);
    let tills = &plan.tenants[1];
    assert_eq!((tills.rate, tills.burst, tills.on_loss), (Some(40.5), Some(110), Some(0.25)));
    let classes = Some(vec!["basket-read".to_string()]);
    let expected = Placement { sites: vec!["hall-a".into()], strict: true, classes };
    assert_eq!(plan.tenants[2].placement, Some(expected));
}

#[test]
fn loads_are_parsed_with_their_routers() {
    let plan = every_key();
    let targets: Vec<Targets> = plan.loads.iter().map(|l| l.targets).collect();
    assert_eq!(targets, [Targets::Named(RouterSet::All), Targets::Named(RouterSet::One), Targets::First(5)]);
    assert_eq!(plan.loads.iter().map(|l| l.router_count(20)).collect::<Vec<_>>(), [20, 1, 5]);
    assert_eq!(plan.loads[2].router_count(3), 3);
    assert_eq!(plan.loads.iter().map(|l| l.rate).collect::<Vec<_>>(), [60.0, 10.0, 20.0]);
    assert_eq!(plan.loads.iter().map(|l| l.write_share).collect::<Vec<_>>(), [0.2, 0.0, 0.0]);
    assert_eq!(plan.loads[1].tenant, "tills");
}

#[test]
fn every_fault_kind_is_parsed() {
    let plan = every_key();
    let times: Vec<f64> = plan.faults.iter().map(|f| f.at).collect();
    assert_eq!(times, [0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 6.5, 7.0, 7.5, 8.0, 9.0, 10.0, 11.0]);
    let mut kinds = plan.faults.iter().map(|f| &f.kind);
    let mut next = || kinds.next().unwrap();
    assert!(matches!(next(), FaultKind::Kill { share: 0.7, back_s: None }));
    assert!(matches!(next(), FaultKind::Kill { share: 0.5, back_s: Some(0.2) }));
    assert!(matches!(next(), FaultKind::Restart { share: 0.1, back_s: 1.0 }));
    assert!(matches!(next(), FaultKind::Stop { share: 0.2, for_s: 1.5 }));
    assert!(matches!(next(), FaultKind::KillLeader { back_s: 1.25 }));
    assert!(matches!(next(), FaultKind::StopLeader { for_s: 0.75 }));
    assert!(matches!(next(), FaultKind::CutStore { routers: 2, direction: LinkDirection::Both, for_s: 1.0 }));
    assert!(matches!(
        next(),
        FaultKind::CutStore { routers: 3, direction: LinkDirection::ToTarget, for_s: 1.0 }
    ));
    assert!(
        matches!(next(), FaultKind::CutServers { routers: 4, site, direction: LinkDirection::FromTarget, for_s: 2.0 } if site == "hall-b")
    );
    assert!(
        matches!(next(), FaultKind::CutServers { routers: 4, site, direction: LinkDirection::Both, for_s: 2.0 } if site == "hall-a")
    );
    assert!(
        matches!(next(), FaultKind::Delay { routers: 5, site, ms: 30.0, for_s: 2.0 } if site == "hall-a")
    );
    assert!(matches!(next(), FaultKind::Reset { routers: 6, site } if site == "hall-b"));
    assert!(matches!(next(), FaultKind::Quota { tenant, rate: 20.0, burst: 5 } if tenant == "tills"));
    assert!(
        matches!(next(), FaultKind::Placement { tenant, sites, strict: false } if tenant == "books" && sites.len() == 2)
    );
}

#[test]
fn only_link_faults_need_proxies() {
    let faults = every_key().faults;
    let server_links: Vec<usize> = faults.iter().map(|f| f.kind.routers_with_server_proxies()).collect();
    assert_eq!(server_links, [0, 0, 0, 0, 0, 0, 0, 0, 4, 4, 5, 6, 0, 0]);
    let store_links: Vec<usize> = faults.iter().map(|f| f.kind.routers_with_store_proxies()).collect();
    assert_eq!(store_links, [0, 0, 0, 0, 0, 0, 2, 3, 0, 0, 0, 0, 0, 0]);
}

/// Invalid edits of the plan with every key: the text that is replaced once, and its replacement.
const INVALID_EDITS: &[(&str, &str)] = &[
    ("routers = 20", "routers = 0"),
    ("routers = 20", "routers = 1001"),
    ("routers = 20", "routers = 'many'"),
    ("routers = 20", "router = 20"),
    ("seconds = 12.5", "seconds = 0.0"),
    ("seconds = 12.5", "seconds = nan"),
    ("service_ms = 2.5", "service_ms = -1.0"),
    ("load_threads = 3", "load_threads = 65"),
    ("connections = 4", "connections = 101"),
    ("nodes = 3", "nodes = 2"),
    ("nodes = 3", "nodes = 0"),
    ("fleet = true", "fleet = false"),
    ("primary = \"hall-a\"", "primary = \"hall-z\""),
    ("replicas = [\"hall-a\", \"hall-b\"]", "replicas = [\"hall-z\"]"),
    ("name = \"tills\"", "name = \"everyone\""),
    ("name = \"everyone\"", "name = \"\""),
    ("burst = 110\n", ""),
    ("place = { sites = [\"hall-a\"]", "place = { sites = [\"hall-z\"]"),
    ("classes = [\"basket-read\"]", "classes = [\"basket\"]"),
    ("tenant = \"everyone\"", "tenant = \"nobody\""),
    ("rate = 60.0", "rate = 100001.0"),
    ("writes = 0.2", "writes = 1.2"),
    ("from = 5", "from = 0"),
    ("from = \"one\"", "from = \"two\""),
    ("at = 0.5", "at = 13.0"),
    ("share = 0.7", "share = 1.7"),
    ("back_s = 0.2", "back_s = 3601.0"),
    ("for_s = 1.5", "for_s = -1.0"),
    ("back_s = 1.25", "back_s = 3601.0"),
    ("routers = 2\nfor_s", "routers = 21\nfor_s"),
    ("way = \"there\"", "way = \"up\""),
    ("site = \"hall-b\"\nway", "site = \"hall-z\"\nway"),
    ("ms = 30.0", "ms = 60001.0"),
    ("routers = 6", "routers = 0"),
    ("tenant = \"tills\"\nrate = 20.0", "tenant = \"nobody\"\nrate = 20.0"),
    ("rate = 20.0\nburst = 5", "rate = -1.0\nburst = 5"),
    ("sites = [\"hall-a\", \"hall-b\"]\nstrict", "sites = [\"hall-z\"]\nstrict"),
    ("do = \"reset\"", "do = \"melt\""),
];

#[test]
fn error_texts_name_the_key_and_match_fixture() {
    let mut found = String::new();
    for (from, to) in INVALID_EDITS {
        assert!(EVERY_KEY.contains(from), "{from}");
        let error = plan::read(&EVERY_KEY.replacen(from, to, 1)).unwrap_err();
        writeln!(found, "## {from:?} -> {to:?}\n{error}").unwrap();
    }
    let without_store = [
        "[[fault]]\nat = 0.1\ndo = 'kill_leader'\nback_s = 1.0\n",
        "[[fault]]\nat = 0.1\ndo = 'cut_store'\nrouters = 1\nfor_s = 1.0\n",
        "[[fault]]\nat = 0.1\ndo = 'quota'\ntenant = 't'\nrate = 1.0\nburst = 1\n",
    ];
    for fault in without_store {
        let error = plan::read(&format!("{MINIMAL}{fault}")).unwrap_err();
        writeln!(found, "## {fault:?} without a store\n{error}").unwrap();
    }
    let no_group = "routers = 2\nseconds = 1.0\nsites = []\nload = []\ngroup = []\ntenant = []\n";
    writeln!(found, "## no group\n{}", plan::read(no_group).unwrap_err()).unwrap();
    let no_tenant =
        MINIMAL.replace("[[tenant]]\nname = 't'\n", "").replace("load = []", "load = []\ntenant = []");
    writeln!(found, "## no tenant\n{}", plan::read(&no_tenant).unwrap_err()).unwrap();
    assert_eq!(found, ERRORS);
}
