//! `serve`: the MySQL front, its store, its sessions, its fleet and its recording, as an operator's file says.
use super::Error;
use crate::signals;
use clients::{ClientListener, ServerCommand};
use crossbeam_channel::bounded;
use mysql_wire::front::Front;

use ::sessions::node::Sessions;
use registry::client::{Client, Heeds, Router};
use routing::{Clock, EndpointEntry, EndpointUpdate, GroupId, MemberState, RespondedEndpoints};
use serde_json::{Value, json};
use settings::Error as Fault;
use settings::fields::{number, text, whole};
use settings::operator::{Operator, Reload, Server};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The member list as the store holds it, to a router at `own` site. A server that can't be read is left out and named
/// in the log.
fn members(state: &store::State, own: Option<&str>) -> EndpointUpdate {
    // Where the router's own site is known, the servers of others are farther.
    let zone = |site: Option<&str>| u32::from(own.is_some() && site != own);
    let entry = |(key, value): (&str, &store::Value)| {
        let read = || {
            let v: Value = serde_json::from_str(&value.text)?;
            let addr = text(&v, "addr")?;
            let state = match text(&v, "state")? {
                "in_service" => MemberState::Ready,
                "draining" => MemberState::Draining,
                x => {
                    return Err(Fault::value("state", "in_service or draining", format_args!("'{x}'")));
                }
            };
            let site: Option<Arc<str>> = v.get("site").and_then(Value::as_str).map(Arc::from);
            Ok(EndpointEntry {
                id: key.trim_start_matches("server/").to_string(),
                addr: addr.parse().map_err(|_| Fault::value("addr", "ip:port", format_args!("'{addr}'")))?,
                group: GroupId(whole(&v, "group")? as u32),
                zone: zone(site.as_deref()),
                site,
                state,
                // Who is primary, the servers say themselves when they are probed.
                listed_primary: false,
                weight: number(&v, "weight")?,
                started_at: None,
            })
        };
        read().map_err(|e: Fault| tracing::error!("list: {key}: {e}")).ok()
    };
    let entries = state.with_prefix("server/").filter_map(entry).collect();
    EndpointUpdate { version: state.applied_index, complete: true, endpoints: entries }
}

/// What a router that runs follows: its file, and what a registry says besides.
struct Follows {
    path: PathBuf,
    operator: Operator,
    front: Arc<Front>,
    sessions: Arc<Sessions>,
    store: store::Store,
    found: Mutex<Found>,
}

/// What a registry has said.
#[derive(Default)]
struct Found {
    /// Users, rules and the default group.
    overlay: Option<String>,
    /// Where instances that share sessions are registered. Which belong together, the file alone says: an instance that
    /// nobody has listed yet, or that is registered no more, may be telling its clients of writes all the same.
    peers: BTreeMap<u64, SocketAddr>,
}

impl Follows {
    fn found(&self) -> std::sync::MutexGuard<'_, Found> {
        self.found.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn read(&self, overlay: Option<&str>) -> Result<Reload, Error> {
        let text = super::read(&self.path)?;
        settings::operator::reload(&text, overlay, &self.operator)
            .map_err(|source| Error::Settings { path: self.path.clone(), source })
    }

    fn follow(&self, reload: Reload, found: &Found) -> Vec<String> {
        self.front.reload(reload.mysql);
        if let Some(mut peers) = reload.session_peers {
            peers.iter_mut().for_each(|(n, addr)| *addr = found.peers.get(n).copied().unwrap_or(*addr));
            self.sessions.list(peers);
        }
        reload.restart
    }

    fn reload(&self) -> Result<Vec<String>, Error> {
        let found = self.found();
        let reload = self.read(found.overlay.as_deref())?;
        Ok(self.follow(reload, &found))
    }
}

impl Heeds for Follows {
    fn config(&self, text: Option<&str>) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let mut found = self.found();
        let reload = self.read(text)?;
        found.overlay = text.map(str::to_string);
        self.follow(reload, &found);
        Ok(())
    }

    fn routers(&self, known: &BTreeMap<String, Router>) {
        known
            .values()
            .filter_map(|r| r.store)
            .for_each(|(node, addr)| self.store.set_peer_address(node, addr));
        let Some(sessions) = &self.operator.sessions else { return };
        let mut found = self.found();
        let before = found.peers.clone();
        let others = known.values().filter_map(|r| r.sessions).filter(|(n, _)| *n != sessions.instance);
        found.peers.extend(others);
        if found.peers != before
            && let Ok(reload) = self.read(found.overlay.as_deref())
        {
            self.follow(reload, &found);
        }
    }
}

/// Joins the fleet, and answers its routers where this node of the store is to.
fn fleet(
    member: &settings::fleet::Member,
    store: &store::Store,
    handle: &routing::RouterHandle<mysql_wire::link::Mysql>,
    classes: &[String],
    clock: Clock,
    list: routing::EndpointsHandle,
) -> Result<::fleet::FleetClient, Error> {
    let thread = |source| Error::Thread { what: "fleet", source };
    let quotas = quotas::Settings::default();
    if let Some(at) = member.listen {
        let failed = |source| Error::Listen { key: "fleet.listen", addr: at.to_string(), source };
        let listener = TcpListener::bind(at).map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        let seed = clock.now().0 as u64;
        let audit = member.audit.as_ref().map(|a| audit::Settings::new(a, quotas.ttl, seed));
        ::fleet::service::start(listener, store.clone(), clock, quotas.clone(), audit, Default::default())
            .map_err(thread)?;
        tracing::info!("fleet: answering routers on {at}");
    }
    let seed = clock.now().0 as u64 ^ u64::from(std::process::id());
    if let Some(path) = &member.seed {
        let text = super::read(Path::new(path))?;
        settings::fleet::read(&text, Some(classes))
            .map_err(|source| Error::Fleet { path: path.into(), source })?;
        let client = store::client::Client::new(store::client::Settings::new(member.nodes.clone(), seed));
        ::fleet::document::start_seeding(client, text).map_err(thread)?;
    }
    let settings = ::fleet::client::Settings {
        member: member.clone(),
        incarnation: clock.now().0 as u64,
        classes: classes.to_vec(),
        quotas,
        seed,
    };
    let handle = handle.clone();
    ::fleet::FleetClient::start(
        settings,
        clock,
        move |news| handle.update_placement(news),
        move || list.version(),
    )
    .map_err(thread)
}

/// Servers of a registry's list that are asked for their clocks: any few tell, they are near each other.
const SERVERS_ASKED: usize = 8;

/// Serves MySQL until SIGTERM.
pub fn run(path: &Path) -> Result<(), Error> {
    let operator = super::operator(path)?;
    crate::log::start(&operator.log);
    let signals = signals::note()?;
    let Operator { record, store: operator_store, mysql, settings, limits, .. } = operator.clone();
    let (mysql, limits) = (Arc::new(mysql), Arc::new(limits));
    let clock = Clock::with_offset(limits.clock_offset_us);
    let seed = u64::from(std::process::id()) ^ clock.now().0 as u64;
    let wire = mysql_wire::link::Mysql::new(mysql.clone(), limits.clone(), clock);
    let clocks = wire.clocks.clone();
    let mysql_servers: Vec<SocketAddr> = mysql.servers.iter().map(|s| s.addr).collect();
    // The peers' listener comes before any client's: a refused connection proves that nothing is served here.
    let sessions = match operator.sessions.clone() {
        Some(s) => Sessions::start(s, &limits, clock, clocks)?,
        None => Sessions::alone(&limits, clock, clocks),
    };
    let routers = settings.router_count;
    let asks = mysql.server_clock.then(|| wire.clone());
    let answered = operator.registry.as_ref().map(|_| Arc::new(RespondedEndpoints::default()));
    let core = routing::RouterBuilder {
        protocol: wire,
        settings,
        seed,
        limits: limits.clone(),
        clock,
        responded: answered.clone(),
        metrics: None,
        placement: operator.fleet.as_ref().map(|_| placement::Settings::new(mysql.classes.clone())),
    };
    let (handle, list) = core.start().map_err(Error::Core)?;
    let seed = |s: &Server| {
        let mut value = json!({"addr": s.addr, "group": s.group, "weight": s.weight, "state": "in_service"});
        if let Some(site) = &s.site {
            value["site"] = json!(site);
        }
        (store::control::server_key(&s.id), value.to_string())
    };
    let set_up = store::Settings {
        node: operator_store.node,
        peers: operator_store.peers,
        folder: operator_store.folder.map(Into::into),
        seeds: mysql.servers.iter().map(seed).collect(),
        ..store::Settings::default()
    };
    // With a registry the list is its alone.
    let listed = operator.registry.is_none().then(|| list.clone());
    let site = operator.mysql.site.clone();
    let store = store::start(set_up, move |state| {
        if let Some(list) = &listed {
            list.notify(members(state, site.as_deref()));
        }
    })?;
    let own_store = store.clone();
    let fleet = match &operator.fleet {
        None => None,
        Some(member) => Some(fleet(member, &store, &handle, &mysql.classes, clock, list.clone())?),
    };
    if let Some(at) = operator_store.clients {
        let failed = |source| Error::Listen { key: "store.clients", addr: at.to_string(), source };
        let listener = TcpListener::bind(at).map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        store::server::listen(listener, store.clone(), store::server::Limits::default())?;
        tracing::info!("store: answering clients on {at}");
    }
    if let Some(at) = operator_store.control {
        let failed = |source| Error::Listen { key: "store.control", addr: at.clone(), source };
        let listener = TcpListener::bind(&at).map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        store::control::listen(listener, store)
            .map_err(|source| Error::Thread { what: "store.control", source })?;
        tracing::info!("control: answering on {at}");
    }
    // The fleet comes before the first client, so that it finds a share and not the room of one that knows nobody.
    let members = match &operator.members {
        None => None,
        Some(table) => {
            let handle = handle.clone();
            Some(super::members::start(table, routers, move |n| handle.set_router_count(n))?)
        }
    };
    let listener = super::listen("mysql", &mysql.listen)?;
    let at = listener.local_addr().map_err(|source| Error::Listen {
        key: "listen",
        addr: mysql.listen.clone(),
        source,
    })?;
    let tap: Option<Arc<dyn mysql_wire::Tap>> = match record {
        None => None,
        Some(r) => Some(Arc::new(pcap::record::Recorder::start(r.file.as_ref(), r.capacity, at)?)),
    };
    let front =
        mysql_wire::front::Front::new(handle, mysql, limits.clone(), tap, sessions.clone(), fleet.clone());
    let follows = Arc::new(Follows {
        path: path.to_path_buf(),
        operator: operator.clone(),
        front: front.clone(),
        sessions: sessions.clone(),
        store: own_store,
        found: Mutex::default(),
    });
    let registry = match operator.registry.clone().zip(answered) {
        None => None,
        Some((settings, answered)) => {
            let client = Client::start(settings, &limits, clock, list, answered, follows.clone())?;
            let own = operator.sessions.as_ref().map(|s| (s.instance, s.listen));
            let of_store = &operator.store;
            let store = of_store.peers.get(&of_store.node).filter(|a| a.port() != 0);
            let store = store.map(|addr| (of_store.node, *addr));
            client.register(Router { addr: at, sessions: own, store, incarnation: clock.now().0 as u64 })?;
            Some(client)
        }
    };
    let (to, stop) = bounded(1);
    let end = move || _ = to.try_send(ServerCommand::Shutdown);
    signals::obey(signals, limits.module_stack_bytes, move || follows.reload(), end)?;
    if let Some(wire) = asks {
        let (listed, client) = (mysql_servers, registry.clone());
        let servers =
            move || client.as_ref().map_or_else(|| listed.clone(), |c| c.some_addresses(SERVERS_ASKED));
        mysql_wire::watch::start(wire, servers, &limits)
            .map_err(|source| Error::Thread { what: "clocks", source })?;
    }
    // A router that ends is off the registry while it still takes its last requests.
    let stop = match registry {
        None => stop,
        Some(client) => {
            let (to, ended) = bounded(1);
            let wait = move || {
                let told = stop.recv();
                // The front's grace has begun when the lease is given up; both take less than that.
                _ = told.map(|order| to.send(order));
                client.stop();
            };
            routing::spawn("leaving", limits.module_stack_bytes, wait)
                .map_err(|source| Error::Thread { what: "leaving", source })?;
            ended
        }
    };
    let ended = clients::ClientServer::new(front, limits).serve(ClientListener::Exclusive(listener), &stop);
    sessions.stop();
    // Nothing is admitted any more.
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    members.iter().for_each(super::members::leave);
    ended.map_err(Error::Front)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_of_the_routers_own_site_are_near_and_one_without_is_far() {
        let seed = |(id, site): (&str, &str)| {
            let text = format!(r#"{{"addr":"127.0.0.1:1","group":0,"weight":1{site},"state":"in_service"}}"#);
            (store::control::server_key(id), text)
        };
        let seeds = [("a", r#","site":"north""#), ("b", r#","site":"south""#), ("c", "")].map(seed).to_vec();
        let (to, states) = bounded(16);
        let peers = [(1, SocketAddr::from(([127, 0, 0, 1], 0)))].into();
        let settings = store::Settings { node: 1, peers, seeds, ..store::Settings::default() };
        let store = store::start(settings, move |state| _ = to.send(state.clone()));
        let store = store.unwrap_or_else(|e| panic!("no store: {e}"));
        let listed = states.iter().find(|s| s.with_prefix("server/").count() == 3);
        let state = listed.unwrap_or_default();
        let told = |own| {
            let of = |e: EndpointEntry| (e.site.as_deref().map(str::to_string), e.zone);
            members(&state, own).endpoints.into_iter().map(of).collect::<Vec<_>>()
        };
        let (north, south) = (Some("north".to_string()), Some("south".to_string()));
        assert_eq!(told(Some("north")), [(north.clone(), 0), (south.clone(), 1), (None, 1)]);
        assert_eq!(told(None), [(north, 0), (south, 0), (None, 0)]);
        drop(store);
    }
}
