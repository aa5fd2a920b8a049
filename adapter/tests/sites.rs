//! Runs the adapter with the settings of two example customers in `deploy/sites/`.
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

/// A running adapter that handles one batch at a time.
struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    turn: u64,
}

impl Adapter {
    fn start() -> Adapter {
        let mut child = spawn_adapter();
        let input = child.stdin.take().expect("standard input");
        let output = BufReader::new(child.stdout.take().expect("standard output"));
        Adapter { child, input, output, turn: 0 }
    }

    /// Sends one batch and returns the resulting commands.
    fn batch(&mut self, time_ms: f64, arrivals: Value) -> Vec<Value> {
        let line = json!({"simTimeMs": time_ms, "turn": self.turn, "arrivals": arrivals});
        writeln!(self.input, "{line}").expect("the adapter accepts input");
        let mut response = String::new();
        self.output.read_line(&mut response).expect("the adapter responds");
        let response: Value = serde_json::from_str(&response).expect("the response is JSON");
        assert_eq!(response["turn"], self.turn);
        self.turn += 1;
        response["cmds"].as_array().expect("cmds is an array").clone()
    }
}

fn row(member: &str, hall: usize) -> Value {
    json!({"member": member, "hall": hall, "familyType": 0, "shard": 11, "status": 1, "powerHint": 1})
}

const PRIMARY: &str = "10.0.0.1:9000";
const REPLICA: &str = "10.0.0.2:9000";

#[test]
fn customer_classes_are_served_within_their_deadlines() {
    for (name, text) in SITES {
        let settings: Value = serde_json::from_str(text).expect("JSON");
        let position_zero = settings["extra"]["positionZeroMs"].as_f64().expect("positionZeroMs is a number");
        let deadlines: Vec<f64> = settings["classes"]
            .as_array()
            .expect("classes")
            .iter()
            .map(|c| c["deadlineMs"].as_f64().expect("deadlineMs is a number"))
            .collect();
        let freshness: Vec<&str> = settings["extra"]["freshness"]
            .as_array()
            .expect("freshness values")
            .iter()
            .filter_map(Value::as_str)
            .collect();
        let mut adapter = Adapter::start();
        let start = position_zero + 50_000.0;
        // The member list may contain zones that the settings do not name.
        let zone_count = settings["failureDomains"].as_array().expect("zones").len();
        let first = adapter.batch(
            start,
            json!([
                {"UP": {"driver": "driver_7", "nonce64": 4711, "settings": settings}},
                {"SNAPSHOT_ROWS": {"slot": 0, "members": [row(PRIMARY, 0), row(REPLICA, zone_count + 1)]}},
                {"TARGETS": {"driver": "driver_7", "rev": 1, "slot": 0, "scope": 2}}
            ]),
        );
        assert_eq!(first, Vec::<Value>::new(), "{name}: no commands before the first request");
        let mut served = vec![0; deadlines.len()];
        for round in 0..40 {
            let time_ms = start + 1000.0 + 200.0 * f64::from(round);
            let accepts: Vec<Value> = (0..deadlines.len())
                .map(|class| {
                    let mut accept = json!({"driver": "driver_7", "req": format!("r-{round}-{class}"),
                        "tierClass": class, "expiresInMs": deadlines[class], "cluster": 11});
                    if matches!(freshness[class], "mutate" | "causal") {
                        accept["key"] = json!("s:a");
                        accept["isWrite"] = json!(freshness[class] == "mutate");
                    }
                    json!({ "ACCEPT": accept })
                })
                .collect();
            let mut commands = adapter.batch(time_ms, json!(accepts));
            let mut now_ms = time_ms;
            // Both members respond to attempts and probes after a few milliseconds.
            let mut attempts: HashMap<String, u32> = HashMap::new();
            while !commands.is_empty() {
                now_ms += 5.0;
                let mut events = Vec::new();
                for command in &commands {
                    let (command_name, body) =
                        command.as_object().and_then(|o| o.iter().next()).expect("a command with one key");
                    let primary = body["member"] == PRIMARY;
                    let position = (now_ms - position_zero).floor();
                    let mark = 4 * position as u64 + if primary { 1 } else { 2 };
                    match command_name.as_str() {
                        "PLACE" => {
                            let request = body["req"].as_str().expect("req is a string");
                            let class: usize =
                                request.rsplit('-').next().and_then(|c| c.parse().ok()).expect("a class");
                            let timeout = body["patienceMs"].as_f64().expect("patienceMs is a number");
                            assert!(
                                timeout > 0.0 && timeout <= deadlines[class],
                                "{name}: class {class} has a timeout of {timeout} ms and a deadline of {} ms",
                                deadlines[class]
                            );
                            let attempt_count = attempts.entry(request.to_string()).or_insert(0);
                            let attempt = std::mem::replace(attempt_count, *attempt_count + 1);
                            let not_eligible = freshness[class] == "mutate" && !primary;
                            served[class] += usize::from(!not_eligible);
                            events.push(json!({"OUTCOME": {"driver": "driver_7", "req": request,
                                "attempt": attempt, "member": body["member"],
                                "ending": if not_eligible { 8 } else { 0 }, "waitTimeMs": 5.0, "mark": mark,
                                "over": !not_eligible}}));
                        }
                        "SOUND_OUT" => events.push(json!({"PING_RESULT": {"driver": "driver_7",
                            "member": body["member"], "ending": 0, "waitTimeMs": 1.0,
                            "telemetry": {"x0": position / 1000.0, "x1": u8::from(primary), "backlog": 0}}})),
                        "NOTIFY_ME" => {
                            events.push(json!({"WAKE": {"driver": "driver_7", "ref": body["ref"]}}));
                        }
                        // Rejections are allowed only until the router knows the members' roles.
                        "SHED" | "DROP_REQUEST" => assert!(round < 5, "{name}: {command}"),
                        other => panic!("{name}: {other}"),
                    }
                }
                // The router keeps requesting wake-ups, so the round ends 150 ms after its start.
                commands =
                    if now_ms < time_ms + 150.0 { adapter.batch(now_ms, json!(events)) } else { Vec::new() };
            }
        }
        for (class, served) in served.iter().enumerate() {
            assert!(*served >= 35, "{name}: class {class} was served {served} of 40 times");
        }
        // A class index beyond the configured classes is reported as an error and ends the adapter.
        let invalid_batch = json!({"simTimeMs": start + 60_000.0, "turn": adapter.turn,
            "arrivals": [{"ACCEPT": {"driver": "driver_7", "req": "x", "tierClass": deadlines.len(),
            "expiresInMs": 9.0, "cluster": 11}}]});
        writeln!(adapter.input, "{invalid_batch}").expect("the adapter accepts input");
        drop(adapter.input);
        assert!(!adapter.child.wait().expect("the adapter ends").success(), "{name}");
    }
}

#[test]
fn out_of_range_numbers_are_reported_by_key() {
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
    let out_of_range = (1u64 << 32) + 11;
    for (events, key) in [
        (json!([accept("cluster", json!(out_of_range))]), "cluster"),
        (json!([accept("expiresInMs", json!(1e300))]), "expiresInMs"),
        (json!([accept("lastWriteMs", json!(1e300))]), "lastWriteMs"),
        (json!([listed("shard", json!(out_of_range)), targets]), "shard"),
        (json!([listed("hall", json!(out_of_range)), targets]), "hall"),
    ] {
        let mut adapter = Adapter::start();
        adapter.batch(1000.0, json!([{"UP": {"driver": "driver_7", "nonce64": 1, "settings": settings}}]));
        adapter.batch(
            1001.0,
            json!([{"SNAPSHOT_ROWS": {"slot": 0, "members": [row(PRIMARY, 0), row(REPLICA, 1)]}}, targets]),
        );
        let line = json!({"simTimeMs": 1002.0, "turn": adapter.turn, "arrivals": events});
        writeln!(adapter.input, "{line}").expect("the adapter accepts input");
        // If the adapter accepts the event, it ends successfully at the end of its input.
        drop(adapter.input);
        let output = adapter.child.wait_with_output().expect("the adapter ends");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && stderr.contains(key) && stderr.lines().count() == 1,
            "{key}: {stderr}"
        );
    }
}
