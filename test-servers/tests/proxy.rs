//! Tests connections through a proxy that delays, cuts, resets or half-closes them.
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_servers::proxy::{Faults, Proxy};

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an echo server behind a proxy, and connects a client to it.
fn start_echo() -> (Proxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || _ = io::copy(&mut &socket, &mut &socket));
        }
    });
    let client = TcpStream::connect(proxy.addr).unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    (proxy, client)
}

fn round_trip(mut client: &TcpStream, n: usize) -> io::Result<Duration> {
    let (start, mut response) = (Instant::now(), vec![0; n]);
    client.write_all(&vec![7; n])?;
    client.read_exact(&mut response)?;
    Ok(start.elapsed())
}

#[test]
fn delay_and_throttle_slow_both_directions() {
    let (proxy, client) = start_echo();
    round_trip(&client, 10).unwrap();
    proxy.update_faults(|f| f.delay = Duration::from_millis(30));
    assert!(round_trip(&client, 10).unwrap() >= Duration::from_millis(60));
    proxy.update_faults(|f| *f = Faults { bytes_per_s: 10_000, ..Faults::default() });
    assert!(round_trip(&client, 1000).unwrap() >= Duration::from_millis(200));
}

#[test]
fn cut_connection_is_silent_and_resumes_after_fault() {
    for one_way in [false, true] {
        let (proxy, client) = start_echo();
        round_trip(&client, 10).unwrap();
        proxy.update_faults(|f| (f.cut, f.drop_from_target) = (!one_way, one_way));
        (&client).write_all(b"x").unwrap();
        client.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let silent = (&client).read(&mut [0; 1]).unwrap_err().kind();
        assert!(matches!(silent, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut));
        client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        proxy.update_faults(|f| *f = Faults::default());
        (&client).read_exact(&mut [0; 1]).unwrap();
    }
}

#[test]
fn half_closed_connection_still_forwards_the_other_direction() {
    let (proxy, client) = start_echo();
    round_trip(&client, 10).unwrap();
    proxy.half_close();
    assert_eq!((&client).read(&mut [0; 1]).unwrap(), 0);
    assert!((&client).write_all(b"x").is_ok());
}

#[test]
fn reset_is_seen_as_connection_reset() {
    let (proxy, client) = start_echo();
    round_trip(&client, 10).unwrap();
    proxy.reset();
    assert_eq!((&client).read(&mut [0; 1]).unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
