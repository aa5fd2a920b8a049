//! The bounds on memory and on what a session must see, on tables of any size.
use decision::Time;
use proptest::prelude::*;
use sessions::SessionKey;
use sessions::commit_cache::{CommitCache, GENERATION_SESSIONS};
use std::collections::HashMap;

#[test]
fn oldest_sessions_fold_into_floor_and_newest_stay_exact() {
    let mut cache = CommitCache::with_generations(100, 25);
    for n in 0..1000u64 {
        cache.insert(SessionKey(n), Time(n as i64 + 1));
        assert!(cache.len() <= 125);
    }
    // At least a hundred are held one by one; nobody must see less than what it wrote.
    for n in 0..1000u64 {
        let required = cache.required_position(SessionKey(n));
        assert!(required >= Some(Time(n as i64 + 1)));
        assert!(
            n < 900 || required == Some(Time(n as i64 + 1)),
            "{n} is among the last hundred: {required:?}"
        );
    }
    assert!(cache.evicted_generations() > 0 && cache.floor() < Some(Time(900)));
}

#[test]
fn million_sessions_fit_stated_bytes() {
    let mut cache = CommitCache::new(1_000_000);
    for n in 0..3_000_000u64 {
        cache.insert(SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), Time(n as i64));
    }
    let places = cache.table_capacity();
    assert!(cache.len() >= 1_000_000, "{}", cache.len());
    // No table has doubled.
    assert_eq!(places, cache.generation_count() * GENERATION_SESSIONS);
    assert!(CommitCache::max_table_bytes(1_000_000) < 24_600_000);
}

proptest! {
    /// Whatever comes in whatever order, no session's required position ever sinks below a commit that was
    /// added.
    #[test]
    fn required_position_never_sinks(steps in prop::collection::vec((0u64..40, 0i64..1000, prop::bool::weighted(0.05)), 1..400)) {
        let mut cache = CommitCache::with_generations(8, 4);
        let mut must: HashMap<u64, i64> = HashMap::new();
        let mut floor = -1;
        for (key, at, raise) in steps {
            if raise {
                cache.raise_floor(Time(at));
                floor = floor.max(at);
            } else {
                cache.insert(SessionKey(key), Time(at));
                let m = must.entry(key).or_insert(at);
                *m = (*m).max(at);
            }
            for (k, at) in &must {
                prop_assert!(cache.required_position(SessionKey(*k)) >= Some(Time((*at).max(floor))));
            }
            prop_assert!(cache.len() <= 12);
        }
    }
}
