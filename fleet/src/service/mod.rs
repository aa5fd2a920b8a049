//! A store node's side of the fleet: it answers the reports of routers while it leads.
//!
//! One thread accepts connections and each connection has a thread of its own, up to a limit. One actor owns the quota
//! allocator and the audit, and decides on all reports (`leader`).
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

/// The actor reads whole documents.
const ACTOR_STACK_BYTES: usize = 1 << 20;
/// Reports that wait for the actor; further ones are answered as by a node that does not lead.
const MAX_PENDING_REPORTS: usize = 4 * MAX_REPORTS_PER_ROUND;
/// A router does not wait longer than this for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at a time, each with a thread.
    pub max_connections: u64,
    /// A connection without a request for this long is closed; the router connects again.
    pub idle_timeout: Duration,
    /// A message must have been received, and a response accepted by the router, within this time of its first byte.
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

/// Starts to answer routers; goes on until the listener fails. With `audit`, the record of which router acts on which
/// version is written while this node leads.
///
/// # Errors
/// Where a thread cannot be started.
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

/// Serves one connection until it fails or stays idle.
fn serve_connection(
    socket: &TcpStream,
    store: &Store,
    reports: &Sender<PendingReport>,
    limits: &Limits,
) -> Result<(), WireError> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(limits.message_timeout))?;
    // Sent before the other side's hello is checked, so that a router of another version can tell why it is closed.
    wire::send_hello(socket)?;
    wire::receive_hello(socket, limits.message_timeout)?;
    wire::send(socket, &Response::Welcome { node: store.status().node })?;
    loop {
        match wire::receive(socket, limits.idle_timeout, limits.message_timeout)? {
            Request::Report { quota_report, version_report } => {
                wire::send(socket, &answer_report(reports, quota_report, version_report))?;
            }
            Request::Document => send_document(socket, store)?,
        }
    }
}

/// Has the actor decide on a report and waits for its response.
fn answer_report(
    reports: &Sender<PendingReport>,
    quota_report: quotas::Report,
    version_report: audit::VersionReport,
) -> Response {
    let (reply, response) = bounded(1);
    let accepted = reports.try_send(PendingReport { quota_report, version_report, reply }).is_ok();
    let response = accepted.then(|| response.recv_timeout(ANSWER_TIMEOUT).ok()).flatten();
    response.unwrap_or(Response::NotLeader { leader: UNKNOWN_LEADER })
}

fn send_document(socket: &TcpStream, store: &Store) -> Result<(), WireError> {
    // A damaged document is not the same as none: the connection ends, so that the router does not take it for that.
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
