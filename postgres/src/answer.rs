//! One answer of an instance, taken message by message: no socket and no clock, so that every way in which an answer
//! can stop or go wrong can be played through.
use crate::message::{error, is_tag, one_column, one_value, parameter};
use routing::protocol::ExchangeResult;
use routing::{MemberReport, Outcome, Time};

/// What an answer may hold beside its value: its heads, notes and notices.
pub const BESIDE: usize = 16 * 1024;

/// How the reading of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With ReadyForQuery.
    Ready,
    /// The connection ended or broke first.
    Closed,
    /// Nothing more came in time.
    Silent,
    /// With something that has no place in an answer: what came beside a whole row is not trusted.
    Spoilt,
}

/// How far an answer has come.
#[derive(PartialEq)]
enum Come {
    Nothing,
    Columns,
    Row,
    /// The row and its end.
    Whole,
    /// An error, and nothing of a row before it.
    Error {
        outcome: Outcome,
        fatal: bool,
    },
}

/// Takes an answer in: a row's description, the row and its end, with notes and notices between, or an error; and
/// ReadyForQuery.
pub struct Parser {
    probe: bool,
    value_bytes: usize,
    /// What may still come.
    left: usize,
    come: Come,
    said: Said,
    text: Vec<u8>,
}

impl Parser {
    /// For an answer with a value of so many bytes at most; `probe` where the value is a load report.
    pub fn new(probe: bool, value_bytes: usize) -> Parser {
        let (come, said, text) = (Come::Nothing, Said::default(), Vec::new());
        Parser { probe, value_bytes, left: value_bytes + BESIDE, come, said, text }
    }

    /// The row or the error has come whole: only notes, notices and ReadyForQuery are still to come, and a client need
    /// not wait for them.
    pub fn complete(&self) -> bool {
        !matches!(self.come, Come::Nothing | Come::Columns | Come::Row)
    }

    /// Takes the next message, tag and length included; the end of the answer if this was its last.
    pub fn take(&mut self, whole: &[u8], now: Time) -> Option<End> {
        let Some(left) = self.left.checked_sub(whole.len()) else { return Some(End::Spoilt) };
        self.left = left;
        let Some((head, body)) = whole.split_at_checked(5) else { return Some(End::Spoilt) };
        match (head[0], &self.come) {
            (b'T', Come::Nothing) if one_column(body) => self.come = Come::Columns,
            (b'D', Come::Columns) => {
                let Some(value) = one_value(body).filter(|v| v.len() <= self.value_bytes) else {
                    return Some(End::Spoilt);
                };
                if self.probe {
                    let text = std::str::from_utf8(value).ok();
                    self.said.report = text.and_then(|t| report(t, now)).unwrap_or_default();
                }
                self.come = Come::Row;
            }
            (b'C', Come::Row) if is_tag(body) => self.come = Come::Whole,
            (b'E', Come::Nothing) => {
                let Some(e) = error(body) else { return Some(End::Spoilt) };
                let outcome = match e.code {
                    "25006" | "72000" => Outcome::NotEligible,
                    // Both are refusals, whoever words them (PROTOCOL): nothing ran, and trying again is harmless.
                    "53300" | "57P03" => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                self.come = Come::Error { outcome, fatal: e.fatal };
            }
            (b'S', _) => match parameter(body) {
                Some((name, value)) => self.said.parameter(name, value, now),
                None => return Some(End::Spoilt),
            },
            (b'N', _) => {}
            (b'Z', _) if self.complete() && body == b"I" => return Some(End::Ready),
            // An error amid a row is none that an instance gives: whatever its code says, the statement has begun.
            _ => return Some(End::Spoilt),
        }
        if matches!(head[0], b'T' | b'D' | b'C') && !self.probe {
            self.text.extend_from_slice(whole);
        }
        None
    }

    /// What the answer comes to, now that it has ended. `unread` is what came behind its last whole message.
    pub fn end(self, end: End, unread: &[u8], now: Time) -> ExchangeResult<Vec<u8>> {
        let more_of_it = match (end, unread.first()) {
            // Bytes behind the end are nobody's: what they follow may be nobody's, too.
            (End::Ready, Some(_)) => false,
            // Behind a whole row or error, a row or an error begins: another answer.
            (_, Some(tag)) if self.complete() => matches!(tag, b'S' | b'N' | b'Z'),
            _ => true,
        };
        let end = if more_of_it { end } else { End::Spoilt };
        // What came whole before a break counts: a row is an answer, an error's code is an error.
        let outcome = match self.come {
            Come::Whole => Outcome::Ok,
            Come::Error { outcome, fatal } => {
                // An error may have been on its way before the statement was read, as an instance ends a connection.
                // So what its code says of the statement holds only where nothing more can come of that.
                let last = match end {
                    End::Ready | End::Closed => true,
                    // The session is over, though its connection still stands.
                    End::Silent => fatal && unread.is_empty(),
                    End::Spoilt => false,
                };
                if last { outcome } else { Outcome::Error }
            }
            Come::Nothing | Come::Columns | Come::Row => match end {
                End::Closed => Outcome::Reset,
                End::Silent => Outcome::TimedOut,
                End::Ready | End::Spoilt => Outcome::Error,
            },
        };
        let served = outcome == Outcome::Ok && !self.probe;
        let said = if end == End::Spoilt { Said::default() } else { self.said };
        // A write's note may be among what is lost: it was committed by now, and its session must see it.
        let commit = (served && end != End::Ready && said.position.is_none()).then_some(now);
        let note = MemberReport { primary: said.primary, position: said.position };
        let answer = served.then_some(self.text);
        ExchangeResult {
            outcome,
            response: answer,
            response_report: note,
            commit,
            load_report: said.report,
            reusable: end == End::Ready,
        }
    }
}

/// A position that an instance tells, in Unix microseconds. Positions only rise: one that lies ahead of the
/// present would make its member look fresh for good.
fn position(micros: f64, now: Time) -> Option<Time> {
    const AHEAD: f64 = 1e6;
    (micros > 0.0 && micros <= now.0 as f64 + AHEAD).then_some(Time(micros.round() as i64))
}

/// What an instance said of itself in ParameterStatus messages.
#[derive(Default)]
struct Said {
    primary: Option<bool>,
    position: Option<Time>,
    report: MemberReport,
}

impl Said {
    fn parameter(&mut self, name: &str, value: &str, now: Time) {
        match (name, value) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("wal_time", ms) => {
                self.position = ms.parse().ok().and_then(|ms: f64| position(ms * 1000.0, now));
            }
            ("stats", fields) => self.report = report(fields, now).unwrap_or_default(),
            _ => {}
        }
    }
}

/// A load report, `x0=1767225600.123,x1=1,...`: x0 is the position in seconds of Unix time, x1 tells the primary.
/// `None` where any of it can't be read: the rest is not to be trusted then.
fn report(fields: &str, now: Time) -> Option<MemberReport> {
    let mut said = MemberReport::default();
    for field in fields.split(',') {
        let (name, value) = field.split_once('=')?;
        let value: f64 = value.trim().parse().ok().filter(|x: &f64| x.is_finite())?;
        match name.trim() {
            "x0" => said.position = Some(position(value * 1e6, now)?),
            "x1" if value == 0.0 || value == 1.0 => said.primary = Some(value == 1.0),
            "x1" | "" => return None,
            _ => {}
        }
    }
    Some(said)
}
