//! Property tests of the platform configuration: generated classes and zones with arbitrary names in any
//! order, and an arbitrary value in place of any other.
use decision::{Freshness, Idempotency};
use proptest::prelude::*;
use serde_json::{Value, json};
use settings::Error;
use settings::start::{PlatformConfig, read};
use std::time::Duration;

/// Returns a class with its entries in the lists of freshness keywords and staleness limits; `seed` varies
/// the settings.
fn class(name: String, seed: u64) -> (Value, Value, Value) {
    let words = ["mutate", "strong", "causal", "lag_bound", "eventual"];
    let effects = ["read_like", "non_idempotent", "idempotency_key"];
    let groups = ["cell", "all", "zone"];
    let class = json!({"name": name, "semantics": effects[seed as usize % 3],
        "group": groups[seed as usize / 3 % 3],
        "repeatWindowMs": 10 * seed, "deadlineMs": 20 + seed, "objectiveMs": 10 + seed % 7,
        "worth": 1 + seed % 5,
        "lateWorth": (seed % 3) as f64 / 2.0});
    (class, json!(words[seed as usize % 5]), json!(100 + seed))
}

/// Returns a platform configuration with these classes and zones.
fn config(classes: &[(Value, Value, Value)], zones: &[String], zone: u32) -> Value {
    let column =
        |get: fn(&(Value, Value, Value)) -> &Value| Value::Array(classes.iter().map(get).cloned().collect());
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "known": {"version": 1, "full": true, "servers": []},
        "limits": {"memory_mb": 192, "sockets": 256},
        "settings": {"classes": column(|c| &c.0),
            "extra": {"freshness": column(|c| &c.1), "oldestDataMs": column(|c| &c.2), "whenBehind": "await",
                "patienceMs": 20.0, "positionZeroMs": 0.0, "writeMarks": "brought"},
            "limits": {"dialTimeoutMs": 250.0, "keepaliveMs": 30000.0, "mostTries": 6, "retryAfter": true,
                "maxRetryAfterMs": 500.0, "cancel": true, "probes": true, "mayDuplicate": true},
            "contract": {"drainGraceMs": 250.0, "coldFrom": 0.15, "coldMs": 18000.0, "overloadFactor": 2.5,
                "tipAfterMs": 1000.0},
            "tenants": [{"name": "t", "quotaRps": 5.0, "share": 1.0}], "prices": {"probe": 0.03},
            "failureDomains": zones, "membershipMode": "automatic", "replicasOfMe": 3, "roundMs": 5.0,
            "zone": zone}})
}

fn read_config(config: &Value) -> Result<PlatformConfig, Error> {
    read(&config.to_string(), &|_| None)
}

/// Returns the settings of a class, without its name, as text.
fn class_settings(start: &PlatformConfig, index: usize) -> String {
    format!("{:?}", start.settings.classes[index])
}

/// Generates distinct names with arbitrary printable characters.
fn distinct_names(max_count: usize) -> impl Strategy<Value = Vec<String>> {
    proptest::collection::btree_set("\\PC{0,9}", 0..max_count).prop_map(|s| s.into_iter().collect())
}

/// Collects JSON pointers to the value and all values nested in it.
fn pointers(v: &Value, pointer: String, all: &mut Vec<String>) {
    match v {
        Value::Object(o) => o.iter().for_each(|(k, v)| pointers(v, format!("{pointer}/{k}"), all)),
        Value::Array(a) => a.iter().enumerate().for_each(|(k, v)| pointers(v, format!("{pointer}/{k}"), all)),
        _ => {}
    }
    all.push(pointer);
}

fn arbitrary_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        proptest::sample::select(vec![0.0, -1.0, 0.5, 1e-9, 4_294_967_296.0, 1e15, 1e17, 1e300, -1e300])
            .prop_map(Value::from),
        "\\PC{0,9}".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::hash_map("[a-z]{0,4}", inner, 0..4)
                .prop_map(|m| Value::from(m.into_iter().collect::<serde_json::Map<_, _>>())),
        ]
    })
}

proptest! {
    #[test]
    fn class_names_and_order_do_not_change_settings(
        (names, new_names) in distinct_names(70).prop_flat_map(|n| {
            let new_names = distinct_names(2 * n.len().max(1) + 70);
            (Just(n), new_names)
        }),
        seed in any::<u64>(),
        order in any::<u64>(),
    ) {
        let class_of =
            |name: &String, i: usize| class(name.clone(), seed.wrapping_add(i as u64 * 7919) % 100_000);
        let classes: Vec<_> = names.iter().enumerate().map(|(i, n)| class_of(n, i)).collect();
        let zones = vec!["a".to_string(), "b".to_string()];
        let original = read_config(&config(&classes, &zones, 1)).unwrap();
        prop_assert_eq!(&original.names.classes, &names);
        // Renaming the classes does not change their settings.
        let renamed: Vec<_> = names.iter().enumerate().map(|(i, _)| {
            let name =
                new_names.get(i).cloned().unwrap_or_else(|| format!("class {i} without a generated name"));
            class_of(&name, i)
        }).collect();
        let renamed_start = read_config(&config(&renamed, &zones, 1)).unwrap();
        for i in 0..names.len() {
            prop_assert_eq!(class_settings(&original, i), class_settings(&renamed_start, i));
        }
        // Reordering the classes reorders their settings.
        let mut new_order: Vec<usize> = (0..names.len()).collect();
        new_order.sort_by_key(|i| (*i as u64).wrapping_mul(order | 1).rotate_left(17));
        let reordered: Vec<_> = new_order.iter().map(|i| classes[*i].clone()).collect();
        let reordered_start = read_config(&config(&reordered, &zones, 1)).unwrap();
        for (at, i) in new_order.iter().enumerate() {
            prop_assert_eq!(class_settings(&reordered_start, at), class_settings(&original, *i));
            prop_assert_eq!(&reordered_start.names.classes[at], &names[*i]);
        }
        // Limits that are derived from the classes do not depend on their order or names.
        prop_assert_eq!(&reordered_start.limits, &original.limits);
        prop_assert_eq!(&renamed_start.limits, &original.limits);
    }

    #[test]
    fn unnamed_zone_matches_no_member(
        zones in distinct_names(12),
        zone in prop_oneof![0u32..14, any::<u32>()],
    ) {
        let classes = [class("only".into(), 4)];
        let read = read_config(&config(&classes, &zones, zone)).unwrap();
        prop_assert_eq!(&read.names.zones, &zones);
        // Zones that only the endpoint list names are numbered after the configured ones, so this router is
        // in none of them.
        let own_zone = if (zone as usize) < zones.len() { zone } else { u32::MAX };
        prop_assert_eq!(read.settings.zone, own_zone);
    }

    #[test]
    fn any_value_is_accepted_or_rejected_with_its_key(
        pointer in any::<prop::sample::Index>(),
        value in arbitrary_value(),
    ) {
        let classes: Vec<_> = (0..4).map(|i| class(format!("class {i}"), i)).collect();
        let valid = config(&classes, &["a".into(), "b".into()], 0);
        let mut all = Vec::new();
        pointers(&valid, String::new(), &mut all);
        let pointer = pointer.get(&all);
        let mut changed = valid.clone();
        *changed.pointer_mut(pointer).unwrap() = value;
        match read_config(&changed) {
            Ok(read) => {
                // Accepted durations are small enough that sums and small multiples of them do not overflow.
                let s = &read.settings;
                let max_micros = 1e14 as i64;
                for c in &s.classes {
                    let bound = match c.freshness { Freshness::Bounded(b) => b, _ => 0 };
                    let window = match c.idempotency {
                        Idempotency::DeduplicatedInGroup(w)
                        | Idempotency::DeduplicatedEverywhere(w)
                        | Idempotency::DeduplicatedInZone(w) => w,
                        Idempotency::Idempotent | Idempotency::NotIdempotent => 0,
                    };
                    for time in [c.latency_objective, c.deadline, bound, window] {
                        prop_assert!((0..=max_micros).contains(&time));
                    }
                    prop_assert!(c.priority_weight >= 0.0 && c.late_weight_share >= 0.0);
                }
                for time in [
                    s.min_event_interval, s.connect_timeout, s.drain_grace, s.slow_start_duration,
                    s.overload_duration
                ] {
                    prop_assert!((0..=max_micros).contains(&time));
                }
                prop_assert!(s.connect_timeout > 0 && s.max_attempts > 0 && s.router_count > 0);
                prop_assert_eq!(read.names.classes.len(), s.classes.len());
                prop_assert!(
                    read.limits.max_client_connections > 0 && read.limits.max_backend_connections > 0
                );
                prop_assert!(read.limits.max_unchecked_idle_time <= read.limits.backend_idle_timeout);
            }
            Err(e) => {
                // The message contains at least one key of the path to the changed value.
                let message = e.to_string();
                let names = pointer.split('/').filter(|p| !p.is_empty() && p.parse::<usize>().is_err());
                let named = names.clone().any(|name| message.contains(name));
                prop_assert!(named || names.count() == 0, "{}: {}", pointer, message);
            }
        }
    }
}

#[test]
fn unchecked_idle_time_is_at_most_half_of_keepalive() {
    for keepalive_ms in [0, 1, 20, 99, 100, 3000, 30_000, 60_000] {
        let mut c = config(&[class("only".into(), 4)], &["a".into()], 0);
        c["settings"]["limits"]["keepaliveMs"] = json!(keepalive_ms);
        let limits = read_config(&c).unwrap().limits;
        assert!(
            limits.max_unchecked_idle_time <= Duration::from_millis(keepalive_ms) / 2,
            "{keepalive_ms} ms: {limits:?}"
        );
        assert!(limits.backend_idle_timeout >= Duration::from_millis(keepalive_ms) / 2);
    }
}

#[test]
fn backend_check_timeout_follows_connect_timeout() {
    for (dial_ms, check_ms) in [(150, 40), (250, 40), (600, 96), (3000, 480)] {
        let mut c = config(&[class("only".into(), 4)], &["a".into()], 0);
        c["settings"]["limits"]["dialTimeoutMs"] = json!(dial_ms);
        let limits = read_config(&c).unwrap().limits;
        assert_eq!(limits.backend_check_timeout, Duration::from_millis(check_ms), "{dial_ms} ms to connect");
        assert_eq!(limits.backend_connect_timeout, Duration::from_millis(dial_ms));
    }
}
