//! The platform's wire, as far as servers and clients of the soak speak it.

/// A message with its tag and length.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// The end of a command.
pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// A row with one value.
pub fn row(value: &str) -> Vec<u8> {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")].concat()
}

/// An error of this code.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// A parameter's name and value.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// The request to cancel what the connection of this key waits for.
pub fn cancel(key: &[u8]) -> Vec<u8> {
    [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), key].concat()
}

/// Takes the first whole message off a buffer: its tag and body.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let head = buffer.first_chunk::<5>()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if buffer.len() < 1 + length {
        return None;
    }
    let message: Vec<u8> = buffer.drain(..=length).collect();
    Some((message[0], message[5..].to_vec()))
}

/// The value of a row's only column.
pub fn value(data_row: &[u8]) -> String {
    String::from_utf8_lossy(data_row.get(6..).unwrap_or_default()).into_owned()
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
