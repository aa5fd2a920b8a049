//! A client connection and its pending requests.
use super::requests::DrawnRequest;
use crate::environment::clock::RunClock;
use crate::environment::socket::{ReadEnd, read_available, write_pending};
use crate::environment::wire::{
    FATAL, KEY_BYTES, Message, encode_message, error_field, error_fields, query_message, row_value,
    startup_message, tag, take_message,
};
use crate::history::{History, Outcome, Recorder, Request, Stall, UnexpectedResponse};
use crate::time::Micros;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// How long after a request's timeout the client abandons the connection.
const ABANDON_AFTER: Micros = 3_500_000;
/// The body of the message that a stalling client sends only in part.
const STALLED_BODY: [u8; 100] = [b'x'; 100];
/// How many bytes of [`STALLED_BODY`] are sent.
const STALLED_BYTES: usize = 40;
/// The error code recorded for a response without a row or an error.
const EMPTY_RESPONSE: &str = "empty";

/// A request that waits for its response.
pub(super) struct PendingRequest {
    /// The request's index in the history.
    pub(super) index: usize,
    pub(super) abandon_at: Micros,
    pub(super) disconnect_at: Option<Micros>,
    pub(super) cancel_at: Option<Micros>,
}

/// A client's connection to a router.
pub(super) struct Connection {
    pub(super) router: usize,
    pub(super) token: usize,
    /// The connection's number, unique in a run.
    number: u64,
    opened_at: Micros,
    stream: TcpStream,
    inbound: Vec<u8>,
    outbound: Vec<u8>,
    /// The backend key with which the connection's requests can be cancelled; empty until the router has sent
    /// it.
    key: Vec<u8>,
    is_started: bool,
    /// The number of requests sent on the connection.
    sent: usize,
    pending: VecDeque<PendingRequest>,
    /// The indices of requests that have not been written completely to the socket.
    unsent: VecDeque<usize>,
    stalled_since: Option<Micros>,
}

impl Connection {
    /// Creates a connection whose first message is the startup message.
    pub(super) fn new(
        router: usize,
        stream: TcpStream,
        token: usize,
        number: u64,
        now: Micros,
    ) -> Connection {
        Connection {
            router,
            token,
            number,
            opened_at: now,
            stream,
            inbound: Vec::new(),
            outbound: startup_message(),
            key: Vec::new(),
            is_started: false,
            sent: 0,
            pending: VecDeque::new(),
            unsent: VecDeque::new(),
            stalled_since: None,
        }
    }

    pub(super) fn has_sent(&self) -> bool {
        self.sent > 0
    }

    pub(super) fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the request that the next response belongs to.
    pub(super) fn first_pending(&mut self) -> Option<&mut PendingRequest> {
        self.pending.front_mut()
    }

    /// Returns the backend key for cancelling, if the router has sent it.
    pub(super) fn cancel_key(&self) -> Option<&[u8]> {
        (self.key.len() == KEY_BYTES).then_some(&self.key)
    }

    pub(super) fn is_stalled(&self) -> bool {
        self.stalled_since.is_some()
    }

    /// Whether the client has been stalling for longer than a limit.
    pub(super) fn is_stalled_longer_than(&self, limit: Micros, now: Micros) -> bool {
        self.stalled_since.is_some_and(|since| now > since + limit)
    }

    /// Sends the first part of a message and then stalls.
    pub(super) fn stall(&mut self, now: Micros) {
        self.outbound.extend(&encode_message(tag::QUERY, &STALLED_BODY)[..STALLED_BYTES]);
        self.stalled_since = Some(now);
    }

    /// Adds a request to the output buffer and to the history.
    pub(super) fn add_request(
        &mut self,
        request: &DrawnRequest,
        statement: &str,
        now: Micros,
        history: &mut History,
    ) {
        let index = history.requests.len();
        history.requests.push(Request {
            id: request.id,
            router: self.router,
            connection: self.number,
            connected_at: self.opened_at,
            sequence: self.sent,
            class: request.class,
            group: request.group,
            sent_at: Micros::MAX,
            timeout: request.timeout,
            required_commit: request.required_commit,
            outcome: Outcome::Pending,
            ended_at: 0,
            cancelled_at: None,
        });
        self.sent += 1;
        self.outbound.extend(query_message(statement));
        self.unsent.push_back(index);
        self.pending.push_back(PendingRequest {
            index,
            abandon_at: now + request.timeout + ABANDON_AFTER,
            disconnect_at: request.disconnect_at,
            cancel_at: request.cancel_at,
        });
    }

    /// Writes and reads as much as possible. Returns `false` if the connection is closed.
    pub(super) fn transfer(&mut self, now: Micros, recorder: &Recorder) -> bool {
        let writable = write_pending(&mut self.stream, &mut self.outbound);
        if writable && self.outbound.is_empty() && !self.unsent.is_empty() {
            let mut history = recorder.lock();
            for index in self.unsent.drain(..) {
                history.requests[index].sent_at = now;
            }
        }
        let inbound = &mut self.inbound;
        let receive = |bytes: &[u8]| {
            inbound.extend_from_slice(bytes);
            true
        };
        let readable = read_available(&mut self.stream, receive) == ReadEnd::Drained;
        writable && readable
    }

    /// Records the responses that have arrived.
    pub(super) fn take_responses(&mut self, clock: &RunClock, recorder: &Recorder) {
        let mut response = None;
        while let Some(Message { tag, body }) = take_message(&mut self.inbound) {
            match tag {
                tag::BACKEND_KEY if !self.is_started => self.key = body,
                tag::READY if !self.is_started => self.is_started = true,
                tag::DATA_ROW => response = Some(Outcome::Served(row_value(&body))),
                tag::ERROR => {
                    let code = error_field(&body, error_fields::CODE).unwrap_or_default();
                    response = Some(Outcome::Error(code));
                    // No ReadyForQuery follows a fatal error.
                    if error_field(&body, error_fields::SEVERITY).is_some_and(|severity| severity == FATAL) {
                        self.record_response(response.take(), clock.now(), &mut recorder.lock());
                    }
                }
                tag::READY => self.record_response(response.take(), clock.now(), &mut recorder.lock()),
                _ => {}
            }
        }
    }

    /// Records the response of the oldest pending request.
    fn record_response(&mut self, response: Option<Outcome>, now: Micros, history: &mut History) {
        let Some(pending) = self.pending.pop_front() else {
            if !self.is_stalled() {
                let unsolicited = UnexpectedResponse::Unsolicited { connection: self.number, response };
                history.unexpected_responses.push(unsolicited);
            }
            return;
        };
        let request = &mut history.requests[pending.index];
        request.outcome = response.unwrap_or(Outcome::Error(EMPTY_RESPONSE.into()));
        request.ended_at = now;
        let id = request.id;
        if let Outcome::Served(value) = &request.outcome
            && !value.starts_with(&format!("{id:x}."))
        {
            let foreign = UnexpectedResponse::Mismatched { request: id, value: value.clone() };
            history.unexpected_responses.push(foreign);
        }
    }

    /// Records that the client disconnected while requests were pending.
    pub(super) fn record_disconnect(&self, now: Micros, history: &mut History) {
        for pending in &self.pending {
            let request = &mut history.requests[pending.index];
            (request.outcome, request.ended_at) = (Outcome::Disconnected, now);
        }
    }

    /// Records that the router closed the connection while requests were pending.
    pub(super) fn record_close(&self, now: Micros, history: &mut History) {
        for pending in &self.pending {
            let request = &mut history.requests[pending.index];
            // A request whose last byte was not written to the socket was not sent.
            let was_sent = request.sent_at < Micros::MAX;
            request.outcome = if was_sent { Outcome::Closed } else { Outcome::Disconnected };
            request.ended_at = now;
        }
    }

    /// Records the end of a stall, if the client stalled.
    pub(super) fn record_stall(&self, closed_by_router: bool, now: Micros, history: &mut History) {
        if let Some(from) = self.stalled_since {
            history.stalls.push(Stall { router: self.router, from, to: now, closed_by_router });
        }
    }
}
