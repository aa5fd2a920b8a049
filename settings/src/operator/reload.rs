//! Reload of an operator's file: which changes take effect while the program runs, and which require a
//! restart.
use super::config::{OperatorConfig, from_value, parse};
use super::mysql::MysqlConfig;
use super::table::check_keys;
use crate::error::Error;
use crate::fields::field;
use crate::key_diff::changed_keys;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The keys of `[mysql]` that take effect on reload and that a registry may override.
const RELOADABLE_MYSQL_KEYS: [&str; 3] = ["user", "rule", "group"];

/// The keys of `[mysql]` that take effect on reload even if the reloaded file changes the classes.
const RELOADABLE_MYSQL_KEYS_WITH_OTHER_CLASSES: [&str; 1] = ["user"];

/// The changes that a reloaded operator's file makes while the program runs.
#[derive(Clone, Debug)]
pub struct Reload {
    /// The new settings of the `MySQL` front end; only users, rules and the default group can differ from
    /// those at the start.
    pub mysql: MysqlConfig,
    /// The new addresses of the session peers, by instance; `None` if the file has no `[sessions]` or the
    /// peers must not change.
    pub session_peers: Option<BTreeMap<u64, SocketAddr>>,
    /// Changed keys that take effect only after a restart.
    pub keys_needing_restart: Vec<String>,
}

/// Parses a reloaded file and compares it with the configuration at the start. `overlay` is TOML from a
/// registry, whose users, rules and default group replace those of the file.
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
    // If the file changes the instance number or the cluster, the peers in the file are not used, since this
    // process still runs with the old instance number and cluster.
    let is_unchanged = |key: &str| old_sessions.get(key) == new_sessions.get(key);
    let session_peers = new
        .sessions
        .filter(|_| start.sessions.is_some() && is_unchanged("instance") && is_unchanged("cluster"));
    let (old_mysql, new_mysql) = (table(&start.parsed_file, "mysql"), table(&new.parsed_file, "mysql"));
    // Rules refer to classes by index, so rules for other classes would select the wrong ones.
    let same_classes = old_mysql.get("class") == new_mysql.get("class");
    let reloadable_keys: &[&str] =
        if same_classes { &RELOADABLE_MYSQL_KEYS } else { &RELOADABLE_MYSQL_KEYS_WITH_OTHER_CLASSES };
    restart
        .extend(changed_keys(old_mysql, new_mysql, reloadable_keys).iter().map(|key| format!("mysql.{key}")));
    let mut mysql = start.mysql.clone();
    mysql.users = new.mysql.users;
    if same_classes {
        (mysql.rules, mysql.default_group) = (new.mysql.rules, new.mysql.default_group);
    }
    Ok(Reload { mysql, session_peers: session_peers.map(|s| s.peers), keys_needing_restart: restart })
}

/// Replaces keys of the file's `[mysql]` with those of the overlay from a registry.
fn apply_overlay(file: &mut Value, overlay: &Value) -> Result<(), Error> {
    check_keys(overlay, &["mysql"])?;
    let overlay = field(overlay, "mysql")?;
    check_keys(overlay, &RELOADABLE_MYSQL_KEYS).map_err(|e| e.under_key("mysql"))?;
    let mysql =
        file.get_mut("mysql").and_then(Value::as_object_mut).ok_or_else(|| Error::missing("mysql"))?;
    for (key, value) in overlay.as_object().into_iter().flatten() {
        mysql.insert(key.clone(), value.clone());
    }
    Ok(())
}

/// Returns the table with this key, or null if there is none.
fn table<'a>(file: &'a Value, key: &str) -> &'a Value {
    file.get(key).unwrap_or(&Value::Null)
}

/// Returns the changed keys of `[sessions]` that require a restart, or the whole table if it was added or
/// removed.
fn changed_session_keys(old: &Value, new: &Value) -> Vec<String> {
    if old.is_null() != new.is_null() {
        return vec!["sessions".into()];
    }
    // If neither file has the table, both values are null and no key differs.
    changed_keys(old, new, &["peer"]).iter().map(|key| format!("sessions.{key}")).collect()
}
