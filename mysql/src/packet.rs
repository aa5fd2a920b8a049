//! Framing: three bytes of length, a sequence number, a payload. Payloads of 2^24 - 1 bytes go on in the next
//! packet.
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;

/// The longest payload of one packet; one of this length goes on in the next.
pub const MOST: usize = 0xff_ffff;

/// A payload and the sequence number of its last packet.
#[derive(Debug, PartialEq, Eq)]
pub struct Packet {
    /// The sequence number of its first packet.
    pub first: u8,
    /// The sequence number of its last packet.
    pub last: u8,
    /// All its bytes.
    pub payload: Vec<u8>,
}

/// Why no payload could be read.
#[derive(Debug)]
pub enum Broken {
    /// The connection has ended between two payloads.
    Ended,
    /// Nothing came in time, not the first byte of a payload.
    Silent,
    /// The connection failed, or ended within a payload.
    Failed(io::Error),
    /// The payload is longer than what is taken.
    TooLong,
    /// A continuation came out of sequence.
    OutOfOrder,
}

impl From<io::Error> for Broken {
    fn from(e: io::Error) -> Self {
        Broken::Failed(e)
    }
}

/// Reads payloads, ahead by what the socket has at hand.
pub struct Reader {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
}

impl Reader {
    /// A reader that takes payloads of up to `most` bytes.
    pub fn new(most: usize) -> Self {
        Reader { bytes: vec![0; 4096], start: 0, end: 0, most }
    }

    /// Nothing has been read ahead.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    fn exactly(&mut self, mut from: impl Read, mut to: &mut [u8], at_start: bool) -> Result<(), Broken> {
        let mut any = !at_start;
        while !to.is_empty() {
            if self.is_empty() {
                let got = match from.read(&mut self.bytes) {
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                    Err(e) if !any && client_listener::is_timeout(&e) => return Err(Broken::Silent),
                    got => got?,
                };
                (self.start, self.end) = (0, got);
                if got == 0 {
                    return Err(if any {
                        io::Error::from(io::ErrorKind::UnexpectedEof).into()
                    } else {
                        Broken::Ended
                    });
                }
            }
            any = true;
            let n = to.len().min(self.end - self.start);
            to[..n].copy_from_slice(&self.bytes[self.start..self.start + n]);
            self.start += n;
            to = &mut to[n..];
        }
        Ok(())
    }

    /// The next payload.
    pub fn next(&mut self, mut from: impl Read) -> Result<Packet, Broken> {
        let (mut payload, mut first, mut expected) = (Vec::new(), 0, None);
        loop {
            let mut head = [0; 4];
            self.exactly(&mut from, &mut head, expected.is_none())?;
            let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
            if expected.is_some_and(|e| e != head[3]) {
                return Err(Broken::OutOfOrder);
            }
            if expected.is_none() {
                first = head[3];
            }
            let at = payload.len();
            if at + length > self.most {
                return Err(Broken::TooLong);
            }
            // Room is made as the bytes come: a length alone, which costs its sender nothing, must reserve none.
            while payload.len() < at + length {
                let from_here = payload.len();
                payload.resize((at + length).min(from_here + 16 * 1024), 0);
                self.exactly(&mut from, &mut payload[from_here..], false)?;
            }
            if length < MOST {
                return Ok(Packet { first, last: head[3], payload });
            }
            expected = Some(head[3].wrapping_add(1));
        }
    }
}

/// Appends a payload as packets; the sequence number after the last of them is returned.
pub fn push(to: &mut Vec<u8>, mut sequence: u8, payload: &[u8]) -> u8 {
    let mut left = payload;
    loop {
        let n = left.len().min(MOST);
        to.extend_from_slice(&(n as u32).to_le_bytes()[..3]);
        to.push(sequence);
        to.extend_from_slice(&left[..n]);
        left = &left[n..];
        sequence = sequence.wrapping_add(1);
        // A payload that fills its last packet is ended by an empty one.
        if n < MOST {
            return sequence;
        }
    }
}

/// Hands one command, its parts gathered, to `write`.
///
/// # Errors
/// Those of `write`.
pub fn with_command(
    parts: &[&[u8]],
    write: impl FnOnce(&mut [IoSlice<'_>]) -> io::Result<()>,
) -> io::Result<()> {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    if length >= MOST {
        let mut whole = Vec::with_capacity(length + 16);
        push(&mut whole, 0, &parts.concat());
        return write(&mut [IoSlice::new(&whole)]);
    }
    let head = (length as u32).to_le_bytes();
    let head = [head[0], head[1], head[2], 0];
    let mut slices = Vec::with_capacity(parts.len() + 1);
    slices.push(IoSlice::new(&head));
    slices.extend(parts.iter().map(|p| IoSlice::new(p)));
    write(&mut slices)
}

/// Writes one command as a client does, its parts gathered.
pub fn write_command(to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    with_command(parts, |slices| routing::socket::write_all_vectored(to, slices))
}

/// Writes bytes that stand ready.
pub fn write_ready(mut to: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes)
}

/// Takes a payload apart from its front. Every taking says `None` where too little is left.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// The next `n` bytes.
    pub fn bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, left) = self.0.split_at_checked(n)?;
        self.0 = left;
        Some(taken)
    }

    /// A number of `n` bytes, the lowest first.
    pub fn number(&mut self, n: usize) -> Option<u64> {
        let bytes = self.bytes(n)?;
        Some(bytes.iter().rev().fold(0, |x, b| x << 8 | u64::from(*b)))
    }

    /// Bytes up to a zero, which is taken too.
    pub fn until_zero(&mut self) -> Option<&'a [u8]> {
        let end = self.0.iter().position(|b| *b == 0)?;
        let taken = self.bytes(end)?;
        self.bytes(1)?;
        Some(taken)
    }

    /// A number in the protocol's own packing; `None` also for what stands for NULL.
    pub fn packed(&mut self) -> Option<u64> {
        match self.number(1)? {
            n @ 0..=250 => Some(n),
            0xfc => self.number(2),
            0xfd => self.number(3),
            0xfe => self.number(8),
            _ => None,
        }
    }

    /// Bytes behind their packed length.
    pub fn packed_bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.packed()?;
        self.bytes(usize::try_from(n).ok()?)
    }
}

/// Appends a packed number.
pub fn push_packed(to: &mut Vec<u8>, n: u64) {
    match n {
        0..=250 => to.push(n as u8),
        251..=0xffff => {
            to.push(0xfc);
            to.extend_from_slice(&n.to_le_bytes()[..2]);
        }
        0x1_0000..=0xff_ffff => {
            to.push(0xfd);
            to.extend_from_slice(&n.to_le_bytes()[..3]);
        }
        _ => {
            to.push(0xfe);
            to.extend_from_slice(&n.to_le_bytes());
        }
    }
}

/// Appends bytes behind their packed length.
pub fn push_packed_bytes(to: &mut Vec<u8>, bytes: &[u8]) {
    push_packed(to, bytes.len() as u64);
    to.extend_from_slice(bytes);
}
