//! Comparison of a run with what an earlier build recorded.
use std::path::Path;

/// FNV-1a: the same on all platforms and with all compilers.
pub(crate) fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Compares line by line. Leaves the actual run beside the tests' temporary files, under the fixture's name.
pub(crate) fn assert_recorded(name: &str, actual: &str, recorded: &str) {
    std::fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name), actual).unwrap();
    for (number, (actual, recorded)) in (1..).zip(actual.lines().zip(recorded.lines())) {
        assert_eq!(actual, recorded, "{name}, line {number}");
    }
    assert_eq!(actual.lines().count(), recorded.lines().count(), "{name}: number of lines");
}
