//! The complete configuration of an operator's file.
use super::log::{self, LogConfig, RecordingConfig};
use super::mysql::{self, MysqlConfig};
use super::registry::{self, RegistryConfig};
use super::sessions::{self, SessionsConfig};
use super::store::{self, StoreConfig};
use super::table::{check_keys, optional_table};
use crate::error::Error;
use crate::fields::field;
use crate::fleet::FleetMemberConfig;
use crate::limits::Limits;
use crate::members::MembershipConfig;
use decision::Settings;
use serde_json::Value;

/// The complete configuration of an operator's file, validated and with defaults applied.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Settings of the traffic recording; `None` if nothing is recorded.
    pub recording: Option<RecordingConfig>,
    /// Settings of the log output.
    pub log: LogConfig,
    /// Settings of the registry; `None` if the node list does not come from a registry.
    pub registry: Option<RegistryConfig>,
    /// Settings of the membership protocol; `None` if this router does not track which routers of its fleet
    /// are alive.
    pub members: Option<MembershipConfig>,
    /// Settings for sharing session commits across restarts and router instances; `None` if they are not
    /// shared.
    pub sessions: Option<SessionsConfig>,
    /// Settings of the replicated store; a single in-memory node if the file has no `[store]`.
    pub store: StoreConfig,
    /// Settings of the `MySQL` front end.
    pub mysql: MysqlConfig,
    /// The settings of the decision logic.
    pub settings: Settings,
    /// The size limits, count limits and timeouts of the program.
    pub limits: Limits,
    /// Settings of the fleet; `None` if this router belongs to none.
    pub fleet: Option<FleetMemberConfig>,
    /// The parsed file, with which [`reload`](super::reload()) compares a later version.
    pub parsed_file: Value,
}

/// Parses and validates the text of an operator's file.
///
/// # Errors
/// An [`Error`] that names the faulty key and the accepted values; the whole file is rejected.
pub fn read(toml: &str) -> Result<OperatorConfig, Error> {
    from_value(parse(toml)?)
}

pub(super) fn parse(toml: &str) -> Result<Value, Error> {
    Ok(toml::from_str(toml)?)
}

pub(super) fn from_value(v: Value) -> Result<OperatorConfig, Error> {
    check_keys(&v, &["mysql", "store", "record", "sessions", "log", "registry", "fleet", "members"])?;
    let fleet = optional_table(&v, "fleet", |t| Ok(crate::fleet::read_member(t)?))?;
    let registry = optional_table(&v, "registry", registry::read_registry)?;
    let mut sessions = optional_table(&v, "sessions", sessions::read_sessions)?;
    if let Some(sessions) = &mut sessions {
        sessions.peer_addresses_may_change = registry.is_some();
    }
    let log = optional_table(&v, "log", log::read_log)?.unwrap_or_default();
    let store = optional_table(&v, "store", store::read_store)?.unwrap_or_else(StoreConfig::single_node);
    let (mysql, settings, limits) =
        mysql::read_mysql(field(&v, "mysql")?).map_err(|e| e.under_key("mysql"))?;
    let members = optional_table(&v, "members", |t| Ok(crate::members::read(t, settings.router_count)?))?;
    let record = optional_table(&v, "record", log::read_record)?;
    Ok(OperatorConfig {
        recording: record,
        log,
        registry,
        members,
        sessions,
        store,
        mysql,
        settings,
        limits,
        fleet,
        parsed_file: v,
    })
}
