//! In a process of its own: it measures the memory of the process.
mod common;

use common::{RESPONSE_DUE, ask, connect, read_to_close, serve};
use std::io::Write;
use std::time::{Duration, Instant};

/// The most memory that this process has used, in kB.
fn peak_memory_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn line_of_60_mb_is_rejected_without_being_stored() {
    let address = serve(8, Duration::from_secs(15), 1);
    let piece = vec![b'x'; 1 << 20];
    let mut oversized = connect(address, b"SUSPEND ");
    let before = peak_memory_kb();
    for n in 0..60 {
        oversized.write_all(&piece).unwrap();
        if n % 10 == 0 {
            let start = Instant::now();
            assert_eq!(ask(address, b"STATUS\n"), "200 STATUS\n");
            assert!(start.elapsed() < RESPONSE_DUE);
        }
    }
    oversized.write_all(b"\n").unwrap();
    assert_eq!(
        read_to_close(&oversized),
        "400 the line is longer than 300 bytes; send one call of one line\n"
    );
    let grown = peak_memory_kb() - before;
    assert!(grown < 8 << 10, "{grown} kB more");
}
