//! Test fixture: the core with placement rules and a scripted protocol that counts the attempts and probes of
//! each endpoint and responds as the test specifies.
use crate::common::{self, Script, accepting_listener};
use crossbeam_channel::{Receiver, bounded};
use decision::{Class, Freshness, GroupId, Idempotency, MemberReport, Outcome, Settings, Time};
use placement::RulesUpdate;
use routing::{
    AttemptGuard, BackendProtocol, ClientRequest, Clock, Connection, ConnectionPermit, EndpointEntry,
    EndpointUpdate, EndpointsHandle, Exchange, ExchangeResult, FinalResponse, Handshake, NotSent,
    PlacementError, RouterBuilder, RouterHandle, ServerSocket,
};
use settings::Limits;
use settings::fleet::{Fleet, PlacementRule, Tenant};
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::routing::{TIMEOUT, addr};

pub(crate) const ANY: usize = 0;
pub(crate) const WRITE: usize = 1;
pub(crate) const LATEST: usize = 2;
pub(crate) const GROUP: GroupId = GroupId(0);
/// Default time for which an endpoint whose site has changed is excluded from the subsets of all sites.
pub(crate) const DEFAULT_HOLD_MICROS: i64 = 2_000_000;
pub(crate) const HOUR_MICROS: i64 = 3_600_000_000;

/// Steps that are paused at an endpoint.
#[derive(Default)]
pub(crate) struct Paused {
    pub(crate) connections: bool,
    pub(crate) attempts: bool,
    pub(crate) probes: bool,
}

#[derive(Default)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) primary: bool,
    /// Outcomes of the next attempts. Attempts after these are served.
    pub(crate) outcomes: VecDeque<Outcome>,
    pub(crate) paused: Paused,
    pub(crate) probes: usize,
    pub(crate) attempts: usize,
    /// Number of connections and exchanges that are paused.
    pub(crate) waiting: usize,
}

pub(crate) fn wait_while(
    script: &Script<ScriptedEndpoint>,
    addr: SocketAddr,
    paused: impl Fn(&ScriptedEndpoint) -> bool,
) {
    script.with(addr, |e| e.waiting += 1);
    script.wait_until(addr, |e| !paused(e));
    script.with(addr, |e| e.waiting -= 1);
}

#[derive(Clone)]
pub(crate) struct ScriptedProtocol {
    script: Arc<Script<ScriptedEndpoint>>,
    listener: Arc<TcpListener>,
}

pub(crate) struct ScriptedConnection {
    protocol: ScriptedProtocol,
    addr: SocketAddr,
    socket: ServerSocket,
}

impl BackendProtocol for ScriptedProtocol {
    /// Whether the request is a write.
    type Payload = bool;
    type Response = SocketAddr;
    type Connection = ScriptedConnection;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<ScriptedConnection, Outcome> {
        wait_while(&self.script, addr, |e| e.paused.connections);
        let connect_failure =
            self.script.with(addr, |e| e.outcomes.pop_front_if(|o| *o == Outcome::ConnectFailed));
        if connect_failure.is_some() {
            return Err(Outcome::ConnectFailed);
        }
        let listener = self.listener.local_addr().unwrap();
        let socket = Handshake::connect(permit, listener, &common::limits()).unwrap().finish().unwrap();
        Ok(ScriptedConnection { protocol: self.clone(), addr, socket })
    }
}

pub(crate) fn report(endpoint: &ScriptedEndpoint) -> MemberReport {
    MemberReport { primary: Some(endpoint.primary), position: Some(Time(1)) }
}

impl Connection<ScriptedProtocol> for ScriptedConnection {
    fn socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    fn is_usable(&mut self, _: Duration, _: ConnectionPermit) -> bool {
        // Each exchange opens a new connection, so that the script controls every connection.
        false
    }

    fn release(&mut self, _: ConnectionPermit) -> bool {
        true
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, ScriptedProtocol>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<SocketAddr>, NotSent> {
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
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
                // The write fails if the attempt was cancelled meanwhile, because its connection was shut
                // down.
                _ = self.socket.write_last(permit, &mut [IoSlice::new(b"request")]);
                wait_while(script, addr, |e| e.paused.attempts);
                let (outcome, response_report) = script.with(addr, |e| (e.outcomes.pop_front(), report(e)));
                let not_eligible =
                    (*write && response_report.primary == Some(false)).then_some(Outcome::NotEligible);
                Ok(match outcome.or(not_eligible) {
                    Some(outcome) => {
                        ExchangeResult { response_report, ..ExchangeResult::from_outcome(outcome) }
                    }
                    None => ExchangeResult { response_report, response: Some(addr), ..ok },
                })
            }
        }
    }
}

pub(crate) struct Core {
    pub(crate) script: Arc<Script<ScriptedEndpoint>>,
    pub(crate) handle: RouterHandle<ScriptedProtocol>,
    endpoints: EndpointsHandle,
    version: u64,
}

pub(crate) fn settings() -> Settings {
    let class = |freshness, idempotency| {
        let (latency_objective, deadline) = (10_000_000, 10_000_000);
        Class {
            freshness,
            idempotency,
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_weight_share: 1.0,
        }
    };
    let classes = vec![
        class(Freshness::Any, Idempotency::Idempotent),
        class(Freshness::Write, Idempotency::NotIdempotent),
        class(Freshness::Latest, Idempotency::Idempotent),
    ];
    let mysql = settings::operator::read(include_str!("../../../deploy/mysql.toml")).unwrap().settings;
    Settings { classes, min_event_interval: 1_000, ..mysql }
}

pub(crate) fn endpoint(id: &str, port: u16, site: &str) -> EndpointEntry {
    EndpointEntry { site: Some(site.into()), ..testkit::routing::endpoint(id, port, GROUP) }
}

/// Placement rule of a tenant.
#[derive(Clone, Copy)]
pub(crate) struct Rule<'a> {
    pub(crate) tenant: &'a str,
    sites: &'a [&'a str],
    strict: bool,
}

/// Creates a rule by which the tenant's data must not leave these sites.
pub(crate) fn strict<'a>(tenant: &'a str, sites: &'a [&'a str]) -> Rule<'a> {
    Rule { tenant, sites, strict: true }
}

/// Creates a rule by which the tenant's requests go to these sites if possible.
pub(crate) fn preferred<'a>(tenant: &'a str, sites: &'a [&'a str]) -> Rule<'a> {
    Rule { tenant, sites, strict: false }
}

fn fleet(rules: &[Rule<'_>]) -> Arc<Fleet> {
    let tenant = |rule: &Rule<'_>| {
        let sites = rule.sites.iter().map(ToString::to_string).collect();
        let tenant_rules = vec![PlacementRule { sites, strict: rule.strict, classes: None }];
        (rule.tenant.to_string(), Tenant { placement_rules: tenant_rules, ..Tenant::default() })
    };
    Arc::new(Fleet { tenants: rules.iter().map(tenant).collect(), ..Fleet::default() })
}

impl Core {
    /// Starts a core with placement enabled. An endpoint whose site has changed is excluded from all sites
    /// for `hold_micros`.
    pub(crate) fn start(hold_micros: i64) -> Core {
        let script = Arc::new(Script::default());
        let seconds = Duration::from_secs;
        let limits = Limits::new(
            ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
            RequestTimes {
                connect_timeout: Duration::from_millis(250),
                backend_keepalive: seconds(60),
                longest_deadline: seconds(10),
            },
        );
        let names = ["any", "write", "fresh"].map(String::from).to_vec();
        let (handle, endpoints) = RouterBuilder {
            protocol: ScriptedProtocol { script: script.clone(), listener: accepting_listener() },
            settings: settings(),
            seed: 7,
            limits: Arc::new(limits),
            clock: Clock::new(),
            responded: None,
            metrics: None,
            commit_sharing: None,
            placement: Some(placement::Settings {
                site_settle_time: hold_micros,
                ..placement::Settings::new(names)
            }),
        }
        .start()
        .unwrap();
        Core { script, handle, endpoints, version: 0 }
    }

    /// Starts a core with these endpoints, the first of which is the primary, and with rules that are
    /// confirmed for the duration of the test.
    pub(crate) fn with(endpoints: &[EndpointEntry], rules: &[Rule<'_>]) -> Core {
        let mut core = Core::start(DEFAULT_HOLD_MICROS);
        core.script.with(endpoints[0].addr, |e| e.primary = true);
        core.rules(rules);
        core.confirm();
        core.list(endpoints.to_vec());
        core
    }

    pub(crate) fn rules(&mut self, rules: &[Rule<'_>]) {
        self.version += 1;
        self.handle.update_placement(RulesUpdate::Received { version: self.version, fleet: fleet(rules) });
    }

    pub(crate) fn confirm(&self) {
        let until = Time(self.handle.clock.now().0 + HOUR_MICROS);
        self.handle.update_placement(RulesUpdate::Confirmed { until });
    }

    /// Sends a complete list and waits until it is applied. The endpoints actor applies it asynchronously, so
    /// an additional endpoint in a group without rules is used to detect this.
    pub(crate) fn list(&mut self, mut endpoints: Vec<EndpointEntry>) {
        self.version += 1;
        let site = format!("mark{}", self.version);
        let port = 60_000 + self.version as u16;
        endpoints.push(EndpointEntry { group: GroupId(9), ..endpoint(&site, port, &site) });
        self.endpoints.notify(EndpointUpdate { version: self.version, complete: true, endpoints });
        // No rule applies to this group, so the endpoint serves as soon as the list is applied.
        let started = Instant::now();
        while self.attempts(port) == 0 {
            assert!(started.elapsed() < TIMEOUT, "the endpoint list was not applied");
            self.submit_to(None, ANY, GroupId(9)).recv_timeout(TIMEOUT).unwrap();
        }
    }

    /// Returns the number of attempts that an endpoint has received.
    pub(crate) fn attempts(&self, port: u16) -> usize {
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
            connection: 1,
            class,
            tenant: tenant.map(Arc::from),
            session: None,
            group,
            deadline: Time(self.handle.clock.now().0 + 10_000_000),
            session_commit: None,
            may_run_partially: false,
            payload: class == WRITE,
            response_sender,
        });
        response
    }

    pub(crate) fn submit(&self, tenant: &str, class: usize) -> Receiver<FinalResponse<SocketAddr>> {
        self.submit_to(Some(tenant), class, GROUP)
    }

    pub(crate) fn request(&self, tenant: &str, class: usize) -> FinalResponse<SocketAddr> {
        self.submit(tenant, class).recv_timeout(TIMEOUT).unwrap()
    }

    /// Waits until the router actor has handled all earlier messages.
    pub(crate) fn barrier(&self) {
        let rejected = self.submit_to(None, ANY, GroupId(u32::MAX)).recv_timeout(TIMEOUT).unwrap();
        assert!(matches!(rejected, FinalResponse::PlacementDenied(PlacementError::Reserved { .. })));
    }

    pub(crate) fn served_by(&self, tenant: &str, class: usize) -> SocketAddr {
        match self.request(tenant, class) {
            FinalResponse::Served(addr, _) => addr,
            other => panic!("{tenant}: {other:?}"),
        }
    }

    pub(crate) fn denied(&self, tenant: &str, class: usize) -> PlacementError {
        match self.request(tenant, class) {
            FinalResponse::PlacementDenied(error) => error,
            other => panic!("{tenant}: {other:?}"),
        }
    }

    /// Sends requests until this endpoint serves one.
    pub(crate) fn request_until_served_by(&self, tenant: &str, port: u16, failure_message: &str) {
        let started = Instant::now();
        while self.served_by(tenant, ANY) != addr(port) {
            assert!(started.elapsed() < TIMEOUT, "{failure_message}");
        }
    }
}

/// Returns two endpoints in site a, the first of which is the primary, and two in site b.
pub(crate) fn four_endpoints() -> Vec<EndpointEntry> {
    vec![endpoint("a1", 1, "a"), endpoint("a2", 2, "a"), endpoint("b1", 3, "b"), endpoint("b2", 4, "b")]
}
