//! Shared by the tests that compare with a file of `tests/fixtures`.
use std::path::PathBuf;

/// Compares with a file of `tests/fixtures`. A run for which there is none is written to the build's folder for temporary
/// files, never among the fixtures: the test fails until somebody has read it and put it there.
pub(crate) fn assert_fixture(name: &str, produced: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        let written = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&written, produced).expect("the build's folder can be written");
        panic!("{name} is missing; the run is in {}", written.display());
    };
    let first = recorded.lines().zip(produced.lines()).position(|(old, new)| old != new);
    if let Some(n) = first {
        let (old, new) = (recorded.lines().nth(n), produced.lines().nth(n));
        panic!("{name}, line {}: recorded {old:?}, now {new:?}", n + 1);
    }
    assert_eq!(recorded.len(), produced.len(), "{name}: one is the beginning of the other");
}
