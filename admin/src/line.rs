//! Buffer for a command line that is received in several reads.

/// The part of the line received so far.
#[derive(Default)]
pub(crate) struct LineBuffer {
    received: Vec<u8>,
}

/// How much of a line has been received.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineStatus {
    /// The line end has not been received.
    Incomplete,
    /// The line end has been received.
    Complete,
    /// The line exceeds the limit; the part beyond the limit was not stored.
    TooLong,
}

impl LineBuffer {
    /// Appends received bytes up to the line end.
    pub(crate) fn push(&mut self, received: &[u8], max_line_bytes: usize) -> LineStatus {
        let end = received.iter().position(|&b| b == b'\n');
        let part = &received[..end.unwrap_or(received.len())];
        // The received line may be one byte longer than the limit, as its last byte may be the `\r` before
        // the `\n`.
        if self.received.len() + part.len() > max_line_bytes + 1 {
            return LineStatus::TooLong;
        }
        self.received.extend_from_slice(part);
        if end.is_some() { LineStatus::Complete } else { LineStatus::Incomplete }
    }

    /// Returns the line without its line end.
    pub(crate) fn content(&self) -> &[u8] {
        self.received.strip_suffix(b"\r").unwrap_or(&self.received)
    }
}
