//! Memory of the response that a connection reads.
use client_listener::memory::{ClientMemory, ResponseMemory};
use settings::Limits;
use std::time::Instant;

/// Memory up to which a response counts as part of its connection, in bytes.
const SHORT_RESPONSE_BYTES: usize = 8 * 1024;
/// Memory of a payload besides its bytes: its entry in the list of payloads, and what the allocator adds.
const PAYLOAD_RECORD_BYTES: usize = 64;

/// Denominator of the part of the pool that the first reservations of all connections to servers take at most.
const FIRST_STEP_DIVISOR: usize = 4;

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
    /// The length of a response is not known before its end. The first reservation is so small that those of all connections
    /// leave most of the pool free; a longer response then reserves as much as the longest one needs. So responses do not
    /// wait for each other while each holds a part, and those of usual length do not wait for long ones.
    pub(super) fn add_payload(&mut self, payload_bytes: usize, limits: &Limits) -> bool {
        self.used_bytes += payload_bytes + PAYLOAD_RECORD_BYTES;
        let reserved_bytes = self.reserved.as_ref().map_or(SHORT_RESPONSE_BYTES, ResponseMemory::bytes);
        if self.used_bytes <= reserved_bytes {
            return true;
        }
        let pool_bytes = self.client.pool().size();
        let first_step = pool_bytes / FIRST_STEP_DIVISOR / limits.max_backend_connections.max(1);
        let whole = limits.max_response_bytes.max(2 * self.used_bytes).min(pool_bytes);
        let bytes = if self.used_bytes <= first_step { first_step } else { whole };
        match &mut self.reserved {
            // The response has all memory that there is.
            Some(reserved) if bytes <= reserved.bytes() => false,
            Some(reserved) => reserved.grow_to(bytes, self.deadline),
            None => {
                self.reserved = self.client.reserve_response(bytes, self.deadline);
                self.reserved.is_some()
            }
        }
    }

    /// Returns what the complete response needs of the reserved memory.
    pub(super) fn into_memory(self) -> Option<ResponseMemory> {
        let mut memory = self.reserved?;
        memory.shrink_to(self.used_bytes);
        Some(memory)
    }
}
