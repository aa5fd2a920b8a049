//! Whether a write that failed can have reached the other side whole, on real loopback sockets: if it could, what is
//! taken for never sent might have run.
use routing::wire::write_gathered;
use socket2::SockRef;
use std::io::{IoSlice, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Writes so much, in three parts, to a side that reads nothing meanwhile: whether that failed, and how much arrived.
fn written(length: usize) -> (bool, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut far = listener.accept().unwrap().0;
    SockRef::from(&near).set_send_buffer_size(16 * 1024).unwrap();
    SockRef::from(&far).set_recv_buffer_size(16 * 1024).unwrap();
    near.set_write_timeout(Some(Duration::from_millis(30))).unwrap();
    let bytes = vec![7; length];
    let (head, rest) = bytes.split_at(length / 3);
    let (body, last) = rest.split_at(rest.len() - 1);
    let failed =
        write_gathered(&near, &mut [IoSlice::new(head), IoSlice::new(body), IoSlice::new(last)]).is_err();
    near.shutdown(Shutdown::Write).unwrap();
    let mut got = Vec::new();
    far.read_to_end(&mut got).unwrap();
    (failed, got.len())
}

#[test]
fn a_write_that_failed_by_its_time_has_not_delivered_its_last_byte() {
    let (failed, room) = written(32 << 20);
    assert!(failed && room > 0 && room < 32 << 20, "{room} bytes arrived of one that must not fit");
    // Around what the buffers take, byte by byte and in larger steps.
    for length in (room - 3..=room + 3).chain([room / 2, room * 2, room + 4096]) {
        let (failed, got) = written(length);
        assert_eq!(got < length, failed, "{got} of {length} bytes arrived");
    }
}

#[test]
fn a_write_to_a_side_that_has_gone_fails_and_has_delivered_nothing_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let far = listener.accept().unwrap().0;
    // Closed over a byte that it has not read, it resets.
    write_gathered(&near, &mut [IoSlice::new(b"x")]).unwrap();
    far.peek(&mut [0]).unwrap();
    drop(far);
    let mut ended = [0];
    assert!((&near).read(&mut ended).is_err(), "it was reset");
    assert!(write_gathered(&near, &mut [IoSlice::new(b"statement")]).is_err());
}
