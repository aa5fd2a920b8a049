//! Linearizable reads. A read waits until a majority has confirmed the leader by a read index, and until this
//! node has applied the log up to that index. One read index request serves all readers that wait when it is
//! sent. Readers that arrive later wait for the next request, because the index for the current one may have
//! been determined before they arrived.
use super::responses::{ConfirmedRead, ReadResult};
use crate::rejection::Rejection;
use crate::state::State;
use crossbeam_channel::Sender;
use std::time::{Duration, Instant};

/// Channel for the state, which is sent once a majority has confirmed the leader.
pub type ReadResponder = Sender<Result<ReadResult, Rejection>>;

/// After this time without a response, a read index request is abandoned and a new one is sent. A leader that
/// has not yet committed an entry of its term drops requests silently.
const READ_INDEX_RETRY: Duration = Duration::from_millis(200);

/// A reader that waits for its response.
struct Reader {
    responder: ReadResponder,
    added_at: Instant,
}

impl Reader {
    /// Rejects the reader if it has waited too long or no leader is known. Returns whether it is still
    /// waiting.
    fn is_still_waiting(&self, no_leader: bool, timeout: Duration) -> bool {
        let lost = no_leader || self.added_at.elapsed() > timeout;
        if lost {
            _ = self.responder.try_send(Err(Rejection::NoQuorum));
        }
        !lost
    }
}

/// The read index request in flight.
struct ReadIndexRequest {
    /// Id of the request, which raft returns together with the read index.
    id: Vec<u8>,
    sent_at: Instant,
    /// The term that this node led when it sent the request; `None` if it was not the leader.
    leading_term: Option<u64>,
}

/// A reader whose read index has been received.
struct ConfirmedReader {
    reader: Reader,
    /// The log index that must be applied before the response is sent.
    index: u64,
    /// The term in which a majority confirmed this node as the leader; `None` if another node leads.
    leading_term: Option<u64>,
}

/// The readers that wait for a response. A reader moves from `waiting` to `requested` when a read index
/// request is sent, and to `confirmed` when the read index is received. A reader gets the response when that
/// index is applied.
#[derive(Default)]
pub struct PendingReads {
    /// Readers for the next read index request.
    waiting: Vec<Reader>,
    in_flight: Option<ReadIndexRequest>,
    /// Readers that are served by the request in flight.
    requested: Vec<Reader>,
    confirmed: Vec<ConfirmedReader>,
}

impl PendingReads {
    /// Adds a reader for the next read index request.
    pub fn add(&mut self, responder: ReadResponder) {
        self.waiting.push(Reader { responder, added_at: Instant::now() });
    }

    /// Whether a read index request should be sent now.
    pub fn needs_request(&self) -> bool {
        self.in_flight.is_none() && !self.waiting.is_empty()
    }

    /// Records that a read index request was sent. `leading_term` is the term that this node leads, if it
    /// does. A follower's request is confirmed by whichever node is the leader, which proves nothing about
    /// the follower.
    pub fn start_request(&mut self, id: Vec<u8>, leading_term: Option<u64>) {
        self.in_flight = Some(ReadIndexRequest { id, sent_at: Instant::now(), leading_term });
        self.requested = std::mem::take(&mut self.waiting);
    }

    /// Rejects readers that have waited longer than `timeout`, or all of them if `no_leader`. Abandons a
    /// request without a response after `READ_INDEX_RETRY`; its readers wait for the next one.
    pub fn expire(&mut self, no_leader: bool, timeout: Duration) {
        let is_lost = |request: &ReadIndexRequest| no_leader || request.sent_at.elapsed() > READ_INDEX_RETRY;
        if self.in_flight.as_ref().is_some_and(is_lost) {
            self.in_flight = None;
            self.waiting.append(&mut self.requested);
        }
        self.waiting.retain(|reader| reader.is_still_waiting(no_leader, timeout));
        // A node that is partitioned after it received the index may never apply the log up to it.
        self.confirmed.retain(|confirmed| confirmed.reader.is_still_waiting(no_leader, timeout));
    }

    /// Handles the response to a read index request. `leading_term` is the term that this node leads now, if
    /// it does. Responses to abandoned requests are ignored.
    pub fn confirm(&mut self, id: &[u8], index: u64, leading_term: Option<u64>) {
        let Some(request) = self.in_flight.take_if(|request| request.id == id) else { return };
        // If the term has changed since the request was sent, another leader may have responded.
        let leading_term = leading_term.filter(|term| request.leading_term == Some(*term));
        let confirmed =
            self.requested.drain(..).map(|reader| ConfirmedReader { reader, index, leading_term });
        self.confirmed.extend(confirmed);
    }

    /// Whether any reader waits for its read index to be applied.
    pub fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }

    /// Sends `state` to the readers whose read index is applied in it. `term` is this node's current term.
    pub fn respond(&mut self, state: &State, term: u64) {
        self.confirmed.retain(|confirmed| {
            let is_applied = confirmed.index <= state.applied_index;
            if is_applied {
                let read = ConfirmedRead { state: state.clone(), term };
                let is_leader = confirmed.leading_term == Some(term);
                _ = confirmed.reader.responder.try_send(Ok(ReadResult { read, is_leader }));
            }
            !is_applied
        });
    }
}
