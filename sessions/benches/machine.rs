//! Benchmarks of the state machine and the journal: `cargo bench -p sessions`.
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use decision::{GroupId, Time};
use sessions::SessionKey;
use sessions::commit_cache::CommitCache;
use sessions::journal::{self, Checkpoint, Record};
use sessions::machine::{Event, Machine, Now, Settings};
use std::hint::black_box;

/// Sessions in the cache and in the restored journal.
const SESSIONS: u64 = 1_000_000;
/// Odd multiplier that distributes keys over the whole range of `u64`.
const KEY_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(KEY_FACTOR))
}

fn commit_cache(criterion: &mut Criterion) {
    let mut cache = CommitCache::new(SESSIONS as usize);
    (0..SESSIONS).for_each(|n| cache.insert(key(n), Time(n as i64)));
    let mut n = 0;
    criterion.bench_function("required position of one of a million sessions", |bencher| {
        bencher.iter(|| {
            n += 1;
            black_box(cache.required_position(key(n % SESSIONS)))
        });
    });
    let mut n = SESSIONS;
    criterion.bench_function("insert a commit, evicting old generations", |bencher| {
        bencher.iter(|| {
            n += 1;
            cache.insert(key(n), Time(n as i64));
        });
    });
    criterion.bench_function("key of a session's name", |bencher| {
        bencher.iter(|| SessionKey::named(GroupId(3), black_box("member-4711")));
    });
}

fn machine(criterion: &mut Criterion) {
    let settings = Settings {
        instance: 1,
        incarnation: 1,
        lease: 300_000,
        max_buffered_commits: 65_536,
        max_sessions: SESSIONS as usize,
        durable: true,
        incomplete: false,
    };
    let mut machine = Machine::new(settings, [], None);
    let (mut actions, mut n) = (Vec::new(), 0u64);
    criterion.bench_function("commit and journal sync", |bencher| {
        bencher.iter(|| {
            n += 1;
            let now = Now { at: Time(n as i64), commit_upper_bound: Some(Time(n as i64)) };
            let commit = Event::Commit { ack: n, session: key(n % 100_000), committed_at: Time(n as i64) };
            machine.handle(now, commit, &mut actions);
            machine.handle(now, Event::JournalSynced { seq: n }, &mut actions);
            actions.clear();
        });
    });
}

fn journal_file(criterion: &mut Criterion) {
    let directory = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = directory.path();
    let entries: Vec<(SessionKey, Time)> = (0..SESSIONS).map(|n| (key(n), Time(n as i64))).collect();
    let checkpoint =
        Checkpoint { instance: 1, incarnation: 1, entries: &entries, floor: None, incomplete: false };
    let opened = journal::open(folder, 1).expect("the folder can be read");
    let mut journal =
        opened.create_journal(&checkpoint).expect("the folder is writable").expect("the file can be written");
    let mut group = criterion.benchmark_group("journal");
    group.sample_size(10);
    group.throughput(Throughput::Elements(SESSIONS));
    group.bench_function("restore a million sessions", |bencher| {
        bencher.iter(|| {
            let newest = journal::read_newest(folder).expect("the folder can be read");
            let (_, contents) = newest.expect("the folder contains a journal");
            let mut cache = CommitCache::new(SESSIONS as usize);
            contents
                .expect("the journal is valid")
                .entries
                .into_iter()
                .for_each(|(session, commit)| cache.insert(session, commit));
            black_box(cache.len())
        });
    });
    for batch in [1usize, 16, 256] {
        let commits: Vec<(SessionKey, i64)> = (0..batch as u64).map(|n| (key(n), n as i64)).collect();
        group.throughput(Throughput::Elements(batch as u64));
        group.bench_function(format!("{batch} commits in one sync"), |bencher| {
            bencher.iter(|| {
                journal.append(&Record::Commits(commits.clone())).expect("the record can be appended");
            });
        });
    }
    group.finish();
    drop(journal);
}

criterion_group!(benches, commit_cache, machine, journal_file);
criterion_main!(benches);
