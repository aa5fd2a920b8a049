//! A door with a desk that stands in for the router, and callers on real sockets.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
pub mod router;

use door::{Answer, Bounds, Call, Desk, Door};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Barrier};
use std::time::Duration;

/// `SUSPEND hold` waits here twice: once to say that it holds the door's thread, once to be let go.
pub static HOLD: Barrier = Barrier::new(2);

/// Answers with the call itself; its figures have this many lines.
pub struct Echo(pub usize);

impl Desk for Echo {
    fn call(&self, call: Call) -> Answer {
        match call {
            Call::Metrics => Answer::Figures("requests_total 7\n".repeat(self.0)),
            Call::Suspend(id) if id == "gone" => Answer::No("no instance\r\n200 `gone`\x1b[2J".into()),
            Call::Suspend(id) if id == "broken" => panic!("a desk that fails"),
            Call::Suspend(id) if id == "hold" => {
                HOLD.wait();
                HOLD.wait();
                Answer::Yes("let go".into())
            }
            call => Answer::Yes(call.to_string()),
        }
    }
}

pub fn door(callers: usize, patience: Duration, figures: usize) -> SocketAddr {
    let bounds = Bounds { callers, line_bytes: 300, patience, stack_bytes: 128 << 10 };
    let door = Door::open("127.0.0.1:0".parse().unwrap(), bounds).unwrap();
    let addr = door.addr();
    door.serve(Arc::new(Echo(figures))).unwrap();
    addr
}

/// Connects and sends. No read waits for more than 20 s: a test that would hang fails.
pub fn connect(at: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(at).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    socket.write_all(bytes).unwrap();
    socket
}

/// All that comes until the door closes: a reset is an error here.
pub fn rest(mut socket: &TcpStream) -> String {
    let mut all = String::new();
    socket.read_to_string(&mut all).unwrap();
    all
}

pub fn ask(at: SocketAddr, line: &[u8]) -> String {
    rest(&connect(at, line))
}

/// The same, with a half-close in place of a line end.
pub fn ask_and_end(at: SocketAddr, line: &[u8]) -> String {
    let socket = connect(at, line);
    socket.shutdown(Shutdown::Write).unwrap();
    rest(&socket)
}

/// Sends one line and gives all that comes back.
pub fn exchange(at: SocketAddr, line: &[u8]) -> String {
    rest(&connect(at, line))
}

/// Asserts that `actual` is the fixture byte for byte. On a difference it leaves `actual` in the build's folder for
/// temporary files, so that the two can be compared.
pub fn assert_fixture(name: &str, actual: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    if std::fs::read(path).is_ok_and(|expected| expected == actual) {
        return;
    }
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&written, actual).unwrap();
    panic!("{name} differs from its fixture; compare it with {}", written.display());
}
