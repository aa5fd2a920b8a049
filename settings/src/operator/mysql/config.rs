//! Reads and validates the table `[mysql]`.
use super::bounds::{decision_settings, read_connect_timeout, read_limits};
use super::classes::{NamedClass, read_classes};
use crate::error::Error;
use crate::fields::{boolean, string, unsigned_integer};
use crate::limits::Limits;
use crate::operator::credentials::Credentials;
use crate::operator::table::{check_keys, optional, owned_string, positive_number, read_tables, value_or};
use decision::{Freshness, Settings};
use serde_json::Value;
use std::net::SocketAddr;

/// The keys of the table `[mysql]`.
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

/// A rule that assigns statements with a given prefix to a class and a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementRule {
    /// The prefix of matching statements, in lower case and with single spaces.
    pub prefix: String,
    /// Index of the class in [`MysqlConfig::class_names`].
    pub class: usize,
    /// The replication group that serves matching statements.
    pub group: u32,
}

/// A database server of the initial server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's unique id.
    pub id: String,
    /// The address at which the server listens.
    pub addr: SocketAddr,
    /// The replication group to which the server belongs.
    pub group: u32,
    /// The server's capacity relative to other servers; above 0.
    pub weight: f64,
    /// The server's site, if configured.
    pub site: Option<String>,
}

/// Settings of the `MySQL` front end and of its connections to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct MysqlConfig {
    /// The address at which clients connect.
    pub listen: String,
    /// The router's own site; servers at the same site are preferred.
    pub site: Option<String>,
    /// The name of the only database that clients can use.
    pub database: String,
    /// Credentials with which clients log in.
    pub users: Vec<Credentials>,
    /// The user name with which the router logs in to servers.
    pub server_user: String,
    /// The password of `server_user`; empty if not configured.
    pub server_password: String,
    /// The SQL statement of the health check. It returns whether a server is read-only and its heartbeat in
    /// Unix milliseconds.
    pub health_check_statement: String,
    /// The names of all classes: those of the file, then the built-in `unknown` and `prepare`.
    pub class_names: Vec<String>,
    /// For each class, whether its statements only read.
    pub class_is_read: Vec<bool>,
    /// For each class, its deadline in milliseconds.
    pub class_deadlines_ms: Vec<u64>,
    /// Index of the class for statements that match no rule: non-idempotent writes.
    pub unknown_class: usize,
    /// Index of the class for preparing a statement without executing it.
    pub prepare_class: usize,
    /// The replication group of statements whose rule names no group.
    pub default_group: u32,
    /// The statement rules; the first match applies.
    pub rules: Vec<StatementRule>,
    /// The initial server list, used at the first start.
    pub servers: Vec<Server>,
    /// The health check statement returns the server's clock in its third column.
    pub health_check_returns_clock: bool,
    /// For each class, whether its reads must see the commits of their session.
    pub class_uses_session: Vec<bool>,
}

/// Reads the table `[mysql]` and derives the settings of the decision logic and the program limits from it.
pub(in crate::operator) fn read_mysql(v: &Value) -> Result<(MysqlConfig, Settings, Limits), Error> {
    check_keys(v, &KEYS)?;
    let classes = read_classes(v)?;
    let mysql = read_front(v, &classes)?;
    let connect_timeout = read_connect_timeout(v)?;
    let limits = read_limits(v, connect_timeout, &mysql.class_deadlines_ms)?;
    let router_count = value_or(v, "routers", 1, unsigned_integer)?.max(1) as u32;
    let classes = classes.into_iter().map(|named| named.class).collect();
    Ok((mysql, decision_settings(classes, router_count, connect_timeout), limits))
}

/// Reads the settings of the front end. The last two `classes` are the built-in `unknown` and `prepare`.
fn read_front(v: &Value, classes: &[NamedClass]) -> Result<MysqlConfig, Error> {
    let group = value_or(v, "group", 0, unsigned_integer)? as u32;
    let for_each_class =
        |is: fn(Freshness) -> bool| classes.iter().map(|named| is(named.class.freshness)).collect();
    Ok(MysqlConfig {
        listen: owned_string(v, "listen")?,
        site: optional(v, "site", owned_string)?,
        database: owned_string(v, "database")?,
        users: read_tables(v, "user", read_user)?,
        server_user: owned_string(v, "server_user")?,
        server_password: value_or(v, "server_password", String::new(), owned_string)?,
        health_check_statement: owned_string(v, "probe")?,
        rules: read_tables(v, "rule", |rule| read_rule(rule, classes, group))?,
        servers: read_tables(v, "server", read_server)?,
        health_check_returns_clock: boolean(v, "server_clock")?,
        class_uses_session: for_each_class(|freshness| freshness == Freshness::Session),
        class_is_read: for_each_class(|freshness| freshness != Freshness::Write),
        class_deadlines_ms: classes.iter().map(|named| (named.class.deadline / 1000) as u64).collect(),
        class_names: classes.iter().map(|named| named.name.clone()).collect(),
        unknown_class: classes.len() - 2,
        prepare_class: classes.len() - 1,
        default_group: group,
    })
}

fn read_user(v: &Value) -> Result<Credentials, Error> {
    check_keys(v, &["name", "password"])?;
    Ok(Credentials { user: owned_string(v, "name")?, password: owned_string(v, "password")? })
}

fn read_rule(v: &Value, classes: &[NamedClass], default_group: u32) -> Result<StatementRule, Error> {
    check_keys(v, &["starts", "class", "group"])?;
    let class = string(v, "class")?;
    let index = classes.iter().position(|named| named.name == class);
    let starts = string(v, "starts")?.split_whitespace().collect::<Vec<_>>().join(" ").to_lowercase();
    Ok(StatementRule {
        prefix: starts,
        class: index
            .ok_or_else(|| Error::invalid_value("class", "a listed class", format_args!("'{class}'")))?,
        group: value_or(v, "group", u64::from(default_group), unsigned_integer)? as u32,
    })
}

fn read_server(v: &Value) -> Result<Server, Error> {
    check_keys(v, &["id", "addr", "group", "weight", "site"])?;
    let addr = string(v, "addr")?;
    let addr = addr.parse().map_err(|_| Error::invalid_value("addr", "ip:port", format_args!("'{addr}'")))?;
    let group = value_or(v, "group", 0, unsigned_integer)? as u32;
    let weight = value_or(v, "weight", 1.0, positive_number)?;
    let site = optional(v, "site", owned_string)?;
    Ok(Server { id: owned_string(v, "id")?, addr, group, weight, site })
}
