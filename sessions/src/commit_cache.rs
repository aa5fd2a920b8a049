//! The time of each session's newest commit, in bounded memory.
//!
//! Entries are stored in generations of a fixed size, newest generation first. When the newest generation is
//! full, a new one is added. When there are too many, the oldest is evicted and the floor is raised to its
//! newest commit. The floor is a lower bound for every session, so eviction never lowers the position that a
//! session's reads require.
use crate::SessionKey;
use decision::Time;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Sessions in one generation: seven eighths of a power of two, the load at which the standard library's hash
/// table doubles its memory.
pub const GENERATION_SESSIONS: usize = 114_688;
/// Bytes of a generation's table: 2^17 slots of a key, a commit time and a control byte.
pub const GENERATION_BYTES: usize = (1 << 17) * 17 + 16;

/// Returns the key itself as its hash, because session keys already are hashes.
#[derive(Default, Clone)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0 << 8 | u64::from(*byte));
    }

    fn write_u64(&mut self, n: u64) {
        self.0 = n;
    }
}

type Table = HashMap<SessionKey, Time, BuildHasherDefault<IdentityHasher>>;

struct Generation {
    table: Table,
    newest: Time,
}

/// The newest commit of each session, and the floor that covers evicted sessions.
pub struct CommitCache {
    /// Generations of cached sessions, newest generation first.
    generations: VecDeque<Generation>,
    generation_sessions: usize,
    max_generations: usize,
    floor: Option<Time>,
    evicted_generations: u64,
}

impl CommitCache {
    /// Creates a cache with individual entries for at least `sessions` sessions.
    pub fn new(sessions: usize) -> CommitCache {
        CommitCache::with_generations(sessions, GENERATION_SESSIONS.min(sessions.max(1)))
    }

    /// Creates a cache with individual entries for at least `sessions` sessions, in generations of
    /// `generation_sessions`.
    pub fn with_generations(sessions: usize, generation_sessions: usize) -> CommitCache {
        CommitCache {
            generations: VecDeque::new(),
            generation_sessions,
            // The cache has one extra generation, since the newest generation may be almost empty.
            max_generations: sessions.max(1).div_ceil(generation_sessions) + 1,
            floor: None,
            evicted_generations: 0,
        }
    }

    /// Records a session's commit. A commit older than the session's recorded one has no effect.
    pub fn insert(&mut self, key: SessionKey, at: Time) {
        // The floor already covers this commit.
        if self.floor.is_some_and(|floor| at <= floor) {
            return;
        }
        if self.get(key).is_some_and(|recorded| recorded >= at) {
            return;
        }
        let is_full = |generation: &Generation| {
            generation.table.len() >= self.generation_sessions && !generation.table.contains_key(&key)
        };
        if self.generations.front().is_none_or(is_full) {
            self.push_generation(at);
        }
        if let Some(generation) = self.generations.front_mut() {
            generation.table.insert(key, at);
            generation.newest = generation.newest.max(at);
        }
    }

    fn push_generation(&mut self, newest: Time) {
        if self.generations.len() == self.max_generations {
            let oldest = self.generations.pop_back();
            self.floor = self.floor.max(oldest.map(|generation| generation.newest));
            self.evicted_generations += 1;
        }
        let table = Table::with_capacity_and_hasher(self.generation_sessions, BuildHasherDefault::default());
        self.generations.push_front(Generation { table, newest });
    }

    fn get(&self, key: SessionKey) -> Option<Time> {
        // A session's newest commit is in the newest generation that has the session.
        self.generations.iter().find_map(|generation| generation.table.get(&key).copied())
    }

    /// The commit time that a read of this session must reflect.
    pub fn required_position(&self, key: SessionKey) -> Option<Time> {
        self.get(key).max(self.floor)
    }

    /// The commit time that reads of every session must reflect.
    pub fn floor(&self) -> Option<Time> {
        self.floor
    }

    /// Raises the floor (a lower value has no effect) and drops the generations that it covers completely.
    pub fn raise_floor(&mut self, floor: Time) {
        self.floor = self.floor.max(Some(floor));
        while self.generations.back().is_some_and(|oldest| Some(oldest.newest) <= self.floor) {
            self.generations.pop_back();
        }
    }

    /// Iterates over all entries, newest generation first. A session that has several entries yields its
    /// newest first.
    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, Time)> + '_ {
        self.generations.iter().flat_map(|generation| generation.table.iter().map(|(key, at)| (*key, *at)))
    }

    /// Number of entries. A session with commits in several generations is counted once for each.
    pub fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.table.len()).sum()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.generations.is_empty()
    }

    /// Number of generations evicted so far, each of which raised the floor.
    pub fn evicted_generations(&self) -> u64 {
        self.evicted_generations
    }

    /// Current number of generations.
    pub fn generation_count(&self) -> usize {
        self.generations.len()
    }

    /// Total number of entries that the allocated tables can store.
    pub fn table_capacity(&self) -> usize {
        self.generations.iter().map(|generation| generation.table.capacity()).sum()
    }

    /// Upper bound of the memory of all tables for this many sessions, in bytes.
    pub fn max_table_bytes(sessions: usize) -> usize {
        (sessions.max(1).div_ceil(GENERATION_SESSIONS) + 1) * GENERATION_BYTES
    }
}
