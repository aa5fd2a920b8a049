//! Dispatches events to their handlers.
use super::event::{Action, Event, Now};
use super::state::Machine;

impl Machine {
    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        if self.floor_pending && now.commit_upper_bound.is_some() {
            self.raise_floor(now, actions);
        }
        self.dispatch(now, event, actions);
        self.acknowledge_writes(now.at, actions);
    }

    fn dispatch(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Commit { ack, session, committed_at } => {
                self.handle_commit(ack, session, committed_at, actions);
            }
            Event::ConnectionCommit { session, committed_at } => self.commits.insert(session, committed_at),
            Event::JournalSynced { seq } => self.synced_seq = self.synced_seq.max(seq),
            Event::JournalDeleted => (self.durable, self.journal_undeletable) = (false, false),
            Event::JournalUndeletable => self.journal_undeletable = true,
            Event::JournalRestored { seq } => {
                (self.durable, self.journal_undeletable) = (self.settings.durable, false);
                self.synced_seq = self.synced_seq.max(seq);
            }
            Event::PeersListed { peers } => self.set_peers(&peers, now, actions),
            Event::Accepted { peer, incarnation, last_seq } => {
                self.handle_accepted(peer, incarnation, last_seq, actions);
            }
            Event::Rejected { peer, reason } => self.handle_rejected(peer, reason, actions),
            Event::Confirmed { peer, seq } => self.handle_confirmed(peer, seq),
            Event::LeaseRequested { peer, requested_at } => {
                self.handle_lease_request(peer, requested_at, now, actions);
            }
            Event::OutboundDisconnected { peer } => self.handle_outbound_disconnected(peer),
            Event::ConnectionRefused { peer, attempted_at } => {
                self.handle_connection_refused(peer, attempted_at, now, actions);
            }
            Event::HelloReceived { peer, incarnation } => {
                self.handle_hello(peer, incarnation, now, actions);
            }
            Event::PushReceived { peer, push } => self.handle_push(peer, push, now, actions),
            Event::InboundDisconnected { peer } => self.handle_inbound_disconnected(peer),
            Event::Tick => self.request_leases(now, actions),
        }
    }
}
