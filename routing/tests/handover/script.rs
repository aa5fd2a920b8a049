//! Test fixture: the core with a scripted protocol that can be paused at connect, write, response or close.
use crate::common::{self, Script, accepting_listener};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::{
    Class, Freshness, GroupId, Idempotency, MemberReport, MemberState, Outcome, RequestId, Settings, Time,
};
use routing::{
    AttemptGuard, BackendProtocol, ClientRequest, Clock, Connection, ConnectionPermit, EndpointEntry,
    EndpointUpdate, EndpointsHandle, Exchange, ExchangeResult, FinalResponse, Handshake, Metrics, NotSent,
    RouterBuilder, RouterHandle, ServerSocket,
};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::IoSlice;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use testkit::routing::TIMEOUT;

/// Index of the class whose requests may be retried without restriction.
pub(crate) const IDEMPOTENT: usize = 0;
/// Index of the class whose requests may be retried within [`WINDOW`].
pub(crate) const DEDUPLICATED: usize = 1;
/// Index of the class with a deadline of 1 s.
pub(crate) const SHORT: usize = 2;
/// Deduplication window of the class [`DEDUPLICATED`].
pub(crate) const WINDOW: Duration = Duration::from_millis(600);

/// Points at which a connection can be paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pause {
    /// Before the connection is opened.
    Connect,
    /// Before an attempt requests its write permit.
    Start,
    /// After the write permit is issued, before the last byte is written.
    Write,
    /// After the last byte is written, before the response.
    Response,
    /// While the connection is being closed.
    Close,
}

#[derive(Default)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) paused: BTreeSet<Pause>,
    pub(crate) waiting: BTreeMap<Pause, usize>,
    /// Whether the endpoint closes idle connections.
    pub(crate) closes_idle: bool,
    /// Whether connecting to the endpoint fails.
    pub(crate) unreachable: bool,
    /// Number of writes that will fail before their last byte.
    pub(crate) write_failures: usize,
    /// Number of attempts that will panic in the protocol.
    pub(crate) panics: usize,
    /// Outcomes of the next completely written attempts. Attempts after these are served.
    pub(crate) outcomes: VecDeque<Outcome>,
    /// Idle time of the connection that was last checked for reuse.
    pub(crate) idle_for: Duration,
    pub(crate) connects: usize,
    pub(crate) probes: usize,
    /// Number of attempts that were denied a write permit.
    pub(crate) cancelled: usize,
    /// Number of attempts that were completely written.
    pub(crate) written: usize,
}

impl ScriptedEndpoint {
    fn waiting_at(&self, pause: Pause) -> usize {
        self.waiting.get(&pause).copied().unwrap_or(0)
    }
}

fn decrement_if_positive(remaining: &mut usize) -> bool {
    let is_positive = *remaining > 0;
    *remaining -= usize::from(is_positive);
    is_positive
}

pub(crate) trait PauseControl {
    fn wait_while_paused(&self, addr: SocketAddr, pause: Pause);
    fn pause(&self, addr: SocketAddr, pause: Pause);
    fn resume(&self, addr: SocketAddr, pause: Pause);
    fn wait_for(&self, addr: SocketAddr, pause: Pause, count: usize);
    fn written(&self, addr: SocketAddr) -> usize;
}

impl PauseControl for Script<ScriptedEndpoint> {
    fn wait_while_paused(&self, addr: SocketAddr, pause: Pause) {
        self.with(addr, |e| *e.waiting.entry(pause).or_default() += 1);
        self.wait_until(addr, |e| !e.paused.contains(&pause));
        self.with(addr, |e| *e.waiting.entry(pause).or_default() -= 1);
    }

    fn pause(&self, addr: SocketAddr, pause: Pause) {
        self.with(addr, |e| _ = e.paused.insert(pause));
    }

    fn resume(&self, addr: SocketAddr, pause: Pause) {
        self.with(addr, |e| _ = e.paused.remove(&pause));
    }

    fn wait_for(&self, addr: SocketAddr, pause: Pause, count: usize) {
        self.wait_until(addr, |e| e.waiting_at(pause) == count);
    }

    fn written(&self, addr: SocketAddr) -> usize {
        self.with(addr, |e| e.written)
    }
}

#[derive(Clone)]
pub(crate) struct ScriptedProtocol {
    script: Arc<Script<ScriptedEndpoint>>,
    listener: Arc<TcpListener>,
}

pub(crate) struct ScriptedConnection {
    script: Arc<Script<ScriptedEndpoint>>,
    addr: SocketAddr,
    socket: ServerSocket,
}

impl Drop for ScriptedConnection {
    fn drop(&mut self) {
        self.script.wait_while_paused(self.addr, Pause::Close);
    }
}

/// Payload of a request, which is dropped when no attempt of the request is in flight any longer.
pub(crate) struct Payload {
    _in_use: Sender<()>,
}

impl BackendProtocol for ScriptedProtocol {
    type Payload = Payload;
    type Response = SocketAddr;
    type Connection = ScriptedConnection;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<ScriptedConnection, Outcome> {
        self.script.with(addr, |e| e.connects += 1);
        self.script.wait_while_paused(addr, Pause::Connect);
        if self.script.with(addr, |e| e.unreachable) {
            return Err(Outcome::ConnectFailed);
        }
        let listener = self.listener.local_addr().unwrap();
        let socket = Handshake::connect(permit, listener, &common::limits()).unwrap().finish().unwrap();
        Ok(ScriptedConnection { script: self.script.clone(), addr, socket })
    }
}

impl Connection<ScriptedProtocol> for ScriptedConnection {
    fn socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    fn is_usable(&mut self, idle_for: Duration, _: ConnectionPermit) -> bool {
        self.script.with(self.addr, |e| {
            e.idle_for = idle_for;
            !e.closes_idle
        })
    }

    fn release(&mut self, _: ConnectionPermit) -> bool {
        true
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, ScriptedProtocol>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<SocketAddr>, NotSent> {
        let (script, addr) = (&self.script, self.addr);
        let report = MemberReport { primary: Some(true), position: Some(Time(1)) };
        let ok = ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::Ok) };
        if let Exchange::Probe = exchange {
            if guard.permit_write().is_err() {
                return Err(NotSent::Cancelled);
            }
            script.with(addr, |e| e.probes += 1);
            return Ok(ExchangeResult { load_report: report, ..ok });
        }
        script.wait_while_paused(addr, Pause::Start);
        let Ok(permit) = guard.permit_write() else {
            script.with(addr, |e| e.cancelled += 1);
            return Err(NotSent::Cancelled);
        };
        let panics = script.with(addr, |e| decrement_if_positive(&mut e.panics));
        assert!(!panics, "panic requested by the test");
        script.wait_while_paused(addr, Pause::Write);
        if script.with(addr, |e| decrement_if_positive(&mut e.write_failures)) {
            return Err(NotSent::ConnectionBroken);
        }
        // The write fails if the attempt was cancelled meanwhile, because its connection was shut down.
        _ = self.socket.write_last(permit, &mut [IoSlice::new(b"request")]);
        script.with(addr, |e| e.written += 1);
        script.wait_while_paused(addr, Pause::Response);
        Ok(match script.with(addr, |e| e.outcomes.pop_front()) {
            Some(outcome) => ExchangeResult::from_outcome(outcome),
            None => ExchangeResult { response_report: report, response: Some(addr), ..ok },
        })
    }
}

pub(crate) struct Core {
    pub(crate) script: Arc<Script<ScriptedEndpoint>>,
    pub(crate) handle: RouterHandle<ScriptedProtocol>,
    endpoints: EndpointsHandle,
    pub(crate) metrics: Arc<Metrics>,
    version: u64,
}

pub(crate) struct SubmittedRequest {
    pub(crate) id: RequestId,
    pub(crate) response: Receiver<FinalResponse<SocketAddr>>,
    in_use: Receiver<()>,
}

impl SubmittedRequest {
    pub(crate) fn final_response(&self) -> FinalResponse<SocketAddr> {
        self.response.recv_timeout(TIMEOUT).unwrap()
    }

    pub(crate) fn served_by(&self) -> SocketAddr {
        match self.final_response() {
            FinalResponse::Served(addr, _) => addr,
            other => panic!("{other:?}"),
        }
    }

    /// Waits until no attempt of the request is in flight.
    pub(crate) fn wait_until_finished(&self) {
        assert_eq!(self.in_use.recv_timeout(TIMEOUT), Err(RecvTimeoutError::Disconnected));
    }
}

/// Creates a ready endpoint of a group.
pub(crate) fn endpoint(id: &str, port: u16, group: u32) -> EndpointEntry {
    testkit::routing::endpoint(id, port, GroupId(group))
}

pub(crate) fn draining(endpoint: EndpointEntry) -> EndpointEntry {
    EndpointEntry { state: MemberState::Draining, ..endpoint }
}

impl Core {
    pub(crate) fn start(adjust: impl FnOnce(&mut Limits)) -> Core {
        Core::start_with(adjust, |_| ())
    }

    pub(crate) fn start_with(
        adjust: impl FnOnce(&mut Limits),
        adjust_settings: impl FnOnce(&mut Settings),
    ) -> Core {
        let script = Arc::new(Script::default());
        let seconds = Duration::from_secs;
        let mut limits = Limits::new(
            ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
            RequestTimes {
                connect_timeout: seconds(10),
                backend_keepalive: seconds(600),
                longest_deadline: seconds(600),
            },
        );
        adjust(&mut limits);
        let class = |idempotency, deadline| {
            let (freshness, latency_objective) = (Freshness::Write, deadline);
            Class {
                freshness,
                idempotency,
                latency_objective,
                deadline,
                priority_weight: 1.0,
                late_weight_share: 1.0,
            }
        };
        let deduplicated = Idempotency::DeduplicatedInGroup(WINDOW.as_micros() as i64);
        let classes = vec![
            class(Idempotency::Idempotent, 60_000_000),
            class(deduplicated, 60_000_000),
            class(Idempotency::Idempotent, 1_000_000),
        ];
        let mysql = settings::operator::read(include_str!("../../../deploy/mysql.toml")).unwrap().settings;
        let metrics = Metrics::new(&["idempotent".into(), "deduplicated".into(), "short".into()]).unwrap();
        let mut settings = Settings { classes, min_event_interval: 1_000, ..mysql };
        adjust_settings(&mut settings);
        let (handle, endpoints) = RouterBuilder {
            protocol: ScriptedProtocol { script: script.clone(), listener: accepting_listener() },
            settings,
            seed: 7,
            limits: Arc::new(limits),
            clock: Clock::new(),
            responded: None,
            metrics: Some(metrics.clone()),
            commit_sharing: None,
            placement: None,
        }
        .start()
        .unwrap();
        Core { script, handle, endpoints, metrics, version: 0 }
    }

    /// Sends a complete endpoint list and waits until the router actor has applied it.
    pub(crate) fn list(&mut self, endpoints: &[EndpointEntry]) {
        self.version += 1;
        let endpoints = endpoints.to_vec();
        self.endpoints.notify(EndpointUpdate { version: self.version, complete: true, endpoints });
        assert!(self.endpoints.wait_until_applied(TIMEOUT));
        self.barrier();
    }

    pub(crate) fn submit_within(&self, group: u32, class: usize, timeout_micros: i64) -> SubmittedRequest {
        let ((response_sender, response), (in_use_sender, in_use)) = (bounded(1), bounded(0));
        let request = ClientRequest {
            connection: 1,
            class,
            tenant: None,
            session: None,
            group: GroupId(group),
            deadline: Time(self.handle.clock.now().0 + timeout_micros),
            session_commit: None,
            may_run_partially: false,
            payload: Payload { _in_use: in_use_sender },
            response_sender,
        };
        SubmittedRequest { id: self.handle.submit(request), response, in_use }
    }

    pub(crate) fn submit(&self, group: u32, class: usize) -> SubmittedRequest {
        self.submit_within(group, class, 60_000_000)
    }

    /// Waits until the router actor has handled all earlier messages.
    pub(crate) fn barrier(&self) {
        let late = self.submit_within(u32::MAX, SHORT, 0).final_response();
        assert!(matches!(late, FinalResponse::Rejected(_)), "{late:?}");
    }
}
