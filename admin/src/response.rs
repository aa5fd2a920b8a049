//! The response to a command, and its bytes.

/// What is sent back to the operator; the server closes the connection after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The command was carried out: `200 text`.
    Done(String),
    /// The command was not carried out, and why: `400 text`.
    Rejected(String),
    /// The text of the metrics, one a line, without a status line before them; a line `EOF` follows them.
    Metrics(String),
    /// An HTTP response with the text of all metrics.
    Http(String),
}

impl Response {
    /// The bytes on the wire. Control characters of a text are escaped, so that no part of it can pass for another line
    /// or move a terminal's cursor. Metrics are sent as they are; a missing last line end is added.
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

/// One line: the code, with the space behind it, and the escaped text.
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
