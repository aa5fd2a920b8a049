//! Servers on loopback sockets with handlers that a test controls, and checks of what their clients observe.
use client_listener::{ClientListener, ClientServer, Connection, ConnectionHandler, ServerCommand};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use routing::RequestId;
use routing::socket::peek;
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Timeout that passes only if a test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

type HandlerFn = dyn Fn(&Arc<Connection>) + Send + Sync;

/// A connection, and a channel that makes its handler return when a message is sent or the sender is dropped.
pub(crate) type ControlledConnection = (Arc<Connection>, Sender<()>);

/// A connection handler that calls a function of the test.
struct Handler(Box<HandlerFn>);

impl ConnectionHandler for Handler {
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        (self.0)(connection);
    }

    fn reject(&self, _: &Connection) {}

    fn client_disconnected(&self, request: RequestId) {
        panic!("{request:?}: this handler submits no requests");
    }

    fn shutdown_started(&self) {}
}

pub(crate) fn test_limits() -> Limits {
    let mut limits = Limits::new(
        ProcessResources { descriptors: 64, memory_bytes: 64 << 20 },
        RequestTimes {
            connect_timeout: TEST_TIMEOUT,
            backend_keepalive: TEST_TIMEOUT,
            longest_deadline: TEST_TIMEOUT,
        },
    );
    // Timeouts are too long to pass unless a test shortens them.
    (
        limits.client_first_request_timeout,
        limits.client_idle_timeout,
        limits.client_message_timeout,
        limits.client_linger_timeout,
    ) = (TEST_TIMEOUT, TEST_TIMEOUT, TEST_TIMEOUT, TEST_TIMEOUT);
    (limits.shutdown_grace_period, limits.shutdown_read_timeout, limits.shutdown_timeout) =
        (Duration::ZERO, Duration::ZERO, TEST_TIMEOUT);
    limits.draining_first_request_timeout = Duration::ZERO;
    limits
}

/// A server that runs until it is shut down.
pub(crate) struct TestServer {
    pub(crate) address: SocketAddr,
    pub(crate) commands: Sender<ServerCommand>,
    pub(crate) stopped: Receiver<()>,
}

impl TestServer {
    pub(crate) fn start(
        limits: Limits,
        handle: impl Fn(&Arc<Connection>) + Send + Sync + 'static,
    ) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let clients = ClientServer::new(Arc::new(Handler(Box::new(handle))), Arc::new(limits), None);
        let (commands, received_commands) = unbounded();
        let (stopping, stopped) = bounded(1);
        std::thread::spawn(move || {
            clients.serve(ClientListener::Exclusive(listener), &received_commands).unwrap();
            _ = stopping.send(());
        });
        TestServer { address, commands, stopped }
    }

    /// Starts a server whose handler sends each connection to the test and returns once the test releases it.
    pub(crate) fn start_controlled(limits: Limits) -> (TestServer, Receiver<ControlledConnection>) {
        let (sender, connections) = unbounded();
        let server = TestServer::start(limits, move |connection| {
            let (release, released) = bounded(0);
            // The handler returns when the test sends a message or drops the sender. Sending fails for a
            // connection that is accepted after the test has ended.
            if sender.send((connection.clone(), release)).is_ok() {
                _ = released.recv();
            }
        });
        (server, connections)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket
    }

    pub(crate) fn shut_down(&self) {
        self.commands.send(ServerCommand::Shutdown).unwrap();
    }

    pub(crate) fn wait_until_stopped(&self) {
        self.stopped.recv_timeout(TEST_TIMEOUT).expect("the server did not stop");
    }
}

pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting until {what}");
        std::thread::yield_now();
    }
}

/// Waits until the connection has unread bytes.
pub(crate) fn wait_until_readable(connection: &Connection) {
    wait_until("bytes have arrived from the client", || peek(&connection.socket).is_ok_and(|n| n > 0));
}

/// Waits until no reference to the connection is left, so that its descriptor is closed.
pub(crate) fn wait_until_dropped(connection: &Weak<Connection>) {
    wait_until("the descriptor is closed", || connection.strong_count() == 0);
}

/// Returns whether the receiving side of a socket has ended, closed by the client or by the server.
pub(crate) fn receiving_side_ended(socket: &TcpStream) -> bool {
    let mut poll = libc::pollfd { fd: socket.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: the array has one entry, which outlives the call.
    assert!(unsafe { libc::poll(&raw mut poll, 1, 0) } >= 0);
    poll.revents & (libc::POLLRDHUP | libc::POLLHUP) != 0
}

/// Asserts that the client sees an end of stream, not a reset.
pub(crate) fn assert_closed_without_reset(mut client: &TcpStream) {
    let mut byte = [0];
    assert_eq!(client.read(&mut byte).unwrap(), 0, "expected an end of stream");
    assert!(SockRef::from(client).take_error().unwrap().is_none(), "expected no reset");
}

/// A server whose handler treats each byte as a command and leaves the responses to the test.
pub(crate) struct ByteCommands {
    pub(crate) server: TestServer,
    pub(crate) commands: Receiver<(Arc<Connection>, u8)>,
    /// Receives a message for each reader that has ended.
    pub(crate) readers_ended: Receiver<()>,
    /// Until this is dropped, handlers do not return after their reader has ended.
    pub(crate) keep_open: Sender<()>,
}

pub(crate) fn byte_commands(limits: Limits) -> ByteCommands {
    let (command_sender, commands) = unbounded();
    let (reader_ended, readers_ended) = unbounded();
    let (keep_open, released) = bounded(0);
    let server = TestServer::start(limits, move |connection| {
        let mut byte = [0];
        while connection.command_reader(false).read(&mut byte).is_ok_and(|n| n > 0)
            && connection.begin_command(false)
        {
            command_sender.send((connection.clone(), byte[0])).unwrap();
        }
        reader_ended.send(()).unwrap();
        _ = released.recv();
    });
    ByteCommands { server, commands, readers_ended, keep_open }
}

/// Writes the response to one command.
pub(crate) fn respond(connection: &Connection, text: &[u8]) {
    connection.prepare_response();
    (&connection.socket).write_all(text).unwrap();
    connection.finish_command();
}
