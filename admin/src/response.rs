//! The response to a command, and its encoding.

/// The response to an operator's command; the server closes the connection after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The command succeeded: `200 text`.
    Done(String),
    /// The command was rejected, with the reason: `400 text`.
    Rejected(String),
    /// The metrics, one per line, without a status line; a line `EOF` follows them.
    Metrics(String),
    /// An HTTP response with all metrics as its body.
    Http(String),
}

impl Response {
    /// Encodes the response for the wire. Control characters in a text are escaped, so that no part of it can
    /// be taken for another line or move a terminal's cursor. Metrics are sent unchanged, except that a
    /// missing line end is added.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Response::Done(text) => status_line("200 ", &text),
            Response::Rejected(text) => status_line("400 ", &text),
            Response::Metrics(mut lines) => {
                if !lines.is_empty() && !lines.ends_with('\n') {
                    lines.push('\n');
                }
                lines.push_str("EOF\n");
                lines.into_bytes()
            }
            Response::Http(text) => {
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close";
                format!("{head}\r\nContent-Length: {}\r\n\r\n{text}", text.len()).into_bytes()
            }
        }
    }
}

/// Formats a status line: the code with a trailing space, and the escaped text.
fn status_line(code: &str, text: &str) -> Vec<u8> {
    let mut line = String::from(code);
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line.push('\n');
    line.into_bytes()
}
