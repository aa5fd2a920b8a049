//! What a later file may change while the program runs, and which of its keys need a restart.
use super::config::{OperatorConfig, from_value, parse};
use super::mysql::MysqlConfig;
use super::table::only;
use crate::error::Error;
use crate::fields::field;
use crate::key_diff::changed_keys;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The keys of `[mysql]` that a later file may change and a registry may set.
const LIVE_MYSQL_KEYS: [&str; 3] = ["user", "rule", "group"];

/// Those of them that may still change where the later file has other classes.
const LIVE_MYSQL_KEYS_WITH_OTHER_CLASSES: [&str; 1] = ["user"];

/// What a file that is read while the program runs changes.
#[derive(Clone, Debug)]
pub struct Reload {
    /// The `MySQL` front's settings; only users, rules and the default group may differ from those of the start.
    pub mysql: MysqlConfig,
    /// The peers of sessions, where the file has `[sessions]` at all.
    pub session_peers: Option<BTreeMap<u64, SocketAddr>>,
    /// Keys that differ and are followed only by a restart.
    pub keys_needing_restart: Vec<String>,
}

/// Reads the text of a later file against the start. `overlay` is TOML from a registry, whose users, rules and default
/// group replace those of the file.
///
/// # Errors
/// An [`Error`] that names the faulty key of the file or of the overlay.
pub fn reload(toml: &str, overlay: Option<&str>, start: &OperatorConfig) -> Result<Reload, Error> {
    let mut value = parse(toml)?;
    if let Some(overlay) = overlay {
        apply_overlay(&mut value, &parse(overlay)?)?;
    }
    let new = from_value(value)?;
    let mut restart = changed_keys(&start.parsed_file, &new.parsed_file, &["mysql", "sessions"]);
    let (old_sessions, new_sessions) =
        (table(&start.parsed_file, "sessions"), table(&new.parsed_file, "sessions"));
    restart.extend(changed_session_keys(old_sessions, new_sessions));
    // Peers of another instance number or cluster must not meet a process that still has the old ones.
    let same = |key: &str| old_sessions.get(key) == new_sessions.get(key);
    let session_peers =
        new.sessions.filter(|_| start.sessions.is_some() && same("instance") && same("cluster"));
    let (old_mysql, new_mysql) = (table(&start.parsed_file, "mysql"), table(&new.parsed_file, "mysql"));
    // Rules name classes by their positions: with other classes they would mean something else to the router.
    let same_classes = old_mysql.get("class") == new_mysql.get("class");
    let live_keys: &[&str] =
        if same_classes { &LIVE_MYSQL_KEYS } else { &LIVE_MYSQL_KEYS_WITH_OTHER_CLASSES };
    restart.extend(changed_keys(old_mysql, new_mysql, live_keys).iter().map(|key| format!("mysql.{key}")));
    let mut mysql = start.mysql.clone();
    mysql.users = new.mysql.users;
    if same_classes {
        (mysql.rules, mysql.default_group) = (new.mysql.rules, new.mysql.default_group);
    }
    Ok(Reload { mysql, session_peers: session_peers.map(|s| s.peers), keys_needing_restart: restart })
}

/// Puts what a registry sets in place of what the file does.
fn apply_overlay(file: &mut Value, overlay: &Value) -> Result<(), Error> {
    only(overlay, &["mysql"])?;
    let overlay = field(overlay, "mysql")?;
    only(overlay, &LIVE_MYSQL_KEYS).map_err(|e| e.under_key("mysql"))?;
    let mysql =
        file.get_mut("mysql").and_then(Value::as_object_mut).ok_or_else(|| Error::missing("mysql"))?;
    for (key, value) in overlay.as_object().into_iter().flatten() {
        mysql.insert(key.clone(), value.clone());
    }
    Ok(())
}

/// The table under a key; null where there is none.
fn table<'a>(file: &'a Value, key: &str) -> &'a Value {
    file.get(key).unwrap_or(&Value::Null)
}

/// The keys of `[sessions]`, or the whole table, that differ and need a restart.
fn changed_session_keys(old: &Value, new: &Value) -> Vec<String> {
    if old.is_null() != new.is_null() {
        return vec!["sessions".into()];
    }
    // Of two nulls no key differs.
    changed_keys(old, new, &["peer"]).iter().map(|key| format!("sessions.{key}")).collect()
}
