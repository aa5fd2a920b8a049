//! Splits a stream into JSON objects and empty lines, however its bytes come: an object may be indented, hold empty
//! lines and be split anywhere.

use thiserror::Error;

/// Deepest nesting of braces and brackets; a list has three levels. The JSON parser recurses once a level, on a thread
/// with a small stack.
pub const MAX_NESTING: usize = 16;

/// What a stream consists of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An empty line between objects.
    EmptyLine,
    /// An object from its first brace to its last. Its brackets match in number; whether it is JSON is not known.
    Object(Vec<u8>),
}

/// Why a stream can't be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// An object is longer than this many bytes.
    #[error("an object is longer than {0} bytes: check that this address is discovery's")]
    ObjectTooLong(usize),
    /// Braces and brackets are nested deeper than this.
    #[error("an object is more than {0} levels deep: check that this address is discovery's")]
    NestedTooDeep(usize),
    /// Between two objects is something else than white space.
    #[error("expected an object or an empty line, found '{0}': check that this address is discovery's")]
    UnexpectedCharacter(char),
}

/// Splits one stream. Buffers the part of an object that has come, never more than its bound.
#[derive(Debug)]
pub struct ObjectSplitter {
    max_object_bytes: usize,
    buffer: Vec<u8>,
    /// Open braces and brackets; 0 between objects.
    depth: usize,
    in_string: bool,
    /// In a string, after a backslash.
    escaped: bool,
    /// An object has ended on the current line, which is therefore not empty.
    line_has_object: bool,
}

impl ObjectSplitter {
    /// For a stream whose objects have at most `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> Self {
        ObjectSplitter {
            max_object_bytes,
            buffer: Vec::new(),
            depth: 0,
            in_string: false,
            escaped: false,
            line_has_object: false,
        }
    }

    /// Takes the next bytes of the stream and adds what they complete to `items`.
    ///
    /// # Errors
    /// The stream can't be read. What came before the fault is in `items`; the splitter is of no more use.
    pub fn push(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        // Where the part of the current object begins that is not buffered yet.
        let mut start = 0;
        for (at, byte) in bytes.iter().enumerate() {
            if self.depth == 0 {
                if *byte == b'{' {
                    (self.depth, start) = (1, at);
                } else {
                    self.push_between_objects(*byte, items)?;
                }
                continue;
            }
            self.push_in_object(*byte)?;
            if self.depth == 0 {
                self.buffer(&bytes[start..=at])?;
                items.push(StreamItem::Object(std::mem::take(&mut self.buffer)));
                self.line_has_object = true;
            }
        }
        if self.depth > 0 { self.buffer(&bytes[start..]) } else { Ok(()) }
    }

    /// How many bytes of the current object are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    fn push_between_objects(&mut self, byte: u8, items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        match byte {
            b'\n' if std::mem::take(&mut self.line_has_object) => {}
            b'\n' => items.push(StreamItem::EmptyLine),
            b' ' | b'\t' | b'\r' => {}
            other => return Err(StreamError::UnexpectedCharacter(char::from(other))),
        }
        Ok(())
    }

    fn push_in_object(&mut self, byte: u8) -> Result<(), StreamError> {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' if self.depth == MAX_NESTING => return Err(StreamError::NestedTooDeep(MAX_NESTING)),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        Ok(())
    }

    fn buffer(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        if self.buffer.len() + bytes.len() > self.max_object_bytes {
            return Err(StreamError::ObjectTooLong(self.max_object_bytes));
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }
}
