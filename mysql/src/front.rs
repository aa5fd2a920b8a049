//! The front for MySQL clients. Each connection has a reader, which notices a client that leaves, and a worker,
//! which carries the commands out one after the other.
use crate::auth::{self, Answer as Login};
use crate::errors::{self, Code};
use crate::link::{Mysql, Payload, Payloads};
use crate::packet::{Broken, Fields, Packet, Reader, push, write_ready};
use crate::prepared::{Cursor, Prepared};
use crate::results::{AUTOCOMMIT, OK, eof, one_row};
use crate::statement::{Need, Scan, need, scan};
use crate::{Tap, command};
use client_listener::{Connection, ConnectionHandler, is_timeout};
use crossbeam_channel::{Receiver, Sender, bounded};
use routing::reasons::CloseReason;
use routing::{ClientRequest, FinalResponse, GroupId, RequestId, RouterHandle, Time, spawn_with_retry};
use sessions::SessionKey;
use sessions::machine::NotServing;
use sessions::node::{CommitOutcome, SessionRef, Sessions};
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// How long a thread for a client's commands is waited for.
const THREAD_PATIENCE: Duration = Duration::from_millis(800);

/// What all connections of the front share.
pub struct Front {
    handle: RouterHandle<Mysql>,
    settings: RwLock<Arc<Settings>>,
    limits: Arc<Limits>,
    tap: Option<Arc<dyn Tap>>,
    sessions: Arc<Sessions>,
    fleet: Option<fleet::FleetClient>,
}

impl Front {
    /// A front for the users that the settings name; of a fleet, where there is one, requests are admitted by it.
    pub fn new(
        handle: RouterHandle<Mysql>,
        settings: Arc<Settings>,
        limits: Arc<Limits>,
        tap: Option<Arc<dyn Tap>>,
        sessions: Arc<Sessions>,
        fleet: Option<fleet::FleetClient>,
    ) -> Arc<Front> {
        Arc::new(Front { handle, settings: RwLock::new(settings), limits, tap, sessions, fleet })
    }

    /// Takes other users, rules and another default group from now on.
    pub fn reload(&self, settings: Settings) {
        *self.settings.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = Arc::new(settings);
    }

    fn settings(&self) -> Arc<Settings> {
        self.settings.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

/// One client.
struct Client<'a> {
    front: &'a Front,
    connection: &'a Connection,
    from: SocketAddr,
    user: String,
    multi_results: bool,
    statements: HashMap<u32, Prepared>,
    next: u32,
}

/// The connection can't go on.
struct End;

type Step<T = ()> = Result<T, End>;

/// A command's answer: payloads, or an error.
type Answered = Result<Payloads, (Code, String)>;

impl ConnectionHandler for Front {
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        let Ok(from) = connection.socket.peer_addr() else { return };
        let mut client = Client {
            front: self,
            connection,
            from,
            user: String::new(),
            multi_results: false,
            statements: HashMap::new(),
            next: 0,
        };
        // The thread that reads commands is had before the client is let in: what it sends after that is owed an answer.
        let Some(command_reader) = self.start_command_reader(connection) else { return };
        let mut reader = Reader::new(self.limits.max_message_bytes);
        if client.greet(&mut reader).is_ok() {
            // Who has proved a password comes to ask.
            connection.record_request();
            client.serve(reader, command_reader);
        }
        if let Some(tap) = &self.tap {
            tap.ended(connection.id);
        }
    }

    fn reject(&self, connection: &Connection) {
        let mut bytes = Vec::new();
        push(&mut bytes, 0, &errors::payload(errors::REFUSED, "refused: no thread is to be had"));
        // A client that has left already needs no answer.
        _ = write_ready(&connection.socket, &bytes);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.handle.client_disconnected(request);
    }
}

/// The thread that reads a client's commands, which waits for the login.
struct CommandReader {
    /// Gets what has been read ahead by the end of the login.
    start: Sender<Reader>,
    /// Gives the commands, and at last why there are no more.
    commands: Receiver<Result<Packet, Broken>>,
}

impl Front {
    /// Starts the thread that reads commands; `None` where none was to be had, which the client is told.
    fn start_command_reader(&self, connection: &Arc<Connection>) -> Option<CommandReader> {
        let (to, commands) = bounded(self.limits.max_pipelined_requests);
        let (start, reader) = bounded::<Reader>(1);
        let (handle, own) = (self.handle.clone(), connection.clone());
        let read = move || {
            if let Ok(reader) = reader.recv() {
                read_commands(&own, reader, &to, |id| handle.client_disconnected(id));
            }
        };
        let started =
            spawn_with_retry("commands", self.limits.socket_thread_stack_bytes, THREAD_PATIENCE, read);
        if started.is_err() {
            connection.set_close_reason(CloseReason::NoThread);
            self.reject(connection);
            return None;
        }
        Some(CommandReader { start, commands })
    }
}

/// Reads commands until the client or this side ends the connection.
fn read_commands(
    connection: &Connection,
    mut reader: Reader,
    to: &Sender<Result<Packet, Broken>>,
    cancel: impl Fn(RequestId),
) {
    loop {
        let next = reader.next(connection.command_reader(!reader.is_empty()));
        if matches!(next, Err(Broken::Silent)) && !connection.close_if_idle_timed_out() {
            continue;
        }
        let end = next.is_err();
        if end {
            // Whoever is gone needs no answer; one that broke the protocol hears of it in its turn, and one
            // that stopped within a command gets what it is owed. Of one that is let go it is this side that
            // reads no more: what was read is answered, and where it has left, too, whoever watches its
            // socket says so.
            let gone = match &next {
                Err(Broken::Ended) => true,
                Err(Broken::Failed(e)) => !is_timeout(e),
                _ => false,
            };
            if gone && !connection.reading_stopped() {
                connection.mark_disconnected(&cancel);
            }
        } else if !connection.begin_command(!reader.is_empty()) {
            return;
        }
        if to.send(next).is_err() || end {
            return;
        }
    }
}

impl Client<'_> {
    fn tapped(&self, from_client: bool, bytes: &[u8]) {
        if let Some(tap) = &self.front.tap {
            tap.bytes(self.connection.id, self.from, from_client, bytes);
        }
    }

    fn took(&self, packet: &Packet) {
        if self.front.tap.is_some() {
            let mut bytes = Vec::new();
            push(&mut bytes, packet.first, &packet.payload);
            self.tapped(true, &bytes);
        }
    }

    /// Writes payloads after the packet of this number.
    fn write(&self, after: u8, payloads: &[Vec<u8>]) -> Step {
        let mut bytes = Vec::new();
        let mut next = after.wrapping_add(1);
        for p in payloads {
            next = push(&mut bytes, next, p);
        }
        self.write_bytes(&bytes)
    }

    fn write_bytes(&self, bytes: &[u8]) -> Step {
        // Before the write: an answer that the client has seen must stand in the recording.
        self.tapped(false, bytes);
        write_ready(&self.connection.socket, bytes).map_err(|_| End)
    }

    fn refuse<T>(&self, after: u8, code: Code, text: &str) -> Step<T> {
        self.write(after, &[errors::payload(code, text)])?;
        Err(End)
    }

    /// Tells the client why its connection ends.
    fn broken<T>(&self, after: u8, broken: &Broken) -> Step<T> {
        match broken {
            Broken::TooLong => {
                let text = format!("a packet is longer than {} bytes", self.front.limits.max_message_bytes);
                self.refuse(after, errors::TOO_LARGE, &text)
            }
            Broken::OutOfOrder => self.refuse(after, errors::OUT_OF_ORDER, "packets came out of order"),
            Broken::Ended | Broken::Silent | Broken::Failed(_) => Err(End),
        }
    }

    fn greet(&mut self, reader: &mut Reader) -> Step {
        let Ok(nonce) = auth::nonce() else { return Err(End) };
        self.write(255, &[auth::greeting(self.connection.id as u32, &nonce)])?;
        let next = |client: &Self, reader: &mut Reader| match reader.next(client.connection.startup_reader())
        {
            Ok(p) => {
                client.took(&p);
                Ok(p)
            }
            Err(b) => client.broken(0, &b),
        };
        let packet = next(self, reader)?;
        let Some(mut login) = Login::parse(&packet.payload) else {
            return self.refuse(
                packet.last,
                errors::BAD_HANDSHAKE,
                "the answer to the greeting can't be read",
            );
        };
        let mut last = packet.last;
        if !matches!(login.plugin.as_str(), auth::NATIVE | auth::SHA2) {
            let switch = [&[0xfe][..], auth::NATIVE.as_bytes(), b"\0", &nonce, b"\0"].concat();
            self.write(last, &[switch])?;
            let packet = next(self, reader)?;
            (login.plugin, login.proof, last) = (auth::NATIVE.into(), packet.payload, packet.last);
        }
        let settings = self.front.settings();
        let known = settings.users.iter().find(|known| known.user == login.user);
        let right = known.and_then(|known| auth::proof(&login.plugin, &known.password, &nonce));
        if !right.is_some_and(|right| auth::same(&right, &login.proof)) {
            tracing::warn!("mysql: {}: access denied for user '{}'", self.from, login.user);
            let text = format!("access denied for user '{}'", login.user);
            return self.refuse(last, errors::ACCESS_DENIED, &text);
        }
        let wanted = login.database.as_ref();
        if wanted.is_some_and(|d| *d != self.front.settings().database) {
            return self.refuse(last, errors::UNKNOWN_DATABASE, "there is no such database here");
        }
        if login.plugin == auth::SHA2 && !login.proof.is_empty() {
            self.write(last, &[vec![1, 3]])?;
            last = last.wrapping_add(1);
        }
        self.multi_results = login.capabilities & auth::capability::MULTI_RESULTS != 0;
        self.user = login.user;
        self.write(last, &[OK.to_vec()])
    }

    fn serve(&mut self, reader: Reader, command_reader: CommandReader) {
        let CommandReader { start, commands } = command_reader;
        if start.send(reader).is_err() {
            return;
        }
        self.work(&commands);
        self.connection.shut_down_write();
        // The reader ends with its client, or where the connection is cut; what it still hands over is nobody's.
        while commands.recv_timeout(self.front.limits.client_linger_timeout).is_ok() {}
    }

    fn work(&mut self, commands: &Receiver<Result<Packet, Broken>>) {
        for next in commands {
            // What a client wrote before its end is not carried out after it.
            if self.connection.in_flight_requests.is_disconnected() {
                return;
            }
            let step = match next {
                Ok(packet) => {
                    self.took(&packet);
                    let step = self.command(&packet);
                    self.connection.finish_command();
                    step
                }
                Err(broken) => self.broken(0, &broken),
            };
            if step.is_err() {
                return;
            }
        }
    }

    fn command(&mut self, packet: &Packet) -> Step {
        if packet.first != 0 {
            return self.refuse(packet.last, errors::OUT_OF_ORDER, "packets came out of order");
        }
        let Some((&name, body)) = packet.payload.split_first() else {
            return self.refuse(packet.last, errors::MALFORMED, "the command is empty");
        };
        let ok = || Ok(vec![OK.to_vec()]);
        let answered = match name {
            command::QUIT => return Err(End),
            command::PING => ok(),
            command::INIT_DB => self.use_database(&String::from_utf8_lossy(body)),
            command::QUERY => match self.query(body) {
                Err(local) => return self.write_bytes(&local),
                Ok(answered) => answered,
            },
            command::STMT_PREPARE => self.prepare(body),
            command::STMT_EXECUTE => self.execute(body),
            command::STMT_FETCH => self.fetch(body),
            command::STMT_SEND_LONG_DATA => {
                self.long_data(body);
                return Ok(());
            }
            command::STMT_CLOSE => {
                if let Some(id) = Fields(body).number(4) {
                    self.statements.remove(&(id as u32));
                }
                return Ok(());
            }
            command::STMT_RESET => self.statement(body).and_then(|(s, _)| {
                s.reset();
                ok()
            }),
            command::RESET_CONNECTION => {
                self.statements.clear();
                ok()
            }
            // Several statements in one text stay off.
            command::SET_OPTION if body == [1, 0] => Ok(vec![eof(AUTOCOMMIT).to_vec()]),
            command::SET_OPTION => {
                Err((errors::NOT_CARRIED, "several statements in one text are not carried".into()))
            }
            _ => Err((errors::UNKNOWN_COMMAND, format!("the command {name} is not known here"))),
        };
        let payloads = answered.unwrap_or_else(|(code, text)| vec![errors::payload(code, &text)]);
        self.write(packet.last, &payloads)
    }

    fn use_database(&self, name: &str) -> Answered {
        if name.trim_matches('`') == self.front.settings().database {
            return Ok(vec![OK.to_vec()]);
        }
        Err((errors::UNKNOWN_DATABASE, format!("there is no database '{name}' here")))
    }

    /// What a text needs, where it is one that can be carried.
    fn admitted(&self, text: &[u8]) -> Result<(Scan, Need), (Code, String)> {
        let text =
            std::str::from_utf8(text).map_err(|_| (errors::MALFORMED, "the text is no UTF-8".to_string()))?;
        let scan = scan(text);
        if scan.plain.is_empty() {
            return Err((errors::EMPTY_QUERY, "the text is empty".into()));
        }
        if let Some((code, why)) = scan.refused() {
            return Err((code, why.to_string()));
        }
        if scan.plain.starts_with("call ") && !self.multi_results {
            return Err((errors::NO_MULTI_RESULTS, "CALL needs a client that takes several results".into()));
        }
        let need = need(&scan, &self.front.settings())?;
        Ok((scan, need))
    }

    /// A statement as text. `Err` holds the packets of an answer that the router gives by itself.
    fn query(&mut self, body: &[u8]) -> Result<Answered, Vec<u8>> {
        let plain = std::str::from_utf8(body).map(scan).unwrap_or_default();
        if let Some(name) = plain.plain.strip_prefix("use ") {
            return Ok(self.use_database(name));
        }
        if let Some(values) = plain.variables(self.front.limits.max_message_bytes) {
            return Err(one_row(&values));
        }
        if plain.sets_what_is_set() {
            return Ok(Ok(vec![OK.to_vec()]));
        }
        let (_, need) = match self.admitted(body) {
            Ok(admitted) => admitted,
            Err(e) => return Ok(Err(e)),
        };
        Ok(self.ask(&need, need.class, Payload::Query(body.to_vec())))
    }

    /// Hands a request to the module and waits for its one final answer.
    fn ask(&self, need: &Need, class: usize, payload: Payload) -> Answered {
        let now = self.front.handle.clock.now();
        let (settings, sessions) = (self.front.settings(), &self.front.sessions);
        let group = GroupId(need.group);
        let who = match &need.session {
            Some(named) => SessionRef::Named(SessionKey::named(group, named)),
            // A connection is a session of its own: it sees its own writes.
            None => SessionRef::Connection(SessionKey::connection(group, self.connection.id)),
        };
        let refused = |why: NotServing| (errors::REFUSED, format!("refused: nothing ran: {why}"));
        let token = if settings.class_uses_session[class] {
            sessions.required_position(who).map_err(refused)?
        } else {
            sessions.check_serving(who).map_err(refused)?;
            None
        };
        let tenant = match &self.front.fleet {
            None => Ok(None),
            // Preparing runs nothing: it costs its tenant nothing, and goes only where the tenant may go.
            Some(fleet) if class == settings.prepare_class => {
                fleet.resolve_tenant(&self.user, need.tenant.as_deref())
            }
            Some(fleet) => fleet.admit(&self.user, need.tenant.as_deref()),
        };
        let tenant = tenant.map_err(|why| (errors::REFUSED, format!("refused: nothing ran: {why}")))?;
        let mut deadline = Time(now.0 + need.wait_ms as i64 * 1000);
        if let Some(fleet) = &self.front.fleet {
            deadline = fleet.dispatch_deadline(deadline);
        }
        let (answer, given) = bounded(1);
        let incoming = ClientRequest {
            connection: self.connection.id,
            class,
            tenant,
            session: None,
            group,
            deadline,
            session_commit: token,
            payload,
            response_sender: answer,
        };
        // Nobody reads what a client is answered that has left meanwhile.
        let request = self.connection.submit(|| self.front.handle.submit(incoming));
        let answer = given.recv().unwrap_or(FinalResponse::Failed(None));
        request.into_iter().for_each(|id| _ = self.connection.in_flight_requests.finish(id));
        // A write is told to the client once no read of its session can miss it any more.
        if let FinalResponse::Served(_, Some(at)) = &answer
            && !settings.class_is_read[class]
            && sessions.record_commit(who, *at, deadline) == CommitOutcome::Uncertain
        {
            return Err((errors::TIMED_OUT, "it has run, but its session can't rely on it".into()));
        }
        Ok(errors::worded(answer).map_or_else(|served| served, |error| vec![error]))
    }

    fn prepare(&mut self, body: &[u8]) -> Answered {
        let (_, need) = self.admitted(body)?;
        if self.statements.len() >= self.front.limits.max_statements_per_client {
            let most = self.front.limits.max_statements_per_client;
            return Err((
                errors::TOO_MANY_STATEMENTS,
                format!("one client may hold {most} prepared statements"),
            ));
        }
        let text: Arc<[u8]> = body.into();
        let mut answer =
            self.ask(&need, self.front.settings().prepare_class, Payload::Prepare(text.clone()))?;
        let mut f = Fields(&answer[0]);
        if let (Some(0), Some(_), Some(_), Some(parameters)) =
            (f.number(1), f.number(4), f.number(2), f.number(2))
        {
            self.next = self.next.wrapping_add(1).max(1);
            // The id is the router's own.
            answer[0][1..5].copy_from_slice(&self.next.to_le_bytes());
            self.statements.insert(self.next, Prepared::new(text, need, parameters as usize));
        }
        Ok(answer)
    }

    /// The statement that a body names, and the rest of the body.
    fn statement<'b>(&mut self, body: &'b [u8]) -> Result<(&mut Prepared, &'b [u8]), (Code, String)> {
        let mut f = Fields(body);
        let id = f.number(4).ok_or_else(|| (errors::MALFORMED, "the command is cut off".to_string()))? as u32;
        let unknown = || (errors::UNKNOWN_STATEMENT, format!("there is no prepared statement {id}"));
        Ok((self.statements.get_mut(&id).ok_or_else(unknown)?, f.0))
    }

    fn execute(&mut self, body: &[u8]) -> Answered {
        let (statement, rest) = self.statement(body)?;
        statement.cursor = None;
        let long = std::mem::take(&mut statement.long);
        if std::mem::take(&mut statement.long_too_large) {
            return Err((errors::TOO_LARGE, "a long parameter is longer than what is taken".into()));
        }
        let wrong = || (errors::WRONG_ARGUMENTS, "the parameters can't be read".to_string());
        let execution = statement.parameters.execution(rest).ok_or_else(wrong)?;
        let (need, text) = (statement.need.clone(), statement.text.clone());
        let answer = self.ask(&need, need.class, Payload::Execute { text, body: execution.body, long })?;
        if !execution.cursor {
            return Ok(answer);
        }
        Ok(match Cursor::open(answer) {
            Ok((head, cursor)) => {
                self.statement(body)?.0.cursor = Some(cursor);
                head
            }
            Err(whole) => whole,
        })
    }

    fn fetch(&mut self, body: &[u8]) -> Answered {
        let (statement, rest) = self.statement(body)?;
        let n = Fields(rest).number(4).ok_or((errors::MALFORMED, "the command is cut off".to_string()))?;
        let none = (errors::NO_CURSOR, "the statement has no open cursor".to_string());
        statement.cursor.as_mut().map(|c| c.fetch(n as usize)).ok_or(none)
    }

    /// Keeps a part of a long parameter. There is no answer: what is wrong shows at the execution.
    fn long_data(&mut self, body: &[u8]) {
        let most = self.front.limits.max_message_bytes;
        let Ok((statement, rest)) = self.statement(body) else { return };
        let mut f = Fields(rest);
        let Some(parameter) = f.number(2).filter(|p| (*p as usize) < statement.parameters.count) else {
            statement.long_too_large = true;
            return;
        };
        let held: usize = statement.long.values().map(Vec::len).sum();
        if held + f.0.len() > most {
            statement.long_too_large = true;
        } else {
            statement.long.entry(parameter as u16).or_default().extend_from_slice(f.0);
        }
    }
}
