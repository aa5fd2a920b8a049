//! A key-value registry in memory, with one or more members, that speaks etcd's JSON gateway and Consul's HTTP
//! interface, written from their published descriptions. Faults are set for each member.
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rustls::{ServerConfig, ServerConnection, StreamOwned};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A key's value.
#[derive(Clone, Debug)]
struct Held {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    lease: Option<u64>,
}

/// One change: at this revision a key got this value, or none.
#[derive(Clone, Debug)]
struct Step {
    revision: u64,
    key: String,
    held: Option<Held>,
}

/// What a registry holds; a copy of it is a backup.
#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    held: BTreeMap<String, Held>,
    history: Vec<Step>,
    compacted: u64,
}

/// How a member behaves.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Connections are closed at once.
    pub down: bool,
    /// Nothing is answered any more, and connections stay open.
    pub unresponsive: bool,
    /// Watches bring nothing, reads are answered.
    pub stalled_watches: bool,
    /// Reads are answered from this revision, as a member does that lags.
    pub stale_at_revision: Option<u64>,
    /// It says that it belongs to this cluster.
    pub cluster_id: Option<u64>,
    /// The next watch line is cut in the middle, and its connection closed.
    pub truncate_next_event: bool,
    /// Each change is brought twice.
    pub duplicated_events: bool,
    /// Changes that wait together are brought in the wrong order.
    pub reversed_events: bool,
    /// It knows no leader: reads are refused, and watches bring nothing.
    pub leaderless: bool,
    /// Each answer takes this long.
    pub response_delay: Duration,
    /// The history is forgotten behind the first page of the next read.
    pub compact_after_first_page: bool,
}

struct Member {
    addr: SocketAddr,
    faults: Faults,
    open: Vec<TcpStream>,
    watches: usize,
}

#[derive(Default)]
struct State {
    contents: Contents,
    members: Vec<Member>,
    /// When each lease ends, and how long it lasts.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    user: Option<(String, String)>,
    tokens: u64,
    services: Vec<(String, Value)>,
    services_at: u64,
    reads: usize,
}

/// The registry.
#[derive(Clone)]
pub struct Registry {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    tls: Arc<Mutex<Option<Arc<ServerConfig>>>>,
}

trait Duplex: Read + Write + Send {
    fn socket(&self) -> &TcpStream;
}

impl Duplex for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

impl Duplex for StreamOwned<ServerConnection, TcpStream> {
    fn socket(&self) -> &TcpStream {
        &self.sock
    }
}

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    token: Option<String>,
    body: Vec<u8>,
}

const CLUSTER: u64 = 14_841_639_068_965_178_418;

impl Registry {
    /// Starts this many members, with TLS where it is given.
    pub fn start(members: usize, tls: Option<Arc<ServerConfig>>) -> Registry {
        let tls = Arc::new(Mutex::new(tls));
        let registry = Registry { state: Arc::default(), changed: Arc::default(), tls };
        registry.state().contents.revision = 1;
        for index in 0..members {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
            let addr = listener.local_addr().expect("its address");
            registry.state().members.push(Member {
                addr,
                faults: Faults::default(),
                open: vec![],
                watches: 0,
            });
            let own = registry.clone();
            std::thread::spawn(move || {
                for socket in listener.incoming().map_while(Result::ok) {
                    let own = own.clone();
                    std::thread::spawn(move || _ = own.serve(index, socket));
                }
            });
        }
        let own = registry.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                own.expire();
            }
        });
        registry
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Members' addresses.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.state().members.iter().map(|m| m.addr).collect()
    }

    /// Changes how a member behaves; what waits looks again.
    pub fn update_faults(&self, member: usize, how: impl FnOnce(&mut Faults)) {
        how(&mut self.state().members[member].faults);
        self.changed.notify_all();
    }

    /// Takes other certificates for connections from now on.
    pub fn set_tls(&self, tls: Arc<ServerConfig>) {
        *self.tls.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(tls);
    }

    /// Breaks every connection to a member.
    pub fn break_connections(&self, member: usize) {
        let open = std::mem::take(&mut self.state().members[member].open);
        open.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
        self.changed.notify_all();
    }

    /// How many watches a member has taken so far.
    pub fn watch_count(&self, member: usize) -> usize {
        self.state().members[member].watches
    }

    /// Reads answered so far, by all members.
    pub fn read_count(&self) -> usize {
        self.state().reads
    }

    /// Wants a user and a password from now on; tokens given before are worth nothing.
    pub fn require_user(&self, name: &str, password: &str) {
        let mut state = self.state();
        state.user = Some((name.into(), password.into()));
        state.tokens += 1;
    }

    /// Sets a key; its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.state().contents.put(key, value.as_bytes().to_vec(), None);
        self.changed.notify_all();
        revision
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) -> u64 {
        let revision = self.state().contents.delete(key);
        self.changed.notify_all();
        revision
    }

    /// Several changes that no watch sees apart.
    pub fn apply_together(&self, changes: impl FnOnce(&mut Contents)) {
        changes(&mut self.state().contents);
        self.changed.notify_all();
    }

    /// Forgets the history up to now.
    pub fn compact(&self) {
        let c = &mut self.state().contents;
        c.compacted = c.revision;
        c.history.clear();
    }

    /// A copy of what is held.
    pub fn backup(&self) -> Contents {
        self.state().contents.clone()
    }

    /// Puts a copy in place of what is held.
    pub fn restore(&self, contents: Contents) {
        self.state().contents = contents;
        self.changed.notify_all();
    }

    /// Keys and values as they are now.
    pub fn entries(&self) -> BTreeMap<String, String> {
        let text = |h: &Held| String::from_utf8_lossy(&h.value).into_owned();
        self.state().contents.held.iter().map(|(k, h)| (k.clone(), text(h))).collect()
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.state().contents.revision
    }

    /// Sets a service's instances, as Consul's health endpoint gives them.
    pub fn set_service(&self, name: &str, instances: Value) {
        let mut state = self.state();
        state.contents.revision += 1;
        state.services_at = state.contents.revision;
        state.services.retain(|(n, _)| n != name);
        state.services.push((name.into(), instances));
        self.changed.notify_all();
    }

    /// Ends every lease at once.
    pub fn expire_leases(&self) {
        let ended: Vec<u64> = self.state().leases.keys().copied().collect();
        self.end(&ended);
    }

    fn expire(&self) {
        let over: Vec<u64> =
            self.state().leases.iter().filter(|(_, l)| l.0 <= Instant::now()).map(|(id, _)| *id).collect();
        if !over.is_empty() {
            self.end(&over);
        }
    }

    fn end(&self, leases: &[u64]) {
        let mut state = self.state();
        state.leases.retain(|id, _| !leases.contains(id));
        let of = |h: &Held| h.lease.is_some_and(|l| leases.contains(&l));
        let keys: Vec<String> =
            state.contents.held.iter().filter(|(_, h)| of(h)).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| _ = state.contents.delete(k));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, member: usize, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        {
            let mut state = self.state();
            if state.members[member].faults.down {
                return socket.shutdown(Shutdown::Both);
            }
            state.members[member].open.push(socket.try_clone()?);
        }
        let tls = self.tls.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
        let stream: Box<dyn Duplex> = match tls {
            None => Box::new(socket),
            Some(config) => {
                let connection = ServerConnection::new(config).map_err(io::Error::other)?;
                Box::new(StreamOwned::new(connection, socket))
            }
        };
        let mut stream = BufReader::new(stream);
        while let Some(request) = read(&mut stream)? {
            if self.awake(member).is_none() {
                break;
            }
            if request.path == "/v3/watch" {
                return self.watch(member, &request, stream.get_mut());
            }
            let slow = self.state().members[member].faults.response_delay;
            std::thread::sleep(slow);
            let (code, headers, body) = self.answer(member, &request);
            // It may have fallen silent over the answer.
            if self.awake(member).is_none() {
                break;
            }
            let head = format!(
                "HTTP/1.1 {code} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
                body.len()
            );
            stream.get_mut().write_all(&[head.as_bytes(), &body].concat())?;
            stream.get_mut().flush()?;
        }
        stream.get_ref().socket().shutdown(Shutdown::Both)
    }

    /// Waits while a member is silent; `None` when it is down.
    fn awake(&self, member: usize) -> Option<MutexGuard<'_, State>> {
        let silent = |s: &mut State| s.members[member].faults.unresponsive && !s.members[member].faults.down;
        let state = self.changed.wait_while(self.state(), silent).unwrap_or_else(|p| p.into_inner());
        (!state.members[member].faults.down).then_some(state)
    }

    fn answer(&self, member: usize, r: &Request) -> (u16, String, Vec<u8>) {
        if r.path.starts_with("/v1/") {
            return self.consul(member, r);
        }
        let asked: Value = serde_json::from_slice(&r.body).unwrap_or_default();
        let mut state = self.state();
        if let Some((name, password)) = state.user.clone() {
            if r.path == "/v3/auth/authenticate" {
                if asked["name"] != *name || asked["password"] != *password {
                    return (
                        400,
                        String::new(),
                        refusal("authentication failed, invalid user ID or password", 3),
                    );
                }
                let token = format!("token.{}", state.tokens);
                return (200, String::new(), json!({"header": {}, "token": token}).to_string().into_bytes());
            }
            if r.token != Some(format!("token.{}", state.tokens)) {
                return (401, String::new(), refusal("etcdserver: invalid auth token", 16));
            }
        }
        let faults = state.members[member].faults.clone();
        if faults.leaderless {
            return (503, String::new(), refusal("etcdserver: no leader", 14));
        }
        let revision = faults.stale_at_revision.unwrap_or(state.contents.revision);
        let header = json!({"cluster_id": faults.cluster_id.unwrap_or(CLUSTER).to_string(),
            "member_id": (member + 1).to_string(), "revision": revision.to_string(), "raft_term": "2"});
        let answer = match r.path.as_str() {
            "/v3/kv/range" => {
                state.reads += 1;
                let answer = state.contents.range(&asked, revision);
                let paged = answer.as_ref().is_ok_and(|v| v["more"] == true);
                if paged && std::mem::take(&mut state.members[member].faults.compact_after_first_page) {
                    // Someone writes, and someone compacts, before the next page is asked for.
                    state.contents.put("/elsewhere", vec![], None);
                    state.contents.compacted = state.contents.revision;
                    state.contents.history.clear();
                }
                answer
            }
            "/v3/kv/put" => {
                let lease = number(&asked, "lease");
                let lease = (lease > 0).then_some(lease);
                if lease.is_some_and(|l| !state.leases.contains_key(&l)) {
                    return (404, String::new(), refusal("etcdserver: requested lease not found", 5));
                }
                let revision = state.contents.put(&decoded(&asked["key"]), bytes(&asked["value"]), lease);
                Ok(json!({"header": {"revision": revision.to_string()}}))
            }
            "/v3/kv/deleterange" => Ok(json!({"revision": state.contents.delete(&decoded(&asked["key"]))})),
            "/v3/kv/txn" => {
                let c = &asked["compare"][0];
                let held = state.contents.held.get(&decoded(&c["key"])).map_or(0, |h| h.modified);
                let holds = held == number(c, "mod_revision");
                if holds {
                    let put = &asked["success"][0]["request_put"];
                    state.contents.put(&decoded(&put["key"]), bytes(&put["value"]), None);
                }
                Ok(if holds { json!({"succeeded": true}) } else { json!({}) })
            }
            "/v3/lease/grant" => {
                let ttl = number(&asked, "TTL");
                let id = state.lease(Duration::from_secs(ttl));
                Ok(json!({"ID": id.to_string(), "TTL": ttl.to_string()}))
            }
            "/v3/lease/keepalive" => {
                let id = number(&asked, "ID");
                let kept = state.keep(id);
                // One that is lost is told by a time to live that is left out, as zeros are.
                Ok(json!({"result": match kept {
                    Some(ttl) => json!({"ID": id.to_string(), "TTL": ttl.as_secs().to_string()}),
                    None => json!({"ID": id.to_string()}),
                }}))
            }
            "/v3/lease/revoke" => {
                drop(state);
                self.end(&[number(&asked, "ID")]);
                return (200, String::new(), b"{}".to_vec());
            }
            _ => return (404, String::new(), b"{}".to_vec()),
        };
        drop(state);
        self.changed.notify_all();
        match answer {
            Ok(mut v) => {
                if v["header"].is_null() {
                    v["header"] = header;
                }
                (200, String::new(), v.to_string().into_bytes())
            }
            Err(text) => (400, String::new(), refusal(text, 11)),
        }
    }

    fn watch(&self, member: usize, r: &Request, to: &mut Box<dyn Duplex>) -> io::Result<()> {
        let asked: Value = serde_json::from_slice(&r.body).unwrap_or_default();
        let create = &asked["create_request"];
        let (prefix, mut next) = (decoded(&create["key"]), number(create, "start_revision"));
        to.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let line = |to: &mut Box<dyn Duplex>, v: Value| {
            let text = v.to_string();
            to.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())?;
            to.flush()
        };
        {
            let mut state = self.state();
            state.members[member].watches += 1;
            self.changed.notify_all();
        }
        line(to, json!({"result": {"header": {}, "created": true}}))?;
        loop {
            let (steps, faults, revision) = {
                let waits = |s: &mut State| {
                    let f = &s.members[member].faults;
                    let quiet =
                        s.contents.compacted < next && !s.contents.history.iter().any(|h| h.revision >= next);
                    !f.down && (f.unresponsive || f.stalled_watches || f.leaderless || quiet)
                };
                let mut state =
                    self.changed.wait_while(self.state(), waits).unwrap_or_else(|p| p.into_inner());
                if state.members[member].faults.down {
                    return to.socket().shutdown(Shutdown::Both);
                }
                if state.contents.compacted >= next {
                    let compacted = state.contents.compacted;
                    drop(state);
                    line(
                        to,
                        json!({"result": {"header": {}, "canceled": true,
                        "compact_revision": compacted.to_string()}}),
                    )?;
                    return to.socket().shutdown(Shutdown::Both);
                }
                let steps: Vec<Step> =
                    state.contents.history.iter().filter(|s| s.revision >= next).cloned().collect();
                let faults = state.members[member].faults.clone();
                state.members[member].faults.truncate_next_event = false;
                (steps, faults, state.contents.revision)
            };
            next = revision + 1;
            let mut steps: Vec<Step> = steps.into_iter().filter(|s| s.key.starts_with(&prefix)).collect();
            if steps.is_empty() {
                continue;
            }
            if faults.reversed_events {
                steps.reverse();
            }
            if faults.duplicated_events {
                steps.extend(steps.clone());
            }
            let event = |s: &Step| match &s.held {
                Some(h) => json!({"kv": shown(&s.key, h)}),
                None => json!({"type": "DELETE", "kv": {"key": STANDARD.encode(&s.key),
                    "mod_revision": s.revision.to_string()}}),
            };
            let events: Vec<Value> = steps.iter().map(event).collect();
            let v = json!({"result": {"header": {"revision": revision.to_string()}, "events": events}});
            if faults.truncate_next_event {
                let text = v.to_string();
                to.write_all(format!("{:x}\r\n{}", text.len() + 1, &text[..text.len() / 2]).as_bytes())?;
                to.flush()?;
                return to.socket().shutdown(Shutdown::Both);
            }
            line(to, v)?;
        }
    }

    fn consul(&self, member: usize, r: &Request) -> (u16, String, Vec<u8>) {
        let plain = |code: u16, body: String| (code, String::new(), body.into_bytes());
        let rest = r.path.trim_start_matches("/v1/");
        let asked: Value = serde_json::from_slice(&r.body).unwrap_or_default();
        if let Some(key) = rest.strip_prefix("kv/") {
            let key = format!("/{key}");
            if r.method == "GET" {
                self.state().reads += 1;
                return self.blocking(member, r, |state| {
                    let items = state.contents.held.iter().filter(|(k, _)| k.starts_with(&key));
                    let list: Vec<Value> = items
                        .map(|(k, h)| {
                            json!({"Key": &k[1..], "Value": STANDARD.encode(&h.value), "Flags": 0,
                            "CreateIndex": h.created, "ModifyIndex": h.modified})
                        })
                        .collect();
                    (state.contents.revision, list)
                });
            }
            let mut state = self.state();
            let session = r.query.get("acquire").and_then(|s| s.parse::<u64>().ok());
            let held = state.contents.held.get(&key).cloned();
            let free = match (&session, r.query.get("cas").and_then(|c| c.parse::<u64>().ok())) {
                (Some(s), _) if !state.leases.contains_key(s) => return plain(500, "invalid session".into()),
                (Some(s), _) => held.as_ref().is_none_or(|h| h.lease.is_none_or(|l| l == *s)),
                (None, Some(at)) => held.as_ref().map_or(0, |h| h.modified) == at,
                (None, None) => true,
            };
            if free && r.method == "DELETE" {
                state.contents.delete(&key);
            } else if free {
                state.contents.put(&key, r.body.clone(), session);
            }
            drop(state);
            self.changed.notify_all();
            return plain(200, free.to_string());
        }
        if let Some(service) = rest.strip_prefix("health/service/") {
            return self.blocking(member, r, |state| {
                let list = state.services.iter().find(|(n, _)| n == service).map(|(_, v)| v.clone());
                (state.services_at.max(1), list.and_then(|v| v.as_array().cloned()).unwrap_or_default())
            });
        }
        let mut state = self.state();
        match rest.split_once('/') {
            Some(("session", "create")) => {
                let ttl =
                    asked["TTL"].as_str().and_then(|t| t.trim_end_matches('s').parse().ok()).unwrap_or(10);
                let id = state.lease(Duration::from_secs(ttl));
                plain(200, json!({"ID": id.to_string()}).to_string())
            }
            Some(("session", other)) => match other.split_once('/') {
                Some(("renew", id)) => match state.keep(id.parse().unwrap_or(0)) {
                    Some(_) => plain(200, "[{}]".into()),
                    None => plain(404, "no such session".into()),
                },
                Some(("destroy", id)) => {
                    drop(state);
                    self.end(&[id.parse().unwrap_or(0)]);
                    plain(200, "true".into())
                }
                _ => plain(404, String::new()),
            },
            _ => plain(404, String::new()),
        }
    }

    fn blocking(
        &self,
        member: usize,
        r: &Request,
        list: impl Fn(&State) -> (u64, Vec<Value>),
    ) -> (u16, String, Vec<u8>) {
        let index: u64 = r.query.get("index").and_then(|i| i.parse().ok()).unwrap_or(0);
        let ms = r.query.get("wait").and_then(|w| w.trim_end_matches("ms").parse().ok()).unwrap_or(0);
        let waits = |s: &mut State| {
            let f = &s.members[member].faults;
            // An index ahead of the registry's returns at once, with the lower one.
            index > 0 && list(s).0 == index && !f.down
        };
        let state = self.state();
        let waited = self.changed.wait_timeout_while(state, Duration::from_millis(ms), waits);
        let (state, _) = waited.unwrap_or_else(|p| p.into_inner());
        let (mut at, items) = list(&state);
        at = state.members[member].faults.stale_at_revision.unwrap_or(at);
        let leads = !state.members[member].faults.leaderless;
        let headers =
            format!("X-Consul-Index: {at}\r\nX-Consul-KnownLeader: {leads}\r\nX-Consul-LastContact: 0\r\n");
        let code = if items.is_empty() && r.path.starts_with("/v1/kv") { 404 } else { 200 };
        (code, headers, Value::Array(items).to_string().into_bytes())
    }
}

impl State {
    fn lease(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        let id = 7_000_000_000_000_000_000 + self.next_lease;
        self.leases.insert(id, (Instant::now() + ttl, ttl));
        id
    }

    fn keep(&mut self, id: u64) -> Option<Duration> {
        let (until, ttl) = self.leases.get_mut(&id).filter(|l| l.0 > Instant::now())?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }
}

impl Contents {
    /// Sets a key.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let created = self.held.get(key).map_or(self.revision, |h| h.created);
        let held = Held { value, created, modified: self.revision, lease };
        self.held.insert(key.into(), held.clone());
        self.history.push(Step { revision: self.revision, key: key.into(), held: Some(held) });
        self.revision
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str) -> u64 {
        if self.held.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Step { revision: self.revision, key: key.into(), held: None });
        }
        self.revision
    }

    fn range(&self, asked: &Value, revision: u64) -> Result<Value, &'static str> {
        let at = number(asked, "revision");
        if at > 0 && at < self.compacted {
            return Err("etcdserver: mvcc: required revision has been compacted");
        }
        let (from, end) = (bytes(&asked["key"]), bytes(&asked["range_end"]));
        let inside = |k: &str| {
            let k = k.as_bytes();
            if end.is_empty() { k == from } else { k >= &from[..] && (k < &end[..] || end == [0]) }
        };
        // As of the revision asked for, as far as the history goes back.
        let at = if at > 0 { at } else { revision };
        let mut held = self.held.clone();
        if at < self.revision {
            for step in self.history.iter().rev().filter(|s| s.revision > at) {
                let earlier = self.history.iter().rev().find(|s| s.key == step.key && s.revision <= at);
                match earlier.and_then(|s| s.held.clone()) {
                    Some(h) => _ = held.insert(step.key.clone(), h),
                    None => _ = held.remove(&step.key),
                }
            }
        }
        let newer = number(asked, "min_mod_revision");
        let matching: Vec<(&String, &Held)> =
            held.iter().filter(|(k, h)| inside(k) && h.modified >= newer).collect();
        let count = matching.len();
        if asked["count_only"] == true {
            return Ok(json!({"count": count.to_string()}));
        }
        let limit = match number(asked, "limit") {
            0 => usize::MAX,
            n => n as usize,
        };
        let kvs: Vec<Value> = matching.iter().take(limit).map(|(k, h)| shown(k, h)).collect();
        Ok(json!({"kvs": kvs, "count": count.to_string(), "more": count > limit}))
    }
}

fn shown(key: &str, h: &Held) -> Value {
    json!({"key": STANDARD.encode(key), "value": STANDARD.encode(&h.value), "version": "1",
        "create_revision": h.created.to_string(), "mod_revision": h.modified.to_string()})
}

fn refusal(text: &str, code: u32) -> Vec<u8> {
    json!({"error": text, "code": code, "message": text}).to_string().into_bytes()
}

fn number(v: &Value, name: &str) -> u64 {
    v[name].as_u64().or_else(|| v[name].as_str().and_then(|s| s.parse().ok())).unwrap_or(0)
}

fn bytes(v: &Value) -> Vec<u8> {
    STANDARD.decode(v.as_str().unwrap_or("")).unwrap_or_default()
}

fn decoded(v: &Value) -> String {
    String::from_utf8_lossy(&bytes(v)).into_owned()
}

fn read(from: &mut BufReader<Box<dyn Duplex>>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
    let (mut length, mut token) = (0, None);
    loop {
        let mut header = String::new();
        from.read_line(&mut header)?;
        let Some((name, value)) = header.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "authorization" | "x-consul-token" => token = Some(value.trim().to_string()),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |p: &str| {
        let (n, v) = p.split_once('=').unwrap_or((p, ""));
        (n.to_string(), v.to_string())
    };
    let query = query.split('&').map(pair).collect();
    Ok(Some(Request { method, path: path.to_string(), query, token, body }))
}
