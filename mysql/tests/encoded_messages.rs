//! Compares messages that the router sends to clients and servers with `fixtures/encoded_messages.txt`, which
//! an earlier version of the program wrote before its modules were split. Guards against accidental changes
//! of the encoding.
use mysql_wire::fields::push_length_encoded_integer;
use mysql_wire::handshake::{HandshakeResponse, encode_greeting};
use mysql_wire::packet::push_packets;
use mysql_wire::protocol::UTF8MB4_GENERAL_CI;
use mysql_wire::results::{AUTOCOMMIT, NamedValue, OK, encode_eof, encode_single_row};
use mysql_wire::{auth, capability, errors};
use routing::{FinalResponse, Outcome};
use std::time::Duration;

/// Text with one line for each message: its name and its bytes.
#[derive(Default)]
struct Messages {
    text: String,
}

impl Messages {
    fn add(&mut self, name: &str, bytes: &[u8]) {
        self.text.push_str(&format!("{name}: {}\n", bytes.escape_ascii()));
    }
}

fn add_login(messages: &mut Messages) {
    let nonce: [u8; auth::NONCE_BYTES] = std::array::from_fn(|index| index as u8 + 1);
    messages.add("greeting", &encode_greeting(0x0102_0304, &nonce));
    for plugin in [auth::NATIVE_PASSWORD, auth::CACHING_SHA2_PASSWORD] {
        let auth_response = auth::scramble(plugin, "secret", &nonce).unwrap();
        messages.add(&format!("proof by {plugin}"), &auth_response);
        let response = HandshakeResponse {
            capabilities: capability::USED_WITH_SERVERS,
            collation: UTF8MB4_GENERAL_CI,
            user: "till".into(),
            auth_response,
            database: Some("stock".into()),
            plugin: plugin.into(),
        };
        messages.add(&format!("handshake response by {plugin}"), &response.encode());
    }
}

fn add_final_responses(messages: &mut Messages) {
    let responses: [(&str, FinalResponse<()>); 8] = [
        ("rejected", FinalResponse::Rejected(None)),
        ("rejected with a delay", FinalResponse::Rejected(Some(Duration::from_millis(31)))),
        ("cancelled", FinalResponse::Cancelled),
        ("failed", FinalResponse::Failed(None)),
        ("timed out", FinalResponse::Failed(Some(Outcome::TimedOut))),
        ("reset", FinalResponse::Failed(Some(Outcome::Reset))),
        ("server error", FinalResponse::Failed(Some(Outcome::Error))),
        ("last attempt rejected", FinalResponse::Failed(Some(Outcome::Rejected))),
    ];
    for (name, response) in responses {
        messages.add(name, &errors::encode_final_response(response).unwrap());
    }
}

fn add_results(messages: &mut Messages) {
    let column = |name: &str, value: &str| NamedValue { name: name.into(), value: value.into() };
    messages.add("single row", &encode_single_row(&[column("@@version", "8"), column("@@autocommit", "1")]));
    messages.add("ok", OK);
    messages.add("end of rows", &encode_eof(AUTOCOMMIT));
}

fn add_framing(messages: &mut Messages) {
    let mut packets = Vec::new();
    let next = push_packets(&mut packets, 255, b"payload");
    push_packets(&mut packets, next, b"");
    messages.add("packets", &packets);
    for integer in [0, 250, 251, 0xffff, 0x1_0000, 0xff_ffff, 0x100_0000, u64::MAX] {
        let mut bytes = Vec::new();
        push_length_encoded_integer(&mut bytes, integer);
        messages.add(&format!("length-encoded {integer}"), &bytes);
    }
}

#[test]
fn encoded_messages_match_fixture_byte_for_byte() {
    let mut messages = Messages::default();
    add_login(&mut messages);
    add_final_responses(&mut messages);
    add_results(&mut messages);
    add_framing(&mut messages);
    assert_eq!(messages.text, include_str!("fixtures/encoded_messages.txt"));
}
