//! Splits a byte stream into JSON objects and empty lines. Objects may be indented, contain empty lines, and
//! be received in pieces of any size.

use thiserror::Error;

/// Limit for the nesting of braces and brackets; an endpoint list has three levels. The JSON parser recurses
/// once per level, on a thread with a small stack.
pub const MAX_NESTING: usize = 16;

/// An element of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An empty line between objects.
    EmptyLine,
    /// An object from its opening to its closing brace. Only the number of brackets has been checked, not the
    /// syntax.
    Object(Vec<u8>),
}

/// Why a stream cannot be split into objects.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StreamError {
    /// An object exceeds the size limit, given in bytes.
    #[error("an object is longer than {0} bytes: check that this address is discovery's")]
    ObjectTooLong(usize),
    /// An object exceeds the limit for nested braces and brackets.
    #[error("an object has more than {0} levels of nesting: check that this address is discovery's")]
    NestedTooDeep(usize),
    /// The stream contains a character other than white space between two objects.
    #[error("expected an object or an empty line, found '{0}': check that this address is discovery's")]
    UnexpectedCharacter(char),
}

/// Splits one stream. Buffers the received part of the current object, up to the size limit.
#[derive(Debug)]
pub struct ObjectSplitter {
    max_object_bytes: usize,
    buffer: Vec<u8>,
    /// Open braces and brackets; 0 between objects.
    depth: usize,
    in_string: bool,
    /// The previous byte was a backslash within a string.
    escaped: bool,
    /// An object ended on the current line, which therefore does not count as empty.
    line_has_object: bool,
}

impl ObjectSplitter {
    /// Creates a splitter with a size limit for objects.
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

    /// Processes the next bytes of the stream, and appends completed elements to `items`.
    ///
    /// # Errors
    /// If the stream is malformed. `items` then contains the elements before the fault; the splitter must not
    /// be used any more.
    pub fn push(&mut self, bytes: &[u8], items: &mut Vec<StreamItem>) -> Result<(), StreamError> {
        // Start of the part of the current object that is not buffered yet.
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

    /// The number of buffered bytes of the current object.
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
