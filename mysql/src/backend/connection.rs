//! An authenticated connection to one server: sends commands and reads their responses.
use super::probe::ProbeRow;
use super::response_budget::ResponseBudget;
use super::server_response::{
    PrepareOk, PrepareOutcome, ResponseError, SentCommand, ServerResponse, ServerResult, error_result,
    is_atomic, is_error, is_unknown_statement, open_transaction_result, reusable_result,
    unknown_statement_result,
};
use super::session_reset::{self, SessionState};
use super::statement_cache::{ServerStatementId, StatementCache};
use crate::command;
use crate::errors;
use crate::packet::{PACKET_HEADER_BYTES, PacketReader, ReadError, frame_command};
use crate::request::{LongParameters, ResponsePayloads};
use crate::results::ResponseState;
use client_listener::memory::{ClientMemory, ResponseMemory};
use routing::{
    AttemptGuard, Clock, ConnectionPermit, ExchangeResult, MemberReport, NotSent, Outcome, ServerSocket,
    Time, WritePermit,
};
use sessions::clocks::{ClockOffset, ServerClocks};
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Settings and shared state that a connection receives from the protocol that opened it.
pub(super) struct ConnectionContext {
    pub(super) settings: Arc<Settings>,
    pub(super) limits: Arc<Limits>,
    pub(super) clock: Clock,
    pub(super) clocks: Arc<ServerClocks>,
    pub(super) addr: SocketAddr,
}

/// An authenticated connection to a server.
pub struct MysqlConnection {
    socket: ServerSocket,
    reader: PacketReader,
    /// Deadline of the current exchange. It also ends an exchange whose response arrives too slowly.
    deadline: Instant,
    context: ConnectionContext,
    /// Statements that are prepared in the session.
    statements: StatementCache,
    session: SessionState,
    /// Memory of the response to the current request; `None` during a probe.
    response_budget: Option<ResponseBudget>,
}

impl MysqlConnection {
    pub(super) fn new(
        socket: ServerSocket,
        reader: PacketReader,
        deadline: Instant,
        context: ConnectionContext,
    ) -> MysqlConnection {
        let (statements, session) = (StatementCache::default(), SessionState::Clean);
        MysqlConnection { socket, reader, deadline, context, statements, session, response_budget: None }
    }

    pub(super) fn server_socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    pub(super) fn is_usable_after(&mut self, idle: Duration) -> bool {
        idle < self.context.limits.max_unchecked_idle_time && self.finish_reset() && self.is_open_and_idle()
    }

    /// Resets the session unless no request has used it. The responses are read before the next request, so
    /// that the reset delays no response. Returns `false` if the connection has to be closed.
    pub(super) fn reset_session(&mut self, permit: ConnectionPermit) -> bool {
        if self.session != SessionState::Used {
            return true;
        }
        // The reset discards the statements that were prepared in the session.
        self.statements = StatementCache::default();
        self.session = SessionState::Resetting;
        session_reset::send(&self.socket, permit).is_ok()
    }

    /// Reads the responses to a reset that was sent. Returns whether the session is clean.
    fn finish_reset(&mut self) -> bool {
        if self.session == SessionState::Resetting {
            let deadline = Instant::now() + self.context.limits.backend_check_timeout;
            if let Err(error) = session_reset::confirm(&self.socket, &mut self.reader, deadline) {
                session_reset::log_failure(self.context.addr, &error);
                return false;
            }
            self.session = SessionState::Clean;
        }
        self.session == SessionState::Clean
    }

    /// Returns whether the connection is open and has no unsolicited data to read.
    fn is_open_and_idle(&self) -> bool {
        self.reader.is_empty() && self.socket.is_idle_and_open()
    }

    /// Sets the deadline of an exchange whose client waits until `deadline`. From here on the request may leave
    /// anything in the session: settings, locks, a transaction, temporary tables, its last insert ID.
    pub(super) fn begin_attempt(&mut self, deadline: Instant, memory: &ClientMemory) {
        self.session = SessionState::Used;
        self.response_budget = Some(ResponseBudget::new(memory, deadline));
        let now = Instant::now();
        self.deadline =
            now + deadline.saturating_duration_since(now) + self.context.limits.abandoned_response_timeout;
    }

    /// Returns the memory that is reserved for the response to the current request.
    pub(super) fn end_response(&mut self) -> Option<ResponseMemory> {
        self.response_budget.take().and_then(ResponseBudget::into_memory)
    }

    /// Sets the deadline of a probe.
    pub(super) fn begin_probe(&mut self) {
        self.deadline = Instant::now() + self.context.limits.health_check_timeout;
    }

    /// Sends the health check statement and reads the server's role, position and clock.
    pub(super) fn probe(&mut self, guard: &AttemptGuard) -> Result<ServerResult, NotSent> {
        let (context, sent_at) = (&self.context, self.context.clock.now());
        self.write_command(guard, &[&[command::QUERY], context.settings.health_check_statement.as_bytes()])?;
        Ok(self.read_probe(sent_at))
    }

    /// Sends a statement as text and reads its response.
    pub(super) fn query(&mut self, text: &[u8], guard: &AttemptGuard) -> Result<ServerResult, NotSent> {
        self.write_command(guard, &[&[command::QUERY], text])?;
        let response = self.read_response();
        Ok(self.exchange_result(SentCommand::Execute(text), response))
    }

    /// Prepares a statement and returns the response, which describes the statement's parameters and columns.
    pub(super) fn describe_statement(
        &mut self,
        text: &Arc<[u8]>,
        guard: &AttemptGuard,
    ) -> Result<ServerResult, NotSent> {
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        match self.prepare(text, &permit) {
            Ok(PrepareOutcome::Ready { response, .. } | PrepareOutcome::Error(response)) => {
                Ok(self.exchange_result(SentCommand::Prepare, Ok(ServerResponse::without_status(response))))
            }
            // Preparing a statement does not run it, so if the server fails the request can be sent to
            // another server.
            Err(ResponseError::Failed(_)) => Err(NotSent::ConnectionBroken),
            Err(error @ ResponseError::TooLarge) => {
                Ok(self.exchange_result(SentCommand::Prepare, Err(error)))
            }
        }
    }

    /// Executes a statement and prepares it first if it is not prepared on this connection. If the server no
    /// longer knows the statement, it is prepared and executed a second time, but not a third.
    pub(super) fn execute_statement(
        &mut self,
        text: &Arc<[u8]>,
        body: &[u8],
        long_parameters: &LongParameters,
        guard: &AttemptGuard,
    ) -> Result<ServerResult, NotSent> {
        let mut is_retry = false;
        loop {
            let id = match self.statements.get(text) {
                Some(id) => id,
                None => match self.prepare_for_execution(text, guard)? {
                    PrepareOutcome::Ready { id, .. } => id,
                    PrepareOutcome::Error(response) => {
                        let response = ServerResponse::without_status(response);
                        return Ok(self.exchange_result(SentCommand::Prepare, Ok(response)));
                    }
                },
            };
            self.write_execution(id, body, long_parameters, guard)?;
            let response = self.read_response();
            if !is_unknown_statement(&response) {
                return Ok(self.exchange_result(SentCommand::Execute(text), response));
            }
            self.statements.remove(text);
            // An atomic statement has not run, because the server does not know its ID.
            if is_retry || !is_atomic(text) {
                return Ok(unknown_statement_result(text));
            }
            is_retry = true;
        }
    }

    /// Prepares a statement that is about to be executed.
    fn prepare_for_execution(
        &mut self,
        text: &Arc<[u8]>,
        guard: &AttemptGuard,
    ) -> Result<PrepareOutcome, NotSent> {
        // No command is sent to a server that is draining, not even a prepare.
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        // The statement has not been executed yet, so it can run on another server after any connection
        // failure.
        let prepared = self.prepare(text, &permit).map_err(|_| NotSent::ConnectionBroken)?;
        // A server that crashed while preparing has usually closed the connection by now. Nothing more is
        // written to such a connection.
        if matches!(prepared, PrepareOutcome::Ready { .. }) && !self.is_open_and_idle() {
            return Err(NotSent::ConnectionBroken);
        }
        Ok(prepared)
    }

    /// Writes a command that consists of a single packet, unless the attempt is cancelled.
    fn write_command(&self, guard: &AttemptGuard, parts: &[&[u8]]) -> Result<(), NotSent> {
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        frame_command(parts, |slices| self.socket.write_last(permit, slices))
            .map_err(|_| NotSent::ConnectionBroken)
    }

    /// Writes a packet that is not the last one of the exchange.
    fn write_part(&self, permit: &WritePermit, parts: &[&[u8]]) -> io::Result<()> {
        frame_command(parts, |slices| self.socket.write_part(permit, slices))
    }

    /// Writes the long parameters and the execute command. The write permit is requested once, before the
    /// first long parameter: the server stores long parameters for the next execution, so an open connection
    /// must never have sent long parameters without their execute command.
    fn write_execution(
        &self,
        ServerStatementId(id): ServerStatementId,
        body: &[u8],
        long_parameters: &LongParameters,
        guard: &AttemptGuard,
    ) -> Result<(), NotSent> {
        let id = id.to_le_bytes();
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        for (index, bytes) in long_parameters {
            let header = [&[command::STMT_SEND_LONG_DATA][..], &id, &index.to_le_bytes()].concat();
            self.write_part(&permit, &[&header, bytes]).map_err(|_| NotSent::ConnectionBroken)?;
        }
        let execution: &[&[u8]] = &[&[command::STMT_EXECUTE], &id, body];
        frame_command(execution, |slices| self.socket.write_last(permit, slices))
            .map_err(|_| NotSent::ConnectionBroken)
    }

    /// Prepares a statement and replaces any earlier prepared statement with the same text.
    fn prepare(&mut self, text: &Arc<[u8]>, permit: &WritePermit) -> Result<PrepareOutcome, ResponseError> {
        let to_reset = |_| ResponseError::Failed(Outcome::Reset);
        self.write_part(permit, &[&[command::STMT_PREPARE], text]).map_err(to_reset)?;
        let first = self.read_payload()?;
        let Some(prepared) = PrepareOk::parse(&first) else {
            return match errors::error_number(&first) {
                Some(_) => Ok(PrepareOutcome::Error(vec![first])),
                None => Err(ResponseError::Failed(Outcome::Error)),
            };
        };
        let mut response = vec![first];
        for _ in 0..prepared.following_payloads() {
            response.push(self.read_payload()?);
        }
        let evicted = self.statements.evict_if_full(self.context.limits.max_statements_per_connection);
        let replaced = self.statements.remove(text);
        for id in [evicted, replaced].into_iter().flatten() {
            self.close_statement(id, permit).map_err(to_reset)?;
        }
        self.statements.insert(text.clone(), prepared.id);
        Ok(PrepareOutcome::Ready { id: prepared.id, response })
    }

    fn close_statement(
        &self,
        ServerStatementId(id): ServerStatementId,
        permit: &WritePermit,
    ) -> io::Result<()> {
        self.write_part(permit, &[&[command::STMT_CLOSE], &id.to_le_bytes()])
    }

    fn read_payload(&mut self) -> Result<Vec<u8>, ReadError> {
        let packet = self.reader.read_packet(self.socket.reader(self.deadline))?;
        Ok(packet.payload)
    }

    /// Reads a complete response.
    fn read_response(&mut self) -> Result<ServerResponse, ResponseError> {
        let mut state = ResponseState::Start;
        let mut payloads = Vec::new();
        let (mut bytes, mut expected_sequence) = (0, 1);
        loop {
            let packet = self.reader.read_packet(self.socket.reader(self.deadline))?;
            // A packet with an unexpected sequence number does not belong to this response.
            if packet.first_sequence != expected_sequence {
                return Err(ResponseError::Failed(Outcome::Error));
            }
            expected_sequence = packet.last_sequence.wrapping_add(1);
            state.advance(&packet.payload);
            bytes += packet.payload.len() + PACKET_HEADER_BYTES;
            if let Some(budget) = &mut self.response_budget
                && !budget.add_payload(packet.payload.len(), &self.context.limits)
            {
                return Err(ResponseError::Failed(Outcome::TimedOut));
            }
            if bytes > self.context.limits.max_response_bytes {
                return Err(ResponseError::TooLarge);
            }
            payloads.push(packet.payload);
            match state {
                ResponseState::Done(status) => return Ok(ServerResponse { payloads, status: Some(status) }),
                ResponseState::Failed => return Ok(ServerResponse { payloads, status: None }),
                ResponseState::Malformed => return Err(ResponseError::Failed(Outcome::Error)),
                ResponseState::Start | ResponseState::Columns(_) | ResponseState::Rows => {}
            }
        }
    }

    /// Converts the response to a command to the result of the exchange. A result set that ends in an error
    /// counts as a response to the statement, unless the error number maps to another outcome.
    fn exchange_result(
        &self,
        command: SentCommand<'_>,
        response: Result<ServerResponse, ResponseError>,
    ) -> ServerResult {
        match response {
            Err(ResponseError::Failed(outcome)) => ExchangeResult::from_outcome(outcome),
            Err(ResponseError::TooLarge) => {
                let text =
                    format!("the answer is longer than {} bytes", self.context.limits.max_response_bytes);
                let response = vec![errors::encode(errors::TOO_LARGE, &text)];
                ExchangeResult { response: Some(response), ..ExchangeResult::from_outcome(Outcome::Ok) }
            }
            Ok(response) if response.leaves_transaction_open() => open_transaction_result(),
            Ok(ServerResponse { payloads, .. }) => {
                let result = error_result(command, &payloads);
                // The transaction of a procedure that failed may be open, and is rolled back at once when the
                // connection is closed.
                let reusable = command.is_atomic() || !is_error(&payloads);
                let result = result.unwrap_or_else(|| self.served(payloads));
                ExchangeResult { reusable: result.reusable && reusable, ..result }
            }
        }
    }

    /// Returns the result of an exchange whose response is forwarded to the client.
    fn served(&self, response: ResponsePayloads) -> ServerResult {
        let context = &self.context;
        // Upper bound, in the server's clock, of the commit time. It does not apply to a read: a replica's
        // position is that of its latest heartbeat.
        let commit = context.clocks.commit_upper_bound(context.addr, context.clock.now());
        ExchangeResult { response: Some(response), commit: Some(commit), ..reusable_result(Outcome::Ok) }
    }

    /// Reads the response to a probe that was sent at `sent_at`.
    fn read_probe(&mut self, sent_at: Time) -> ServerResult {
        let response = match self.read_response() {
            Ok(response) if response.leaves_transaction_open() => {
                return ExchangeResult::from_outcome(Outcome::Error);
            }
            Ok(ServerResponse { payloads, .. }) if !is_error(&payloads) && payloads.len() >= 2 => payloads,
            Ok(_) => return reusable_result(Outcome::Error),
            Err(ResponseError::Failed(outcome)) => return ExchangeResult::from_outcome(outcome),
            Err(ResponseError::TooLarge) => return ExchangeResult::from_outcome(Outcome::Error),
        };
        // The payload before the final EOF is the last row.
        let row = ProbeRow::parse(&response[response.len() - 2]);
        let context = &self.context;
        if let (true, Some(server_time)) = (context.settings.health_check_returns_clock, row.clock) {
            context
                .clocks
                .add_sample(context.addr, ClockOffset::sample(sent_at, context.clock.now(), server_time));
        }
        ExchangeResult {
            load_report: MemberReport { primary: row.primary, position: row.position },
            ..reusable_result(Outcome::Ok)
        }
    }
}
