//! The adapter under the settings of customers it has never met: `deploy/sites/`.
mod common;

use common::spawn_adapter;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout};

const SITES: [(&str, &str); 2] = [
    ("hafnarfjordur-lager", include_str!("../../deploy/sites/hafnarfjordur-lager/settings.json")),
    ("akureyri-skjol", include_str!("../../deploy/sites/akureyri-skjol/settings.json")),
];

/// A running adapter, asked batch by batch.
struct Adapter {
    child: Child,
    to: ChildStdin,
    from: BufReader<ChildStdout>,
    turn: u64,
}

impl Adapter {
    fn start() -> Adapter {
        let mut child = spawn_adapter();
        let to = child.stdin.take().expect("standard input");
        let from = BufReader::new(child.stdout.take().expect("standard output"));
        Adapter { child, to, from, turn: 0 }
    }

    /// One batch, and the actions that answer it.
    fn batch(&mut self, at: f64, arrivals: Value) -> Vec<Value> {
        let line = json!({"simTimeMs": at, "turn": self.turn, "arrivals": arrivals});
        writeln!(self.to, "{line}").expect("the adapter reads");
        let mut reply = String::new();
        self.from.read_line(&mut reply).expect("the adapter answers");
        let reply: Value = serde_json::from_str(&reply).expect("a reply is JSON");
        assert_eq!(reply["turn"], self.turn);
        self.turn += 1;
        reply["cmds"].as_array().expect("an array").clone()
    }
}

fn row(member: &str, hall: usize) -> Value {
    json!({"member": member, "hall": hall, "familyType": 0, "shard": 11, "status": 1, "powerHint": 1})
}

const PRIMARY: &str = "10.0.0.1:9000";
const REPLICA: &str = "10.0.0.2:9000";

#[test]
fn each_class_of_a_customers_own_is_placed_within_its_deadline_round_after_round() {
    for (name, text) in SITES {
        let settings: Value = serde_json::from_str(text).expect("JSON");
        let zero = settings["extra"]["positionZeroMs"].as_f64().expect("a number");
        let deadlines: Vec<f64> = settings["classes"]
            .as_array()
            .expect("classes")
            .iter()
            .map(|c| c["deadlineMs"].as_f64().expect("a number"))
            .collect();
        let words: Vec<&str> = settings["extra"]["freshness"]
            .as_array()
            .expect("words")
            .iter()
            .filter_map(Value::as_str)
            .collect();
        let mut adapter = Adapter::start();
        let start = zero + 50_000.0;
        // There may be more zones than the settings name.
        let halls = settings["failureDomains"].as_array().expect("zones").len();
        let first = adapter.batch(
            start,
            json!([
                {"UP": {"driver": "driver_7", "nonce64": 4711, "settings": settings}},
                {"SNAPSHOT_ROWS": {"slot": 0, "members": [row(PRIMARY, 0), row(REPLICA, halls + 1)]}},
                {"TARGETS": {"driver": "driver_7", "rev": 1, "slot": 0, "scope": 2}}
            ]),
        );
        assert_eq!(first, Vec::<Value>::new(), "{name}: nothing is asked before it is wanted");
        let mut served = vec![0; deadlines.len()];
        for round in 0..40 {
            let at = start + 1000.0 + 200.0 * f64::from(round);
            let accepts: Vec<Value> = (0..deadlines.len())
                .map(|class| {
                    let mut accept = json!({"driver": "driver_7", "req": format!("r-{round}-{class}"),
                        "tierClass": class, "expiresInMs": deadlines[class], "cluster": 11});
                    if matches!(words[class], "mutate" | "causal") {
                        accept["key"] = json!("s:a");
                        accept["isWrite"] = json!(words[class] == "mutate");
                    }
                    json!({ "ACCEPT": accept })
                })
                .collect();
            let mut commands = adapter.batch(at, json!(accepts));
            let mut now = at;
            // What is placed or probed is answered a few milliseconds later, as these two would.
            let mut attempts: HashMap<String, u32> = HashMap::new();
            while !commands.is_empty() {
                now += 5.0;
                let mut answers = Vec::new();
                for command in &commands {
                    let (word, body) = command.as_object().and_then(|o| o.iter().next()).expect("one key");
                    let primary = body["member"] == PRIMARY;
                    let position = (now - zero).floor();
                    let mark = 4 * position as u64 + if primary { 1 } else { 2 };
                    match word.as_str() {
                        "PLACE" => {
                            let request = body["req"].as_str().expect("an id");
                            let class: usize =
                                request.rsplit('-').next().and_then(|c| c.parse().ok()).expect("its class");
                            let patience = body["patienceMs"].as_f64().expect("a number");
                            assert!(
                                patience > 0.0 && patience <= deadlines[class],
                                "{name}: class {class} waits {patience} ms of {}",
                                deadlines[class]
                            );
                            let sent = attempts.entry(request.to_string()).or_insert(0);
                            let attempt = std::mem::replace(sent, *sent + 1);
                            let turned_away = words[class] == "mutate" && !primary;
                            served[class] += usize::from(!turned_away);
                            answers.push(json!({"OUTCOME": {"driver": "driver_7", "req": request,
                                "attempt": attempt, "member": body["member"],
                                "ending": if turned_away { 8 } else { 0 }, "waitTimeMs": 5.0, "mark": mark,
                                "over": !turned_away}}));
                        }
                        "SOUND_OUT" => answers.push(json!({"PING_RESULT": {"driver": "driver_7",
                            "member": body["member"], "ending": 0, "waitTimeMs": 1.0,
                            "telemetry": {"x0": position / 1000.0, "x1": u8::from(primary), "backlog": 0}}})),
                        "NOTIFY_ME" => {
                            answers.push(json!({"WAKE": {"driver": "driver_7", "ref": body["ref"]}}));
                        }
                        // A refusal is allowed only while it does not know who is who.
                        "SHED" | "DROP_REQUEST" => assert!(round < 5, "{name}: {command}"),
                        other => panic!("{name}: {other}"),
                    }
                }
                // A timer that keeps coming ends with the round.
                commands = if now < at + 150.0 { adapter.batch(now, json!(answers)) } else { Vec::new() };
            }
        }
        for (class, served) in served.iter().enumerate() {
            assert!(*served >= 35, "{name}: class {class} was served {served} of 40 times");
        }
        // One class more than there are is named, and ends it.
        let beyond = json!({"simTimeMs": start + 60_000.0, "turn": adapter.turn, "arrivals": [{"ACCEPT":
            {"driver": "driver_7", "req": "x", "tierClass": deadlines.len(), "expiresInMs": 9.0, "cluster": 11}}]});
        writeln!(adapter.to, "{beyond}").expect("the adapter reads");
        drop(adapter.to);
        assert!(!adapter.child.wait().expect("the adapter ends").success(), "{name}");
    }
}

#[test]
fn figures_that_would_be_cut_or_run_over_are_named() {
    let settings: Value = serde_json::from_str(SITES[0].1).expect("JSON");
    let accept = |key: &str, value: Value| {
        let mut body =
            json!({"driver": "driver_7", "req": "x", "tierClass": 1, "expiresInMs": 9.0, "cluster": 11});
        body[key] = value;
        json!({ "ACCEPT": body })
    };
    let listed = |key: &str, value: Value| {
        let mut row = row(PRIMARY, 0);
        row[key] = value;
        json!({"SNAPSHOT_ROWS": {"slot": 0, "members": [row]}})
    };
    let targets = json!({"TARGETS": {"driver": "driver_7", "rev": 1, "slot": 0, "scope": 0}});
    let wide = (1u64 << 32) + 11;
    for (events, key) in [
        (json!([accept("cluster", json!(wide))]), "cluster"),
        (json!([accept("expiresInMs", json!(1e300))]), "expiresInMs"),
        (json!([accept("lastWriteMs", json!(1e300))]), "lastWriteMs"),
        (json!([listed("shard", json!(wide)), targets]), "shard"),
        (json!([listed("hall", json!(wide)), targets]), "hall"),
    ] {
        let mut adapter = Adapter::start();
        adapter.batch(1000.0, json!([{"UP": {"driver": "driver_7", "nonce64": 1, "settings": settings}}]));
        adapter.batch(
            1001.0,
            json!([{"SNAPSHOT_ROWS": {"slot": 0, "members": [row(PRIMARY, 0), row(REPLICA, 1)]}}, targets]),
        );
        let line = json!({"simTimeMs": 1002.0, "turn": adapter.turn, "arrivals": events});
        writeln!(adapter.to, "{line}").expect("the adapter reads");
        // One that takes it ends with its input.
        drop(adapter.to);
        let end = adapter.child.wait_with_output().expect("the adapter ends");
        let said = String::from_utf8_lossy(&end.stderr);
        assert!(!end.status.success() && said.contains(key) && said.lines().count() == 1, "{key}: {said}");
    }
}
