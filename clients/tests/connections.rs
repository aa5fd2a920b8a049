//! Clients' connections on loopback sockets, and how they end: what a client sent is carried out or never taken, and
//! what it was answered arrives whole.
use clients::{Clients, Connection, Listening, Order, Standing, Talk};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use routing::RequestId;
use routing::socket::peek;
use settings::Limits;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

/// Reached only by a failure.
const LONG: Duration = Duration::from_secs(20);

type Talked = dyn Fn(&Arc<Connection>) + Send + Sync;

/// A connection, and what lets its front leave it.
type Handed = (Arc<Connection>, Sender<()>);

/// A way to end a connection.
type Ends = fn(&Connection);

/// A front that does as the test says.
struct Front(Box<Talked>);

impl Talk for Front {
    fn talk(self: &Arc<Self>, connection: &Arc<Connection>) {
        (self.0)(connection);
    }

    fn left(&self, request: RequestId) {
        panic!("{request:?}: this front hands none over");
    }
}

fn limits() -> Limits {
    let mut l = Limits::new(64, 64 << 20, LONG, LONG, LONG);
    // Nothing ends by the clock but where a test says so.
    (l.client_first, l.client_idle, l.client_message, l.client_linger) = (LONG, LONG, LONG, LONG);
    (l.shutdown_grace, l.shutdown_last, l.shutdown_most) = (Duration::ZERO, Duration::ZERO, LONG);
    l.client_greeted = Duration::ZERO;
    l
}

/// A front that serves until it is told to end.
struct Site {
    addr: SocketAddr,
    orders: Sender<Order>,
    ended: Receiver<()>,
}

impl Site {
    fn start(limits: Limits, talk: impl Fn(&Arc<Connection>) + Send + Sync + 'static) -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let clients = Clients::new(Arc::new(Front(Box::new(talk))), Arc::new(limits));
        let ((orders, ordered), (done, ended)) = (unbounded(), bounded(1));
        std::thread::spawn(move || {
            clients.serve(Listening::Own(listener), &ordered).unwrap();
            _ = done.send(());
        });
        Site { addr, orders, ended }
    }

    /// A front that hands each connection to the test, and leaves it once the test says so.
    fn handing(limits: Limits) -> (Site, Receiver<Handed>) {
        let (to, handed) = unbounded();
        let site = Site::start(limits, move |c| {
            let (leave, left) = bounded(0);
            // Dropped or told, either ends it; one that comes behind the test's end is nobody's.
            if to.send((c.clone(), leave)).is_ok() {
                _ = left.recv();
            }
        });
        (site, handed)
    }

    fn client(&self) -> TcpStream {
        let socket = TcpStream::connect(self.addr).unwrap();
        socket.set_read_timeout(Some(LONG)).unwrap();
        socket
    }

    fn ends(&self) {
        self.orders.send(Order::End).unwrap();
    }

    fn over(&self) {
        self.ended.recv_timeout(LONG).expect("the front ends");
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "never: {what}");
        std::thread::yield_now();
    }
}

/// Waits until bytes have come that nobody has read.
fn came(c: &Connection) {
    until("bytes of the client", || peek(&c.socket).is_ok_and(|n| n > 0));
}

/// Waits until nobody holds the connection any more: its descriptor is closed.
fn closed(c: &Weak<Connection>) {
    until("the descriptor is closed", || c.strong_count() == 0);
}

/// Whether the client's end, or its own, has been seen on a socket's reading side.
fn read_side_ended(socket: &TcpStream) -> bool {
    let mut poll = libc::pollfd { fd: socket.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: it is given one entry, which outlives the call.
    assert!(unsafe { libc::poll(&raw mut poll, 1, 0) } >= 0);
    poll.revents & (libc::POLLRDHUP | libc::POLLHUP) != 0
}

/// The client's connection has ended in order, not by a reset.
fn ended_in_order(mut client: &TcpStream) {
    let mut byte = [0];
    assert_eq!(client.read(&mut byte).unwrap(), 0, "the end");
    assert!(SockRef::from(client).take_error().unwrap().is_none(), "no reset");
}

#[test]
fn no_command_is_taken_after_any_end_of_our_own() {
    let mut l = limits();
    l.client_idle = Duration::ZERO;
    let ends: [(&str, Ends); 3] = [
        ("close", Connection::close),
        ("finish", Connection::finish),
        ("spent", |c| {
            // One command was asked and answered.
            assert!(c.owe(false));
            c.paid();
            assert!(c.retire_if_spent());
        }),
    ];
    let (site, handed) = Site::handing(l);
    for (name, end) in ends {
        let mut client = site.client();
        let (c, _leave) = handed.recv_timeout(LONG).unwrap();
        if name != "spent" {
            client.write_all(b"request").unwrap();
            came(&c);
        }
        end(&c);
        // Linux hands on what had come before both ways were shut.
        let mut to = [0; 16];
        assert_eq!(c.command(false).read(&mut to).unwrap(), 0, "{name}: read behind the end");
        assert!(!c.owe(false), "{name}: taken behind the end");
    }
}

#[test]
fn what_was_taken_before_a_close_is_answered_and_nothing_after_it_is() {
    let (site, handed) = Site::handing(limits());
    let mut client = site.client();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    assert!(c.owe(false) && c.owe(false));
    c.finish();
    assert!(!c.owe(false));
    // The sending is over; both are counted down all the same, and the connection ends as any other.
    c.paid();
    c.paid();
    drop((c, leave));
    ended_in_order(&client);
    client.write_all(b"crosses").unwrap();
    ended_in_order(&client);
}

#[test]
fn an_answer_arrives_whole_over_unread_bytes_of_a_client_that_reads_late() {
    const ANSWER: usize = 200_000;
    let mut l = limits();
    // It is over before the client reads at all.
    l.client_linger = Duration::from_millis(50);
    let (site, handed) = Site::handing(l);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // Most of the answer stays on our side.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&site.addr.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_read_timeout(Some(LONG)).unwrap();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    SockRef::from(&c.socket).set_send_buffer_size(ANSWER).unwrap();
    client.write_all(&[b'x'; 10_000]).unwrap();
    came(&c);
    (&c.socket).write_all(&[b'a'; ANSWER]).unwrap();
    let gone = Arc::downgrade(&c);
    drop((c, leave));
    closed(&gone);
    let mut got = Vec::new();
    client.read_to_end(&mut got).expect("no reset before the end of the answer");
    assert_eq!(got.len(), ANSWER);
}

#[test]
fn bytes_that_cross_the_end_bring_no_reset_until_the_client_ends_too() {
    let (site, handed) = Site::handing(limits());
    let mut client = site.client();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    client.write_all(b"unread").unwrap();
    came(&c);
    (&c.socket).write_all(b"answer").unwrap();
    let gone = Arc::downgrade(&c);
    drop((c, leave));
    let mut got = [0; 6];
    client.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"answer");
    ended_in_order(&client);
    client.write_all(b"on its way when the end came").unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    closed(&gone);
    ended_in_order(&client);
}

#[test]
fn a_client_that_neither_ends_nor_falls_silent_is_lingered_for_within_bounds() {
    // Silent: for a time.
    let mut l = limits();
    l.client_linger = Duration::from_millis(50);
    let (site, handed) = Site::handing(l);
    let client = site.client();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    let gone = Arc::downgrade(&c);
    drop((c, leave));
    closed(&gone);
    ended_in_order(&client);
    // Sending on: for a number of bytes.
    let mut l = limits();
    l.client_linger_bytes = 64 << 10;
    let (site, handed) = Site::handing(l);
    let mut client = site.client();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    let gone = Arc::downgrade(&c);
    drop((c, leave));
    until("the connection is given up", || client.write_all(&[0; 4096]).is_err());
    closed(&gone);
}

#[test]
fn a_request_that_lies_in_the_socket_when_the_time_to_rest_is_up_is_read() {
    let mut l = limits();
    l.client_idle = Duration::ZERO;
    let (site, handed) = Site::handing(l);
    let mut client = site.client();
    let (c, _leave) = handed.recv_timeout(LONG).unwrap();
    assert!(c.owe(false));
    c.paid();
    client.write_all(b"request").unwrap();
    came(&c);
    // The reader ran late: its time is up and the request is there.
    assert!(!c.retire_if_spent());
    let mut to = [0; 16];
    assert_eq!(c.command(false).read(&mut to).unwrap(), 7);
    assert!(c.owe(false));
    c.paid();
    assert!(c.retire_if_spent(), "spent, and nothing has come");
    ended_in_order(&client);
}

/// A front that takes each byte for a command and leaves answers to the test.
struct Reading {
    site: Site,
    read: Receiver<(Arc<Connection>, u8)>,
    /// Hears of each reader that has ended.
    leaves: Receiver<()>,
    /// While this is held, connections stay open behind their readers: something is owed yet.
    owes: Sender<()>,
}

fn reading(limits: Limits) -> Reading {
    let ((to, read), (left, leaves), (owes, owed)) = (unbounded(), unbounded(), bounded(0));
    let site = Site::start(limits, move |c| {
        let mut byte = [0];
        while c.command(false).read(&mut byte).is_ok_and(|n| n > 0) && c.owe(false) {
            to.send((c.clone(), byte[0])).unwrap();
        }
        left.send(()).unwrap();
        _ = owed.recv();
    });
    Reading { site, read, leaves, owes }
}

/// Answers one command.
fn answer(c: &Connection, text: &[u8]) {
    c.part_with();
    (&c.socket).write_all(text).unwrap();
    c.paid();
}

#[test]
fn a_client_that_rests_through_the_end_gets_an_end_and_what_it_sends_into_it_is_never_taken() {
    let Reading { site, read, leaves, owes } = reading(limits());
    let mut client = site.client();
    client.write_all(b"1").unwrap();
    drop(owes);
    let (c, _) = read.recv_timeout(LONG).unwrap();
    answer(&c, b"one");
    let mut got = [0; 3];
    client.read_exact(&mut got).unwrap();
    site.ends();
    ended_in_order(&client);
    // Our own end does not look like the client's: whoever listens for that hears nothing.
    assert!(!read_side_ended(&c.socket), "the reading side was shut by ourselves");
    client.write_all(b"2").unwrap();
    leaves.recv_timeout(LONG).expect("the reader ends with what crossed the end");
    assert!(read.try_recv().is_err(), "taken behind the end");
    let gone = Arc::downgrade(&c);
    drop(c);
    client.shutdown(Shutdown::Write).unwrap();
    closed(&gone);
    ended_in_order(&client);
    site.over();
}

#[test]
fn a_reader_does_not_wait_for_a_client_that_rests_on_behind_the_end() {
    let mut l = limits();
    l.client_linger = Duration::from_millis(50);
    let Reading { site, read, leaves, owes } = reading(l);
    let mut client = site.client();
    client.write_all(b"1").unwrap();
    drop(owes);
    answer(&read.recv_timeout(LONG).unwrap().0, b"one");
    site.ends();
    leaves.recv_timeout(LONG).unwrap();
    site.over();
    let mut got = [0; 3];
    client.read_exact(&mut got).unwrap();
    ended_in_order(&client);
}

#[test]
fn what_is_owed_at_the_last_step_is_answered_and_what_comes_after_the_step_is_not_taken() {
    let mut l = limits();
    l.client_linger = Duration::from_millis(50);
    let Reading { site, read, leaves, owes } = reading(l);
    let mut client = site.client();
    client.write_all(b"12").unwrap();
    let (c, _) = read.recv_timeout(LONG).unwrap();
    read.recv_timeout(LONG).unwrap();
    let rests = site.client();
    site.ends();
    until("the last step", || c.let_go());
    // Another one is ended and in the end its reader woken: by then each has been looked at more than once.
    ended_in_order(&rests);
    leaves.recv_timeout(LONG).unwrap();
    assert!(!read_side_ended(&c.socket), "the reading side was shut by ourselves");
    // It comes whole after the step.
    client.write_all(b"3").unwrap();
    leaves.recv_timeout(LONG).unwrap();
    assert!(read.try_recv().is_err(), "taken after the step");
    answer(&c, b"one");
    answer(&c, b"two");
    let mut got = [0; 6];
    client.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"onetwo");
    ended_in_order(&client);
    drop((c, client, rests, owes));
    site.over();
}

#[test]
fn the_last_answer_ends_a_connection_whose_reader_waits_for_the_rest_of_a_command() {
    let (told, half) = unbounded();
    let ((left, leaves), (owes, owed)) = (unbounded(), bounded::<()>(0));
    let site = Site::start(limits(), move |c| {
        let (mut timed, mut byte) = (c.command(false), [0]);
        assert!(c.owe(false));
        // What wakes the thread that accepts says nothing.
        if timed.read_exact(&mut byte).is_err() {
            return c.paid();
        }
        told.send(c.clone()).unwrap();
        // The second half, which comes too late.
        left.send(timed.read(&mut byte).map_err(|e| e.kind())).unwrap();
        _ = owed.recv();
    });
    let mut client = site.client();
    client.write_all(b"h").unwrap();
    let c = half.recv_timeout(LONG).unwrap();
    assert_eq!(c.standing(), Standing::Quiet);
    site.ends();
    until("the last step", || c.let_go());
    answer(&c, b"one");
    let mut got = [0; 3];
    client.read_exact(&mut got).unwrap();
    ended_in_order(&client);
    client.write_all(b"alf").unwrap();
    assert_eq!(leaves.recv_timeout(LONG).unwrap(), Ok(0), "handed on behind the end");
    assert!(!c.owe(false));
    drop((c, client, owes));
    site.over();
}

#[test]
fn what_the_kernel_has_accepted_and_nobody_took_is_served_at_the_end() {
    let mut l = limits();
    l.client_connections = 1;
    l.client_greeted = LONG;
    let Reading { site, read, leaves, owes } = reading(l);
    let mut clients: Vec<TcpStream> = (0..4).map(|_| site.client()).collect();
    clients[0].write_all(b"0").unwrap();
    // At the bound, and none may be let go: the others wait.
    let (first, _) = read.recv_timeout(LONG).unwrap();
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        client.write_all(&[b'0' + n as u8]).unwrap();
    }
    site.ends();
    let mut others: Vec<(Arc<Connection>, u8)> = (1..4).map(|_| read.recv_timeout(LONG).unwrap()).collect();
    others.push((first, b'0'));
    for (c, n) in others {
        answer(&c, &[n]);
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let mut got = [0];
        client.read_exact(&mut got).unwrap();
        assert_eq!(got, [b'0' + n as u8]);
        ended_in_order(client);
    }
    drop((clients, owes));
    site.over();
    assert!(leaves.len() >= 4);
}

#[test]
fn at_the_bound_one_that_has_ended_or_rests_gives_its_place_at_once_and_takes_nothing_more() {
    let mut l = limits();
    l.client_connections = 1;
    l.client_start_least = Duration::ZERO;
    let (site, handed) = Site::handing(l);
    // It lingers for a client that does not end.
    let lingers = site.client();
    let (c, leave) = handed.recv_timeout(LONG).unwrap();
    drop((c, leave));
    ended_in_order(&lingers);
    let rests = site.client();
    let (c, leave) = handed.recv_timeout(LONG).expect("a place where one lingered");
    let mut next = site.client();
    ended_in_order(&rests);
    assert!(!c.owe(false), "taken behind the end");
    drop((c, leave));
    let (c, _leave) = handed.recv_timeout(LONG).expect("a place where one rested");
    next.write_all(b"request").unwrap();
    came(&c);
    // One that asks keeps its place, however many come.
    let _more: Vec<TcpStream> = (0..3).map(|_| site.client()).collect();
    assert!(c.owe(false));
    answer(&c, b"one");
    let mut got = [0; 3];
    next.read_exact(&mut got).unwrap();
}
