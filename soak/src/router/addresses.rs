//! Loopback addresses that routers listen on.
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A block of listen addresses for one purpose; the number is the last byte of the block's loopback address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressBlock(pub u8);

impl AddressBlock {
    /// Returns the loopback address of this block, which also depends on the id of this process.
    fn ip(self) -> Ipv4Addr {
        let id = std::process::id();
        Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, self.0)
    }
}

/// Returns free addresses on the loopback address of a block. Because outgoing connections do not use this
/// loopback address, their ports can't take these addresses before the routers bind them. All ports are bound
/// until the last one is chosen, so that they differ.
///
/// # Errors
/// No port is available.
pub fn free_addresses(block: AddressBlock, count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(SocketAddr::from((block.ip(), 0)));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
