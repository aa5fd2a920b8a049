//! Free addresses on loopback for processes that are told where to listen.
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Process ids are spread over this many values of each middle part of a loopback address.
const VALUES_PER_PART: u32 = 250;
/// The last part of every address begins here, which keeps it apart from what the root's tests use.
const FIRST_LAST_PART: u8 = 200;
/// Calls that get a loopback address of their own before addresses repeat.
const LAST_PARTS: u32 = 50;

/// Returns addresses that nobody else listens on. They are on a loopback address of this call's own, so that they stay
/// free between this call and their use, whatever ports other processes and outgoing connections take meanwhile.
///
/// # Errors
/// The system has no free port.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let ip = [
        127,
        1 + (process / VALUES_PER_PART % VALUES_PER_PART) as u8,
        (process % VALUES_PER_PART) as u8,
        FIRST_LAST_PART + (call % LAST_PARTS) as u8,
    ];
    // All of them stay bound until the last one is, so that none is returned twice.
    let listeners =
        (0..count).map(|_| TcpListener::bind(SocketAddr::from((ip, 0)))).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
