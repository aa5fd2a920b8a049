//! What the platform starts a router with: `$BALANCER_CONFIG` and the variables beside it.
use crate::error::Error;
use crate::fields::{array, count, duration_from_ms, field, string, strings, unsigned_integer};
use crate::limits::Limits;
use crate::platform;
use decision::{Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The fewest file descriptors that the program can run with.
const MIN_SOCKETS: usize = 64;
/// What `memory_mb` may be, in MiB.
const MEMORY_MB: RangeInclusive<usize> = 16..=(1 << 20) - 1;
/// The longest time that an instance leaves a connection idle: a day. Longer ones count as this.
const MAX_KEEPALIVE: Duration = Duration::from_secs(86_400);

/// The names of classes and zones, which are numbers elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Class names in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Zone names in the order of their numbers; entries of the endpoint list name their zone.
    pub zones: Vec<String>,
}

/// All that one router is started with on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery answers.
    pub discovery_address: SocketAddr,
    /// Where the admin listener is bound; without it there is none.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The endpoint list as the router had it last, in discovery's form.
    pub initial_endpoints: Value,
    /// The settings of the decision logic.
    pub settings: Settings,
    /// Names of classes and zones.
    pub names: Names,
    /// Every bound of the program.
    pub limits: Limits,
    /// The file as it was parsed, without `known`, for [`reload`] to compare a later one with.
    pub parsed_file: Value,
}

/// What a configuration file that is read while the program runs changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Where discovery answers from now on.
    pub discovery_address: SocketAddr,
    /// Keys that differ and are followed only by a restart.
    pub keys_needing_restart: Vec<String>,
}

/// The value of a variable, or the config's field of the same meaning where it is not set or empty.
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

fn address(key: &str, addr: &str) -> Result<SocketAddr, Error> {
    addr.parse().map_err(|_| Error::invalid("ip:port", format_args!("'{addr}'")).under_key(key))
}

/// The admin listener's address, where one is given.
fn admin(env: &dyn Fn(&str) -> Option<String>, v: &Value) -> Result<Option<SocketAddr>, Error> {
    let given = env("BALANCER_ADMIN_ADDR").is_some_and(|x| !x.is_empty())
        || v.get("admin_addr").is_some_and(|a| !a.is_null() && a.as_str() != Some(""));
    let addr = given.then(|| env_or_field(env, "BALANCER_ADMIN_ADDR", v, "admin_addr"));
    addr.map(|a| address("admin_addr", &a?)).transpose()
}

/// The keys whose values differ between two tables, sorted, without those in `but`.
pub fn changed_keys(old: &Value, new: &Value, but: &[&str]) -> Vec<String> {
    let keys = |v: &Value| v.as_object().into_iter().flat_map(|o| o.keys().cloned()).collect::<Vec<_>>();
    let mut all = [keys(old), keys(new)].concat();
    all.sort();
    all.dedup();
    all.retain(|k| !but.contains(&k.as_str()) && old.get(k) != new.get(k));
    all
}

/// Reads the text of a later file against the start. Its own `discovery` counts: the variable is still what it was when
/// the program started.
///
/// # Errors
/// An [`Error`] that names the faulty key; nothing of the file is used then.
pub fn reload(config: &str, start: &PlatformConfig) -> Result<Reload, Error> {
    let new = read(config, &|_| None)?;
    let restart = changed_keys(&start.parsed_file, &new.parsed_file, &["discovery", "known", "seed"]);
    Ok(Reload { discovery_address: new.discovery_address, keys_needing_restart: restart })
}

fn seed(v: &Value) -> Result<u64, Error> {
    match field(v, "seed")? {
        Value::String(s) => u64::from_str_radix(s, 16).map_err(|_| {
            Error::invalid_value("seed", "a hexadecimal number of 64 bits", format_args!("'{s}'"))
        }),
        _ => unsigned_integer(v, "seed"),
    }
}

/// The classes' names. Each is unique, since requests name their class by it, and without control characters, since
/// metrics have it on one line.
fn classes(settings: &Value) -> Result<Vec<String>, Error> {
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

/// For how long an instance leaves a connection idle. Beside it, what no instance could be reached without is checked.
fn keepalive(limits: &Value, settings: &Settings) -> Result<Micros, Error> {
    if settings.connect_timeout == 0 {
        return Err(Error::invalid_value("dialTimeoutMs", "more than 0", 0));
    }
    if settings.max_attempts == 0 {
        return Err(Error::invalid_value("mostTries", "more than 0", 0));
    }
    duration_from_ms(limits, "keepaliveMs")
}

/// Reads the config's text; `env` looks up a variable.
///
/// # Errors
/// An [`Error`] that names the faulty key and the tables around it.
pub fn read(config: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<PlatformConfig, Error> {
    let mut v: Value = serde_json::from_str(config)?;
    let (settings, names, keepalive) =
        read_settings(field(&v, "settings")?).map_err(|e| e.under_key("settings"))?;
    let resources = read_resources(field(&v, "limits")?).map_err(|e| e.under_key("limits"))?;
    let mut limits = limits(&settings, keepalive, &resources);
    limits.check_watch().map_err(|e| Error::from(e).under_key("limits"))?;
    let admin = admin(env, &v)?;
    if admin.is_some() {
        limits.reserve_admin_descriptors(resources.sockets);
    }
    Ok(PlatformConfig {
        name: env_or_field(env, "BALANCER_NAME", &v, "name")?,
        listen: env_or_field(env, "BALANCER_LISTEN", &v, "listen")?,
        discovery_address: address("discovery", &env_or_field(env, "BALANCER_DISCOVERY", &v, "discovery")?)?,
        admin_address: admin,
        seed: seed(&v)?,
        initial_endpoints: v.get_mut("known").map(Value::take).unwrap_or_default(),
        settings,
        names,
        limits,
        parsed_file: v,
    })
}

/// The settings of the decision logic, the names in them, and for how long an instance leaves a connection idle.
fn read_settings(v: &Value) -> Result<(Settings, Names, Micros), Error> {
    let (mut settings, _) = platform::read(v)?;
    let names = Names { classes: classes(v)?, zones: strings(v, "failureDomains")? };
    // Zones of the endpoint list without a name here get the numbers behind these: this router is in none of them.
    if settings.zone as usize >= names.zones.len() {
        settings.zone = u32::MAX;
    }
    let keepalive = keepalive(field(v, "limits")?, &settings).map_err(|e| e.under_key("limits"))?;
    Ok((settings, names, keepalive))
}

/// What the process may use.
struct Resources {
    /// File descriptors.
    sockets: usize,
    /// Memory in bytes.
    memory: usize,
}

fn read_resources(v: &Value) -> Result<Resources, Error> {
    let sockets = count(v, "sockets")? as usize;
    if sockets < MIN_SOCKETS {
        return Err(Error::invalid_value("sockets", format!("at least {MIN_SOCKETS}"), sockets));
    }
    let memory_mb = unsigned_integer(v, "memory_mb")? as usize;
    if !MEMORY_MB.contains(&memory_mb) {
        let expected = format!("{} to {}", MEMORY_MB.start(), MEMORY_MB.end());
        return Err(Error::invalid_value("memory_mb", expected, memory_mb));
    }
    Ok(Resources { sockets, memory: memory_mb << 20 })
}

fn limits(settings: &Settings, keepalive: Micros, resources: &Resources) -> Limits {
    let duration = |micros: Micros| Duration::from_micros(micros.max(0) as u64);
    let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Limits::new(
        resources.sockets,
        resources.memory,
        duration(settings.connect_timeout),
        duration(keepalive).min(MAX_KEEPALIVE),
        duration(longest_deadline),
    )
}
