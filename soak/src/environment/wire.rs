//! The platform's messages (`PostgreSQL`'s protocol), as far as servers and clients of the soak use them.

/// Tags of messages.
pub mod tag {
    /// A client's query.
    pub const QUERY: u8 = b'Q';
    /// Authentication is over.
    pub const AUTHENTICATION: u8 = b'R';
    /// The key that cancels the connection's requests.
    pub const BACKEND_KEY: u8 = b'K';
    /// The end of a command.
    pub const READY: u8 = b'Z';
    /// The description of a row.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// A row.
    pub const DATA_ROW: u8 = b'D';
    /// A command was completed.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// An error.
    pub const ERROR: u8 = b'E';
    /// A parameter's value.
    pub const PARAMETER: u8 = b'S';
    /// The answer to an empty query.
    pub const EMPTY_QUERY: u8 = b'I';
}

/// Fields of an error.
pub mod error_fields {
    /// Its severity.
    pub const SEVERITY: char = 'S';
    /// Its code.
    pub const CODE: char = 'C';
}

/// The severity of errors that end their connection.
pub const FATAL: &str = "FATAL";
/// Bytes of a backend key.
pub const KEY_BYTES: usize = 8;

/// Bytes of a message's tag and length.
const HEAD_BYTES: usize = 5;
/// Bytes of a length, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of a request to cancel.
const CANCEL_BYTES: u32 = 16;
/// The code that a request to cancel has in place of a version.
const CANCEL_CODE: u32 = 80_877_102;
/// Bytes of a row with one column in front of its value.
const ROW_HEAD_BYTES: usize = 6;

/// A message that was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its tag.
    pub tag: u8,
    /// What follows its length.
    pub body: Vec<u8>,
}

/// A message with its tag and length.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &length_of(body), body].concat()
}

fn length_of(body: &[u8]) -> [u8; LENGTH_BYTES] {
    ((body.len() + LENGTH_BYTES) as u32).to_be_bytes()
}

/// A query.
pub fn query(statement: &str) -> Vec<u8> {
    message(tag::QUERY, format!("{statement}\0").as_bytes())
}

/// The end of a command.
pub fn ready() -> Vec<u8> {
    message(tag::READY, b"I")
}

/// The server's answer to a startup message.
pub fn greeting() -> Vec<u8> {
    [message(tag::AUTHENTICATION, &[0; 4]), ready()].concat()
}

/// A row with one value.
pub fn row(value: &str) -> Vec<u8> {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let messages = [
        message(tag::ROW_DESCRIPTION, &column),
        message(tag::DATA_ROW, &cell),
        message(tag::COMMAND_COMPLETE, b"SELECT 1\0"),
    ];
    messages.concat()
}

/// An error of this code.
pub fn error(code: &str) -> Vec<u8> {
    message(tag::ERROR, format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// A parameter's name and value.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(tag::PARAMETER, format!("{name}\0{value}\0").as_bytes())
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&length_of(body)[..], body].concat()
}

/// The request to cancel what the connection of this key waits for.
pub fn cancel(key: &[u8]) -> Vec<u8> {
    [&CANCEL_BYTES.to_be_bytes()[..], &CANCEL_CODE.to_be_bytes(), key].concat()
}

/// Takes the first message off a buffer, once all of it is there.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let [tag, length @ ..] = *buffer.first_chunk::<HEAD_BYTES>()?;
    let length = u32::from_be_bytes(length) as usize;
    if buffer.len() < 1 + length {
        return None;
    }
    let bytes: Vec<u8> = buffer.drain(..=length).collect();
    Some(Message { tag, body: bytes[HEAD_BYTES..].to_vec() })
}

/// The length of the startup message at the front.
pub fn startup_length(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk()?) as usize;
    Some(length.max(2 * LENGTH_BYTES))
}

/// The length of the message at the front, tag included.
pub fn message_length(bytes: &[u8]) -> Option<usize> {
    let [_, length @ ..] = *bytes.first_chunk::<HEAD_BYTES>()?;
    Some(1 + (u32::from_be_bytes(length) as usize).max(LENGTH_BYTES))
}

/// The value of a row's only column.
pub fn value(data_row: &[u8]) -> String {
    String::from_utf8_lossy(data_row.get(ROW_HEAD_BYTES..).unwrap_or_default()).into_owned()
}

/// A field of an error.
pub fn error_field(body: &[u8], name: char) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split('\0').find_map(|part| part.strip_prefix(name)).map(str::to_string)
}

/// The value of a pair in a statement's comment.
pub fn pair<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split("/*").nth(1)?.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
