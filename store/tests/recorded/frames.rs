//! The frames that are exchanged between nodes and clients, and between nodes.
use crate::fixtures::{FIXTURES, recorded_bytes};
use crate::samples::{TEST_TIMEOUT, raft_message, requests, responses};
use protobuf::Message as _;
use raft::eraftpb::Message;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use store::wire::{self, Protocol, Request, Response, STORE_PROTOCOL, WireError};
use testkit::hex;

/// Returns both ends of a loopback connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let remote = listener.accept().unwrap().0;
    remote.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (local, remote)
}

/// Returns the bytes that `send` writes to a connection.
fn sent(send: impl FnOnce(&TcpStream)) -> Vec<u8> {
    let (local, mut remote) = connection();
    send(&local);
    drop(local);
    let mut bytes = Vec::new();
    remote.read_to_end(&mut bytes).unwrap();
    bytes
}

/// A connection on which these bytes can be received.
fn receiving(bytes: &[u8]) -> TcpStream {
    let (mut local, remote) = connection();
    local.write_all(bytes).unwrap();
    remote
}

#[test]
fn client_frames_keep_their_bytes() {
    let mut output =
        format!("hello {}\n", hex::encode(&sent(|s| wire::send_hello(s, STORE_PROTOCOL).unwrap())));
    for (name, request) in requests() {
        let frame = sent(|s| wire::send(s, &request).unwrap());
        writeln!(output, "request:{name} {}", hex::encode(&frame)).unwrap();
    }
    for (name, response) in responses() {
        let frame = sent(|s| wire::send(s, &response).unwrap());
        writeln!(output, "answer:{name} {}", hex::encode(&frame)).unwrap();
    }
    FIXTURES.assert_same("client_frames.txt", &output);
    let recorded = FIXTURES.text("client_frames.txt");
    wire::receive_hello(&receiving(&recorded_bytes(&recorded, "hello")), STORE_PROTOCOL, TEST_TIMEOUT)
        .unwrap();
    for (name, request) in requests() {
        let remote = receiving(&recorded_bytes(&recorded, &format!("request:{name}")));
        assert_eq!(wire::receive::<Request>(&remote, TEST_TIMEOUT, TEST_TIMEOUT).unwrap(), request, "{name}");
    }
    for (name, response) in responses() {
        let remote = receiving(&recorded_bytes(&recorded, &format!("answer:{name}")));
        assert_eq!(
            wire::receive::<Response>(&remote, TEST_TIMEOUT, TEST_TIMEOUT).unwrap(),
            response,
            "{name}"
        );
    }
}

#[test]
fn hello_names_the_protocol_and_its_version() {
    assert_eq!((STORE_PROTOCOL.magic, STORE_PROTOCOL.version), (*b"DVST", 1));
    let protocol = Protocol { magic: *b"DVFL", version: 0x0102 };
    let other = sent(|s| wire::send_hello(s, protocol).unwrap());
    assert_eq!(other, b"DVFL\x02\x01");
    let hello = |bytes: &[u8], expected| wire::receive_hello(&receiving(bytes), expected, TEST_TIMEOUT);
    assert!(matches!(hello(&other, STORE_PROTOCOL), Err(WireError::WrongProtocol)));
    assert!(matches!(hello(b"DVST\x02\x00", STORE_PROTOCOL), Err(WireError::WrongVersion(2))));
    assert!(hello(&other, protocol).is_ok());
}

#[test]
fn peer_frame_keeps_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = store::peers::start_sender(listener.local_addr().unwrap()).unwrap();
    peer.send(raft_message()).unwrap();
    drop(peer);
    let (mut socket, _) = listener.accept().unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut frame = Vec::new();
    socket.read_to_end(&mut frame).unwrap();
    FIXTURES.assert_same("peer_frame.hex", &(hex::encode(&frame) + "\n"));
    assert_eq!(Message::parse_from_bytes(&frame[4..]).unwrap(), raft_message());

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (received, messages) = crossbeam_channel::unbounded();
    store::peers::listen(listener, move |message| received.send(message).is_ok()).unwrap();
    let recorded = hex::decode(&FIXTURES.text("peer_frame.hex"));
    TcpStream::connect(addr).unwrap().write_all(&[&recorded[..], &recorded].concat()).unwrap();
    for _ in 0..2 {
        assert_eq!(messages.recv_timeout(TEST_TIMEOUT).unwrap(), raft_message());
    }
}
