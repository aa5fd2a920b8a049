//! Test server with an echo handler in place of the router, and clients on real sockets.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
pub(crate) mod router;

use admin::{AdminHandler, AdminLimits, AdminServer, Command, Response};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::Duration;
use testkit::fixture::Fixtures;

pub(crate) const FIXTURES: Fixtures = testkit::fixtures!();

/// Timeout of every read, so that a test that would hang fails instead.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any read timeout here, so that a close by the server's timeout cannot be mistaken for another
/// close.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum time to the response of any command.
pub(crate) const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);
pub(crate) const METRIC_LINE: &str = "requests_total 7\n";

/// The handler of `SUSPEND hold` waits here twice: first to report that it blocks the server's thread, then
/// to be released.
pub(crate) static HANDLER_BARRIER: Barrier = Barrier::new(2);

/// Handler that responds with the command itself.
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
            Command::Suspend(id) if id == "broken" => panic!("panic of the test handler"),
            Command::Suspend(id) if id == "hold" => {
                HANDLER_BARRIER.wait();
                HANDLER_BARRIER.wait();
                Response::Done("released".into())
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

/// Connects and sends `bytes`.
pub(crate) fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    socket.write_all(bytes).unwrap();
    socket
}

/// Reads everything until the server closes the connection; panics on a reset.
pub(crate) fn read_to_close(mut socket: &TcpStream) -> String {
    let mut all = String::new();
    socket.read_to_string(&mut all).unwrap();
    all
}

/// Sends a line and returns the response.
pub(crate) fn send_and_read(address: SocketAddr, line: &[u8]) -> String {
    read_to_close(&connect(address, line))
}

/// Sends a line without its line end, closes the sending side, and returns the response.
pub(crate) fn send_with_half_close_and_read(address: SocketAddr, line: &[u8]) -> String {
    let socket = connect(address, line);
    socket.shutdown(Shutdown::Write).unwrap();
    read_to_close(&socket)
}
