//! Bytes as text, for fixtures that a reader can compare line by line.
use std::fmt::Write;

const DIGITS_PER_BYTE: usize = 2;
const RADIX: u32 = 16;

/// Bytes as lower-case hexadecimal digits, two for each.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string never fails");
        text
    })
}

/// The bytes that hexadecimal digits stand for. White space around them doesn't count.
///
/// # Panics
/// If the text is anything but pairs of digits.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let byte = |at: usize| {
        let pair = digits.get(at..at + DIGITS_PER_BYTE).expect("two digits for each byte");
        u8::from_str_radix(pair, RADIX).expect("hexadecimal digits")
    };
    (0..digits.len()).step_by(DIGITS_PER_BYTE).map(byte).collect()
}

/// The bytes on the first line that begins with `prefix`: a name and what parts it from the digits.
///
/// # Panics
/// If no line begins so, or if what follows is anything but pairs of digits.
pub fn decode_line(text: &str, prefix: &str) -> Vec<u8> {
    let digits = text.lines().find_map(|line| line.strip_prefix(prefix));
    decode(digits.unwrap_or_else(|| panic!("no line begins with {prefix:?}")))
}
