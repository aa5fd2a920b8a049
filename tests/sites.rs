//! The platform's front with the settings of customers in `deploy/sites/`, for which the code has no special
//! cases. Names, number and order of classes, deadlines, freshness, tokens and rejections all come from the
//! settings.
mod common;
use common::TIMEOUT;
use common::client::{Client, Response, served};
use common::discovery::Discovery;
use common::environment::TestFolder;
use common::platform::config;
use common::program::Program;
use common::scripted_instance::{Behavior, ScriptedInstance};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SITES: [(&str, &str); 2] = [
    ("hafnarfjordur-lager", include_str!("../deploy/sites/hafnarfjordur-lager/settings.json")),
    ("akureyri-skjol", include_str!("../deploy/sites/akureyri-skjol/settings.json")),
];

/// More than the deadline of any class here, so that the deadline of its class limits a request. All requests
/// carry the same value, as requests of clients that do not retry do.
const LONG_WAIT_MS: u64 = 3_600_000;

/// A router with a primary and a replica, started with these settings.
struct TestSetup {
    addr: SocketAddr,
    primary: (ScriptedInstance, Receiver<String>),
    replica: (ScriptedInstance, Receiver<String>),
    settings: Value,
    _router: Program,
    _discovery: Discovery,
    _folder: TestFolder,
}

impl TestSetup {
    fn start(settings: &Value) -> TestSetup {
        let (primary, replica) =
            (ScriptedInstance::start("primary", true), ScriptedInstance::start("replica", false));
        let discovery = Discovery::start();
        let folder = TestFolder::new();
        let mut known = vec![primary.0.entry("in_service"), replica.0.entry("in_service")];
        // Instances may be in zones and of kinds that the settings do not contain.
        known[0]["zone"] = settings["failureDomains"][0].clone();
        known[1]["zone"] = json!("a zone of later");
        known[1]["kind"] = json!("a kind of later");
        let mut file = config(discovery.addr, known);
        file["settings"] = settings.clone();
        let path = folder.write("config.json", &file.to_string());
        let mut router = Program::serve_platform(&path);
        let addr = router.listening_address();
        let settings = settings.clone();
        TestSetup {
            addr,
            primary,
            replica,
            settings,
            _router: router,
            _discovery: discovery,
            _folder: folder,
        }
    }

    fn classes(&self) -> std::vec::IntoIter<Class> {
        classes(&self.settings)
    }
}

/// A class of the settings.
struct Class {
    name: String,
    write: bool,
    freshness: String,
    deadline_ms: u64,
}

impl Class {
    /// A request of this class that reads or writes this key.
    fn statement(&self, id: &str, key: &str, wait_ms: u64) -> String {
        let comment = format!("/* id={id},c={},d={wait_ms},cluster=3 */", self.name);
        if self.write {
            format!("INSERT INTO objects (oid, body) VALUES ('{key}', '\\x9f') RETURNING body {comment}")
        } else {
            format!("SELECT body FROM objects WHERE oid = '{key}' {comment}")
        }
    }
}

fn classes(settings: &Value) -> std::vec::IntoIter<Class> {
    let class = |(c, freshness): (&Value, &Value)| Class {
        name: c["name"].as_str().unwrap().to_string(),
        write: freshness == "mutate",
        freshness: freshness.as_str().unwrap().to_string(),
        deadline_ms: c["deadlineMs"].as_f64().unwrap() as u64,
    };
    let entries = settings["classes"].as_array().unwrap().iter();
    let all: Vec<Class> =
        entries.zip(settings["extra"]["freshness"].as_array().unwrap()).map(class).collect();
    all.into_iter()
}

fn sites() -> impl Iterator<Item = (&'static str, Value)> {
    SITES.into_iter().map(|(name, text)| (name, serde_json::from_str(text).unwrap()))
}

/// The remaining time in milliseconds that a forwarded statement carries in `d`.
fn forwarded_wait_ms(statement: &str) -> u64 {
    let forwarded = statement.split(",d=").nth(1).unwrap();
    forwarded.split(',').next().unwrap().parse().unwrap()
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn failed(response: &Response) -> bool {
    matches!(response, Response::Error(..))
}

#[test]
fn classes_are_identified_by_name_only() {
    for (name, settings) in sites() {
        let setup = TestSetup::start(&settings);
        let client = Client::connect(setup.addr);
        assert_eq!(client.query(""), Response::Empty, "{name}: ready");
        for (n, class) in setup.classes().enumerate() {
            // The router may not know the roles of the instances at the first read. Once an instance of the
            // expected role has served one, later requests are served at once.
            let (instance, server) = match class.freshness.as_str() {
                "mutate" | "strong" => (&setup.primary, "primary"),
                _ => (&setup.replica, "replica"),
            };
            client.query_until_served_by(&class.statement(&format!("first{n}"), "k", LONG_WAIT_MS), server);
            while instance.1.try_recv().is_ok() {}
            let request = class.statement(&format!("then{n}"), "k", LONG_WAIT_MS);
            assert_eq!(client.query(&request), served(server), "{name}: {}", class.name);
            let sent = instance.1.recv_timeout(TIMEOUT).unwrap();
            let forwarded = forwarded_wait_ms(&sent);
            assert_eq!(
                sent,
                class.statement(&format!("then{n}"), "k", forwarded),
                "{name}: only the value of d may differ in the forwarded statement"
            );
            assert!(
                (1..=class.deadline_ms).contains(&forwarded),
                "{name}: {} was forwarded with d={forwarded} ms, its deadline is {} ms",
                class.name,
                class.deadline_ms
            );
        }
        // Class names of the other customer, an empty name and indexes of classes are rejected.
        let others = sites().filter(|(other, _)| *other != name).flat_map(|(_, s)| classes(&s));
        let unknown = others.map(|c| c.name).chain(["", "0", "1", "read"].map(String::from));
        for unknown in unknown.collect::<Vec<_>>() {
            let class = Class { name: unknown, write: false, freshness: "eventual".into(), deadline_ms: 100 };
            let response = client.query(&class.statement("u", "k", 100));
            assert!(
                matches!(&response, Response::Error(code, _) if code == "42601"),
                "{name}: {}: {response:?}",
                class.name
            );
        }
        // The connection stays open after the errors.
        assert_eq!(client.query(""), Response::Empty);
    }
}

#[test]
fn deadline_of_each_class_ends_its_requests() {
    for (name, settings) in sites() {
        let setup = TestSetup::start(&settings);
        let warm = Client::connect(setup.addr);
        for class in setup.classes() {
            let server =
                if matches!(class.freshness.as_str(), "mutate" | "strong") { "primary" } else { "replica" };
            warm.query_until_served_by(
                &class.statement(&format!("warm-{}", class.name), "k", LONG_WAIT_MS),
                server,
            );
        }
        [&setup.primary, &setup.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Silent));
        // The requests run at the same time, each until the deadline of its class.
        let requests: Vec<_> = setup
            .classes()
            .map(|class| {
                let client = Client::connect(setup.addr);
                let sql = class.statement(&format!("late-{}", class.name), "k", LONG_WAIT_MS);
                let own = class.deadline_ms;
                let wait = std::thread::spawn(move || {
                    let started = Instant::now();
                    let response = client.query(&sql);
                    (response, started.elapsed())
                });
                (class.name, own, wait)
            })
            .collect();
        for (class, deadline_ms, wait) in requests {
            let (response, elapsed) = wait.join().unwrap();
            assert!(failed(&response), "{name}: {class}: {response:?}");
            // The 5 s of tolerance are enough for a busy machine, and far less than ten times the deadline of
            // another customer's class.
            let limit = Duration::from_millis(deadline_ms) + Duration::from_secs(5);
            assert!(elapsed < limit, "{name}: {class} took {elapsed:?}, its deadline is {deadline_ms} ms");
        }
    }
}

#[test]
fn rejection_has_retry_after_only_where_configured() {
    for (name, settings) in sites() {
        let setup = TestSetup::start(&settings);
        let class = setup.classes().find(|c| !c.write).unwrap();
        // No request can be served within 1 ms.
        let response = Client::connect(setup.addr).query(&class.statement("r", "k", 1));
        let Response::Error(code, retry_after) = response else { panic!("{name}: {response:?}") };
        assert_eq!(code, "53300", "{name}");
        let limits = &settings["limits"];
        let limit = limits["maxRetryAfterMs"].as_f64().unwrap();
        if limits["retryAfter"].as_bool().unwrap() {
            assert!(
                retry_after.as_ref().is_some_and(|d| (1.0..=limit).contains(&d.parse().unwrap())),
                "{name}: {retry_after:?}"
            );
        } else {
            assert_eq!(retry_after, None, "{name}");
        }
    }
}

#[test]
fn session_with_stored_write_does_not_read_stale_data() {
    let (name, settings) = sites().find(|(_, s)| s["extra"]["writeMarks"] == "kept").unwrap();
    let setup = TestSetup::start(&settings);
    let client = Client::connect(setup.addr);
    let (read, write) = (
        setup.classes().find(|c| c.freshness == "causal").unwrap(),
        setup.classes().find(|c| c.write).unwrap(),
    );
    // The router knows the replica, which lags by 60 s from now on.
    client.query_until_served_by(&read.statement("first", "other", LONG_WAIT_MS), "replica");
    let last_reported_ms = unix_ms();
    setup.replica.0.lag_ms.store(60_000, Ordering::SeqCst);
    // Replication positions are whole milliseconds: the commit has to be in a later millisecond than the
    // position that the replica reported last.
    while unix_ms() <= last_reported_ms {
        std::hint::spin_loop();
    }
    client.query_until_served_by(&write.statement("w", "mine", LONG_WAIT_MS), "primary");
    // The last reported position of the replica precedes the write, so only the primary is known to have it.
    // Known positions never decrease, so the lower positions that the replica reports from now on change
    // nothing.
    assert_eq!(client.query(&read.statement("r", "mine", LONG_WAIT_MS)), served("primary"), "{name}");
    // A read of a session without writes may be served by either instance.
    assert!(!failed(&client.query(&read.statement("s", "other", LONG_WAIT_MS))), "{name}");
}

#[test]
fn read_after_unreachable_position_fails_without_affecting_others() {
    let (name, settings) = sites().find(|(_, s)| s["extra"]["writeMarks"] == "brought").unwrap();
    let setup = TestSetup::start(&settings);
    let client = Client::connect(setup.addr);
    let (read, other) = (
        setup.classes().find(|c| c.freshness == "causal").unwrap(),
        setup.classes().find(|c| c.freshness == "lag_bound").unwrap(),
    );
    client.query_until_served_by(&other.statement("first", "k", LONG_WAIT_MS), "replica");
    // Each instance rejects the read because it has not reached the requested position.
    [&setup.primary, &setup.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Error("72000")));
    let ahead = read
        .statement("far", "k", LONG_WAIT_MS)
        .replace(",cluster=", &format!(",after={},cluster=", i64::MAX));
    assert!(failed(&client.query(&ahead)), "{name}");
    [&setup.primary, &setup.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Serve));
    client.query_until_served_by(&other.statement("then", "k", LONG_WAIT_MS), "replica");
}

const THREE_DAYS_MS: u64 = 3 * 86_400_000;

#[test]
fn deadline_of_days_is_not_truncated() {
    let (name, mut settings) = sites().next().unwrap();
    let at = classes(&settings).position(|c| c.write).unwrap();
    settings["classes"][at]["deadlineMs"] = json!(THREE_DAYS_MS);
    let setup = TestSetup::start(&settings);
    let write = setup.classes().nth(at).unwrap();
    Client::connect(setup.addr)
        .query_until_served_by(&write.statement("w", "k", THREE_DAYS_MS - 1000), "primary");
    let sent = setup.primary.1.recv_timeout(TIMEOUT).unwrap();
    assert!((2 * 86_400_000..THREE_DAYS_MS).contains(&forwarded_wait_ms(&sent)), "{name}: {sent}");
}

#[test]
fn any_number_of_classes_is_supported() {
    let (_, mut settings) = sites().next().unwrap();
    let one = settings["classes"][1].clone();
    let many = |n: usize| {
        let named = |i: usize| {
            let mut class = one.clone();
            class["name"] = json!(format!("class of number {i}"));
            class
        };
        (0..n).map(named).collect::<Vec<Value>>()
    };
    for n in [0, 64] {
        settings["classes"] = json!(many(n));
        settings["extra"]["freshness"] = json!(vec!["eventual"; n]);
        settings["extra"]["oldestDataMs"] = json!(vec![0.0; n]);
        let setup = TestSetup::start(&settings);
        let client = Client::connect(setup.addr);
        assert_eq!(client.query(""), Response::Empty);
        setup.classes().for_each(|class| {
            client.query_until_served_by(&class.statement("r", "k", LONG_WAIT_MS), "replica");
        });
        let unknown =
            Class { name: "none".into(), write: false, freshness: "eventual".into(), deadline_ms: 1 };
        let response = client.query(&unknown.statement("u", "k", 100));
        assert!(
            matches!(&response, Response::Error(code, _) if code == "42601"),
            "{n} classes: {response:?}"
        );
    }
}
