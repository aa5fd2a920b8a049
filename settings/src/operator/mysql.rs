//! The table `[mysql]`: the `MySQL` front, its users, classes, rules and servers, and the bounds and decision settings
//! that follow from it.
use super::credentials::Credentials;
use super::table::{each, only, optional, or, owned, positive};
use crate::error::Error;
use crate::fields::{boolean, number, string, unsigned_integer};
use crate::limits::Limits;
use decision::{Class, Freshness, Idempotency, LaggingReplica, Micros, SessionCommitSource, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The keys of the table.
const KEYS: [&str; 22] = [
    "listen",
    "site",
    "database",
    "user",
    "server_user",
    "server_password",
    "probe",
    "group",
    "deadline_ms",
    "connect_ms",
    "idle_s",
    "sockets",
    "memory_mb",
    "routers",
    "clock_skew_ms",
    "clock_offset_ms",
    "server_clock",
    "message_bytes",
    "answer_bytes",
    "class",
    "rule",
    "server",
];

/// The deadline, in milliseconds, of statements that no rule names.
const DEFAULT_DEADLINE_MS: f64 = 2000.0;
/// A class's priority weight where the file sets none.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// The share of it that a late answer keeps, where the file sets none.
const DEFAULT_LATE_WEIGHT_SHARE: f64 = 0.5;
/// The longest time to connect and the largest clock skew, in milliseconds; higher ones count as this.
const MAX_SHORT_MS: f64 = 60_000.0;
/// The longest time that a server may leave a connection idle, in seconds: a day. Longer ones count as this.
const MAX_IDLE_S: f64 = 86_400.0;
/// The largest offset of the clock, in milliseconds: a day. Larger ones count as this.
const MAX_CLOCK_OFFSET_MS: f64 = 86_400_000.0;
/// Least and most memory in MiB; figures beyond count as these.
const MEMORY_MB: (u64, u64) = (16, 1 << 20);
/// How long `MySQL` clients may stay idle: they keep sessions with prepared statements, and servers let them for as long.
const CLIENT_IDLE: Duration = Duration::from_secs(8 * 3600);

/// A rule that gives statements their class and group by their beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementRule {
    /// The beginning, in lower case with single spaces.
    pub prefix: String,
    /// Position of the class in [`MysqlConfig::class_names`].
    pub class: usize,
    /// The group of servers.
    pub group: u32,
}

/// A server of the list at the first start.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its group.
    pub group: u32,
    /// Its capacity in proportion to others; above 0.
    pub weight: f64,
    /// Its site, where the file names one.
    pub site: Option<String>,
}

/// The `MySQL` front and its connections to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct MysqlConfig {
    /// Where clients connect.
    pub listen: String,
    /// The router's own site: servers of the same site are preferred.
    pub site: Option<String>,
    /// The one database.
    pub database: String,
    /// Names and passwords of the clients' users.
    pub users: Vec<Credentials>,
    /// The router's user at the servers.
    pub server_user: String,
    /// The password of `server_user`; empty where the file sets none.
    pub server_password: String,
    /// The health check's statement: whether a server is read-only, and its heartbeat in Unix milliseconds.
    pub health_check_statement: String,
    /// The names of all classes: those of the file, then `unknown` and `prepare`.
    pub class_names: Vec<String>,
    /// Which of them only read.
    pub class_is_read: Vec<bool>,
    /// Their deadlines in milliseconds.
    pub class_deadlines_ms: Vec<u64>,
    /// Position of the class of statements that no rule names: a write that must not run twice.
    pub unknown_class: usize,
    /// Position of the class for preparing a statement, which runs nothing.
    pub prepare_class: usize,
    /// The group of statements whose rule names none.
    pub default_group: u32,
    /// The rules; the first that matches counts.
    pub rules: Vec<StatementRule>,
    /// The servers at the first start.
    pub servers: Vec<Server>,
    /// Health checks return the server's clock as their third cell.
    pub health_check_returns_clock: bool,
    /// Which classes' reads must see what their session has written.
    pub class_uses_session: Vec<bool>,
}

/// A class with its name.
type NamedClass = (String, Class);

/// Reads the table, and what follows from it for the decision logic and the program's bounds.
pub(super) fn read_mysql(v: &Value) -> Result<(MysqlConfig, Settings, Limits), Error> {
    only(v, &KEYS)?;
    let classes = read_classes(v)?;
    let mysql = read_front(v, &classes)?;
    let connect = Duration::from_secs_f64(or(v, "connect_ms", 250.0, positive)?.min(MAX_SHORT_MS) / 1000.0);
    let limits = read_limits(v, connect, &mysql.class_deadlines_ms)?;
    let router_count = or(v, "routers", 1, unsigned_integer)?.max(1) as u32;
    let classes = classes.into_iter().map(|(_, class)| class).collect();
    Ok((mysql, decision_settings(classes, router_count, connect), limits))
}

/// The classes of the file, and behind them the two of the program: `unknown` and `prepare`.
fn read_classes(v: &Value) -> Result<Vec<NamedClass>, Error> {
    let mut classes = each(v, "class", read_class)?;
    let deadline = micros(or(v, "deadline_ms", DEFAULT_DEADLINE_MS, positive)?);
    let own = |freshness, idempotency| Class {
        freshness,
        idempotency,
        latency_objective: deadline,
        deadline,
        priority_weight: DEFAULT_PRIORITY_WEIGHT,
        late_weight_share: DEFAULT_LATE_WEIGHT_SHARE,
    };
    classes.push(("unknown".into(), own(Freshness::Write, Idempotency::NotIdempotent)));
    classes.push(("prepare".into(), own(Freshness::Any, Idempotency::Idempotent)));
    Ok(classes)
}

/// Microseconds, cut off below.
fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

fn read_class(v: &Value) -> Result<NamedClass, Error> {
    only(v, &["name", "freshness", "bound_ms", "effect", "aim_ms", "deadline_ms", "worth", "late_worth"])?;
    let freshness = read_freshness(v)?;
    let idempotency = match string(v, "effect")? {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NotIdempotent,
        x => return Err(Error::invalid_value("effect", "safe or unsafe", format_args!("'{x}'"))),
    };
    let latency_objective = micros(positive(v, "aim_ms")?);
    let deadline = micros(positive(v, "deadline_ms")?);
    if latency_objective > deadline {
        return Err(Error::invalid(
            "'aim_ms' to be at most 'deadline_ms'",
            format_args!("{} above {}", latency_objective / 1000, deadline / 1000),
        ));
    }
    let priority_weight = or(v, "worth", DEFAULT_PRIORITY_WEIGHT, positive)?;
    let late_weight_share = or(v, "late_worth", DEFAULT_LATE_WEIGHT_SHARE, number)?;
    let name = owned(v, "name")?;
    Ok((
        name,
        Class { freshness, idempotency, latency_objective, deadline, priority_weight, late_weight_share },
    ))
}

fn read_freshness(v: &Value) -> Result<Freshness, Error> {
    let known = "write, fresh, session, bounded or any";
    Ok(match string(v, "freshness")? {
        "write" => Freshness::Write,
        "fresh" => Freshness::Latest,
        "session" => Freshness::Session,
        "bounded" => Freshness::Bounded(micros(positive(v, "bound_ms")?)),
        "any" => Freshness::Any,
        x => return Err(Error::invalid_value("freshness", known, format_args!("'{x}'"))),
    })
}

/// `classes` end in the two of the program.
fn read_front(v: &Value, classes: &[NamedClass]) -> Result<MysqlConfig, Error> {
    let group = or(v, "group", 0, unsigned_integer)? as u32;
    let of_each = |is: fn(Freshness) -> bool| classes.iter().map(|(_, class)| is(class.freshness)).collect();
    Ok(MysqlConfig {
        listen: owned(v, "listen")?,
        site: optional(v, "site", owned)?,
        database: owned(v, "database")?,
        users: each(v, "user", read_user)?,
        server_user: owned(v, "server_user")?,
        server_password: or(v, "server_password", String::new(), owned)?,
        health_check_statement: owned(v, "probe")?,
        rules: each(v, "rule", |rule| read_rule(rule, classes, group))?,
        servers: each(v, "server", read_server)?,
        health_check_returns_clock: boolean(v, "server_clock")?,
        class_uses_session: of_each(|freshness| freshness == Freshness::Session),
        class_is_read: of_each(|freshness| freshness != Freshness::Write),
        class_deadlines_ms: classes.iter().map(|(_, class)| (class.deadline / 1000) as u64).collect(),
        class_names: classes.iter().map(|(name, _)| name.clone()).collect(),
        unknown_class: classes.len() - 2,
        prepare_class: classes.len() - 1,
        default_group: group,
    })
}

fn read_user(v: &Value) -> Result<Credentials, Error> {
    only(v, &["name", "password"])?;
    Ok(Credentials { user: owned(v, "name")?, password: owned(v, "password")? })
}

fn read_rule(v: &Value, classes: &[NamedClass], default_group: u32) -> Result<StatementRule, Error> {
    only(v, &["starts", "class", "group"])?;
    let class = string(v, "class")?;
    let position = classes.iter().position(|(name, _)| name == class);
    let starts = string(v, "starts")?.split_whitespace().collect::<Vec<_>>().join(" ").to_lowercase();
    Ok(StatementRule {
        prefix: starts,
        class: position
            .ok_or_else(|| Error::invalid_value("class", "a listed class", format_args!("'{class}'")))?,
        group: or(v, "group", u64::from(default_group), unsigned_integer)? as u32,
    })
}

fn read_server(v: &Value) -> Result<Server, Error> {
    only(v, &["id", "addr", "group", "weight", "site"])?;
    let addr = string(v, "addr")?;
    let addr = addr.parse().map_err(|_| Error::invalid_value("addr", "ip:port", format_args!("'{addr}'")))?;
    let group = or(v, "group", 0, unsigned_integer)? as u32;
    let weight = or(v, "weight", 1.0, positive)?;
    let site = optional(v, "site", owned)?;
    Ok(Server { id: owned(v, "id")?, addr, group, weight, site })
}

fn read_limits(v: &Value, connect: Duration, deadlines_ms: &[u64]) -> Result<Limits, Error> {
    let idle = Duration::from_secs_f64(or(v, "idle_s", 60.0, positive)?.min(MAX_IDLE_S));
    let longest_deadline = Duration::from_millis(deadlines_ms.iter().max().copied().unwrap_or(2000));
    let sockets = or(v, "sockets", 1024, unsigned_integer)? as usize;
    let memory_mb = or(v, "memory_mb", 256, unsigned_integer)?.clamp(MEMORY_MB.0, MEMORY_MB.1) as usize;
    let mut limits = Limits::new(sockets, memory_mb << 20, connect, idle, longest_deadline);
    limits.max_message_bytes = or(v, "message_bytes", 512 * 1024, unsigned_integer)? as usize;
    limits.max_response_bytes =
        or(v, "answer_bytes", limits.max_response_bytes as u64, unsigned_integer)? as usize;
    limits.client_idle_timeout = CLIENT_IDLE;
    limits.client_idle_timeout_when_crowded = CLIENT_IDLE;
    limits.client_first_request_timeout = CLIENT_IDLE;
    // These connections are not checked before use: one that is stale must not keep a server's place.
    limits.backend_idle_timeout = limits.max_unchecked_idle_time;
    let clock_skew_ms = or(v, "clock_skew_ms", 50.0, positive)?.min(MAX_SHORT_MS);
    limits.max_clock_skew = Duration::from_secs_f64(clock_skew_ms / 1000.0);
    let clock_offset_ms = or(v, "clock_offset_ms", 0.0, number)?;
    limits.clock_offset_us =
        (clock_offset_ms.clamp(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS) * 1000.0) as i64;
    Ok(limits)
}

/// Times are in microseconds.
fn decision_settings(classes: Vec<Class>, router_count: u32, connect: Duration) -> Settings {
    Settings {
        classes,
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count,
        zone: 0,
        min_event_interval: 5_000,
        // A replica answers from the state that it has: a read goes only where it is proved to be fresh enough.
        lagging_replica: LaggingReplica::AnswersStale,
        // The front carries what a session must see: it may come from another instance, or from before a restart.
        session_commit_source: SessionCommitSource::CarriedByRequest,
        hedging_allowed: true,
        max_attempts: 6,
        cancel_allowed: true,
        probing_allowed: true,
        probe_cost: 0.0,
        max_retry_after: Some(500_000),
        connect_timeout: connect.as_micros() as i64,
        drain_grace: 250_000,
        missing_members_may_serve: false,
        slow_start_initial_share: 0.25,
        slow_start_duration: 15_000_000,
        overload_factor: 2.5,
        overload_duration: 1_000_000,
        list_requires_subscription: false,
    }
}
