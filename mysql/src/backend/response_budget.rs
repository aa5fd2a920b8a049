//! Memory of the response that a connection reads.
use client_listener::memory::{ClientMemory, ResponseMemory};
use std::time::Instant;

/// Memory up to which a response counts as part of its connection, in bytes.
const SHORT_RESPONSE_BYTES: usize = 8 * 1024;
/// Memory of a payload besides its bytes: its entry in the list of payloads, and what the allocator adds.
const PAYLOAD_RECORD_BYTES: usize = 64;

/// Counts the memory of a response and reserves it on the account of its client.
pub(super) struct ResponseBudget {
    client: ClientMemory,
    /// Time until which the response is of use, and waits for memory.
    deadline: Instant,
    used_bytes: usize,
    reserved: Option<ResponseMemory>,
}

impl ResponseBudget {
    pub(super) fn new(client: &ClientMemory, deadline: Instant) -> ResponseBudget {
        ResponseBudget { client: client.clone(), deadline, used_bytes: 0, reserved: None }
    }

    /// Counts one more payload. Returns `false` if there is no memory for it by the deadline.
    ///
    /// The length of a response is not known before its end. One that is not short reserves `max_response_bytes` at once,
    /// so that responses do not wait for each other while each holds a part.
    pub(super) fn add_payload(&mut self, payload_bytes: usize, max_response_bytes: usize) -> bool {
        self.used_bytes += payload_bytes + PAYLOAD_RECORD_BYTES;
        let reserved_bytes = self.reserved.as_ref().map_or(SHORT_RESPONSE_BYTES, ResponseMemory::bytes);
        if self.used_bytes <= reserved_bytes {
            return true;
        }
        let bytes = max_response_bytes.max(2 * self.used_bytes).min(self.client.pool().size());
        if self.reserved.is_some() && bytes <= reserved_bytes {
            // The response has all memory that there is.
            return false;
        }
        self.reserved = None;
        self.reserved = self.client.reserve_response(bytes, self.deadline);
        self.reserved.is_some()
    }

    /// Returns what the complete response needs of the reserved memory.
    pub(super) fn into_memory(self) -> Option<ResponseMemory> {
        let mut memory = self.reserved?;
        memory.shrink_to(self.used_bytes);
        Some(memory)
    }
}
