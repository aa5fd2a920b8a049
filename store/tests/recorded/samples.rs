//! Values of each stored or exchanged type: every variant, and every optional field with and without a value.
use raft::eraftpb::{Entry, HardState, Message, MessageType, Snapshot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use store::machine::{Answered, Bounds, By, Changes, Command, Fence, Machine, Made, Op};
use store::wire::{Answer, At, How, Place, Request};
use store::{Change, Refused, Store, Value};

/// Reached only by a failure.
pub(crate) const LONG: Duration = Duration::from_secs(20);

pub(crate) fn change(key: &str, text: Option<&str>, expected: Option<u64>) -> Change {
    Change { key: key.into(), text: text.map(str::to_string), expected }
}

pub(crate) fn fence(name: &str, epoch: u64) -> Fence {
    Fence { name: name.into(), epoch }
}

pub(crate) fn set(key: &str, text: &str) -> Op {
    Op::Change { change: change(key, Some(text), None), fence: None, lease: None }
}

pub(crate) fn value(version: u64, revision: u64, lease: Option<u64>, text: &str) -> Value {
    Value { version, revision, lease, text: text.into() }
}

pub(crate) fn origin() -> By {
    By { born: 0x0123_4567_89ab_cdef, client: 300, seq: 70_000 }
}

pub(crate) fn operations() -> Vec<(&'static str, Op)> {
    let guarded = Op::Change {
        change: change("shards/1", Some("owner-a"), Some(3)),
        fence: Some(fence("shard-1", 200)),
        lease: Some(200),
    };
    vec![
        ("put", set("a", "1")),
        ("put_guarded", guarded),
        ("delete", Op::Change { change: change("a", None, Some(0)), fence: None, lease: None }),
        ("grant", Op::Grant { name: "shard-1".into(), ttl_ms: 1200 }),
        ("renew", Op::Renew(fence("shard-1", 200))),
        ("revoke", Op::Revoke(fence("shard-1", 200))),
    ]
}

pub(crate) fn commands() -> Vec<(String, Command)> {
    let mut commands = vec![
        ("store_id".to_string(), Command::Born(u64::MAX - 1)),
        ("register_client".to_string(), Command::Open),
        ("expire".to_string(), Command::Expire(fence("shard-1", 200), 9)),
        ("legacy".to_string(), Command::Former(change("a", Some("2"), Some(1)))),
    ];
    for (name, op) in operations() {
        commands.push((format!("{name}_by_client"), Command::Write(Some(origin()), op.clone())));
        commands.push((name.to_string(), Command::Write(None, op)));
    }
    commands
}

pub(crate) fn refusals() -> Vec<Refused> {
    vec![
        Refused::NoMajority,
        Refused::Young,
        Refused::Version(3),
        Refused::Unconfirmed,
        Refused::Fenced(201),
        Refused::Ended(200),
        Refused::Held(200),
        Refused::Size { what: "a key in bytes".into(), least: 1, most: 512 },
        Refused::Full("keys".into(), 65_536),
        Refused::Forgotten,
        Refused::Late(4),
    ]
}

pub(crate) fn effects() -> Vec<Made> {
    vec![Made::Opened { client: 300, born: 7 }, Made::Changed(3), Made::Granted(200), Made::Done]
}

/// A store with all that a snapshot can hold: keys with and without a lease, a held, a free and a forgotten name,
/// clients with and without a last answer, one of them a rejection.
pub(crate) fn populated_machine() -> Machine {
    let mut machine = Machine::new(Bounds { names: 2, ..Bounds::default() });
    let grant = |name: &str, ttl_ms| Command::Write(None, Op::Grant { name: name.into(), ttl_ms });
    let by = |seq| Some(By { born: 77, client: 2, seq });
    let leased = Op::Change {
        change: change("owner", Some("one"), None),
        fence: Some(fence("held", 8)),
        lease: Some(8),
    };
    let commands = [
        Command::Born(77),
        Command::Open,
        Command::Open,
        Command::Write(by(1), set("a", "1")),
        Command::Write(
            by(2),
            Op::Change { change: change("a", Some("2"), Some(9)), fence: None, lease: None },
        ),
        grant("forgotten", 200),
        Command::Write(None, Op::Revoke(fence("forgotten", 6))),
        grant("held", 1200),
        Command::Write(None, leased),
        Command::Write(None, Op::Renew(fence("held", 8))),
        grant("free", 600_000),
        Command::Write(None, Op::Revoke(fence("free", 11))),
        Command::Write(None, set("b/\u{e9}", "")),
        Command::Former(change("old", Some("kept"), Some(0))),
    ];
    for (index, command) in (1..).zip(commands) {
        let _ = machine.apply(index, command);
    }
    machine.skip(20);
    machine
}

pub(crate) fn requests() -> Vec<(String, Request)> {
    let place = Place { born: 77, revision: 1 << 20 };
    let mut requests = vec![
        ("register_client".to_string(), Request::Open),
        ("get_linearizable".to_string(), Request::Get { key: "a".into(), how: How::Linearizable }),
        ("get_local".to_string(), Request::Get { key: "a".into(), how: How::Local }),
        ("list".to_string(), Request::List { prefix: "server/".into(), how: How::Local }),
        ("status".to_string(), Request::Status),
        ("watch".to_string(), Request::Watch { prefix: "a/".into(), after: None }),
        ("watch_resumed".to_string(), Request::Watch { prefix: "a/".into(), after: Some(place) }),
    ];
    let writes = operations().into_iter().map(|(name, op)| (name.to_string(), Request::Write(origin(), op)));
    requests.extend(writes);
    requests
}

pub(crate) fn answers() -> Vec<(String, Answer)> {
    let at = At { how: How::Linearizable, revision: 300, term: 4 };
    let place = Place { born: 77, revision: 300 };
    let keys =
        vec![("a".to_string(), value(1, 2, None, "1")), ("b".to_string(), value(3, 300, Some(8), "\u{e9}"))];
    let changed = vec![("a".to_string(), Some(value(2, 301, None, "2"))), ("b".to_string(), None)];
    let status = Answer::Status { node: 2, leader: 3, term: 4, revision: 300 };
    let mut answers = vec![
        ("welcome".to_string(), Answer::Welcome(3)),
        ("busy".to_string(), Answer::Busy(1024)),
        ("value".to_string(), Answer::Value(at, Some(value(1, 2, Some(8), "x")))),
        ("value_missing".to_string(), Answer::Value(At { how: How::Local, ..at }, None)),
        ("keys".to_string(), Answer::Part { at, keys: keys.clone(), last: false }),
        ("keys_last".to_string(), Answer::Part { at, keys: vec![], last: true }),
        ("status".to_string(), status),
        ("watch_all".to_string(), Answer::All { place, compacted: true, keys, last: true }),
        ("watch_changes".to_string(), Answer::Changes(Changes { revision: 301, keys: changed })),
        ("watch_progress".to_string(), Answer::Progress(302)),
        ("watch_no_leader".to_string(), Answer::Leaderless),
    ];
    for (i, made) in effects().into_iter().enumerate() {
        let answered = Answered { made: Ok(made), revision: 301 };
        answers.push((format!("written_{i}"), Answer::Written(answered, 4)));
    }
    for (i, refused) in refusals().into_iter().enumerate() {
        let answered = Answered { made: Err(refused.clone()), revision: 301 };
        answers.push((format!("write_rejected_{i}"), Answer::Written(answered, 4)));
        answers.push((format!("rejected_{i}"), Answer::Refused(refused)));
    }
    answers
}

pub(crate) fn entry(index: u64, term: u64, data: &[u8]) -> Entry {
    let mut entry = Entry { index, term, ..Default::default() };
    entry.data = data.to_vec().into();
    entry.context = [7u64.to_le_bytes(), index.to_le_bytes()].concat().into();
    entry
}

pub(crate) fn log_entries() -> Vec<Entry> {
    let mut entries = vec![entry(21, 2, &[])];
    entries.extend((22..).zip(commands()).map(|(i, (_, command))| entry(i, 2, &command.write().unwrap())));
    entries
}

pub(crate) fn hard_state(term: u64, vote: u64, commit: u64) -> HardState {
    HardState { term, vote, commit, ..Default::default() }
}

pub(crate) fn raft_snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (20, 2);
    metadata.mut_conf_state().voters = vec![1, 2, 3];
    snapshot.set_data(populated_machine().write().unwrap().into());
    snapshot
}

pub(crate) fn raft_message() -> Message {
    let mut message =
        Message { to: 2, from: 1, term: 4, index: 24, log_term: 2, commit: 23, ..Default::default() };
    message.set_msg_type(MessageType::MsgAppend);
    message.set_entries(log_entries().into());
    message.set_snapshot(raft_snapshot());
    message
}

pub(crate) fn single_node(folder: Option<PathBuf>) -> Store {
    let peers = BTreeMap::from([(1, SocketAddr::from(([127, 0, 0, 1], 0)))]);
    let server = r#"{"addr":"127.0.0.1:1","group":0,"weight":1.0,"state":"in_service"}"#;
    let seeds = vec![("server/stock-a".into(), server.into()), ("server/broken".into(), "{".into())];
    let settings = store::Settings { node: 1, peers, folder, seeds, ..store::Settings::default() };
    let store = store::start(settings, |_| ()).unwrap();
    let begun = Instant::now();
    while store.state().get("seeded").is_none() {
        assert!(begun.elapsed() < LONG, "the store is not seeded");
        std::thread::yield_now();
    }
    store
}
