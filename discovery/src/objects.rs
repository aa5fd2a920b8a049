//! Cuts a stream into JSON objects and empty lines, however its bytes come: an object may be indented, hold empty
//! lines and be split anywhere.
use thiserror::Error;

/// What stands in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// An empty line between objects.
    Blank,
    /// An object from its first brace to its last. Its brackets match in number; whether it is JSON is not known.
    Object(Vec<u8>),
}

/// Why a stream can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Unreadable {
    /// An object is longer than it may be.
    #[error("an object is longer than {0} bytes: check that this address is discovery's")]
    Long(usize),
    /// Braces and brackets stand in each other more than this deep.
    #[error("an object is more than {0} levels deep: check that this address is discovery's")]
    Deep(usize),
    /// Between two objects stands something else.
    #[error("expected an object or an empty line, found '{0}': check that this address is discovery's")]
    Other(char),
}

/// A list has three levels. The JSON reader goes down a call for each level, on a thread with a small stack.
pub const DEEPEST: usize = 16;

/// Cuts one stream. Holds the object that has come in part, never more than `most` bytes.
#[derive(Debug)]
pub struct Objects {
    most: usize,
    held: Vec<u8>,
    /// Open braces and brackets; 0 between objects.
    depth: usize,
    quoted: bool,
    /// In a string, behind a backslash.
    escaped: bool,
    /// An object has ended on the line at hand, which is no empty one then.
    used: bool,
}

impl Objects {
    /// For a stream whose objects are `most` bytes long at the longest.
    pub fn new(most: usize) -> Self {
        Objects { most, held: Vec::new(), depth: 0, quoted: false, escaped: false, used: false }
    }

    /// Takes what came next and adds what it completes to `pieces`. After an error the stream is of no more use.
    pub fn take(&mut self, bytes: &[u8], pieces: &mut Vec<Piece>) -> Result<(), Unreadable> {
        // Where the part of the object at hand begins that is not held yet.
        let mut from = 0;
        for (at, byte) in bytes.iter().enumerate() {
            if self.depth == 0 {
                match byte {
                    b'{' => (self.depth, from) = (1, at),
                    b'\n' if std::mem::take(&mut self.used) => {}
                    b'\n' => pieces.push(Piece::Blank),
                    b' ' | b'\t' | b'\r' => {}
                    other => return Err(Unreadable::Other(char::from(*other))),
                }
                continue;
            }
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' | b'[' if self.depth == DEEPEST => return Err(Unreadable::Deep(DEEPEST)),
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.hold(&bytes[from..=at])?;
                pieces.push(Piece::Object(std::mem::take(&mut self.held)));
                self.used = true;
            }
        }
        if self.depth > 0 { self.hold(&bytes[from..]) } else { Ok(()) }
    }

    /// How many bytes of the object at hand are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn hold(&mut self, bytes: &[u8]) -> Result<(), Unreadable> {
        if self.held.len() + bytes.len() > self.most {
            return Err(Unreadable::Long(self.most));
        }
        self.held.extend_from_slice(bytes);
        Ok(())
    }
}
