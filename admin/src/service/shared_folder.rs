//! The folder that the processes of one router share: the stored state, and the presence of each process.
use super::shared_commits::SharedCommits;
use maintenance::{ProcessPresence, SharedFolderError, State, StateFile};
use std::path::Path;

/// The initial state of a process.
pub(super) struct StoredState {
    pub(super) state: State,
    /// The shared folder; `None` if the state is lost when this process ends.
    pub(super) shared: Option<SharedFolder>,
}

/// This process's handles on the folder that the processes of this router share.
pub(super) struct SharedFolder {
    pub(super) state_file: StateFile,
    pub(super) presence: ProcessPresence,
    /// Whether this process has marked itself as ready, or as shutting down, after which it never becomes
    /// ready.
    marked: bool,
}

impl SharedFolder {
    /// Reads the stored state, registers this process, and joins the exchange of session commits. Errors are
    /// logged: the state is then initially empty, or lost when this process ends.
    pub(super) fn open(folder: Option<&Path>, commits: Option<&SharedCommits>) -> StoredState {
        let Some(folder) = folder else {
            tracing::warn!("maintenance state not shared, it is lost when this process ends; set $TMPDIR");
            return StoredState { state: State::default(), shared: None };
        };
        // The first process of the router creates the folder.
        let has_predecessor = folder.exists();
        let state_file = match StateFile::open(folder) {
            Ok(file) => file,
            Err(error) => return StoredState { state: State::default(), shared: not_shared(&error) },
        };
        let state = read_or_default(&state_file);
        let shared = match ProcessPresence::register(folder, std::process::id()) {
            Ok(presence) => {
                if let Some(commits) = commits {
                    commits.join(folder, &presence, has_predecessor);
                }
                Some(SharedFolder { state_file, presence, marked: false })
            }
            Err(error) => not_shared(&error),
        };
        StoredState { state, shared }
    }

    /// Marks this process as accepting clients, unless it was marked before.
    pub(super) fn mark_ready_once(&mut self) {
        if self.marked {
            return;
        }
        self.marked = true;
        if let Err(error) = self.presence.mark_ready() {
            tracing::error!(%error, "process not marked as ready");
        }
    }

    /// Returns whether this process has been marked as ready or as shutting down.
    pub(super) fn is_marked(&self) -> bool {
        self.marked
    }

    /// Marks this process as no longer accepting clients.
    pub(super) fn mark_shutting_down(&mut self) {
        self.marked = true;
        if let Err(error) = self.presence.mark_not_ready() {
            tracing::error!(%error, "process not marked as shutting down");
        }
    }
}

fn not_shared(error: &SharedFolderError) -> Option<SharedFolder> {
    tracing::error!(%error, "maintenance state not shared, it is lost when this process ends");
    None
}

fn read_or_default(file: &StateFile) -> State {
    match file.lock().and_then(|mut locked| locked.read()) {
        Ok(state) => state.unwrap_or_default(),
        Err(error) => {
            tracing::error!(%error, "maintenance state not read, starting with an empty one");
            State::default()
        }
    }
}
