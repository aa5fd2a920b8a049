//! Parsing of an instance's response to one exchange, message by message. The parser uses no socket and no
//! clock, so that tests can cover every way in which a response can end early or be malformed.
use crate::buffer::HEADER_BYTES;
use crate::decode::{describes_one_column, error_fields, is_command_tag, parameter_status, single_value};
use crate::instance_report::{InstanceReport, parse_load_report};
use routing::protocol::ExchangeResult;
use routing::{MemberReport, Outcome, Time};

/// Maximum size of everything in a response but its value, in bytes: headers, parameters and notices.
pub const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// Usual maximum length of what follows a row, in bytes: its `CommandComplete`.
const MAX_END_BYTES: usize = 64;

/// How the reading of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// `ReadyForQuery` was received.
    Ready,
    /// The connection was closed or failed before `ReadyForQuery`.
    Closed,
    /// No further message was received in time.
    TimedOut,
    /// A message was received that is not valid in a response. Reports in the same response are not trusted
    /// then, but a complete row before the message is.
    Malformed,
}

/// How much of a response has been parsed.
#[derive(Clone, Copy, PartialEq)]
enum Progress {
    Nothing,
    RowDescription,
    DataRow,
    /// A row and `CommandComplete`.
    Complete,
    /// An error, without any part of a row before it.
    Error {
        outcome: Outcome,
        fatal: bool,
    },
}

/// What kind of exchange a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A client's statement, whose response is forwarded to the client.
    Statement,
    /// A probe, whose response has a load report as its value.
    Probe,
}

/// Error for a message that is not valid at its place in a response.
struct UnexpectedMessage;

/// Parses a response, which consists of a row description, a row and `CommandComplete`, or of an error; then
/// `ReadyForQuery`. Parameters and notices may come in between.
pub struct ResponseParser {
    kind: ResponseKind,
    max_value_bytes: usize,
    /// Maximum size of the rest of the response, in bytes.
    remaining_bytes: usize,
    progress: Progress,
    report: InstanceReport,
    /// The messages that are forwarded to the client.
    response: Vec<u8>,
}

impl ResponseParser {
    /// Creates a parser for a response whose value has at most `max_value_bytes`.
    pub fn new(kind: ResponseKind, max_value_bytes: usize) -> ResponseParser {
        ResponseParser {
            kind,
            max_value_bytes,
            remaining_bytes: max_value_bytes + MAX_OVERHEAD_BYTES,
            progress: Progress::Nothing,
            report: InstanceReport::default(),
            response: Vec::new(),
        }
    }

    /// Returns whether the row or the error is complete. Only parameters, notices and `ReadyForQuery` can
    /// follow, which the client does not have to wait for.
    pub fn is_complete(&self) -> bool {
        matches!(self.progress, Progress::Complete | Progress::Error { .. })
    }

    /// Parses the next message, given with its tag and length. Returns how the response ended if this was its
    /// last message.
    pub fn push_message(&mut self, message: &[u8], now: Time) -> Option<ResponseEnd> {
        match self.parse_message(message, now) {
            Ok(end) => end,
            Err(UnexpectedMessage) => Some(ResponseEnd::Malformed),
        }
    }

    fn parse_message(&mut self, message: &[u8], now: Time) -> Result<Option<ResponseEnd>, UnexpectedMessage> {
        self.remaining_bytes = self.remaining_bytes.checked_sub(message.len()).ok_or(UnexpectedMessage)?;
        let (header, body) = message.split_at_checked(HEADER_BYTES).ok_or(UnexpectedMessage)?;
        let tag = header[0];
        match (tag, self.progress) {
            (b'T', Progress::Nothing) if describes_one_column(body) => {
                self.progress = Progress::RowDescription;
            }
            (b'D', Progress::RowDescription) => self.parse_row(body, now)?,
            (b'C', Progress::DataRow) if is_command_tag(body) => self.progress = Progress::Complete,
            (b'E', Progress::Nothing) => self.parse_error(body)?,
            (b'S', _) => {
                let (name, value) = parameter_status(body).ok_or(UnexpectedMessage)?;
                self.report.set_parameter(name, value, now);
            }
            (b'N', _) => {}
            (b'Z', _) if self.is_complete() && body == b"I" => return Ok(Some(ResponseEnd::Ready)),
            // An error after part of a row is malformed too: whatever its code says, the instance has started
            // to execute the statement.
            _ => return Err(UnexpectedMessage),
        }
        if matches!(tag, b'T' | b'D' | b'C') && self.kind == ResponseKind::Statement {
            // Without this, the short message after a long row would double the capacity.
            self.response.reserve_exact(message.len() + MAX_END_BYTES);
            self.response.extend_from_slice(message);
        }
        Ok(None)
    }

    fn parse_row(&mut self, body: &[u8], now: Time) -> Result<(), UnexpectedMessage> {
        let value = single_value(body).filter(|value| value.len() <= self.max_value_bytes);
        let value = value.ok_or(UnexpectedMessage)?;
        if self.kind == ResponseKind::Probe {
            let text = std::str::from_utf8(value).ok();
            self.report.load_report = text.and_then(|t| parse_load_report(t, now)).unwrap_or_default();
        }
        self.progress = Progress::DataRow;
        Ok(())
    }

    fn parse_error(&mut self, body: &[u8]) -> Result<(), UnexpectedMessage> {
        let error = error_fields(body).ok_or(UnexpectedMessage)?;
        let outcome = match error.code {
            // `read_only_sql_transaction`: the instance is not the primary; `snapshot_too_old`: its data is
            // not fresh enough.
            "25006" | "72000" => Outcome::NotEligible,
            // `too_many_connections` and `cannot_connect_now`: the statement was not executed, so a retry is
            // safe (see PROTOCOL).
            "53300" | "57P03" => Outcome::Rejected,
            _ => Outcome::Error,
        };
        self.progress = Progress::Error { outcome, fatal: error.fatal };
        Ok(())
    }

    /// Returns the result of the exchange after its response has ended. `unread` holds the bytes that were
    /// read after the last complete message.
    pub fn finish(self, end: ResponseEnd, unread: &[u8], now: Time) -> ExchangeResult<Vec<u8>> {
        let end = if self.is_consistent_with(end, unread) { end } else { ResponseEnd::Malformed };
        let outcome = self.outcome(end, unread);
        let served = outcome == Outcome::Ok && self.kind == ResponseKind::Statement;
        let report = if end == ResponseEnd::Malformed { InstanceReport::default() } else { self.report };
        // The report of the position after a write may have been lost with the end of the response. The write
        // was committed by now, and later reads of its session have to observe it.
        let commit = (served && end != ResponseEnd::Ready && report.position.is_none()).then_some(now);
        ExchangeResult {
            outcome,
            response: served.then_some(self.response),
            response_report: MemberReport { primary: report.primary, position: report.position },
            commit,
            load_report: report.load_report,
            reusable: end == ResponseEnd::Ready,
        }
    }

    /// Returns whether `unread` can be part of this response.
    fn is_consistent_with(&self, end: ResponseEnd, unread: &[u8]) -> bool {
        match (end, unread.first()) {
            // Bytes after the end of the response belong to no exchange, so the response before them may
            // belong to another one too.
            (ResponseEnd::Ready, Some(_)) => false,
            // After a complete row or error, another row or error would start a further response.
            (_, Some(tag)) if self.is_complete() => matches!(tag, b'S' | b'N' | b'Z'),
            _ => true,
        }
    }

    /// Returns the outcome from the messages that were received completely before the connection failed: a
    /// complete row counts as a response, and an error counts with its code.
    fn outcome(&self, end: ResponseEnd, unread: &[u8]) -> Outcome {
        match self.progress {
            Progress::Complete => Outcome::Ok,
            Progress::Error { outcome, fatal } => {
                // The instance may have sent the error before it read the statement, while it was closing the
                // connection. So the outcome for the error's code applies only if no further message can
                // follow.
                let is_last = match end {
                    ResponseEnd::Ready | ResponseEnd::Closed => true,
                    // The session has ended, although its connection is still open.
                    ResponseEnd::TimedOut => fatal && unread.is_empty(),
                    ResponseEnd::Malformed => false,
                };
                if is_last { outcome } else { Outcome::Error }
            }
            Progress::Nothing | Progress::RowDescription | Progress::DataRow => match end {
                ResponseEnd::Closed => Outcome::Reset,
                ResponseEnd::TimedOut => Outcome::TimedOut,
                ResponseEnd::Ready | ResponseEnd::Malformed => Outcome::Error,
            },
        }
    }
}
