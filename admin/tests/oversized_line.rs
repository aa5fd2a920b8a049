//! Runs in its own process, as it measures the memory of the process.
mod common;

use common::{MAX_RESPONSE_TIME, connect, read_to_close, send_and_read, serve};
use std::io::Write;
use std::time::{Duration, Instant};

/// Returns the peak memory of this process, in kB.
fn peak_memory_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn line_of_60_mb_is_rejected_without_being_stored() {
    let address = serve(8, Duration::from_secs(15), 1);
    let chunk = vec![b'x'; 1 << 20];
    let mut oversized = connect(address, b"SUSPEND ");
    let before = peak_memory_kb();
    for n in 0..60 {
        oversized.write_all(&chunk).unwrap();
        if n % 10 == 0 {
            let start = Instant::now();
            assert_eq!(send_and_read(address, b"STATUS\n"), "200 STATUS\n");
            assert!(start.elapsed() < MAX_RESPONSE_TIME);
        }
    }
    oversized.write_all(b"\n").unwrap();
    assert_eq!(
        read_to_close(&oversized),
        "400 the line is longer than 300 bytes; send one command on one line\n"
    );
    let increase = peak_memory_kb() - before;
    assert!(increase < 8 << 10, "memory grew by {increase} kB");
}
