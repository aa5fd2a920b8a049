//! Calls with retries. A write is applied at most once, however often it is retried.
use super::connection::{AttemptError, Connection};
use super::error::ClientError;
use super::settings::Settings;
use crate::command::{CommandEffect, CommandResponse, Operation, RequestOrigin};
use crate::rejection::Rejection;
use crate::wire::{Request, Response};
use std::time::Instant;

/// A write that was applied.
pub(super) struct Written {
    pub(super) effect: CommandEffect,
    pub(super) revision: u64,
    pub(super) term: u64,
    /// The write was not applied before this time.
    pub(super) not_before: Instant,
}

/// The response to a call.
struct CallResponse<T> {
    value: T,
    /// The start of the attempt that received the response.
    attempt_started: Instant,
    /// The start of the first earlier attempt that may have executed the request.
    may_have_executed_since: Option<Instant>,
}

impl<T> CallResponse<T> {
    /// The request was not executed before this time.
    fn not_before(&self) -> Instant {
        self.may_have_executed_since.unwrap_or(self.attempt_started)
    }
}

/// A call without a response.
struct CallFailure {
    error: ClientError,
    may_have_executed: bool,
}

/// The state machine's response to a write, and the leader's term.
struct WriteResponse {
    response: CommandResponse,
    term: u64,
}

/// Whether another attempt at another node may succeed.
fn is_retryable(rejection: &Rejection) -> bool {
    matches!(rejection, Rejection::NoQuorum | Rejection::Unconfirmed | Rejection::NotInitialized)
}

pub(super) struct Session {
    connection: Connection,
    /// The store's id, this client's id, and the sequence number of its last write.
    last_origin: Option<RequestOrigin>,
}

impl Session {
    pub(super) fn new(settings: Settings) -> Session {
        Session { connection: Connection::new(settings), last_origin: None }
    }

    /// Makes attempts until a response is received or the timeout of the call has passed.
    fn call<T>(
        &mut self,
        request: &Request,
        receive: impl Fn(&Connection) -> Result<T, AttemptError>,
    ) -> Result<CallResponse<T>, CallFailure> {
        if self.connection.settings().nodes.is_empty() {
            return Err(CallFailure { error: ClientError::NoNodes, may_have_executed: false });
        }
        let call_started = Instant::now();
        let mut may_have_executed_since: Option<Instant> = None;
        self.connection.reset_backoff();
        loop {
            let reused = self.connection.is_open();
            let attempt_started = Instant::now();
            let attempt = self.connection.send(request).and_then(|()| receive(&self.connection));
            let error = match attempt {
                Ok(value) => return Ok(CallResponse { value, attempt_started, may_have_executed_since }),
                Err(AttemptError::Rejected(rejection)) if !is_retryable(&rejection) => {
                    let may_have_executed = may_have_executed_since.is_some();
                    return Err(CallFailure { error: rejection.into(), may_have_executed });
                }
                Err(error) => error,
            };
            if may_have_executed(&error) {
                may_have_executed_since.get_or_insert(attempt_started);
            }
            let reason = self.prepare_next_attempt(error, reused);
            if call_started.elapsed() >= self.connection.settings().call_timeout {
                let error = ClientError::Unavailable(reason);
                return Err(CallFailure { error, may_have_executed: may_have_executed_since.is_some() });
            }
            // A node may have closed a connection that was idle, so a reused connection that fails is retried
            // without a pause.
            if !reused {
                self.connection.back_off();
            }
        }
    }

    /// Prepares for the next attempt and returns why this one failed. If a reused connection failed, the same
    /// node is tried again; otherwise the next one.
    fn prepare_next_attempt(&mut self, error: AttemptError, reused: bool) -> String {
        match error {
            AttemptError::NoResponse(reason) if reused => {
                self.connection.close();
                reason
            }
            AttemptError::NoResponse(reason) | AttemptError::NotSent(reason) => {
                self.connection.switch_node();
                reason
            }
            AttemptError::Rejected(rejection) => {
                self.connection.switch_node();
                rejection.to_string()
            }
        }
    }

    /// Makes a call that does not change the store.
    pub(super) fn read<T>(
        &mut self,
        request: &Request,
        receive: impl Fn(&Connection) -> Result<T, AttemptError>,
    ) -> Result<T, ClientError> {
        let result = self.call(request, receive);
        result.map(|response| response.value).map_err(|failure| failure.error)
    }

    /// Returns the origin of the last write. Registers the client first if necessary; the sequence number is
    /// 0 then.
    fn origin(&mut self) -> Result<RequestOrigin, ClientError> {
        if let Some(origin) = self.last_origin {
            return Ok(origin);
        }
        match self.read(&Request::RegisterClient, receive_written)?.response.result? {
            CommandEffect::ClientRegistered { client_id, store_id } => {
                Ok(RequestOrigin { store_id, client_id, sequence: 0 })
            }
            _ => Err(ClientError::UnexpectedResponse),
        }
    }

    /// Executes a write, which is applied at most once. The write's sequence number follows the number of the
    /// last write, whether or not the last write succeeded.
    pub(super) fn write(&mut self, operation: &Operation) -> Result<Written, ClientError> {
        loop {
            let mut origin = self.origin()?;
            origin.sequence += 1;
            self.last_origin = Some(origin);
            let request = Request::Write { origin, operation: operation.clone() };
            let call = self.call(&request, receive_written).map_err(write_error)?;
            let not_before = call.not_before();
            let WriteResponse { response, term } = call.value;
            match response.result {
                Ok(effect) => {
                    return Ok(Written { effect, revision: response.revision, term, not_before });
                }
                Err(Rejection::UnknownClient) => {
                    self.last_origin = None;
                    if call.may_have_executed_since.is_some() {
                        return Err(ClientError::Unconfirmed(Rejection::UnknownClient.to_string()));
                    }
                    // The client was unknown at the first attempt, so the write was not applied: register
                    // again and retry.
                }
                Err(rejection) => return Err(rejection.into()),
            }
        }
    }
}

fn may_have_executed(error: &AttemptError) -> bool {
    match error {
        AttemptError::NotSent(_) => false,
        AttemptError::NoResponse(_) => true,
        AttemptError::Rejected(rejection) => *rejection == Rejection::Unconfirmed,
    }
}

fn write_error(failure: CallFailure) -> ClientError {
    match failure.error {
        ClientError::Unavailable(reason) if failure.may_have_executed => ClientError::Unconfirmed(reason),
        error => error,
    }
}

fn receive_written(connection: &Connection) -> Result<WriteResponse, AttemptError> {
    match connection.receive()? {
        Response::Written { response, term } => match response.result {
            Err(rejection @ Rejection::NotInitialized) => Err(AttemptError::Rejected(rejection)),
            _ => Ok(WriteResponse { response, term }),
        },
        Response::Rejected(rejection) => Err(AttemptError::Rejected(rejection)),
        _ => Err(AttemptError::NoResponse("expected a write response, received another message".into())),
    }
}
