//! The line that an operator sends.
use std::fmt::{self, Display, Formatter};
use thiserror::Error;

/// The longest instance ID, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Where collectors of metrics look for them.
const METRICS_PATH: &[u8] = b"/metrics";
/// How much of an unknown verb is repeated in the error, in bytes.
const MAX_ECHOED_BYTES: usize = 32;

/// An operator's command. Its `Display` is the line without the line end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Report the state of the router.
    Status,
    /// Report the metrics.
    Metrics,
    /// Report all metrics as HTTP, for whatever collects them: `GET /metrics HTTP/1.1`.
    HttpMetrics,
    /// Put this instance in maintenance.
    Suspend(String),
    /// End the maintenance of this instance.
    Restore(String),
    /// Drain the router.
    Pause,
    /// End the drain.
    Resume,
}

/// Why a line is not a command. Each message says what to send instead; received bytes appear in it only escaped and
/// truncated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line has no words.
    #[error("the line is empty; send STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE or RESUME")]
    EmptyLine,
    /// The first word is no verb; the word, escaped and truncated.
    #[error("there is no call `{0}`; send STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE or RESUME")]
    UnknownVerb(String),
    /// The verb needs an ID and none follows it.
    #[error("{0} needs an instance; send `{0} ID` with its ID as the list of servers has it")]
    MissingId(&'static str),
    /// The word after the verb is not a valid ID.
    #[error("the ID after {0} is not 1 to 256 bytes of visible ASCII; send it as the list of servers has it")]
    InvalidId(&'static str),
    /// More words than the verb takes.
    #[error("{verb} is followed by too many words; send `{usage}` alone on the line")]
    TooManyWords {
        /// The verb.
        verb: &'static str,
        /// The line as it should be.
        usage: &'static str,
    },
    /// No line end within the limit.
    #[error("the line is longer than {max_bytes} bytes; send one call of one line")]
    LineTooLong {
        /// The limit.
        max_bytes: usize,
    },
}

impl Command {
    /// Parses one line, with or without its line end (`\n`, `\r\n`). Verbs may be in lower case. Spaces or tabs separate
    /// the words and are ignored around them.
    ///
    /// # Errors
    /// [`ParseError`], whose message may be sent back as it is.
    pub fn parse(line: &[u8]) -> Result<Command, ParseError> {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let mut words = line.split(|&b| b == b' ' || b == b'\t').filter(|word| !word.is_empty());
        let verb = words.next().ok_or(ParseError::EmptyLine)?;
        let arguments = Arguments { first: words.next(), more: words.next().is_some() };
        match verb.to_ascii_uppercase().as_slice() {
            b"STATUS" => arguments.none("STATUS").map(|()| Command::Status),
            b"METRICS" => arguments.none("METRICS").map(|()| Command::Metrics),
            b"GET" if arguments.first == Some(METRICS_PATH) => Ok(Command::HttpMetrics),
            b"SUSPEND" => arguments.id("SUSPEND", "SUSPEND ID").map(Command::Suspend),
            b"RESTORE" => arguments.id("RESTORE", "RESTORE ID").map(Command::Restore),
            b"PAUSE" => arguments.none("PAUSE").map(|()| Command::Pause),
            b"RESUME" => arguments.none("RESUME").map(|()| Command::Resume),
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
    /// Whether there is a second one.
    more: bool,
}

impl Arguments<'_> {
    fn none(&self, verb: &'static str) -> Result<(), ParseError> {
        match self.first {
            None => Ok(()),
            Some(_) => Err(ParseError::TooManyWords { verb, usage: verb }),
        }
    }

    fn id(&self, verb: &'static str, usage: &'static str) -> Result<String, ParseError> {
        let id = self.first.ok_or(ParseError::MissingId(verb))?;
        if self.more {
            return Err(ParseError::TooManyWords { verb, usage });
        }
        let valid = id.len() <= MAX_ID_BYTES && id.iter().all(u8::is_ascii_graphic);
        let text = std::str::from_utf8(id).ok().filter(|_| valid).ok_or(ParseError::InvalidId(verb))?;
        Ok(text.to_string())
    }
}
