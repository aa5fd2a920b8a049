//! What a server's responses mean for an exchange.
use super::statement_cache::ServerStatementId;
use crate::errors::{self, ServerErrorMeaning};
use crate::fields::FieldReader;
use crate::packet::ReadError;
use crate::request::ResponsePayloads;
use routing::{ExchangeResult, Outcome};
use std::io;

/// The result of one exchange with a server.
pub(super) type ServerResult = ExchangeResult<ResponsePayloads>;

/// Why a command has no response.
pub(super) enum ResponseError {
    /// The connection broke, brought nothing in time, or something that is no response.
    Failed(Outcome),
    /// The response is longer than what is accepted.
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

/// What became of preparing a statement.
pub(super) enum Prepared {
    /// It is prepared under this id; the response describes parameters and columns.
    Ready { id: ServerStatementId, response: ResponsePayloads },
    /// The server's error, as its only payload.
    Error(ResponsePayloads),
}

/// The first payload of the response to a successful prepare.
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

    /// Definitions of parameters, then of columns; each kind that is there is ended by an EOF.
    pub(super) fn following_payloads(&self) -> u64 {
        let with_end = |definitions: u64| if definitions > 0 { definitions + 1 } else { 0 };
        with_end(self.parameters) + with_end(self.columns)
    }
}

pub(super) fn last_error(response: &ResponsePayloads) -> Option<u16> {
    response.last().and_then(|payload| errors::error_number(payload))
}

pub(super) fn is_unknown_statement(response: &Result<ResponsePayloads, ResponseError>) -> bool {
    let Ok(response) = response else { return false };
    let number = errors::error_number(&response[0]);
    number.is_some_and(|number| errors::meaning(number) == ServerErrorMeaning::UnknownStatement)
}

/// The result of an exchange behind which the connection can be used again.
pub(super) fn reusable(outcome: Outcome) -> ServerResult {
    ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(outcome) }
}
