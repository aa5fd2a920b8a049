//! One client's session: its commands, carried out one after the other, and the statements that it has prepared.
use super::client_link::{ClientLink, ConnectionEnded};
use super::command_reader::CommandReader;
use super::login::LoggedIn;
use super::submission::Submitter;
use crate::command;
use crate::cursor::{Cursor, OpenedCursor};
use crate::errors::{self, CommandError};
use crate::fields::FieldReader;
use crate::packet::{Packet, PacketReader, ReadError};
use crate::prepared::PreparedStatement;
use crate::request::{Request, ResponsePayloads};
use crate::requirements::Requirements;
use crate::results::{AUTOCOMMIT, OK, encode_single_row, eof};
use crate::statement::scan;
use crossbeam_channel::Receiver;
use std::collections::HashMap;
use std::sync::Arc;

/// The option of `SET_OPTION` that switches several statements in one text off.
const MULTI_STATEMENTS_OFF: &[u8] = &[1, 0];

/// The router's own id of a prepared statement.
type StatementId = u32;

/// What a command is answered with.
enum Reply {
    /// Payloads, still to be framed.
    Payloads(ResponsePayloads),
    /// Packets.
    Packets(Vec<u8>),
    /// The command has no response.
    None,
}

fn ok() -> Reply {
    Reply::Payloads(vec![OK.to_vec()])
}

/// A client that has logged in.
pub(super) struct Session<'a> {
    client: ClientLink<'a>,
    login: LoggedIn,
    statements: HashMap<StatementId, PreparedStatement>,
    last_statement_id: StatementId,
}

impl<'a> Session<'a> {
    pub(super) fn new(client: ClientLink<'a>, login: LoggedIn) -> Session<'a> {
        Session { client, login, statements: HashMap::new(), last_statement_id: 0 }
    }

    /// Carries out commands until the connection ends.
    pub(super) fn serve(mut self, reader: PacketReader, command_reader: CommandReader) {
        let Some(commands) = command_reader.read(reader) else { return };
        self.run_commands(&commands);
        self.client.connection.shut_down_write();
        // The reader ends with its client, or where the connection is closed; what it still brings is not carried out.
        while commands.recv_timeout(self.client.front.limits.client_linger_timeout).is_ok() {}
    }

    fn run_commands(&mut self, commands: &Receiver<Result<Packet, ReadError>>) {
        for command in commands {
            // What a client wrote before it disconnected is not carried out after that.
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

    /// Carries a command out and writes its response.
    fn run_command(&mut self, packet: &Packet) -> Result<(), ConnectionEnded> {
        if packet.first != 0 {
            let text = "packets came out of order";
            return self.client.close_with_error(packet.last, errors::OUT_OF_ORDER, text);
        }
        let Some((&name, body)) = packet.payload.split_first() else {
            return self.client.close_with_error(packet.last, errors::MALFORMED, "the command is empty");
        };
        if name == command::QUIT {
            return Err(ConnectionEnded);
        }
        match self.reply(name, body) {
            Ok(Reply::Payloads(payloads)) => self.client.write_after(packet.last, &payloads),
            Ok(Reply::Packets(packets)) => self.client.write_packets(&packets),
            Ok(Reply::None) => Ok(()),
            Err(error) => self.client.write_after(packet.last, &[error.encode()]),
        }
    }

    fn reply(&mut self, name: u8, body: &[u8]) -> Result<Reply, CommandError> {
        match name {
            command::PING => Ok(ok()),
            command::INIT_DB => self.use_database(&String::from_utf8_lossy(body)),
            command::QUERY => self.query(body),
            command::STMT_PREPARE => self.prepare(body).map(Reply::Payloads),
            command::STMT_EXECUTE => self.execute(body).map(Reply::Payloads),
            command::STMT_FETCH => self.fetch(body).map(Reply::Payloads),
            command::STMT_SEND_LONG_DATA => Ok(self.add_long_data(body)),
            command::STMT_CLOSE => Ok(self.close_statement(body)),
            command::STMT_RESET => {
                self.statement(body)?.statement.reset();
                Ok(ok())
            }
            command::RESET_CONNECTION => {
                self.statements.clear();
                Ok(ok())
            }
            command::SET_OPTION => set_option(body),
            _ => {
                let text = format!("the command {name} is not known here");
                Err(CommandError::new(errors::UNKNOWN_COMMAND, text))
            }
        }
    }

    fn use_database(&self, name: &str) -> Result<Reply, CommandError> {
        if name.trim_matches('`') == self.client.front.settings().database {
            return Ok(ok());
        }
        let text = format!("there is no database '{name}' here");
        Err(CommandError::new(errors::UNKNOWN_DATABASE, text))
    }

    /// What a text requires, if it can be carried out.
    fn requirements(&self, text: &[u8]) -> Result<Requirements, CommandError> {
        let text = std::str::from_utf8(text)
            .map_err(|_| CommandError::new(errors::MALFORMED, "the text is no UTF-8"))?;
        let statement = scan(text);
        if statement.normalized.is_empty() {
            return Err(CommandError::new(errors::EMPTY_QUERY, "the text is empty"));
        }
        statement.check_supported()?;
        if statement.normalized.starts_with("call ") && !self.login.accepts_multi_results {
            let text = "CALL needs a client that takes several results";
            return Err(CommandError::new(errors::NO_MULTI_RESULTS, text));
        }
        Requirements::of(&statement, &self.client.front.settings())
    }

    /// A statement as text. What a connection has by itself the router answers.
    fn query(&mut self, body: &[u8]) -> Result<Reply, CommandError> {
        let statement = std::str::from_utf8(body).map(scan).unwrap_or_default();
        if let Some(database) = statement.normalized.strip_prefix("use ") {
            return self.use_database(database);
        }
        let max_allowed_packet = self.client.front.limits.max_message_bytes;
        if let Some(variables) = statement.selected_system_variables(max_allowed_packet) {
            return Ok(Reply::Packets(encode_single_row(&variables)));
        }
        if statement.sets_default_state() {
            return Ok(ok());
        }
        let requirements = self.requirements(body)?;
        let request = Request::Query(body.to_vec());
        self.submit(&requirements, requirements.class, request).map(Reply::Payloads)
    }

    fn submit(
        &self,
        requirements: &Requirements,
        class: usize,
        request: Request,
    ) -> Result<ResponsePayloads, CommandError> {
        let ClientLink { front, connection, .. } = self.client;
        Submitter { front, connection, user: &self.login.user }.run(requirements, class, request)
    }

    fn prepare(&mut self, body: &[u8]) -> Result<ResponsePayloads, CommandError> {
        let requirements = self.requirements(body)?;
        let max_statements = self.client.front.limits.max_statements_per_client;
        if self.statements.len() >= max_statements {
            let text = format!("one client may hold {max_statements} prepared statements");
            return Err(CommandError::new(errors::TOO_MANY_STATEMENTS, text));
        }
        let text: Arc<[u8]> = body.into();
        let class = self.client.front.settings().prepare_class;
        let mut response = self.submit(&requirements, class, Request::Prepare(text.clone()))?;
        if let Some(parameter_count) = prepared_parameter_count(&response[0]) {
            self.last_statement_id = self.last_statement_id.wrapping_add(1).max(1);
            // The id is the router's own.
            response[0][1..5].copy_from_slice(&self.last_statement_id.to_le_bytes());
            let statement = PreparedStatement::new(text, requirements, parameter_count);
            self.statements.insert(self.last_statement_id, statement);
        }
        Ok(response)
    }

    /// The statement that a body names.
    fn statement<'s, 'b>(&'s mut self, body: &'b [u8]) -> Result<NamedStatement<'s, 'b>, CommandError> {
        let mut fields = FieldReader::new(body);
        let id = fields.integer(4).ok_or_else(truncated)? as StatementId;
        if let Some(statement) = self.statements.get_mut(&id) {
            Ok(NamedStatement { statement, rest: fields.rest() })
        } else {
            let text = format!("there is no prepared statement {id}");
            Err(CommandError::new(errors::UNKNOWN_STATEMENT, text))
        }
    }

    fn execute(&mut self, body: &[u8]) -> Result<ResponsePayloads, CommandError> {
        let NamedStatement { statement, rest } = self.statement(body)?;
        statement.cursor = None;
        let long_parameters = std::mem::take(&mut statement.long_parameters);
        if std::mem::take(&mut statement.long_parameters_rejected) {
            let text = "a long parameter is longer than what is taken";
            return Err(CommandError::new(errors::TOO_LARGE, text));
        }
        let execution = statement
            .parameters
            .execution(rest)
            .ok_or_else(|| CommandError::new(errors::WRONG_ARGUMENTS, "the parameters can't be read"))?;
        let requirements = statement.requirements.clone();
        let text = statement.text.clone();
        let request = Request::Execute { text, body: execution.body, long_parameters };
        let response = self.submit(&requirements, requirements.class, request)?;
        if !execution.wants_cursor {
            return Ok(response);
        }
        match Cursor::open(response) {
            Ok(OpenedCursor { head, cursor }) => {
                self.statement(body)?.statement.cursor = Some(cursor);
                Ok(head)
            }
            Err(response) => Ok(response),
        }
    }

    fn fetch(&mut self, body: &[u8]) -> Result<ResponsePayloads, CommandError> {
        let NamedStatement { statement, rest } = self.statement(body)?;
        let count = FieldReader::new(rest).integer(4).ok_or_else(truncated)?;
        let cursor = statement
            .cursor
            .as_mut()
            .ok_or_else(|| CommandError::new(errors::NO_CURSOR, "the statement has no open cursor"))?;
        Ok(cursor.fetch(count as usize))
    }

    /// There is no response, also where the statement is unknown.
    fn add_long_data(&mut self, body: &[u8]) -> Reply {
        let max_bytes = self.client.front.limits.max_message_bytes;
        if let Ok(NamedStatement { statement, rest }) = self.statement(body) {
            statement.add_long_parameter_part(rest, max_bytes);
        }
        Reply::None
    }

    /// There is no response, also where the statement is unknown.
    fn close_statement(&mut self, body: &[u8]) -> Reply {
        if let Some(id) = FieldReader::new(body).integer(4) {
            self.statements.remove(&(id as StatementId));
        }
        Reply::None
    }
}

/// A prepared statement with what a command says behind its id.
struct NamedStatement<'s, 'b> {
    statement: &'s mut PreparedStatement,
    rest: &'b [u8],
}

fn truncated() -> CommandError {
    CommandError::new(errors::MALFORMED, "the command is cut off")
}

/// Several statements in one text stay off.
fn set_option(body: &[u8]) -> Result<Reply, CommandError> {
    if body == MULTI_STATEMENTS_OFF {
        return Ok(Reply::Payloads(vec![eof(AUTOCOMMIT).to_vec()]));
    }
    Err(CommandError::new(errors::UNSUPPORTED, "several statements in one text are not carried"))
}

/// How many parameters a statement has, from the first payload of the response to its prepare; `None` if that is an
/// error.
fn prepared_parameter_count(payload: &[u8]) -> Option<usize> {
    let mut fields = FieldReader::new(payload);
    if fields.integer(1)? != 0 {
        return None;
    }
    let _server_statement_id = fields.integer(4)?;
    let _columns = fields.integer(2)?;
    fields.integer(2).map(|parameters| parameters as usize)
}
