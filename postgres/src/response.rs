//! Parsing of one response of an instance, message by message. It needs no socket and no clock, so that tests can play
//! through every way in which a response can stop or go wrong.
use crate::buffer::HEAD_BYTES;
use crate::decode::{describes_one_column, error_fields, is_command_tag, parameter_status, single_value};
use crate::instance_report::{InstanceReport, parse_load_report};
use routing::protocol::ExchangeResult;
use routing::{MemberReport, Outcome, Time};

/// Bytes that a response may hold beside its value: heads, parameters and notices.
pub const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// How reading a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// With `ReadyForQuery`.
    Ready,
    /// The connection ended or failed first.
    Closed,
    /// Nothing more came in time.
    TimedOut,
    /// With something that has no place in a response. What came beside a complete row is not trusted.
    Malformed,
}

/// What of a response has been parsed.
#[derive(Clone, Copy, PartialEq)]
enum Progress {
    Nothing,
    RowDescription,
    DataRow,
    /// The row and `CommandComplete`.
    Complete,
    /// An error, and nothing of a row before it.
    Error {
        outcome: Outcome,
        fatal: bool,
    },
}

/// What a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A client's statement: the response is passed on.
    Statement,
    /// A probe: its value is a load report.
    Probe,
}

/// A message that has no place in a response.
struct Unexpected;

/// Parses a response: a row's description, the row and its end, or an error; with parameters and notices in between;
/// and `ReadyForQuery`.
pub struct ResponseParser {
    kind: ResponseKind,
    max_value_bytes: usize,
    /// Bytes that the rest of the response may still have.
    remaining_bytes: usize,
    progress: Progress,
    report: InstanceReport,
    /// The messages that the client gets.
    response: Vec<u8>,
}

impl ResponseParser {
    /// A parser for a response with a value of up to `max_value_bytes`.
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

    /// Whether the row or the error is complete: only parameters, notices and `ReadyForQuery` can follow, and a client
    /// need not wait for them.
    pub fn is_complete(&self) -> bool {
        matches!(self.progress, Progress::Complete | Progress::Error { .. })
    }

    /// Takes the next message, with its tag and length. Returns how the response ended if this was its last one.
    pub fn push_message(&mut self, message: &[u8], now: Time) -> Option<ResponseEnd> {
        match self.parse_message(message, now) {
            Ok(end) => end,
            Err(Unexpected) => Some(ResponseEnd::Malformed),
        }
    }

    fn parse_message(&mut self, message: &[u8], now: Time) -> Result<Option<ResponseEnd>, Unexpected> {
        self.remaining_bytes = self.remaining_bytes.checked_sub(message.len()).ok_or(Unexpected)?;
        let (head, body) = message.split_at_checked(HEAD_BYTES).ok_or(Unexpected)?;
        let tag = head[0];
        match (tag, self.progress) {
            (b'T', Progress::Nothing) if describes_one_column(body) => {
                self.progress = Progress::RowDescription;
            }
            (b'D', Progress::RowDescription) => self.parse_row(body, now)?,
            (b'C', Progress::DataRow) if is_command_tag(body) => self.progress = Progress::Complete,
            (b'E', Progress::Nothing) => self.parse_error(body)?,
            (b'S', _) => {
                let (name, value) = parameter_status(body).ok_or(Unexpected)?;
                self.report.set_parameter(name, value, now);
            }
            (b'N', _) => {}
            (b'Z', _) if self.is_complete() && body == b"I" => return Ok(Some(ResponseEnd::Ready)),
            // An error after a part of a row is malformed too: whatever its code says, the statement has begun.
            _ => return Err(Unexpected),
        }
        if matches!(tag, b'T' | b'D' | b'C') && self.kind == ResponseKind::Statement {
            self.response.extend_from_slice(message);
        }
        Ok(None)
    }

    fn parse_row(&mut self, body: &[u8], now: Time) -> Result<(), Unexpected> {
        let value = single_value(body).filter(|value| value.len() <= self.max_value_bytes);
        let value = value.ok_or(Unexpected)?;
        if self.kind == ResponseKind::Probe {
            let text = std::str::from_utf8(value).ok();
            self.report.load_report = text.and_then(|t| parse_load_report(t, now)).unwrap_or_default();
        }
        self.progress = Progress::DataRow;
        Ok(())
    }

    fn parse_error(&mut self, body: &[u8]) -> Result<(), Unexpected> {
        let error = error_fields(body).ok_or(Unexpected)?;
        let outcome = match error.code {
            // `read_only_sql_transaction`: not the primary; `snapshot_too_old`: not fresh enough.
            "25006" | "72000" => Outcome::NotEligible,
            // `too_many_connections` and `cannot_connect_now`: nothing ran, so a retry is safe (PROTOCOL).
            "53300" | "57P03" => Outcome::Rejected,
            _ => Outcome::Error,
        };
        self.progress = Progress::Error { outcome, fatal: error.fatal };
        Ok(())
    }

    /// The result of the exchange, now that the response has ended. `unread` is what came behind its last complete
    /// message.
    pub fn finish(self, end: ResponseEnd, unread: &[u8], now: Time) -> ExchangeResult<Vec<u8>> {
        let end = if self.may_be_followed_by(end, unread) { end } else { ResponseEnd::Malformed };
        let outcome = self.outcome(end, unread);
        let served = outcome == Outcome::Ok && self.kind == ResponseKind::Statement;
        let report = if end == ResponseEnd::Malformed { InstanceReport::default() } else { self.report };
        // The position after a write may be among what is lost: it was committed by now, and its session must see it.
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

    /// Whether `unread` can be a part of this response.
    fn may_be_followed_by(&self, end: ResponseEnd, unread: &[u8]) -> bool {
        match (end, unread.first()) {
            // Bytes behind the end answer nothing that was sent, so the response before them may not either.
            (ResponseEnd::Ready, Some(_)) => false,
            // Behind a complete row or error, a row or an error would begin another response.
            (_, Some(tag)) if self.is_complete() => matches!(tag, b'S' | b'N' | b'Z'),
            _ => true,
        }
    }

    /// What came in full before the connection failed counts: a row is a response, an error's code is an error.
    fn outcome(&self, end: ResponseEnd, unread: &[u8]) -> Outcome {
        match self.progress {
            Progress::Complete => Outcome::Ok,
            Progress::Error { outcome, fatal } => {
                // An error may have been on its way before the statement was read, as an instance ends a connection.
                // So what its code says of the statement holds only where nothing more can come of that.
                let is_last = match end {
                    ResponseEnd::Ready | ResponseEnd::Closed => true,
                    // The session is over, though its connection is still open.
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
