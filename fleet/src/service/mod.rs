//! The fleet service of a store node: while the node is the leader, it responds to the reports of routers.
//!
//! One thread accepts connections, and each connection has its own thread, up to a limit. An actor owns the
//! quota allocator and the audit, and handles all reports (`leader`).
mod audit_recorder;
mod auditor;
mod leader;

use crate::document;
use crate::wire::{self, MAX_PART_BYTES, Request, Response, UNKNOWN_LEADER};
use crossbeam_channel::{Sender, bounded};
use leader::{LeaderActor, MAX_REPORTS_PER_ROUND, PendingReport};
use routing::Clock;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use store::Store;
use store::wire::WireError;

/// Stack size of the actor's thread, larger than that of other threads because the actor parses documents.
const ACTOR_STACK_BYTES: usize = 1 << 20;
/// Maximum number of reports queued for the actor. Further reports get the response of a node that is not
/// the leader.
const MAX_PENDING_REPORTS: usize = 4 * MAX_REPORTS_PER_ROUND;
/// How long a connection waits for the actor's response to a report. Routers wait no longer than this.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on the connections of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections, each with its own thread.
    pub max_connections: u64,
    /// Time without a request after which a connection is closed; the router then reconnects.
    pub idle_timeout: Duration,
    /// Time within which a message must be received, counted from its first byte, and a response be accepted
    /// by the router.
    pub message_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 2048,
            idle_timeout: Duration::from_secs(10),
            message_timeout: Duration::from_secs(2),
        }
    }
}

/// Starts serving routers until the listener fails. With `audit`, this node writes the record of which router
/// uses which document version while it is the leader.
///
/// # Errors
/// Fails if a thread cannot be started.
pub fn start(
    listener: TcpListener,
    store: Store,
    clock: Clock,
    quotas: quotas::Settings,
    audit: Option<audit::Settings>,
    limits: Limits,
) -> io::Result<()> {
    let (report_sender, reports) = bounded(MAX_PENDING_REPORTS);
    let actor = LeaderActor::new(store.clone(), clock, quotas, audit)?;
    routing::spawn_needed("fleet-leader", ACTOR_STACK_BYTES, move || actor.run(&reports))?;
    let reject = move |socket: &TcpStream| {
        _ = wire::send_hello(socket);
        _ = wire::send(socket, &Response::Busy { max_connections: limits.max_connections });
    };
    let serve = move |socket: &TcpStream| serve_connection(socket, &store, &report_sender, &limits);
    store::acceptor::accept(listener, "fleet", limits.max_connections, reject, serve)
}

/// Serves a connection until it fails or the idle timeout expires.
fn serve_connection(
    socket: &TcpStream,
    store: &Store,
    reports: &Sender<PendingReport>,
    limits: &Limits,
) -> Result<(), WireError> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(limits.message_timeout))?;
    // The node sends its hello before it checks the router's, so that a router of another version can report
    // why the connection is closed.
    wire::send_hello(socket)?;
    wire::receive_hello(socket, limits.message_timeout)?;
    wire::send(socket, &Response::Welcome { node: store.status().node })?;
    loop {
        match wire::receive(socket, limits.idle_timeout, limits.message_timeout)? {
            Request::Report { quota_report, version_report } => {
                wire::send(socket, &handle_report(reports, quota_report, version_report))?;
            }
            Request::Document => send_document(socket, store)?,
        }
    }
}

/// Passes a report to the actor and waits for its response.
fn handle_report(
    reports: &Sender<PendingReport>,
    quota_report: quotas::Report,
    version_report: audit::VersionReport,
) -> Response {
    let (responder, response) = bounded(1);
    let accepted = reports.try_send(PendingReport { quota_report, version_report, responder }).is_ok();
    let response = accepted.then(|| response.recv_timeout(RESPONSE_TIMEOUT).ok()).flatten();
    response.unwrap_or(Response::NotLeader { leader: UNKNOWN_LEADER })
}

fn send_document(socket: &TcpStream, store: &Store) -> Result<(), WireError> {
    // If the document is damaged, the connection is closed, so that the router does not conclude that there
    // is no document.
    let found = document::text_from_state(&store.state()).map_err(io::Error::other)?;
    let (version, text) = found.unwrap_or_default();
    let mut parts = text.as_bytes().chunks(MAX_PART_BYTES).peekable();
    loop {
        let bytes = parts.next().unwrap_or_default().to_vec();
        let is_last = parts.peek().is_none();
        wire::send(socket, &Response::DocumentPart { version, bytes, is_last })?;
        if is_last {
            return Ok(());
        }
    }
}
