//! Compares the adapter's output with hand-written transcripts.
mod common;

use common::spawn_adapter;
use serde_json::{Value, json};
use std::io::Write;
use std::process::Output;

fn run(lines: &[String]) -> Output {
    let mut child = spawn_adapter();
    let mut input = child.stdin.take().expect("standard input");
    let text = lines.join("\n") + "\n";
    // The adapter may stop reading at a malformed line.
    let _ = input.write_all(text.as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(turn: u64, time_ms: f64, arrivals: Value) -> String {
    json!({ "simTimeMs": time_ms, "turn": turn, "arrivals": arrivals }).to_string()
}

fn start_event() -> Value {
    start_event_with("bounce")
}

fn start_event_with(when_behind: &str) -> Value {
    let class = |semantics: &str, group: &str| {
        json!({"objectiveMs": 400.0, "deadlineMs": 1200.0, "semantics": semantics, "group": group,
            "repeatWindowMs": 3000.0, "worth": 1.0, "lateWorth": 0.0, "name": "x", "streaming": false})
    };
    json!({"UP": {"driver": "driver_0", "nonce64": 9, "settings": {
        "classes": [class("idempotency_key", "cell"), class("read_like", "all")],
        "contract": {"coldFrom": 0.2, "coldMs": 9000.0, "drainGraceMs": 500.0, "overloadFactor": 3.0,
            "tipAfterMs": 2000.0},
        "extra": {"freshness": ["mutate", "eventual"], "oldestDataMs": [0.0, 0.0], "positionZeroMs": 500.0,
            "whenBehind": when_behind, "writeMarks": "brought", "aNewKey": [1]},
        "limits": {"cancel": true, "dialTimeoutMs": 250.0, "mayDuplicate": false, "mostTries": 6,
            "probes": true, "retryAfter": true, "maxRetryAfterMs": 1000.0},
        "membershipMode": "automatic", "replicasOfMe": 2, "roundMs": 5.0, "zone": 0}}})
}

fn list_event() -> Value {
    let row = |name: &str| {
        json!({"member": name, "hall": 0, "familyType": 0, "shard": 3, "status": 1,
        "powerHint": 1})
    };
    json!({"SNAPSHOT_ROWS": {"slot": 0, "members": [row("10.0.0.1:9000"), row("10.0.0.2:9000")]}})
}

fn start_batch() -> String {
    batch(
        0,
        1000.0,
        json!([start_event(), list_event(),
            {"TARGETS": {"driver": "driver_0", "rev": 1, "slot": 0, "scope": 2}}]),
    )
}

#[test]
fn write_goes_to_member_that_reports_itself_primary() {
    let probed = json!({"PING_RESULT": {"driver": "driver_0", "member": "10.0.0.2:9000", "ending": 0,
        "waitTimeMs": 1.0, "telemetry": {"x0": 0.5, "x1": 0, "somethingNew": 4}}});
    let accept = |req: &str| {
        json!({"ACCEPT": {"driver": "driver_0", "req": req, "tierClass": 0, "key": "s:a", "expiresInMs": 1200.0,
            "cluster": 3, "isWrite": true}})
    };
    let outcome = |attempt: u8, member: &str, ending: u8, mark: u16| {
        json!({"OUTCOME": {"driver": "driver_0", "req": "r-1", "attempt": attempt, "member": member,
            "ending": ending, "waitTimeMs": 9.0, "mark": mark, "over": ending == 0}})
    };
    let disconnected = json!({"CLIENT_LEFT": {"driver": "driver_0", "req": "never-seen"}});
    let output = run(&[
        start_batch(),
        batch(1, 1005.0, json!([accept("r-1")])),
        batch(2, 1010.0, json!([outcome(0, "10.0.0.2:9000", 8, 4 * 500 + 2)])),
        batch(3, 1020.0, json!([outcome(1, "10.0.0.1:9000", 0, 4 * 530 + 1), disconnected, probed])),
        batch(4, 1030.0, json!([accept("r-2")])),
    ]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let responses: Vec<Value> = String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(|l| serde_json::from_str(l).expect("the response is JSON"))
        .collect();
    // A member that is not eligible makes the router try the next one, and that member's response determines
    // the primary for later writes.
    let attempts_sent = |turn: usize| {
        let commands = responses[turn]["cmds"].as_array().expect("cmds is an array");
        commands.iter().map(|c| (c["PLACE"]["req"].clone(), c["PLACE"]["member"].clone())).collect::<Vec<_>>()
    };
    assert_eq!(responses[0], json!({"turn": 0, "cmds": []}));
    assert_eq!(attempts_sent(1), [(json!("r-1"), json!("10.0.0.2:9000"))]);
    assert_eq!(attempts_sent(2), [(json!("r-1"), json!("10.0.0.1:9000"))]);
    assert_eq!(responses[3], json!({"turn": 3, "cmds": []}));
    assert_eq!(attempts_sent(4), [(json!("r-2"), json!("10.0.0.1:9000"))]);
}

#[test]
fn restart_and_reused_list_slot_within_batch_follow_order_of_events() {
    let second_list = json!({"SNAPSHOT_ROWS": {"slot": 0, "members": [
        {"member": "10.0.0.9:9000", "hall": 0, "familyType": 0, "shard": 3, "status": 1, "powerHint": 1}]}});
    let empty_list = json!({"SNAPSHOT_ROWS": {"slot": 1, "members": []}});
    let targets = |slot: u8, scope: u8| {
        json!({"TARGETS": {"driver": "driver_0", "rev": 1, "slot": slot,
        "scope": scope}})
    };
    let accept = |req: &str, timeout_ms: f64| {
        json!({"ACCEPT": {"driver": "driver_0", "req": req,
        "tierClass": 1, "expiresInMs": timeout_ms, "cluster": 3}})
    };
    let retire = json!({"RETIRE": {"driver": "driver_0"}});
    let events = json!([
        start_event_with("silent"),
        list_event(),
        targets(0, 2),
        accept("r-0", 900.0),
        retire,
        start_event_with("silent"),
        second_list,
        targets(0, 2),
        accept("r-0", 900.0),
        empty_list,
        targets(1, 0),
        accept("r-1", 0.0)
    ]);
    let output = run(&[batch(0, 1000.0, events)]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let response: Value = serde_json::from_slice(&output.stdout).expect("the response is JSON");
    let commands = response["cmds"].as_array().expect("cmds is an array");
    let probed: Vec<&Value> =
        commands.iter().filter_map(|c| c.get("SOUND_OUT").map(|s| &s["member"])).collect();
    assert_eq!(probed, [&json!("10.0.0.1:9000"), &json!("10.0.0.2:9000"), &json!("10.0.0.9:9000")]);
    // A request with a deadline of zero in a group without members is rejected immediately.
    assert!(commands.iter().any(|c| c["SHED"]["req"] == "r-1"), "{response}");
}

#[test]
fn malformed_input_is_reported_and_ends_adapter() {
    let accept = |body: Value| batch(1, 1005.0, json!([{ "ACCEPT": body }]));
    let cases = [
        ("{".to_string(), "JSON"),
        (batch(1, 1005.0, json!([{"WAKE": {"driver": "driver_9", "ref": 0}}])), "driver_9"),
        (accept(json!({"driver": "driver_0", "req": "r", "tierClass": 0, "expiresInMs": 9.0})), "cluster"),
        (
            accept(
                json!({"driver": "driver_0", "req": "r", "tierClass": 7, "expiresInMs": 9.0, "cluster": 3}),
            ),
            "tierClass",
        ),
        (batch(1, 1005.0, json!([{"NOISE": {"driver": "driver_0"}}])), "NOISE"),
        (
            batch(1, 1005.0, json!([{"TARGETS": {"driver": "driver_0", "rev": 2, "slot": 9, "scope": 0}}])),
            "list 9",
        ),
    ];
    for (line, expected_text) in cases {
        let output = run(&[start_batch(), line]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "accepted input without the error: {expected_text}");
        assert!(stderr.lines().count() == 1 && stderr.contains(expected_text), "{stderr}");
    }
}
