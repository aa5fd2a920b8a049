//! The newest commit of each session, in bounded memory.
//!
//! Entries are in generations of a fixed size, the newest in front. When the newest is full another begins, and
//! when there are too many the oldest is folded into the floor: what every session must see from then on is the
//! newest commit among those forgotten, so no session ever has to see less than before.
use crate::SessionKey;
use decision::Time;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Sessions in one generation: seven eighths of a power of two, which is what a hash table of the standard library
/// holds before it doubles.
pub const GENERATION_SESSIONS: usize = 114_688;
/// Bytes of a generation's table: 2^17 places of a key, a commit and a control byte.
pub const GENERATION_BYTES: usize = (1 << 17) * 17 + 16;

/// Hashes a key to itself: keys are hashes already.
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

/// The newest commit of each session, and the floor that covers sessions that were forgotten.
pub struct CommitCache {
    /// The newest in front.
    generations: VecDeque<Generation>,
    generation_sessions: usize,
    max_generations: usize,
    floor: Option<Time>,
    folded: u64,
}

impl CommitCache {
    /// Holds at least this many sessions one by one.
    pub fn new(sessions: usize) -> CommitCache {
        CommitCache::with_generations(sessions, GENERATION_SESSIONS.min(sessions.max(1)))
    }

    /// Holds at least this many sessions one by one, in generations of `generation_sessions`.
    pub fn with_generations(sessions: usize, generation_sessions: usize) -> CommitCache {
        CommitCache {
            generations: VecDeque::new(),
            generation_sessions,
            // One more than needed: the newest may have just begun.
            max_generations: sessions.max(1).div_ceil(generation_sessions) + 1,
            floor: None,
            folded: 0,
        }
    }

    /// Remembers a commit of a session; an older one than is held has no effect.
    pub fn insert(&mut self, key: SessionKey, at: Time) {
        // What the floor covers needs no place.
        if self.floor.is_some_and(|floor| at <= floor) {
            return;
        }
        if self.get(key).is_some_and(|held| held >= at) {
            return;
        }
        let is_full = |generation: &Generation| {
            generation.table.len() >= self.generation_sessions && !generation.table.contains_key(&key)
        };
        if self.generations.front().is_none_or(is_full) {
            self.begin_generation(at);
        }
        if let Some(generation) = self.generations.front_mut() {
            generation.table.insert(key, at);
            generation.newest = generation.newest.max(at);
        }
    }

    fn begin_generation(&mut self, newest: Time) {
        if self.generations.len() == self.max_generations {
            let oldest = self.generations.pop_back();
            self.floor = self.floor.max(oldest.map(|generation| generation.newest));
            self.folded += 1;
        }
        let table = Table::with_capacity_and_hasher(self.generation_sessions, BuildHasherDefault::default());
        self.generations.push_front(Generation { table, newest });
    }

    fn get(&self, key: SessionKey) -> Option<Time> {
        // Whatever is newer is in a newer generation.
        self.generations.iter().find_map(|generation| generation.table.get(&key).copied())
    }

    /// The commit that a session must see.
    pub fn required_position(&self, key: SessionKey) -> Option<Time> {
        self.get(key).max(self.floor)
    }

    /// What every session must see.
    pub fn floor(&self) -> Option<Time> {
        self.floor
    }

    /// Raises what every session must see; it never sinks. Generations that it covers completely are dropped.
    pub fn raise_floor(&mut self, floor: Time) {
        self.floor = self.floor.max(Some(floor));
        while self.generations.back().is_some_and(|oldest| Some(oldest.newest) <= self.floor) {
            self.generations.pop_back();
        }
    }

    /// Every entry, an older one of a session after its newer one.
    pub fn iter(&self) -> impl Iterator<Item = (SessionKey, Time)> + '_ {
        self.generations.iter().flat_map(|generation| generation.table.iter().map(|(key, at)| (*key, *at)))
    }

    /// Entries held one by one; a session that has written again may count twice.
    pub fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.table.len()).sum()
    }

    /// Whether nothing is held one by one.
    pub fn is_empty(&self) -> bool {
        self.generations.is_empty()
    }

    /// How often the oldest sessions were folded into the floor.
    pub fn folded_generations(&self) -> u64 {
        self.folded
    }

    /// How many generations are held.
    pub fn generation_count(&self) -> usize {
        self.generations.len()
    }

    /// How many sessions the tables that are held have places for.
    pub fn table_capacity(&self) -> usize {
        self.generations.iter().map(|generation| generation.table.capacity()).sum()
    }

    /// Bytes of all tables that may be held at once.
    pub fn max_table_bytes(sessions: usize) -> usize {
        (sessions.max(1).div_ceil(GENERATION_SESSIONS) + 1) * GENERATION_BYTES
    }
}
