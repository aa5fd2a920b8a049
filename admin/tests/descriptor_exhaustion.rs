//! Runs in its own process, as it uses up all file descriptors of the process.
mod common;

use common::{READ_TIMEOUT, read_to_close, serve};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn connections_made_without_free_descriptors_get_a_response_once_some_are_free() {
    let (_, hard) = rlimit::Resource::NOFILE.get().unwrap();
    rlimit::Resource::NOFILE.set(64, hard).unwrap();
    let address = serve(8, Duration::from_secs(15), 1);
    let sockets: Vec<_> = (0..4).map(|_| Socket::new(Domain::IPV4, Type::STREAM, None).unwrap()).collect();
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    let connected = sockets.into_iter().map(|socket| {
        socket.connect(&address.into()).unwrap();
        let mut client = TcpStream::from(socket);
        client.write_all(b"STATUS\n").unwrap();
        client
    });
    let mut clients: Vec<_> = connected.collect();
    // An accept in progress briefly occupies a descriptor, so one may be free, but never four.
    let last = clients.last_mut().unwrap();
    last.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(last.read(&mut [0]).is_err(), "a response without a free descriptor");
    files.clear();
    for client in &clients {
        client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        assert_eq!(read_to_close(client), "200 STATUS\n");
    }
}
