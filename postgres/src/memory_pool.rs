//! Limit on the memory that the long messages and open requests of all clients use together.
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

/// Memory that is available to clients, shared by all connections. The number of available bytes is negative
/// if the pool was made smaller than what is in use.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    available_bytes: Arc<AtomicIsize>,
}

impl MemoryPool {
    /// Creates a pool of this many bytes, all of them available.
    pub fn new(bytes: usize) -> MemoryPool {
        MemoryPool { available_bytes: Arc::new(AtomicIsize::new(bytes as isize)) }
    }

    /// Returns the available bytes; negative if the pool was made smaller than what is in use.
    pub fn available_bytes(&self) -> isize {
        self.available_bytes.load(Ordering::Relaxed)
    }

    /// Increases the size of the pool by `bytes`, or decreases it if they are negative. Existing reservations
    /// are not affected.
    pub fn resize_by(&self, bytes: isize) {
        self.available_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let remaining =
            |available: isize| available.checked_sub_unsigned(bytes).filter(|remaining| *remaining >= 0);
        self.available_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, remaining).is_ok()
    }

    fn release_bytes(&self, bytes: usize) {
        self.available_bytes.fetch_add(bytes as isize, Ordering::Relaxed);
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
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return true;
        }
        if !self.pool.try_reserve(missing) {
            return false;
        }
        self.bytes += missing;
        true
    }

    /// Returns all reserved bytes to the pool.
    pub(crate) fn release(&mut self) {
        self.pool.release_bytes(std::mem::take(&mut self.bytes));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}
