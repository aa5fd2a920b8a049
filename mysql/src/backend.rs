//! Connections to servers. A connection is shared by all clients and runs one command at a time. Between the
//! commands of two requests its session is reset (see `session_reset`), so that no request meets what an
//! earlier one left in the session. A statement is prepared on the connection that executes it.
mod connection;
mod probe;
mod response_budget;
mod server_response;
mod session_reset;
mod statement_cache;

pub use connection::MysqlConnection;

use crate::errors::{self, ServerErrorMeaning};
use crate::login::{Credentials, LoginError, login};
use crate::packet::PacketReader;
use crate::request::{AccountedRequest, Request, Response};
use connection::ConnectionContext;
use routing::{
    AttemptGuard, BackendProtocol, Clock, Connection, ConnectionPermit, Exchange, ExchangeResult, Handshake,
    NotSent, Outcome, ServerSocket,
};
use sessions::clocks::ServerClocks;
use settings::Limits;
use settings::operator::MysqlConfig as Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Server-facing side of the `MySQL` wire protocol.
#[derive(Clone)]
pub struct Mysql {
    credentials: Credentials,
    settings: Arc<Settings>,
    limits: Arc<Limits>,
    clock: Clock,
    /// Offsets between the servers' clocks and this router's clock, measured with probe responses.
    pub clocks: Arc<ServerClocks>,
}

impl Mysql {
    /// Creates the protocol with the server credentials from the settings.
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

impl BackendProtocol for Mysql {
    type Payload = AccountedRequest;
    type Response = Response;
    type Connection = MysqlConnection;

    fn connect(&self, addr: SocketAddr, permit: ConnectionPermit) -> Result<MysqlConnection, Outcome> {
        let deadline = Instant::now() + self.limits.backend_connect_timeout;
        let handshake = Handshake::connect(permit, addr, &self.limits)?;
        let mut reader = PacketReader::new(self.limits.max_response_bytes);
        open_session(&handshake, &mut reader, &self.credentials, deadline)
            .map_err(|error| login_outcome(addr, &error))?;
        let context = ConnectionContext {
            settings: self.settings.clone(),
            limits: self.limits.clone(),
            clock: self.clock,
            clocks: self.clocks.clone(),
            addr,
        };
        let socket = handshake.finish().map_err(|_| Outcome::ConnectFailed)?;
        Ok(MysqlConnection::new(socket, reader, deadline, context))
    }
}

/// Logs in, and gives the new session the settings that every client expects.
fn open_session(
    handshake: &Handshake,
    reader: &mut PacketReader,
    credentials: &Credentials,
    deadline: Instant,
) -> Result<(), LoginError> {
    let status = login(handshake, reader, credentials, deadline)?;
    // The settings of a server may start each session with an open transaction.
    if status.is_autocommit() { Ok(()) } else { session_reset::apply_defaults(handshake, reader, deadline) }
}

fn login_outcome(addr: SocketAddr, error: &LoginError) -> Outcome {
    if let LoginError::Server(number) = error
        && errors::server_error_meaning(*number) == ServerErrorMeaning::Outcome(Outcome::Rejected)
    {
        return Outcome::Rejected;
    }
    tracing::warn!(server = %addr, %error, "login to server failed");
    Outcome::ConnectFailed
}

impl Connection<Mysql> for MysqlConnection {
    fn socket(&self) -> ServerSocket {
        self.server_socket()
    }

    fn is_usable(&mut self, idle: Duration, _permit: ConnectionPermit) -> bool {
        self.is_usable_after(idle)
    }

    fn release(&mut self, permit: ConnectionPermit) -> bool {
        self.reset_session(permit)
    }

    fn execute(
        &mut self,
        exchange: Exchange<'_, Mysql>,
        guard: &AttemptGuard,
    ) -> Result<ExchangeResult<Response>, NotSent> {
        let result = match exchange {
            Exchange::Probe => {
                self.begin_probe();
                self.probe(guard)
            }
            Exchange::Attempt(AccountedRequest { request, memory }, deadline) => {
                self.begin_attempt(deadline, memory);
                match request {
                    Request::Query(text) => self.query(text, guard),
                    Request::Prepare(text) => self.describe_statement(text, guard),
                    Request::Execute { text, body, long_parameters } => {
                        self.execute_statement(text, body, long_parameters, guard)
                    }
                }
            }
        };
        let memory = self.end_response();
        Ok(result?.map_response(|payloads| Response { payloads, memory }))
    }
}
