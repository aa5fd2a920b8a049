//! Readers and writers for the fields of a payload: integers, strings and their length-encoded forms.

/// Marks a NULL value in a text row, in place of a length-encoded integer.
pub(crate) const NULL: u8 = 0xfb;
/// Prefix of a length-encoded integer of two bytes.
const TWO_BYTES: u8 = 0xfc;
/// Prefix of a length-encoded integer of three bytes.
const THREE_BYTES: u8 = 0xfd;
/// Prefix of a length-encoded integer of eight bytes.
const EIGHT_BYTES: u8 = 0xfe;

/// Reads the fields of a payload in order. Each method returns `None` if the payload is too short for the
/// field.
#[derive(Clone, Copy, Debug)]
pub struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the start of a payload.
    pub fn new(payload: &'a [u8]) -> FieldReader<'a> {
        FieldReader { rest: payload }
    }

    /// Returns the unread bytes.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(bytes)
    }

    /// Reads a little-endian integer of `size` bytes.
    pub fn integer(&mut self, size: usize) -> Option<u64> {
        let bytes = self.bytes(size)?;
        Some(bytes.iter().rev().fold(0, |integer, byte| integer << 8 | u64::from(*byte)))
    }

    /// Reads the bytes up to a zero byte, and consumes the zero byte.
    pub fn null_terminated(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|b| *b == 0)?;
        let bytes = self.bytes(end)?;
        self.bytes(1)?;
        Some(bytes)
    }

    /// Reads a length-encoded integer. Returns `None` for NULL as well.
    pub fn length_encoded_integer(&mut self) -> Option<u64> {
        match self.integer(1)? {
            integer @ 0..=250 => Some(integer),
            first => match first as u8 {
                TWO_BYTES => self.integer(2),
                THREE_BYTES => self.integer(3),
                EIGHT_BYTES => self.integer(8),
                _ => None,
            },
        }
    }

    /// Reads a length-encoded string.
    pub fn length_encoded_bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.length_encoded_integer()?;
        self.bytes(usize::try_from(length).ok()?)
    }
}

/// Appends a length-encoded integer.
pub fn push_length_encoded_integer(to: &mut Vec<u8>, integer: u64) {
    let bytes = integer.to_le_bytes();
    match integer {
        0..=250 => to.push(bytes[0]),
        251..=0xffff => {
            to.push(TWO_BYTES);
            to.extend_from_slice(&bytes[..2]);
        }
        0x1_0000..=0xff_ffff => {
            to.push(THREE_BYTES);
            to.extend_from_slice(&bytes[..3]);
        }
        _ => {
            to.push(EIGHT_BYTES);
            to.extend_from_slice(&bytes);
        }
    }
}

/// Appends a length-encoded string.
pub fn push_length_encoded_bytes(to: &mut Vec<u8>, bytes: &[u8]) {
    push_length_encoded_integer(to, bytes.len() as u64);
    to.extend_from_slice(bytes);
}
