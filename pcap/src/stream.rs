//! The bytes of one direction of a TCP connection in order: segments that are repeated, early or overlapping are put
//! where they belong.
use crate::segment::Segment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes that may wait for a gap before them to close.
const MAX_EARLY_BYTES: usize = 8 << 20;

/// A segment that waits for those before it.
struct EarlySegment {
    captured_at: Duration,
    bytes: Vec<u8>,
}

/// When the bytes up to a position were complete.
struct Progress {
    position: usize,
    captured_at: Duration,
}

/// One direction of a connection.
#[derive(Default)]
pub struct Stream {
    /// The sequence number of the next byte in order; `None` before the first.
    next_sequence: Option<u32>,
    /// Early segments by their sequence number.
    early: BTreeMap<u32, EarlySegment>,
    early_bytes: usize,
    /// The bytes in order.
    bytes: Vec<u8>,
    progress: Vec<Progress>,
    begin_missing: bool,
}

impl Stream {
    /// The bytes in order, up to the first that is missing.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the capture began after the connection.
    pub fn begin_missing(&self) -> bool {
        self.begin_missing
    }

    /// Whether segments are missing before some that were captured.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// When the byte before this position was captured.
    pub fn captured_at(&self, position: usize) -> Duration {
        let index = self.progress.partition_point(|progress| progress.position < position);
        let progress = self.progress.get(index).or(self.progress.last());
        progress.map_or(Duration::ZERO, |progress| progress.captured_at)
    }

    /// Adds a segment.
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
            self.begin_missing = true;
            sequence
        });
        // Sequence numbers wrap: more than half of their range ahead is behind.
        let ahead = sequence.wrapping_sub(next);
        let too_far_ahead = ahead as usize > MAX_EARLY_BYTES && (ahead as i32) > 0;
        if too_far_ahead || self.early_bytes + bytes.len() > MAX_EARLY_BYTES {
            return;
        }
        self.early_bytes += bytes.len();
        self.early.insert(sequence, EarlySegment { captured_at, bytes });
        self.append_due_segments();
    }

    /// Appends the early segments that no byte is missing before.
    fn append_due_segments(&mut self) {
        while let Some(next) = self.next_sequence {
            let is_due = |sequence: &u32| next.wrapping_sub(*sequence) as i32 >= 0;
            let Some(sequence) = self.early.keys().copied().find(is_due) else { return };
            let Some(EarlySegment { captured_at, bytes }) = self.early.remove(&sequence) else { return };
            self.early_bytes -= bytes.len();
            // Bytes that are there already are skipped.
            let known = next.wrapping_sub(sequence) as usize;
            if let Some(new) = bytes.get(known..).filter(|new| !new.is_empty()) {
                self.bytes.extend_from_slice(new);
                self.progress.push(Progress { position: self.bytes.len(), captured_at });
                self.next_sequence = Some(next.wrapping_add(new.len() as u32));
            }
        }
    }
}
