//! Closing a connection gracefully: the end of stream follows the last response, without a reset that could
//! discard that response.
use super::{Connection, MIN_READ_WAIT, WRITE_OPEN};
use crate::shutdown::ClosePolicy;
use routing::reasons::CloseReason;
use routing::socket::{DeadlineReader, is_idle_and_open};
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Size of the buffer into which unread bytes are read to be discarded.
const DISCARD_BUFFER_BYTES: usize = 8192;

impl Connection {
    /// Returns whether the connection is no longer read. Commands that were read still get their responses,
    /// then the connection closes. A connection that has read no command yet is read once, so that a client's
    /// health check gets its response.
    pub fn reading_stopped(&self) -> bool {
        self.shared.close_policy() == ClosePolicy::StopReading && self.has_read_command.load(Ordering::SeqCst)
    }

    /// Shuts down the sending side after all bytes written so far; no command is accepted from here on. The
    /// receiving side stays open: once both are shut down, the kernel responds to bytes that still arrive
    /// with a reset, and a reset may discard the last response.
    pub fn shut_down_write(&self) {
        self.commands.close();
        let now = self.opened_at.elapsed().as_millis() as u64;
        _ = self.write_shutdown_ms.compare_exchange(WRITE_OPEN, now, Ordering::SeqCst, Ordering::SeqCst);
        // An error means that the socket is closed already.
        _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Closes the connection for its reader and its writer: a reader that waits for the client returns.
    pub fn close(&self) {
        // Closing to commands has to precede this check: a reader that sets `reader_waiting` after the check
        // then sees that the connection is closed before it blocks.
        self.shut_down_write();
        if self.reader_waiting.load(Ordering::SeqCst) {
            self.shut_down_both();
        }
    }

    /// Shuts down both directions immediately, without waiting for the client.
    pub(crate) fn shut_down_both(&self) {
        self.shut_down_write();
        if !self.closed.swap(true, Ordering::SeqCst) {
            _ = self.socket.shutdown(Shutdown::Both);
        }
    }

    /// Closes the connection after a rejection that was written without blocking. Bytes that the client has
    /// sent so far are discarded first: closing a socket with unread bytes sends a reset, which may discard
    /// the rejection.
    pub(crate) fn close_after_rejection(&self) {
        self.shut_down_write();
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        let mut bytes_left = self.limits.max_client_linger_bytes;
        if self.socket.set_nonblocking(true).is_err() {
            return;
        }
        while bytes_left > 0 {
            match (&self.socket).read(&mut discarded) {
                Ok(0) => return,
                Ok(n) => bytes_left = bytes_left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Shuts down the sending side if no command is in flight.
    pub(super) fn shut_down_write_if_idle(&self) {
        if self.commands.permit_idle_close().is_ok() {
            self.set_close_reason(CloseReason::ShuttingDown);
            self.shut_down_write();
        }
    }

    /// Shuts down the sending side, then reads and discards until the client closes its side, limited by
    /// [`settings::Limits::client_linger_timeout`] and [`settings::Limits::max_client_linger_bytes`]. Closing
    /// a socket with unread bytes sends a reset, which may discard the last response.
    pub(crate) fn linger(&self) {
        self.shut_down_write();
        let shutdown_at = self.write_shutdown_at().unwrap_or_else(Instant::now);
        let deadline = (shutdown_at + self.limits.client_linger_timeout).max(Instant::now() + MIN_READ_WAIT);
        let mut bytes_left = self.limits.max_client_linger_bytes;
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while bytes_left > 0 && !self.closed.load(Ordering::SeqCst) {
            match DeadlineReader::new(&self.socket, deadline).read(&mut discarded) {
                Ok(0) => return,
                Ok(n) => bytes_left = bytes_left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Closes the connection if the close policy requires it now. A connection with commands in flight closes
    /// after the last response, in [`Connection::finish_command`]. The receiving side is not shut down to
    /// wake the reader, because that would look like a disconnect of the client.
    pub(crate) fn apply_close_policy(&self) {
        if self.commands.is_closed() {
            return self.end_linger();
        }
        let expects_first_command = !self.has_read_command.load(Ordering::SeqCst)
            && self.opened_at.elapsed() < self.limits.draining_first_request_timeout;
        if !expects_first_command && self.may_close_when_idle() {
            self.shut_down_write_if_idle();
        }
    }

    /// Shuts down both directions once the reader of a closed connection has waited for the client to close
    /// for the linger timeout.
    fn end_linger(&self) {
        let lingered =
            self.write_shutdown_at().is_some_and(|at| at.elapsed() >= self.limits.client_linger_timeout);
        if lingered && self.commands.count() == 0 {
            self.shut_down_both();
        }
    }

    /// Returns whether the connection is to close as soon as no command is in flight.
    pub(super) fn may_close_when_idle(&self) -> bool {
        match self.shared.close_policy() {
            ClosePolicy::KeepOpen => false,
            // Bytes that were read or are waiting in the socket belong to a command that has to be executed;
            // the rest of it may still be on its way.
            ClosePolicy::CloseWhenIdle => !self.command_started.load(Ordering::SeqCst) && self.has_no_input(),
            // Whole commands that have been read are executed. A reader that waits for the socket holds no
            // whole command.
            ClosePolicy::StopReading => {
                self.reader_waiting.load(Ordering::SeqCst) || !self.command_started.load(Ordering::SeqCst)
            }
        }
    }

    /// Returns whether bytes that arrive from now on are left unread.
    pub(super) fn is_closed_to_reads(&self) -> bool {
        self.commands.is_closed() || self.reading_stopped()
    }

    /// Returns whether the socket is open with no bytes to read.
    pub(super) fn has_no_input(&self) -> bool {
        is_idle_and_open(&self.socket)
    }

    /// Returns when the sending side was shut down; `None` while it is open.
    fn write_shutdown_at(&self) -> Option<Instant> {
        let ms = self.write_shutdown_ms.load(Ordering::SeqCst);
        (ms != WRITE_OPEN).then(|| self.opened_at + Duration::from_millis(ms))
    }
}
