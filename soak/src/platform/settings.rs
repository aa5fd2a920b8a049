//! The configuration of the platform's routers, including the limits that the oracles check.
use crate::class::{Class, MAX_DATA_AGE, REPEAT_WINDOW};
use crate::time::{MILLISECOND, Micros};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The share of its capacity that a server has when it starts.
pub const COLD_CAPACITY: f64 = 0.1;
/// How long after its start a server reaches its full capacity, in milliseconds.
pub const COLD_MS: f64 = 6000.0;
/// A server that is warming up counts as overloaded if it receives more than this multiple of its current
/// capacity within [`OVERLOAD_WINDOW`].
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// The window over which [`OVERLOAD_FACTOR`] applies.
pub const OVERLOAD_WINDOW: Micros = 1_000_000;
/// How long after a router was notified of a drain it may still send new requests to the server.
pub const DRAIN_GRACE: Micros = 250_000;
/// The memory limit of a router, in MiB.
pub const MEMORY_MB: usize = 64;
/// The limit on a router's open file descriptors.
pub const MAX_SOCKETS: usize = 256;

/// The parts of a router's configuration that depend on the run or on the router.
pub struct RouterSettings {
    /// The index of the configured router.
    pub router: usize,
    /// The router's address for clients.
    pub listen: SocketAddr,
    /// The router's admin address.
    pub admin: SocketAddr,
    /// The address of the router's discovery agent.
    pub discovery: SocketAddr,
    /// The endpoint list in the configuration.
    pub endpoints: Value,
    /// The number of routers in the run.
    pub routers: usize,
}

impl RouterSettings {
    /// Returns the configuration as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "name": format!("n{}", self.router),
            "listen": self.listen.to_string(),
            "admin_addr": self.admin.to_string(),
            "discovery": self.discovery.to_string(),
            "seed": format!("8c1f30d27a5be9{:02x}", self.router),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
            "known": self.endpoints,
            "settings": {
                "classes": Class::ALL.map(class_json),
                "extra": extra_json(),
                "limits": {"cancel": true, "dialTimeoutMs": 250.0, "keepaliveMs": 30000.0,
                    "maxRetryAfterMs": 500.0, "mayDuplicate": false, "mostTries": 6, "probes": true,
                    "retryAfter": true},
                "contract": contract_json(),
                "failureDomains": ["a"], "membershipMode": "automatic", "prices": {"probe": 0.03},
                "replicasOfMe": self.routers, "roundMs": 5.0, "zone": 0,
            },
        })
    }
}

fn milliseconds(time: Micros) -> f64 {
    time as f64 / MILLISECOND as f64
}

fn class_json(class: Class) -> Value {
    let deadline_ms = milliseconds(class.deadline());
    json!({
        "name": class.name(),
        "semantics": semantics(class),
        "group": "cell",
        "repeatWindowMs": milliseconds(REPEAT_WINDOW),
        "deadlineMs": deadline_ms,
        "objectiveMs": deadline_ms / 2.0,
        "worth": 1.0,
        "lateWorth": 0.5,
        "streaming": false,
    })
}

fn semantics(class: Class) -> &'static str {
    match class {
        Class::Write => "non_idempotent",
        Class::Keyed => "idempotency_key",
        Class::Any | Class::Bounded | Class::Session => "read_like",
    }
}

fn freshness(class: Class) -> &'static str {
    match class {
        Class::Any => "eventual",
        Class::Bounded => "lag_bound",
        Class::Session => "causal",
        Class::Write | Class::Keyed => "mutate",
    }
}

fn max_data_age(class: Class) -> Micros {
    if class == Class::Bounded { MAX_DATA_AGE } else { 0 }
}

fn extra_json() -> Value {
    json!({
        "freshness": Class::ALL.map(freshness),
        "oldestDataMs": Class::ALL.map(|class| milliseconds(max_data_age(class))),
        "whenBehind": "silent",
        "positionZeroMs": 0.0,
        "writeMarks": "brought",
    })
}

fn contract_json() -> Value {
    json!({
        "drainGraceMs": milliseconds(DRAIN_GRACE),
        "coldFrom": COLD_CAPACITY,
        "coldMs": COLD_MS,
        "overloadFactor": OVERLOAD_FACTOR,
        "tipAfterMs": milliseconds(OVERLOAD_WINDOW),
        "drainBindsAlone": false,
    })
}
