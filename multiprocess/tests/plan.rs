//! Plans as read from TOML: every key and fault, the defaults, and the text of every error.
use multiprocess::plan::{self, From, Place, Plan, Way, What, Word};
use std::fmt::Write;

const EVERY_KEY: &str = include_str!("fixtures/every_key.toml");
const ERRORS: &str = include_str!("fixtures/plan_errors.txt");
const MINIMAL: &str = "routers = 2\nseconds = 1.0\nsites = ['a']\nload = []\n\
                       [[group]]\nprimary = 'a'\nreplicas = []\n[[tenant]]\nname = 't'\n";

fn every_key() -> Plan {
    plan::read(EVERY_KEY).unwrap()
}

#[test]
fn general_keys_are_read() {
    let plan = every_key();
    assert_eq!((plan.routers, plan.nodes, plan.fleet), (20, 3, true));
    assert_eq!((plan.seconds, plan.seed, plan.service_ms), (12.5, 7, 2.5));
    assert_eq!((plan.load_threads, plan.connections), (3, 4));
    assert_eq!(plan.sites, ["hall-a", "hall-b"]);
    assert_eq!(plan.group[0].primary, "hall-a");
    assert_eq!(plan.group[0].replicas, ["hall-a", "hall-b"]);
    assert_eq!(plan.group[1].primary, "hall-b");
    assert!(plan.group[1].replicas.is_empty() && plan.group.len() == 2);
}

#[test]
fn omitted_keys_get_their_defaults() {
    let plan = plan::read(MINIMAL).unwrap();
    assert_eq!((plan.nodes, plan.fleet, plan.seed), (0, false, 1));
    assert_eq!((plan.service_ms, plan.load_threads, plan.connections), (5.0, 4, 2));
    assert!(plan.load.is_empty() && plan.fault.is_empty());
    let tenant = &plan.tenant[0];
    assert!(tenant.rate.is_none() && tenant.burst.is_none() && tenant.on_loss.is_none());
    assert!(tenant.place.is_none());
}

#[test]
fn tenants_are_read_with_quota_and_placement() {
    let plan = every_key();
    let names: Vec<&str> = plan.tenant.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["everyone", "tills", "books"]);
    let tills = &plan.tenant[1];
    assert_eq!((tills.rate, tills.burst, tills.on_loss), (Some(40.5), Some(110), Some(0.25)));
    let classes = Some(vec!["basket-read".to_string()]);
    let expected = Place { sites: vec!["hall-a".into()], strict: true, classes };
    assert_eq!(plan.tenant[2].place, Some(expected));
}

#[test]
fn loads_are_read_with_their_routers() {
    let plan = every_key();
    let from: Vec<From> = plan.load.iter().map(|l| l.from).collect();
    assert_eq!(from, [From::Word(Word::All), From::Word(Word::One), From::Few(5)]);
    assert_eq!(plan.load.iter().map(|l| l.routers(20)).collect::<Vec<_>>(), [20, 1, 5]);
    assert_eq!(plan.load[2].routers(3), 3);
    assert_eq!(plan.load.iter().map(|l| l.rate).collect::<Vec<_>>(), [60.0, 10.0, 20.0]);
    assert_eq!(plan.load.iter().map(|l| l.writes).collect::<Vec<_>>(), [0.2, 0.0, 0.0]);
    assert_eq!(plan.load[1].tenant, "tills");
}

#[test]
fn every_fault_is_read() {
    let plan = every_key();
    let times: Vec<f64> = plan.fault.iter().map(|f| f.at).collect();
    assert_eq!(times, [0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 6.5, 7.0, 7.5, 8.0, 9.0, 10.0, 11.0]);
    let mut kinds = plan.fault.iter().map(|f| &f.what);
    let mut next = || kinds.next().unwrap();
    assert!(matches!(next(), What::Kill { share: 0.7, back_s: None }));
    assert!(matches!(next(), What::Kill { share: 0.5, back_s: Some(0.2) }));
    assert!(matches!(next(), What::Restart { share: 0.1, back_s: 1.0 }));
    assert!(matches!(next(), What::Stop { share: 0.2, for_s: 1.5 }));
    assert!(matches!(next(), What::KillLeader { back_s: 1.25 }));
    assert!(matches!(next(), What::StopLeader { for_s: 0.75 }));
    assert!(matches!(next(), What::CutStore { routers: 2, way: Way::Both, for_s: 1.0 }));
    assert!(matches!(next(), What::CutStore { routers: 3, way: Way::There, for_s: 1.0 }));
    assert!(
        matches!(next(), What::CutServers { routers: 4, site, way: Way::Back, for_s: 2.0 } if site == "hall-b")
    );
    assert!(
        matches!(next(), What::CutServers { routers: 4, site, way: Way::Both, for_s: 2.0 } if site == "hall-a")
    );
    assert!(matches!(next(), What::Delay { routers: 5, site, ms: 30.0, for_s: 2.0 } if site == "hall-a"));
    assert!(matches!(next(), What::Reset { routers: 6, site } if site == "hall-b"));
    assert!(matches!(next(), What::Quota { tenant, rate: 20.0, burst: 5 } if tenant == "tills"));
    assert!(
        matches!(next(), What::Place { tenant, sites, strict: false } if tenant == "books" && sites.len() == 2)
    );
}

#[test]
fn proxied_routers_are_those_of_link_faults() {
    let faults = every_key().fault;
    let server_links: Vec<usize> = faults.iter().map(|f| f.what.servers_cut()).collect();
    assert_eq!(server_links, [0, 0, 0, 0, 0, 0, 0, 0, 4, 4, 5, 6, 0, 0]);
    let store_links: Vec<usize> = faults.iter().map(|f| f.what.store_cut()).collect();
    assert_eq!(store_links, [0, 0, 0, 0, 0, 0, 2, 3, 0, 0, 0, 0, 0, 0]);
}

/// What is replaced in the plan with every key, once, by what.
const CORRUPTIONS: &[(&str, &str)] = &[
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
fn error_texts_name_the_key_and_keep_their_wording() {
    let mut found = String::new();
    for (from, to) in CORRUPTIONS {
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
    for (part, text) in
        [("group", "routers = 2\nseconds = 1.0\nsites = []\nload = []\ngroup = []\ntenant = []\n")]
    {
        writeln!(found, "## no {part}\n{}", plan::read(text).unwrap_err()).unwrap();
    }
    let no_tenant =
        MINIMAL.replace("[[tenant]]\nname = 't'\n", "").replace("load = []", "load = []\ntenant = []");
    writeln!(found, "## no tenant\n{}", plan::read(&no_tenant).unwrap_err()).unwrap();
    assert_eq!(found, ERRORS);
}
