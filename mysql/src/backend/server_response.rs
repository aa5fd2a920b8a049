//! Maps a server's responses and read errors to results of an exchange.
use super::statement_cache::ServerStatementId;
use crate::errors::{self, ServerErrorMeaning};
use crate::fields::FieldReader;
use crate::packet::ReadError;
use crate::request::ResponsePayloads;
use routing::{ExchangeResult, Outcome};
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
            ReadError::Io(_) | ReadError::Closed | ReadError::OutOfOrder => {
                ResponseError::Failed(Outcome::Reset)
            }
        }
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

pub(super) fn last_error(response: &ResponsePayloads) -> Option<u16> {
    response.last().and_then(|payload| errors::error_number(payload))
}

pub(super) fn is_unknown_statement(response: &Result<ResponsePayloads, ResponseError>) -> bool {
    let Ok(response) = response else { return false };
    let number = errors::error_number(&response[0]);
    number.is_some_and(|number| errors::server_error_meaning(number) == ServerErrorMeaning::UnknownStatement)
}

/// Creates a result after which the connection can be reused.
pub(super) fn reusable_result(outcome: Outcome) -> ServerResult {
    ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(outcome) }
}
