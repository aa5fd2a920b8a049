//! What is exchanged with other processes: frames between nodes and clients, and between nodes.
use crate::fixtures::{assert_recorded, fixture, hex, recorded_bytes, unhex};
use crate::samples::{LONG, answers, raft_message, requests};
use protobuf::Message as _;
use raft::eraftpb::Message;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use store::wire::{self, Answer, MAGIC, Request, VERSION, WireError};

/// Two ends of one connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let far = listener.accept().unwrap().0;
    far.set_read_timeout(Some(LONG)).unwrap();
    (near, far)
}

/// The bytes that are written to a connection that is closed afterwards.
fn sent(send: impl FnOnce(&TcpStream)) -> Vec<u8> {
    let (near, mut far) = connection();
    send(&near);
    drop(near);
    let mut bytes = Vec::new();
    far.read_to_end(&mut bytes).unwrap();
    bytes
}

/// A connection whose other side has sent these bytes.
fn receiving(bytes: &[u8]) -> TcpStream {
    let (mut near, far) = connection();
    near.write_all(bytes).unwrap();
    far
}

#[test]
fn client_frames_keep_their_bytes() {
    let mut now = format!("hello {}\n", hex(&sent(|s| wire::hello(s).unwrap())));
    for (name, request) in requests() {
        let frame = sent(|s| wire::send(s, &request).unwrap());
        writeln!(now, "request:{name} {}", hex(&frame)).unwrap();
    }
    for (name, answer) in answers() {
        let frame = sent(|s| wire::send(s, &answer).unwrap());
        writeln!(now, "answer:{name} {}", hex(&frame)).unwrap();
    }
    assert_recorded("client_frames.txt", &now);
    let recorded = fixture("client_frames.txt");
    wire::greeted(&receiving(&recorded_bytes(&recorded, "hello")), LONG).unwrap();
    for (name, request) in requests() {
        let far = receiving(&recorded_bytes(&recorded, &format!("request:{name}")));
        assert_eq!(wire::receive::<Request>(&far, LONG, LONG).unwrap(), request, "{name}");
    }
    for (name, answer) in answers() {
        let far = receiving(&recorded_bytes(&recorded, &format!("answer:{name}")));
        assert_eq!(wire::receive::<Answer>(&far, LONG, LONG).unwrap(), answer, "{name}");
    }
}

#[test]
fn hello_names_the_protocol_and_its_version() {
    assert_eq!((MAGIC, VERSION), (*b"DVST", 1));
    let other = sent(|s| wire::hello_of(s, *b"DVFL", 0x0102).unwrap());
    assert_eq!(other, b"DVFL\x02\x01");
    assert!(matches!(wire::greeted(&receiving(&other), LONG), Err(WireError::Magic)));
    assert!(matches!(wire::greeted(&receiving(b"DVST\x02\x00"), LONG), Err(WireError::Version(2))));
    assert!(wire::greeted_of(&receiving(&other), *b"DVFL", 0x0102, LONG).is_ok());
}

#[test]
fn peer_frame_keeps_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = store::peers::way_to(listener.local_addr().unwrap()).unwrap();
    peer.send(raft_message()).unwrap();
    drop(peer);
    let (mut socket, _) = listener.accept().unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    let mut frame = Vec::new();
    socket.read_to_end(&mut frame).unwrap();
    assert_recorded("peer_frame.hex", &(hex(&frame) + "\n"));
    assert_eq!(Message::parse_from_bytes(&frame[4..]).unwrap(), raft_message());

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (received, messages) = crossbeam_channel::unbounded();
    store::peers::listen(listener, move |message| received.send(message).is_ok()).unwrap();
    let recorded = unhex(&fixture("peer_frame.hex"));
    TcpStream::connect(addr).unwrap().write_all(&[&recorded[..], &recorded].concat()).unwrap();
    for _ in 0..2 {
        assert_eq!(messages.recv_timeout(LONG).unwrap(), raft_message());
    }
}
