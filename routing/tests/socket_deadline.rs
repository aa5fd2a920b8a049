//! Reads with a deadline: a read that times out has waited until its deadline, not only until the end of the socket's
//! timeout, which may be earlier.
use routing::socket::DeadlineReader;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Number of connections that are read at the same time, and of reads on each: a socket's timeout ends early in about
/// one of a hundred reads.
const CONNECTIONS: usize = 32;
const READS: usize = 16;
/// Longer than a tick of the system, and not a multiple of one.
const WAIT: Duration = Duration::from_micros(20_700);

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

/// Guards against an attempt that counts as timed out although its deadline has not passed.
#[test]
fn read_never_times_out_before_its_deadline() {
    let read_until_timeout = || {
        let (socket, _open) = connected_pair();
        for _ in 0..READS {
            let deadline = Instant::now() + WAIT;
            let error = DeadlineReader::new(&socket, deadline).read(&mut [0]).unwrap_err();
            let early = deadline.checked_duration_since(Instant::now());
            assert_eq!(early, None, "time left at the timeout");
            assert_eq!(error.kind(), ErrorKind::TimedOut);
        }
    };
    std::thread::scope(|scope| {
        (0..CONNECTIONS).for_each(|_| _ = scope.spawn(read_until_timeout));
    });
}

#[test]
fn read_returns_data_and_the_end_of_the_stream() {
    let (socket, mut peer) = connected_pair();
    let mut reader = DeadlineReader::new(&socket, Instant::now() + Duration::from_secs(20));
    peer.write_all(b"x").unwrap();
    assert_eq!(reader.read(&mut [0; 4]).unwrap(), 1);
    drop(peer);
    assert_eq!(reader.read(&mut [0; 4]).unwrap(), 0);
}
