//! The configuration of the platform's routers.
use crate::history::{BOUND, Class, Micros, REPEAT_WINDOW};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The share of its capacity with which a server starts.
pub const COLD_FROM: f64 = 0.1;
/// A started server has its full capacity after this many milliseconds.
pub const COLD_MS: f64 = 6000.0;
/// A cold server falls when it gets more than this multiple of its capacity
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// over this time.
pub const OVERLOAD_WINDOW: Micros = 1_000_000;
/// How long after the notice a drained server may still get something new.
pub const DRAIN_GRACE: Micros = 250_000;
/// The limit on a router's memory.
pub const MEMORY_MB: usize = 64;
/// The limit on a router's descriptors.
pub const SOCKETS: usize = 256;

fn class(class: Class) -> Value {
    let semantics = match class {
        Class::Write => "non_idempotent",
        Class::Keyed => "idempotency_key",
        _ => "read_like",
    };
    let deadline = class.deadline() as f64 / 1000.0;
    json!({
        "name": class.name(),
        "semantics": semantics,
        "group": "cell",
        "repeatWindowMs": REPEAT_WINDOW as f64 / 1000.0,
        "deadlineMs": deadline,
        "objectiveMs": deadline / 2.0,
        "worth": 1.0,
        "lateWorth": 0.5,
        "streaming": false,
    })
}

fn freshness(class: Class) -> &'static str {
    match class {
        Class::Any => "eventual",
        Class::Bounded => "lag_bound",
        Class::Session => "causal",
        Class::Write | Class::Keyed => "mutate",
    }
}

/// The configuration of one router.
pub fn config(
    router: usize,
    listen: SocketAddr,
    admin: SocketAddr,
    discovery: SocketAddr,
    known: Value,
    routers: usize,
) -> Value {
    let bounds = Class::ALL.map(|c| if c == Class::Bounded { BOUND as f64 / 1000.0 } else { 0.0 });
    json!({
        "name": format!("n{router}"),
        "listen": listen.to_string(),
        "admin_addr": admin.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("8c1f30d27a5be9{router:02x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": known,
        "settings": {
            "classes": Class::ALL.map(class),
            "extra": {"freshness": Class::ALL.map(freshness), "oldestDataMs": bounds, "whenBehind": "silent",
                "positionZeroMs": 0.0, "writeMarks": "brought"},
            "limits": {"cancel": true, "dialTimeoutMs": 250.0, "keepaliveMs": 30000.0, "maxRetryAfterMs": 500.0,
                "mayDuplicate": false, "mostTries": 6, "probes": true, "retryAfter": true},
            "contract": {"drainGraceMs": DRAIN_GRACE as f64 / 1000.0, "coldFrom": COLD_FROM, "coldMs": COLD_MS,
                "overloadFactor": OVERLOAD_FACTOR, "tipAfterMs": OVERLOAD_WINDOW as f64 / 1000.0,
                "drainBindsAlone": false},
            "failureDomains": ["a"], "membershipMode": "automatic", "prices": {"probe": 0.03},
            "replicasOfMe": routers, "roundMs": 5.0, "zone": 0,
        },
    })
}
