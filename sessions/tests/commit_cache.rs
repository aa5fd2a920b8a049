//! Tests the memory bound of the commit cache, and that a session's required position never decreases.
use decision::Time;
use proptest::prelude::*;
use sessions::SessionKey;
use sessions::commit_cache::{CommitCache, GENERATION_SESSIONS};
use std::collections::HashMap;

#[test]
fn evicted_sessions_raise_floor_and_newest_stay_exact() {
    let mut cache = CommitCache::with_generations(100, 25);
    for n in 0..1000u64 {
        cache.insert(SessionKey(n), Time(n as i64 + 1));
        assert!(cache.len() <= 125);
    }
    // At least 100 sessions have individual entries. No session's required position is below its own commit.
    for n in 0..1000u64 {
        let required = cache.required_position(SessionKey(n));
        assert!(required >= Some(Time(n as i64 + 1)));
        assert!(
            n < 900 || required == Some(Time(n as i64 + 1)),
            "session {n} is among the newest 100, but requires {required:?}"
        );
    }
    assert!(cache.evicted_generations() > 0 && cache.floor() < Some(Time(900)));
}

#[test]
fn million_sessions_stay_within_memory_bound() {
    let mut cache = CommitCache::new(1_000_000);
    for n in 0..3_000_000u64 {
        cache.insert(SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Time(n as i64));
    }
    let capacity = cache.table_capacity();
    assert!(cache.len() >= 1_000_000, "{}", cache.len());
    // No table has grown beyond its initial capacity.
    assert_eq!(capacity, cache.generation_count() * GENERATION_SESSIONS);
    assert!(CommitCache::max_table_bytes(1_000_000) < 24_600_000);
}

proptest! {
    /// Whatever the order of inserts and floor changes, a session's required position is never below a commit
    /// that was inserted for it.
    #[test]
    fn required_position_never_decreases(
        steps in prop::collection::vec((0u64..40, 0i64..1000, prop::bool::weighted(0.05)), 1..400)
    ) {
        let mut cache = CommitCache::with_generations(8, 4);
        let mut expected: HashMap<u64, i64> = HashMap::new();
        let mut floor = -1;
        for (key, at, raises_floor) in steps {
            if raises_floor {
                cache.raise_floor(Time(at));
                floor = floor.max(at);
            } else {
                cache.insert(SessionKey(key), Time(at));
                let newest = expected.entry(key).or_insert(at);
                *newest = (*newest).max(at);
            }
            for (k, at) in &expected {
                prop_assert!(cache.required_position(SessionKey(*k)) >= Some(Time((*at).max(floor))));
            }
            prop_assert!(cache.len() <= 12);
        }
    }
}
