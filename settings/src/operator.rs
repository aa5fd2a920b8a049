//! The operator's TOML: the MySQL front, its classes, rules and servers. A key that is not known is an error.
use crate::error::{Error, Fault, shape};
use crate::fields::{array, field, flag, number, text, whole};
use crate::limits::Limits;
use crate::start::changed;
use decision::{Class, Freshness, Idempotency, LaggingReplica, SessionCommitSource, Settings};
use ipnet::IpNet;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A statement that begins so falls under this rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The beginning, in small letters with single spaces.
    pub starts: String,
    /// Its class.
    pub class: usize,
    /// Its group.
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
    /// Its size against others.
    pub weight: f64,
    /// Its site, where it is told.
    pub site: Option<String>,
}

/// The MySQL front and its links.
#[derive(Clone, Debug, PartialEq)]
pub struct Mysql {
    /// Where clients connect.
    pub listen: String,
    /// The router's own site: servers of the same one are nearer.
    pub site: Option<String>,
    /// The one database.
    pub database: String,
    /// Clients' users and passwords.
    pub users: Vec<(String, String)>,
    /// The router's user at the servers,
    pub server_user: String,
    /// and its password.
    pub server_password: String,
    /// Asks a server whether it is read-only, and for its heartbeat in Unix milliseconds.
    pub probe: String,
    /// The names of all classes, the two of the program's own included.
    pub classes: Vec<String>,
    /// Which of them only read.
    pub reading: Vec<bool>,
    /// Their deadlines in milliseconds.
    pub deadlines_ms: Vec<u64>,
    /// The class of statements that nobody has named: a write that must not run twice.
    pub unknown: usize,
    /// The class of the preparing of a statement, which runs nothing.
    pub prepare: usize,
    /// The group of statements that name none.
    pub group: u32,
    /// The rules, in order.
    pub rules: Vec<Rule>,
    /// The servers at the first start.
    pub servers: Vec<Server>,
    /// Probes bring the server's clock, as their third cell.
    pub server_clock: bool,
    /// Which classes' reads must see what their session has written.
    pub sessions: Vec<bool>,
}

/// The replicated store.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Store {
    /// This node's number.
    pub node: u64,
    /// All nodes, this one included.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where the log is kept; in memory alone where it is not set.
    pub folder: Option<String>,
    /// Where commands are answered.
    pub control: Option<String>,
    /// Where clients that are no nodes are answered.
    pub clients: Option<SocketAddr>,
}

/// A recording of what the front serves.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The capture file, written anew at each start.
    pub file: String,
    /// It ends at this many bytes.
    pub capacity: u64,
}

/// Sessions that live on across restarts and instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Sessions {
    /// This instance's number.
    pub instance: u64,
    /// The instances that belong together say the same here.
    pub cluster: String,
    /// Where peers bring their commits.
    pub listen: SocketAddr,
    /// The other instances, and where they listen.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where commits are kept; on no disk where it is not set.
    pub folder: Option<String>,
    /// Sessions remembered one by one.
    pub remembered: usize,
    /// How long one instance relies on another's news without hearing from it.
    pub lease: Duration,
    /// Peers may be found elsewhere than the file says, by a registry: that an address refuses proves nothing then.
    pub moves: bool,
    /// After a start without a journal, reads see what they happen to see. Only good for measuring what that costs.
    pub trust_after_start: bool,
}

/// Which interface a registry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryKind {
    /// etcd's JSON gateway, version 3.
    Etcd,
    /// Consul's HTTP interface.
    Consul,
}

/// Files for TLS to the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryTls {
    /// The authority that its certificate is from.
    pub ca: String,
    /// This router's certificate,
    pub cert: Option<String>,
    /// and its key.
    pub key: Option<String>,
    /// The name in the registry's certificate; its address where none is given.
    pub server_name: Option<String>,
}

/// A key-value registry that is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    /// Its interface.
    pub kind: RegistryKind,
    /// Its members.
    pub endpoints: Vec<SocketAddr>,
    /// What keys begin with; ends in a slash.
    pub prefix: String,
    /// Consul: the service whose instances are nodes.
    pub service: Option<String>,
    /// etcd: user and password.
    pub user: Option<(String, String)>,
    /// Consul: the token.
    pub token: Option<String>,
    /// TLS, where it is wanted.
    pub tls: Option<RegistryTls>,
    /// Networks that nodes may be in; any where none is named.
    pub allow: Vec<IpNet>,
    /// Networks that they may not be in.
    pub deny: Vec<IpNet>,
    /// News of this age still lets new work go to every node;
    pub fresh: Duration,
    /// and past this age to none, where it is set.
    pub last: Option<Duration>,
    /// Where more than this share of the nodes vanishes at once, they are held
    pub held_share: f64,
    /// for this long.
    pub held: Duration,
    /// A registry that stands behind for this long was restored.
    pub restored_after: Duration,
    /// Where the last list is kept.
    pub folder: Option<String>,
    /// The name under which this router registers itself, where it does.
    pub register: Option<String>,
    /// How long a registration outlives this router.
    pub ttl: Duration,
    /// This router's zone.
    pub zone: String,
}

/// The log.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The least level that is written: error, warn, info, debug or trace.
    pub level: String,
    /// Lines of JSON instead of text.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: "info".into(), json: false }
    }
}

/// All that the operator's file says.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The recording, where one is wanted.
    pub record: Option<Record>,
    /// The log.
    pub log: Log,
    /// The registry, where one is followed.
    pub registry: Option<Registry>,
    /// The fleet that this router is one of, where it follows who lives.
    pub members: Option<crate::members::Members>,
    /// Sessions across restarts and instances, where they are wanted.
    pub sessions: Option<Sessions>,
    /// The store; alone and in memory where the file says nothing of it.
    pub store: Store,
    /// The MySQL front.
    pub mysql: Mysql,
    /// What the module is told.
    pub settings: Settings,
    /// Every bound of the program.
    pub limits: Limits,
    /// How this router belongs to a fleet, where it does.
    pub fleet: Option<crate::fleet::Member>,
    /// What the file said, to tell what a later one changes.
    pub said: Value,
}

/// What a file that is read while the program runs brings.
#[derive(Clone, Debug)]
pub struct Reload {
    /// The MySQL front's settings; only users, rules and the default group may differ.
    pub mysql: Mysql,
    /// The peers of sessions, where the file names sessions at all.
    pub session_peers: Option<BTreeMap<u64, SocketAddr>>,
    /// Keys that differ and are followed only by a restart.
    pub restart: Vec<String>,
}

/// Reads the text of a later file against the start, with what a registry says of users, rules and the default group
/// in place of what the file does.
pub fn reload(toml: &str, overlay: Option<&str>, start: &Operator) -> Result<Reload, Error> {
    let mut v = parsed(toml)?;
    if let Some(overlay) = overlay {
        let over = parsed(overlay)?;
        only(&over, &["mysql"])?;
        let over = field(&over, "mysql")?;
        only(over, &["user", "rule", "group"]).map_err(|e| e.at("mysql"))?;
        let mysql =
            v.get_mut("mysql").and_then(Value::as_object_mut).ok_or_else(|| Error::missing("mysql"))?;
        for (key, value) in over.as_object().into_iter().flatten() {
            mysql.insert(key.clone(), value.clone());
        }
    }
    let new = from(v)?;
    let none = Value::Null;
    let of = |v: &'_ Value, key: &str| v.get(key).unwrap_or(&none).clone();
    let mut restart = changed(&start.said, &new.said, &["mysql", "sessions"]);
    let (old_sessions, new_sessions) = (of(&start.said, "sessions"), of(&new.said, "sessions"));
    if old_sessions.is_null() != new_sessions.is_null() {
        restart.push("sessions".into());
    } else if !old_sessions.is_null() {
        restart
            .extend(changed(&old_sessions, &new_sessions, &["peer"]).iter().map(|k| format!("sessions.{k}")));
    }
    // Other instances at peers' addresses would be met by one that is still what it was.
    let same = |k: &str| old_sessions.get(k) == new_sessions.get(k);
    let session_peers =
        new.sessions.filter(|_| start.sessions.is_some() && same("instance") && same("cluster"));
    let (old_mysql, new_mysql) = (of(&start.said, "mysql"), of(&new.said, "mysql"));
    let mut live = vec!["user", "rule", "group"];
    // Rules name classes by their places: with other classes they would mean something else to the module.
    if old_mysql.get("class") != new_mysql.get("class") {
        live.truncate(1);
    }
    restart.extend(changed(&old_mysql, &new_mysql, &live).iter().map(|k| format!("mysql.{k}")));
    let mut mysql = start.mysql.clone();
    mysql.users = new.mysql.users;
    if live.contains(&"rule") {
        (mysql.rules, mysql.group) = (new.mysql.rules, new.mysql.group);
    }
    Ok(Reload { mysql, session_peers: session_peers.map(|s| s.peers), restart })
}

fn only(v: &Value, keys: &[&str]) -> Result<(), Error> {
    let table = v.as_object().ok_or_else(|| Error::here("a table", shape(v)))?;
    match table.keys().find(|k| !keys.contains(&k.as_str())) {
        Some(k) => {
            let known = keys.iter().map(|k| k.to_string()).collect();
            Err(Fault::Unknown { key: k.clone(), known }.into())
        }
        None => Ok(()),
    }
}

/// The value of a key, or its default where the key is missing.
fn or<T>(
    v: &Value,
    key: &str,
    default: T,
    read: impl Fn(&Value, &str) -> Result<T, Error>,
) -> Result<T, Error> {
    if v.get(key).is_some() { read(v, key) } else { Ok(default) }
}

fn owned(v: &Value, key: &str) -> Result<String, Error> {
    text(v, key).map(str::to_string)
}

/// A positive number.
fn positive(v: &Value, key: &str) -> Result<f64, Error> {
    let x = number(v, key)?;
    if x > 0.0 { Ok(x) } else { Err(Error::value(key, "a positive number", x)) }
}

/// Each table of an array, with its position in messages.
fn each<T>(v: &Value, key: &str, read: impl Fn(&Value) -> Result<T, Error>) -> Result<Vec<T>, Error> {
    if v.get(key).is_none() {
        return Ok(Vec::new());
    }
    let at = |(i, x)| read(x).map_err(|e| e.at(format!("{key}[{i}]")));
    array(v, key)?.iter().enumerate().map(at).collect()
}

fn class(v: &Value) -> Result<(String, Class), Error> {
    only(v, &["name", "freshness", "bound_ms", "effect", "aim_ms", "deadline_ms", "worth", "late_worth"])?;
    let ms = |key: &str| positive(v, key).map(|x| (x * 1000.0) as i64);
    let freshness = match text(v, "freshness")? {
        "write" => Freshness::Write,
        "fresh" => Freshness::Latest,
        "session" => Freshness::Session,
        "bounded" => Freshness::Bounded(ms("bound_ms")?),
        "any" => Freshness::Any,
        x => {
            return Err(Error::value(
                "freshness",
                "write, fresh, session, bounded or any",
                format_args!("'{x}'"),
            ));
        }
    };
    let effect = match text(v, "effect")? {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NotIdempotent,
        x => return Err(Error::value("effect", "safe or unsafe", format_args!("'{x}'"))),
    };
    let (aim, deadline) = (ms("aim_ms")?, ms("deadline_ms")?);
    if aim > deadline {
        return Err(Error::here(
            "'aim_ms' to be at most 'deadline_ms'",
            format_args!("{} above {}", aim / 1000, deadline / 1000),
        ));
    }
    let (worth, late_worth) = (or(v, "worth", 1.0, positive)?, or(v, "late_worth", 0.5, number)?);
    Ok((
        owned(v, "name")?,
        Class {
            freshness,
            idempotency: effect,
            latency_objective: aim,
            deadline,
            priority_weight: worth,
            late_weight_share: late_worth,
        },
    ))
}

fn mysql(v: &Value) -> Result<(Mysql, Settings, Limits), Error> {
    only(
        v,
        &[
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
        ],
    )?;
    let user = |u: &Value| {
        only(u, &["name", "password"])?;
        Ok((owned(u, "name")?, owned(u, "password")?))
    };
    let site = |v: &Value| v.get("site").map(|_| owned(v, "site")).transpose();
    let server = |s: &Value| {
        only(s, &["id", "addr", "group", "weight", "site"])?;
        let addr = text(s, "addr")?;
        let addr = addr.parse().map_err(|_| Error::value("addr", "ip:port", format_args!("'{addr}'")))?;
        let group = or(s, "group", 0, whole)? as u32;
        let (weight, site) = (or(s, "weight", 1.0, positive)?, site(s)?);
        Ok(Server { id: owned(s, "id")?, addr, group, weight, site })
    };
    let mut classes = each(v, "class", class)?;
    let deadline = (or(v, "deadline_ms", 2000.0, positive)? * 1000.0) as i64;
    let own = |freshness, effect| Class {
        freshness,
        idempotency: effect,
        latency_objective: deadline,
        deadline,
        priority_weight: 1.0,
        late_weight_share: 0.5,
    };
    let (unknown, prepare) = (classes.len(), classes.len() + 1);
    classes.push(("unknown".into(), own(Freshness::Write, Idempotency::NotIdempotent)));
    classes.push(("prepare".into(), own(Freshness::Any, Idempotency::Idempotent)));
    let group = or(v, "group", 0, whole)? as u32;
    let rule = |r: &Value| {
        only(r, &["starts", "class", "group"])?;
        let named = text(r, "class")?;
        let class = classes.iter().position(|(n, _)| n == named);
        let starts = text(r, "starts")?.split_whitespace().collect::<Vec<_>>().join(" ").to_lowercase();
        Ok(Rule {
            starts,
            class: class.ok_or_else(|| Error::value("class", "a listed class", format_args!("'{named}'")))?,
            group: or(r, "group", u64::from(group), whole)? as u32,
        })
    };
    let mysql = Mysql {
        listen: owned(v, "listen")?,
        site: site(v)?,
        database: owned(v, "database")?,
        users: each(v, "user", user)?,
        server_user: owned(v, "server_user")?,
        server_password: or(v, "server_password", String::new(), owned)?,
        probe: owned(v, "probe")?,
        rules: each(v, "rule", rule)?,
        servers: each(v, "server", server)?,
        server_clock: flag(v, "server_clock")?,
        sessions: classes.iter().map(|(_, c)| c.freshness == Freshness::Session).collect(),
        reading: classes.iter().map(|(_, c)| c.freshness != Freshness::Write).collect(),
        deadlines_ms: classes.iter().map(|(_, c)| (c.deadline / 1000) as u64).collect(),
        classes: classes.iter().map(|(n, _)| n.clone()).collect(),
        unknown,
        prepare,
        group,
    };
    let connect = Duration::from_secs_f64(or(v, "connect_ms", 250.0, positive)?.min(60_000.0) / 1000.0);
    let idle = Duration::from_secs_f64(or(v, "idle_s", 60.0, positive)?.min(86_400.0));
    let longest = mysql.deadlines_ms.iter().max().copied().unwrap_or(2000);
    let sockets = or(v, "sockets", 1024, whole)? as usize;
    let memory = or(v, "memory_mb", 256, whole)?.clamp(16, 1 << 20) as usize;
    let mut limits = Limits::new(sockets, memory << 20, connect, idle, Duration::from_millis(longest));
    limits.message_bytes = or(v, "message_bytes", 512 * 1024, whole)? as usize;
    limits.answer_bytes = or(v, "answer_bytes", limits.answer_bytes as u64, whole)? as usize;
    // MySQL's clients keep sessions with prepared statements: they may rest for as long as at a server.
    limits.client_idle = Duration::from_secs(8 * 3600);
    limits.client_idle_crowded = limits.client_idle;
    limits.client_first = limits.client_idle;
    // Its links are not asked across: one that could not be used any more must not keep a server's place.
    limits.link_idle = limits.link_trust;
    limits.clock_skew =
        Duration::from_secs_f64(or(v, "clock_skew_ms", 50.0, positive)?.min(60_000.0) / 1000.0);
    limits.clock_offset_us =
        (or(v, "clock_offset_ms", 0.0, number)?.clamp(-86_400_000.0, 86_400_000.0) * 1000.0) as i64;
    let settings = Settings {
        classes: classes.into_iter().map(|(_, c)| c).collect(),
        tenant_rates: vec![],
        over_quota_weight: 1.0,
        router_count: or(v, "routers", 1, whole)?.max(1) as u32,
        zone: 0,
        min_event_interval: 5_000,
        // Servers answer from what they have: a read goes only where proof says that it is fresh enough.
        lagging_replica: LaggingReplica::AnswersStale,
        // The front brings what a session must see: it may be known from elsewhere, or from before a restart.
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
    };
    Ok((mysql, settings, limits))
}

fn loopback(v: &Value, key: &str) -> Result<SocketAddr, Error> {
    let addr = text(v, key)?;
    let parsed: Option<SocketAddr> = addr.parse().ok().filter(|a: &SocketAddr| a.ip().is_loopback());
    parsed.ok_or_else(|| Error::value(key, "ip:port on loopback", format_args!("'{addr}'")))
}

fn store(v: &Value) -> Result<Store, Error> {
    only(v, &["node", "folder", "control", "clients", "peer"])?;
    let peer = |p: &Value| {
        only(p, &["node", "addr"])?;
        Ok((whole(p, "node")?, loopback(p, "addr")?))
    };
    let node = whole(v, "node")?;
    let peers: BTreeMap<u64, SocketAddr> = each(v, "peer", peer)?.into_iter().collect();
    if node == 0 || !peers.contains_key(&node) {
        return Err(Error::here("'node' to be one of the peers and not 0", node));
    }
    let folder = v.get("folder").map(|_| owned(v, "folder")).transpose()?;
    let control = v.get("control").map(|_| loopback(v, "control")).transpose()?;
    let clients = v.get("clients").map(|_| loopback(v, "clients")).transpose()?;
    Ok(Store { node, peers, folder, control: control.map(|c| c.to_string()), clients })
}

fn sessions(v: &Value) -> Result<Sessions, Error> {
    only(v, &["instance", "cluster", "listen", "folder", "remembered", "lease_ms", "after_start", "peer"])?;
    let instance = whole(v, "instance")?;
    let peer = |p: &Value| {
        only(p, &["instance", "addr"])?;
        Ok((whole(p, "instance")?, loopback(p, "addr")?))
    };
    let listed = each(v, "peer", peer)?;
    let mut peers: BTreeMap<u64, SocketAddr> = listed.iter().copied().collect();
    if peers.len() < listed.len() {
        return Err(Error::here("each 'peer' once", "an instance twice"));
    }
    // One list may serve all instances.
    peers.remove(&instance);
    let folder = v.get("folder").map(|_| owned(v, "folder")).transpose()?;
    let lease = or(v, "lease_ms", 300.0, positive)?;
    if !(50.0..=5000.0).contains(&lease) {
        return Err(Error::value("lease_ms", "50 to 5000", lease));
    }
    let remembered = or(v, "remembered", 1_000_000, whole)? as usize;
    if !(1..=100_000_000).contains(&remembered) {
        return Err(Error::value("remembered", "1 to 100000000", remembered));
    }
    let after_start = or(v, "after_start", "floor".to_string(), owned)?;
    let trust_after_start = match (after_start.as_str(), &folder) {
        ("floor", _) => false,
        ("trust", None) => true,
        ("trust", Some(f)) => {
            return Err(Error::here("no 'folder' beside after_start = \"trust\"", format_args!("'{f}'")));
        }
        (x, _) => return Err(Error::value("after_start", "floor or trust", format_args!("'{x}'"))),
    };
    Ok(Sessions {
        instance,
        cluster: or(v, "cluster", "damsonvale".to_string(), owned)?,
        listen: loopback(v, "listen")?,
        peers,
        folder,
        remembered,
        lease: Duration::from_secs_f64(lease / 1000.0),
        moves: false,
        trust_after_start,
    })
}

fn registry(v: &Value) -> Result<Registry, Error> {
    only(
        v,
        &[
            "kind",
            "endpoints",
            "prefix",
            "service",
            "user",
            "password",
            "token",
            "tls",
            "allow",
            "deny",
            "fresh_s",
            "last_s",
            "held_share",
            "held_s",
            "restored_after_s",
            "folder",
            "register",
            "ttl_s",
            "zone",
        ],
    )?;
    let kind = match text(v, "kind")? {
        "etcd" => RegistryKind::Etcd,
        "consul" => RegistryKind::Consul,
        x => return Err(Error::value("kind", "etcd or consul", format_args!("'{x}'"))),
    };
    let words = |key: &str| -> Result<Vec<String>, Error> {
        let Some(_) = v.get(key) else { return Ok(Vec::new()) };
        let word =
            |x: &Value| x.as_str().map(str::to_string).ok_or_else(|| Error::value(key, "texts", shape(x)));
        array(v, key)?.iter().map(word).collect()
    };
    let endpoint =
        |a: String| a.parse().map_err(|_| Error::value("endpoints", "ip:port", format_args!("'{a}'")));
    let endpoints: Vec<SocketAddr> =
        words("endpoints")?.into_iter().map(endpoint).collect::<Result<_, _>>()?;
    if endpoints.is_empty() {
        return Err(Error::value("endpoints", "an address", "none"));
    }
    let nets = |key: &str| -> Result<Vec<IpNet>, Error> {
        let net = |a: String| {
            let one = || a.parse::<std::net::IpAddr>().ok().map(IpNet::from);
            a.parse()
                .ok()
                .or_else(one)
                .ok_or_else(|| Error::value(key, "a network or an address", format_args!("'{a}'")))
        };
        words(key)?.into_iter().map(net).collect()
    };
    let prefix = format!("/{}/", text(v, "prefix")?.trim_matches('/'));
    if prefix == "//" {
        return Err(Error::value("prefix", "something", "nothing but slashes"));
    }
    let maybe = |key: &str| v.get(key).map(|_| owned(v, key)).transpose();
    let seconds = |key: &str, default: f64| -> Result<Duration, Error> {
        Ok(Duration::from_secs_f64(or(v, key, default, positive)?.min(86_400.0)))
    };
    let tls = |t: &Value| {
        only(t, &["ca", "cert", "key", "server_name"])?;
        let maybe = |key: &str| t.get(key).map(|_| owned(t, key)).transpose();
        let tls = RegistryTls {
            ca: owned(t, "ca")?,
            cert: maybe("cert")?,
            key: maybe("key")?,
            server_name: maybe("server_name")?,
        };
        if tls.cert.is_some() != tls.key.is_some() {
            let alone = if tls.cert.is_some() { "'cert' alone" } else { "'key' alone" };
            return Err(Error::here("'cert' and 'key' together", alone));
        }
        Ok(tls)
    };
    let held_share = or(v, "held_share", 0.5, positive)?;
    if held_share > 1.0 {
        return Err(Error::value("held_share", "at most 1", held_share));
    }
    let user = maybe("user")?.map(|u| Ok::<_, Error>((u, owned(v, "password")?))).transpose()?;
    let last = v.get("last_s").map(|_| seconds("last_s", 0.0)).transpose()?;
    let fresh = seconds("fresh_s", 10.0)?;
    if last.is_some_and(|l| l < fresh) {
        let found = format!("{} below {}", last.unwrap_or_default().as_secs_f64(), fresh.as_secs_f64());
        return Err(Error::here("'last_s' to be at least 'fresh_s'", found));
    }
    if kind == RegistryKind::Etcd && v.get("service").is_some() {
        return Err(Error::here("'service' with consul only", "it with etcd"));
    }
    Ok(Registry {
        kind,
        endpoints,
        prefix,
        service: maybe("service")?,
        user,
        token: maybe("token")?,
        tls: v.get("tls").map(tls).transpose().map_err(|e| e.at("tls"))?,
        allow: nets("allow")?,
        deny: nets("deny")?,
        fresh,
        last,
        held_share,
        held: seconds("held_s", 60.0)?,
        restored_after: seconds("restored_after_s", 10.0)?,
        folder: maybe("folder")?,
        register: maybe("register")?,
        ttl: seconds("ttl_s", 10.0)?.max(Duration::from_secs(1)),
        zone: or(v, "zone", String::new(), owned)?,
    })
}

fn log(v: &Value) -> Result<Log, Error> {
    only(v, &["level", "format"])?;
    let level = or(v, "level", "info".to_string(), owned)?;
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        let known = "error, warn, info, debug or trace";
        return Err(Error::value("level", known, format_args!("'{level}'")));
    }
    let json = match or(v, "format", "text".to_string(), owned)?.as_str() {
        "text" => false,
        "json" => true,
        x => return Err(Error::value("format", "text or json", format_args!("'{x}'"))),
    };
    Ok(Log { level, json })
}

fn parsed(toml: &str) -> Result<Value, Error> {
    Ok(toml::from_str(toml)?)
}

/// Reads the file's text.
pub fn read(toml: &str) -> Result<Operator, Error> {
    from(parsed(toml)?)
}

fn from(v: Value) -> Result<Operator, Error> {
    only(&v, &["mysql", "store", "record", "sessions", "log", "registry", "fleet", "members"])?;
    let fleet =
        v.get("fleet").map(crate::fleet::member).transpose().map_err(|e| Error::from(e).at("fleet"))?;
    let registry = v.get("registry").map(registry).transpose().map_err(|e| e.at("registry"))?;
    let mut sessions = v.get("sessions").map(sessions).transpose().map_err(|e| e.at("sessions"))?;
    sessions.iter_mut().for_each(|s| s.moves = registry.is_some());
    let log = v.get("log").map(log).transpose().map_err(|e| e.at("log"))?.unwrap_or_default();
    let store = match v.get("store") {
        Some(s) => store(s).map_err(|e| e.at("store"))?,
        None => {
            Store { node: 1, peers: BTreeMap::from([(1, ([127, 0, 0, 1], 0).into())]), ..Store::default() }
        }
    };
    let (mysql, settings, limits) = mysql(field(&v, "mysql")?).map_err(|e| e.at("mysql"))?;
    let members = v.get("members").map(|m| crate::members::read(m, settings.router_count));
    let members = members.transpose().map_err(|e| Error::from(e).at("members"))?;
    let record = |r: &Value| {
        only(r, &["file", "capacity_mb"])?;
        Ok(Record { file: owned(r, "file")?, capacity: (positive(r, "capacity_mb")? * 1e6) as u64 })
    };
    let record = v.get("record").map(record).transpose().map_err(|e: Error| e.at("record"))?;
    Ok(Operator { record, log, registry, members, sessions, store, mysql, settings, limits, fleet, said: v })
}

#[cfg(test)]
mod tests {
    #[test]
    fn links_that_are_not_asked_across_rest_no_longer_than_they_are_trusted() {
        let limits = super::read(include_str!("../../deploy/mysql.toml")).unwrap().limits;
        assert_eq!(limits.link_idle, limits.link_trust);
    }

    #[test]
    fn sites_are_told_for_the_router_and_for_each_server_and_may_be_left_out() {
        let toml = include_str!("../../deploy/mysql.toml");
        let mysql = super::read(toml).unwrap().mysql;
        assert_eq!((mysql.site, mysql.servers[0].site.as_ref()), (None, None));
        let toml = toml.replace("# site =", "site =").replace("listen =", "site = \"north\"\nlisten =");
        let mysql = super::read(&toml).unwrap().mysql;
        assert_eq!((mysql.site.as_deref(), mysql.servers[0].site.as_deref()), (Some("north"), Some("north")));
    }
}
