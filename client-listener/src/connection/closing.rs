//! How a connection closes: in order, behind the last response, without a reset that could discard that response.
use super::{Connection, MIN_READ_WAIT, WRITE_OPEN};
use crate::shutdown::ClosePolicy;
use routing::reasons::CloseReason;
use routing::socket::{DeadlineReader, is_idle_and_open};
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Size of the buffer that unread bytes are discarded through.
const DISCARD_BUFFER_BYTES: usize = 8192;

impl Connection {
    /// Whether nothing more is read: commands that were read get their response, then the connection closes. A
    /// connection that has read no command yet is read once, so that a client's health check gets its response.
    pub fn reading_stopped(&self) -> bool {
        self.shared.close_policy() == ClosePolicy::StopReading && self.has_read_command.load(Ordering::SeqCst)
    }

    /// Shuts the sending side down, behind all that was written; no command is accepted from here on. The receiving
    /// side stays open: once both are shut down, bytes that still arrive are answered with a reset, and a reset may
    /// discard the last response.
    pub fn shut_down_write(&self) {
        self.commands.close();
        let now = self.opened_at.elapsed().as_millis() as u64;
        _ = self.write_shutdown_ms.compare_exchange(WRITE_OPEN, now, Ordering::SeqCst, Ordering::SeqCst);
        // An error means that it is closed already.
        _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Closes the connection for both its threads: a reader that waits for the client stops waiting.
    pub fn close(&self) {
        // The mark comes first: a reader that is not seen to wait sees the mark before it waits.
        self.shut_down_write();
        if self.reader_waiting.load(Ordering::SeqCst) {
            self.shut_down_both();
        }
    }

    /// Shuts both sides down at once, without waiting for the client.
    pub(crate) fn shut_down_both(&self) {
        self.shut_down_write();
        if !self.closed.swap(true, Ordering::SeqCst) {
            _ = self.socket.shutdown(Shutdown::Both);
        }
    }

    /// Closes behind a rejection that was written without waiting. What the client has sent by now is discarded first:
    /// closed over unread bytes the connection would be reset, and the rejection lost.
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

    /// Shuts the sending side down if nothing is in flight.
    pub(super) fn shut_down_write_if_idle(&self) {
        if self.commands.permit_idle_close().is_ok() {
            self.set_close_reason(CloseReason::ShuttingDown);
            self.shut_down_write();
        }
    }

    /// Shuts the sending side down, then reads and discards until the client closes too, up to
    /// [`settings::Limits::client_linger_timeout`] and [`settings::Limits::max_client_linger_bytes`]. Closed over unread bytes the
    /// connection would be reset, and a reset may discard the last response.
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

    /// Closes the connection as far as the close policy asks for it now. One with commands in flight closes with the
    /// last response, in [`Connection::finish_command`]. The receiving side is not shut down to wake the reader: that
    /// would look like a client that disconnects.
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

    /// Shuts both sides down once the reader of a closed connection has waited long enough for the client to close.
    fn end_linger(&self) {
        let lingered =
            self.write_shutdown_at().is_some_and(|at| at.elapsed() >= self.limits.client_linger_timeout);
        if lingered && self.commands.count() == 0 {
            self.shut_down_both();
        }
    }

    /// Whether the connection closes as soon as nothing is in flight.
    pub(super) fn may_close_when_idle(&self) -> bool {
        match self.shared.close_policy() {
            ClosePolicy::KeepOpen => false,
            // What has been read, or waits to be, is carried out; the rest of a command may be on its way.
            ClosePolicy::CloseWhenIdle => !self.command_started.load(Ordering::SeqCst) && self.is_silent(),
            // Whole commands that have been read are carried out. A reader that waits holds no whole command.
            ClosePolicy::StopReading => {
                self.reader_waiting.load(Ordering::SeqCst) || !self.command_started.load(Ordering::SeqCst)
            }
        }
    }

    /// Whether bytes that arrive now are not read any more.
    pub(super) fn is_closed_to_reads(&self) -> bool {
        self.commands.is_closed() || self.reading_stopped()
    }

    /// Whether the connection is open and nothing waits to be read.
    pub(super) fn is_silent(&self) -> bool {
        is_idle_and_open(&self.socket)
    }

    /// When the sending side was shut down.
    fn write_shutdown_at(&self) -> Option<Instant> {
        let ms = self.write_shutdown_ms.load(Ordering::SeqCst);
        (ms != WRITE_OPEN).then(|| self.opened_at + Duration::from_millis(ms))
    }
}
