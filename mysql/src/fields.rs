//! The fields of a payload: integers, strings and their length-encoded forms.

/// The length-encoded integer that stands for NULL in a text row.
pub(crate) const NULL: u8 = 0xfb;
/// A length-encoded integer of two bytes follows.
const TWO_BYTES: u8 = 0xfc;
/// A length-encoded integer of three bytes follows.
const THREE_BYTES: u8 = 0xfd;
/// A length-encoded integer of eight bytes follows.
const EIGHT_BYTES: u8 = 0xfe;

/// Reads a payload's fields from its front. Each method returns `None` where too little is left.
#[derive(Clone, Copy, Debug)]
pub struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// A reader at the front of a payload.
    pub fn new(payload: &'a [u8]) -> FieldReader<'a> {
        FieldReader { rest: payload }
    }

    /// What has not been read.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// The next `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(bytes)
    }

    /// An integer of `size` bytes, little-endian.
    pub fn integer(&mut self, size: usize) -> Option<u64> {
        let bytes = self.bytes(size)?;
        Some(bytes.iter().rev().fold(0, |integer, byte| integer << 8 | u64::from(*byte)))
    }

    /// Bytes up to a zero, which is read as well.
    pub fn null_terminated(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|b| *b == 0)?;
        let bytes = self.bytes(end)?;
        self.bytes(1)?;
        Some(bytes)
    }

    /// A length-encoded integer; `None` also for NULL.
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

    /// Bytes behind their length-encoded length.
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

/// Appends bytes behind their length-encoded length.
pub fn push_length_encoded_bytes(to: &mut Vec<u8>, bytes: &[u8]) {
    push_length_encoded_integer(to, bytes.len() as u64);
    to.extend_from_slice(bytes);
}
