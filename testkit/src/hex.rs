//! Hexadecimal encoding of bytes, for fixtures that can be compared line by line.
use std::fmt::Write;

const DIGITS_PER_BYTE: usize = 2;
const RADIX: u32 = 16;

/// Encodes bytes as lower-case hexadecimal digits, two for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string never fails");
        text
    })
}

/// Decodes hexadecimal digits. Leading and trailing white space is ignored.
///
/// # Panics
/// Panics if the text is anything but pairs of hexadecimal digits.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let byte = |at: usize| {
        let pair = digits.get(at..at + DIGITS_PER_BYTE).expect("two digits for each byte");
        u8::from_str_radix(pair, RADIX).expect("only hexadecimal digits in the text")
    };
    (0..digits.len()).step_by(DIGITS_PER_BYTE).map(byte).collect()
}

/// Decodes the hexadecimal digits on the first line that starts with `prefix`, which is a name and its
/// separator.
///
/// # Panics
/// Panics if no line starts with the prefix, or if anything but pairs of hexadecimal digits follows it.
pub fn decode_line(text: &str, prefix: &str) -> Vec<u8> {
    let digits = text.lines().find_map(|line| line.strip_prefix(prefix));
    decode(digits.unwrap_or_else(|| panic!("no line begins with {prefix:?}")))
}
