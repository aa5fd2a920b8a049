//! Tests on real loopback sockets that a failed write has not delivered its last byte. If it could have, an
//! attempt that is reported as never sent might have run.
use routing::socket::write_all_vectored;
use socket2::SockRef;
use std::io::{IoSlice, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Writes `length` bytes in three parts, which are read only after the write has ended. Returns whether the
/// write failed and how many bytes were received.
fn write_to_paused_reader(length: usize) -> (bool, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut reader = listener.accept().unwrap().0;
    SockRef::from(&writer).set_send_buffer_size(16 * 1024).unwrap();
    SockRef::from(&reader).set_recv_buffer_size(16 * 1024).unwrap();
    writer.set_write_timeout(Some(Duration::from_millis(30))).unwrap();
    let bytes = vec![7; length];
    let (head, rest) = bytes.split_at(length / 3);
    let (body, last) = rest.split_at(rest.len() - 1);
    let parts = &mut [IoSlice::new(head), IoSlice::new(body), IoSlice::new(last)];
    let failed = write_all_vectored(&writer, parts).is_err();
    writer.shutdown(Shutdown::Write).unwrap();
    let mut received = Vec::new();
    reader.read_to_end(&mut received).unwrap();
    (failed, received.len())
}

#[test]
fn timed_out_write_has_not_delivered_its_last_byte() {
    let (failed, capacity) = write_to_paused_reader(32 << 20);
    assert!(
        failed && capacity > 0 && capacity < 32 << 20,
        "received {capacity} bytes of a write that exceeds the buffers"
    );
    // Lengths around the buffer capacity, byte by byte and in larger steps.
    for length in (capacity - 3..=capacity + 3).chain([capacity / 2, capacity * 2, capacity + 4096]) {
        let (failed, received) = write_to_paused_reader(length);
        assert_eq!(received < length, failed, "received {received} of {length} bytes");
    }
}

#[test]
fn write_to_a_reset_connection_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let reader = listener.accept().unwrap().0;
    // A socket that is closed with unread data resets the connection.
    write_all_vectored(&writer, &mut [IoSlice::new(b"x")]).unwrap();
    reader.peek(&mut [0]).unwrap();
    drop(reader);
    let mut end = [0];
    assert!((&writer).read(&mut end).is_err(), "the connection was not reset");
    assert!(write_all_vectored(&writer, &mut [IoSlice::new(b"statement")]).is_err());
}
