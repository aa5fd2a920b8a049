//! The client's side of the login: a router's at a server, or a capture's replay at a router.
use crate::auth::{CACHING_SHA2_PASSWORD, NATIVE_PASSWORD, scramble};
use crate::capability;
use crate::errors::error_number;
use crate::fields::FieldReader;
use crate::handshake::{Greeting, HandshakeResponse};
use crate::packet::{Packet, PacketReader, ReadError, push_packets, write_packets};
use routing::Handshake;
use routing::socket::DeadlineReader;
use std::io::{self, IoSlice};
use std::net::TcpStream;
use std::time::Instant;

/// The first byte of an OK payload.
const OK: u8 = 0;
/// The first byte of further data of an authentication plugin.
const MORE_AUTH_DATA: u8 = 1;
/// The first byte of a request to switch to another plugin.
const AUTH_SWITCH: u8 = 0xfe;
/// What `caching_sha2_password` adds where the proof was enough.
const FAST_AUTH_SUCCESS: u8 = 3;

/// Who logs in, and to which database.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// Its password.
    pub password: String,
    /// The database.
    pub database: String,
}

/// Why a login failed.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// The server's error, by its number.
    #[error("error {0}")]
    Server(u16),
    /// No packet could be read.
    #[error("the connection failed: {0}")]
    Read(#[from] ReadError),
    /// The connection could not be written to, or its deadline not be set.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The first packet is no greeting that is known.
    #[error("no greeting of version 10")]
    UnknownGreeting,
    /// The server is too old.
    #[error("it does not speak protocol 4.1")]
    UnsupportedProtocol,
    /// The server wants an authentication plugin that is not supported.
    #[error("it wants the unknown proof {0}")]
    UnknownPlugin(String),
    /// `caching_sha2_password` does not know the user yet: somebody has to log in over TLS once, or the user needs
    /// `mysql_native_password`.
    #[error("it wants the password itself, which is not sent over a plain connection")]
    FullAuthentication,
    /// The server's response is malformed.
    #[error("its answer to the login can't be read")]
    MalformedResponse,
}

/// A connection that logs in: a router's to a server, or a client's to a router.
pub trait LoginSocket {
    /// A reader up to a deadline.
    ///
    /// # Errors
    /// The connection can't be read.
    fn reader(&self, deadline: Instant) -> io::Result<DeadlineReader<'_>>;

    /// Writes packets.
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

/// Logs in.
///
/// # Errors
/// The server rejects the login, or does not answer it before the deadline or in a way that is supported.
pub fn login(
    socket: &impl LoginSocket,
    reader: &mut PacketReader,
    credentials: &Credentials,
    deadline: Instant,
) -> Result<(), LoginError> {
    let mut login = Login { socket, reader, credentials, deadline };
    login.respond_to_greeting()?;
    login.await_ok()
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
        let greeting = Greeting::parse(&packet.payload).ok_or(LoginError::UnknownGreeting)?;
        if greeting.capabilities & capability::PROTOCOL_41 == 0 {
            return Err(LoginError::UnsupportedProtocol);
        }
        // An unsupported plugin is answered with a supported one: the server then switches, or rejects the login.
        let plugin = if greeting.plugin == NATIVE_PASSWORD { NATIVE_PASSWORD } else { CACHING_SHA2_PASSWORD };
        let response = HandshakeResponse {
            capabilities: capability::USED_WITH_SERVERS,
            user: self.credentials.user.clone(),
            proof: self.proof(plugin, &greeting.nonce)?,
            database: Some(self.credentials.database.clone()),
            plugin: plugin.to_string(),
        };
        self.write_after(&packet, &response.encode())
    }

    /// Reads up to the server's OK, and answers what it asks for before.
    fn await_ok(&mut self) -> Result<(), LoginError> {
        loop {
            let packet = self.read_packet()?;
            match *packet.payload {
                [OK, ..] => return Ok(()),
                [AUTH_SWITCH, ref request @ ..] => {
                    let mut fields = FieldReader::new(request);
                    let plugin = fields.null_terminated().and_then(|name| std::str::from_utf8(name).ok());
                    let nonce = fields.rest().strip_suffix(b"\0").unwrap_or(fields.rest());
                    let proof = self.proof(plugin.unwrap_or(""), nonce)?;
                    self.write_after(&packet, &proof)?;
                }
                // OK follows.
                [MORE_AUTH_DATA, FAST_AUTH_SUCCESS, ..] => {}
                [MORE_AUTH_DATA, ..] => return Err(LoginError::FullAuthentication),
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

    fn write_after(&self, packet: &Packet, payload: &[u8]) -> Result<(), LoginError> {
        let mut packets = Vec::new();
        push_packets(&mut packets, packet.last.wrapping_add(1), payload);
        Ok(self.socket.write(&packets)?)
    }

    fn proof(&self, plugin: &str, nonce: &[u8]) -> Result<Vec<u8>, LoginError> {
        let proof = scramble(plugin, &self.credentials.password, nonce);
        proof.ok_or_else(|| LoginError::UnknownPlugin(plugin.to_string()))
    }
}
