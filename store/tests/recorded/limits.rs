//! Rejections by limits, whose texts are sent to clients and stored in snapshots.
use crate::fixtures::FIXTURES;
use crate::samples::{set, update};
use std::fmt::Write;
use store::command::{Command, CommandResponse, Operation};
use store::limits::StoreLimits;
use store::machine::StateMachine;
use testkit::hex;

fn limits() -> StoreLimits {
    StoreLimits {
        max_keys: 2,
        max_total_bytes: 10,
        max_lease_names: 1,
        max_keys_per_lease: 1,
        ..StoreLimits::default()
    }
}

fn grant(name: &str, ttl_ms: u64) -> Operation {
    Operation::Grant { name: name.into(), ttl_ms }
}

/// Sets a key that is attached to the lease of this epoch.
fn attached(key: &str, epoch: u64) -> Operation {
    let update = update(key, Some("1"), None);
    Operation::Update { update, fencing_token: None, lease_epoch: Some(epoch) }
}

/// Applies the operations and returns the response to the last one, which must be the only one rejected.
fn rejected(operations: &[Operation]) -> CommandResponse {
    let mut machine = StateMachine::new(limits());
    let (last, before) = operations.split_last().unwrap();
    let write = |operation: &Operation| Command::Write { origin: None, operation: operation.clone() };
    for (index, operation) in (1..).zip(before) {
        machine.apply(index, write(operation)).response.result.unwrap();
    }
    let applied = machine.apply(before.len() as u64 + 1, write(last));
    assert!(applied.response.result.is_err() && applied.changes.is_none());
    applied.response
}

#[test]
fn rejections_by_limits_keep_their_bytes() {
    let not_initialized = StateMachine::new(limits()).apply(1, Command::RegisterClient).response;
    assert!(not_initialized.result.is_err());
    let responses = [
        ("not_initialized", not_initialized),
        ("max_keys", rejected(&[set("a", "1"), set("b", "1"), set("c", "1")])),
        ("max_total_bytes", rejected(&[set("a", "1234567"), set("b", "12")])),
        ("max_lease_names", rejected(&[grant("n", 1000), grant("m", 1000)])),
        ("max_keys_per_lease", rejected(&[grant("n", 1000), attached("a", 1), attached("b", 1)])),
        ("value_bytes", rejected(&[set("a", &"x".repeat(65_537))])),
        ("lease_name_bytes", rejected(&[grant(&"n".repeat(513), 1000)])),
        ("key_bytes", rejected(&[set("", "1")])),
        ("ttl", rejected(&[grant("n", 199)])),
    ];
    let mut output = String::new();
    for (name, response) in responses {
        writeln!(output, "{name} {}", hex::encode(&postcard::to_allocvec(&response).unwrap())).unwrap();
    }
    FIXTURES.assert_same("limit_rejections.txt", &output);
}
