//! Linearizable reads: they wait until a majority has confirmed the leader by a read index, and until this node has
//! applied the log up to it. One read index request serves all readers that wait when it is sent. Readers that come
//! later wait for the next one, for this one may be answered with an index from before they came.
use super::responses::{ConfirmedRead, ReadResult};
use crate::rejection::Rejection;
use crate::state::State;
use crossbeam_channel::Sender;
use std::time::{Duration, Instant};

/// Receives the state once a majority has confirmed the leader.
pub type ReadReply = Sender<Result<ReadResult, Rejection>>;

/// After this time a read index request is given up and a new one sent. A leader that has not committed an entry of its
/// term yet drops requests without an answer.
const READ_INDEX_RETRY: Duration = Duration::from_millis(200);

/// A reader that waits for its answer.
struct Reader {
    reply: ReadReply,
    added_at: Instant,
}

impl Reader {
    /// Rejects a reader that has waited too long, or has no leader to wait for. Returns whether it still waits.
    fn keep_waiting(&self, no_leader: bool, timeout: Duration) -> bool {
        let lost = no_leader || self.added_at.elapsed() > timeout;
        if lost {
            _ = self.reply.try_send(Err(Rejection::NoQuorum));
        }
        !lost
    }
}

/// The read index request in flight.
struct ReadIndexRequest {
    /// Raft returns it with the read index.
    id: Vec<u8>,
    sent_at: Instant,
    /// The term that this node led when it sent the request; `None` where it followed.
    leading_term: Option<u64>,
}

/// A reader whose read index is known.
struct ConfirmedReader {
    reader: Reader,
    /// The read is answered as soon as this index is applied.
    index: u64,
    /// The term that this node was confirmed to lead; `None` where another node leads.
    leading_term: Option<u64>,
}

/// The readers that wait for an answer. A reader moves from `waiting` to `requested` when a read index request is sent,
/// and to `confirmed` when the read index comes; it is answered when that index is applied.
#[derive(Default)]
pub struct PendingReads {
    /// Readers for the next read index request.
    waiting: Vec<Reader>,
    in_flight: Option<ReadIndexRequest>,
    /// Readers that the request in flight is for.
    requested: Vec<Reader>,
    confirmed: Vec<ConfirmedReader>,
}

impl PendingReads {
    /// Adds a reader for the next read index request.
    pub fn add(&mut self, reply: ReadReply) {
        self.waiting.push(Reader { reply, added_at: Instant::now() });
    }

    /// Whether a read index request is to be sent.
    pub fn needs_request(&self) -> bool {
        self.in_flight.is_none() && !self.waiting.is_empty()
    }

    /// Notes that a request is sent. `leading_term` is the term that this node leads, if it does: a request of a follower
    /// is answered by the leader, whichever node that is, and proves nothing of this node.
    pub fn start_request(&mut self, id: Vec<u8>, leading_term: Option<u64>) {
        self.in_flight = Some(ReadIndexRequest { id, sent_at: Instant::now(), leading_term });
        self.requested = std::mem::take(&mut self.waiting);
    }

    /// Rejects readers that have waited longer than `timeout`, or all of them with `no_leader`. Gives up a request that
    /// has no answer after `READ_INDEX_RETRY`: its readers wait for the next one.
    pub fn expire(&mut self, no_leader: bool, timeout: Duration) {
        let is_lost = |request: &ReadIndexRequest| no_leader || request.sent_at.elapsed() > READ_INDEX_RETRY;
        if self.in_flight.as_ref().is_some_and(is_lost) {
            self.in_flight = None;
            self.waiting.append(&mut self.requested);
        }
        self.waiting.retain(|reader| reader.keep_waiting(no_leader, timeout));
        // A node that is partitioned after it has learned the index may never apply the log up to it.
        self.confirmed.retain(|confirmed| confirmed.reader.keep_waiting(no_leader, timeout));
    }

    /// Handles the answer to a request: its read index. `leading_term` is the term that this node leads now, if it does.
    /// The answer to a request that was given up is ignored.
    pub fn confirm(&mut self, id: &[u8], index: u64, leading_term: Option<u64>) {
        let Some(request) = self.in_flight.take_if(|request| request.id == id) else { return };
        // If the term is another than when the request was sent, this may be the answer of another leader.
        let leading_term = leading_term.filter(|term| request.leading_term == Some(*term));
        let confirmed =
            self.requested.drain(..).map(|reader| ConfirmedReader { reader, index, leading_term });
        self.confirmed.extend(confirmed);
    }

    /// Whether a read index is known whose reader has no answer yet.
    pub fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }

    /// Answers the readers whose read index is applied in `state`. `term` is this node's present one.
    pub fn answer(&mut self, state: &State, term: u64) {
        self.confirmed.retain(|confirmed| {
            let is_applied = confirmed.index <= state.applied_index;
            if is_applied {
                let read = ConfirmedRead { state: state.clone(), term };
                let is_leader = confirmed.leading_term == Some(term);
                _ = confirmed.reader.reply.try_send(Ok(ReadResult { read, is_leader }));
            }
            !is_applied
        });
    }
}
