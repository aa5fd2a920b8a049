//! What the tests that compare with recorded bytes share.
use std::fmt::Write;
use std::path::Path;

/// Bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        _ = write!(text, "{byte:02x}");
        text
    })
}

/// Hexadecimal digits as bytes.
pub(crate) fn unhex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

/// A recorded text under `tests/fixtures/`.
pub(crate) fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Compares with a recorded text line by line, so that a failure shows the first line that differs.
pub(crate) fn assert_recorded(name: &str, now: &str) {
    let recorded = fixture(name);
    for (line, (was, is)) in recorded.lines().zip(now.lines()).enumerate() {
        assert_eq!(is, was, "{name}, line {}", line + 1);
    }
    assert_eq!(now, recorded, "{name}");
}

/// The bytes that a recorded text of lines `NAME HEX` has under this name.
pub(crate) fn recorded_bytes(recorded: &str, name: &str) -> Vec<u8> {
    let line = recorded.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    unhex(line.unwrap_or_else(|| panic!("{name} is not recorded")))
}
