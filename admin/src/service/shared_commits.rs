//! Session commits that the processes of this router share, with times converted to and from the router's clock.
use commit_exchange::{CommitExchange, ServedBefore, SharedCommit};
use maintenance::{OtherProcess, ProcessPresence};
use routing::{CommitSharing, PeerCommits, SessionCommit, Time, WallClock};
use std::path::Path;

/// Shares session commits through the folder of the router's processes.
pub struct SharedCommits {
    exchange: CommitExchange,
    wall_clock: WallClock,
}

impl SharedCommits {
    /// Creates an exchange that shares nothing until the service has opened the shared folder. `wall_clock`
    /// converts the times of commits.
    pub fn new(wall_clock: WallClock) -> SharedCommits {
        SharedCommits { exchange: CommitExchange::default(), wall_clock }
    }

    /// Joins the processes that share `folder`. `has_predecessor` is whether the router may have run before.
    pub(super) fn join(&self, folder: &Path, presence: &ProcessPresence, has_predecessor: bool) {
        self.exchange.join(folder, presence.name(), has_predecessor);
    }

    /// Handles a count of the router's other processes.
    pub(super) fn update_processes(&self, others: &[OtherProcess], served: ServedBefore) {
        let names = others.iter().map(|process| process.name.clone()).collect();
        if let Err(error) = self.exchange.update_processes(&names, served) {
            tracing::warn!(%error, "session commits not shared with other processes, retrying");
        }
    }

    /// Returns whether this process receives the commits of each other process.
    pub(super) fn all_peers_publish(&self) -> bool {
        self.exchange.all_peers_publish()
    }
}

impl CommitSharing for SharedCommits {
    fn publish(&self, SessionCommit { group, session, commit }: SessionCommit) {
        let commit_us = self.wall_clock.to_unix(commit).0;
        if let Err(error) = self.exchange.publish(&SharedCommit { group, session, commit_us }) {
            tracing::warn!(%error, "session commits not shared with other processes, retrying");
        }
    }

    fn receive(&self) -> PeerCommits {
        let received = self.exchange.receive();
        let to_local = |shared: &SharedCommit| SessionCommit {
            group: shared.group,
            session: shared.session,
            commit: self.wall_clock.commit(Time(shared.commit_us)),
        };
        PeerCommits {
            commits: received.commits.iter().map(to_local).collect(),
            commits_missing: received.commits_missing,
        }
    }
}
