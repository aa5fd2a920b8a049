//! Maps a server's responses and read errors to results of an exchange.
use super::statement_cache::ServerStatementId;
use crate::errors::{self, ServerErrorMeaning};
use crate::fields::FieldReader;
use crate::packet::ReadError;
use crate::request::ResponsePayloads;
use crate::results::SessionStatus;
use crate::statement::scan;
use routing::{ExchangeResult, MemberReport, Outcome};
use std::io;

/// Result of one exchange with a server.
pub(super) type ServerResult = ExchangeResult<ResponsePayloads>;

/// Reason why a command has no usable response.
pub(super) enum ResponseError {
    /// The connection failed, the response timed out, or it was malformed.
    Failed(Outcome),
    /// The response exceeds the configured limit.
    TooLarge,
}

impl From<ReadError> for ResponseError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Io(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                ResponseError::Failed(Outcome::TimedOut)
            }
            ReadError::IdleTimeout => ResponseError::Failed(Outcome::TimedOut),
            ReadError::TooLong => ResponseError::TooLarge,
            ReadError::Io(_) | ReadError::Closed | ReadError::OutOfMemory | ReadError::OutOfOrder => {
                ResponseError::Failed(Outcome::Reset)
            }
        }
    }
}

/// A complete response to a command.
pub(super) struct ServerResponse {
    pub(super) payloads: ResponsePayloads,
    /// State in which the command left the session; `None` if the response does not report it, as an error does
    /// not.
    pub(super) status: Option<SessionStatus>,
}

impl ServerResponse {
    pub(super) fn without_status(payloads: ResponsePayloads) -> ServerResponse {
        ServerResponse { payloads, status: None }
    }

    /// Returns whether the server reports that the command left a transaction open.
    pub(super) fn leaves_transaction_open(&self) -> bool {
        self.status.is_some_and(SessionStatus::in_transaction)
    }
}

/// Outcome of preparing a statement on a server.
pub(super) enum PrepareOutcome {
    /// The server prepared the statement under this ID. The response describes the statement's parameters and
    /// columns.
    Ready { id: ServerStatementId, response: ResponsePayloads },
    /// The server rejected the statement. The response holds the error as its only payload.
    Error(ResponsePayloads),
}

/// First payload of a successful response to `COM_STMT_PREPARE`.
pub(super) struct PrepareOk {
    pub(super) id: ServerStatementId,
    columns: u64,
    parameters: u64,
}

impl PrepareOk {
    pub(super) fn parse(payload: &[u8]) -> Option<PrepareOk> {
        let mut fields = FieldReader::new(payload);
        if fields.integer(1)? != 0 {
            return None;
        }
        let id = ServerStatementId(fields.integer(4)? as u32);
        Some(PrepareOk { id, columns: fields.integer(2)?, parameters: fields.integer(2)? })
    }

    /// Number of payloads that follow: the parameter definitions and the column definitions, each list
    /// terminated by an EOF payload unless it is empty.
    pub(super) fn following_payloads(&self) -> u64 {
        let with_eof = |definitions: u64| if definitions > 0 { definitions + 1 } else { 0 };
        with_eof(self.parameters) + with_eof(self.columns)
    }
}

/// The command that a response belongs to.
#[derive(Clone, Copy)]
pub(super) enum SentCommand<'a> {
    /// The preparation of a statement, which does not run it.
    Prepare,
    /// The execution of the statement with this text.
    Execute(&'a [u8]),
}

impl SentCommand<'_> {
    /// Returns whether the server runs the command as a whole.
    pub(super) fn is_atomic(self) -> bool {
        match self {
            SentCommand::Prepare => true,
            SentCommand::Execute(text) => is_atomic(text),
        }
    }

    /// Returns whether an error that a server sends for a statement it has not begun proves that nothing of this
    /// command ran. The error may also come from a later statement of a stored procedure, after the earlier
    /// ones have taken effect. A result before the error shows that; without one, both cases look the same.
    fn nothing_ran(self, response: &ResponsePayloads) -> bool {
        match self {
            SentCommand::Prepare => true,
            SentCommand::Execute(_) => response.len() == 1 && self.is_atomic(),
        }
    }
}

/// Returns whether the server runs the statement with this text as a whole.
pub(super) fn is_atomic(text: &[u8]) -> bool {
    std::str::from_utf8(text).is_ok_and(|text| scan(text).is_atomic())
}

/// Returns whether a response ends with an error.
pub(super) fn is_error(response: &ResponsePayloads) -> bool {
    response.last().is_some_and(|payload| errors::error_number(payload).is_some())
}

/// Returns the result of a command that left a transaction open. The connection is closed, so that the server
/// rolls the transaction back: a success that the client were told of would be lost.
pub(super) fn open_transaction_result() -> ServerResult {
    let text =
        "the statement left a transaction open, which is not carried: what it did not commit is undone";
    let response = vec![errors::encode(errors::ERROR, text)];
    ExchangeResult { response: Some(response), ..ExchangeResult::from_outcome(Outcome::Ok) }
}

/// Returns the result of an exchange whose response ends with an error that is not the statement's own; `None`
/// for any other response, which is forwarded to the client.
pub(super) fn error_result(command: SentCommand<'_>, response: &ResponsePayloads) -> Option<ServerResult> {
    let number = response.last().and_then(|payload| errors::error_number(payload))?;
    let ServerErrorMeaning::Outcome(outcome) = errors::server_error_meaning(number) else { return None };
    if !outcome.never_ran() || command.nothing_ran(response) {
        return Some(reusable_result(outcome));
    }
    // The server has stated its role, although the statement may have run.
    let primary = (outcome == Outcome::NotEligible).then_some(false);
    let response_report = MemberReport { primary, position: None };
    Some(ExchangeResult { response_report, ..reusable_result(Outcome::Error) })
}

/// Returns whether the response to an execution says that the server does not know the prepared statement.
pub(super) fn is_unknown_statement(response: &Result<ServerResponse, ResponseError>) -> bool {
    let Ok(response) = response else { return false };
    let number = errors::error_number(&response.payloads[0]);
    number.is_some_and(|number| errors::server_error_meaning(number) == ServerErrorMeaning::UnknownStatement)
}

/// Returns the result of an execution whose statement the server does not know, and which is not repeated. The
/// error may also come from within a stored procedure that has begun.
pub(super) fn unknown_statement_result(text: &[u8]) -> ServerResult {
    reusable_result(if is_atomic(text) { Outcome::Rejected } else { Outcome::Error })
}

/// Creates a result after which the connection can be reused.
pub(super) fn reusable_result(outcome: Outcome) -> ServerResult {
    ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(outcome) }
}
