//! Server side of a client's login.
use super::client_link::{ClientLink, ConnectionEnded};
use crate::auth::{
    CACHING_SHA2_PASSWORD, NATIVE_PASSWORD, NONCE_BYTES, constant_time_eq, is_supported, random_nonce,
    scramble,
};
use crate::capability;
use crate::errors;
use crate::handshake::{HandshakeResponse, encode_greeting};
use crate::packet::{Packet, PacketReader};
use crate::protocol::is_utf8_collation;
use crate::results::OK;

/// Sequence number before the first packet of a connection.
const SEQUENCE_BEFORE_FIRST: u8 = 255;
/// Payload by which `caching_sha2_password` reports that the authentication response was accepted.
const FAST_AUTH_SUCCESS: &[u8] = &[1, 3];
/// First byte of a request to switch to another authentication plugin.
const AUTH_SWITCH: u8 = 0xfe;

/// User and capabilities of a client that has logged in.
pub(super) struct AuthenticatedClient {
    pub(super) user: String,
    /// Whether the client supports several result sets in one response.
    pub(super) accepts_multi_results: bool,
    /// Whether the client's texts are UTF-8, as on the router's connections to servers.
    pub(super) sends_utf8: bool,
}

/// Sends the greeting and checks the client's user, password and database.
pub(super) fn log_in(
    client: &ClientLink<'_>,
    reader: &mut PacketReader,
) -> Result<AuthenticatedClient, ConnectionEnded> {
    let nonce = random_nonce().map_err(|_| ConnectionEnded)?;
    client.write_payloads(SEQUENCE_BEFORE_FIRST, &[encode_greeting(client.connection.id as u32, &nonce)])?;
    let packet = read_packet(client, reader)?;
    let Some(mut response) = HandshakeResponse::parse(&packet.payload) else {
        let text = "the answer to the greeting can't be read";
        return client.close_with_error(packet.last_sequence, errors::BAD_HANDSHAKE, text);
    };
    let mut sequence = packet.last_sequence;
    if !is_supported(&response.plugin) {
        let packet = switch_to_native_password(client, reader, &nonce, sequence)?;
        response.plugin = NATIVE_PASSWORD.into();
        response.auth_response = packet.payload;
        sequence = packet.last_sequence;
    }
    check_password(client, &response, &nonce, sequence)?;
    check_database(client, &response, sequence)?;
    if response.plugin == CACHING_SHA2_PASSWORD && !response.auth_response.is_empty() {
        client.write_payloads(sequence, &[FAST_AUTH_SUCCESS])?;
        sequence = sequence.wrapping_add(1);
    }
    client.write_payloads(sequence, &[OK])?;
    let accepts_multi_results = response.capabilities & capability::MULTI_RESULTS != 0;
    let sends_utf8 = is_utf8_collation(response.collation);
    Ok(AuthenticatedClient { user: response.user, accepts_multi_results, sends_utf8 })
}

fn read_packet(client: &ClientLink<'_>, reader: &mut PacketReader) -> Result<Packet, ConnectionEnded> {
    match reader.read_packet(client.connection.startup_reader()) {
        Ok(packet) => {
            client.record_packet(&packet);
            Ok(packet)
        }
        Err(error) => client.close_after_read_error(&error),
    }
}

/// Asks the client to switch to `mysql_native_password`. Returns the packet with the new authentication
/// response.
fn switch_to_native_password(
    client: &ClientLink<'_>,
    reader: &mut PacketReader,
    nonce: &[u8; NONCE_BYTES],
    sequence: u8,
) -> Result<Packet, ConnectionEnded> {
    let request = [&[AUTH_SWITCH][..], NATIVE_PASSWORD.as_bytes(), b"\0", nonce, b"\0"].concat();
    client.write_payloads(sequence, &[request])?;
    read_packet(client, reader)
}

fn check_password(
    client: &ClientLink<'_>,
    response: &HandshakeResponse,
    nonce: &[u8; NONCE_BYTES],
    sequence: u8,
) -> Result<(), ConnectionEnded> {
    let settings = client.front.settings();
    let user = settings.users.iter().find(|user| user.user == response.user);
    let expected = user.and_then(|user| scramble(&response.plugin, &user.password, nonce));
    if expected.is_some_and(|expected| constant_time_eq(&expected, &response.auth_response)) {
        return Ok(());
    }
    tracing::warn!(client = %client.addr, user = %response.user, "client login rejected");
    let text = format!("access denied for user '{}'", response.user);
    client.close_with_error(sequence, errors::ACCESS_DENIED, &text)
}

fn check_database(
    client: &ClientLink<'_>,
    response: &HandshakeResponse,
    sequence: u8,
) -> Result<(), ConnectionEnded> {
    let settings = client.front.settings();
    match &response.database {
        Some(database) if *database != settings.database => {
            let text = "there is no such database here";
            client.close_with_error(sequence, errors::UNKNOWN_DATABASE, text)
        }
        _ => Ok(()),
    }
}
