//! Tenants' data stays in its place, with the whole core on a scripted protocol: what each endpoint is asked is recorded,
//! and how it responds is set by the test.
mod common;

use common::{Script, TIMEOUT, accepting_listener, addr};
use crossbeam_channel::{Receiver, bounded};
use decision::{Class, Effect, Freshness, GroupId, MemberState, Outcome, Report, Settings, Time};
use placement::News;
use routing::{
    AttemptGuard, BackendProtocol, ClientRequest, Clock, Connection, Endpoint, EndpointUpdate,
    EndpointsHandle, Exchange, ExchangeResult, FinalResponse, NotSent, Refusal, RouterBuilder, RouterHandle,
};
use settings::Limits;
use settings::fleet::{Fleet, Place, Tenant};
use std::collections::{BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ANY: usize = 0;
const WRITE: usize = 1;
const LATEST: usize = 2;
const GROUP: GroupId = GroupId(0);
/// How long an endpoint whose site has changed is outside of every boundary, unless a test wants another time.
const DEFAULT_HOLD_MICROS: i64 = 2_000_000;
const HOUR_MICROS: i64 = 3_600_000_000;

/// What waits at an endpoint meanwhile.
#[derive(Default)]
struct Paused {
    connections: bool,
    attempts: bool,
    probes: bool,
}

#[derive(Default)]
struct ScriptedEndpoint {
    primary: bool,
    /// How its next attempts end; after that it serves.
    outcomes: VecDeque<Outcome>,
    paused: Paused,
    probes: usize,
    attempts: usize,
    /// Connections and exchanges that wait.
    waiting: usize,
}

fn wait_while(
    script: &Script<ScriptedEndpoint>,
    addr: SocketAddr,
    paused: impl Fn(&ScriptedEndpoint) -> bool,
) {
    script.with(addr, |e| e.waiting += 1);
    script.wait_until(addr, |e| !paused(e));
    script.with(addr, |e| e.waiting -= 1);
}

#[derive(Clone)]
struct ScriptedProtocol {
    script: Arc<Script<ScriptedEndpoint>>,
    listener: Arc<TcpListener>,
}

struct ScriptedConnection {
    protocol: ScriptedProtocol,
    addr: SocketAddr,
    socket: Arc<TcpStream>,
}

impl BackendProtocol for ScriptedProtocol {
    /// Whether it is a write.
    type Payload = bool;
    type Response = SocketAddr;
    type Connection = ScriptedConnection;

    fn connect(&self, addr: SocketAddr) -> Result<ScriptedConnection, Outcome> {
        wait_while(&self.script, addr, |e| e.paused.connections);
        let refused = self.script.with(addr, |e| e.outcomes.pop_front_if(|o| *o == Outcome::ConnectFailed));
        if refused.is_some() {
            return Err(Outcome::ConnectFailed);
        }
        let socket = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        Ok(ScriptedConnection { protocol: self.clone(), addr, socket: Arc::new(socket) })
    }
}

fn report(endpoint: &ScriptedEndpoint) -> Report {
    Report { primary: Some(endpoint.primary), position: Some(Time(1)) }
}

impl Connection<ScriptedProtocol> for ScriptedConnection {
    fn socket(&self) -> Arc<TcpStream> {
        self.socket.clone()
    }

    fn is_usable(&mut self, _: Duration) -> bool {
        // Each exchange opens a connection of its own, so that the script decides on each connection.
        false
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, ScriptedProtocol>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<SocketAddr>, NotSent> {
        if !guard.try_start() {
            return Err(NotSent::Cancelled);
        }
        let (script, addr) = (&self.protocol.script, self.addr);
        let ok = ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::Ok) };
        match exchange {
            Exchange::Probe => {
                script.with(addr, |e| e.probes += 1);
                wait_while(script, addr, |e| e.paused.probes);
                Ok(ExchangeResult { load_report: script.with(addr, |e| report(e)), ..ok })
            }
            Exchange::Attempt(write, _) => {
                script.with(addr, |e| e.attempts += 1);
                guard.mark_sent();
                wait_while(script, addr, |e| e.paused.attempts);
                let (outcome, response_report) = script.with(addr, |e| (e.outcomes.pop_front(), report(e)));
                let missed = (*write && response_report.primary == Some(false)).then_some(Outcome::Miss);
                Ok(match outcome.or(missed) {
                    Some(outcome) => {
                        ExchangeResult { response_report, ..ExchangeResult::from_outcome(outcome) }
                    }
                    None => ExchangeResult { response_report, response: Some(addr), ..ok },
                })
            }
        }
    }
}

struct Core {
    script: Arc<Script<ScriptedEndpoint>>,
    handle: RouterHandle<ScriptedProtocol>,
    endpoints: EndpointsHandle,
    version: u64,
}

fn settings() -> Settings {
    let class = |freshness, effect| {
        let (aim, deadline) = (10_000_000, 10_000_000);
        Class { freshness, effect, aim, deadline, worth: 1.0, late_worth: 1.0 }
    };
    let classes = vec![
        class(Freshness::Any, Effect::Safe),
        class(Freshness::Write, Effect::Unsafe),
        class(Freshness::Fresh, Effect::Safe),
    ];
    let mysql = settings::operator::read(include_str!("../../deploy/mysql.toml")).unwrap().settings;
    Settings { classes, round: 1_000, ..mysql }
}

fn endpoint(id: &str, port: u16, site: &str) -> Endpoint {
    Endpoint { site: Some(site.into()), ..common::endpoint(id, port, GROUP) }
}

fn rules(tenants: &[(&str, &[&str], bool)]) -> Arc<Fleet> {
    let tenant = |(name, sites, strict): &(&str, &[&str], bool)| {
        let sites = sites.iter().map(ToString::to_string).collect();
        let places = vec![Place { sites, strict: *strict, classes: None }];
        (name.to_string(), Tenant { places, ..Tenant::default() })
    };
    Arc::new(Fleet { tenants: tenants.iter().map(tenant).collect(), ..Fleet::default() })
}

impl Core {
    /// A core with placement rules, in which an endpoint whose site has changed is outside for this long.
    fn start(hold_micros: i64) -> Core {
        let script = Arc::new(Script::default());
        let seconds = Duration::from_secs;
        let limits = Limits::new(4096, 64 << 20, Duration::from_millis(250), seconds(60), seconds(10));
        let names = ["any", "write", "fresh"].map(String::from).to_vec();
        let (handle, endpoints) = RouterBuilder {
            protocol: ScriptedProtocol { script: script.clone(), listener: accepting_listener() },
            settings: settings(),
            seed: 7,
            limits: Arc::new(limits),
            clock: Clock::new(),
            responded: None,
            metrics: None,
            placement: Some(placement::Settings { hold: hold_micros, ..placement::Settings::new(names) }),
        }
        .start()
        .unwrap();
        Core { script, handle, endpoints, version: 0 }
    }

    /// With endpoints, of which the first is the primary, and rules that are confirmed for good.
    fn with(endpoints: &[Endpoint], tenants: &[(&str, &[&str], bool)]) -> Core {
        let mut core = Core::start(DEFAULT_HOLD_MICROS);
        core.script.with(endpoints[0].addr, |e| e.primary = true);
        core.rules(tenants);
        core.confirm();
        core.list(endpoints.to_vec());
        core
    }

    fn rules(&mut self, tenants: &[(&str, &[&str], bool)]) {
        self.version += 1;
        self.handle.update_placement(News::Rules { version: self.version, fleet: rules(tenants) });
    }

    fn confirm(&self) {
        let until = Time(self.handle.clock.now().0 + HOUR_MICROS);
        self.handle.update_placement(News::Confirmed { until });
    }

    /// Sends a complete list, and waits until it binds: the list has an actor of its own, so a last endpoint shows it.
    fn list(&mut self, mut endpoints: Vec<Endpoint>) {
        self.version += 1;
        let site = format!("mark{}", self.version);
        let port = 60_000 + self.version as u16;
        endpoints.push(Endpoint { group: GroupId(9), ..endpoint(&site, port, &site) });
        self.endpoints.notify(EndpointUpdate { version: self.version, complete: true, endpoints });
        // Nobody has a rule here: it is served as soon as the list has arrived.
        let started = Instant::now();
        while self.attempts(port) == 0 {
            assert!(started.elapsed() < TIMEOUT, "the list has not arrived");
            self.submit_to(None, ANY, GroupId(9)).recv_timeout(TIMEOUT).unwrap();
        }
    }

    /// How many attempts an endpoint has got.
    fn attempts(&self, port: u16) -> usize {
        self.script.with(addr(port), |e| e.attempts)
    }

    fn submit_to(
        &self,
        tenant: Option<&str>,
        class: usize,
        group: GroupId,
    ) -> Receiver<FinalResponse<SocketAddr>> {
        let (response_sender, response) = bounded(1);
        self.handle.submit(ClientRequest {
            class,
            tenant: tenant.map(Arc::from),
            session: None,
            group,
            deadline: Time(self.handle.clock.now().0 + 10_000_000),
            session_commit: None,
            payload: class == WRITE,
            response_sender,
        });
        response
    }

    fn submit(&self, tenant: &str, class: usize) -> Receiver<FinalResponse<SocketAddr>> {
        self.submit_to(Some(tenant), class, GROUP)
    }

    fn request(&self, tenant: &str, class: usize) -> FinalResponse<SocketAddr> {
        self.submit(tenant, class).recv_timeout(TIMEOUT).unwrap()
    }

    /// Everything that was sent to the router actor before has been handled.
    fn barrier(&self) {
        let rejected = self.submit_to(None, ANY, GroupId(u32::MAX)).recv_timeout(TIMEOUT).unwrap();
        assert!(matches!(rejected, FinalResponse::PlacementDenied(Refusal::Reserved { .. })));
    }

    fn served_by(&self, tenant: &str, class: usize) -> SocketAddr {
        match self.request(tenant, class) {
            FinalResponse::Served(addr, _) => addr,
            other => panic!("{tenant}: {other:?}"),
        }
    }

    fn denied(&self, tenant: &str, class: usize) -> Refusal {
        match self.request(tenant, class) {
            FinalResponse::PlacementDenied(refusal) => refusal,
            other => panic!("{tenant}: {other:?}"),
        }
    }

    /// Requests again and again until this endpoint serves.
    fn request_until_served_by(&self, tenant: &str, port: u16, otherwise: &str) {
        let started = Instant::now();
        while self.served_by(tenant, ANY) != addr(port) {
            assert!(started.elapsed() < TIMEOUT, "{otherwise}");
        }
    }
}

/// Two at site a, the first of them the primary, and two at site b.
fn four() -> Vec<Endpoint> {
    vec![endpoint("a1", 1, "a"), endpoint("a2", 2, "a"), endpoint("b1", 3, "b"), endpoint("b2", 4, "b")]
}

#[test]
fn retries_of_strict_tenant_stay_inside() {
    let core = Core::with(&four(), &[("t", &["a"], true)]);
    for (n, end) in
        [Outcome::Reset, Outcome::Error, Outcome::Full, Outcome::ConnectFailed].into_iter().enumerate()
    {
        // Whichever is asked first fails, and the request is retried at the other.
        core.script.with(addr(1), |e| e.outcomes = [end].into());
        core.script.with(addr(2), |e| e.outcomes = [end].into());
        for _ in 0..=n {
            let _ = core.request("t", ANY);
            let _ = core.request("t", WRITE);
        }
    }
    let inside = core.attempts(1) + core.attempts(2);
    assert!(inside > 20, "only {inside} attempts: nothing was retried");
    assert_eq!((core.attempts(3), core.attempts(4)), (0, 0));
}

#[test]
fn missing_rules_or_confirmation_deny_requests() {
    let mut core = Core::start(DEFAULT_HOLD_MICROS);
    assert_eq!(core.denied("t", ANY), Refusal::NoRules);
    core.script.with(addr(1), |e| e.primary = true);
    core.rules(&[("t", &["a"], true), ("p", &["a"], false)]);
    core.list(four());
    assert_eq!(core.denied("t", ANY), Refusal::Unconfirmed { version: 1 });
    core.served_by("p", ANY);
    core.confirm();
    core.served_by("t", WRITE);
}

#[test]
fn primary_outside_denies_writes_until_one_inside_is_found() {
    let core = Core::with(&four(), &[("t", &["a"], true)]);
    assert_eq!(core.served_by("t", WRITE), addr(1));
    core.script.with(addr(1), |e| e.primary = false);
    core.script.with(addr(3), |e| e.primary = true);
    // Only this tenant sends requests, and none of them may go outside: the primary is found all the same, by probes.
    let outside =
        Refusal::PrimaryOutside { group: GROUP, primary: "b1".into(), site: "b".into(), sites: "a".into() };
    assert_eq!(core.denied("t", WRITE), outside);
    let before = (core.attempts(1), core.attempts(2));
    assert_eq!(core.denied("t", WRITE), outside);
    assert_eq!(before, (core.attempts(1), core.attempts(2)), "denied at once");
    assert_eq!(core.attempts(3), 0);
    core.script.with(addr(3), |e| e.primary = false);
    core.script.with(addr(2), |e| e.primary = true);
    let started = Instant::now();
    let served = loop {
        match core.request("t", WRITE) {
            FinalResponse::Served(at, _) => break at,
            _ => assert!(started.elapsed() < TIMEOUT, "denied for good"),
        }
    };
    assert_eq!(served, addr(2));
}

#[test]
fn tightened_rule_stops_unstarted_and_further_attempts() {
    let members = [endpoint("a1", 1, "a"), endpoint("b1", 3, "b")];
    let both: &[&str] = &["a", "b"];
    // Through the group itself, and through a subset that lives on for another tenant.
    for before in [&[("u", both, true)][..], &[("u", both, true), ("t", both, true)][..]] {
        let mut core = Core::with(&members, before);
        // The replica is outside of the coming rule: reads go there.
        core.request_until_served_by("t", 3, "the replica is never asked");
        let before = core.attempts(3);
        core.script.with(addr(3), |e| e.paused.attempts = true);
        let running = core.submit("t", ANY);
        core.script.wait_until(addr(3), |e| e.attempts == before + 1);
        core.script.with(addr(3), |e| e.paused.connections = true);
        let unstarted = core.submit("t", ANY);
        // The second waits for its connection.
        core.script.wait_until(addr(3), |e| e.waiting == 2);
        core.rules(&[("t", &["a"], true), ("u", both, true)]);
        // The backends actor handles commands in order: this comes behind the new rule.
        assert_eq!(core.served_by("t", ANY), addr(1));
        core.script.with(addr(3), |e| {
            e.outcomes = [Outcome::Reset].into();
            e.paused = Paused::default();
        });
        let running = running.recv_timeout(TIMEOUT).unwrap();
        assert!(
            matches!(running, FinalResponse::Failed(Some(Outcome::Reset))),
            "it may have run: {running:?}"
        );
        let unstarted = unstarted.recv_timeout(TIMEOUT).unwrap();
        assert!(matches!(unstarted, FinalResponse::Rejected(None)), "it has not run: {unstarted:?}");
        assert_eq!(core.attempts(3), before + 1, "no further attempt goes outside");
        core.request_until_served_by("u", 3, "a tenant that may go there still does");
    }
}

#[test]
fn site_change_reroutes_attempt_waiting_for_connection() {
    let stays = endpoint("a1", 1, "a");
    let mut core = Core::with(&[stays.clone(), endpoint("m", 5, "a")], &[("t", &["a"], true)]);
    core.request_until_served_by("t", 5, "the replica is never asked");
    core.script.with(addr(5), |e| e.paused.connections = true);
    let waiting = core.submit("t", ANY);
    core.script.wait_until(addr(5), |e| e.waiting > 0);
    let before = core.attempts(5);
    core.list(vec![stays, endpoint("m", 5, "b")]);
    assert_eq!(core.served_by("t", ANY), addr(1));
    core.script.with(addr(5), |e| e.paused.connections = false);
    let response = waiting.recv_timeout(TIMEOUT).unwrap();
    assert!(matches!(response, FinalResponse::Served(at, _) if at == addr(1)), "{response:?}");
    assert_eq!(core.attempts(5), before);
}

#[test]
fn new_rule_reroutes_waiting_request() {
    let mut core = Core::with(&four(), &[]);
    core.script.with(addr(1), |e| e.paused.probes = true);
    core.script.with(addr(1), |e| e.primary = false);
    core.script.with(addr(3), |e| (e.primary, e.paused.probes) = (true, true));
    // The primary is not known yet, and the probes that search for it wait.
    let waiting = core.submit("t", LATEST);
    core.script.wait_until(addr(3), |e| e.probes == 1 && e.waiting == 1);
    core.rules(&[("t", &["a"], true)]);
    core.barrier();
    core.script.with(addr(3), |e| e.paused.probes = false);
    let response = waiting.recv_timeout(TIMEOUT).unwrap();
    assert!(
        matches!(response, FinalResponse::PlacementDenied(Refusal::PrimaryOutside { .. })),
        "{response:?}"
    );
    assert_eq!(core.attempts(3), 0);
}

#[test]
fn endpoint_returning_in_another_site_serves_only_that_site_after_hold() {
    let mut core = Core::start(300_000);
    core.rules(&[("a", &["a"], true), ("b", &["b"], true)]);
    core.confirm();
    let stays = [endpoint("a1", 1, "a"), endpoint("b1", 3, "b")];
    core.list([&stays[..], &[endpoint("m", 5, "a")]].concat());
    let mut started = Instant::now();
    while core.attempts(5) == 0 {
        assert!(started.elapsed() < TIMEOUT, "it is a member of a");
        core.served_by("a", ANY);
    }
    core.list(stays.to_vec());
    core.list([&stays[..], &[endpoint("m", 6, "b")]].concat());
    started = Instant::now();
    let old = core.attempts(5);
    while core.attempts(6) == 0 {
        assert!(started.elapsed() < TIMEOUT, "it is a member of b");
        assert_eq!(core.served_by("a", ANY), addr(1));
        core.served_by("b", ANY);
    }
    assert!(started.elapsed() >= Duration::from_millis(150), "it is held first");
    assert_eq!(core.attempts(5), old);
}

#[test]
fn preferred_tenant_spills_over_and_returns() {
    let mut core = Core::with(&four(), &[("p", &["b"], false)]);
    let inside = [addr(3), addr(4)];
    // The primary may take reads until the roles of the others are known.
    let started = Instant::now();
    while !inside.contains(&core.served_by("p", ANY)) {
        assert!(started.elapsed() < TIMEOUT, "nobody inside is asked");
    }
    assert!((0..20).all(|_| inside.contains(&core.served_by("p", ANY))));
    // Its writes go to the primary wherever that is.
    assert_eq!(core.served_by("p", WRITE), addr(1));
    let drained = |e: Endpoint| Endpoint { state: MemberState::Draining, ..e };
    let [a1, a2, b1, b2] = <[Endpoint; 4]>::try_from(four()).unwrap();
    core.list(vec![a1, a2, drained(b1), drained(b2)]);
    assert!((0..20).all(|_| !inside.contains(&core.served_by("p", ANY))));
    core.list(four());
    let back: Vec<SocketAddr> = (0..20).map(|_| core.served_by("p", ANY)).collect();
    assert!(back.iter().all(|at| inside.contains(at)), "{back:?}");
    let mut served_by = BTreeSet::new();
    let started = Instant::now();
    while served_by.len() < 3 {
        assert!(started.elapsed() < TIMEOUT, "no rule binds it: {served_by:?}");
        served_by.insert(core.served_by("nobody", ANY));
    }
}

#[test]
fn one_probe_serves_all_subsets() {
    let tenants: Vec<(String, Vec<String>)> =
        (0..8).map(|n| (format!("t{n}"), vec!["a".into(), "b".into(), format!("c{n}")])).collect();
    let sites: Vec<Vec<&str>> = tenants.iter().map(|(_, s)| s.iter().map(String::as_str).collect()).collect();
    let listed: Vec<(&str, &[&str], bool)> =
        tenants.iter().zip(&sites).map(|((n, _), s)| (n.as_str(), s.as_slice(), true)).collect();
    let core = Core::with(&four(), &listed);
    (1..=4).for_each(|n| core.script.with(addr(n), |e| e.paused.probes = true));
    let waiting: Vec<_> = listed.iter().map(|(t, ..)| core.submit(t, LATEST)).collect();
    core.barrier();
    (1..=4).for_each(|n| core.script.wait_until(addr(n), |e| e.probes > 0));
    (1..=4).for_each(|n| core.script.with(addr(n), |e| e.paused.probes = false));
    for answer in waiting {
        let response = answer.recv_timeout(TIMEOUT).unwrap();
        assert!(matches!(response, FinalResponse::Served(at, _) if at == addr(1)), "{response:?}");
    }
    let probes: Vec<usize> = (1..=4).map(|n| core.script.with(addr(n), |e| e.probes)).collect();
    assert!(probes.iter().all(|n| *n <= 2), "eight subsets probed {probes:?} times");
}
