//! The memory budget of a process: one pool from which everything that clients make the process hold is reserved, except
//! the fixed cost of a connection, which the connection limit bounds.
//!
//! Reserved are long messages while they are read, open requests, and the responses of servers from their arrival until
//! they are written to their clients. A client gets an error if there is no memory for its request, which has not run then.
//! A response waits for memory at the connection to its server, so that it is not lost after its request has run.
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Minimum interval between two log lines about used up memory.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Denominator of a pool's part that long messages cannot use, so that it is left for requests and responses.
const MESSAGE_RESERVE_DIVISOR: usize = 2;
/// Denominator of the part of a pool that the responses of one client may use.
const RESPONSE_SHARE_DIVISOR: usize = 16;

/// Memory that is available to clients, shared by all connections. The number of available bytes is negative
/// if the pool was made smaller than what is in use.
#[derive(Clone, Debug)]
pub struct MemoryPool(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when memory is released while a response waits for it.
    released: Condvar,
}

#[derive(Debug)]
struct State {
    size: usize,
    available_bytes: isize,
    /// Number of responses that wait for memory.
    waiting: usize,
    last_logged_at: Option<Instant>,
}

impl State {
    fn try_take(&mut self, bytes: usize, kept_free: usize) -> bool {
        let required = bytes.saturating_add(kept_free);
        let is_available = isize::try_from(required).is_ok_and(|required| required <= self.available_bytes);
        if is_available {
            self.available_bytes -= bytes as isize;
        }
        is_available
    }

    /// Logs that no memory was available for something of this length.
    fn log_refusal(&mut self, bytes: usize) {
        let now = Instant::now();
        if self.last_logged_at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            self.last_logged_at = Some(now);
            let (size, available) = (self.size, self.available_bytes);
            tracing::warn!(bytes, available, size, "memory for clients used up");
        }
    }
}

impl MemoryPool {
    /// Creates a pool of this many bytes, all of them available.
    pub fn new(bytes: usize) -> MemoryPool {
        let state = State { size: bytes, available_bytes: bytes as isize, waiting: 0, last_logged_at: None };
        MemoryPool(Arc::new(Shared { state: Mutex::new(state), released: Condvar::new() }))
    }

    /// Returns the available bytes; negative if the pool was made smaller than what is in use.
    pub fn available_bytes(&self) -> isize {
        self.state().available_bytes
    }

    /// Returns the size of the pool, in bytes.
    pub fn size(&self) -> usize {
        self.state().size
    }

    /// Increases the size of the pool by `bytes`, or decreases it if they are negative. Existing reservations
    /// are not affected.
    pub fn resize_by(&self, bytes: isize) {
        let mut state = self.state();
        state.size = state.size.saturating_add_signed(bytes);
        state.available_bytes += bytes;
        drop(state);
        self.0.released.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, bytes: usize) {
        let mut state = self.state();
        state.available_bytes += bytes as isize;
        if state.waiting > 0 {
            self.0.released.notify_all();
        }
    }
}

/// The part of a pool that the responses of one client use.
#[derive(Clone, Debug)]
pub struct ClientMemory {
    pool: MemoryPool,
    /// Bytes of the client's responses. Taken under the lock of the pool, and returned before the pool's bytes are.
    response_bytes: Arc<Mutex<usize>>,
}

impl ClientMemory {
    /// Creates the account of a client that has no responses.
    pub fn new(pool: &MemoryPool) -> ClientMemory {
        ClientMemory { pool: pool.clone(), response_bytes: Arc::default() }
    }

    /// Returns the pool from which this client's memory is reserved.
    pub fn pool(&self) -> &MemoryPool {
        &self.pool
    }

    /// Reserves memory for a response, and waits for it until the deadline. Returns `None` if there is none by then:
    /// the client does not read its earlier responses, or other clients use all memory.
    ///
    /// A client without any other response in memory gets more than its share if its response is longer.
    pub fn reserve_response(&self, bytes: usize, deadline: Instant) -> Option<ResponseMemory> {
        let mut memory = ResponseMemory { client: self.clone(), bytes: 0 };
        memory.grow_to(bytes, deadline).then_some(memory)
    }

    /// Takes bytes for a response that has `held` bytes already.
    fn try_take(&self, state: &mut State, bytes: usize, held: usize) -> bool {
        let mut used = self.response_bytes();
        let share = state.size / RESPONSE_SHARE_DIVISOR;
        let is_within_share = *used == held || *used + bytes <= share;
        let is_taken = is_within_share && state.try_take(bytes, 0);
        if is_taken {
            *used += bytes;
        }
        is_taken
    }

    fn response_bytes(&self) -> MutexGuard<'_, usize> {
        self.response_bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is reserved for a response, until this is dropped.
#[derive(Debug)]
pub struct ResponseMemory {
    client: ClientMemory,
    bytes: usize,
}

impl ResponseMemory {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to a total of `bytes`, and waits for the memory until the deadline. Returns `false`, and leaves
    /// the reservation unchanged, if there is none by then. A response that is longer than the pool gets all of it.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize, deadline: Instant) -> bool {
        let pool = self.client.pool.clone();
        let mut state = pool.state();
        let missing = bytes.min(state.size).saturating_sub(self.bytes);
        while !self.client.try_take(&mut state, missing, self.bytes) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                state.log_refusal(missing);
                return false;
            }
            state.waiting += 1;
            state = pool.0.released.wait_timeout(state, remaining).unwrap_or_else(PoisonError::into_inner).0;
            state.waiting -= 1;
        }
        self.bytes += missing;
        true
    }

    /// Returns what is reserved beyond `bytes` to the pool.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.release(surplus);
    }

    fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
        *self.client.response_bytes() -= bytes;
        self.client.pool.release(bytes);
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// Bytes that are reserved in a [`MemoryPool`], until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: MemoryPool,
    bytes: usize,
}

impl MemoryReservation {
    /// Creates a reservation of no bytes.
    pub fn new(pool: &MemoryPool) -> MemoryReservation {
        MemoryReservation { pool: pool.clone(), bytes: 0 }
    }

    /// Grows the reservation to a total of `bytes`. Returns `false`, and leaves the reservation unchanged, if
    /// the pool does not have enough bytes available.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow(bytes, |_| 0)
    }

    /// Grows the reservation of a message that is still read to a total of `bytes`. Returns `false`, and leaves the
    /// reservation unchanged, if the part of the pool that messages may use does not have enough bytes available.
    #[must_use]
    pub fn grow_message_to(&mut self, bytes: usize) -> bool {
        self.grow(bytes, |size| size / MESSAGE_RESERVE_DIVISOR)
    }

    fn grow(&mut self, bytes: usize, kept_free: impl Fn(usize) -> usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return true;
        }
        let mut state = self.pool.state();
        let kept_free = kept_free(state.size);
        let is_reserved = state.try_take(missing, kept_free);
        if is_reserved {
            self.bytes += missing;
        } else {
            state.log_refusal(missing);
        }
        is_reserved
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Moves what is reserved to another reservation; nothing is left in this one.
    #[must_use]
    pub fn take(&mut self) -> MemoryReservation {
        MemoryReservation { pool: self.pool.clone(), bytes: std::mem::take(&mut self.bytes) }
    }

    /// Returns all reserved bytes to the pool.
    pub fn release(&mut self) {
        self.pool.release(std::mem::take(&mut self.bytes));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}
