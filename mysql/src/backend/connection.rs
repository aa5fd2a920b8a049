//! One connection to a server, behind its login: its commands and their responses.
use super::probe::ProbeRow;
use super::server_response::{
    PrepareOk, Prepared, ResponseError, ServerResult, is_unknown_statement, last_error, reusable,
};
use super::statement_cache::{ServerStatementId, StatementCache};
use crate::command;
use crate::errors::{self, ServerErrorMeaning};
use crate::packet::{HEAD_BYTES, PacketReader, ReadError, with_command};
use crate::request::{LongParameters, ResponsePayloads};
use crate::results::ResponseState;
use routing::{
    AttemptGuard, Clock, ExchangeResult, MemberReport, NotSent, Outcome, ServerSocket, Time, WritePermit,
};
use sessions::clocks::{ClockOffset, ServerClocks};
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a connection has from the protocol that opened it.
pub(super) struct ConnectionContext {
    pub(super) settings: Arc<Settings>,
    pub(super) limits: Arc<Limits>,
    pub(super) clock: Clock,
    pub(super) clocks: Arc<ServerClocks>,
    pub(super) addr: SocketAddr,
}

/// A connection to a server.
pub struct MysqlConnection {
    socket: ServerSocket,
    reader: PacketReader,
    /// The current exchange is given up at this moment, however slowly its response comes.
    deadline: Instant,
    context: ConnectionContext,
    statements: StatementCache,
}

impl MysqlConnection {
    pub(super) fn new(
        socket: ServerSocket,
        reader: PacketReader,
        deadline: Instant,
        context: ConnectionContext,
    ) -> MysqlConnection {
        MysqlConnection { socket, reader, deadline, context, statements: StatementCache::default() }
    }

    pub(super) fn server_socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    pub(super) fn is_usable_after(&self, idle: Duration) -> bool {
        idle < self.context.limits.max_unchecked_idle_time && self.is_silent()
    }

    /// Whether it is open and has brought nothing that was not asked for.
    fn is_silent(&self) -> bool {
        self.reader.is_empty() && self.socket.is_idle_and_open()
    }

    /// Begins an exchange whose client waits until the deadline.
    pub(super) fn begin_attempt(&mut self, deadline: Instant) {
        let now = Instant::now();
        self.deadline =
            now + deadline.saturating_duration_since(now) + self.context.limits.abandoned_response_timeout;
    }

    /// Begins a probe.
    pub(super) fn begin_probe(&mut self) {
        self.deadline = Instant::now() + self.context.limits.health_check_timeout;
    }

    /// Sends the probe's statement and reads what the server says about itself.
    pub(super) fn probe(&mut self, guard: &AttemptGuard) -> Result<ServerResult, NotSent> {
        let (context, sent_at) = (&self.context, self.context.clock.now());
        self.write_command(guard, &[&[command::QUERY], context.settings.health_check_statement.as_bytes()])?;
        Ok(self.read_probe(sent_at))
    }

    /// Runs a statement as text.
    pub(super) fn query(&mut self, text: &[u8], guard: &AttemptGuard) -> Result<ServerResult, NotSent> {
        self.write_command(guard, &[&[command::QUERY], text])?;
        let response = self.read_response();
        Ok(self.exchange_result(response))
    }

    /// Prepares a statement for what the response says about it.
    pub(super) fn describe(
        &mut self,
        text: &Arc<[u8]>,
        guard: &AttemptGuard,
    ) -> Result<ServerResult, NotSent> {
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        match self.prepare(text, &permit) {
            Ok(Prepared::Ready { response, .. } | Prepared::Error(response)) => {
                Ok(self.exchange_result(Ok(response)))
            }
            // Preparing runs nothing: if a server dies over it, another one can be asked.
            Err(ResponseError::Failed(_)) => Err(NotSent::ConnectionBroken),
            Err(error @ ResponseError::TooLarge) => Ok(self.exchange_result(Err(error))),
        }
    }

    /// Executes a statement, which is prepared first if it is not yet. If the server has forgotten it, that is done
    /// again, once.
    pub(super) fn execute_statement(
        &mut self,
        text: &Arc<[u8]>,
        body: &[u8],
        long_parameters: &LongParameters,
        guard: &AttemptGuard,
    ) -> Result<ServerResult, NotSent> {
        let mut was_unknown = false;
        loop {
            let id = match self.statements.id_of(text) {
                Some(id) => id,
                None => match self.prepare_for_execution(text, guard)? {
                    Prepared::Ready { id, .. } => id,
                    Prepared::Error(response) => return Ok(self.exchange_result(Ok(response))),
                },
            };
            self.write_execution(id, body, long_parameters, guard)?;
            let response = self.read_response();
            if !is_unknown_statement(&response) {
                return Ok(self.exchange_result(response));
            }
            // The server has forgotten the statement and says so instead of running it.
            self.statements.remove(text);
            if was_unknown {
                return Ok(reusable(Outcome::Rejected));
            }
            was_unknown = true;
        }
    }

    /// Prepares a statement that an execution waits for.
    fn prepare_for_execution(&mut self, text: &Arc<[u8]>, guard: &AttemptGuard) -> Result<Prepared, NotSent> {
        // Nothing new, not even this, goes to a server that is draining.
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        // Nothing has run so far: however the connection broke, the execution may go elsewhere.
        let prepared = self.prepare(text, &permit).map_err(|_| NotSent::ConnectionBroken)?;
        // A server that died over it has closed by now as a rule: nothing is written to it.
        if matches!(prepared, Prepared::Ready { .. }) && !self.is_silent() {
            return Err(NotSent::ConnectionBroken);
        }
        Ok(prepared)
    }

    /// Writes a command's only packet, unless the attempt is cancelled.
    fn write_command(&self, guard: &AttemptGuard, parts: &[&[u8]]) -> Result<(), NotSent> {
        let permit = guard.permit_write().map_err(|_| NotSent::Cancelled)?;
        with_command(parts, |slices| self.socket.write_last(permit, slices))
            .map_err(|_| NotSent::ConnectionBroken)
    }

    /// Writes a packet behind which more of the exchange follows.
    fn write_part(&self, permit: &WritePermit, parts: &[&[u8]]) -> io::Result<()> {
        with_command(parts, |slices| self.socket.write_part(permit, slices))
    }

    /// Writes long parameters and the execution. The permit is asked for before the first of them, and not again: a
    /// server keeps them for the next execution, so a connection that stays open must not have sent any without theirs.
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
            let head = [&[command::STMT_SEND_LONG_DATA][..], &id, &index.to_le_bytes()].concat();
            self.write_part(&permit, &[&head, bytes]).map_err(|_| NotSent::ConnectionBroken)?;
        }
        let execution: &[&[u8]] = &[&[command::STMT_EXECUTE], &id, body];
        with_command(execution, |slices| self.socket.write_last(permit, slices))
            .map_err(|_| NotSent::ConnectionBroken)
    }

    /// Prepares a statement, also if it is prepared here already.
    fn prepare(&mut self, text: &Arc<[u8]>, permit: &WritePermit) -> Result<Prepared, ResponseError> {
        let broken = |_| ResponseError::Failed(Outcome::Reset);
        self.write_part(permit, &[&[command::STMT_PREPARE], text]).map_err(broken)?;
        let first = self.read_payload()?;
        let Some(prepared) = PrepareOk::parse(&first) else {
            return match errors::error_number(&first) {
                Some(_) => Ok(Prepared::Error(vec![first])),
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
            self.close_statement(id, permit).map_err(broken)?;
        }
        self.statements.insert(text.clone(), prepared.id);
        Ok(Prepared::Ready { id: prepared.id, response })
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

    /// Reads a response to its end.
    fn read_response(&mut self) -> Result<ResponsePayloads, ResponseError> {
        let mut state = ResponseState::Start;
        let mut response = Vec::new();
        let (mut bytes, mut expected_sequence) = (0, 1);
        loop {
            let packet = self.reader.read_packet(self.socket.reader(self.deadline))?;
            // Out of sequence it belongs to something else, or to nothing.
            if packet.first != expected_sequence {
                return Err(ResponseError::Failed(Outcome::Error));
            }
            expected_sequence = packet.last.wrapping_add(1);
            state.advance(&packet.payload);
            bytes += packet.payload.len() + HEAD_BYTES;
            if bytes > self.context.limits.max_response_bytes {
                return Err(ResponseError::TooLarge);
            }
            response.push(packet.payload);
            match state {
                ResponseState::Done | ResponseState::Failed => return Ok(response),
                ResponseState::Malformed => return Err(ResponseError::Failed(Outcome::Error)),
                ResponseState::Start | ResponseState::Columns(_) | ResponseState::Rows => {}
            }
        }
    }

    /// The result of an exchange with this response. A result that breaks off in an error is the statement's own as well.
    fn exchange_result(&self, response: Result<ResponsePayloads, ResponseError>) -> ServerResult {
        match response {
            Err(ResponseError::Failed(outcome)) => ExchangeResult::from_outcome(outcome),
            Err(ResponseError::TooLarge) => {
                let text =
                    format!("the answer is longer than {} bytes", self.context.limits.max_response_bytes);
                let response = vec![errors::encode(errors::TOO_LARGE, &text)];
                ExchangeResult { response: Some(response), ..ExchangeResult::from_outcome(Outcome::Ok) }
            }
            Ok(response) => match last_error(&response).map(errors::meaning) {
                Some(ServerErrorMeaning::Outcome(outcome)) => reusable(outcome),
                _ => ExchangeResult {
                    response: Some(response),
                    // The commit is before the response, by the server's own clock at the latest. Of a server that
                    // answered a read this says nothing: a replica is where its heartbeat is.
                    commit: Some(
                        self.context.clocks.commit_upper_bound(self.context.addr, self.context.clock.now()),
                    ),
                    ..reusable(Outcome::Ok)
                },
            },
        }
    }

    /// Reads the response to a probe that was sent at this time.
    fn read_probe(&mut self, sent_at: Time) -> ServerResult {
        let response = match self.read_response() {
            Ok(response) if errors::error_number(&response[0]).is_none() && response.len() >= 2 => response,
            Ok(_) => return reusable(Outcome::Error),
            Err(ResponseError::Failed(outcome)) => return ExchangeResult::from_outcome(outcome),
            Err(ResponseError::TooLarge) => return ExchangeResult::from_outcome(Outcome::Error),
        };
        // The last row stands before the end of the rows.
        let row = ProbeRow::parse(&response[response.len() - 2]);
        let context = &self.context;
        if let (true, Some(server_time)) = (context.settings.health_check_returns_clock, row.clock) {
            context
                .clocks
                .add_sample(context.addr, ClockOffset::sample(sent_at, context.clock.now(), server_time));
        }
        ExchangeResult {
            load_report: MemberReport { primary: row.primary, position: row.position },
            ..reusable(Outcome::Ok)
        }
    }
}
