//! Follows a registry and registers this router there: the sockets, threads and clock around the state machines.
use crate::cache::{self, Kept};
use crate::consul::Consul;
use crate::endpoints::{Endpoints, Settings as EndpointSettings};
use crate::etcd::{Etcd, Heard, Standing};
use crate::fleet::{
    Action as FleetAction, Event as FleetEvent, Fleet, Level, Node, Settings as FleetSettings, State,
};
use crate::http::{Bounds, Member};
use crate::machine::{Action, EndpointIndex, Event, Item, Machine, Revision, Settings as MachineSettings};
use crate::tls::Tls;
use crate::{Error, Failed};
use routing::{
    Clock, EndpointEntry, EndpointUpdate, EndpointsHandle, GroupId, MemberState, RespondedEndpoints, spawn,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use settings::Limits;
use settings::operator::{Registry as Settings, RegistryKind};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A router, as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Where its clients connect.
    pub addr: SocketAddr,
    /// Its number among the instances that share sessions, and where it takes peers.
    pub sessions: Option<(u64, SocketAddr)>,
    /// Its node of the store, and where that listens.
    #[serde(default)]
    pub store: Option<(u64, SocketAddr)>,
    /// This start of it.
    pub incarnation: u64,
}

/// Who hears of what the registry says besides the nodes.
pub trait Heeds: Send + Sync {
    /// The text of the configuration key, or nothing where there is none; an error names what is wrong with it.
    fn config(&self, text: Option<&str>) -> Result<(), Box<dyn std::error::Error + Send + Sync>>;
    /// The routers that are registered, by name.
    fn routers(&self, known: &BTreeMap<String, Router>);
}

/// A list of keys, and the index at which it stood.
type Listed = (Revision, Vec<Item>);

/// A dialect, and the member it is spoken with.
pub enum Asks {
    /// etcd's.
    Etcd(Etcd),
    /// Consul's.
    Consul(Consul),
}

/// What connections are made with.
#[derive(Clone)]
pub struct Way {
    settings: Settings,
    tls: Option<Arc<Tls>>,
    bounds: Bounds,
    page: usize,
    wait: Duration,
    quiet: Duration,
}

impl Way {
    /// Reads the files that TLS needs.
    pub fn new(settings: &Settings, limits: &Limits) -> Result<Way, Error> {
        let tls = settings.tls.clone().map(Tls::new).transpose()?.map(Arc::new);
        let (connect, silent, most) =
            (limits.connect.max(Duration::from_millis(200)), limits.registry_silent, limits.registry_bytes);
        let bounds = Bounds { connect, silent, most };
        let (page, wait, quiet) = (limits.registry_page, limits.registry_wait, limits.registry_quiet);
        Ok(Way { settings: settings.clone(), tls, bounds, page, wait, quiet })
    }

    /// Speaks with a member; nothing is connected yet.
    pub fn to(&self, endpoint: EndpointIndex) -> Asks {
        let mut member = Member::new(self.settings.endpoints[endpoint], self.tls.clone(), self.bounds);
        match self.settings.kind {
            RegistryKind::Etcd => {
                Asks::Etcd(Etcd { member, user: self.settings.user.clone(), page: self.page })
            }
            RegistryKind::Consul => {
                member.proof = self.settings.token.clone().map(|t| ("X-Consul-Token", t));
                Asks::Consul(Consul { member, service: self.settings.service.clone() })
            }
        }
    }
}

impl Asks {
    /// Everything under a prefix.
    pub fn read(&mut self, prefix: &str) -> Result<(Standing, Vec<Item>), Failed> {
        match self {
            Asks::Etcd(e) => e.read(prefix),
            Asks::Consul(c) => {
                let (index, mut items) = c.read(prefix, None)?;
                let (health, nodes) = c.health(prefix, None)?;
                items.extend(nodes);
                Ok((Standing { cluster: 0, revision: index.max(health) }, items))
            }
        }
    }

    /// Sets a key.
    pub fn put(&mut self, key: &str, value: &[u8], lease: Option<&str>) -> Result<(), Failed> {
        match self {
            Asks::Etcd(e) => e.put(key, value, lease).map(|_| ()),
            Asks::Consul(c) => match c.put(key, value, lease)? {
                true => Ok(()),
                false => Err(Failed::Refused(200, "another session holds the key".into())),
            },
        }
    }

    /// Sets a key if it has not changed since.
    pub fn put_if(&mut self, key: &str, value: &[u8], modified: Revision) -> Result<bool, Failed> {
        match self {
            Asks::Etcd(e) => e.put_if(key, value, modified),
            Asks::Consul(c) => c.put_if(key, value, modified),
        }
    }

    fn grant(&mut self, ttl: Duration) -> Result<String, Failed> {
        // Consul takes no shorter sessions than ten seconds.
        match self {
            Asks::Etcd(e) => e.grant(ttl.as_secs().max(1)),
            Asks::Consul(c) => c.grant(ttl.as_secs().max(10)),
        }
    }

    fn keep(&mut self, lease: &str) -> Result<bool, Failed> {
        match self {
            Asks::Etcd(e) => e.keep(lease),
            Asks::Consul(c) => c.keep(lease),
        }
    }

    fn revoke(&mut self, lease: &str) -> Result<(), Failed> {
        match self {
            Asks::Etcd(e) => e.revoke(lease),
            Asks::Consul(c) => c.revoke(lease),
        }
    }
}

struct Inner {
    fleet: Fleet,
    /// What the list knows, by id.
    listed: HashMap<String, EndpointEntry>,
    pending: Vec<EndpointEntry>,
    urgent: bool,
    version: u64,
    routers: BTreeMap<String, Router>,
    heard: Option<i64>,
}

/// Follows a registry.
pub struct Client {
    settings: Settings,
    way: Way,
    limits: Arc<Limits>,
    clock: Clock,
    list: EndpointsHandle,
    answered: Arc<RespondedEndpoints>,
    heeds: Arc<dyn Heeds>,
    inner: Mutex<Inner>,
    stopping: AtomicBool,
    lease: Mutex<Option<String>>,
    /// When the list was last kept on disk, and at which revision.
    kept: Mutex<(i64, Revision)>,
}

impl Client {
    /// Starts to follow. Where a folder is set and holds a list, that is used until the registry answers.
    pub fn start(
        settings: Settings,
        limits: &Arc<Limits>,
        clock: Clock,
        list: EndpointsHandle,
        answered: Arc<RespondedEndpoints>,
        heeds: Arc<dyn Heeds>,
    ) -> Result<Arc<Client>, Error> {
        let way = Way::new(&settings, limits)?;
        let fleet = Fleet::new(FleetSettings {
            allow: settings.allow.clone(),
            deny: settings.deny.clone(),
            fresh: settings.fresh.as_micros() as i64,
            last: settings.last.map(|l| l.as_micros() as i64),
            held_share: settings.held_share,
            window: settings.held.as_micros() as i64 / 6,
            held: settings.held.as_micros() as i64,
        });
        let inner = Inner {
            fleet,
            listed: HashMap::new(),
            pending: Vec::new(),
            urgent: false,
            version: 0,
            routers: BTreeMap::new(),
            heard: None,
        };
        let client = Arc::new(Client {
            way,
            limits: limits.clone(),
            clock,
            list,
            answered,
            heeds,
            inner: Mutex::new(inner),
            stopping: AtomicBool::new(false),
            lease: Mutex::new(None),
            kept: Mutex::new((0, 0)),
            settings,
        });
        let mut machine = Machine::new(MachineSettings {
            restored_after: client.settings.restored_after.as_micros() as i64,
            tombstones: 100_000,
        });
        client.offline(&mut machine);
        let own = client.clone();
        spawn("registry", limits.module_stack_bytes, move || own.follow(machine)).map_err(Error::Thread)?;
        let own = client.clone();
        spawn("registry-time", limits.stack_bytes, move || own.time()).map_err(Error::Thread)?;
        Ok(client)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn named<'a>(&self, key: &'a str, kind: &str) -> Option<&'a str> {
        key.strip_prefix(&self.settings.prefix)?.strip_prefix(kind)?.strip_prefix('/')
    }

    /// Begins with the last list on disk.
    fn offline(&self, machine: &mut Machine) {
        let Some(folder) = &self.settings.folder else { return };
        let kept = match cache::read(Path::new(folder)) {
            Ok(Some(kept)) => kept,
            Ok(None) => return,
            Err(e) => return tracing::error!("registry: the last list is not used: {e}"),
        };
        let age = (self.clock.now().0 - kept.at).max(0) / 1_000_000;
        let (at, n) = (kept.at, kept.items.len());
        let items: Vec<Item> = kept.items().collect();
        let mut inner = self.inner();
        for item in &items {
            if let Some(name) = self.named(&item.key, "nodes") {
                self.fleet(&mut inner, FleetEvent::Put { name: name.into(), item: item.clone() });
            }
        }
        machine.begin_with(items);
        inner.heard = Some(at);
        let mut actions = Vec::new();
        // It is as old as it is: what that allows, the settings say.
        inner.fleet.handle(decision::Time(at), FleetEvent::Heard, &mut actions);
        self.act(&mut inner, actions);
        self.flush(&mut inner);
        tracing::warn!("registry: using the last list of {n} keys, {age} s old, until the registry answers");
    }

    // ---- following ----

    fn follow(&self, mut machine: Machine) {
        let seed = u64::from(std::process::id()) ^ self.clock.now().0 as u64;
        let mut endpoints = Endpoints::new(
            EndpointSettings {
                endpoints: self.settings.endpoints.len(),
                pause: self.limits.registry_retry.0.as_micros() as i64,
                longest: self.limits.registry_retry.1.as_micros() as i64,
                saved: 10.0,
                earned_per_s: 5.0,
            },
            seed,
        );
        let mut said = String::new();
        while !self.stopping.load(Ordering::Acquire) {
            let (endpoint, wait) = endpoints.next(self.clock.now());
            std::thread::sleep(Duration::from_micros(wait.max(0) as u64));
            let addr = self.settings.endpoints[endpoint];
            let (mut asks, mut worked) = (self.way.to(endpoint), false);
            let ended = self.with(&mut machine, endpoint, &mut asks, &mut || worked = true);
            if worked {
                endpoints.worked(endpoint);
                said.clear();
            }
            let why = match ended {
                Ok(why) => why,
                Err(e) => e.to_string(),
            };
            endpoints.failed(endpoint, self.clock.now());
            let line = format!("{addr}: {why}");
            if line != said {
                tracing::warn!("registry: {line}");
                said = line;
            }
        }
    }

    /// Follows one member until it breaks or must be left; why.
    fn with(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        asks: &mut Asks,
        worked: &mut dyn FnMut(),
    ) -> Result<String, Failed> {
        let mut next = match asks {
            Asks::Etcd(e) => {
                let Standing { cluster, revision } = e.stands(&self.settings.prefix)?;
                self.feed(machine, Event::Stands { endpoint, cluster, revision })
            }
            // It has no cheaper read than the whole list, whose index says where it stands.
            Asks::Consul(_) => Next::Watch(machine.revision() + 1),
        };
        loop {
            next = match next {
                Next::Leave(why) => return Ok(why),
                Next::None => return Ok("nothing to follow".into()),
                Next::Read => {
                    let (Standing { cluster, revision }, items) = asks.read(&self.settings.prefix)?;
                    worked();
                    self.feed(machine, Event::Snapshot { endpoint, cluster, revision, items })
                }
                Next::Watch(from) => {
                    let addr = self.settings.endpoints[endpoint];
                    let ended = match asks {
                        Asks::Etcd(e) => {
                            tracing::info!("registry: following {addr} from revision {from} on");
                            worked();
                            self.watch(machine, endpoint, e, from)?
                        }
                        Asks::Consul(c) => self.query(machine, endpoint, c, worked)?,
                    };
                    match ended {
                        Next::None => return Ok("the watch has ended".into()),
                        other => other,
                    }
                }
            };
        }
    }

    /// etcd's watch, checked by a read beside it when it is quiet.
    fn watch(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        etcd: &mut Etcd,
        from: Revision,
    ) -> Result<Next, Failed> {
        let prefix = self.settings.prefix.clone();
        let mut beside = Etcd { member: etcd.member.beside(), user: etcd.user.clone(), page: etcd.page };
        let (mut next, mut doubted, mut failed) = (Next::None, false, None);
        let ended = etcd.watch(&prefix, from, self.way.quiet, |heard| {
            if self.stopping.load(Ordering::Acquire) {
                return false;
            }
            next = match heard {
                Heard::Changes(changes) => {
                    doubted = false;
                    self.feed(machine, Event::Changes(endpoint, changes))
                }
                Heard::Progress(revision) => self.feed(machine, Event::Progress(endpoint, revision)),
                Heard::Silence => match beside.changed_since(&prefix, machine.revision(), machine.len()) {
                    Ok(Some(revision)) => {
                        doubted = false;
                        self.feed(machine, Event::Progress(endpoint, revision))
                    }
                    // Something has changed and the watch has not brought it: once it may be on its way.
                    Ok(None) if !std::mem::replace(&mut doubted, true) => return true,
                    Ok(None) => {
                        self.feed(machine, Event::Missed);
                        failed = Some("the watch is silent about changes that are there".to_string());
                        return false;
                    }
                    Err(e) => {
                        failed = Some(format!("the watch is silent, and so is a read: {e}"));
                        return false;
                    }
                },
            };
            matches!(next, Next::None)
        });
        match (failed, ended) {
            (Some(why), _) => Ok(Next::Leave(why)),
            (None, Err(Failed::Compacted)) => {
                tracing::warn!("registry: revision {from} has been compacted away: reading everything anew");
                Ok(self.feed(machine, Event::Compacted(endpoint)))
            }
            (None, ended) => ended.map(|()| next),
        }
    }

    /// Consul's blocking queries, one after the other.
    fn query(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        consul: &mut Consul,
        worked: &mut dyn FnMut(),
    ) -> Result<Next, Failed> {
        let prefix = self.settings.prefix.clone();
        // Nodes from a service's health are asked for on a connection of their own.
        let health = consul.service.clone().map(|service| {
            let (member, wait, prefix) = (consul.member.beside(), self.way.wait, prefix.clone());
            let (to, answers) = crossbeam_channel::bounded(1);
            let ask = move || {
                let (mut consul, mut after) = (Consul { member, service: Some(service) }, None);
                loop {
                    let answer = consul.health(&prefix, after);
                    after = answer.as_ref().ok().map(|(index, _)| (*index, wait));
                    let end = answer.is_err();
                    if to.send(answer).is_err() || end {
                        return;
                    }
                }
            };
            _ = spawn("registry-health", self.limits.module_stack_bytes, ask);
            answers
        });
        let (mut keys, mut nodes): (Option<Listed>, Option<Listed>) = (None, None);
        let mut followed = false;
        // With a service its own wait goes on meanwhile: the keys are asked for in short turns.
        let wait = if health.is_some() { self.way.quiet } else { self.way.wait };
        loop {
            if self.stopping.load(Ordering::Acquire) {
                return Ok(Next::None);
            }
            // An index that went back is not gone on from.
            let after = keys.as_ref().map(|(index, _)| (*index, wait));
            let answer = consul.read(&prefix, after)?;
            if keys.as_ref().is_some_and(|(index, _)| answer.0 < *index) {
                keys = None;
            } else {
                keys = Some(answer.clone());
            }
            if let Some(health) = &health {
                let first = nodes.is_none();
                let next = if first { health.recv().ok() } else { health.try_iter().last() };
                match next {
                    Some(Ok(answer)) => nodes = Some(answer),
                    Some(Err(e)) => return Err(e),
                    None if first => return Err(Failed::Broken("no health of the service".into())),
                    None => {}
                }
            }
            let (index, mut items) = answer;
            let more = nodes.clone().unwrap_or_default();
            items.extend(more.1);
            let revision = index.max(more.0);
            let event = Event::Snapshot { endpoint, cluster: 0, revision, items };
            if let leave @ Next::Leave(_) = self.feed(machine, event) {
                return Ok(leave);
            }
            if !std::mem::replace(&mut followed, true) {
                let addr = self.settings.endpoints[endpoint];
                tracing::info!("registry: following {addr} from revision {revision} on");
            }
            worked();
        }
    }

    /// Feeds the machine, and carries out what that wants; what is to be asked next comes back.
    fn feed(&self, machine: &mut Machine, event: Event) -> Next {
        let (mut actions, mut next) = (Vec::new(), Next::None);
        machine.handle(self.clock.now(), event, &mut actions);
        let mut inner = self.inner();
        let (mut routers, mut config) = (false, false);
        for action in actions {
            match action {
                Action::Read(_) => next = Next::Read,
                Action::Watch(_, from) => next = Next::Watch(from),
                Action::Leave(_, why) => next = Next::Leave(format!("{why:?}")),
                Action::Restored => {
                    tracing::error!(
                        "registry: it went back, as if restored from a backup: drained nodes stay drained"
                    );
                    self.fleet(&mut inner, FleetEvent::Restored);
                }
                Action::Put(item) => {
                    config |= self.named(&item.key, "config") == Some("mysql");
                    if let Some(name) = self.named(&item.key, "nodes").map(str::to_string) {
                        self.fleet(&mut inner, FleetEvent::Put { name, item });
                    } else if let Some(name) = self.named(&item.key, "routers") {
                        match serde_json::from_slice(&item.value) {
                            Ok(router) => _ = inner.routers.insert(name.to_string(), router),
                            Err(e) => tracing::error!("registry: {}: {e}", item.key),
                        }
                        routers = true;
                    } else if self.named(&item.key, "control") == Some("let-go") {
                        self.fleet(&mut inner, FleetEvent::LetGo);
                    }
                }
                Action::Gone(key) => {
                    if let Some(name) = self.named(&key, "nodes") {
                        self.fleet(&mut inner, FleetEvent::Gone(name.to_string()));
                    } else if let Some(name) = self.named(&key, "routers") {
                        inner.routers.remove(name);
                        routers = true;
                    }
                    config |= self.named(&key, "config") == Some("mysql");
                }
                Action::Settled(_) => {
                    inner.heard = Some(self.clock.now().0);
                    self.fleet(&mut inner, FleetEvent::Heard);
                }
            }
        }
        self.flush_if_due(&mut inner);
        let known = routers.then(|| inner.routers.clone());
        drop(inner);
        if let Some(known) = known {
            self.heeds.routers(&known);
        }
        if config {
            let key = format!("{}config/mysql", self.settings.prefix);
            let text = machine
                .items()
                .find(|(k, _)| *k == key)
                .map(|(_, v)| String::from_utf8_lossy(v).into_owned());
            match self.heeds.config(text.as_deref()) {
                Ok(()) => tracing::info!("registry: {key} is followed"),
                Err(e) => tracing::error!("registry: {key}: {e}; what it said before holds"),
            }
        }
        self.keep(machine);
        next
    }

    /// Keeps the list on disk, now and then.
    fn keep(&self, machine: &Machine) {
        let Some(folder) = &self.settings.folder else { return };
        let now = self.clock.now().0;
        let mut due = self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if now - due.0 < self.limits.registry_keep.as_micros() as i64 || due.1 == machine.revision() {
            return;
        }
        *due = (now, machine.revision());
        let nodes = machine.all().filter(|i| self.named(&i.key, "nodes").is_some());
        let items = nodes.map(|i| (i.key, i.value, i.created, i.modified)).collect();
        if let Err(e) =
            cache::write(Path::new(folder), &Kept { at: now, revision: machine.revision(), items })
        {
            tracing::error!("registry: the list can't be kept in {folder}: {e}");
        }
    }

    fn fleet(&self, inner: &mut Inner, event: FleetEvent) {
        let mut actions = Vec::new();
        inner.fleet.handle(self.clock.now(), event, &mut actions);
        self.act(inner, actions);
    }

    fn act(&self, inner: &mut Inner, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::List(id, node) => {
                    let entry = self.entry(&id, &node);
                    inner.urgent |= node.state != State::InService;
                    inner.listed.insert(id, entry.clone());
                    inner.pending.push(entry);
                }
                FleetAction::Unlist(id) => {
                    if let Some(entry) = inner.listed.remove(&id) {
                        inner.urgent = true;
                        inner.pending.push(EndpointEntry { state: MemberState::Removed, ..entry });
                    }
                }
                FleetAction::Faulty(name, why) => {
                    tracing::error!("registry: nodes/{name}: {why}; what it said before holds");
                }
                FleetAction::Holding(n) => tracing::error!(
                    "registry: most of {n} nodes in service vanished at once: they are held for {:?}",
                    self.settings.held
                ),
                FleetAction::Released(n) => {
                    tracing::warn!("registry: {n} nodes that had vanished are let go")
                }
                FleetAction::Now(Level::Fresh) => tracing::info!("registry: the list is fresh again"),
                FleetAction::Now(level) => {
                    tracing::error!("registry: no news for long: the list is used as {level:?} only");
                }
            }
        }
    }

    fn entry(&self, id: &str, node: &Node) -> EndpointEntry {
        EndpointEntry {
            id: id.to_string(),
            addr: node.addr,
            group: GroupId(node.group),
            zone: u32::from(node.zone != self.settings.zone),
            site: (!node.zone.is_empty()).then(|| node.zone.as_str().into()),
            state: match node.state {
                State::InService => MemberState::Ready,
                State::Draining => MemberState::Draining,
                State::Gone => MemberState::Removed,
            },
            listed_primary: node.role.as_deref() == Some("primary"),
            weight: node.weight,
            started_at: None,
        }
    }

    /// Hands over what waits, if some of it must not.
    fn flush_if_due(&self, inner: &mut Inner) {
        if std::mem::take(&mut inner.urgent) {
            self.flush(inner);
        }
    }

    fn flush(&self, inner: &mut Inner) {
        if inner.pending.is_empty() {
            return;
        }
        inner.version += 1;
        // Of one node only the newest counts.
        let mut newest: BTreeMap<String, (usize, EndpointEntry)> = BTreeMap::new();
        for (n, e) in std::mem::take(&mut inner.pending).into_iter().enumerate() {
            newest.insert(e.id.clone(), (n, e));
        }
        let mut entries: Vec<(usize, EndpointEntry)> = newest.into_values().collect();
        entries.sort_by_key(|(n, _)| *n);
        let entries = entries.into_iter().map(|(_, e)| e).collect();
        self.list.notify(EndpointUpdate { version: inner.version, complete: false, endpoints: entries });
    }

    /// Hands gathered changes over, lets news grow old, and hears which nodes answer.
    fn time(&self) {
        let mut turns = 0u32;
        while !self.stopping.load(Ordering::Acquire) {
            std::thread::sleep(self.limits.registry_gather);
            turns += 1;
            let mut inner = self.inner();
            if turns.is_multiple_of(5) {
                let age = inner.heard.map_or(0, |h| self.clock.now().0 - h);
                let asked = age > self.settings.fresh.as_micros() as i64 / 4;
                for id in self.answered.drain(asked) {
                    let name = id.rsplit_once('@').map_or(id.as_str(), |(n, _)| n).to_string();
                    self.fleet(&mut inner, FleetEvent::Answered(name));
                }
                self.fleet(&mut inner, FleetEvent::Tick);
            }
            self.flush(&mut inner);
            inner.urgent = false;
        }
    }

    /// Where some of the nodes in service listen, at most so many.
    pub fn some_addresses(&self, most: usize) -> Vec<SocketAddr> {
        let inner = self.inner();
        let serving = inner.fleet.nodes().filter(|(_, _, told)| *told == Some(State::InService));
        serving.map(|(_, node, _)| node.addr).take(most).collect()
    }

    // ---- registering ----

    /// Registers this router, and keeps it registered until [`Client::stop`].
    pub fn register(self: &Arc<Self>, router: Router) -> Result<(), Error> {
        let Some(name) = self.settings.register.clone() else { return Ok(()) };
        let own = self.clone();
        let stack = self.limits.module_stack_bytes;
        spawn("registry-lease", stack, move || own.stay(&name, &router)).map_err(Error::Thread)
    }

    fn stay(&self, name: &str, router: &Router) {
        let key = format!("{}routers/{name}", self.settings.prefix);
        let value = json!(router).to_string();
        let (mut endpoint, mut said) = (0, String::new());
        while !self.stopping.load(Ordering::Acquire) {
            let mut asks = self.way.to(endpoint);
            let why = match self.registered(&mut asks, &key, value.as_bytes()) {
                Ok(()) => {
                    said.clear();
                    "the lease was lost; registering anew".to_string()
                }
                Err(e) => {
                    endpoint = (endpoint + 1) % self.settings.endpoints.len();
                    e.to_string()
                }
            };
            if self.stopping.load(Ordering::Acquire) {
                return;
            }
            if why != said {
                tracing::warn!("registry: {key}: {why}");
                said = why;
            }
            std::thread::sleep(self.limits.registry_retry.0 * 4);
        }
    }

    /// Registers, and keeps the lease for as long as it can be kept.
    fn registered(&self, asks: &mut Asks, key: &str, value: &[u8]) -> Result<(), Failed> {
        let lease = asks.grant(self.settings.ttl)?;
        asks.put(key, value, Some(&lease))?;
        *self.lease.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(lease.clone());
        tracing::info!("registry: registered as {key}");
        loop {
            std::thread::sleep(self.settings.ttl / 3);
            if self.stopping.load(Ordering::Acquire) || !asks.keep(&lease)? {
                return Ok(());
            }
        }
    }

    /// Gives the registration up at once, and follows no more.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let lease = self.lease.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        let Some(lease) = lease else { return };
        let given_up = (0..self.settings.endpoints.len()).any(|e| self.way.to(e).revoke(&lease).is_ok());
        if given_up {
            tracing::info!("registry: registration given up");
        } else {
            tracing::warn!("registry: the registration stays until its lease ends: no member answers");
        }
    }
}

/// What is to be asked next.
enum Next {
    None,
    Read,
    Watch(Revision),
    Leave(String),
}
