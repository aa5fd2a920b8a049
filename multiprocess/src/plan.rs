//! What is to be played: a TOML document, checked as a whole before anything is started.
use serde::Deserialize;
use std::collections::BTreeSet;
use thiserror::Error;

/// Routers that a plan may ask for.
pub const ROUTERS: usize = 1000;

/// Why a plan can't be played.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is no TOML, or has a key that is not known or of another kind.
    #[error("{0}; correct the key that is named")]
    Toml(#[from] toml::de::Error),
    /// A key's value can't be used.
    #[error("{key}: expected {expected}, found {found}")]
    Value {
        /// The key.
        key: String,
        /// What may stand there.
        expected: String,
        /// What does.
        found: String,
    },
}

fn value(key: impl Into<String>, expected: impl Into<String>, found: impl ToString) -> PlanError {
    PlanError::Value { key: key.into(), expected: expected.into(), found: found.to_string() }
}

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Routers, a process each.
    pub routers: usize,
    /// Nodes of the store, a process each, besides the routers; 0 for none.
    #[serde(default)]
    pub nodes: usize,
    /// The routers follow a document in the store: quotas and places hold.
    #[serde(default)]
    pub fleet: bool,
    /// Seconds of load.
    pub seconds: f64,
    /// Seed of times, routers and faults.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long a statement takes at a server.
    #[serde(default = "service")]
    pub service_ms: f64,
    /// Threads that send the load.
    #[serde(default = "threads")]
    pub load_threads: usize,
    /// Connections of clients to each router.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Sites.
    pub sites: Vec<String>,
    /// Groups of servers, from 0 on.
    pub group: Vec<Group>,
    /// Tenants; the first is that of requests which name none.
    pub tenant: Vec<Tenant>,
    /// What is asked.
    pub load: Vec<Load>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

fn one() -> u64 {
    1
}
fn service() -> f64 {
    5.0
}
fn threads() -> usize {
    4
}
fn connections() -> usize {
    2
}

/// A group of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The primary's site.
    pub primary: String,
    /// The replicas' sites.
    pub replicas: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second for all routers together; without it the tenant is not bounded.
    pub rate: Option<f64>,
    /// Requests beyond.
    pub burst: Option<u32>,
    /// Without the store: this share of the quota; nothing where it is left out.
    pub on_loss: Option<f64>,
    /// Its rule, where it has one.
    pub place: Option<Place>,
}

/// Where a tenant's statements may run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The sites.
    pub sites: Vec<String>,
    /// Nowhere else; `false` prefers them.
    pub strict: bool,
    /// `basket-read`, `basket-add`; all where it is left out.
    pub classes: Option<Vec<String>>,
}

/// Which routers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum From {
    /// The first so many.
    Few(usize),
    /// `"all"` or `"one"`.
    Word(Word),
}

/// Words of [`From`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Each router alike.
    All,
    /// The first router alone.
    One,
}

/// A tenant's load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The tenant.
    pub tenant: String,
    /// Requests a second over all routers, at random times.
    pub rate: f64,
    /// From which routers.
    pub from: From,
    /// The share of writes.
    #[serde(default)]
    pub writes: f64,
}

impl Load {
    /// How many routers send it.
    pub fn routers(&self, of: usize) -> usize {
        match self.from {
            From::Few(n) => n.min(of),
            From::Word(Word::All) => of,
            From::Word(Word::One) => 1,
        }
    }
}

/// A fault, at a time after the load's begin.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Seconds after the load's begin.
    pub at: f64,
    /// What happens.
    #[serde(flatten)]
    pub what: What,
}

/// Which way of a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Both.
    #[default]
    Both,
    /// Nothing gets there; answers come back.
    There,
    /// Nothing comes back.
    Back,
}

/// What happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// SIGKILL to this share of the routers, which are started again `back_s` later.
    Kill {
        /// Of all routers.
        share: f64,
        /// They stay away where it is left out.
        back_s: Option<f64>,
    },
    /// SIGTERM to this share, which are started again `back_s` later.
    Restart {
        /// Of all routers.
        share: f64,
        /// Later.
        back_s: f64,
    },
    /// SIGSTOP to this share, and SIGCONT after a while.
    Stop {
        /// Of all routers.
        share: f64,
        /// For so long.
        for_s: f64,
    },
    /// The store's leader is killed, and started again.
    KillLeader {
        /// Later.
        back_s: f64,
    },
    /// The store's leader stands still, and goes on.
    StopLeader {
        /// For so long.
        for_s: f64,
    },
    /// These many routers are cut off from the store.
    CutStore {
        /// The first so many.
        routers: usize,
        /// Which way.
        #[serde(default)]
        way: Way,
        /// For so long.
        for_s: f64,
    },
    /// These many routers are cut off from all servers of a site.
    CutServers {
        /// The first so many.
        routers: usize,
        /// The site.
        site: String,
        /// Which way.
        #[serde(default)]
        way: Way,
        /// For so long.
        for_s: f64,
    },
    /// Every piece between these routers and a site's servers is late.
    Delay {
        /// The first so many.
        routers: usize,
        /// The site.
        site: String,
        /// By this.
        ms: f64,
        /// For so long.
        for_s: f64,
    },
    /// Connections between these routers and a site's servers are reset.
    Reset {
        /// The first so many.
        routers: usize,
        /// The site.
        site: String,
    },
    /// A tenant's quota changes.
    Quota {
        /// The tenant.
        tenant: String,
        /// The rate.
        rate: f64,
        /// The burst.
        burst: u32,
    },
    /// A tenant's rule changes.
    Place {
        /// The tenant.
        tenant: String,
        /// The sites.
        sites: Vec<String>,
        /// Strictly.
        strict: bool,
    },
}

impl What {
    /// How many routers need links to a site that can go wrong.
    pub fn servers_cut(&self) -> usize {
        match self {
            What::CutServers { routers, .. } | What::Delay { routers, .. } | What::Reset { routers, .. } => {
                *routers
            }
            _ => 0,
        }
    }

    /// How many routers need links to the store that can go wrong.
    pub fn store_cut(&self) -> usize {
        if let What::CutStore { routers, .. } = self { *routers } else { 0 }
    }
}

/// Reads a plan.
///
/// # Errors
/// A [`PlanError`] that names the key.
pub fn read(text: &str) -> Result<Plan, PlanError> {
    let plan: Plan = toml::from_str(text)?;
    plan.check()?;
    Ok(plan)
}

impl Plan {
    /// Checks it.
    ///
    /// # Errors
    /// A [`PlanError`] that names the key.
    pub fn check(&self) -> Result<(), PlanError> {
        let within = |key: &str, x: f64, least: f64, most: f64| {
            let ok = x.is_finite() && (least..=most).contains(&x);
            if ok { Ok(()) } else { Err(value(key, format!("{least} to {most}"), x)) }
        };
        within("routers", self.routers as f64, 1.0, ROUTERS as f64)?;
        within("seconds", self.seconds, 0.1, 86_400.0)?;
        within("service_ms", self.service_ms, 0.0, 10_000.0)?;
        within("load_threads", self.load_threads as f64, 1.0, 64.0)?;
        within("connections", self.connections as f64, 1.0, 100.0)?;
        if !matches!(self.nodes, 0 | 1 | 3 | 5) {
            return Err(value("nodes", "0, 1, 3 or 5", self.nodes));
        }
        if self.fleet && self.nodes == 0 {
            return Err(value("nodes", "at least 1 where 'fleet' is on", 0));
        }
        let sites: BTreeSet<&String> = self.sites.iter().collect();
        let site = |key: String, name: &String| {
            if sites.contains(name) { Ok(()) } else { Err(value(key, "one of 'sites'", format!("'{name}'"))) }
        };
        if self.group.is_empty() {
            return Err(value("group", "at least one", "none"));
        }
        for (i, g) in self.group.iter().enumerate() {
            site(format!("group[{i}].primary"), &g.primary)?;
            g.replicas.iter().try_for_each(|s| site(format!("group[{i}].replicas"), s))?;
        }
        let mut names = BTreeSet::new();
        for (i, t) in self.tenant.iter().enumerate() {
            if t.name.is_empty() || !names.insert(&t.name) {
                return Err(value(format!("tenant[{i}].name"), "a name of its own", format!("'{}'", t.name)));
            }
            if t.rate.is_some() != t.burst.is_some() {
                return Err(value(format!("tenant[{i}]"), "both or neither of 'rate' and 'burst'", "one"));
            }
            if (t.rate.is_some() || t.place.is_some()) && !self.fleet {
                return Err(value(
                    format!("tenant[{i}]"),
                    "no quota and no place without fleet = true",
                    "one",
                ));
            }
            let named = t.place.iter().flat_map(|p| &p.sites);
            named.into_iter().try_for_each(|s| site(format!("tenant[{i}].place.sites"), s))?;
            for class in t.place.iter().flat_map(|p| p.classes.iter().flatten()) {
                if !CLASSES.contains(&class.as_str()) {
                    let expected = CLASSES.join(" or ");
                    return Err(value(format!("tenant[{i}].place.classes"), expected, class));
                }
            }
        }
        if names.is_empty() {
            return Err(value("tenant", "at least one", "none"));
        }
        let tenant = |key: String, name: &String| {
            if names.contains(name) {
                Ok(())
            } else {
                Err(value(key, "a listed tenant", format!("'{name}'")))
            }
        };
        for (i, l) in self.load.iter().enumerate() {
            tenant(format!("load[{i}].tenant"), &l.tenant)?;
            within(&format!("load[{i}].rate"), l.rate, 0.0, 100_000.0)?;
            within(&format!("load[{i}].writes"), l.writes, 0.0, 1.0)?;
            if l.from == From::Few(0) {
                return Err(value(format!("load[{i}].from"), "\"all\", \"one\" or a number above 0", 0));
            }
        }
        for (i, f) in self.fault.iter().enumerate() {
            let key = |k: &str| format!("fault[{i}].{k}");
            within(&key("at"), f.at, 0.0, self.seconds)?;
            let many = |n: usize| within(&key("routers"), n as f64, 1.0, self.routers as f64);
            match &f.what {
                What::Kill { share, back_s } => {
                    within(&key("share"), *share, 0.0, 1.0)?;
                    within(&key("back_s"), back_s.unwrap_or(0.0), 0.0, 3600.0)?;
                }
                What::Restart { share, back_s: s } | What::Stop { share, for_s: s } => {
                    within(&key("share"), *share, 0.0, 1.0)?;
                    within(&key("back_s or for_s"), *s, 0.0, 3600.0)?;
                }
                What::KillLeader { .. } | What::StopLeader { .. } if self.nodes == 0 => {
                    return Err(value(key("do"), "nodes of the store", "none"));
                }
                What::KillLeader { back_s: s } | What::StopLeader { for_s: s } => {
                    within(&key("back_s or for_s"), *s, 0.0, 3600.0)?;
                }
                What::CutStore { .. } if !self.fleet => {
                    return Err(value(key("do"), "fleet = true", "false"));
                }
                What::CutStore { routers, for_s, .. } => {
                    many(*routers)?;
                    within(&key("for_s"), *for_s, 0.0, 3600.0)?;
                }
                What::CutServers { routers, site: s, for_s, .. } => {
                    many(*routers)?;
                    site(key("site"), s)?;
                    within(&key("for_s"), *for_s, 0.0, 3600.0)?;
                }
                What::Delay { routers, site: s, ms, for_s } => {
                    many(*routers)?;
                    site(key("site"), s)?;
                    within(&key("ms"), *ms, 0.0, 60_000.0)?;
                    within(&key("for_s"), *for_s, 0.0, 3600.0)?;
                }
                What::Reset { routers, site: s } => {
                    many(*routers)?;
                    site(key("site"), s)?;
                }
                What::Quota { tenant: t, rate, .. } => {
                    tenant(key("tenant"), t)?;
                    within(&key("rate"), *rate, 0.0, 1e9)?;
                }
                What::Place { tenant: t, sites, .. } => {
                    tenant(key("tenant"), t)?;
                    sites.iter().try_for_each(|s| site(key("sites"), s))?;
                }
            }
            if matches!(f.what, What::Quota { .. } | What::Place { .. }) && !self.fleet {
                return Err(value(key("do"), "fleet = true", "false"));
            }
        }
        Ok(())
    }
}

/// The classes of the load's statements: reads and writes.
pub const CLASSES: [&str; 2] = ["basket-read", "basket-add"];
