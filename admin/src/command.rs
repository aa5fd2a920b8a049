//! Parsing of the command line that an operator sends.
use std::fmt::{self, Display, Formatter};
use thiserror::Error;

/// Maximum length of an instance ID in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Path that Prometheus-compatible collectors request.
const METRICS_PATH: &[u8] = b"/metrics";
/// Maximum length of an unknown verb in the error message, in bytes.
const MAX_ECHOED_BYTES: usize = 32;

/// An operator's command. Its `Display` output is the line without the line end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Report the status of the router.
    Status,
    /// Report the metrics in the router's line format.
    Metrics,
    /// Report all metrics in an HTTP response, for collectors: `GET /metrics HTTP/1.1`.
    HttpMetrics,
    /// Put this instance in maintenance.
    Suspend(String),
    /// End the maintenance of this instance.
    Restore(String),
    /// Drain the whole router.
    Pause,
    /// End the drain of the router.
    Resume,
}

/// Why a line is not a valid command. Each message says what to send instead; received bytes appear in it
/// only escaped and truncated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line contains no words.
    #[error("the line is empty; send STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE or RESUME")]
    EmptyLine,
    /// The first word is not a known verb; contains the word, escaped and truncated.
    #[error("unknown command `{0}`; send STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE or RESUME")]
    UnknownVerb(String),
    /// The verb requires an ID, but none follows it.
    #[error("{0} requires an instance; send `{0} ID` with its ID from the endpoint list")]
    MissingId(&'static str),
    /// The word after the verb is not a valid ID.
    #[error("the ID after {0} is not 1 to 256 bytes of visible ASCII; send the ID from the endpoint list")]
    InvalidId(&'static str),
    /// The line has more words after the verb than the verb takes.
    #[error("{verb} is followed by too many words; send `{usage}` alone on the line")]
    TooManyWords {
        /// The command's verb, the first word of the line.
        verb: &'static str,
        /// The correct form of the line.
        usage: &'static str,
    },
    /// The line exceeds the length limit.
    #[error("the line is longer than {max_bytes} bytes; send one command on one line")]
    LineTooLong {
        /// Maximum length of a line in bytes.
        max_bytes: usize,
    },
}

impl Command {
    /// Parses one line, with or without its line end (`\n`, `\r\n`). Verbs are case-insensitive. Words are
    /// separated by spaces or tabs, which are also ignored at both ends of the line.
    ///
    /// # Errors
    /// [`ParseError`], whose message can be sent back as it is.
    pub fn parse(line: &[u8]) -> Result<Command, ParseError> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let mut words = line.split(|&b| b == b' ' || b == b'\t').filter(|word| !word.is_empty());
        let verb = words.next().ok_or(ParseError::EmptyLine)?;
        let arguments = Arguments { first: words.next(), has_more: words.next().is_some() };
        match verb.to_ascii_uppercase().as_slice() {
            b"STATUS" => arguments.expect_none("STATUS").map(|()| Command::Status),
            b"METRICS" => arguments.expect_none("METRICS").map(|()| Command::Metrics),
            b"GET" if arguments.first == Some(METRICS_PATH) => Ok(Command::HttpMetrics),
            b"SUSPEND" => arguments.expect_id("SUSPEND", "SUSPEND ID").map(Command::Suspend),
            b"RESTORE" => arguments.expect_id("RESTORE", "RESTORE ID").map(Command::Restore),
            b"PAUSE" => arguments.expect_none("PAUSE").map(|()| Command::Pause),
            b"RESUME" => arguments.expect_none("RESUME").map(|()| Command::Resume),
            _ => {
                let echoed = &verb[..verb.len().min(MAX_ECHOED_BYTES)];
                Err(ParseError::UnknownVerb(echoed.escape_ascii().to_string()))
            }
        }
    }
}

impl Display for Command {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Command::Status => f.write_str("STATUS"),
            Command::Metrics => f.write_str("METRICS"),
            Command::HttpMetrics => f.write_str("GET /metrics"),
            Command::Suspend(id) => write!(f, "SUSPEND {id}"),
            Command::Restore(id) => write!(f, "RESTORE {id}"),
            Command::Pause => f.write_str("PAUSE"),
            Command::Resume => f.write_str("RESUME"),
        }
    }
}

/// The words after the verb.
struct Arguments<'a> {
    first: Option<&'a [u8]>,
    /// Whether more words follow the first one.
    has_more: bool,
}

impl Arguments<'_> {
    fn expect_none(&self, verb: &'static str) -> Result<(), ParseError> {
        match self.first {
            None => Ok(()),
            Some(_) => Err(ParseError::TooManyWords { verb, usage: verb }),
        }
    }

    fn expect_id(&self, verb: &'static str, usage: &'static str) -> Result<String, ParseError> {
        let id = self.first.ok_or(ParseError::MissingId(verb))?;
        if self.has_more {
            return Err(ParseError::TooManyWords { verb, usage });
        }
        let valid = id.len() <= MAX_ID_BYTES && id.iter().all(u8::is_ascii_graphic);
        let text = std::str::from_utf8(id).ok().filter(|_| valid).ok_or(ParseError::InvalidId(verb))?;
        Ok(text.to_string())
    }
}
