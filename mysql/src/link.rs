//! The link to a server: one command at a time on a connection that stays open. A statement is prepared on it
//! when an execution first meets it here.
use crate::auth::{self, Answer as Login, Greeting};
use crate::command;
use crate::errors::{self, Meaning};
use crate::packet::{Broken, Fields, Packet, Reader, push, with_command, write_ready};
use crate::results::{State, text_row};
use routing::socket::DeadlineReader;
use routing::{
    AttemptGuard, BackendProtocol, Clock, Connection, ConnectionPermit, Exchange, ExchangeResult, Handshake,
    MemberReport, NotSent, Outcome, ServerSocket, Time, WritePermit,
};
use sessions::clocks::{ClockOffset, ServerClocks};
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a request brings to a server.
pub enum Payload {
    /// A statement as text.
    Query(Vec<u8>),
    /// The preparing of a statement, for what it tells of parameters and columns.
    Prepare(Arc<[u8]>),
    /// The execution of a prepared statement.
    Execute {
        /// The statement's text.
        text: Arc<[u8]>,
        /// The execution behind the statement's id.
        body: Vec<u8>,
        /// Long parameters to be sent ahead.
        long: BTreeMap<u16, Vec<u8>>,
    },
}

/// What a server answered: payloads, in order.
pub type Payloads = Vec<Vec<u8>>;

/// Who logs in, and where to.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// Its password.
    pub password: String,
    /// The database.
    pub database: String,
}

/// The MySQL wire to servers.
#[derive(Clone)]
pub struct Mysql {
    credentials: Credentials,
    settings: Arc<Settings>,
    limits: Arc<Limits>,
    clock: Clock,
    /// How far the servers' clocks are from this router's, as their probes tell.
    pub clocks: Arc<ServerClocks>,
}

impl Mysql {
    /// A wire that logs in as the settings say.
    pub fn new(settings: Arc<Settings>, limits: Arc<Limits>, clock: Clock) -> Self {
        let credentials = Credentials {
            user: settings.server_user.clone(),
            password: settings.server_password.clone(),
            database: settings.database.clone(),
        };
        let clocks = Arc::new(ServerClocks::new(
            settings.health_check_returns_clock,
            limits.max_clock_skew.as_micros() as i64,
        ));
        Mysql { credentials, settings, limits, clock, clocks }
    }
}

/// A connection to a server.
pub struct MysqlLink {
    socket: ServerSocket,
    reader: Reader,
    /// The work at hand is waited for up to this moment, however slowly its answer trickles.
    until: Instant,
    settings: Arc<Settings>,
    limits: Arc<Limits>,
    clock: Clock,
    clocks: Arc<ServerClocks>,
    addr: SocketAddr,
    /// Statements prepared here: text, id and count of parameters, the oldest first.
    prepared: VecDeque<(Arc<[u8]>, u32, usize)>,
}

/// How a command ended short of an answer.
enum Cut {
    /// The connection broke, or brought nothing in time, or something that is no answer.
    Broken(Outcome),
    /// The answer is longer than what is taken.
    TooLarge,
}

impl From<Broken> for Cut {
    fn from(b: Broken) -> Self {
        match b {
            Broken::Failed(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Cut::Broken(Outcome::TimedOut)
            }
            Broken::Silent => Cut::Broken(Outcome::TimedOut),
            Broken::TooLong => Cut::TooLarge,
            _ => Cut::Broken(Outcome::Reset),
        }
    }
}

impl BackendProtocol for Mysql {
    type Payload = Payload;
    type Response = Payloads;
    type Connection = MysqlLink;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<MysqlLink, Outcome> {
        let until = Instant::now() + self.limits.backend_connect_timeout;
        let handshake = Handshake::connect(permit, addr, &self.limits)?;
        let mut reader = Reader::new(self.limits.max_response_bytes);
        login(&handshake, &mut reader, &self.credentials, until).map_err(|e| match errors::meaning(e.0) {
            Meaning::Outcome(Outcome::Rejected) => Outcome::Rejected,
            _ => {
                tracing::warn!("server {addr}: no login: {}", e.1);
                Outcome::ConnectFailed
            }
        })?;
        let (settings, limits) = (self.settings.clone(), self.limits.clone());
        let socket = handshake.finish().map_err(|_| Outcome::ConnectFailed)?;
        let prepared = VecDeque::new();
        let clocks = self.clocks.clone();
        Ok(MysqlLink { socket, reader, until, settings, limits, clock: self.clock, clocks, addr, prepared })
    }
}

/// A connection that logs in: a router's to a server, or a client's to a router.
pub trait LoginSocket {
    /// Reads up to a deadline.
    ///
    /// # Errors
    /// The connection can't be read.
    fn reader(&self, until: Instant) -> io::Result<DeadlineReader<'_>>;

    /// Writes bytes that stand ready.
    ///
    /// # Errors
    /// The write failed or timed out.
    fn write(&self, bytes: &[u8]) -> io::Result<()>;
}

impl LoginSocket for TcpStream {
    fn reader(&self, until: Instant) -> io::Result<DeadlineReader<'_>> {
        Ok(DeadlineReader::new(self, until))
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        write_ready(self, bytes)
    }
}

impl LoginSocket for Handshake {
    fn reader(&self, until: Instant) -> io::Result<DeadlineReader<'_>> {
        Handshake::reader(self, until)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        Handshake::write(self, &mut [IoSlice::new(bytes)])
    }
}

/// Logs in up to a moment; an error is a server's code, or 0, and a text.
///
/// # Errors
/// Where the server does not let it in, or not in time.
pub fn login(
    socket: &impl LoginSocket,
    reader: &mut Reader,
    credentials: &Credentials,
    until: Instant,
) -> Result<(), (u16, String)> {
    let own = |text: &str| (0, text.to_string());
    let next = |reader: &mut Reader| -> Result<Packet, (u16, String)> {
        let from = socket.reader(until).map_err(|e| (0, format!("the connection failed: {e}")))?;
        let packet = reader.next(from).map_err(|e| (0, format!("the connection failed: {e:?}")))?;
        match errors::code(&packet.payload) {
            Some(code) => Err((code, format!("error {code}"))),
            None => Ok(packet),
        }
    };
    let greeting = next(reader)?;
    let greeted = Greeting::parse(&greeting.payload).ok_or_else(|| own("no greeting of version 10"))?;
    if greeted.capabilities & auth::capability::PROTOCOL_41 == 0 {
        return Err(own("it does not speak protocol 4.1"));
    }
    let password = &credentials.password;
    let proof = |plugin: &str, nonce: &[u8]| {
        auth::proof(plugin, password, nonce)
            .ok_or_else(|| (0, format!("it wants the unknown proof {plugin}")))
    };
    // A way that is not known here is answered with one that is: the server then switches, or says no.
    let plugin = if greeted.plugin == auth::NATIVE { auth::NATIVE } else { auth::SHA2 };
    let answer = Login {
        capabilities: auth::USED,
        user: credentials.user.clone(),
        proof: proof(plugin, &greeted.nonce)?,
        database: Some(credentials.database.clone()),
        plugin: plugin.to_string(),
    };
    let send = |after: u8, payload: &[u8]| {
        let mut bytes = Vec::new();
        push(&mut bytes, after.wrapping_add(1), payload);
        socket.write(&bytes).map_err(|e| (0, format!("the connection failed: {e}")))
    };
    send(greeting.last, &answer.write())?;
    loop {
        let packet = next(reader)?;
        match packet.payload.first() {
            Some(0) => return Ok(()),
            Some(0xfe) => {
                let mut f = Fields(&packet.payload[1..]);
                let plugin = f.until_zero().and_then(|p| std::str::from_utf8(p).ok()).unwrap_or("");
                let nonce = f.0.strip_suffix(b"\0").unwrap_or(f.0);
                send(packet.last, &proof(plugin, nonce)?)?;
            }
            // The proof was enough; OK follows.
            Some(1) if packet.payload.get(1) == Some(&3) => {}
            Some(1) => {
                return Err(own("it wants the password itself, which is not sent over a plain connection"));
            }
            _ => return Err(own("its answer to the login can't be read")),
        }
    }
}

impl Connection<Mysql> for MysqlLink {
    fn socket(&self) -> ServerSocket {
        self.socket.clone()
    }

    fn is_usable(&mut self, rested: Duration, _permit: ConnectionPermit) -> bool {
        rested < self.limits.max_unchecked_idle_time && self.is_quiet()
    }

    fn execute(
        &mut self,
        work: Exchange<'_, Mysql>,
        stop: &AttemptGuard,
    ) -> Result<ExchangeResult<Payloads>, NotSent> {
        let wait = match &work {
            Exchange::Attempt(_, at) => {
                at.saturating_duration_since(Instant::now()) + self.limits.abandoned_response_timeout
            }
            Exchange::Probe => self.limits.health_check_timeout,
        };
        self.until = Instant::now() + wait;
        match work {
            Exchange::Probe => {
                let (probe, sent) = (self.settings.health_check_statement.clone(), self.clock.now());
                self.begin(stop, &[&[command::QUERY], probe.as_bytes()])?;
                Ok(self.probed(sent))
            }
            Exchange::Attempt(Payload::Query(text), _) => {
                self.begin(stop, &[&[command::QUERY], text])?;
                let answer = self.answer();
                Ok(self.reply(answer))
            }
            Exchange::Attempt(Payload::Prepare(text), _) => {
                let permit = stop.permit_write().map_err(|_| NotSent::Cancelled)?;
                match self.prepare(text, &permit) {
                    Ok(answer) => Ok(self.reply(Ok(answer))),
                    // Preparing runs nothing: a server that dies over it leaves the next one to ask.
                    Err(Cut::Broken(_)) => Err(NotSent::ConnectionBroken),
                    Err(cut) => Ok(self.reply(Err(cut))),
                }
            }
            Exchange::Attempt(Payload::Execute { text, body, long }, _) => {
                self.execute_statement(text, body, long, stop)
            }
        }
    }
}

impl MysqlLink {
    /// Writes a command's only packet, unless it is stopped.
    fn begin(&mut self, stop: &AttemptGuard, parts: &[&[u8]]) -> Result<(), NotSent> {
        let permit = stop.permit_write().map_err(|_| NotSent::Cancelled)?;
        with_command(parts, |slices| self.socket.write_last(permit, slices))
            .map_err(|_| NotSent::ConnectionBroken)
    }

    /// Whether nothing has come on the connection that nobody asked for, and it is open.
    fn is_quiet(&self) -> bool {
        self.reader.is_empty() && self.socket.is_idle_and_open()
    }

    /// Prepares a statement, whatever of it stands here already; its answer comes back.
    fn prepare(&mut self, text: &Arc<[u8]>, permit: &WritePermit) -> Result<Payloads, Cut> {
        let gone = |_| Cut::Broken(Outcome::Reset);
        with_command(&[&[command::STMT_PREPARE], text], |slices| self.socket.write_part(permit, slices))
            .map_err(gone)?;
        let first = self.reader.next(self.socket.reader(self.until))?.payload;
        let mut f = Fields(&first);
        let (Some(0), Some(id), Some(columns), Some(parameters)) =
            (f.number(1), f.number(4), f.number(2), f.number(2))
        else {
            return if errors::code(&first).is_some() {
                Ok(vec![first])
            } else {
                Err(Cut::Broken(Outcome::Error))
            };
        };
        // Definitions of parameters, then of columns; each kind that is there is ended by an EOF.
        let mut follow = [parameters, columns].iter().map(|n| if *n > 0 { n + 1 } else { 0 }).sum::<u64>();
        let mut answer = vec![first];
        while follow > 0 {
            answer.push(self.reader.next(self.socket.reader(self.until))?.payload);
            follow -= 1;
        }
        if self.prepared.len() >= self.limits.max_statements_per_connection
            && let Some((_, old, _)) = self.prepared.pop_front()
        {
            self.close(old, permit).map_err(gone)?;
        }
        if let Some(at) = self.prepared.iter().position(|(t, ..)| t == text)
            && let Some((_, old, _)) = self.prepared.remove(at)
        {
            self.close(old, permit).map_err(gone)?;
        }
        self.prepared.push_back((text.clone(), id as u32, parameters as usize));
        Ok(answer)
    }

    fn close(&self, id: u32, permit: &WritePermit) -> io::Result<()> {
        with_command(&[&[command::STMT_CLOSE], &id.to_le_bytes()], |slices| {
            self.socket.write_part(permit, slices)
        })
    }

    fn execute_statement(
        &mut self,
        text: &Arc<[u8]>,
        body: &[u8],
        long: &BTreeMap<u16, Vec<u8>>,
        stop: &AttemptGuard,
    ) -> Result<ExchangeResult<Payloads>, NotSent> {
        let mut anew = false;
        loop {
            let known = self.prepared.iter().find(|(t, ..)| t == text).map(|(_, id, _)| *id);
            let id = match known {
                Some(id) => id,
                None => {
                    // Nothing new, not even this, to a server that drains.
                    let permit = stop.permit_write().map_err(|_| NotSent::Cancelled)?;
                    match self.prepare(text, &permit) {
                        // Up to here nothing has run: whatever broke, the execution may go elsewhere.
                        Err(_) => return Err(NotSent::ConnectionBroken),
                        Ok(answer) if errors::code(&answer[0]).is_some() => {
                            return Ok(self.reply(Ok(answer)));
                        }
                        // A server that died over the preparing has closed by now as a rule: nothing is written to it.
                        Ok(_) if !self.is_quiet() => return Err(NotSent::ConnectionBroken),
                        Ok(_) => continue,
                    }
                }
            };
            // Asked before the first of them, and not again: a server keeps them for the next execution, so a link that
            // stays warm must not have sent any without theirs.
            let permit = stop.permit_write().map_err(|_| NotSent::Cancelled)?;
            for (parameter, bytes) in long {
                let head = [&[command::STMT_SEND_LONG_DATA][..], &id.to_le_bytes(), &parameter.to_le_bytes()]
                    .concat();
                with_command(&[&head, bytes], |slices| self.socket.write_part(&permit, slices))
                    .map_err(|_| NotSent::ConnectionBroken)?;
            }
            let execution: &[&[u8]] = &[&[command::STMT_EXECUTE], &id.to_le_bytes(), body];
            with_command(execution, |slices| self.socket.write_last(permit, slices))
                .map_err(|_| NotSent::ConnectionBroken)?;
            let answer = self.answer();
            let unknown = answer.as_ref().is_ok_and(|a| {
                errors::code(&a[0]).is_some_and(|c| errors::meaning(c) == Meaning::PrepareAnew)
            });
            if unknown {
                // The server has forgotten the statement and says so instead of running it.
                self.prepared.retain(|(t, ..)| t != text);
                if !std::mem::replace(&mut anew, true) {
                    continue;
                }
                return Ok(ExchangeResult {
                    reusable: true,
                    ..ExchangeResult::from_outcome(Outcome::Rejected)
                });
            }
            return Ok(self.reply(answer));
        }
    }

    /// Reads an answer to its end.
    fn answer(&mut self) -> Result<Payloads, Cut> {
        let (mut state, mut answer, mut length, mut expected) = (State::Start, Vec::new(), 0, 1);
        loop {
            let packet = self.reader.next(self.socket.reader(self.until))?;
            // Out of sequence it belongs to something else, or to nothing.
            if packet.first != expected {
                return Err(Cut::Broken(Outcome::Error));
            }
            expected = packet.last.wrapping_add(1);
            state.take(&packet.payload);
            length += packet.payload.len() + 4;
            if length > self.limits.max_response_bytes {
                return Err(Cut::TooLarge);
            }
            answer.push(packet.payload);
            match state {
                State::Done | State::Failed => return Ok(answer),
                State::Malformed => return Err(Cut::Broken(Outcome::Error)),
                _ => {}
            }
        }
    }

    /// An answer as an outcome. A result that breaks off in an error is the statement's own as well.
    fn reply(&mut self, answer: Result<Payloads, Cut>) -> ExchangeResult<Payloads> {
        let served = |answer, reusable| ExchangeResult {
            response: Some(answer),
            reusable,
            ..ExchangeResult::from_outcome(Outcome::Ok)
        };
        match answer {
            Err(Cut::Broken(outcome)) => ExchangeResult::from_outcome(outcome),
            Err(Cut::TooLarge) => {
                let text = format!("the answer is longer than {} bytes", self.limits.max_response_bytes);
                served(vec![errors::payload(errors::TOO_LARGE, &text)], false)
            }
            Ok(answer) => match answer.last().and_then(|p| errors::code(p)).map(errors::meaning) {
                Some(Meaning::Outcome(outcome)) => {
                    ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(outcome) }
                }
                _ => {
                    // The commit is before the answer, by the server's own clock at the latest. Of a server that
                    // answered a read this says nothing: a replica stands where its heartbeat does.
                    let commit = Some(self.clocks.commit_upper_bound(self.addr, self.clock.now()));
                    ExchangeResult { commit, ..served(answer, true) }
                }
            },
        }
    }

    /// The answer to the probe: read-only or not, the heartbeat, and the server's clock where it is told.
    fn probed(&mut self, sent: Time) -> ExchangeResult<Payloads> {
        let answer = match self.answer() {
            Ok(a) if errors::code(&a[0]).is_none() && a.len() >= 2 => a,
            Ok(_) => {
                return ExchangeResult { reusable: true, ..ExchangeResult::from_outcome(Outcome::Error) };
            }
            Err(Cut::Broken(outcome)) => return ExchangeResult::from_outcome(outcome),
            Err(Cut::TooLarge) => return ExchangeResult::from_outcome(Outcome::Error),
        };
        let row = text_row(&answer[answer.len() - 2]);
        let cell = |i: usize| row.get(i).copied().flatten().and_then(|b| std::str::from_utf8(b).ok());
        let primary = cell(0).map(|c| matches!(c, "0" | "OFF" | "off"));
        let time = |i: usize| {
            let ms = cell(i).and_then(|c| c.parse::<f64>().ok()).filter(|ms| ms.is_finite());
            ms.map(|ms| Time((ms * 1000.0) as i64))
        };
        let position = time(1);
        if let (true, Some(said)) = (self.settings.health_check_returns_clock, time(2)) {
            self.clocks.add_sample(self.addr, ClockOffset::sample(sent, self.clock.now(), said));
        }
        ExchangeResult {
            load_report: MemberReport { primary, position },
            reusable: true,
            ..ExchangeResult::from_outcome(Outcome::Ok)
        }
    }
}
