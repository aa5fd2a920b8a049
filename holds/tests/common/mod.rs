//! Helpers shared by the tests of this package.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
use std::path::{Path, PathBuf};

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The bytes of a fixture.
pub fn fixture(name: &str) -> Vec<u8> {
    let path = fixture_path(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Asserts that `actual` is the fixture byte for byte. On a difference it leaves `actual` in the build's folder for
/// temporary files, so that the two can be compared.
pub fn assert_fixture(name: &str, actual: &[u8]) {
    if std::fs::read(fixture_path(name)).is_ok_and(|expected| expected == actual) {
        return;
    }
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&written, actual).unwrap();
    panic!("{name} differs from its fixture; compare it with {}", written.display());
}
