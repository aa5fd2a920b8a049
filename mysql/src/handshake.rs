//! The two messages that open a connection: the server's greeting and the client's handshake response. The
//! router sends greetings to clients and handshake responses to servers.
use crate::auth::{CACHING_SHA2_PASSWORD, NATIVE_PASSWORD, NONCE_BYTES};
use crate::capability;
use crate::fields::{FieldReader, push_length_encoded_bytes};
use crate::protocol::{PROTOCOL_VERSION, SERVER_VERSION, UTF8MB4_GENERAL_CI};
use crate::results::AUTOCOMMIT;

/// Length of the nonce's first part, which precedes the capability flags in a greeting.
const NONCE_PART_1_BYTES: usize = 8;
/// Maximum payload length that the router announces to servers, in bytes.
const MAX_PAYLOAD_BYTES: u32 = 1 << 30;
/// Length of the unused bytes after the character set in a handshake response.
const RESPONSE_FILLER_BYTES: usize = 23;

/// Encodes the router's greeting.
pub fn encode_greeting(connection: u32, nonce: &[u8; NONCE_BYTES]) -> Vec<u8> {
    let capabilities = capability::OFFERED_TO_CLIENTS.to_le_bytes();
    let mut greeting = vec![PROTOCOL_VERSION];
    greeting.extend_from_slice(SERVER_VERSION.as_bytes());
    greeting.push(0);
    greeting.extend_from_slice(&connection.to_le_bytes());
    greeting.extend_from_slice(&nonce[..NONCE_PART_1_BYTES]);
    greeting.push(0);
    greeting.extend_from_slice(&capabilities[..2]);
    greeting.push(UTF8MB4_GENERAL_CI);
    greeting.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    greeting.extend_from_slice(&capabilities[2..]);
    // Length of the nonce, including the terminating zero byte.
    greeting.push(NONCE_BYTES as u8 + 1);
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(&nonce[NONCE_PART_1_BYTES..]);
    greeting.push(0);
    greeting.extend_from_slice(CACHING_SHA2_PASSWORD.as_bytes());
    greeting.push(0);
    greeting
}

/// A server's greeting, the first packet of a connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Nonce for the authentication response.
    pub nonce: Vec<u8>,
    /// Name of the server's default authentication plugin.
    pub plugin: String,
    /// Capability flags of the server.
    pub capabilities: u32,
}

impl Greeting {
    /// Parses a greeting of protocol version 10. Returns `None` for any other payload.
    pub fn parse(payload: &[u8]) -> Option<Greeting> {
        let mut fields = FieldReader::new(payload);
        if fields.integer(1)? != u64::from(PROTOCOL_VERSION) {
            return None;
        }
        let _server_version = fields.null_terminated()?;
        let _connection = fields.bytes(4)?;
        let mut nonce = fields.bytes(NONCE_PART_1_BYTES)?.to_vec();
        fields.bytes(1)?;
        let capabilities_low = fields.integer(2)? as u32;
        let _charset_and_status = fields.bytes(3)?;
        let capabilities = capabilities_low | (fields.integer(2)? as u32) << 16;
        let nonce_length = fields.integer(1)? as usize;
        fields.bytes(10)?;
        let nonce_part_2 = fields.bytes(nonce_length.saturating_sub(NONCE_PART_1_BYTES).max(13))?;
        nonce.extend_from_slice(&nonce_part_2[..NONCE_BYTES - NONCE_PART_1_BYTES]);
        let plugin = fields.null_terminated().unwrap_or(fields.rest());
        let plugin =
            if plugin.is_empty() { NATIVE_PASSWORD.into() } else { String::from_utf8_lossy(plugin).into() };
        Some(Greeting { nonce, plugin, capabilities })
    }
}

/// A client's handshake response.
#[derive(Debug, PartialEq, Eq)]
pub struct HandshakeResponse {
    /// Capability flags of the client.
    pub capabilities: u32,
    /// Collation ID, which determines the character set of the client's texts.
    pub collation: u8,
    /// Name of the user that logs in.
    pub user: String,
    /// Authentication response, which the plugin computed from the password and the nonce.
    pub auth_response: Vec<u8>,
    /// Default database of the session; `None` if the client names none.
    pub database: Option<String>,
    /// Name of the authentication plugin.
    pub plugin: String,
}

impl HandshakeResponse {
    /// Parses a handshake response. Returns `None` if it is malformed or not of protocol 4.1.
    pub fn parse(payload: &[u8]) -> Option<HandshakeResponse> {
        let mut fields = FieldReader::new(payload);
        let capabilities = fields.integer(4)? as u32;
        let has = |capability: u32| capabilities & capability != 0;
        if !has(capability::PROTOCOL_41) {
            return None;
        }
        let _max_payload = fields.bytes(4)?;
        let collation = fields.integer(1)? as u8;
        fields.bytes(RESPONSE_FILLER_BYTES)?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let user = text(fields.null_terminated()?);
        let auth_response = if has(capability::PLUGIN_AUTH_LENENC) {
            fields.length_encoded_bytes()?
        } else {
            let length = fields.integer(1)?;
            fields.bytes(length as usize)?
        };
        let auth_response = auth_response.to_vec();
        let database = if has(capability::CONNECT_WITH_DB) {
            Some(text(fields.null_terminated()?)).filter(|database| !database.is_empty())
        } else {
            None
        };
        let plugin = if has(capability::PLUGIN_AUTH) {
            text(fields.null_terminated().unwrap_or(fields.rest()))
        } else {
            NATIVE_PASSWORD.into()
        };
        Some(HandshakeResponse { capabilities, collation, user, auth_response, database, plugin })
    }

    /// Encodes the handshake response that the router sends to a server.
    pub fn encode(&self) -> Vec<u8> {
        let mut response = self.capabilities.to_le_bytes().to_vec();
        response.extend_from_slice(&MAX_PAYLOAD_BYTES.to_le_bytes());
        response.push(self.collation);
        response.extend_from_slice(&[0; RESPONSE_FILLER_BYTES]);
        response.extend_from_slice(self.user.as_bytes());
        response.push(0);
        // An authentication response is shorter than 251 bytes, so a length-encoded length and a length of
        // one byte have the same encoding.
        push_length_encoded_bytes(&mut response, &self.auth_response);
        if let Some(database) = &self.database {
            response.extend_from_slice(database.as_bytes());
            response.push(0);
        }
        response.extend_from_slice(self.plugin.as_bytes());
        response.push(0);
        response
    }
}
