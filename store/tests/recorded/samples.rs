//! Sample values of each stored or exchanged type: every variant, and every optional field with and without a
//! value.
use raft::eraftpb::{Entry, HardState, Message, MessageType, Snapshot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use store::command::{
    ChangeSet, Command, CommandEffect, CommandResponse, FencingToken, KeyChange, Operation, RequestOrigin,
};
use store::limits::StoreLimits;
use store::machine::StateMachine;
use store::wire::{Consistency, ReadHeader, Request, Response, WatchPosition};
use store::{Rejection, Store, Update, Value};

/// Timeout that is only reached if a test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn update(key: &str, text: Option<&str>, expected_version: Option<u64>) -> Update {
    Update { key: key.into(), text: text.map(str::to_string), expected_version }
}

pub(crate) fn token(name: &str, epoch: u64) -> FencingToken {
    FencingToken { name: name.into(), epoch }
}

fn plain(update: Update) -> Operation {
    Operation::Update { update, fencing_token: None, lease_epoch: None }
}

pub(crate) fn set(key: &str, text: &str) -> Operation {
    plain(update(key, Some(text), None))
}

pub(crate) fn value(version: u64, revision: u64, lease_epoch: Option<u64>, text: &str) -> Value {
    Value { version, revision, lease_epoch, text: text.into() }
}

pub(crate) fn origin() -> RequestOrigin {
    RequestOrigin { store_id: 0x0123_4567_89ab_cdef, client_id: 300, sequence: 70_000 }
}

fn operations() -> Vec<(&'static str, Operation)> {
    let guarded = Operation::Update {
        update: update("shards/1", Some("owner-a"), Some(3)),
        fencing_token: Some(token("shard-1", 200)),
        lease_epoch: Some(200),
    };
    vec![
        ("put", set("a", "1")),
        ("put_guarded", guarded),
        ("delete", plain(update("a", None, Some(0)))),
        ("grant", Operation::Grant { name: "shard-1".into(), ttl_ms: 1200 }),
        ("renew", Operation::Renew(token("shard-1", 200))),
        ("revoke", Operation::Revoke(token("shard-1", 200))),
    ]
}

fn internal(operation: Operation) -> Command {
    Command::Write { origin: None, operation }
}

pub(crate) fn commands() -> Vec<(String, Command)> {
    let expire = Command::ExpireLease { token: token("shard-1", 200), renewals: 9 };
    let mut commands = vec![
        ("store_id".to_string(), Command::Initialize { store_id: u64::MAX - 1 }),
        ("register_client".to_string(), Command::RegisterClient),
        ("expire".to_string(), expire),
        ("legacy".to_string(), Command::LegacyUpdate(update("a", Some("2"), Some(1)))),
    ];
    for (name, operation) in operations() {
        let by_client = Command::Write { origin: Some(origin()), operation: operation.clone() };
        commands.push((format!("{name}_by_client"), by_client));
        commands.push((name.to_string(), internal(operation)));
    }
    commands
}

pub(crate) fn rejections() -> Vec<Rejection> {
    vec![
        Rejection::NoQuorum,
        Rejection::NotInitialized,
        Rejection::VersionMismatch { current: 3 },
        Rejection::Unconfirmed,
        Rejection::Fenced { highest_epoch: 201 },
        Rejection::LeaseEnded { epoch: 200 },
        Rejection::LeaseHeld { epoch: 200 },
        Rejection::OutOfBounds { what: "a key in bytes".into(), min: 1, max: 512 },
        Rejection::LimitReached { what: "keys".into(), max: 65_536 },
        Rejection::UnknownClient,
        Rejection::StaleSequence { latest: 4 },
    ]
}

fn effects() -> Vec<CommandEffect> {
    vec![
        CommandEffect::ClientRegistered { client_id: 300, store_id: 7 },
        CommandEffect::Updated { version: 3 },
        CommandEffect::Granted { epoch: 200 },
        CommandEffect::Done,
    ]
}

pub(crate) fn populated_limits() -> StoreLimits {
    StoreLimits { max_lease_names: 2, ..StoreLimits::default() }
}

/// A state machine with all kinds of data that a snapshot can contain: keys with and without a lease; held,
/// free and evicted names; and clients with and without a last response, including a rejection.
pub(crate) fn populated_machine() -> StateMachine {
    let mut machine = StateMachine::new(populated_limits());
    let grant = |name: &str, ttl_ms| internal(Operation::Grant { name: name.into(), ttl_ms });
    let by_client = |sequence, operation| {
        let origin = RequestOrigin { store_id: 77, client_id: 2, sequence };
        Command::Write { origin: Some(origin), operation }
    };
    let leased = Operation::Update {
        update: update("owner", Some("one"), None),
        fencing_token: Some(token("held", 8)),
        lease_epoch: Some(8),
    };
    let commands = [
        Command::Initialize { store_id: 77 },
        Command::RegisterClient,
        Command::RegisterClient,
        by_client(1, set("a", "1")),
        by_client(2, plain(update("a", Some("2"), Some(9)))),
        grant("forgotten", 200),
        internal(Operation::Revoke(token("forgotten", 6))),
        grant("held", 1200),
        internal(leased),
        internal(Operation::Renew(token("held", 8))),
        grant("free", 600_000),
        internal(Operation::Revoke(token("free", 11))),
        internal(set("b/\u{e9}", "")),
        Command::LegacyUpdate(update("old", Some("kept"), Some(0))),
    ];
    for (index, command) in (1..).zip(commands) {
        machine.apply(index, command);
    }
    machine.skip(20);
    machine
}

pub(crate) fn requests() -> Vec<(String, Request)> {
    let (linearizable, local) = (Consistency::Linearizable, Consistency::Local);
    let position = WatchPosition { store_id: 77, revision: 1 << 20 };
    let mut requests = vec![
        ("register_client".to_string(), Request::RegisterClient),
        ("get_linearizable".to_string(), Request::Get { key: "a".into(), consistency: linearizable }),
        ("get_local".to_string(), Request::Get { key: "a".into(), consistency: local }),
        ("list".to_string(), Request::List { prefix: "server/".into(), consistency: local }),
        ("status".to_string(), Request::Status),
        ("watch".to_string(), Request::Watch { prefix: "a/".into(), after: None }),
        ("watch_resumed".to_string(), Request::Watch { prefix: "a/".into(), after: Some(position) }),
    ];
    let write = |(name, operation): (&str, Operation)| {
        (name.to_string(), Request::Write { origin: origin(), operation })
    };
    requests.extend(operations().into_iter().map(write));
    requests
}

pub(crate) fn responses() -> Vec<(String, Response)> {
    let header = ReadHeader { consistency: Consistency::Linearizable, revision: 300, term: 4 };
    let local = ReadHeader { consistency: Consistency::Local, ..header };
    let position = WatchPosition { store_id: 77, revision: 300 };
    let entries =
        vec![("a".to_string(), value(1, 2, None, "1")), ("b".to_string(), value(3, 300, Some(8), "\u{e9}"))];
    let changes = vec![
        KeyChange { key: "a".into(), value: Some(value(2, 301, None, "2")) },
        KeyChange { key: "b".into(), value: None },
    ];
    let status = Response::Status { node: 2, leader: 3, term: 4, revision: 300 };
    let mut responses = vec![
        ("welcome".to_string(), Response::Welcome { node: 3 }),
        ("busy".to_string(), Response::Busy { max_connections: 1024 }),
        ("value".to_string(), Response::Value { header, value: Some(value(1, 2, Some(8), "x")) }),
        ("value_missing".to_string(), Response::Value { header: local, value: None }),
        ("keys".to_string(), Response::Keys { header, entries: entries.clone(), last: false }),
        ("keys_last".to_string(), Response::Keys { header, entries: vec![], last: true }),
        ("status".to_string(), status),
        ("watch_all".to_string(), Response::Snapshot { position, compacted: true, entries, last: true }),
        ("watch_changes".to_string(), Response::Changes(ChangeSet { revision: 301, changes })),
        ("watch_progress".to_string(), Response::Progress { revision: 302 }),
        ("watch_no_leader".to_string(), Response::NoLeader),
    ];
    let written = |result| Response::Written { response: CommandResponse { result, revision: 301 }, term: 4 };
    for (i, effect) in effects().into_iter().enumerate() {
        responses.push((format!("written_{i}"), written(Ok(effect))));
    }
    for (i, rejection) in rejections().into_iter().enumerate() {
        responses.push((format!("write_rejected_{i}"), written(Err(rejection.clone()))));
        responses.push((format!("rejected_{i}"), Response::Rejected(rejection)));
    }
    responses
}

pub(crate) fn entry(index: u64, term: u64, data: &[u8]) -> Entry {
    let mut entry = Entry { index, term, ..Default::default() };
    entry.data = data.to_vec().into();
    entry.context = [7u64.to_le_bytes(), index.to_le_bytes()].concat().into();
    entry
}

pub(crate) fn log_entries() -> Vec<Entry> {
    let mut entries = vec![entry(21, 2, &[])];
    entries.extend((22..).zip(commands()).map(|(i, (_, command))| entry(i, 2, &command.encode().unwrap())));
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
    snapshot.set_data(populated_machine().encode().unwrap().into());
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
    let started = Instant::now();
    while store.state().get("seeded").is_none() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the seed keys were not written in time");
        std::thread::yield_now();
    }
    store
}
