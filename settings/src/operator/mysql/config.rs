//! The table `[mysql]`, read and checked.
use super::bounds::{decision_settings, read_connect_timeout, read_limits};
use super::classes::{NamedClass, read_classes};
use crate::error::Error;
use crate::fields::{boolean, string, unsigned_integer};
use crate::limits::Limits;
use crate::operator::credentials::Credentials;
use crate::operator::table::{each, only, optional, or, owned, positive};
use decision::{Freshness, Settings};
use serde_json::Value;
use std::net::SocketAddr;

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

/// Reads the table, and what follows from it for the decision logic and the program's bounds.
pub(in crate::operator) fn read_mysql(v: &Value) -> Result<(MysqlConfig, Settings, Limits), Error> {
    only(v, &KEYS)?;
    let classes = read_classes(v)?;
    let mysql = read_front(v, &classes)?;
    let connect_timeout = read_connect_timeout(v)?;
    let limits = read_limits(v, connect_timeout, &mysql.class_deadlines_ms)?;
    let router_count = or(v, "routers", 1, unsigned_integer)?.max(1) as u32;
    let classes = classes.into_iter().map(|named| named.class).collect();
    Ok((mysql, decision_settings(classes, router_count, connect_timeout), limits))
}

/// `classes` end in the two of the program.
fn read_front(v: &Value, classes: &[NamedClass]) -> Result<MysqlConfig, Error> {
    let group = or(v, "group", 0, unsigned_integer)? as u32;
    let for_each_class =
        |is: fn(Freshness) -> bool| classes.iter().map(|named| is(named.class.freshness)).collect();
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
    only(v, &["name", "password"])?;
    Ok(Credentials { user: owned(v, "name")?, password: owned(v, "password")? })
}

fn read_rule(v: &Value, classes: &[NamedClass], default_group: u32) -> Result<StatementRule, Error> {
    only(v, &["starts", "class", "group"])?;
    let class = string(v, "class")?;
    let position = classes.iter().position(|named| named.name == class);
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
