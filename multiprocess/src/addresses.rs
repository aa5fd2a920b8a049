//! Allocates free loopback addresses for processes whose configuration needs a fixed address.
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of values of the second and of the third octet, over which process ids are spread.
const VALUES_PER_OCTET: u32 = 250;
/// Lowest value of the last octet; keeps the addresses apart from those of the root package's tests.
const MIN_LAST_OCTET: u8 = 200;
/// Number of calls that get distinct loopback addresses before the addresses repeat.
const LAST_OCTET_COUNT: u32 = 50;

/// Returns addresses that no process listens on. Each call uses a loopback IP address of its own, so that
/// other processes and outgoing connections can't take the ports before they are used.
///
/// # Errors
/// Returns an error if the system has no free port.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let ip = [
        127,
        1 + (process / VALUES_PER_OCTET % VALUES_PER_OCTET) as u8,
        (process % VALUES_PER_OCTET) as u8,
        MIN_LAST_OCTET + (call % LAST_OCTET_COUNT) as u8,
    ];
    // All listeners stay bound until the last listener is bound, so that no address is returned twice.
    let listeners =
        (0..count).map(|_| TcpListener::bind(SocketAddr::from((ip, 0)))).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
