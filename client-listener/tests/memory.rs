//! The memory pool of a process. It guards against a process that passes its memory limit, and against responses that are
//! lost although there is memory for them a moment later.
use client_listener::memory::{ClientMemory, MemoryPool, MemoryReservation};
use std::time::{Duration, Instant};

const POOL_BYTES: usize = 1600;
/// Longest wait for memory; only a failure reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);

fn now() -> Instant {
    Instant::now()
}

#[test]
fn long_messages_leave_half_of_the_pool_to_requests() {
    let pool = MemoryPool::new(POOL_BYTES);
    let (mut message, mut request) = (MemoryReservation::new(&pool), MemoryReservation::new(&pool));
    assert!(message.grow_message_to(800));
    assert!(!message.grow_message_to(801), "a message must not use the other half");
    assert!(request.grow_to(800));
    assert!(!request.grow_to(801));
    drop(message);
    assert!(request.grow_to(POOL_BYTES));
    drop(request);
    assert_eq!(pool.available_bytes(), POOL_BYTES as isize);
}

#[test]
fn response_waits_until_another_one_is_released() {
    let pool = MemoryPool::new(POOL_BYTES);
    let first = ClientMemory::new(&pool).reserve_response(POOL_BYTES, now()).unwrap();
    assert!(ClientMemory::new(&pool).reserve_response(1, now()).is_none(), "the pool is used up");
    let waiting = {
        let client = ClientMemory::new(&pool);
        std::thread::spawn(move || client.reserve_response(POOL_BYTES, now() + TIMEOUT).is_some())
    };
    drop(first);
    assert!(waiting.join().unwrap(), "the response must get the memory that was released");
    assert_eq!(pool.available_bytes(), POOL_BYTES as isize);
}

#[test]
fn responses_of_one_client_use_at_most_its_share() {
    let pool = MemoryPool::new(POOL_BYTES);
    let client = ClientMemory::new(&pool);
    let mut long = client.reserve_response(POOL_BYTES, now()).expect("a response alone may exceed the share");
    long.shrink_to(60);
    let second = client.reserve_response(40, now());
    assert!(second.is_some(), "both together are the share, a sixteenth of the pool");
    assert!(client.reserve_response(1, now()).is_none());
    assert!(
        ClientMemory::new(&pool).reserve_response(100, now()).is_some(),
        "another client has a share of its own"
    );
    drop((long, second));
    assert_eq!(pool.available_bytes(), POOL_BYTES as isize);
}

/// Guards against responses that wait for each other although there is memory for both.
#[test]
fn response_grows_while_there_is_memory() {
    let pool = MemoryPool::new(POOL_BYTES);
    let (first, second) = (ClientMemory::new(&pool), ClientMemory::new(&pool));
    let mut long = first.reserve_response(300, now()).unwrap();
    let other = second.reserve_response(300, now()).unwrap();
    assert!(long.grow_to(1300, now()), "a client's only response may exceed the share");
    assert!(!long.grow_to(1301, now()));
    assert!(first.reserve_response(1, now()).is_none(), "the client has used its share");
    let growing = std::thread::spawn(move || long.grow_to(POOL_BYTES, now() + TIMEOUT));
    drop(other);
    assert!(growing.join().unwrap(), "the response must get the memory that was released");
    assert_eq!(pool.available_bytes(), POOL_BYTES as isize);
}

#[test]
fn pool_that_was_made_smaller_gives_nothing_until_enough_is_returned() {
    let pool = MemoryPool::new(POOL_BYTES);
    let mut held = MemoryReservation::new(&pool);
    assert!(held.grow_to(1000));
    pool.resize_by(-800);
    assert_eq!(pool.available_bytes(), -200);
    assert!(!MemoryReservation::new(&pool).grow_to(1));
    held.release();
    assert!(held.grow_to(800));
}
