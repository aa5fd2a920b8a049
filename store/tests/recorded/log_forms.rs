//! What is stored: commands in the log, snapshots, and the log file.
use crate::fixtures::{assert_recorded, fixture, hex, recorded_bytes, unhex};
use crate::samples::{
    change, commands, entry, hard_state, log_entries, populated_machine, raft_snapshot, set, single_node,
    value,
};
use raft::eraftpb::Entry;
use std::fmt::Write;
use store::disk::Disk;
use store::machine::{Bounds, By, Command, Machine, Made};

#[test]
fn log_commands_keep_their_bytes() {
    let mut now = String::new();
    for (name, command) in commands() {
        writeln!(now, "{name} {}", hex(&command.write().unwrap())).unwrap();
    }
    assert_recorded("log_commands.txt", &now);
    let recorded = fixture("log_commands.txt");
    for (name, command) in commands() {
        assert_eq!(Command::read(&recorded_bytes(&recorded, &name)), Some(command), "{name}");
    }
}

#[test]
fn legacy_json_commands_are_read() {
    let recorded = fixture("legacy_commands.txt");
    let read: Vec<_> = recorded.lines().map(|line| Command::read(line.as_bytes())).collect();
    let expected = [
        change("a", Some("2"), Some(1)),
        change("a", Some("2"), None),
        change("b/\u{e9}", Some("say \"x\""), None),
        change("a", None, Some(4)),
    ];
    assert_eq!(read, expected.map(|c| Some(Command::Former(c))));
}

#[test]
fn legacy_json_snapshot_is_read() {
    let machine =
        Machine::read(fixture("legacy_snapshot.json").trim().as_bytes(), Bounds::default()).unwrap();
    let state = machine.state();
    assert_eq!((state.born, state.applied, state.revision), (0, 9, 9));
    let keys: Vec<_> = state.with_prefix("").map(|(k, v)| (k.to_string(), v.clone())).collect();
    assert_eq!(
        keys,
        [("a".to_string(), value(1, 9, None, "1")), ("b".to_string(), value(7, 9, None, "x y"))]
    );
}

#[test]
fn snapshot_keeps_its_bytes() {
    let machine = populated_machine();
    assert_recorded("snapshot.hex", &(hex(&machine.write().unwrap()) + "\n"));
    let recorded = unhex(&fixture("snapshot.hex"));
    let read = Machine::read(&recorded, Bounds { names: 2, ..Bounds::default() }).unwrap();
    assert_eq!(read, machine);
    assert_eq!(read.write().unwrap(), recorded);
}

#[test]
fn log_file_keeps_its_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let entries = log_entries();
    let (mut disk, found) = Disk::open(folder.path()).unwrap();
    assert!(found.entries.is_empty() && found.torn == 0);
    disk.rewrite(&raft_snapshot(), &entries[..2], &hard_state(2, 3, 21)).unwrap();
    assert_recorded("log_rewritten.hex", &(hex(&std::fs::read(&path).unwrap()) + "\n"));
    disk.add(&entries[2..], Some(&hard_state(3, 1, 24))).unwrap();
    disk.add(&[], Some(&hard_state(4, 0, 24))).unwrap();
    // A new leader's entry takes the place of what stood there and of all behind it.
    disk.add(&[entry(25, 4, b"{}")], None).unwrap();
    disk.add(&[], None).unwrap();
    assert_recorded("log_appended.hex", &(hex(&std::fs::read(&path).unwrap()) + "\n"));
}

#[test]
fn recorded_log_file_is_read_and_its_torn_tail_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let recorded = unhex(&fixture("log_appended.hex"));
    for torn in [&b""[..], b"\x50\0\0\0torn off"] {
        std::fs::write(&path, [&recorded[..], torn].concat()).unwrap();
        let (_, found) = Disk::open(folder.path()).unwrap();
        assert_eq!(found.torn, torn.len() as u64);
        assert_eq!(found.hard_state, hard_state(4, 0, 24));
        assert_eq!(found.snapshot, raft_snapshot());
        let expected = [&log_entries()[..4], &[entry(25, 4, b"{}")]].concat();
        assert_eq!(found.entries, expected);
        assert_eq!(std::fs::read(&path).unwrap(), recorded);
    }
}

#[test]
fn a_new_stores_log_file_has_the_recorded_entries() {
    let folder = tempfile::tempdir().unwrap();
    let store = single_node(Some(folder.path().to_path_buf()));
    store.change(change("a", Some("1"), Some(0))).unwrap();
    let (opened, client) = match store.open().unwrap().answered.made.unwrap() {
        Made::Opened { client, born } => (born, client),
        other => panic!("{other:?}"),
    };
    store.write(By { born: opened, client, seq: 1 }, set("a", "2")).unwrap();
    assert_eq!(opened, store.state().born);
    // The file is synced before an answer is given; a copy of it is read, for the node goes on with its own.
    let copy = tempfile::tempdir().unwrap();
    std::fs::copy(folder.path().join("log"), copy.path().join("log")).unwrap();
    let (_, found) = Disk::open(copy.path()).unwrap();
    let mut now = String::new();
    for e in &found.entries {
        // The store's number and the counter of proposals are drawn; everything else is recorded.
        let context = match &e.context[..] {
            [] => "none".to_string(),
            [node @ .., _, _, _, _, _, _, _, _] => format!("node {} and 8 bytes", hex(node)),
            short => hex(short),
        };
        let drawn = hex(&postcard::to_allocvec(&opened).unwrap());
        let data = hex(&e.data).replace(&drawn, "STORE");
        writeln!(now, "{} term {} type {:?} context {context} data {data}", e.index, e.term, e.entry_type)
            .unwrap();
    }
    writeln!(now, "term {} vote {}", found.hard_state.term, found.hard_state.vote).unwrap();
    assert_recorded("new_store_log.txt", &now);
}
