//! A server with a handler that stands in for the router, and clients on real sockets.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
pub(crate) mod router;

use admin::{AdminHandler, AdminLimits, AdminServer, Command, Response};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::Duration;
use testkit::fixture::Fixtures;

pub(crate) const FIXTURES: Fixtures = testkit::fixtures!();

/// No read waits for longer: a test that would hang fails.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any read here waits: a close by timeout can't pass for another.
pub(crate) const LONG: Duration = Duration::from_mins(1);
/// Any command must be answered within this time.
pub(crate) const RESPONSE_DUE: Duration = Duration::from_secs(1);
pub(crate) const METRIC_LINE: &str = "requests_total 7\n";

/// `SUSPEND hold` waits here twice: once to report that it occupies the server's thread, once to be released.
pub(crate) static HOLD: Barrier = Barrier::new(2);

/// Answers with the command itself.
pub(crate) struct EchoHandler {
    pub(crate) metric_lines: usize,
}

impl AdminHandler for EchoHandler {
    fn handle(&self, command: Command) -> Response {
        match command {
            Command::Metrics => Response::Metrics(METRIC_LINE.repeat(self.metric_lines)),
            Command::Suspend(id) if id == "gone" => {
                Response::Rejected("no instance\r\n200 `gone`\x1b[2J".into())
            }
            Command::Suspend(id) if id == "broken" => panic!("a handler that fails"),
            Command::Suspend(id) if id == "hold" => {
                HOLD.wait();
                HOLD.wait();
                Response::Done("let go".into())
            }
            command => Response::Done(command.to_string()),
        }
    }
}

pub(crate) fn serve(max_connections: usize, io_timeout: Duration, metric_lines: usize) -> SocketAddr {
    serve_handler(max_connections, io_timeout, Arc::new(EchoHandler { metric_lines }))
}

pub(crate) fn serve_handler(
    max_connections: usize,
    io_timeout: Duration,
    handler: Arc<dyn AdminHandler>,
) -> SocketAddr {
    let limits =
        AdminLimits { max_connections, max_line_bytes: 300, io_timeout, thread_stack_bytes: 128 << 10 };
    let server = AdminServer::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
    let address = server.address();
    server.serve(handler).unwrap();
    address
}

/// Connects and sends.
pub(crate) fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    socket.write_all(bytes).unwrap();
    socket
}

/// Everything received until the server closes; a reset is an error.
pub(crate) fn read_to_close(mut socket: &TcpStream) -> String {
    let mut all = String::new();
    socket.read_to_string(&mut all).unwrap();
    all
}

/// Sends a line and gives the response.
pub(crate) fn ask(address: SocketAddr, line: &[u8]) -> String {
    read_to_close(&connect(address, line))
}

/// The same with a half-close in place of the line end.
pub(crate) fn ask_with_half_close(address: SocketAddr, line: &[u8]) -> String {
    let socket = connect(address, line);
    socket.shutdown(Shutdown::Write).unwrap();
    read_to_close(&socket)
}
