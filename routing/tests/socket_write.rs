//! Whether a write that failed can have reached the other side whole, on real loopback sockets: if it could, an attempt
//! that is taken for never sent might have run.
use routing::socket::write_all_vectored;
use socket2::SockRef;
use std::io::{IoSlice, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Writes `length` bytes in three parts to a side that reads nothing meanwhile: whether that failed, and how many bytes
/// arrived.
fn write_to_silent_reader(length: usize) -> (bool, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut far = listener.accept().unwrap().0;
    SockRef::from(&near).set_send_buffer_size(16 * 1024).unwrap();
    SockRef::from(&far).set_recv_buffer_size(16 * 1024).unwrap();
    near.set_write_timeout(Some(Duration::from_millis(30))).unwrap();
    let bytes = vec![7; length];
    let (head, rest) = bytes.split_at(length / 3);
    let (body, last) = rest.split_at(rest.len() - 1);
    let parts = &mut [IoSlice::new(head), IoSlice::new(body), IoSlice::new(last)];
    let failed = write_all_vectored(&near, parts).is_err();
    near.shutdown(Shutdown::Write).unwrap();
    let mut received = Vec::new();
    far.read_to_end(&mut received).unwrap();
    (failed, received.len())
}

#[test]
fn timed_out_write_has_not_delivered_its_last_byte() {
    let (failed, capacity) = write_to_silent_reader(32 << 20);
    assert!(
        failed && capacity > 0 && capacity < 32 << 20,
        "{capacity} bytes arrived of one that must not fit"
    );
    // Around what the buffers take, byte by byte and in larger steps.
    for length in (capacity - 3..=capacity + 3).chain([capacity / 2, capacity * 2, capacity + 4096]) {
        let (failed, received) = write_to_silent_reader(length);
        assert_eq!(received < length, failed, "{received} of {length} bytes arrived");
    }
}

#[test]
fn write_to_a_reset_connection_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let far = listener.accept().unwrap().0;
    // Closed over a byte that it has not read, it resets.
    write_all_vectored(&near, &mut [IoSlice::new(b"x")]).unwrap();
    far.peek(&mut [0]).unwrap();
    drop(far);
    let mut end = [0];
    assert!((&near).read(&mut end).is_err(), "it was reset");
    assert!(write_all_vectored(&near, &mut [IoSlice::new(b"statement")]).is_err());
}
