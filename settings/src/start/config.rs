//! Reads and validates the platform's configuration.
use super::bounds::{limits, read_resources};
use crate::error::Error;
use crate::fields::{array, duration_from_ms, field, string, strings, unsigned_integer};
use crate::limits::Limits;
use crate::platform;
use decision::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;

/// The names of classes and zones. The rest of the program identifies them by number.
#[derive(Clone, Debug, Default)]
pub struct ClassAndZoneNames {
    /// Class names in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Zone names in the order of their numbers; endpoints refer to zones by name.
    pub zones: Vec<String>,
}

/// The complete configuration of a router that is started by the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The router's name, which stays the same across restarts.
    pub name: String,
    /// The address at which clients connect.
    pub listen: String,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The address of the admin listener; `None` to start none.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The router's last known endpoint list, in the format of discovery.
    pub initial_endpoints: Value,
    /// The settings of the decision logic.
    pub settings: Settings,
    /// The names of classes and zones.
    pub names: ClassAndZoneNames,
    /// The size limits, count limits and timeouts of the program.
    pub limits: Limits,
    /// The parsed file without `known`, with which [`reload`](super::reload()) compares a later version.
    pub parsed_file: Value,
}

/// Returns the value of an environment variable, or the corresponding field of the configuration if the
/// variable is unset or empty.
fn env_or_field(
    env: &dyn Fn(&str) -> Option<String>,
    variable: &str,
    v: &Value,
    key: &str,
) -> Result<String, Error> {
    match env(variable).filter(|x| !x.is_empty()) {
        Some(x) => Ok(x),
        None => string(v, key).map(str::to_string),
    }
}

fn read_address(key: &str, addr: &str) -> Result<SocketAddr, Error> {
    addr.parse().map_err(|_| Error::invalid("ip:port", format_args!("'{addr}'")).under_key(key))
}

/// Reads the address of the admin listener, if configured.
fn read_admin_address(env: &dyn Fn(&str) -> Option<String>, v: &Value) -> Result<Option<SocketAddr>, Error> {
    let given = env("BALANCER_ADMIN_ADDR").is_some_and(|x| !x.is_empty())
        || v.get("admin_addr").is_some_and(|a| !a.is_null() && a.as_str() != Some(""));
    let addr = given.then(|| env_or_field(env, "BALANCER_ADMIN_ADDR", v, "admin_addr"));
    addr.map(|a| read_address("admin_addr", &a?)).transpose()
}

fn read_seed(v: &Value) -> Result<u64, Error> {
    match field(v, "seed")? {
        Value::String(s) => u64::from_str_radix(s, 16).map_err(|_| {
            Error::invalid_value("seed", "a hexadecimal number of 64 bits", format_args!("'{s}'"))
        }),
        _ => unsigned_integer(v, "seed"),
    }
}

/// Reads the class names. They have to be unique, since requests refer to classes by name, and must not
/// contain control characters, since metrics print the name within a line.
fn read_class_names(settings: &Value) -> Result<Vec<String>, Error> {
    let name = |c: &Value| string(c, "name").map(str::to_string);
    let names = array(settings, "classes")?.iter().map(name).collect::<Result<Vec<_>, _>>();
    let names = names.map_err(|e| e.under_key("classes"))?;
    if let Some(i) = names.iter().position(|n| n.contains(char::is_control)) {
        let found = format!("{:?}", names[i]);
        return Err(
            Error::invalid_value("name", "no control characters", found).under_key(format!("classes[{i}]"))
        );
    }
    let repeated = (1..names.len()).find(|i| names[..*i].contains(&names[*i]));
    if let Some(i) = repeated {
        let found = format!("'{}' a second time", names[i]);
        return Err(Error::invalid_value("name", "a name that no other class has", found)
            .under_key(format!("classes[{i}]")));
    }
    Ok(names)
}

/// Rejects settings under which no server could be reached.
fn check_attempts(settings: &Settings) -> Result<(), Error> {
    if settings.connect_timeout == 0 {
        return Err(Error::invalid_value("dialTimeoutMs", "more than 0", 0));
    }
    if settings.max_attempts == 0 {
        return Err(Error::invalid_value("mostTries", "more than 0", 0));
    }
    Ok(())
}

/// Parses and validates the text of the platform's configuration; `env` looks up an environment variable.
///
/// # Errors
/// An [`Error`] that names the faulty key and its enclosing tables.
pub fn read(config: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<PlatformConfig, Error> {
    let mut v: Value = serde_json::from_str(config)?;
    let (settings, names, keepalive) =
        read_settings(field(&v, "settings")?).map_err(|e| e.under_key("settings"))?;
    let resources = read_resources(field(&v, "limits")?).map_err(|e| e.under_key("limits"))?;
    let mut limits = limits(&settings, keepalive, resources);
    limits.check_watch().map_err(|e| Error::from(e).under_key("limits"))?;
    let admin_address = read_admin_address(env, &v)?;
    if admin_address.is_some() {
        limits.reserve_admin_descriptors(resources);
    }
    Ok(PlatformConfig {
        name: env_or_field(env, "BALANCER_NAME", &v, "name")?,
        listen: env_or_field(env, "BALANCER_LISTEN", &v, "listen")?,
        discovery_address: read_address(
            "discovery",
            &env_or_field(env, "BALANCER_DISCOVERY", &v, "discovery")?,
        )?,
        admin_address,
        seed: read_seed(&v)?,
        initial_endpoints: v.get_mut("known").map(Value::take).unwrap_or_default(),
        settings,
        names,
        limits,
        parsed_file: v,
    })
}

/// Reads the settings of the decision logic, the names of classes and zones, and the servers' idle timeout
/// for connections.
fn read_settings(v: &Value) -> Result<(Settings, ClassAndZoneNames, Micros), Error> {
    let (mut settings, _) = platform::read(v)?;
    let names = ClassAndZoneNames { classes: read_class_names(v)?, zones: strings(v, "failureDomains")? };
    // Zones that only the endpoint list names are numbered after the configured ones. This router is in none
    // of them.
    if settings.zone as usize >= names.zones.len() {
        settings.zone = u32::MAX;
    }
    let limits = field(v, "limits")?;
    let keepalive = check_attempts(&settings).and_then(|()| duration_from_ms(limits, "keepaliveMs"));
    let keepalive = keepalive.map_err(|e| e.under_key("limits"))?;
    Ok((settings, names, keepalive))
}
