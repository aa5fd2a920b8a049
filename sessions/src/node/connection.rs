//! A connection between instances: its socket and the bounded queue of outgoing frames.
use crate::frames::{self, Frame};
use crate::machine::Push;
use crossbeam_channel::{Receiver, Sender, bounded};
use settings::Limits;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Approximate maximum number of bytes that are written at once.
const MAX_WRITE_BYTES: usize = 1 << 20;

static NEXT_CONNECTION_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A connection to or from a peer. Outgoing frames wait in a bounded queue.
pub(super) struct Connection {
    /// Distinguishes this connection from older ones with the same peer.
    pub(super) number: u64,
    pub(super) socket: Arc<TcpStream>,
    queue: Sender<Frame>,
}

impl Connection {
    /// Creates a connection on a socket. Returns it with the receiving end of its queue of outgoing frames.
    pub(super) fn open(socket: TcpStream, limits: &Limits) -> io::Result<(Connection, Receiver<Frame>)> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(limits.session_peer_timeout))?;
        socket.set_write_timeout(Some(limits.session_peer_timeout))?;
        let (queue, queued) = bounded(limits.max_queued_session_frames);
        let number = NEXT_CONNECTION_NUMBER.fetch_add(1, Ordering::Relaxed);
        Ok((Connection { number, socket: Arc::new(socket), queue }, queued))
    }

    /// Queues a frame. If the queue is full because the peer reads too slowly, closes the connection; missing
    /// commits are sent again after a reconnect.
    pub(super) fn send(&self, frame: Frame) {
        if self.queue.try_send(frame).is_err() {
            self.close();
        }
    }

    pub(super) fn close(&self) {
        close(&self.socket);
    }
}

/// Closes a socket. Errors are ignored, since the socket may already be closed.
pub(super) fn close(socket: &TcpStream) {
    _ = socket.shutdown(Shutdown::Both);
}

/// Writes queued frames in batches until the queue is closed or the socket fails.
pub(super) fn write_queued(
    mut socket: &TcpStream,
    queued: &Receiver<Frame>,
    max_entries: usize,
) -> io::Result<()> {
    for first in queued {
        let mut bytes = Vec::new();
        let mut next = Some(first);
        while let Some(mut frame) = next {
            next = queued.try_recv().ok();
            while merge_commits(&mut frame, &mut next, max_entries) {
                next = queued.try_recv().ok();
            }
            frames::encode(&frame, &mut bytes)?;
            if bytes.len() > MAX_WRITE_BYTES && next.is_some() {
                socket.write_all(&bytes)?;
                bytes.clear();
            }
        }
        socket.write_all(&bytes)?;
    }
    Ok(())
}

/// Merges the commits of the next frame into this one, if both have commits. Returns whether they were
/// merged.
fn merge_commits(frame: &mut Frame, next: &mut Option<Frame>, max_entries: usize) -> bool {
    if let Frame::Push(Push::Commits { entries, .. }) = frame
        && entries.len() < max_entries
        && let Some(Frame::Push(Push::Commits { entries: more, .. })) = next
    {
        entries.append(more);
        return true;
    }
    false
}
