//! Records of a request that was served in 50 ms, which tests modify.
use soak::class::Class;
use soak::history::{Attempt, Outcome, Request};
use soak::time::SECOND;

/// Returns a write that was sent at 10 s and served.
pub(crate) fn request(id: u64) -> Request {
    Request {
        id,
        router: 0,
        connection: 1,
        connected_at: 0,
        sequence: 0,
        class: Class::Write,
        group: 0,
        sent_at: 10 * SECOND,
        timeout: SECOND,
        required_commit: None,
        outcome: Outcome::Served(format!("{id:x}.0.0")),
        ended_at: 10 * SECOND + 50_000,
        cancelled_at: None,
    }
}

/// Returns the attempt in which a server executed the write with this id.
pub(crate) fn attempt(id: u64, server: usize) -> Attempt {
    Attempt {
        id,
        router: 0,
        server,
        first_byte_at: 10 * SECOND + 10_000,
        last_byte_at: 10 * SECOND + 10_000,
        reached_at: Some(10 * SECOND + 10_000),
        timeout_ms: 985,
        ran_at: Some(10 * SECOND + 30_000),
        position: 10 * SECOND,
        was_primary: false,
    }
}
