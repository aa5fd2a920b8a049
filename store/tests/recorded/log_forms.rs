//! The stored forms: commands in the log, snapshots, and the log file.
use crate::fixtures::{FIXTURES, recorded_bytes};
use crate::samples::{
    commands, entry, hard_state, log_entries, populated_limits, populated_machine, raft_snapshot, set,
    single_node, update, value,
};
use std::fmt::Write;
use store::command::{Command, CommandEffect, RequestOrigin};
use store::limits::StoreLimits;
use store::log_file::LogFile;
use store::machine::StateMachine;
use testkit::hex;

#[test]
fn log_commands_keep_their_bytes() {
    let mut output = String::new();
    for (name, command) in commands() {
        writeln!(output, "{name} {}", hex::encode(&command.encode().unwrap())).unwrap();
    }
    FIXTURES.assert_same("log_commands.txt", &output);
    let recorded = FIXTURES.text("log_commands.txt");
    for (name, command) in commands() {
        assert_eq!(Command::decode(&recorded_bytes(&recorded, &name)), Some(command), "{name}");
    }
}

#[test]
fn legacy_json_commands_are_read() {
    let recorded = FIXTURES.text("legacy_commands.txt");
    let read: Vec<_> = recorded.lines().map(|line| Command::decode(line.as_bytes())).collect();
    let expected = [
        update("a", Some("2"), Some(1)),
        update("a", Some("2"), None),
        update("b/\u{e9}", Some("say \"x\""), None),
        update("a", None, Some(4)),
    ];
    assert_eq!(read, expected.map(|update| Some(Command::LegacyUpdate(update))));
}

#[test]
fn legacy_json_snapshot_is_read() {
    let machine =
        StateMachine::decode(FIXTURES.text("legacy_snapshot.json").trim().as_bytes(), StoreLimits::default())
            .unwrap();
    let state = machine.state();
    assert_eq!((state.store_id, state.applied_index, state.revision), (0, 9, 9));
    let keys: Vec<_> = state.with_prefix("").map(|(k, v)| (k.to_string(), v.clone())).collect();
    assert_eq!(
        keys,
        [("a".to_string(), value(1, 9, None, "1")), ("b".to_string(), value(7, 9, None, "x y"))]
    );
}

#[test]
fn snapshot_keeps_its_bytes() {
    let machine = populated_machine();
    FIXTURES.assert_same("snapshot.hex", &(hex::encode(&machine.encode().unwrap()) + "\n"));
    let recorded = hex::decode(&FIXTURES.text("snapshot.hex"));
    let read = StateMachine::decode(&recorded, populated_limits()).unwrap();
    assert_eq!(read, machine);
    assert_eq!(read.encode().unwrap(), recorded);
}

#[test]
fn log_file_keeps_its_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let entries = log_entries();
    let (mut log_file, contents) = LogFile::open(folder.path()).unwrap();
    assert!(contents.entries.is_empty() && contents.torn_bytes == 0);
    log_file.rewrite(&raft_snapshot(), &entries[..2], &hard_state(2, 3, 21)).unwrap();
    FIXTURES.assert_same("log_rewritten.hex", &(hex::encode(&std::fs::read(&path).unwrap()) + "\n"));
    log_file.append(&entries[2..], Some(&hard_state(3, 1, 24))).unwrap();
    log_file.append(&[], Some(&hard_state(4, 0, 24))).unwrap();
    // An entry of a new leader replaces the existing one at its index and all later ones.
    log_file.append(&[entry(25, 4, b"{}")], None).unwrap();
    log_file.append(&[], None).unwrap();
    FIXTURES.assert_same("log_appended.hex", &(hex::encode(&std::fs::read(&path).unwrap()) + "\n"));
}

#[test]
fn recorded_log_file_is_read_and_its_torn_tail_is_truncated() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let recorded = hex::decode(&FIXTURES.text("log_appended.hex"));
    for torn in [&b""[..], b"\x50\0\0\0torn off"] {
        std::fs::write(&path, [&recorded[..], torn].concat()).unwrap();
        let (_, contents) = LogFile::open(folder.path()).unwrap();
        assert_eq!(contents.torn_bytes, torn.len() as u64);
        assert_eq!(contents.hard_state, hard_state(4, 0, 24));
        assert_eq!(contents.snapshot, raft_snapshot());
        let expected = [&log_entries()[..4], &[entry(25, 4, b"{}")]].concat();
        assert_eq!(contents.entries, expected);
        assert_eq!(std::fs::read(&path).unwrap(), recorded);
    }
}

#[test]
fn damage_before_an_acknowledged_record_is_an_error_and_the_file_is_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let recorded = hex::decode(&FIXTURES.text("log_appended.hex"));
    let (_, last_record) = record_bounds(&recorded).pop().unwrap();
    for (first, end) in record_bounds(&recorded) {
        // A changed byte in a body, a changed length, and a record kind of a later program version.
        let mut in_body = recorded.clone();
        in_body[end - 1] ^= 1;
        let mut in_length = recorded.clone();
        in_length[first + 1] ^= 0xff;
        let mut unknown_kind = recorded.clone();
        unknown_kind[first + 8] = 9;
        let checksum = crc32fast::hash(&unknown_kind[first + 8..end]);
        unknown_kind[first + 4..first + 8].copy_from_slice(&checksum.to_le_bytes());
        for (damaged, is_error) in
            [(in_body, end != last_record), (in_length, end != last_record), (unknown_kind, true)]
        {
            std::fs::write(&path, &damaged).unwrap();
            let opened = LogFile::open(folder.path());
            assert_eq!(opened.is_err(), is_error, "record {first}..{end}");
            if let Err(error) = opened {
                assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
                assert_eq!(std::fs::read(&path).unwrap(), damaged, "a damaged log file was changed");
            }
        }
    }
}

/// The start and end offsets of the records of a log.
fn record_bounds(log: &[u8]) -> Vec<(usize, usize)> {
    let mut bounds = Vec::new();
    let mut at = 0;
    while at < log.len() {
        let length = u32::from_le_bytes(log[at..at + 4].try_into().unwrap()) as usize;
        bounds.push((at, at + 8 + length));
        at += 8 + length;
    }
    bounds
}

#[test]
fn log_file_of_a_new_store_has_the_recorded_entries() {
    let folder = tempfile::tempdir().unwrap();
    let store = single_node(Some(folder.path().to_path_buf()));
    store.update(update("a", Some("1"), Some(0))).unwrap();
    let (store_id, client_id) = match store.register_client().unwrap().response.result.unwrap() {
        CommandEffect::ClientRegistered { client_id, store_id } => (store_id, client_id),
        other => panic!("{other:?}"),
    };
    store.write(RequestOrigin { store_id, client_id, sequence: 1 }, set("a", "2")).unwrap();
    assert_eq!(store_id, store.state().store_id);
    // The file is synced before a response is sent. A copy of it is read, because the node still writes to
    // its own file.
    let copy = tempfile::tempdir().unwrap();
    std::fs::copy(folder.path().join("log"), copy.path().join("log")).unwrap();
    let (_, contents) = LogFile::open(copy.path()).unwrap();
    let mut output = String::new();
    for entry in &contents.entries {
        // The store's id and the counter of request ids are random; all other data is compared.
        let context = match &entry.context[..] {
            [] => "none".to_string(),
            [node @ .., _, _, _, _, _, _, _, _] => format!("node {} and 8 bytes", hex::encode(node)),
            short => hex::encode(short),
        };
        let random = hex::encode(&postcard::to_allocvec(&store_id).unwrap());
        let data = hex::encode(&entry.data).replace(&random, "STORE");
        let (index, term, kind) = (entry.index, entry.term, entry.entry_type);
        writeln!(output, "{index} term {term} type {kind:?} context {context} data {data}").unwrap();
    }
    writeln!(output, "term {} vote {}", contents.hard_state.term, contents.hard_state.vote).unwrap();
    FIXTURES.assert_same("new_store_log.txt", &output);
}
