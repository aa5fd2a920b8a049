//! Framing: a tag, a length and a body, read in place from one buffer for each connection.
use std::io::{self, IoSlice, Read};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

/// What a buffer holds at first,
const SHORT: usize = 1024;
/// and at most between two messages.
const LONG: usize = 16 * 1024;

/// Bytes read ahead from a connection.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
    room: Option<Room>,
}

/// What all buffers and requests of clients may hold together, counted down as they take it; below 0 where a part of it
/// was set aside while it was held.
pub type Pool = Arc<AtomicIsize>;

/// A part taken from a [`Pool`]; it goes back when this is dropped.
#[derive(Debug)]
pub struct Room {
    pool: Pool,
    taken: usize,
}

impl Room {
    /// Nothing taken yet.
    pub fn new(pool: &Pool) -> Room {
        Room { pool: pool.clone(), taken: 0 }
    }

    /// Takes so much in all, or says that there is not so much left.
    pub fn grow(&mut self, to: usize) -> bool {
        let more = to.saturating_sub(self.taken);
        if more == 0 {
            return true;
        }
        let fewer = |left: isize| left.checked_sub_unsigned(more).filter(|left| *left >= 0);
        let there = self.pool.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer).is_ok();
        self.taken += if there { more } else { 0 };
        there
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.pool.fetch_add(self.taken as isize, Ordering::Relaxed);
    }
}

/// The start of a connection: a request code and its body.
pub struct Startup {
    /// The protocol's version, or one of the codes that ask for something else.
    pub code: u32,
    /// What a CancelRequest names, where that is as long as a key.
    pub key: Option<CancelKey>,
}

/// What stands in a BackendKeyData message, the process id and the secret, by which a client cancels.
pub type CancelKey = [u8; 8];

/// One message in the buffer: its tag, and where the whole of it stands.
#[derive(Clone, Debug)]
pub struct Frame {
    /// What kind of message it is.
    pub tag: u8,
    /// The whole message with its tag and length.
    pub whole: Range<usize>,
}

impl Frame {
    /// The message without its tag and length.
    pub fn body(&self) -> Range<usize> {
        self.whole.start + 5..self.whole.end
    }
}

/// What came can't be read.
pub fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Buffer {
    /// A buffer that takes messages of up to `most` bytes.
    pub fn new(most: usize) -> Self {
        Buffer { bytes: vec![0; SHORT], start: 0, end: 0, most, room: None }
    }

    /// The same, for a client: what it holds beyond a short message comes out of the pool.
    pub fn pooled(most: usize, pool: &Pool) -> Self {
        Buffer { room: Some(Room::new(pool)), ..Buffer::new(most) }
    }

    /// The bytes of a range that a frame named; good until the next read.
    pub fn get(&self, range: Range<usize>) -> &[u8] {
        &self.bytes[range]
    }

    /// Nothing has been read ahead.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// What has been read ahead, behind the last message.
    pub fn ahead(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// How much memory it takes up.
    pub fn held(&self) -> usize {
        self.bytes.capacity()
    }

    /// Reads until `n` bytes stand in the buffer; `false` at an orderly end before the first of them. Room is made
    /// as the bytes come: a length alone, which costs its sender nothing, must reserve none.
    fn fill(&mut self, mut from: impl Read, n: usize) -> io::Result<bool> {
        if self.start + n > self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        while self.end - self.start < n {
            if self.end == self.bytes.len() {
                let more = (2 * self.bytes.len()).min(n.max(2 * SHORT));
                if self.room.as_mut().is_some_and(|r| more > LONG && !r.grow(more)) {
                    return Err(invalid("too much is under way"));
                }
                self.bytes.resize(more, 0);
            }
            match from.read(&mut self.bytes[self.end..]) {
                Ok(0) if self.is_empty() => return Ok(false),
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(got) => self.end += got,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn length(&self, at: usize) -> u32 {
        let b = &self.bytes[at..at + 4];
        u32::from_be_bytes([b[0], b[1], b[2], b[3]])
    }

    /// The first message of a connection; `None` at its end.
    pub fn startup(&mut self, mut from: impl Read) -> io::Result<Option<Startup>> {
        if !self.fill(&mut from, 8)? {
            return Ok(None);
        }
        let length = self.length(self.start) as usize;
        if !(8..=10_000).contains(&length) {
            return Err(invalid("a startup message of an impossible length"));
        }
        if !self.fill(&mut from, length)? {
            return Ok(None);
        }
        let code = self.length(self.start + 4);
        let key = self.bytes[self.start + 8..self.start + length].try_into().ok();
        self.start += length;
        Ok(Some(Startup { code, key }))
    }

    /// The next message; `None` at the connection's end between two messages.
    pub fn next(&mut self, mut from: impl Read) -> io::Result<Option<Frame>> {
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > LONG {
                // One long message must not keep its room for as long as the connection lives.
                self.bytes = vec![0; SHORT];
                self.room = self.room.take().map(|r| Room::new(&r.pool));
            }
        }
        if !self.fill(&mut from, 5)? {
            return Ok(None);
        }
        let length = self.length(self.start + 1) as usize;
        if length < 4 || length > self.most {
            return Err(invalid("a message of an impossible length"));
        }
        self.fill(&mut from, length + 1)?;
        let whole = self.start..self.start + length + 1;
        self.start = whole.end;
        Ok(Some(Frame { tag: self.bytes[whole.start], whole }))
    }
}

/// Appends a message.
pub fn push(to: &mut Vec<u8>, tag: u8, body: &[&[u8]]) {
    let length = 4 + body.iter().map(|b| b.len()).sum::<usize>();
    to.push(tag);
    to.extend_from_slice(&(length as u32).to_be_bytes());
    body.iter().for_each(|b| to.extend_from_slice(b));
}

/// The end of a command: ready for the next, outside any transaction.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// Appends an ErrorResponse; `detail` is its field D.
pub fn push_error(to: &mut Vec<u8>, severity: &str, code: &str, text: &str, detail: Option<&str>) {
    let mut fields: Vec<&[u8]> = Vec::with_capacity(16);
    for (name, value) in [(b"S", severity), (b"V", severity), (b"C", code), (b"M", text)] {
        fields.extend([&name[..], value.as_bytes(), b"\0"]);
    }
    if let Some(d) = detail {
        fields.extend([&b"D"[..], d.as_bytes(), b"\0"]);
    }
    fields.push(b"\0");
    push(to, b'E', &fields);
}

/// Appends a ParameterStatus.
pub fn push_parameter(to: &mut Vec<u8>, name: &str, value: &str) {
    push(to, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
}

/// What an ErrorResponse says.
#[derive(Debug, PartialEq, Eq)]
pub struct ErrorFields<'a> {
    /// Its code.
    pub code: &'a str,
    /// The session ends with it: no ReadyForQuery follows, and nothing else is carried out.
    pub fatal: bool,
}

/// Reads an ErrorResponse's body; `None` where it can't be read.
pub fn error(body: &[u8]) -> Option<ErrorFields<'_>> {
    let fields = body.strip_suffix(b"\0\0")?;
    let (mut code, mut severity, mut severity_untranslated) = (None, None, None);
    for field in fields.split(|b| *b == 0) {
        let (name, value) = field.split_first()?;
        let value = std::str::from_utf8(value).ok().filter(|_| name.is_ascii_alphabetic())?;
        match name {
            b'C' => code = Some(value),
            b'S' => severity = Some(value),
            b'V' => severity_untranslated = Some(value),
            _ => {}
        }
    }
    let fatal = severity_untranslated.or(severity).is_some_and(|s| matches!(s, "FATAL" | "PANIC"));
    let is_code = |c: &&str| c.len() == 5 && c.bytes().all(|b| b.is_ascii_uppercase() || b.is_ascii_digit());
    code.filter(is_code).map(|code| ErrorFields { code, fatal })
}

/// Name and value of a ParameterStatus's body; `None` where the body can't be read.
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let (name, value) = std::str::from_utf8(body).ok()?.strip_suffix('\0')?.split_once('\0')?;
    (!name.is_empty() && !value.contains('\0')).then_some((name, value))
}

/// Whether a RowDescription's body names one column.
pub fn one_column(body: &[u8]) -> bool {
    let Some(field) = body.strip_prefix(&[0, 1]) else { return false };
    // A name, and behind it 18 bytes of table, type and format.
    field.iter().position(|b| *b == 0).is_some_and(|end| field.len() == end + 1 + 18)
}

/// The value of a DataRow's body that holds one column.
pub fn one_value(body: &[u8]) -> Option<&[u8]> {
    let (head, value) = body.split_at_checked(6)?;
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    (head[..2] == [0, 1] && length == value.len()).then_some(value)
}

/// Whether a CommandComplete's body can be read.
pub fn is_tag(body: &[u8]) -> bool {
    let tag = body.strip_suffix(b"\0").unwrap_or_default();
    !tag.is_empty() && tag.iter().all(|b| b.is_ascii_graphic() || *b == b' ')
}

/// Parts as a gathered write takes them.
pub fn slices<'a>(parts: &[&'a [u8]]) -> Vec<IoSlice<'a>> {
    parts.iter().map(|p| IoSlice::new(p)).collect()
}

/// Writes all parts to a client, gathered into as few calls as the socket takes them in.
pub fn write_gathered(to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    routing::socket::write_all_vectored(to, &mut slices(parts))
}
