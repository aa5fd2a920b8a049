//! Session machines of the routers: their events and actions, their journals, and the acknowledgement of
//! writes.
use super::events::{PeerMessage, ProcessEvent, SimulationEvent};
use super::state::{JournalEntry, PeerConnection, UnacknowledgedWrite, World};
use crate::checker::{FinalResponse, RouterRequest};
use crate::times::{CLOCK_UNCERTAINTY, JOURNAL_SYNC_DURATION};
use decision::Time;
use sessions::SessionKey;
use sessions::machine::{Action as SessionAction, Event as SessionEvent, Now, Push};

impl World<'_> {
    /// Returns the time for a session machine: the simulated time, and an upper bound of the servers' clock.
    pub(super) fn session_now(&self) -> Now {
        Now { at: self.now, commit_upper_bound: Some(Time(self.now.0 + CLOCK_UNCERTAINTY)) }
    }

    pub(super) fn handle_session_event(&mut self, router: usize, event: SessionEvent) {
        let now = self.session_now();
        let mut actions = Vec::new();
        self.routers[router].sessions.handle(now, event, &mut actions);
        for action in actions {
            self.apply_session_action(router, action);
        }
    }

    fn apply_session_action(&mut self, router: usize, action: SessionAction) {
        match action {
            SessionAction::AppendCommit { seq, session, committed_at: commit } => {
                let synced = ProcessEvent::JournalSynced { seq, session, commit };
                self.schedule_after(
                    JOURNAL_SYNC_DURATION,
                    SimulationEvent::Process(self.process(router), synced),
                );
            }
            SessionAction::SendPush { peer, push } => {
                self.send_to_peer(router, peer as usize, PeerMessage::Push(push));
            }
            SessionAction::SendSnapshot { peer, seq } => {
                self.send_snapshot(router, peer as usize, seq);
            }
            SessionAction::Accept { peer, incarnation, last_seq } => {
                self.send_to_peer(router, peer as usize, PeerMessage::Accept { incarnation, last_seq });
            }
            SessionAction::SendConfirmation { peer, seq } => {
                self.send_to_peer(router, peer as usize, PeerMessage::Confirm { seq });
            }
            SessionAction::RequestLease { peer, requested_at } => {
                self.send_to_peer(router, peer as usize, PeerMessage::LeaseRequest { requested_at });
            }
            SessionAction::Disconnect { peer } => {
                self.disconnect_peer(PeerConnection { from: peer as usize, to: router });
            }
            SessionAction::Acknowledge { ack: request } => self.acknowledge_write(router, request),
            SessionAction::Fail { ack: request } => self.fail_write(router, request),
            SessionAction::AppendFloor { .. }
            | SessionAction::Reject { .. }
            | SessionAction::AdoptIncarnation { .. }
            | SessionAction::Superseded { .. } => {}
        }
    }

    /// Sends all cached commits to a peer.
    fn send_snapshot(&mut self, router: usize, peer: usize, seq: u64) {
        let sessions = &self.routers[router].sessions;
        let mut entries: Vec<(SessionKey, i64)> =
            sessions.commits().iter().map(|(session, commit)| (session, commit.0)).collect();
        // Sorted since the iteration order of hash maps is arbitrary.
        entries.sort_unstable_by_key(|(session, commit)| (*commit, *session));
        let floor = sessions.floor().filter(|_| !sessions.floor_pending()).map(|floor| floor.0);
        self.send_to_peer(router, peer, PeerMessage::Push(Push::Snapshot { entries }));
        self.send_to_peer(router, peer, PeerMessage::Push(Push::SnapshotComplete { seq, floor }));
    }

    pub(super) fn handle_journal_sync(&mut self, router: usize, seq: u64, entry: JournalEntry) {
        self.routers[router].journal.push(entry);
        self.handle_session_event(router, SessionEvent::JournalSynced { seq });
    }

    /// Sends the final response for a write that the session machine has acknowledged.
    fn acknowledge_write(&mut self, router: usize, request: u64) {
        let write = self.routers[router].unacknowledged_writes.remove(&request);
        let Some(UnacknowledgedWrite { client, session, commit }) = write else { return };
        self.checker.write_acknowledged(session, commit);
        self.checker.request_completed(self.now, RouterRequest { router, request }, FinalResponse::Other);
        self.record_success(client);
    }

    /// Fails a write whose commit the session machine could not record.
    fn fail_write(&mut self, router: usize, request: u64) {
        let Some(write) = self.routers[router].unacknowledged_writes.remove(&request) else { return };
        self.checker.request_completed(self.now, RouterRequest { router, request }, FinalResponse::Other);
        self.record_failure(write.client);
    }
}
