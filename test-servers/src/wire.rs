//! The server's side of MySQL's client/server protocol (handshake 10, protocol 4.1), as far as a router uses it. Any
//! user is let in.
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// An OK payload.
pub const OK: &[u8] = &[0, 1, 0, 2, 0, 0, 0];
/// An EOF payload.
pub const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// Payloads as packets, numbered from `first` on.
pub fn packets(first: u8, payloads: &[&[u8]]) -> Vec<u8> {
    let framed = payloads.iter().enumerate().flat_map(|(i, p)| {
        [&(p.len() as u32).to_le_bytes()[..3], &[first.wrapping_add(i as u8)], p].concat()
    });
    framed.collect()
}

/// A text with its length in front.
pub fn text(s: &str) -> Vec<u8> {
    [&[s.len() as u8][..], s.as_bytes()].concat()
}

/// A column's definition.
pub fn column(name: &str) -> Vec<u8> {
    let names = ["def", "", "", "", name, ""].map(text).concat();
    [&names[..], &[0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]].concat()
}

/// A result of one row of text.
pub fn row(cells: &[&str]) -> Vec<u8> {
    let columns: Vec<Vec<u8>> = cells.iter().map(|_| column("c")).collect();
    let (count, cells) = ([cells.len() as u8], cells.iter().map(|c| text(c)).collect::<Vec<_>>().concat());
    let mut all: Vec<&[u8]> = vec![&count];
    all.extend(columns.iter().map(Vec::as_slice));
    all.extend([EOF, &cells, EOF]);
    packets(1, &all)
}

/// An ERR payload.
pub fn error(code: u16, text: &str) -> Vec<u8> {
    packets(1, &[&[&[0xff][..], &code.to_le_bytes(), b"#HY000", text.as_bytes()].concat()])
}

/// Reads one packet.
pub fn read(mut socket: &TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    socket.read_exact(&mut head)?;
    let mut payload = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
    socket.read_exact(&mut payload)?;
    Ok(payload)
}

/// The server's greeting, as a packet.
pub fn greeting() -> Vec<u8> {
    let flags: u32 = 1 << 3 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 17 | 1 << 18 | 1 << 19;
    let (low, nonce) = (flags.to_le_bytes(), [7u8; 20]);
    let greeting = [
        &b"\x0a8.0.1\0\x01\0\0\0"[..],
        &nonce[..8],
        &[0],
        &low[..2],
        &[45, 2, 0],
        &low[2..],
        &[21],
        &[0; 10],
        &nonce[8..],
        &[0],
        b"mysql_native_password\0",
    ]
    .concat();
    packets(0, &[&greeting])
}

/// Greets a client and lets it in.
pub fn greet(mut socket: &TcpStream) -> io::Result<()> {
    socket.write_all(&greeting())?;
    read(socket)?;
    socket.write_all(&packets(2, &[OK]))
}
