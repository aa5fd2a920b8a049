//! Client side of the login. The router uses it to log in to servers, and the replay of a capture uses it to
//! log in to a router.
use crate::auth::{CACHING_SHA2_PASSWORD, NATIVE_PASSWORD, scramble};
use crate::capability;
use crate::errors::error_number;
use crate::fields::FieldReader;
use crate::handshake::{Greeting, HandshakeResponse};
use crate::packet::{Packet, PacketReader, ReadError, push_packets, write_packets};
use crate::protocol::UTF8MB4_GENERAL_CI;
use crate::results::SessionStatus;
use routing::Handshake;
use routing::socket::DeadlineReader;
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::time::Instant;

/// First byte of a packet with further data for the authentication plugin.
const MORE_AUTH_DATA: u8 = 1;
/// First byte of a request to switch to another authentication plugin.
const AUTH_SWITCH: u8 = 0xfe;
/// Status by which `caching_sha2_password` reports that the authentication response was accepted.
const FAST_AUTH_SUCCESS: u8 = 3;

/// User, password and default database of a login.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Name of the user that logs in.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Default database of the session.
    pub database: String,
}

/// Why a login failed.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// The server returned the error with this number.
    #[error("server returned error {0}")]
    Server(u16),
    /// A packet could not be read.
    #[error("connection failed: {0}")]
    Read(#[from] ReadError),
    /// Writing to the connection or setting its timeout failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The first packet is not a greeting of protocol version 10.
    #[error("server did not send a greeting of protocol version 10")]
    UnsupportedGreeting,
    /// The server does not support protocol 4.1.
    #[error("server does not support protocol 4.1")]
    UnsupportedProtocol,
    /// The server requests an authentication plugin that is not supported.
    #[error("server requires the unsupported authentication plugin {0}")]
    UnsupportedPlugin(String),
    /// `caching_sha2_password` requires full authentication, because the server has no cached hash for the
    /// user. Either a client has to log in once over TLS, or the user needs `mysql_native_password`.
    #[error("server requires the password itself, which is not sent over an unencrypted connection")]
    FullAuthenticationRequired,
    /// The server did not confirm the settings that each session needs.
    #[error("server did not confirm autocommit mode for the session")]
    SettingsNotConfirmed,
    /// The server's response to the login is malformed.
    #[error("server's response to the login is malformed")]
    MalformedResponse,
}

/// A connection on which a login runs.
pub trait LoginSocket {
    /// Returns a reader that fails with a timeout at the deadline.
    ///
    /// # Errors
    /// The connection cannot be read.
    fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>>;

    /// Writes encoded packets.
    ///
    /// # Errors
    /// The write failed or timed out.
    fn write(&self, packets: &[u8]) -> io::Result<()>;
}

impl LoginSocket for TcpStream {
    fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>> {
        Ok(DeadlineReader::new(self, deadline))
    }

    fn write(&self, packets: &[u8]) -> io::Result<()> {
        write_packets(self, packets)
    }
}

impl LoginSocket for Handshake {
    fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>> {
        Handshake::reader(self, deadline)
    }

    fn write(&self, packets: &[u8]) -> io::Result<()> {
        Handshake::write(self, &mut [IoSlice::new(packets)])
    }
}

/// Logs in to a server. Returns the state of the new session.
///
/// # Errors
/// The server rejected the login, did not respond before the deadline, or requires an unsupported protocol or
/// plugin.
pub fn login(
    socket: &impl LoginSocket,
    reader: &mut PacketReader,
    credentials: &Credentials,
    deadline: Instant,
) -> Result<SessionStatus, LoginError> {
    let mut login = Login { socket, reader, credentials, deadline };
    login.respond_to_greeting()?;
    login.complete_authentication()
}

struct Login<'a, S> {
    socket: &'a S,
    reader: &'a mut PacketReader,
    credentials: &'a Credentials,
    deadline: Instant,
}

impl<S: LoginSocket> Login<'_, S> {
    fn respond_to_greeting(&mut self) -> Result<(), LoginError> {
        let packet = self.read_packet()?;
        let greeting = Greeting::parse(&packet.payload).ok_or(LoginError::UnsupportedGreeting)?;
        if greeting.capabilities & capability::PROTOCOL_41 == 0 {
            return Err(LoginError::UnsupportedProtocol);
        }
        // If the server names an unsupported plugin, the router responds with a supported one. The server
        // then requests a switch of the plugin or rejects the login.
        let plugin = if greeting.plugin == NATIVE_PASSWORD { NATIVE_PASSWORD } else { CACHING_SHA2_PASSWORD };
        let response = HandshakeResponse {
            capabilities: capability::USED_WITH_SERVERS,
            collation: UTF8MB4_GENERAL_CI,
            user: self.credentials.user.clone(),
            auth_response: self.auth_response(plugin, &greeting.nonce)?,
            database: Some(self.credentials.database.clone()),
            plugin: plugin.to_string(),
        };
        self.respond_to(&packet, &response.encode())
    }

    /// Responds to the server's authentication requests until the server sends OK.
    fn complete_authentication(&mut self) -> Result<SessionStatus, LoginError> {
        loop {
            let packet = self.read_packet()?;
            if let Some(status) = SessionStatus::from_ok(&packet.payload) {
                return Ok(status);
            }
            match *packet.payload {
                [AUTH_SWITCH, ref request @ ..] => {
                    let mut fields = FieldReader::new(request);
                    let plugin = fields.null_terminated().and_then(|name| std::str::from_utf8(name).ok());
                    let nonce = fields.rest().strip_suffix(b"\0").unwrap_or(fields.rest());
                    let auth_response = self.auth_response(plugin.unwrap_or(""), nonce)?;
                    self.respond_to(&packet, &auth_response)?;
                }
                // The server accepted the authentication response and sends OK in the next packet.
                [MORE_AUTH_DATA, FAST_AUTH_SUCCESS, ..] => {}
                [MORE_AUTH_DATA, ..] => return Err(LoginError::FullAuthenticationRequired),
                _ => return Err(LoginError::MalformedResponse),
            }
        }
    }

    fn read_packet(&mut self) -> Result<Packet, LoginError> {
        let packet = self.reader.read_packet(self.socket.reader(self.deadline)?)?;
        match error_number(&packet.payload) {
            Some(number) => Err(LoginError::Server(number)),
            None => Ok(packet),
        }
    }

    fn respond_to(&self, packet: &Packet, payload: &[u8]) -> Result<(), LoginError> {
        let mut packets = Vec::new();
        push_packets(&mut packets, packet.last_sequence.wrapping_add(1), payload);
        Ok(self.socket.write(&packets)?)
    }

    fn auth_response(&self, plugin: &str, nonce: &[u8]) -> Result<Vec<u8>, LoginError> {
        let auth_response = scramble(plugin, &self.credentials.password, nonce);
        auth_response.ok_or_else(|| LoginError::UnsupportedPlugin(plugin.to_string()))
    }
}
