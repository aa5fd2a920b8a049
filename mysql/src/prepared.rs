//! Statements that clients have prepared. The router assigns the clients' statement IDs. The IDs on the
//! servers are managed by each server connection.
use crate::cursor::Cursor;
use crate::fields::FieldReader;
use crate::request::LongParameters;
use crate::requirements::Requirements;
use client_listener::memory::{MemoryPool, MemoryReservation};
use std::sync::Arc;

/// Flag of an execution that opens a read-only cursor. No other cursor type is supported.
const READ_ONLY_CURSOR: u64 = 1;
/// Memory of a long parameter for each of its bytes: its buffer grows up to twice its length.
const LONG_PARAMETER_COPIES: usize = 2;
/// Length of a parameter type, in bytes.
const PARAMETER_TYPE_BYTES: usize = 2;

/// A statement that a client has prepared.
pub struct PreparedStatement {
    /// Text of the statement.
    pub text: Arc<[u8]>,
    /// Routing requirements of the statement's executions.
    pub requirements: Requirements,
    /// Number and types of the statement's parameters.
    pub parameters: Parameters,
    /// Long parameters that were received for the statement's next execution.
    pub long_parameters: LongParameters,
    /// Whether long parameters were invalid or too long, so that the next execution fails.
    pub long_parameters_rejected: bool,
    /// Open cursor, if there is one.
    pub cursor: Option<Cursor>,
    /// Memory of the statement itself.
    _memory: MemoryReservation,
    /// Memory of the long parameters.
    long_parameter_memory: MemoryReservation,
}

/// Number and types of a statement's parameters.
pub struct Parameters {
    /// Number of the statement's parameters.
    pub count: usize,
    /// Parameter types as the client last sent them, two bytes each. Empty if the client has sent none yet.
    pub types: Vec<u8>,
}

/// An execution of a prepared statement, ready to be sent to a server.
#[derive(Debug, PartialEq, Eq)]
pub struct Execution {
    /// Payload of the execution after the statement ID: flags, iteration count and parameters.
    pub body: Vec<u8>,
    /// Whether the client requests a cursor.
    pub wants_cursor: bool,
}

impl PreparedStatement {
    /// Creates the state of a newly prepared statement. `memory` is what is reserved for it.
    pub fn new(
        text: Arc<[u8]>,
        requirements: Requirements,
        parameter_count: usize,
        memory: MemoryReservation,
        pool: &MemoryPool,
    ) -> Self {
        PreparedStatement {
            text,
            requirements,
            parameters: Parameters { count: parameter_count, types: Vec::new() },
            long_parameters: LongParameters::new(),
            long_parameters_rejected: false,
            cursor: None,
            _memory: memory,
            long_parameter_memory: MemoryReservation::new(pool),
        }
    }

    /// Discards the long parameters and the cursor.
    pub fn reset(&mut self) {
        self.long_parameters.clear();
        self.long_parameter_memory.release();
        self.long_parameters_rejected = false;
        self.cursor = None;
    }

    /// Appends a part of a long parameter. `part` starts with the parameter's index. The command has no
    /// response, so an error makes the next execution fail. All parts together may have up to `max_bytes`.
    pub fn add_long_parameter_part(&mut self, part: &[u8], max_bytes: usize) {
        let mut fields = FieldReader::new(part);
        let index = fields.integer(2).filter(|index| (*index as usize) < self.parameters.count);
        let bytes: usize = self.long_parameters.values().map(Vec::len).sum();
        match index {
            Some(index)
                if bytes + fields.rest().len() <= max_bytes
                    && self
                        .long_parameter_memory
                        .grow_message_to(LONG_PARAMETER_COPIES * (bytes + fields.rest().len())) =>
            {
                self.long_parameters.entry(index as u16).or_default().extend_from_slice(fields.rest());
            }
            _ => self.long_parameters_rejected = true,
        }
    }
}

impl PreparedStatement {
    /// Removes the long parameters and their memory, which is released when the reservation is dropped.
    pub fn take_long_parameters(&mut self) -> (LongParameters, MemoryReservation) {
        let memory = self.long_parameter_memory.take();
        (std::mem::take(&mut self.long_parameters), memory)
    }
}

impl Parameters {
    /// Parses the payload of an execution after the statement ID. Returns `None` if it is malformed. The body
    /// always contains the parameter types, because each execution may use another server connection.
    pub fn parse_execution(&mut self, payload: &[u8]) -> Option<Execution> {
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
                self.types = fields.bytes(PARAMETER_TYPE_BYTES * self.count)?.to_vec();
            }
            if self.types.len() != PARAMETER_TYPE_BYTES * self.count {
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
