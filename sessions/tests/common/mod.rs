//! Shared by the tests that compare with a file of `tests/fixtures`.
use std::path::PathBuf;

/// Compares with a file of `tests/fixtures`. One that is missing is written, and the test fails until it is committed.
pub(crate) fn assert_fixture(name: &str, produced: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        std::fs::write(&path, produced).expect("the fixture's folder can be written");
        panic!("{name} was missing and has been written: read it and commit it");
    };
    let first = recorded.lines().zip(produced.lines()).position(|(old, new)| old != new);
    if let Some(n) = first {
        let (old, new) = (recorded.lines().nth(n), produced.lines().nth(n));
        panic!("{name}, line {}: recorded {old:?}, now {new:?}", n + 1);
    }
    assert_eq!(recorded.len(), produced.len(), "{name}: one is the beginning of the other");
}
