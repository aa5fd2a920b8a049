//! The two messages that open a connection: the server's greeting and the client's response to it. The router writes the
//! one to its clients and the other to servers.
use crate::auth::{CACHING_SHA2_PASSWORD, NATIVE_PASSWORD, NONCE_BYTES};
use crate::capability;
use crate::fields::{FieldReader, push_length_encoded_bytes};
use crate::protocol::{PROTOCOL_VERSION, SERVER_VERSION, UTF8MB4_GENERAL_CI};
use crate::results::AUTOCOMMIT;

/// Bytes of the nonce in the first part of a greeting.
const NONCE_HEAD_BYTES: usize = 8;
/// The longest payload that the router says it sends, in bytes.
const MAX_PAYLOAD_BYTES: u32 = 1 << 30;
/// Unused bytes of a handshake response, behind the character set.
const RESPONSE_FILLER_BYTES: usize = 23;

/// The router's greeting.
pub fn encode_greeting(connection: u32, nonce: &[u8; NONCE_BYTES]) -> Vec<u8> {
    let capabilities = capability::OFFERED.to_le_bytes();
    let mut greeting = vec![PROTOCOL_VERSION];
    greeting.extend_from_slice(SERVER_VERSION.as_bytes());
    greeting.push(0);
    greeting.extend_from_slice(&connection.to_le_bytes());
    greeting.extend_from_slice(&nonce[..NONCE_HEAD_BYTES]);
    greeting.push(0);
    greeting.extend_from_slice(&capabilities[..2]);
    greeting.push(UTF8MB4_GENERAL_CI);
    greeting.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
    greeting.extend_from_slice(&capabilities[2..]);
    // The nonce's length with its terminating zero.
    greeting.push(NONCE_BYTES as u8 + 1);
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(&nonce[NONCE_HEAD_BYTES..]);
    greeting.push(0);
    greeting.extend_from_slice(CACHING_SHA2_PASSWORD.as_bytes());
    greeting.push(0);
    greeting
}

/// A server's greeting.
#[derive(Debug, PartialEq, Eq)]
pub struct Greeting {
    /// The nonce for the proof of the password.
    pub nonce: Vec<u8>,
    /// The authentication plugin.
    pub plugin: String,
    /// The server's capability flags.
    pub capabilities: u32,
}

impl Greeting {
    /// Parses a greeting of version 10; `None` for any other payload.
    pub fn parse(payload: &[u8]) -> Option<Greeting> {
        let mut fields = FieldReader::new(payload);
        if fields.integer(1)? != u64::from(PROTOCOL_VERSION) {
            return None;
        }
        let _server_version = fields.null_terminated()?;
        let _connection = fields.bytes(4)?;
        let mut nonce = fields.bytes(NONCE_HEAD_BYTES)?.to_vec();
        fields.bytes(1)?;
        let capabilities_low = fields.integer(2)? as u32;
        let _charset_and_status = fields.bytes(3)?;
        let capabilities = capabilities_low | (fields.integer(2)? as u32) << 16;
        let nonce_length = fields.integer(1)? as usize;
        fields.bytes(10)?;
        let nonce_tail = fields.bytes(nonce_length.saturating_sub(NONCE_HEAD_BYTES).max(13))?;
        nonce.extend_from_slice(&nonce_tail[..NONCE_BYTES - NONCE_HEAD_BYTES]);
        let plugin = fields.null_terminated().unwrap_or(fields.rest());
        let plugin =
            if plugin.is_empty() { NATIVE_PASSWORD.into() } else { String::from_utf8_lossy(plugin).into() };
        Some(Greeting { nonce, plugin, capabilities })
    }
}

/// A client's response to a greeting.
#[derive(Debug, PartialEq, Eq)]
pub struct HandshakeResponse {
    /// The capability flags that the client uses.
    pub capabilities: u32,
    /// Its user.
    pub user: String,
    /// Its proof of the password.
    pub proof: Vec<u8>,
    /// The database that it wants.
    pub database: Option<String>,
    /// The authentication plugin.
    pub plugin: String,
}

impl HandshakeResponse {
    /// Parses a client's response; `None` where it is none of protocol 4.1.
    pub fn parse(payload: &[u8]) -> Option<HandshakeResponse> {
        let mut fields = FieldReader::new(payload);
        let capabilities = fields.integer(4)? as u32;
        let uses = |capability: u32| capabilities & capability != 0;
        if !uses(capability::PROTOCOL_41) {
            return None;
        }
        let _max_payload_and_charset = fields.bytes(4 + 1)?;
        fields.bytes(RESPONSE_FILLER_BYTES)?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let user = text(fields.null_terminated()?);
        let proof = if uses(capability::PLUGIN_AUTH_LENENC) {
            fields.length_encoded_bytes()?
        } else {
            let length = fields.integer(1)?;
            fields.bytes(length as usize)?
        };
        let proof = proof.to_vec();
        let database = if uses(capability::CONNECT_WITH_DB) {
            Some(text(fields.null_terminated()?)).filter(|database| !database.is_empty())
        } else {
            None
        };
        let plugin = if uses(capability::PLUGIN_AUTH) {
            text(fields.null_terminated().unwrap_or(fields.rest()))
        } else {
            NATIVE_PASSWORD.into()
        };
        Some(HandshakeResponse { capabilities, user, proof, database, plugin })
    }

    /// The router's response to a server.
    pub fn encode(&self) -> Vec<u8> {
        let mut response = self.capabilities.to_le_bytes().to_vec();
        response.extend_from_slice(&MAX_PAYLOAD_BYTES.to_le_bytes());
        response.push(UTF8MB4_GENERAL_CI);
        response.extend_from_slice(&[0; RESPONSE_FILLER_BYTES]);
        response.extend_from_slice(self.user.as_bytes());
        response.push(0);
        // Proofs are shorter than 251 bytes: a length-encoded length and a plain one are the same.
        push_length_encoded_bytes(&mut response, &self.proof);
        if let Some(database) = &self.database {
            response.extend_from_slice(database.as_bytes());
            response.push(0);
        }
        response.extend_from_slice(self.plugin.as_bytes());
        response.push(0);
        response
    }
}
