//! Messages of the `PostgreSQL` protocol, which the platform's clients and instances use.
use std::io::Read;
use std::net::TcpStream;

/// Reads exactly this many bytes.
pub(crate) fn read_bytes(mut from: &TcpStream, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    from.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Encodes a message with this tag and body.
pub(crate) fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Reads the next message; returns its tag and its body.
pub(crate) fn read_message(socket: &TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let head = read_bytes(socket, 5)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    Ok((head[0], read_bytes(socket, length - 4)?))
}

/// A complete response of one row with one column.
pub(crate) fn row_response(value: &str) -> Vec<u8> {
    let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")].concat()
}
