//! Encodes and decodes the messages of the `PostgreSQL` protocol that the simulated servers and clients use.

/// The tags of messages.
pub mod tag {
    /// `Query`: a client's statement.
    pub const QUERY: u8 = b'Q';
    /// `AuthenticationOk`: the client is authenticated.
    pub const AUTHENTICATION: u8 = b'R';
    /// `BackendKeyData`: the key with which the connection's requests can be cancelled.
    pub const BACKEND_KEY: u8 = b'K';
    /// `ReadyForQuery`: the end of a command.
    pub const READY: u8 = b'Z';
    /// `RowDescription`: the columns of the following rows.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// `DataRow`: a row.
    pub const DATA_ROW: u8 = b'D';
    /// `CommandComplete`: a command has been executed.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// `ErrorResponse`: an error.
    pub const ERROR: u8 = b'E';
    /// `ParameterStatus`: the value of a parameter.
    pub const PARAMETER: u8 = b'S';
    /// `EmptyQueryResponse`: the response to an empty query.
    pub const EMPTY_QUERY: u8 = b'I';
}

/// The fields of an error message.
pub mod error_fields {
    /// The field for the error's severity.
    pub const SEVERITY: char = 'S';
    /// The field for the error's code.
    pub const CODE: char = 'C';
}

/// The severity of errors that end their connection.
pub const FATAL: &str = "FATAL";
/// The size of a backend key, in bytes.
pub const KEY_BYTES: usize = 8;

/// The size of a message's tag and length field, in bytes.
const HEADER_BYTES: usize = 5;
/// The size of a length field, in bytes. The length includes the field itself.
const LENGTH_BYTES: usize = 4;
/// The size of a cancel request, in bytes.
const CANCEL_BYTES: u32 = 16;
/// The code that a cancel request has in place of the protocol version.
const CANCEL_CODE: u32 = 80_877_102;
/// The number of bytes before the value in a row with one column.
const ROW_HEAD_BYTES: usize = 6;

/// A message received on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The tag, which identifies the type of the message.
    pub tag: u8,
    /// The bytes after the length field.
    pub body: Vec<u8>,
}

/// Encodes a message with its tag and length.
pub fn encode_message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &encode_length(body), body].concat()
}

fn encode_length(body: &[u8]) -> [u8; LENGTH_BYTES] {
    ((body.len() + LENGTH_BYTES) as u32).to_be_bytes()
}

/// Encodes the message that sends a query.
pub fn query_message(statement: &str) -> Vec<u8> {
    encode_message(tag::QUERY, format!("{statement}\0").as_bytes())
}

/// Encodes `ReadyForQuery`, the end of a command.
pub fn ready_for_query() -> Vec<u8> {
    encode_message(tag::READY, b"I")
}

/// Encodes the server's response to a startup message.
pub fn startup_response() -> Vec<u8> {
    [encode_message(tag::AUTHENTICATION, &[0; 4]), ready_for_query()].concat()
}

/// Encodes the response to a query with one row that has one value.
pub fn row_response(value: &str) -> Vec<u8> {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let messages = [
        encode_message(tag::ROW_DESCRIPTION, &column),
        encode_message(tag::DATA_ROW, &cell),
        encode_message(tag::COMMAND_COMPLETE, b"SELECT 1\0"),
    ];
    messages.concat()
}

/// Encodes an error with this code.
pub fn error_message(code: &str) -> Vec<u8> {
    encode_message(tag::ERROR, format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Encodes a parameter's name and value.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    encode_message(tag::PARAMETER, format!("{name}\0{value}\0").as_bytes())
}

/// Encodes the startup message of a client.
pub fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&encode_length(body)[..], body].concat()
}

/// Encodes a cancel request for the connection with this backend key.
pub fn cancel_request(key: &[u8]) -> Vec<u8> {
    [&CANCEL_BYTES.to_be_bytes()[..], &CANCEL_CODE.to_be_bytes(), key].concat()
}

/// Removes the first message from a buffer, if it is complete.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let [tag, length @ ..] = *buffer.first_chunk::<HEADER_BYTES>()?;
    let length = u32::from_be_bytes(length) as usize;
    if buffer.len() < 1 + length {
        return None;
    }
    let bytes: Vec<u8> = buffer.drain(..=length).collect();
    Some(Message { tag, body: bytes[HEADER_BYTES..].to_vec() })
}

/// Returns the length of the startup message at the start of the bytes.
pub fn startup_length(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk()?) as usize;
    Some(length.max(2 * LENGTH_BYTES))
}

/// Returns the length of the message at the start of the bytes, including its tag.
pub fn message_length(bytes: &[u8]) -> Option<usize> {
    let [_, length @ ..] = *bytes.first_chunk::<HEADER_BYTES>()?;
    Some(1 + (u32::from_be_bytes(length) as usize).max(LENGTH_BYTES))
}

/// Returns the value of a row's only column.
pub fn row_value(data_row: &[u8]) -> String {
    String::from_utf8_lossy(data_row.get(ROW_HEAD_BYTES..).unwrap_or_default()).into_owned()
}

/// Returns a field of an error message.
pub fn error_field(body: &[u8], name: char) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split('\0').find_map(|part| part.strip_prefix(name)).map(str::to_string)
}

/// Returns the value of a key-value pair in a statement's comment.
pub fn comment_value<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("/*").nth(1)?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
