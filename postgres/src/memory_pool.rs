//! The memory that the long messages and open requests of all clients may take together.
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

/// Bytes that clients may still take, shared by all connections. Below 0 where the pool was made smaller while more than
/// the rest of it was in use.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    available_bytes: Arc<AtomicIsize>,
}

impl MemoryPool {
    /// A pool of so many bytes, all of them available.
    pub fn new(bytes: usize) -> MemoryPool {
        MemoryPool { available_bytes: Arc::new(AtomicIsize::new(bytes as isize)) }
    }

    /// The bytes that may still be taken; negative where the pool was made smaller than what is in use.
    pub fn available_bytes(&self) -> isize {
        self.available_bytes.load(Ordering::Relaxed)
    }

    /// Makes the pool larger by `bytes`, or smaller if they are negative. What is in use stays in use.
    pub fn resize_by(&self, bytes: isize) {
        self.available_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn try_take(&self, bytes: usize) -> bool {
        let rest = |available: isize| available.checked_sub_unsigned(bytes).filter(|rest| *rest >= 0);
        self.available_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, rest).is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.available_bytes.fetch_add(bytes as isize, Ordering::Relaxed);
    }
}

/// Bytes reserved in a [`MemoryPool`]; they are given back when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: MemoryPool,
    bytes: usize,
}

impl MemoryReservation {
    /// A reservation of no bytes yet.
    pub fn new(pool: &MemoryPool) -> MemoryReservation {
        MemoryReservation { pool: pool.clone(), bytes: 0 }
    }

    /// Grows the reservation to `bytes` in all. Returns `false`, and reserves nothing more, where the pool has not enough
    /// left.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return true;
        }
        if !self.pool.try_take(missing) {
            return false;
        }
        self.bytes += missing;
        true
    }

    /// Gives all of it back.
    pub(crate) fn release(&mut self) {
        self.pool.give_back(std::mem::take(&mut self.bytes));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}
