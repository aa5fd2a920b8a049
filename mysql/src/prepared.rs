//! Statements that clients have prepared. The ids are the router's own; where a statement is prepared on a server is the
//! server connection's concern.
use crate::cursor::Cursor;
use crate::fields::FieldReader;
use crate::request::LongParameters;
use crate::requirements::Requirements;
use std::sync::Arc;

/// The flag of an execution whose rows are fetched through a cursor; the only one that is supported.
const READ_ONLY_CURSOR: u64 = 1;
/// Bytes of a parameter's type.
const TYPE_BYTES: usize = 2;

/// A statement that a client has prepared.
pub struct PreparedStatement {
    /// Its text.
    pub text: Arc<[u8]>,
    /// What its executions require.
    pub requirements: Requirements,
    /// Its parameters.
    pub parameters: Parameters,
    /// Long parameters for the next execution.
    pub long_parameters: LongParameters,
    /// The long parameters could not be accepted: the next execution fails.
    pub long_parameters_rejected: bool,
    /// Rows not fetched yet.
    pub cursor: Option<Cursor>,
}

/// A statement's parameters.
pub struct Parameters {
    /// How many it has.
    pub count: usize,
    /// Their types as the client last sent them, two bytes each; empty before.
    pub types: Vec<u8>,
}

/// An execution for a server: its body behind the statement's id.
#[derive(Debug, PartialEq, Eq)]
pub struct Execution {
    /// Flags, count and parameters.
    pub body: Vec<u8>,
    /// The client wants to fetch the rows through a cursor.
    pub wants_cursor: bool,
}

impl PreparedStatement {
    /// A statement that has just been prepared.
    pub fn new(text: Arc<[u8]>, requirements: Requirements, parameter_count: usize) -> Self {
        PreparedStatement {
            text,
            requirements,
            parameters: Parameters { count: parameter_count, types: Vec::new() },
            long_parameters: LongParameters::new(),
            long_parameters_rejected: false,
            cursor: None,
        }
    }

    /// Drops long parameters and the cursor.
    pub fn reset(&mut self) {
        self.long_parameters.clear();
        self.long_parameters_rejected = false;
        self.cursor = None;
    }

    /// Adds a part of a long parameter, whose index comes first. There is no response: what is wrong fails the next
    /// execution. All parts together may have `max_bytes`.
    pub fn add_long_parameter_part(&mut self, part: &[u8], max_bytes: usize) {
        let mut fields = FieldReader::new(part);
        let index = fields.integer(2).filter(|index| (*index as usize) < self.parameters.count);
        let bytes: usize = self.long_parameters.values().map(Vec::len).sum();
        match index {
            Some(index) if bytes + fields.rest().len() <= max_bytes => {
                self.long_parameters.entry(index as u16).or_default().extend_from_slice(fields.rest());
            }
            _ => self.long_parameters_rejected = true,
        }
    }
}

impl Parameters {
    /// Reads the client's execution; `None` where it is malformed. The types are always forwarded: the server connection
    /// may be another one each time.
    pub fn execution(&mut self, payload: &[u8]) -> Option<Execution> {
        let mut fields = FieldReader::new(payload);
        let (flags, iterations) = (fields.integer(1)?, fields.integer(4)?);
        if flags > READ_ONLY_CURSOR || iterations != 1 {
            return None;
        }
        let mut body = vec![0, 1, 0, 0, 0];
        if self.count > 0 {
            let null_bitmap = fields.bytes(self.count.div_ceil(8))?;
            let has_types = fields.integer(1)? == 1;
            if has_types {
                self.types = fields.bytes(TYPE_BYTES * self.count)?.to_vec();
            }
            if self.types.len() != TYPE_BYTES * self.count {
                return None;
            }
            body.extend_from_slice(null_bitmap);
            body.push(1);
            body.extend_from_slice(&self.types);
            body.extend_from_slice(fields.rest());
        }
        Some(Execution { body, wants_cursor: flags == READ_ONLY_CURSOR })
    }
}
