//! Encoding of protocol messages, and writing them to a client.
use std::io::{self, IoSlice};
use std::net::TcpStream;

/// `ReadyForQuery` with the state "idle" (no transaction): the end of a command's response.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// Appends a message with this tag; `body` holds the parts of its body.
pub fn push_message(to: &mut Vec<u8>, tag: u8, body: &[&[u8]]) {
    let length = 4 + body.iter().map(|part| part.len()).sum::<usize>();
    to.push(tag);
    to.extend_from_slice(&(length as u32).to_be_bytes());
    body.iter().for_each(|part| to.extend_from_slice(part));
}

/// Severity of an error, which says whether the session continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The command failed; the session continues.
    Error,
    /// The error ends the session.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Appends an `ErrorResponse`; `detail` becomes the detail field (`D`).
pub fn push_error(to: &mut Vec<u8>, severity: Severity, code: &str, text: &str, detail: Option<&str>) {
    let severity = severity.as_str();
    let mut fields: Vec<&[u8]> = Vec::with_capacity(16);
    for (name, value) in [(b"S", severity), (b"V", severity), (b"C", code), (b"M", text)] {
        fields.extend([&name[..], value.as_bytes(), b"\0"]);
    }
    if let Some(detail) = detail {
        fields.extend([&b"D"[..], detail.as_bytes(), b"\0"]);
    }
    fields.push(b"\0");
    push_message(to, b'E', &fields);
}

/// Appends a `ParameterStatus`.
pub fn push_parameter(to: &mut Vec<u8>, name: &str, value: &str) {
    push_message(to, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
}

/// Converts the parts to the slices that a vectored write takes.
pub fn io_slices<'a>(parts: &[&'a [u8]]) -> Vec<IoSlice<'a>> {
    parts.iter().map(|part| IoSlice::new(part)).collect()
}

/// Writes all parts to a client with vectored writes, in as few system calls as possible.
///
/// # Errors
/// Fails if the write fails or times out.
pub fn write_gathered(to: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    routing::socket::write_all_vectored(to, &mut io_slices(parts))
}
