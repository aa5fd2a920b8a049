//! Interface through which the router actor shares the commits of sessions with other processes of this router.
use decision::{GroupId, SessionId, Time};

/// The commit of a session's write. Its time is on the router's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCommit {
    /// The group of the write.
    pub group: GroupId,
    /// The session of the write.
    pub session: SessionId,
    /// The commit time.
    pub commit: Time,
}

/// Commits that other processes of this router have served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerCommits {
    /// Commits that became known since the last call.
    pub commits: Vec<SessionCommit>,
    /// Whether other commits may have been served since the last call and until now.
    pub commits_missing: bool,
}

/// Shares the commits of sessions between the processes of one router. Called by the router actor, which must not be
/// blocked for long.
pub trait CommitSharing: Send + Sync {
    /// Makes a commit known to the other processes. Called before the client gets the response to the write.
    fn publish(&self, commit: SessionCommit);

    /// Returns the commits that the other processes have served. Called before a session's read is routed.
    fn receive(&self) -> PeerCommits;
}
