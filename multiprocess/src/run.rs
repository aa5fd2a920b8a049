//! Plays a plan: starts servers, nodes and routers, sends the load, makes the faults, and hands the history over.
use crate::check::{Bounds, check};
use crate::child::{Child, ChildError, command, ports};
use crate::history::{Bound, Down, History, Micros, Server, Sites, Step, Tenant};
use crate::load::{self, Ports};
use crate::plan::{CLASSES, Place, Plan, Way, What};
use crate::report::{Costs, Report};
use crate::servers::Servers;
use nix::sys::signal::Signal;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use test_servers::proxy::Proxy;
use thiserror::Error;

/// A process may take this long to start: hundreds start at once.
const STARTS: Duration = Duration::from_secs(60);
/// A change of the document is tried for so long.
const CHANGES: Duration = Duration::from_secs(15);
/// The main thread looks this often.
const TICK: Duration = Duration::from_millis(5);
/// What a router's log says when it can be used.
const READY: &str = "mysql: listening on ";

/// Why a plan was not played to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A folder, a port or a thread.
    #[error(
        "{what}: {error}; look at the space in the temporary folder and the bounds on processes and open files"
    )]
    System {
        /// What was wanted.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// What a process said can't be read.
    #[error("{name} says that it listens on '{said}', which is no ip:port; use a program of the same build")]
    Port {
        /// The process.
        name: String,
        /// What it said.
        said: String,
    },
    /// No leader.
    #[error("the store's nodes chose no leader within {} s; look at how busy this machine is", STARTS.as_secs())]
    NoLeader,
}

fn system(what: &'static str) -> impl Fn(io::Error) -> RunError {
    move |error| RunError::System { what, error }
}

/// A node of the store.
struct Node {
    file: PathBuf,
    control: SocketAddr,
    child: Option<Child>,
}

struct Router {
    file: PathBuf,
    child: Option<Child>,
    /// The place in `downs` of its being down.
    down: Option<usize>,
    /// It was started and is not ready.
    starting: bool,
}

/// What ends a fault.
enum Then {
    Start(Vec<usize>),
    Go(Vec<usize>),
    StartNode(usize),
    GoNode(usize),
    HealStore(usize),
    HealServers(usize, String),
}

/// A quota or a rule as the document has it.
#[derive(Clone)]
struct Now {
    name: String,
    quota: Option<(f64, u32)>,
    on_loss: Option<f64>,
    place: Option<Place>,
}

struct World<'a> {
    program: &'a Path,
    plan: &'a Plan,
    folder: TempDir,
    epoch: Instant,
    servers: Servers,
    store: Vec<SocketAddr>,
    nodes: Vec<Node>,
    routers: Vec<Router>,
    /// For each router that a fault is put on: its ways to each server.
    to_servers: Vec<Vec<Proxy>>,
    /// For each of these: its ways to each node, for documents and for reports.
    to_store: Vec<(Vec<Proxy>, Vec<Proxy>)>,
    ports: Ports,
    rng: fastrand::Rng,
    downs: Vec<Down>,
    tenants: Vec<Now>,
    said: Vec<Tenant>,
}

/// All servers of a plan.
fn servers(plan: &Plan) -> Vec<Server> {
    let of = |(group, g): (usize, &crate::plan::Group)| {
        let server = |name: String, site: &String, primary| Server {
            name,
            site: site.clone(),
            group: group as u32,
            primary,
        };
        let replicas = g.replicas.iter().enumerate();
        let replicas = replicas.map(|(n, site)| server(format!("g{group}-replica-{}", n + 1), site, false));
        let all: Vec<Server> =
            std::iter::once(server(format!("g{group}-primary"), &g.primary, true)).chain(replicas).collect();
        all
    };
    plan.group.iter().enumerate().flat_map(of).collect()
}

/// A list of addresses as TOML.
fn list(addrs: impl Iterator<Item = SocketAddr>) -> String {
    let all: Vec<String> = addrs.map(|a| format!("'{a}'")).collect();
    format!("[{}]", all.join(", "))
}

impl World<'_> {
    fn micros(&self) -> Micros {
        self.epoch.elapsed().as_micros() as Micros
    }

    /// The part of an operator's file that all processes have alike; `at` is where each server is found.
    fn mysql(&self, at: &[SocketAddr]) -> String {
        let mut text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
             routers = {}\n[[mysql.user]]\nname = 'load'\npassword = ''\n",
            self.plan.routers
        );
        for (name, freshness, effect) in [(CLASSES[0], "any", "safe"), (CLASSES[1], "write", "unsafe")] {
            _ = write!(
                text,
                "[[mysql.class]]\nname = '{name}'\nfreshness = '{freshness}'\neffect = '{effect}'\naim_ms = 1000\n\
                 deadline_ms = 2000\n"
            );
        }
        for ((server, _), at) in self.servers.listed.iter().zip(at) {
            let (id, group) = (&server.name, server.group);
            _ = write!(text, "[[mysql.server]]\nid = '{id}'\naddr = '{at}'\ngroup = {group}\n");
            // A router that knows no places knows no sites either.
            if self.plan.fleet {
                _ = writeln!(text, "site = '{}'", server.site);
            }
        }
        text
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, RunError> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).map_err(system("an operator's file"))?;
        Ok(path)
    }

    /// Writes the nodes' files, starts them and waits for a leader.
    fn start_nodes(&mut self) -> Result<Vec<SocketAddr>, RunError> {
        let n = self.plan.nodes;
        let addrs = ports(4 * n).map_err(system("a port"))?;
        let of = |k: usize| addrs[k * n..(k + 1) * n].to_vec();
        let (peers, clients, controls, allocators) = (of(0), of(1), of(2), of(3));
        self.store = clients.clone();
        let listed: Vec<SocketAddr> = self.servers.listed.iter().map(|(_, a)| *a).collect();
        for i in 0..n {
            let mut text = self.mysql(&listed);
            let folder = self.folder.path().join(format!("store-{i}"));
            _ = write!(
                text,
                "[store]\nnode = {}\nfolder = '{}'\ncontrol = '{}'\nclients = '{}'\n",
                i + 1,
                folder.display(),
                controls[i],
                clients[i]
            );
            for (k, peer) in peers.iter().enumerate() {
                _ = write!(text, "[[store.peer]]\nnode = {}\naddr = '{peer}'\n", k + 1);
            }
            if self.plan.fleet {
                let (nodes, allocators_) = (list(clients.iter().copied()), list(allocators.iter().copied()));
                _ = write!(
                    text,
                    "[fleet]\nname = 'node-{}'\nnodes = {nodes}\nallocators = {allocators_}\nlisten = '{}'\n",
                    i + 1,
                    allocators[i]
                );
            }
            let file = self.write(&format!("node-{i}.toml"), &text)?;
            self.nodes.push(Node { file, control: controls[i], child: None });
            self.start_node(i)?;
        }
        for node in &self.nodes {
            if let Some(child) = &node.child {
                child.logged(READY, STARTS)?;
            }
        }
        let begun = Instant::now();
        while n > 0 && self.leader().is_none() {
            if begun.elapsed() > STARTS {
                return Err(RunError::NoLeader);
            }
            std::thread::sleep(TICK);
        }
        Ok(allocators)
    }

    fn start_node(&mut self, i: usize) -> Result<(), RunError> {
        let file = self.nodes[i].file.display().to_string();
        self.nodes[i].child =
            Some(Child::start(self.program, &format!("node {}", i + 1), &["serve", &file])?);
        Ok(())
    }

    /// The store's leader, as the first node that answers says.
    fn leader(&self) -> Option<usize> {
        let said = |node: &Node| {
            node.child.as_ref()?;
            let text = command(self.program, &["ctl", &node.control.to_string(), "status"]).ok()?;
            let status: serde_json::Value = serde_json::from_str(&text).ok()?;
            status["leader"].as_u64().filter(|l| *l > 0).map(|l| l as usize - 1)
        };
        self.nodes.iter().find_map(said)
    }

    /// Writes the routers' files and starts all of them.
    fn start_routers(&mut self, allocators: &[SocketAddr]) -> Result<(), RunError> {
        let faults = || self.plan.fault.iter().map(|f| &f.what);
        let cut = faults().map(What::servers_cut).max().unwrap_or(0);
        // The first router's talk is counted.
        let counted = usize::from(self.plan.fleet);
        let store_cut = faults().map(What::store_cut).max().unwrap_or(0).max(counted);
        let listed: Vec<SocketAddr> = self.servers.listed.iter().map(|(_, a)| *a).collect();
        let proxies = |to: &[SocketAddr]| to.iter().map(|a| Proxy::start(*a)).collect::<Vec<_>>();
        self.to_servers = (0..cut).map(|_| proxies(&listed)).collect();
        self.to_store = (0..store_cut).map(|_| (proxies(&self.store), proxies(allocators))).collect();
        for r in 0..self.plan.routers {
            let at: Vec<SocketAddr> =
                self.to_servers.get(r).map_or(listed.clone(), |p| p.iter().map(|p| p.addr).collect());
            let mut text = self.mysql(&at);
            if self.plan.fleet {
                let (nodes, allocators) = match self.to_store.get(r) {
                    Some((n, a)) => (list(n.iter().map(|p| p.addr)), list(a.iter().map(|p| p.addr))),
                    None => (list(self.store.iter().copied()), list(allocators.iter().copied())),
                };
                _ = write!(
                    text,
                    "[fleet]\nname = 'router-{r}'\nslot = {}\nnodes = {nodes}\nallocators = {allocators}\n",
                    r + 1
                );
            }
            let file = self.write(&format!("router-{r}.toml"), &text)?;
            self.routers.push(Router { file, child: None, down: None, starting: false });
        }
        (0..self.plan.routers).try_for_each(|r| self.start_router(r))?;
        let until = Instant::now() + STARTS;
        while self.routers.iter().any(|r| r.starting) {
            self.look_for_ready(Instant::now() > until)?;
            std::thread::sleep(TICK);
        }
        Ok(())
    }

    fn start_router(&mut self, r: usize) -> Result<(), RunError> {
        let file = self.routers[r].file.display().to_string();
        let child = Child::start(self.program, &format!("router {r}"), &["serve", &file])?;
        (self.routers[r].child, self.routers[r].starting) = (Some(child), true);
        Ok(())
    }

    /// Finds which starting routers are ready; `last`: one that is not by now is an error.
    fn look_for_ready(&mut self, last: bool) -> Result<(), RunError> {
        let at = self.micros();
        for (r, router) in self.routers.iter_mut().enumerate().filter(|(_, r)| r.starting) {
            let Some(child) = &router.child else { continue };
            match child.logged(READY, Duration::ZERO) {
                Ok(said) => {
                    let failed = |_| RunError::Port { name: child.name.clone(), said: said.clone() };
                    let addr: SocketAddr = said.parse().map_err(failed)?;
                    self.ports[r].store(addr.port(), Ordering::Relaxed);
                    router.starting = false;
                    if let Some(down) = router.down.take() {
                        self.downs[down].to = at;
                    }
                }
                Err(e) if last => return Err(e.into()),
                Err(_) => {}
            }
        }
        Ok(())
    }

    /// The document as the tenants are.
    fn document(&self) -> String {
        let names = |all: &[String]| all.iter().map(|s| format!("'{s}'")).collect::<Vec<_>>().join(", ");
        let mut text = format!(
            "routers = {}\nsites = [{}]\nunnamed = '{}'\n",
            self.plan.routers + self.plan.nodes,
            names(&self.plan.sites),
            self.tenants[0].name
        );
        for t in &self.tenants {
            _ = writeln!(text, "[[tenant]]\nname = '{}'", t.name);
            if let Some((rate, burst)) = t.quota {
                _ = writeln!(text, "rate = {rate:?}\nburst = {burst}");
            }
            if let Some(share) = t.on_loss.filter(|_| t.quota.is_some()) {
                _ = writeln!(text, "on_loss = {share:?}");
            }
            if let Some(p) = &t.place {
                let how = if p.strict { "strict" } else { "prefer" };
                _ = writeln!(text, "[[tenant.place]]\nsites = [{}]\nhow = '{how}'", names(&p.sites));
                if let Some(classes) = &p.classes {
                    _ = writeln!(text, "classes = [{}]", names(classes));
                }
            }
        }
        text
    }

    /// Sets the document, and notes what holds from when on.
    fn set_document(&mut self) -> Result<(), RunError> {
        let file = self.write("fleet.toml", &self.document())?.display().to_string();
        let store: Vec<String> = self.store.iter().map(SocketAddr::to_string).collect();
        let (words, begun, until) =
            (["fleet", "set", &file, "--store", &store.join(",")], self.micros(), Instant::now() + CHANGES);
        // While the leader is away it fails; tried again it says the same.
        while let Err(e) = command(self.program, &words) {
            if Instant::now() > until {
                return Err(e.into());
            }
            std::thread::sleep(TICK);
        }
        let committed = self.micros();
        self.note(begun, committed);
        Ok(())
    }

    fn note(&mut self, begun: Micros, committed: Micros) {
        for (now, said) in self.tenants.iter().zip(&mut self.said) {
            let bound = now.quota.map(|(rate, burst)| Bound { rate, burst: f64::from(burst) });
            said.quotas.push(Step { begun, committed, is: bound });
            let mut sites = Sites::default();
            if let Some(p) = now.place.as_ref().filter(|p| p.strict) {
                let named = |class| p.classes.as_ref().is_none_or(|c| c.iter().any(|c| c == class));
                let set = Some(p.sites.iter().cloned().collect());
                sites.reads = set.clone().filter(|_| named(CLASSES[0]));
                sites.writes = set.filter(|_| named(CLASSES[1]));
            }
            said.places.push(Step { begun, committed, is: sites });
        }
    }

    /// This share of the routers that are up, drawn.
    fn drawn(&mut self, share: f64) -> Vec<usize> {
        let mut up: Vec<usize> = (0..self.routers.len())
            .filter(|r| self.routers[*r].child.is_some() && self.routers[*r].down.is_none())
            .collect();
        self.rng.shuffle(&mut up);
        up.truncate((share * self.routers.len() as f64).round() as usize);
        up
    }

    /// Notes that a router is down from here on.
    fn down(&mut self, r: usize) {
        self.routers[r].down = Some(self.downs.len());
        self.downs.push(Down { router: r, from: self.micros(), to: Micros::MAX });
    }

    fn signal(&self, r: usize, signal: Signal) -> Result<(), RunError> {
        if let Some(child) = &self.routers[r].child {
            child.signal(signal)?;
        }
        Ok(())
    }

    fn links(&self, routers: usize, site: &str) -> impl Iterator<Item = &Proxy> {
        let at: Vec<bool> = self.servers.listed.iter().map(|(s, _)| s.site == site).collect();
        let of = move |ways: &'_ Vec<Proxy>| {
            let chosen: Vec<usize> = (0..ways.len()).filter(|i| at[*i]).collect();
            chosen
        };
        self.to_servers.iter().take(routers).flat_map(move |ways| of(ways).into_iter().map(|i| &ways[i]))
    }

    fn begin(&mut self, what: &What) -> Result<Option<(f64, Then)>, RunError> {
        let cut = |p: &Proxy, way: Way| {
            p.faults(|f| match way {
                Way::Both => f.cut = true,
                Way::There => f.deaf_there = true,
                Way::Back => f.deaf_back = true,
            });
        };
        Ok(match what {
            What::Kill { share, back_s } => {
                let chosen = self.drawn(*share);
                for r in &chosen {
                    self.down(*r);
                    self.ports[*r].store(0, Ordering::Relaxed);
                    self.routers[*r].child = None;
                }
                back_s.map(|s| (s, Then::Start(chosen)))
            }
            What::Restart { share, back_s } => {
                let chosen = self.drawn(*share);
                for r in &chosen {
                    self.down(*r);
                    self.ports[*r].store(0, Ordering::Relaxed);
                    self.signal(*r, Signal::SIGTERM)?;
                }
                Some((*back_s, Then::Start(chosen)))
            }
            What::Stop { share, for_s } => {
                let chosen = self.drawn(*share);
                for r in &chosen {
                    self.down(*r);
                    self.signal(*r, Signal::SIGSTOP)?;
                }
                Some((*for_s, Then::Go(chosen)))
            }
            What::KillLeader { back_s } => self.leader().map(|i| {
                self.nodes[i].child = None;
                (*back_s, Then::StartNode(i))
            }),
            What::StopLeader { for_s } => match self.leader() {
                None => None,
                Some(i) => {
                    if let Some(child) = &self.nodes[i].child {
                        child.signal(Signal::SIGSTOP)?;
                    }
                    Some((*for_s, Then::GoNode(i)))
                }
            },
            What::CutStore { routers, way, for_s } => {
                let ways = self.to_store.iter().take(*routers);
                ways.flat_map(|(n, a)| n.iter().chain(a)).for_each(|p| cut(p, *way));
                Some((*for_s, Then::HealStore(*routers)))
            }
            What::CutServers { routers, site, way, for_s } => {
                self.links(*routers, site).for_each(|p| cut(p, *way));
                Some((*for_s, Then::HealServers(*routers, site.clone())))
            }
            What::Delay { routers, site, ms, for_s } => {
                let delay = Duration::from_secs_f64(ms / 1000.0);
                self.links(*routers, site).for_each(|p| p.faults(|f| f.delay = delay));
                Some((*for_s, Then::HealServers(*routers, site.clone())))
            }
            What::Reset { routers, site } => {
                self.links(*routers, site).for_each(Proxy::reset);
                None
            }
            What::Quota { tenant, rate, burst } => {
                let of = self.tenants.iter_mut().filter(|t| t.name == *tenant);
                of.for_each(|t| t.quota = Some((*rate, *burst)));
                self.set_document()?;
                None
            }
            What::Place { tenant, sites, strict } => {
                for t in self.tenants.iter_mut().filter(|t| t.name == *tenant) {
                    let classes = t.place.take().and_then(|p| p.classes);
                    t.place = Some(Place { sites: sites.clone(), strict: *strict, classes });
                }
                self.set_document()?;
                None
            }
        })
    }

    fn end(&mut self, then: &Then) -> Result<(), RunError> {
        match then {
            Then::Start(routers) => {
                // A process that was asked to end and has not is killed here.
                routers.iter().for_each(|r| self.routers[*r].child = None);
                routers.iter().try_for_each(|r| self.start_router(*r))
            }
            Then::Go(routers) => {
                for r in routers {
                    self.signal(*r, Signal::SIGCONT)?;
                    let at = self.micros();
                    if let Some(down) = self.routers[*r].down.take() {
                        self.downs[down].to = at;
                    }
                }
                Ok(())
            }
            Then::StartNode(i) => self.start_node(*i),
            Then::GoNode(i) => match &self.nodes[*i].child {
                Some(child) => Ok(child.signal(Signal::SIGCONT)?),
                None => Ok(()),
            },
            Then::HealStore(routers) => {
                let ways = self.to_store.iter().take(*routers);
                ways.flat_map(|(n, a)| n.iter().chain(a)).for_each(Proxy::heal);
                Ok(())
            }
            Then::HealServers(routers, site) => {
                self.links(*routers, site).for_each(Proxy::heal);
                Ok(())
            }
        }
    }

    /// What the routers that are up cost.
    fn costs(&self, talk: Option<f64>) -> Costs {
        let of = |c: &Child| c.cost();
        let all = self.routers.iter().filter_map(|r| r.child.as_ref().and_then(of)).collect();
        let nodes = self.nodes.iter().filter_map(|n| n.child.as_ref().and_then(of)).collect();
        Costs { routers: all, nodes, talk_bytes_per_s: talk }
    }

    /// Bytes that the first router and the store have exchanged.
    fn talked(&self) -> u64 {
        self.to_store.first().map_or(0, |(n, a)| n.iter().chain(a).map(Proxy::passed).sum())
    }

    /// Makes the faults at their times while the load runs; gives what the routers cost before the first.
    fn play(&mut self, begin: Instant) -> Result<Costs, RunError> {
        let mut faults: Vec<_> = self.plan.fault.iter().collect();
        faults.sort_by(|a, b| b.at.total_cmp(&a.at));
        let mut ends: Vec<(Instant, Then)> = Vec::new();
        let first = faults.last().map_or(self.plan.seconds / 2.0, |f| f.at * 0.95);
        let (sample, talked) = (begin + Duration::from_secs_f64(first), self.talked());
        let (mut costs, over) = (None, begin + Duration::from_secs_f64(self.plan.seconds));
        std::thread::sleep(begin.saturating_duration_since(Instant::now()));
        loop {
            let now = Instant::now();
            if costs.is_none() && now >= sample {
                let s = now.saturating_duration_since(begin).as_secs_f64();
                let talk = (self.plan.fleet && s > 0.0).then(|| (self.talked() - talked) as f64 / s);
                costs = Some(self.costs(talk));
            }
            while faults.last().is_some_and(|f| begin + Duration::from_secs_f64(f.at) <= now) {
                let Some(fault) = faults.pop() else { break };
                if let Some((after, then)) = self.begin(&fault.what)? {
                    ends.push((Instant::now() + Duration::from_secs_f64(after), then));
                }
            }
            let (ended, left): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, _)| *at <= now);
            ends = left;
            ended.iter().try_for_each(|(_, then)| self.end(then))?;
            self.look_for_ready(false)?;
            if now >= over && faults.is_empty() {
                // What stands goes on, so that every request ends.
                ends.iter()
                    .filter(|(_, t)| !matches!(t, Then::Start(_)))
                    .try_for_each(|(_, t)| self.end(t))?;
                return Ok(costs.unwrap_or_else(|| self.costs(None)));
            }
            std::thread::sleep(TICK);
        }
    }
}

/// Plays a plan with this program.
///
/// # Errors
/// Where it could not be played; what it showed is in the report, not here.
pub fn run(program: &Path, plan: &Plan, bounds: &Bounds) -> Result<Report, RunError> {
    let epoch = Instant::now();
    let names: Vec<String> = plan.tenant.iter().map(|t| t.name.clone()).collect();
    let service = Duration::from_secs_f64(plan.service_ms / 1000.0);
    let servers = Servers::start(servers(plan), &names, service, epoch).map_err(system("a server"))?;
    let now = |t: &crate::plan::Tenant| Now {
        name: t.name.clone(),
        quota: t.rate.zip(t.burst),
        on_loss: t.on_loss,
        place: t.place.clone(),
    };
    let mut world = World {
        program,
        plan,
        folder: tempfile::tempdir().map_err(system("a temporary folder"))?,
        epoch,
        servers,
        store: Vec::new(),
        nodes: Vec::new(),
        routers: Vec::new(),
        to_servers: Vec::new(),
        to_store: Vec::new(),
        ports: Arc::new((0..plan.routers).map(|_| AtomicU16::new(0)).collect()),
        rng: fastrand::Rng::with_seed(plan.seed ^ 0x5eed),
        downs: Vec::new(),
        tenants: plan.tenant.iter().map(now).collect(),
        said: names.iter().map(|n| Tenant { name: n.clone(), ..Tenant::default() }).collect(),
    };
    let allocators = world.start_nodes()?;
    if plan.fleet {
        world.set_document()?;
    } else {
        world.note(0, 0);
    }
    world.start_routers(&allocators)?;
    let started = epoch.elapsed();
    // Routers look at their servers, and are lent to, before the first request.
    let begin = Instant::now() + Duration::from_secs(if plan.fleet { 3 } else { 1 });
    let running = load::start(plan, &world.ports, epoch, begin).map_err(system("a thread"))?;
    let costs = world.play(begin)?;
    let done = running.done().map_err(system("the load"))?;
    let dead = world.routers.iter_mut().enumerate().filter(|(_, r)| r.down.is_none());
    let dead = dead.filter_map(|(n, r)| r.child.as_mut().and_then(|c| c.has_ended().then(|| (n, c.lines()))));
    let dead = dead.collect();
    let history = History {
        begun: begin.saturating_duration_since(epoch).as_micros() as Micros,
        requests: done.requests,
        statements: world.servers.ran(),
        servers: world.servers.listed.iter().map(|(s, _)| s.clone()).collect(),
        tenants: world.said.clone(),
        downs: world.downs.clone(),
        strays: done.strays,
    };
    let verdict = check(&history, bounds);
    Ok(Report { routers: plan.routers, started, took: epoch.elapsed(), costs, dead, history, verdict })
}
