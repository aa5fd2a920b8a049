//! An instance's status for operators, as JSON.
use super::sessions::Sessions;
use crate::commit_cache::CommitCache;
use crate::error::StatusError;
use crate::frames::{self, Frame};
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum size of a received status in bytes.
const MAX_STATUS_BYTES: usize = 1 << 20;

impl Sessions {
    /// Returns the status as JSON. Its keys are documented for operators and must not change.
    pub(super) fn status(&self) -> String {
        let now = self.clock.now();
        let state = self.lock();
        let machine = &state.machine;
        json!({
            "instance": self.settings.instance,
            "incarnation": machine.incarnation(),
            "stopped": machine.not_serving().map(|reason| reason.to_string()),
            "sessions": machine.commits().len(),
            "sessions_bytes_most": CommitCache::max_table_bytes(self.settings.max_sessions),
            "folded": machine.commits().evicted_generations(),
            "floor_us": machine.floor().map(|at| at.0),
            "floor_due": machine.floor_pending(),
            "on_disk": machine.durable(),
            "journal_bytes": self.journal_bytes.load(Ordering::Relaxed),
            "syncs": self.journal_syncs.load(Ordering::Relaxed),
            "commits": machine.last_seq(),
            "writes_waiting": machine.pending_ack_count(),
            "reads": state.reads,
            "reads_of_the_present": state.full_freshness_reads,
            "relies_on_all": machine.peers_up_to_date(now),
            "peers": machine.peer_statuses(now),
        })
        .to_string()
    }
}

/// Requests the status of a running instance, as JSON.
///
/// # Errors
/// [`StatusError::Unreachable`] if the instance can't be reached or does not respond in time,
/// [`StatusError::NotAnInstance`] if another program listens on the address.
pub fn request_status(addr: SocketAddr, timeout: Duration) -> Result<String, StatusError> {
    let failed = |source| StatusError::Unreachable { addr, source };
    let socket = TcpStream::connect_timeout(&addr, timeout).map_err(failed)?;
    socket.set_read_timeout(Some(timeout)).map_err(failed)?;
    frames::write(&socket, &Frame::StatusRequest).map_err(failed)?;
    match frames::read(&socket, MAX_STATUS_BYTES).map_err(failed)? {
        Frame::Status(status) => Ok(status),
        _ => Err(StatusError::NotAnInstance(addr)),
    }
}
