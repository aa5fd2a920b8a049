//! Client connections that are malformed or exceed the connection limit must not harm a node.
use crate::support::{TEST_TIMEOUT, unconditional};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use store::client::{Client, ClientError, Settings};
use store::server::Limits;
use store::wire::{self, Consistency, Response, STORE_PROTOCOL};

fn start_single_node(limits: Limits) -> SocketAddr {
    let peers = BTreeMap::from([(1, ([127, 0, 0, 1], 0).into())]);
    let settings = store::Settings { node: 1, peers, ..store::Settings::default() };
    let store = store::start(settings, |_| ()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    store::server::listen(listener, store, limits).unwrap();
    addr
}

/// Sends `bytes` and asserts that the node closes the connection, whatever it sends before that.
fn assert_closed_after(addr: SocketAddr, bytes: &[u8]) {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.write_all(bytes).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let received = std::io::copy(&mut socket, &mut std::io::sink());
    assert!(!received.is_err_and(|e| e.kind() == ErrorKind::WouldBlock), "{bytes:?}");
}

fn connect_until_welcome(addr: SocketAddr) -> TcpStream {
    loop {
        let socket = TcpStream::connect(addr).unwrap();
        wire::send_hello(&socket, STORE_PROTOCOL).unwrap();
        let response = wire::receive_hello(&socket, STORE_PROTOCOL, TEST_TIMEOUT)
            .and_then(|()| wire::receive::<Response>(&socket, TEST_TIMEOUT, TEST_TIMEOUT));
        if matches!(response, Ok(Response::Welcome { node: 1 })) {
            return socket;
        }
    }
}

#[test]
fn malformed_and_excess_connections_are_closed() {
    let message_timeout = Duration::from_millis(200);
    let addr = start_single_node(Limits { max_connections: 2, message_timeout, ..Limits::default() });
    let settings = Settings { call_timeout: TEST_TIMEOUT, ..Settings::new(vec![addr], 1) };
    Client::new(settings.clone()).put("a", "1", unconditional()).unwrap();
    let magic = STORE_PROTOCOL.magic;
    let hello = [&magic[..], &1u16.to_le_bytes()].concat();
    assert_closed_after(addr, b"GET / HTTP/1.1\r\n\r\n");
    assert_closed_after(addr, b"");
    assert_closed_after(addr, &[&magic[..], &9u16.to_le_bytes()].concat());
    assert_closed_after(addr, &[&hello[..], &u32::MAX.to_le_bytes()].concat());
    assert_closed_after(addr, &[&hello[..], &3u32.to_le_bytes(), b"\xff\xff\xff"].concat());
    assert_closed_after(addr, &[&hello[..], &100u32.to_le_bytes(), b"begun"].concat());
    // Two open connections leave no slot for a third one. Closing a connection frees its slot.
    let open: Vec<TcpStream> = (0..2).map(|_| connect_until_welcome(addr)).collect();
    let short_timeout = Settings { call_timeout: Duration::from_millis(100), ..settings.clone() };
    let excess = Client::new(short_timeout).get("a", Consistency::Local);
    assert!(matches!(excess, Err(ClientError::Unavailable(_))));
    drop(open);
    let read = Client::new(settings).get("a", Consistency::Linearizable).unwrap();
    assert_eq!(read.value.unwrap().text, "1");
}
