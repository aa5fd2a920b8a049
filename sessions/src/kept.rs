//! The newest commit of each session, in bounded memory.
//!
//! Entries lie in generations of a fixed size, the newest in front. When the newest is full another begins, and
//! when there are too many the oldest is folded into the floor: what every session must see from then on is the
//! newest commit among those forgotten, so no session ever has to see less than before.
use crate::Key;
use decision::Time;
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Sessions in one generation: seven eighths of a power of two, which is what a hash table of the standard library
/// takes before it doubles.
pub const GENERATION: usize = 114_688;
/// Bytes that a generation's table takes: 2^17 places of a key, a commit and a control byte.
pub const GENERATION_BYTES: usize = (1 << 17) * 17 + 16;

/// Keys are hashes already.
#[derive(Default, Clone)]
pub struct AsIs(u64);

impl Hasher for AsIs {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.0 = self.0 << 8 | u64::from(*b));
    }

    fn write_u64(&mut self, n: u64) {
        self.0 = n;
    }
}

type Table = HashMap<Key, Time, BuildHasherDefault<AsIs>>;

/// What sessions must see.
pub struct Kept {
    /// The newest in front.
    generations: VecDeque<Table>,
    size: usize,
    most: usize,
    floor: Option<Time>,
    /// For each generation, its newest commit.
    newest: VecDeque<Time>,
    folded: u64,
}

impl Kept {
    /// Keeps at least this many sessions one by one.
    pub fn new(sessions: usize) -> Kept {
        Kept::sized(sessions, GENERATION.min(sessions.max(1)))
    }

    fn sized(sessions: usize, size: usize) -> Kept {
        // One more than needed: the newest may have just begun.
        let most = sessions.max(1).div_ceil(size) + 1;
        let (generations, newest) = (VecDeque::new(), VecDeque::new());
        Kept { generations, size, most, floor: None, newest, folded: 0 }
    }

    /// Remembers a commit of a session.
    pub fn add(&mut self, key: Key, at: Time) {
        // Nothing that the floor covers is worth a place.
        if self.floor.is_some_and(|f| at <= f) {
            return;
        }
        let held = self.get(key);
        if held.is_some_and(|t| t >= at) {
            return;
        }
        let full = |t: &Table| t.len() >= self.size && !t.contains_key(&key);
        if self.generations.front().is_none_or(full) {
            if self.generations.len() == self.most {
                self.generations.pop_back();
                let newest = self.newest.pop_back();
                self.floor = self.floor.max(newest);
                self.folded += 1;
            }
            self.generations.push_front(Table::with_capacity_and_hasher(self.size, Default::default()));
            self.newest.push_front(at);
        }
        if let (Some(t), Some(n)) = (self.generations.front_mut(), self.newest.front_mut()) {
            t.insert(key, at);
            *n = (*n).max(at);
        }
    }

    fn get(&self, key: Key) -> Option<Time> {
        // Whatever is newer stands in a newer generation.
        self.generations.iter().find_map(|t| t.get(&key).copied())
    }

    /// The commit that a session must see.
    pub fn need(&self, key: Key) -> Option<Time> {
        self.get(key).max(self.floor)
    }

    /// What every session must see.
    pub fn floor(&self) -> Option<Time> {
        self.floor
    }

    /// Raises what every session must see; it never sinks. Generations that it covers whole are let go.
    pub fn raise(&mut self, floor: Time) {
        self.floor = self.floor.max(Some(floor));
        while self.newest.back().is_some_and(|n| Some(*n) <= self.floor) {
            self.newest.pop_back();
            self.generations.pop_back();
        }
    }

    /// Every entry, an older one of a session after its newer one.
    pub fn iter(&self) -> impl Iterator<Item = (Key, Time)> + '_ {
        self.generations.iter().flat_map(|g| g.iter().map(|(k, t)| (*k, *t)))
    }

    /// Entries held one by one; a session that has written again may count twice.
    pub fn len(&self) -> usize {
        self.generations.iter().map(HashMap::len).sum()
    }

    /// Whether nothing is held one by one.
    pub fn is_empty(&self) -> bool {
        self.generations.is_empty()
    }

    /// How often the oldest sessions were folded into the floor.
    pub fn folded(&self) -> u64 {
        self.folded
    }

    /// Bytes of all tables that may be held at once.
    pub fn bound_bytes(sessions: usize) -> usize {
        (sessions.max(1).div_ceil(GENERATION) + 1) * GENERATION_BYTES
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_oldest_fold_into_the_floor_and_the_newest_stay_exact() {
        let mut kept = Kept::sized(100, 25);
        for n in 0..1000u64 {
            kept.add(Key(n), Time(n as i64 + 1));
            assert!(kept.len() <= 125);
        }
        // At least a hundred are told one by one; nobody must see less than what it wrote.
        for n in 0..1000u64 {
            let need = kept.need(Key(n));
            assert!(need >= Some(Time(n as i64 + 1)));
            assert!(n < 900 || need == Some(Time(n as i64 + 1)), "{n} is among the last hundred: {need:?}");
        }
        assert!(kept.folded() > 0 && kept.floor() < Some(Time(900)));
    }

    #[test]
    fn a_million_sessions_fit_the_stated_bytes() {
        let mut kept = Kept::new(1_000_000);
        for n in 0..3_000_000u64 {
            kept.add(Key(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Time(n as i64));
        }
        let places: usize = kept.generations.iter().map(|g| g.capacity()).sum();
        assert!(kept.len() >= 1_000_000, "{}", kept.len());
        // No table has doubled.
        assert_eq!(places, kept.generations.len() * GENERATION);
        assert!(Kept::bound_bytes(1_000_000) < 24_600_000);
    }

    proptest! {
        /// Whatever comes in whatever order, no session's need ever sinks below a commit that was added.
        #[test]
        fn need_never_sinks(steps in prop::collection::vec((0u64..40, 0i64..1000, prop::bool::weighted(0.05)), 1..400)) {
            let mut kept = Kept::sized(8, 4);
            let mut must: HashMap<u64, i64> = HashMap::new();
            let mut floor = -1;
            for (key, at, raise) in steps {
                if raise {
                    kept.raise(Time(at));
                    floor = floor.max(at);
                } else {
                    kept.add(Key(key), Time(at));
                    let m = must.entry(key).or_insert(at);
                    *m = (*m).max(at);
                }
                for (k, at) in &must {
                    prop_assert!(kept.need(Key(*k)) >= Some(Time((*at).max(floor))));
                }
                prop_assert!(kept.len() <= 12);
            }
        }
    }
}
