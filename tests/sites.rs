//! The platform's router under the settings of customers it has never met: `deploy/sites/`. Names, number and order of
//! classes, deadlines, freshness, tokens and refusals all come from the settings.
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

/// More than any class here grants: what a request waits is its class's deadline then. One and the same share of it for
/// all, as clients that don't come again bring.
const PATIENT_MS: u64 = 3_600_000;

/// A router with a primary and a replica, started with these settings.
struct Site {
    addr: SocketAddr,
    primary: (ScriptedInstance, Receiver<String>),
    replica: (ScriptedInstance, Receiver<String>),
    settings: Value,
    _router: Program,
    _discovery: Discovery,
    _folder: TestFolder,
}

impl Site {
    fn start(settings: &Value) -> Site {
        let (primary, replica) =
            (ScriptedInstance::start("primary", true), ScriptedInstance::start("replica", false));
        let discovery = Discovery::start();
        let folder = TestFolder::new();
        let mut known = vec![primary.0.entry("in_service"), replica.0.entry("in_service")];
        // Instances may stand in zones and be of kinds that the settings don't name.
        known[0]["zone"] = settings["failureDomains"][0].clone();
        known[1]["zone"] = json!("a zone of later");
        known[1]["kind"] = json!("a kind of later");
        let mut file = config(discovery.addr, known);
        file["settings"] = settings.clone();
        let path = folder.write("config.json", &file.to_string());
        let mut router = Program::serve_platform(&path);
        let addr = router.listening_address();
        let settings = settings.clone();
        Site { addr, primary, replica, settings, _router: router, _discovery: discovery, _folder: folder }
    }

    fn classes(&self) -> std::vec::IntoIter<Class> {
        classes(&self.settings)
    }
}

/// A class as the settings have it.
struct Class {
    name: String,
    write: bool,
    freshness: String,
    deadline_ms: u64,
}

impl Class {
    /// A request of this class, for the value of this key.
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
    let listed = settings["classes"].as_array().unwrap().iter();
    let all: Vec<Class> = listed.zip(settings["extra"]["freshness"].as_array().unwrap()).map(class).collect();
    all.into_iter()
}

fn sites() -> impl Iterator<Item = (&'static str, Value)> {
    SITES.into_iter().map(|(name, text)| (name, serde_json::from_str(text).unwrap()))
}

/// The time that a statement tells its instance.
fn told_ms(statement: &str) -> u64 {
    let told = statement.split(",d=").nth(1).unwrap();
    told.split(',').next().unwrap().parse().unwrap()
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn failed(answer: &Response) -> bool {
    matches!(answer, Response::Error(..))
}

#[test]
fn each_class_is_served_by_its_name_only() {
    for (name, settings) in sites() {
        let site = Site::start(&settings);
        let client = Client::connect(site.addr);
        assert_eq!(client.query(""), Response::Empty, "{name}: ready");
        for (n, class) in site.classes().enumerate() {
            // A read may meet the router before it knows who is who; from its first answer on it is served at once.
            let (who, by) = match class.freshness.as_str() {
                "mutate" | "strong" => (&site.primary, "primary"),
                _ => (&site.replica, "replica"),
            };
            client.query_until_served_by(&class.statement(&format!("first{n}"), "k", PATIENT_MS), by);
            while who.1.try_recv().is_ok() {}
            let asked = class.statement(&format!("then{n}"), "k", PATIENT_MS);
            assert_eq!(client.query(&asked), served(by), "{name}: {}", class.name);
            let sent = who.1.recv_timeout(TIMEOUT).unwrap();
            let told = told_ms(&sent);
            assert_eq!(
                sent,
                class.statement(&format!("then{n}"), "k", told),
                "{name}: only d changes on the way"
            );
            assert!(
                (1..=class.deadline_ms).contains(&told),
                "{name}: {} waits {told} ms, its deadline is {}",
                class.name,
                class.deadline_ms
            );
        }
        // Names of the other customer's classes, of none, and places in the list are no names here.
        let others = sites().filter(|(other, _)| *other != name).flat_map(|(_, s)| classes(&s));
        let unknown = others.map(|c| c.name).chain(["", "0", "1", "read"].map(String::from));
        for unknown in unknown.collect::<Vec<_>>() {
            let class = Class { name: unknown, write: false, freshness: "eventual".into(), deadline_ms: 100 };
            let answer = client.query(&class.statement("u", "k", 100));
            assert!(
                matches!(&answer, Response::Error(code, _) if code == "42601"),
                "{name}: {}: {answer:?}",
                class.name
            );
        }
        // The connection goes on.
        assert_eq!(client.query(""), Response::Empty);
    }
}

#[test]
fn deadline_of_each_class_ends_its_requests() {
    for (name, settings) in sites() {
        let site = Site::start(&settings);
        let warm = Client::connect(site.addr);
        for class in site.classes() {
            let by =
                if matches!(class.freshness.as_str(), "mutate" | "strong") { "primary" } else { "replica" };
            warm.query_until_served_by(
                &class.statement(&format!("warm-{}", class.name), "k", PATIENT_MS),
                by,
            );
        }
        [&site.primary, &site.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Silent));
        // All at once: each waits for its own time.
        let asked: Vec<_> = site
            .classes()
            .map(|class| {
                let client = Client::connect(site.addr);
                let sql = class.statement(&format!("late-{}", class.name), "k", PATIENT_MS);
                let own = class.deadline_ms;
                let wait = std::thread::spawn(move || {
                    let begun = Instant::now();
                    let answer = client.query(&sql);
                    (answer, begun.elapsed())
                });
                (class.name, own, wait)
            })
            .collect();
        for (class, deadline_ms, wait) in asked {
            let (answer, took) = wait.join().unwrap();
            assert!(failed(&answer), "{name}: {class}: {answer:?}");
            // Far under any other customer's figure times ten; far over what a busy machine needs.
            let most = Duration::from_millis(deadline_ms) + Duration::from_secs(5);
            assert!(took < most, "{name}: {class} took {took:?}, its deadline is {deadline_ms} ms");
        }
    }
}

#[test]
fn rejection_has_retry_after_only_where_configured() {
    for (name, settings) in sites() {
        let site = Site::start(&settings);
        let class = site.classes().find(|c| !c.write).unwrap();
        // Nothing can be served within a millisecond.
        let answer = Client::connect(site.addr).query(&class.statement("r", "k", 1));
        let Response::Error(code, come_back) = answer else { panic!("{name}: {answer:?}") };
        assert_eq!(code, "53300", "{name}");
        let limits = &settings["limits"];
        let most = limits["maxRetryAfterMs"].as_f64().unwrap();
        if limits["retryAfter"].as_bool().unwrap() {
            assert!(
                come_back.as_ref().is_some_and(|d| (1.0..=most).contains(&d.parse().unwrap())),
                "{name}: {come_back:?}"
            );
        } else {
            assert_eq!(come_back, None, "{name}");
        }
    }
}

#[test]
fn remembered_session_reads_from_no_stale_instance() {
    let (name, settings) = sites().find(|(_, s)| s["extra"]["writeMarks"] == "kept").unwrap();
    let site = Site::start(&settings);
    let client = Client::connect(site.addr);
    let (read, write) = (
        site.classes().find(|c| c.freshness == "causal").unwrap(),
        site.classes().find(|c| c.write).unwrap(),
    );
    // The replica is known, and stands far behind from now on.
    client.query_until_served_by(&read.statement("first", "other", PATIENT_MS), "replica");
    let told = unix_ms();
    site.replica.0.lag_ms.store(60_000, Ordering::SeqCst);
    // Positions are whole milliseconds: the commit is to be of a later one than what the replica has told.
    while unix_ms() <= told {
        std::hint::spin_loop();
    }
    client.query_until_served_by(&write.statement("w", "mine", PATIENT_MS), "primary");
    // Its position is as of before the write: only the primary proves that it has it. Positions only rise, so what
    // the replica says from here on proves nothing.
    assert_eq!(client.query(&read.statement("r", "mine", PATIENT_MS)), served("primary"), "{name}");
    // A session that has written nothing is served by either.
    assert!(!failed(&client.query(&read.statement("s", "other", PATIENT_MS))), "{name}");
}

#[test]
fn commit_ahead_of_every_clock_is_answered() {
    let (name, settings) = sites().find(|(_, s)| s["extra"]["writeMarks"] == "brought").unwrap();
    let site = Site::start(&settings);
    let client = Client::connect(site.addr);
    let (read, other) = (
        site.classes().find(|c| c.freshness == "causal").unwrap(),
        site.classes().find(|c| c.freshness == "lag_bound").unwrap(),
    );
    client.query_until_served_by(&other.statement("first", "k", PATIENT_MS), "replica");
    // Whoever it goes to is too far behind, and says so.
    [&site.primary, &site.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Error("72000")));
    let ahead =
        read.statement("far", "k", PATIENT_MS).replace(",cluster=", &format!(",after={},cluster=", i64::MAX));
    assert!(failed(&client.query(&ahead)), "{name}");
    [&site.primary, &site.replica].iter().for_each(|i| i.0.set_behavior(Behavior::Serve));
    client.query_until_served_by(&other.statement("then", "k", PATIENT_MS), "replica");
}

const THREE_DAYS_MS: u64 = 3 * 86_400_000;

#[test]
fn deadline_of_days_is_not_truncated() {
    let (name, mut settings) = sites().next().unwrap();
    let at = classes(&settings).position(|c| c.write).unwrap();
    settings["classes"][at]["deadlineMs"] = json!(THREE_DAYS_MS);
    let site = Site::start(&settings);
    let write = site.classes().nth(at).unwrap();
    Client::connect(site.addr)
        .query_until_served_by(&write.statement("w", "k", THREE_DAYS_MS - 1000), "primary");
    let sent = site.primary.1.recv_timeout(TIMEOUT).unwrap();
    assert!((2 * 86_400_000..THREE_DAYS_MS).contains(&told_ms(&sent)), "{name}: {sent}");
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
        let site = Site::start(&settings);
        let client = Client::connect(site.addr);
        assert_eq!(client.query(""), Response::Empty);
        site.classes().for_each(|class| {
            client.query_until_served_by(&class.statement("r", "k", PATIENT_MS), "replica");
        });
        let unknown =
            Class { name: "none".into(), write: false, freshness: "eventual".into(), deadline_ms: 1 };
        let answer = client.query(&unknown.statement("u", "k", 100));
        assert!(matches!(&answer, Response::Error(code, _) if code == "42601"), "{n} classes: {answer:?}");
    }
}
