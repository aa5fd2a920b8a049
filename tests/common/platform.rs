//! A router's configuration in the platform's format.
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Settings with two classes, `read` and `order`.
pub(crate) fn settings() -> Value {
    let class = |name: &str, effect: &str, deadline: f64| {
        json!({"name": name, "semantics": effect, "deadlineMs": deadline, "objectiveMs": deadline / 2.0,
            "worth": 1.0, "lateWorth": 0.5, "group": "all", "repeatWindowMs": 5000.0, "streaming": false})
    };
    json!({
        "classes": [class("read", "read_like", 2000.0), class("order", "non_idempotent", 2000.0)],
        "extra": {"freshness": ["eventual", "mutate"], "oldestDataMs": [0.0, 0.0], "whenBehind": "await",
            "patienceMs": 20.0, "positionZeroMs": 0.0, "writeMarks": "brought"},
        "limits": {"cancel": true, "dialTimeoutMs": 250.0, "keepaliveMs": 30000.0, "maxRetryAfterMs": 500.0,
            "mayDuplicate": true, "mostTries": 6, "probes": true, "retryAfter": true},
        "contract": {"drainGraceMs": 250.0, "coldFrom": 0.15, "coldMs": 18000.0, "overloadFactor": 2.5,
            "tipAfterMs": 1000.0},
        "failureDomains": ["a"], "membershipMode": "automatic", "prices": {"probe": 0.03},
        "replicasOfMe": 1, "roundMs": 5.0, "zone": 0,
    })
}

/// A router's configuration with an initial list of these servers.
pub(crate) fn config(discovery: SocketAddr, servers: Vec<Value>) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"version": 41, "full": true, "servers": servers}, "settings": settings()})
}
