//! Hundreds of clients that write and read slowly, driven by a few threads.
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which each client writes and reads.
const TICK: Duration = Duration::from_millis(20);
/// Clients that one thread drives.
const CLIENTS_PER_THREAD: usize = 50;
/// Receive buffer of a client's socket, in bytes. A small one keeps unread responses in the router.
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Text in a request that is replaced by another number in each request, of as many digits.
pub(crate) const ID_PLACEHOLDER: &str = "##########";

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// What each client of a crowd does: it connects again when its connection ends.
#[derive(Clone)]
pub(crate) struct ClientPlan {
    /// Bytes that are sent after connecting.
    pub(crate) login: Vec<u8>,
    /// Bytes that are sent after the login, again and again.
    pub(crate) request: Vec<u8>,
    /// Bytes of each request that are sent at once.
    pub(crate) sent_at_once: usize,
    /// Bytes of the rest of a request that are sent with each tick; 0 stops in the middle of it.
    pub(crate) sent_per_tick: usize,
    /// Bytes of responses that are read with each tick.
    pub(crate) read_per_tick: usize,
    /// Bytes that have to be read before the next request is sent; 0 sends requests ahead of their responses.
    pub(crate) response_bytes: usize,
}

/// Runs this many clients until the deadline, in the background.
pub(crate) fn start_crowd(
    addr: SocketAddr,
    clients: usize,
    plan: &ClientPlan,
    deadline: Instant,
) -> Vec<JoinHandle<()>> {
    let threads = clients.div_ceil(CLIENTS_PER_THREAD);
    (0..threads)
        .map(|thread| {
            let (plan, count) = (plan.clone(), CLIENTS_PER_THREAD.min(clients - thread * CLIENTS_PER_THREAD));
            std::thread::spawn(move || run_clients(addr, count, &plan, deadline))
        })
        .collect()
}

fn run_clients(addr: SocketAddr, count: usize, plan: &ClientPlan, deadline: Instant) {
    let mut clients: Vec<SlowClient> = (0..count).map(|_| SlowClient::default()).collect();
    while Instant::now() < deadline {
        let next_tick = Instant::now() + TICK;
        for client in &mut clients {
            client.tick(addr, plan);
        }
        std::thread::sleep(next_tick.saturating_duration_since(Instant::now()));
    }
}

#[derive(Default)]
struct SlowClient {
    socket: Option<TcpStream>,
    /// Bytes of the login that have been sent.
    login_sent: usize,
    /// The current request.
    request: Vec<u8>,
    /// Bytes of the current request that have been sent.
    request_sent: usize,
    /// Bytes that were read since the last request began.
    read: usize,
}

impl SlowClient {
    fn tick(&mut self, addr: SocketAddr, plan: &ClientPlan) {
        if self.socket.is_none() {
            *self = SlowClient {
                socket: connect(addr),
                request: numbered(&plan.request),
                ..SlowClient::default()
            };
        }
        if !(self.write(plan) && self.read(plan)) {
            self.socket = None;
        }
    }

    /// Writes what the plan allows for this tick; returns `false` if the connection has ended.
    fn write(&mut self, plan: &ClientPlan) -> bool {
        let Some(mut socket) = self.socket.as_ref() else { return true };
        let mut allowed = if self.request_sent == 0 { plan.sent_at_once } else { plan.sent_per_tick };
        while self.login_sent < plan.login.len() {
            match socket.write(&plan.login[self.login_sent..]) {
                Ok(count) => self.login_sent += count,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        while allowed > 0 {
            let end = self.request.len().min(self.request_sent + allowed);
            match socket.write(&self.request[self.request_sent..end]) {
                Ok(0) => {}
                Ok(count) => {
                    self.request_sent += count;
                    allowed -= count;
                }
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
            if self.request_sent == self.request.len() {
                if self.read < plan.response_bytes {
                    return true;
                }
                (self.request_sent, self.read) = (0, 0);
                self.request = numbered(&plan.request);
                allowed = 0;
            }
        }
        true
    }

    /// Reads what the plan allows for this tick; returns `false` if the connection has ended.
    fn read(&mut self, plan: &ClientPlan) -> bool {
        let Some(mut socket) = self.socket.as_ref() else { return true };
        let mut buffer = vec![0; plan.read_per_tick];
        if buffer.is_empty() {
            return true;
        }
        match socket.read(&mut buffer) {
            Ok(0) => false,
            Ok(count) => {
                self.read += count;
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Returns the request with a number of its own.
fn numbered(request: &[u8]) -> Vec<u8> {
    let placeholder = ID_PLACEHOLDER.as_bytes();
    let mut request = request.to_vec();
    if let Some(at) = request.windows(placeholder.len()).rposition(|window| window == placeholder) {
        let number = format!("{:010}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        request[at..at + number.len()].copy_from_slice(number.as_bytes());
    }
    request
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(&addr.into()).ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(socket.into())
}
