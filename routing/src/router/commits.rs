//! Commits of sessions that the router actor shares with other processes of this router.
use super::actor::RouterActor;
use crate::commit_sharing::SessionCommit;
use crate::protocol::BackendProtocol;
use decision::{Event, RequestId, Time};

impl<P: BackendProtocol> RouterActor<P> {
    /// Makes the commit of a request's write known to the other processes, before the client gets the response.
    pub(super) fn publish_commit(&self, id: RequestId, commit: Time) {
        let Some(sharing) = &self.commit_sharing else { return };
        let Some(record) = self.requests.get(&id).filter(|record| record.awaits_response()) else { return };
        if let Some(session) = record.session {
            sharing.publish(SessionCommit { group: record.group, session, commit });
        }
    }

    /// Passes the commits that other processes have served to the decision state machine, if a request of this
    /// class needs them.
    pub(super) fn receive_commits(&mut self, class: usize) {
        if !self.classes.get(class).is_some_and(|rules| rules.reads_session) {
            return;
        }
        let Some(sharing) = &self.commit_sharing else { return };
        let received = sharing.receive();
        for SessionCommit { group, session, commit } in received.commits {
            self.handle_decision_event(Event::SessionCommitted { group, session, commit });
        }
        if received.commits_missing {
            let until = self.clock.now();
            self.handle_decision_event(Event::SessionsCommitted { until });
        }
    }
}
