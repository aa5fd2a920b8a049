//! Linearizable reads: they wait until a majority has confirmed the leader by a read index, and until this node has
//! applied the log up to it. One read index request serves all readers that wait when it is sent. Readers that come
//! later wait for the next one, for this one may be answered with an index from before they came.
use super::commands::{ReadReply, ReadResult};
use super::handle::ConfirmedRead;
use crate::rejection::Rejection;
use crate::state::State;
use std::time::{Duration, Instant};

/// A read index request is sent again after this time: a new leader drops it.
const READ_INDEX_RETRY: Duration = Duration::from_millis(200);

struct Reader {
    reply: ReadReply,
    since: Instant,
}

impl Reader {
    /// Rejects a reader that has waited too long, or has no leader to wait for; `true` where it waits on.
    fn keep_waiting(&self, no_leader: bool, timeout: Duration) -> bool {
        let lost = no_leader || self.since.elapsed() > timeout;
        if lost {
            _ = self.reply.try_send(Err(Rejection::NoQuorum));
        }
        !lost
    }
}

/// The read index request in flight.
struct ReadIndexRequest {
    id: Vec<u8>,
    sent: Instant,
    /// The term that this node led when it sent the request.
    leading_term: Option<u64>,
}

/// A reader whose read index is known.
struct ConfirmedReader {
    reader: Reader,
    /// The read is answered as soon as this index is applied.
    index: u64,
    /// The term that this node was confirmed to lead.
    leading_term: Option<u64>,
}

#[derive(Default)]
pub(super) struct PendingReads {
    /// For the next read index request.
    waiting: Vec<Reader>,
    request: Option<ReadIndexRequest>,
    /// Those that the request in flight is for.
    requested: Vec<Reader>,
    confirmed: Vec<ConfirmedReader>,
}

impl PendingReads {
    pub(super) fn add(&mut self, reply: ReadReply) {
        self.waiting.push(Reader { reply, since: Instant::now() });
    }

    /// Whether a read index request is to be sent.
    pub(super) fn needs_request(&self) -> bool {
        self.request.is_none() && !self.waiting.is_empty()
    }

    /// Notes that a request is sent while this node leads a term, or follows. A request that a follower sends is
    /// answered by the leader, whichever node that is: it proves nothing of this node.
    pub(super) fn start_request(&mut self, id: Vec<u8>, leading_term: Option<u64>) {
        self.request = Some(ReadIndexRequest { id, sent: Instant::now(), leading_term });
        self.requested = std::mem::take(&mut self.waiting);
    }

    /// Rejects readers that have waited too long, and gives up a request that has.
    pub(super) fn expire(&mut self, no_leader: bool, timeout: Duration) {
        let is_lost = |request: &ReadIndexRequest| no_leader || request.sent.elapsed() > READ_INDEX_RETRY;
        if self.request.as_ref().is_some_and(is_lost) {
            self.request = None;
            self.waiting.append(&mut self.requested);
        }
        self.waiting.retain(|reader| reader.keep_waiting(no_leader, timeout));
        // A node that is cut off once it knows the index may never apply the log up to it.
        self.confirmed.retain(|confirmed| confirmed.reader.keep_waiting(no_leader, timeout));
    }

    /// The answer to a request: a read index, received while this node leads a term, or follows.
    pub(super) fn confirm(&mut self, id: &[u8], index: u64, leading_term: Option<u64>) {
        let Some(request) = self.request.take_if(|request| request.id == id) else { return };
        // Still the term that the request was sent in: otherwise it may be another leader's answer.
        let leading_term = leading_term.filter(|term| request.leading_term == Some(*term));
        let confirmed =
            self.requested.drain(..).map(|reader| ConfirmedReader { reader, index, leading_term });
        self.confirmed.extend(confirmed);
    }

    pub(super) fn has_confirmed(&self) -> bool {
        !self.confirmed.is_empty()
    }

    /// Answers the readers whose read index is applied.
    pub(super) fn answer(&mut self, state: &State, term: u64) {
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

#[cfg(test)]
mod tests;
