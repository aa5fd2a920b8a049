//! Servers on loopback sockets whose handlers do as a test says, and checks of what their clients see.
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

/// Timeout that only a failure reaches.
pub(crate) const LONG: Duration = Duration::from_secs(20);

type HandlerFn = dyn Fn(&Arc<Connection>) + Send + Sync;

/// A connection, and what makes its handler return when sent to or dropped.
pub(crate) type HandedOver = (Arc<Connection>, Sender<()>);

/// A handler that does as the test says.
struct Handler(Box<HandlerFn>);

impl ConnectionHandler for Handler {
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        (self.0)(connection);
    }

    fn reject(&self, _: &Connection) {}

    fn client_disconnected(&self, request: RequestId) {
        panic!("{request:?}: this handler submits none");
    }
}

pub(crate) fn test_limits() -> Limits {
    let mut limits = Limits::new(
        ProcessResources { descriptors: 64, memory_bytes: 64 << 20 },
        RequestTimes { connect_timeout: LONG, backend_keepalive: LONG, longest_deadline: LONG },
    );
    // No timeout passes unless a test sets it.
    (
        limits.client_first_request_timeout,
        limits.client_idle_timeout,
        limits.client_message_timeout,
        limits.client_linger_timeout,
    ) = (LONG, LONG, LONG, LONG);
    (limits.shutdown_grace_period, limits.shutdown_read_timeout, limits.shutdown_timeout) =
        (Duration::ZERO, Duration::ZERO, LONG);
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

    /// A server whose handler hands each connection over to the test and returns once the test says so.
    pub(crate) fn handing_over(limits: Limits) -> (TestServer, Receiver<HandedOver>) {
        let (sender, handed_over) = unbounded();
        let server = TestServer::start(limits, move |connection| {
            let (release, released) = bounded(0);
            // A message or a drop ends it; a connection that comes after the test's end is nobody's.
            if sender.send((connection.clone(), release)).is_ok() {
                _ = released.recv();
            }
        });
        (server, handed_over)
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(LONG)).unwrap();
        socket
    }

    pub(crate) fn shut_down(&self) {
        self.commands.send(ServerCommand::Shutdown).unwrap();
    }

    pub(crate) fn wait_until_stopped(&self) {
        self.stopped.recv_timeout(LONG).expect("the server stops");
    }
}

pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < LONG, "never: {what}");
        std::thread::yield_now();
    }
}

/// Waits until unread bytes have arrived.
pub(crate) fn wait_until_readable(connection: &Connection) {
    wait_until("bytes from the client", || peek(&connection.socket).is_ok_and(|n| n > 0));
}

/// Waits until nobody holds the connection any more, so that its descriptor is closed.
pub(crate) fn wait_until_dropped(connection: &Weak<Connection>) {
    wait_until("the descriptor is closed", || connection.strong_count() == 0);
}

/// Whether the receiving side of a socket has ended, by the client or by ourselves.
pub(crate) fn receiving_side_ended(socket: &TcpStream) -> bool {
    let mut poll = libc::pollfd { fd: socket.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: it is given one entry, which outlives the call.
    assert!(unsafe { libc::poll(&raw mut poll, 1, 0) } >= 0);
    poll.revents & (libc::POLLRDHUP | libc::POLLHUP) != 0
}

/// Checks that the client sees an end of stream, not a reset.
pub(crate) fn assert_closed_without_reset(mut client: &TcpStream) {
    let mut byte = [0];
    assert_eq!(client.read(&mut byte).unwrap(), 0, "end of stream");
    assert!(SockRef::from(client).take_error().unwrap().is_none(), "no reset");
}

/// A server whose handler takes each byte for a command and leaves responses to the test.
pub(crate) struct ByteCommands {
    pub(crate) server: TestServer,
    pub(crate) commands: Receiver<(Arc<Connection>, u8)>,
    /// Gets a message for each reader that has ended.
    pub(crate) readers_ended: Receiver<()>,
    /// While this is held, handlers do not return after their reader has ended.
    pub(crate) keep_open: Sender<()>,
}

pub(crate) fn byte_commands(limits: Limits) -> ByteCommands {
    let (command_sender, commands) = unbounded();
    let (reader_ended, readers_ended) = unbounded();
    let (keep_open, kept_open) = bounded(0);
    let server = TestServer::start(limits, move |connection| {
        let mut byte = [0];
        while connection.command_reader(false).read(&mut byte).is_ok_and(|n| n > 0)
            && connection.begin_command(false)
        {
            command_sender.send((connection.clone(), byte[0])).unwrap();
        }
        reader_ended.send(()).unwrap();
        _ = kept_open.recv();
    });
    ByteCommands { server, commands, readers_ended, keep_open }
}

/// Writes the response to one command.
pub(crate) fn respond(connection: &Connection, text: &[u8]) {
    connection.prepare_response();
    (&connection.socket).write_all(text).unwrap();
    connection.finish_command();
}
