//! Parses one `MySQL` conversation from the TCP streams of its two directions.
use crate::remark::RemarkKind;
use crate::request::{Outcome, Request, Statement};
use crate::stream::Stream;
use mysql_wire::fields::FieldReader;
use mysql_wire::handshake::{Greeting, HandshakeResponse};
use mysql_wire::packet::{MAX_PACKET_PAYLOAD, PACKET_HEADER_BYTES, Packet, PacketReader};
use mysql_wire::prepared::Parameters;
use mysql_wire::results::{CURSOR_EXISTS, ResponseState, eof_status};
use mysql_wire::{command, errors};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Maximum length of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// First byte of an OK payload.
const OK: u8 = 0;
/// First byte of an ERR payload.
const ERROR: u8 = 0xff;

/// Requests that were parsed from a conversation, and remarks about its unreadable parts.
#[derive(Default)]
pub(crate) struct Conversation {
    pub(crate) requests: Vec<Request>,
    pub(crate) remarks: Vec<RemarkKind>,
}

/// Returns whether a server's stream begins with a `MySQL` greeting.
pub(crate) fn begins_with_greeting(server: &Stream) -> bool {
    let greeting = PayloadReader::new(server).next();
    greeting.is_some_and(|greeting| Greeting::parse(&greeting.payload).is_some())
}

/// Parses the requests of a conversation, whose server stream must begin with a greeting.
pub(crate) fn parse(client_address: SocketAddr, client: &Stream, server: &Stream) -> Conversation {
    let mut parser = Parser {
        client_address,
        client,
        commands: PayloadReader::new(client),
        responses: PayloadReader::new(server),
        statements: HashMap::new(),
        conversation: Conversation::default(),
    };
    let read_to_end = parser.skip_login() && parser.parse_commands() == StreamEnd::NoMoreCommands;
    if read_to_end && (client.has_gap() || server.has_gap()) {
        parser.conversation.remarks.push(RemarkKind::SegmentsMissing);
    }
    parser.conversation
}

/// Reads the payloads of one direction.
struct PayloadReader<'a> {
    reader: PacketReader,
    remaining: &'a [u8],
    /// Offset in the stream of the end of the last payload.
    offset: usize,
}

impl<'a> PayloadReader<'a> {
    fn new(stream: &'a Stream) -> Self {
        let reader = PacketReader::new(MAX_PAYLOAD_BYTES);
        PayloadReader { reader, remaining: stream.bytes(), offset: 0 }
    }

    fn next(&mut self) -> Option<Packet> {
        let packet = self.reader.read_packet(&mut self.remaining).ok()?;
        let bytes = packet.payload.len();
        self.offset += bytes + PACKET_HEADER_BYTES * (1 + bytes / MAX_PACKET_PAYLOAD);
        Some(packet)
    }

    fn skip(&mut self, count: u64) {
        for _ in 0..count {
            self.next();
        }
    }
}

/// Reason why parsing of commands ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The client sent `QUIT`.
    Quit,
    /// The client's stream has no further complete payloads.
    NoMoreCommands,
}

/// A statement that the client has prepared.
struct PreparedStatement {
    text: Vec<u8>,
    parameters: Parameters,
    long_parameters: BTreeMap<u16, Vec<u8>>,
}

impl PreparedStatement {
    /// Returns the execution and removes the stored long parameters. The parameter types may stem from an
    /// earlier execution, because clients send them only once.
    fn take_execution(&mut self, body: &[u8]) -> Option<Statement> {
        let execution = self.parameters.parse_execution(body);
        let long_parameters = std::mem::take(&mut self.long_parameters);
        Some(Statement::Execute { text: self.text.clone(), body: execution?.body, long_parameters })
    }
}

struct Parser<'a> {
    client_address: SocketAddr,
    client: &'a Stream,
    commands: PayloadReader<'a>,
    responses: PayloadReader<'a>,
    statements: HashMap<u32, PreparedStatement>,
    conversation: Conversation,
}

impl Parser<'_> {
    /// Skips the packets of the login up to the server's OK. Returns false if the login is malformed, fails
    /// or is incomplete.
    fn skip_login(&mut self) -> bool {
        if self.commands.next().and_then(|packet| HandshakeResponse::parse(&packet.payload)).is_none() {
            self.conversation.remarks.push(RemarkKind::UnreadableLogin);
            return false;
        }
        let _greeting = self.responses.next();
        loop {
            let first_byte = self.responses.next().and_then(|packet| packet.payload.first().copied());
            match first_byte {
                Some(OK) => return true,
                Some(ERROR) | None => return false,
                Some(_) => {}
            }
        }
    }

    fn parse_commands(&mut self) -> StreamEnd {
        while let Some(packet) = self.commands.next() {
            // A command has sequence number 0. Other payloads belong to the login.
            if packet.first_sequence != 0 {
                continue;
            }
            let Some((&name, body)) = packet.payload.split_first() else { continue };
            if name == command::QUIT {
                return StreamEnd::Quit;
            }
            self.parse_command(name, body);
        }
        StreamEnd::NoMoreCommands
    }

    fn parse_command(&mut self, name: u8, body: &[u8]) {
        match name {
            command::STMT_CLOSE => self.close_statement(body),
            command::STMT_SEND_LONG_DATA => self.add_long_parameter(body),
            command::STMT_PREPARE => self.prepare_statement(body),
            command::QUERY => self.add_request(Some(Statement::Query(body.to_vec()))),
            command::STMT_EXECUTE => {
                let execution = self.parse_execution(body);
                self.add_request(execution);
            }
            command::STMT_FETCH => self.skip_fetched_rows(),
            _ => _ = self.responses.next(),
        }
    }

    fn close_statement(&mut self, body: &[u8]) {
        let id = FieldReader::new(body).integer(4);
        _ = id.and_then(|id| self.statements.remove(&(id as u32)));
    }

    fn add_long_parameter(&mut self, body: &[u8]) {
        let mut fields = FieldReader::new(body);
        let statement = fields.integer(4).and_then(|id| self.statements.get_mut(&(id as u32)));
        if let (Some(statement), Some(index)) = (statement, fields.integer(2)) {
            let parameter = statement.long_parameters.entry(index as u16).or_default();
            parameter.extend_from_slice(fields.rest());
        }
    }

    fn prepare_statement(&mut self, text: &[u8]) {
        let Some((id, count)) = self.read_prepare_response() else { return };
        let statement = PreparedStatement {
            text: text.to_vec(),
            parameters: Parameters { count, types: Vec::new() },
            long_parameters: BTreeMap::new(),
        };
        self.statements.insert(id, statement);
    }

    /// Returns the statement ID and the number of parameters from the response to a prepare, and skips the
    /// definitions that follow.
    fn read_prepare_response(&mut self) -> Option<(u32, usize)> {
        let response = self.responses.next()?;
        let mut fields = FieldReader::new(&response.payload);
        if fields.integer(1)? != u64::from(OK) {
            return None;
        }
        let (id, columns, parameters) = (fields.integer(4)?, fields.integer(2)?, fields.integer(2)?);
        // The parameter definitions and the column definitions follow, each list terminated by an EOF unless
        // it is empty.
        for definitions in [parameters, columns].into_iter().filter(|count| *count > 0) {
            self.responses.skip(definitions + 1);
        }
        Some((id as u32, parameters as usize))
    }

    fn parse_execution(&mut self, body: &[u8]) -> Option<Statement> {
        let mut fields = FieldReader::new(body);
        let id = fields.integer(4)?;
        self.statements.get_mut(&(id as u32))?.take_execution(fields.rest())
    }

    /// Adds a request with the outcome of the next response, or a remark if the statement is unreadable.
    fn add_request(&mut self, statement: Option<Statement>) {
        let captured_at = self.client.captured_at(self.commands.offset);
        let outcome = self.read_outcome();
        match statement {
            Some(statement) => {
                let client = self.client_address;
                self.conversation.requests.push(Request { captured_at, client, statement, outcome });
            }
            None => self.conversation.remarks.push(RemarkKind::UnreadableExecution),
        }
    }

    fn read_outcome(&mut self) -> Outcome {
        let mut state = ResponseState::Start;
        while let Some(packet) = self.responses.next() {
            let payload = &packet.payload;
            state.advance(payload);
            match state {
                ResponseState::Done(_) => return Outcome::Succeeded,
                ResponseState::Failed => return Outcome::Error(errors::error_number(payload).unwrap_or(0)),
                ResponseState::Malformed => return Outcome::Incomplete,
                // If a cursor is opened, the response ends after the column definitions. The rows are fetched
                // later.
                ResponseState::Rows if opens_cursor(payload) => return Outcome::Succeeded,
                _ => {}
            }
        }
        Outcome::Incomplete
    }

    fn skip_fetched_rows(&mut self) {
        while let Some(packet) = self.responses.next() {
            let payload = &packet.payload;
            if eof_status(payload).is_some() || errors::error_number(payload).is_some() {
                return;
            }
        }
    }
}

fn opens_cursor(payload: &[u8]) -> bool {
    eof_status(payload).is_some_and(|status| status & CURSOR_EXISTS != 0)
}
