//! Session of one client: executes the client's commands one at a time and holds the client's prepared
//! statements.
use super::client_link::{ClientLink, ConnectionEnded};
use super::command_reader::CommandReader;
use super::login::AuthenticatedClient;
use super::submission::Submitter;
use crate::command;
use crate::cursor::{Cursor, OpenedCursor};
use crate::errors::{self, CommandError};
use crate::fields::FieldReader;
use crate::packet::{Packet, PacketReader, ReadError};
use crate::prepared::PreparedStatement;
use crate::request::{AccountedRequest, Request, Response, ResponsePayloads};
use crate::requirements::Requirements;
use crate::results::{AUTOCOMMIT, OK, encode_eof, encode_single_row};
use crate::statement::scan;
use client_listener::memory::{ClientMemory, MemoryReservation};
use crossbeam_channel::Receiver;
use std::collections::HashMap;
use std::sync::Arc;

/// Body of the `SET_OPTION` command that disables multi-statements.
const MULTI_STATEMENTS_OFF: &[u8] = &[1, 0];

/// Statement ID that the router assigned.
type StatementId = u32;

/// Memory of a request for each byte of its text or body, which is in the command, in the request, and in up to three
/// normalized forms.
const REQUEST_COPIES: usize = 5;
/// Memory of a request or of a prepared statement besides its text, in bytes: its records in the front, the routing core and the
/// decision module, and its attempts.
const REQUEST_BYTES: usize = 2048;

/// Response to a command.
enum CommandResponse {
    /// Payloads that have not been framed yet.
    Payloads(Response),
    /// Packets that are encoded, ready to be sent.
    Packets(Vec<u8>),
    /// The command has no response.
    None,
}

fn ok_response() -> CommandResponse {
    short_response(vec![OK.to_vec()])
}

fn short_response(payloads: ResponsePayloads) -> CommandResponse {
    CommandResponse::Payloads(Response { payloads, memory: None })
}

/// Session of a client that has logged in.
pub(super) struct Session<'a> {
    client: ClientLink<'a>,
    login: AuthenticatedClient,
    statements: HashMap<StatementId, PreparedStatement>,
    last_statement_id: StatementId,
    /// Account of the memory of the client's responses.
    memory: ClientMemory,
}

impl<'a> Session<'a> {
    pub(super) fn new(client: ClientLink<'a>, login: AuthenticatedClient) -> Session<'a> {
        let memory = ClientMemory::new(&client.front.memory);
        Session { client, login, statements: HashMap::new(), last_statement_id: 0, memory }
    }

    /// Executes commands until the connection ends.
    pub(super) fn serve(mut self, reader: PacketReader, command_reader: CommandReader) {
        let Some(commands) = command_reader.start_reading(reader) else { return };
        self.run_commands(&commands);
        self.client.connection.shut_down_write();
        // The reader thread ends when the client disconnects or the connection is closed. Commands that it
        // reads until then are discarded.
        while commands.recv_timeout(self.client.front.limits.client_linger_timeout).is_ok() {}
    }

    fn run_commands(&mut self, commands: &Receiver<Result<Packet, ReadError>>) {
        for command in commands {
            // Commands that are left over after the client has disconnected are not executed.
            if self.client.connection.in_flight_requests.is_disconnected() {
                return;
            }
            let result = match command {
                Ok(packet) => {
                    self.client.record_packet(&packet);
                    let result = self.run_command(&packet);
                    self.client.connection.finish_command();
                    result
                }
                Err(error) => self.client.close_after_read_error(&error),
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Executes a command and writes its response.
    fn run_command(&mut self, packet: &Packet) -> Result<(), ConnectionEnded> {
        if packet.first_sequence != 0 {
            let text = "packets came out of order";
            return self.client.close_with_error(packet.last_sequence, errors::OUT_OF_ORDER, text);
        }
        let Some((&name, body)) = packet.payload.split_first() else {
            return self.client.close_with_error(
                packet.last_sequence,
                errors::MALFORMED,
                "the command is empty",
            );
        };
        if name == command::QUIT {
            return Err(ConnectionEnded);
        }
        match self.dispatch_command(name, body) {
            Ok(CommandResponse::Payloads(response)) => {
                self.client.write_payloads(packet.last_sequence, &response.payloads)
            }
            Ok(CommandResponse::Packets(packets)) => self.client.write_packets(&packets),
            Ok(CommandResponse::None) => Ok(()),
            Err(error) => self.client.write_payloads(packet.last_sequence, &[error.encode()]),
        }
    }

    fn dispatch_command(&mut self, name: u8, body: &[u8]) -> Result<CommandResponse, CommandError> {
        match name {
            command::PING => Ok(ok_response()),
            command::INIT_DB => self.use_database(&String::from_utf8_lossy(body)),
            command::QUERY => self.query(body),
            command::STMT_PREPARE => self.prepare(body).map(CommandResponse::Payloads),
            command::STMT_EXECUTE => self.execute(body).map(CommandResponse::Payloads),
            command::STMT_FETCH => self.fetch(body).map(short_response),
            command::STMT_SEND_LONG_DATA => Ok(self.add_long_data(body)),
            command::STMT_CLOSE => Ok(self.close_statement(body)),
            command::STMT_RESET => {
                self.statement(body)?.statement.reset();
                Ok(ok_response())
            }
            command::RESET_CONNECTION => {
                self.statements.clear();
                Ok(ok_response())
            }
            command::SET_OPTION => set_option(body),
            _ => {
                let text = format!("the command {name} is not known here");
                Err(CommandError::new(errors::UNKNOWN_COMMAND, text))
            }
        }
    }

    fn use_database(&self, name: &str) -> Result<CommandResponse, CommandError> {
        if name.trim_matches('`') == self.client.front.settings().database {
            return Ok(ok_response());
        }
        let text = format!("there is no database '{name}' here");
        Err(CommandError::new(errors::UNKNOWN_DATABASE, text))
    }

    /// Returns the routing requirements of a statement, or an error if the statement is not supported.
    fn requirements(&self, text: &[u8]) -> Result<Requirements, CommandError> {
        if !self.login.sends_utf8 && !text.is_ascii() {
            let text = "the client's character set is not carried: only utf8mb4 is";
            return Err(CommandError::new(errors::UNSUPPORTED, text));
        }
        let text = std::str::from_utf8(text)
            .map_err(|_| CommandError::new(errors::MALFORMED, "the text is no UTF-8"))?;
        let statement = scan(text);
        if statement.normalized.is_empty() {
            return Err(CommandError::new(errors::EMPTY_QUERY, "the text is empty"));
        }
        statement.check_supported()?;
        if statement.is_call() && !self.login.accepts_multi_results {
            let text = "CALL needs a client that takes several results";
            return Err(CommandError::new(errors::NO_MULTI_RESULTS, text));
        }
        Requirements::from_statement(&statement, &self.client.front.settings())
    }

    /// Runs a statement that was sent as text. The router itself responds to statements about its own
    /// database, system variables and session defaults.
    fn query(&mut self, body: &[u8]) -> Result<CommandResponse, CommandError> {
        let _memory = self.reserve_request(body.len())?;
        let statement = std::str::from_utf8(body).map(scan).unwrap_or_default();
        if let Some(database) = statement.normalized.strip_prefix("use ") {
            return self.use_database(database);
        }
        let max_allowed_packet = self.client.front.limits.max_message_bytes;
        if let Some(variables) = statement.selected_system_variables(max_allowed_packet) {
            return Ok(CommandResponse::Packets(encode_single_row(&variables)));
        }
        if statement.sets_default_state() {
            return Ok(ok_response());
        }
        drop(statement);
        let requirements = self.requirements(body)?;
        let request = Request::Query(body.to_vec());
        self.submit(&requirements, requirements.class, request).map(CommandResponse::Payloads)
    }

    /// Reserves the memory of a request with this length.
    fn reserve_request(&self, bytes: usize) -> Result<MemoryReservation, CommandError> {
        self.reserve(REQUEST_COPIES * bytes + REQUEST_BYTES)
    }

    fn reserve(&self, bytes: usize) -> Result<MemoryReservation, CommandError> {
        let mut memory = MemoryReservation::new(&self.client.front.memory);
        if memory.grow_to(bytes) {
            Ok(memory)
        } else {
            Err(CommandError::new(errors::REJECTED, errors::OUT_OF_MEMORY_TEXT))
        }
    }

    fn submit(
        &self,
        requirements: &Requirements,
        class: usize,
        request: Request,
    ) -> Result<Response, CommandError> {
        let request = AccountedRequest { request, memory: self.memory.clone() };
        let ClientLink { front, connection, .. } = self.client;
        Submitter { front, connection, user: &self.login.user }.submit(requirements, class, request)
    }

    fn prepare(&mut self, body: &[u8]) -> Result<Response, CommandError> {
        let _memory = self.reserve_request(body.len())?;
        let requirements = self.requirements(body)?;
        let max_statements = self.client.front.limits.max_statements_per_client;
        if self.statements.len() >= max_statements {
            let text = format!("one client may hold {max_statements} prepared statements");
            return Err(CommandError::new(errors::TOO_MANY_STATEMENTS, text));
        }
        let statement_memory = self.reserve(body.len() + REQUEST_BYTES)?;
        let text: Arc<[u8]> = body.into();
        let class = self.client.front.settings().prepare_class;
        let mut response = self.submit(&requirements, class, Request::Prepare(text.clone()))?;
        if let Some(parameter_count) = prepared_parameter_count(&response.payloads[0]) {
            self.last_statement_id = self.last_statement_id.wrapping_add(1).max(1);
            // Replace the server's statement ID with the router's.
            response.payloads[0][1..5].copy_from_slice(&self.last_statement_id.to_le_bytes());
            let statement = PreparedStatement::new(
                text,
                requirements,
                parameter_count,
                statement_memory,
                &self.client.front.memory,
            );
            self.statements.insert(self.last_statement_id, statement);
        }
        Ok(response)
    }

    /// Looks up the prepared statement whose ID starts the body.
    fn statement<'s, 'b>(&'s mut self, body: &'b [u8]) -> Result<StatementCommand<'s, 'b>, CommandError> {
        let mut fields = FieldReader::new(body);
        let id = fields.integer(4).ok_or_else(truncated_command)? as StatementId;
        if let Some(statement) = self.statements.get_mut(&id) {
            Ok(StatementCommand { statement, rest: fields.rest() })
        } else {
            let text = format!("there is no prepared statement {id}");
            Err(CommandError::new(errors::UNKNOWN_STATEMENT, text))
        }
    }

    fn execute(&mut self, body: &[u8]) -> Result<Response, CommandError> {
        let text_bytes = self.statement(body)?.statement.text.len();
        let memory = self.reserve_request(text_bytes + body.len());
        let StatementCommand { statement, rest } = self.statement(body)?;
        statement.cursor = None;
        let (long_parameters, _long_parameter_memory) = statement.take_long_parameters();
        let _memory = memory?;
        if std::mem::take(&mut statement.long_parameters_rejected) {
            let text = "a long parameter is longer than what is taken";
            return Err(CommandError::new(errors::TOO_LARGE, text));
        }
        let execution = statement
            .parameters
            .parse_execution(rest)
            .ok_or_else(|| CommandError::new(errors::WRONG_ARGUMENTS, "the parameters can't be read"))?;
        let requirements = statement.requirements.clone();
        let text = statement.text.clone();
        let request = Request::Execute { text, body: execution.body, long_parameters };
        let response = self.submit(&requirements, requirements.class, request)?;
        if !execution.wants_cursor {
            return Ok(response);
        }
        match Cursor::open(response) {
            Ok(OpenedCursor { column_payloads, cursor }) => {
                self.statement(body)?.statement.cursor = Some(cursor);
                Ok(Response { payloads: column_payloads, memory: None })
            }
            Err(response) => Ok(response),
        }
    }

    fn fetch(&mut self, body: &[u8]) -> Result<ResponsePayloads, CommandError> {
        let StatementCommand { statement, rest } = self.statement(body)?;
        let count = FieldReader::new(rest).integer(4).ok_or_else(truncated_command)?;
        let cursor = statement
            .cursor
            .as_mut()
            .ok_or_else(|| CommandError::new(errors::NO_CURSOR, "the statement has no open cursor"))?;
        Ok(cursor.fetch(count as usize))
    }

    /// Stores a part of a long parameter. The command has no response, even if the statement is unknown.
    fn add_long_data(&mut self, body: &[u8]) -> CommandResponse {
        let max_bytes = self.client.front.limits.max_message_bytes;
        if let Ok(StatementCommand { statement, rest }) = self.statement(body) {
            statement.add_long_parameter_part(rest, max_bytes);
        }
        CommandResponse::None
    }

    /// Closes a prepared statement. The command has no response, even if the statement is unknown.
    fn close_statement(&mut self, body: &[u8]) -> CommandResponse {
        if let Some(id) = FieldReader::new(body).integer(4) {
            self.statements.remove(&(id as StatementId));
        }
        CommandResponse::None
    }
}

/// A prepared statement and the command's body after the statement ID.
struct StatementCommand<'s, 'b> {
    statement: &'s mut PreparedStatement,
    rest: &'b [u8],
}

fn truncated_command() -> CommandError {
    CommandError::new(errors::MALFORMED, "the command is cut off")
}

/// Accepts only the option that disables multi-statements.
fn set_option(body: &[u8]) -> Result<CommandResponse, CommandError> {
    if body == MULTI_STATEMENTS_OFF {
        return Ok(short_response(vec![encode_eof(AUTOCOMMIT).to_vec()]));
    }
    Err(CommandError::new(errors::UNSUPPORTED, "several statements in one text are not carried"))
}

/// Returns the number of parameters from the first payload of the response to a prepare. Returns `None` if
/// the payload is an error.
fn prepared_parameter_count(payload: &[u8]) -> Option<usize> {
    let mut fields = FieldReader::new(payload);
    if fields.integer(1)? != 0 {
        return None;
    }
    let _server_statement_id = fields.integer(4)?;
    let _columns = fields.integer(2)?;
    fields.integer(2).map(|parameters| parameters as usize)
}
