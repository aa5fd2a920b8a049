//! Tracks the confirmed commits of each session, which the session's later reads have to see.
use crate::history::{History, Outcome, Request};
use crate::time::Micros;
use std::collections::HashMap;

/// A session and a replication group, as the key of the session's last commit in that group.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct SessionGroup {
    session: u64,
    group: usize,
}

/// The last confirmed commits by session and group, read from the history.
#[derive(Default)]
pub(super) struct SessionCommits {
    last_commits: HashMap<SessionGroup, Micros>,
    /// The session of each write, by request id.
    write_sessions: HashMap<u64, u64>,
    /// The number of requests at the start of the history that need not be read again.
    read_requests: usize,
}

impl SessionCommits {
    /// Records that a session sends a write.
    pub(super) fn add_write(&mut self, request: u64, session: u64) {
        self.write_sessions.insert(request, session);
    }

    /// Returns the last commit of a session in a group that was confirmed to the client.
    pub(super) fn last_commit(&mut self, session: u64, group: usize, history: &History) -> Option<Micros> {
        self.read_history(history);
        self.last_commits.get(&SessionGroup { session, group }).copied()
    }

    fn read_history(&mut self, history: &History) {
        let unread = &history.requests[self.read_requests..];
        for request in unread {
            if let Some(ran_at) = ran_at(request, history) {
                self.add_commit(request, ran_at);
            }
        }
        // Pending requests are read again, because they may still be served.
        self.read_requests += unread.iter().take_while(|request| request.outcome != Outcome::Pending).count();
    }

    fn add_commit(&mut self, request: &Request, ran_at: Micros) {
        let Some(session) = self.write_sessions.get(&request.id).copied() else { return };
        let key = SessionGroup { session, group: request.group };
        let last = self.last_commits.entry(key).or_insert(ran_at);
        *last = ran_at.max(*last);
    }
}

/// Returns when the attempt that produced a response was executed. The value of the response ends with the
/// attempt's index.
fn ran_at(request: &Request, history: &History) -> Option<Micros> {
    let Outcome::Served(value) = &request.outcome else { return None };
    let index: usize = value.rsplit('.').next()?.parse().ok()?;
    history.attempts.get(index)?.ran_at
}
