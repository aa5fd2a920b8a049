//! What the state machine and the journal cost: `cargo bench -p sessions`.
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use decision::{GroupId, Time};
use sessions::SessionKey;
use sessions::commit_cache::CommitCache;
use sessions::journal::{self, Checkpoint, Record};
use sessions::machine::{Event, Machine, Now, Settings};
use std::hint::black_box;

fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn memory(c: &mut Criterion) {
    let mut cache = CommitCache::new(1_000_000);
    (0..1_000_000).for_each(|n| cache.insert(key(n), Time(n as i64)));
    let mut n = 0;
    c.bench_function("need of one of a million sessions", |b| {
        b.iter(|| {
            n += 1;
            black_box(cache.required_position(key(n % 1_000_000)))
        });
    });
    let mut n = 1_000_000u64;
    c.bench_function("add a commit, folding the oldest", |b| {
        b.iter(|| {
            n += 1;
            cache.insert(key(n), Time(n as i64));
        });
    });
    c.bench_function("key of a session's name", |b| {
        b.iter(|| SessionKey::named(GroupId(3), black_box("member-4711")));
    });
}

fn machine(c: &mut Criterion) {
    let settings = Settings {
        instance: 1,
        incarnation: 1,
        lease: 300_000,
        max_buffered_commits: 65_536,
        max_sessions: 1_000_000,
        durable: true,
        incomplete: false,
    };
    let mut machine = Machine::new(settings, [], None);
    let (mut actions, mut n) = (Vec::new(), 0u64);
    c.bench_function("commit and its sync", |b| {
        b.iter(|| {
            n += 1;
            let now = Now { at: Time(n as i64), present: Some(Time(n as i64)) };
            machine.handle(
                now,
                Event::Commit { ack: n, session: key(n % 100_000), committed_at: Time(n as i64) },
                &mut actions,
            );
            machine.handle(now, Event::JournalSynced { seq: n }, &mut actions);
            actions.clear();
        });
    });
}

fn restore(c: &mut Criterion) {
    const SESSIONS: u64 = 1_000_000;
    let kept_in = tempfile::tempdir().expect("a folder");
    let folder = kept_in.path();
    let entries: Vec<(SessionKey, Time)> = (0..SESSIONS).map(|n| (key(n), Time(n as i64))).collect();
    let whole = Checkpoint { instance: 1, incarnation: 1, entries: &entries, floor: None, incomplete: false };
    let opened = journal::open(folder, 1).expect("a folder");
    let mut journal = opened.begin(&whole).expect("a folder").expect("a file");
    let mut group = c.benchmark_group("journal");
    group.sample_size(10);
    group.throughput(Throughput::Elements(SESSIONS));
    group.bench_function("restore a million sessions", |b| {
        b.iter(|| {
            let (_, found) = journal::read_newest(folder).expect("a folder").expect("a file");
            let mut cache = CommitCache::new(SESSIONS as usize);
            found.expect("a whole file").entries.into_iter().for_each(|(k, t)| cache.insert(k, t));
            black_box(cache.len())
        });
    });
    for together in [1usize, 16, 256] {
        let commits: Vec<(SessionKey, i64)> = (0..together as u64).map(|n| (key(n), n as i64)).collect();
        group.throughput(Throughput::Elements(together as u64));
        group.bench_function(format!("{together} commits in one sync"), |b| {
            b.iter(|| journal.append(&Record::Commits(commits.clone())).expect("a disk"));
        });
    }
    group.finish();
    drop(journal);
}

criterion_group!(benches, memory, machine, restore);
criterion_main!(benches);
