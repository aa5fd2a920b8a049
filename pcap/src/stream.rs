//! Reassembles one direction of a TCP connection. Segments may be retransmitted, out of order or overlapping.
use crate::segment::Segment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of bytes that are buffered until the gap before them is filled.
const MAX_PENDING_BYTES: usize = 8 << 20;

/// A segment that is buffered because bytes before it are missing.
struct PendingSegment {
    captured_at: Duration,
    bytes: Vec<u8>,
}

/// Time at which the stream was complete up to an offset.
struct Progress {
    offset: usize,
    captured_at: Duration,
}

/// Reassembled bytes of one direction of a TCP connection.
#[derive(Default)]
pub struct Stream {
    /// Sequence number of the next byte. `None` before the first segment.
    next_sequence: Option<u32>,
    /// Buffered segments by sequence number.
    pending: BTreeMap<u32, PendingSegment>,
    pending_bytes: usize,
    /// Bytes that have been reassembled from segments.
    bytes: Vec<u8>,
    progress: Vec<Progress>,
    start_missing: bool,
}

impl Stream {
    /// Returns the reassembled bytes up to the first missing one.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether the capture started after the connection was opened.
    pub fn start_missing(&self) -> bool {
        self.start_missing
    }

    /// Returns whether bytes are missing before a captured segment.
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the time at which the byte before `offset` was captured.
    pub fn captured_at(&self, offset: usize) -> Duration {
        let index = self.progress.partition_point(|progress| progress.offset < offset);
        let progress = self.progress.get(index).or(self.progress.last());
        progress.map_or(Duration::ZERO, |progress| progress.captured_at)
    }

    /// Adds a captured segment to the stream.
    pub fn add(&mut self, captured_at: Duration, segment: Segment) {
        let Segment { sequence, syn, bytes, .. } = segment;
        if syn {
            self.next_sequence = Some(sequence.wrapping_add(1));
            return;
        }
        if bytes.is_empty() {
            return;
        }
        let next = *self.next_sequence.get_or_insert_with(|| {
            self.start_missing = true;
            sequence
        });
        // Sequence numbers wrap around: a difference of more than half their range is negative.
        let ahead = sequence.wrapping_sub(next);
        let too_far_ahead = ahead as usize > MAX_PENDING_BYTES && (ahead as i32) > 0;
        if too_far_ahead || self.pending_bytes + bytes.len() > MAX_PENDING_BYTES {
            return;
        }
        self.pending_bytes += bytes.len();
        self.pending.insert(sequence, PendingSegment { captured_at, bytes });
        self.append_contiguous_segments();
    }

    /// Appends the buffered segments that have no missing bytes before them.
    fn append_contiguous_segments(&mut self) {
        while let Some(next) = self.next_sequence {
            let is_contiguous = |sequence: &u32| next.wrapping_sub(*sequence) as i32 >= 0;
            let Some(sequence) = self.pending.keys().copied().find(is_contiguous) else { return };
            let Some(PendingSegment { captured_at, bytes }) = self.pending.remove(&sequence) else {
                return;
            };
            self.pending_bytes -= bytes.len();
            // Skip bytes that earlier segments contained.
            let overlap = next.wrapping_sub(sequence) as usize;
            if let Some(new) = bytes.get(overlap..).filter(|new| !new.is_empty()) {
                self.bytes.extend_from_slice(new);
                self.progress.push(Progress { offset: self.bytes.len(), captured_at });
                self.next_sequence = Some(next.wrapping_add(new.len() as u32));
            }
        }
    }
}
