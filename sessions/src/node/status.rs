//! What an instance reports of itself to operators, as JSON.
use super::Sessions;
use crate::commit_cache::CommitCache;
use crate::error::AskError;
use crate::frames::{self, Frame};
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The longest status that is read.
const MAX_STATUS_BYTES: usize = 1 << 20;

impl Sessions {
    /// The keys are documented for operators and stay.
    pub(super) fn status(&self) -> String {
        let now = self.clock.now();
        let state = self.lock();
        let machine = &state.machine;
        json!({
            "instance": self.settings.instance,
            "incarnation": machine.incarnation(),
            "stopped": machine.stopped().map(|why| why.to_string()),
            "sessions": machine.kept().len(),
            "sessions_bytes_most": CommitCache::bound_bytes(self.settings.max_sessions),
            "folded": machine.kept().folded(),
            "floor_us": machine.floor().map(|at| at.0),
            "floor_due": machine.floor_due(),
            "on_disk": machine.durable(),
            "journal_bytes": self.journal_bytes.load(Ordering::Relaxed),
            "syncs": self.syncs.load(Ordering::Relaxed),
            "commits": machine.seq(),
            "writes_waiting": machine.waiting(),
            "reads": state.reads,
            "reads_of_the_present": state.present_reads,
            "relies_on_all": machine.peers_up_to_date(now),
            "peers": machine.peer_statuses(now),
        })
        .to_string()
    }
}

/// Asks a running instance for its status, as JSON.
///
/// # Errors
/// [`AskError::Away`] where it can't be reached or does not answer in time, [`AskError::Other`] where something else
/// listens there.
pub fn ask(addr: SocketAddr, timeout: Duration) -> Result<String, AskError> {
    let failed = |source| AskError::Away { addr, source };
    let socket = TcpStream::connect_timeout(&addr, timeout).map_err(failed)?;
    socket.set_read_timeout(Some(timeout)).map_err(failed)?;
    frames::write(&socket, &Frame::Show).map_err(failed)?;
    match frames::read(&socket, MAX_STATUS_BYTES).map_err(failed)? {
        Frame::Shown(status) => Ok(status),
        _ => Err(AskError::Other(addr)),
    }
}
