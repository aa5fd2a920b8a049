//! All tables of the operator's file together.
use super::log::{self, LogConfig, RecordingConfig};
use super::mysql::{self, MysqlConfig};
use super::registry::{self, RegistryConfig};
use super::sessions::{self, SessionsConfig};
use super::store::{self, StoreConfig};
use super::table::{only, optional_table};
use crate::error::Error;
use crate::fields::field;
use crate::fleet::FleetMemberConfig;
use crate::limits::Limits;
use crate::members::MembershipConfig;
use decision::Settings;
use serde_json::Value;

/// All that the operator's file sets.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The recording, where one is wanted.
    pub recording: Option<RecordingConfig>,
    /// The log.
    pub log: LogConfig,
    /// The registry, where one is followed.
    pub registry: Option<RegistryConfig>,
    /// The table `[members]`, where this router follows which routers of its fleet are alive.
    pub members: Option<MembershipConfig>,
    /// Sessions across restarts and instances, where they are wanted.
    pub sessions: Option<SessionsConfig>,
    /// The store; a single node in memory where the file has no `[store]`.
    pub store: StoreConfig,
    /// The `MySQL` front.
    pub mysql: MysqlConfig,
    /// The settings of the decision logic.
    pub settings: Settings,
    /// Every bound of the program.
    pub limits: Limits,
    /// The table `[fleet]`, where this router belongs to a fleet.
    pub fleet: Option<FleetMemberConfig>,
    /// The file as it was parsed, for [`reload`](super::reload()) to compare a later one with.
    pub parsed_file: Value,
}

/// Reads the file's text.
///
/// # Errors
/// An [`Error`] that names the faulty key and what may stand there; nothing of the file is used then.
pub fn read(toml: &str) -> Result<OperatorConfig, Error> {
    from_value(parse(toml)?)
}

pub(super) fn parse(toml: &str) -> Result<Value, Error> {
    Ok(toml::from_str(toml)?)
}

pub(super) fn from_value(v: Value) -> Result<OperatorConfig, Error> {
    only(&v, &["mysql", "store", "record", "sessions", "log", "registry", "fleet", "members"])?;
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
