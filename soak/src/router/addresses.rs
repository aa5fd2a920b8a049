//! Addresses for routers to listen on.
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Addresses of one kind in a run; each has a loopback address of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressBlock(pub u8);

impl AddressBlock {
    /// The loopback address of this block in a run of this process.
    fn ip(self) -> Ipv4Addr {
        let id = std::process::id();
        Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, self.0)
    }
}

/// Addresses that nobody else listens on: on a loopback address of this run's own, so that they stay free until the routers
/// bind them, whatever ports outgoing connections take meanwhile. All are bound until the last one is known.
///
/// # Errors
/// The system's, where no port is to be had.
pub fn free_addresses(block: AddressBlock, count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(SocketAddr::from((block.ip(), 0)));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
