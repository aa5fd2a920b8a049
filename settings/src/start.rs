//! What the platform tells a router at its start: `$BALANCER_CONFIG` and the variables beside it.
use crate::error::Error;
use crate::fields::{array, count, field, span, text, texts, whole};
use crate::limits::Limits;
use crate::platform;
use decision::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The names that positions of classes and zones stand for.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Class names in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Zone names; entries of the list name their zone.
    pub zones: Vec<String>,
}

/// One router's start on the platform.
#[derive(Clone, Debug)]
pub struct Start {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call; nowhere where it is not given.
    pub admin: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The list as the router held it last, in discovery's form.
    pub known: Value,
    /// What the module is told.
    pub settings: Settings,
    /// Names of classes and zones.
    pub names: Names,
    /// Every bound of the program.
    pub limits: Limits,
    /// What the file said, to tell what a later one changes.
    pub said: Value,
}

/// What a configuration file that is read while the program runs brings.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Where discovery answers from now on.
    pub discovery: SocketAddr,
    /// Keys that differ and are followed only by a restart.
    pub restart: Vec<String>,
}

/// The value of a variable, or the config's field of the same meaning.
fn told(env: &dyn Fn(&str) -> Option<String>, variable: &str, v: &Value, key: &str) -> Result<String, Error> {
    match env(variable).filter(|x| !x.is_empty()) {
        Some(x) => Ok(x),
        None => text(v, key).map(str::to_string),
    }
}

fn address(key: &str, addr: &str) -> Result<SocketAddr, Error> {
    addr.parse().map_err(|_| Error::here("ip:port", format_args!("'{addr}'")).at(key))
}

/// The operators' address, where one is given.
fn admin(env: &dyn Fn(&str) -> Option<String>, v: &Value) -> Result<Option<SocketAddr>, Error> {
    let given = env("BALANCER_ADMIN_ADDR").is_some_and(|x| !x.is_empty())
        || v.get("admin_addr").is_some_and(|a| !a.is_null() && a.as_str() != Some(""));
    let at = given.then(|| told(env, "BALANCER_ADMIN_ADDR", v, "admin_addr"));
    at.map(|a| address("admin_addr", &a?)).transpose()
}

/// Keys of two tables that differ, but for `but`.
pub fn changed(old: &Value, new: &Value, but: &[&str]) -> Vec<String> {
    let keys = |v: &Value| v.as_object().into_iter().flat_map(|o| o.keys().cloned()).collect::<Vec<_>>();
    let mut all = [keys(old), keys(new)].concat();
    all.sort();
    all.dedup();
    all.retain(|k| !but.contains(&k.as_str()) && old.get(k) != new.get(k));
    all
}

/// Reads the text of a later file against the start. Its own `discovery` counts: the variable is as it was when
/// the program began.
pub fn reload(config: &str, start: &Start) -> Result<Reload, Error> {
    let new = read(config, &|_| None)?;
    let restart = changed(&start.said, &new.said, &["discovery", "known", "seed"]);
    Ok(Reload { discovery: new.discovery, restart })
}

fn seed(v: &Value) -> Result<u64, Error> {
    match field(v, "seed")? {
        Value::String(s) => u64::from_str_radix(s, 16)
            .map_err(|_| Error::value("seed", "a hexadecimal number of 64 bits", format_args!("'{s}'"))),
        _ => whole(v, "seed"),
    }
}

/// The classes' names: each stands for one class, since a request names it by nothing else, and on one line of the
/// operators' figures.
fn classes(settings: &Value) -> Result<Vec<String>, Error> {
    let name = |c: &Value| text(c, "name").map(str::to_string);
    let names = array(settings, "classes")?.iter().map(name).collect::<Result<Vec<_>, _>>();
    let names = names.map_err(|e| e.at("classes"))?;
    if let Some(i) = names.iter().position(|n| n.contains(char::is_control)) {
        let found = format!("{:?}", names[i]);
        return Err(Error::value("name", "no control characters", found).at(format!("classes[{i}]")));
    }
    let again = (1..names.len()).find(|i| names[..*i].contains(&names[*i]));
    if let Some(i) = again {
        let found = format!("'{}' a second time", names[i]);
        return Err(Error::value("name", "a name that no other class has", found).at(format!("classes[{i}]")));
    }
    Ok(names)
}

/// How long a connection to an instance may rest; beside it stands what an instance can't be asked without.
fn keepalive(limits: &Value, settings: &Settings) -> Result<i64, Error> {
    if settings.connect_timeout == 0 {
        return Err(Error::value("dialTimeoutMs", "more than 0", 0));
    }
    if settings.max_attempts == 0 {
        return Err(Error::value("mostTries", "more than 0", 0));
    }
    span(limits, "keepaliveMs")
}

/// Reads the config's text; `env` looks up a variable.
pub fn read(config: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<Start, Error> {
    let mut v: Value = serde_json::from_str(config)?;
    let inner = field(&v, "settings")?;
    let (mut settings, _) = platform::read(inner).map_err(|e| e.at("settings"))?;
    let names = Names {
        classes: classes(inner).map_err(|e| e.at("settings"))?,
        zones: texts(inner, "failureDomains").map_err(|e| e.at("settings"))?,
    };
    // Zones of the list that have no name here are numbered behind those that have: this router stands in none of them.
    if settings.zone as usize >= names.zones.len() {
        settings.zone = u32::MAX;
    }
    let bounds = field(inner, "limits").map_err(|e| e.at("settings"))?;
    let keepalive = keepalive(bounds, &settings).map_err(|e| e.at("limits").at("settings"))?;
    let given = field(&v, "limits")?;
    let sockets = count(given, "sockets").map_err(|e| e.at("limits"))? as usize;
    if sockets < 64 {
        return Err(Error::value("sockets", "at least 64", sockets).at("limits"));
    }
    let memory = whole(given, "memory_mb").map_err(|e| e.at("limits"))? as usize;
    if !(16..1 << 20).contains(&memory) {
        return Err(Error::value("memory_mb", "16 to 1048575", memory).at("limits"));
    }
    let micros = |m: i64| Duration::from_micros(m.max(0) as u64);
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let keepalive = micros(keepalive).min(Duration::from_secs(86_400));
    let mut limits =
        Limits::new(sockets, memory << 20, micros(settings.connect_timeout), keepalive, micros(longest));
    limits.check_watch().map_err(|e| Error::from(e).at("limits"))?;
    let admin = admin(env, &v)?;
    if admin.is_some() {
        limits.open_door(sockets);
    }
    Ok(Start {
        name: told(env, "BALANCER_NAME", &v, "name")?,
        listen: told(env, "BALANCER_LISTEN", &v, "listen")?,
        discovery: address("discovery", &told(env, "BALANCER_DISCOVERY", &v, "discovery")?)?,
        admin,
        seed: seed(&v)?,
        known: v.get_mut("known").map(Value::take).unwrap_or_default(),
        settings,
        names,
        limits,
        said: v,
    })
}
