//! A temporary folder and unused network addresses for a test.
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use tempfile::TempDir;

/// A temporary folder, removed when the test ends.
pub(crate) struct TestFolder(TempDir);

impl TestFolder {
    pub(crate) fn new() -> TestFolder {
        TestFolder(TempDir::with_prefix("damsonvale-").unwrap())
    }

    pub(crate) fn path(&self) -> &Path {
        self.0.path()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

/// Addresses that nothing listens on. Each call uses a loopback IP address of its own, so that the ports stay
/// free until the test binds them, whatever ports other processes and outgoing connections take meanwhile.
pub(crate) fn unused_addresses(n: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (id, call) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, 1 + (call % 250) as u8];
    let listeners: Vec<TcpListener> =
        (0..n).map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap()).collect();
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}
