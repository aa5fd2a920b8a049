//! Light MySQL clients: a few threads send all requests at the times that were decided before, over a few connections to
//! each router, one request at a time on each. What waits for a connection counts from when it was due.
use crate::history::{Micros, Outcome, Request};
use crate::plan::Plan;
use crate::servers::{read_all, take_packet, write_some};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// A client waits this long for an answer: more than every class's deadline,
const PATIENCE: Duration = Duration::from_millis(3500);
/// and this long for a connection that is free.
const WAITS: Duration = Duration::from_secs(2);
/// Between two tries to connect.
const AGAIN: Duration = Duration::from_millis(50);
/// The longest sleep.
const TICK: Duration = Duration::from_millis(10);

/// Where the routers listen on 127.0.0.1; 0 while one is down.
pub type Ports = Arc<Vec<AtomicU16>>;

/// One request that is to be sent.
#[derive(Clone, Debug)]
struct Due {
    id: u64,
    at: Duration,
    router: usize,
    tenant: usize,
    write: bool,
    text: String,
}

/// All requests of a plan, at random times that its seed decides.
fn drawn(plan: &Plan) -> Vec<Due> {
    let (mut rng, mut due) = (fastrand::Rng::with_seed(plan.seed), Vec::new());
    for load in plan.load.iter().filter(|l| l.rate > 0.0) {
        let tenant = plan.tenant.iter().position(|t| t.name == load.tenant).unwrap_or(0);
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.f64()).ln() / load.rate;
            if at >= plan.seconds {
                break;
            }
            let (router, write) = (rng.usize(0..load.routers(plan.routers)), rng.f64() < load.writes);
            let (group, text) = (rng.usize(0..plan.group.len()), String::new());
            due.push((group, Due { id: 0, at: Duration::from_secs_f64(at), router, tenant, write, text }));
        }
    }
    due.sort_by_key(|(_, d)| d.at);
    for (n, (group, d)) in due.iter_mut().enumerate() {
        (d.id, d.text) = (n as u64 + 1, String::new());
        let comment = |class| format!("/* c={class},cluster={group},t={} */", plan.tenant[d.tenant].name);
        d.text = match d.write {
            true => format!("INSERT INTO basket VALUES ('{}') {}", d.id, comment("basket-add")),
            false => format!("SELECT n FROM basket WHERE k = '{}' {}", d.id, comment("basket-read")),
        };
    }
    due.into_iter().map(|(_, d)| d).collect()
}

/// What came of a load.
#[derive(Default)]
pub struct Done {
    /// Each request, ended.
    pub requests: Vec<Request>,
    /// Answers that nobody waited for, by router.
    pub strays: Vec<(usize, Micros)>,
}

/// A load under way.
pub struct Running {
    threads: Vec<std::thread::JoinHandle<io::Result<Done>>>,
}

impl Running {
    /// Waits for its end, which comes when each request has ended.
    ///
    /// # Errors
    /// Where a thread could not poll.
    pub fn done(self) -> io::Result<Done> {
        let mut all = Done::default();
        for thread in self.threads {
            let ended = thread.join().map_err(|_| io::Error::other("a load thread broke"))??;
            all.requests.extend(ended.requests);
            all.strays.extend(ended.strays);
        }
        all.requests.sort_by_key(|r| r.id);
        Ok(all)
    }
}

/// Starts a plan's load at `begin`; times count from `epoch`.
///
/// # Errors
/// Where no thread can be had.
pub fn start(plan: &Plan, ports: &Ports, epoch: Instant, begin: Instant) -> io::Result<Running> {
    let mut parts: Vec<VecDeque<Due>> = vec![VecDeque::new(); plan.load_threads];
    for due in drawn(plan) {
        parts[due.router % plan.load_threads].push_back(due);
    }
    let mut threads = Vec::new();
    for (n, due) in parts.into_iter().enumerate() {
        let own = (n..plan.routers).step_by(plan.load_threads).collect::<Vec<_>>();
        let mut part = Part {
            ports: ports.clone(),
            epoch,
            begin,
            due,
            step: plan.load_threads,
            queues: vec![VecDeque::new(); own.len()],
            conns: Vec::new(),
            per: plan.connections,
            poll: Poll::new()?,
            done: Done::default(),
        };
        let again = Instant::now();
        let conns = own.iter().flat_map(|r| std::iter::repeat_n(*r, plan.connections));
        part.conns.extend(conns.map(|router| Conn { router, state: State::Down, again, ..Conn::default() }));
        let thread = std::thread::Builder::new().name("load".into()).stack_size(512 << 10);
        threads.push(thread.spawn(move || part.run())?);
    }
    Ok(Running { threads })
}

#[derive(Default)]
enum State {
    #[default]
    Down,
    /// Greeted next, let in after that.
    Greeting,
    Entering,
    Idle,
    Busy(Due, Instant),
}

struct Conn {
    router: usize,
    stream: Option<TcpStream>,
    read: Vec<u8>,
    write: Vec<u8>,
    answer: Vec<Vec<u8>>,
    state: State,
    again: Instant,
}

impl Default for Conn {
    fn default() -> Self {
        let (read, write, answer) = Default::default();
        Conn { router: 0, stream: None, read, write, answer, state: State::Down, again: Instant::now() }
    }
}

/// One thread's part: the routers whose number leaves its own when divided by the number of threads.
struct Part {
    ports: Ports,
    epoch: Instant,
    begin: Instant,
    due: VecDeque<Due>,
    step: usize,
    /// What waits for a connection, by router.
    queues: Vec<VecDeque<Due>>,
    /// `per` of them for each router, in the routers' order.
    conns: Vec<Conn>,
    per: usize,
    poll: Poll,
    done: Done,
}

/// The login of a user with an empty password.
fn login() -> Vec<u8> {
    let flags: u32 = 1 << 3 | 1 << 9 | 1 << 13 | 1 << 15 | 1 << 19;
    let texts = b"load\0\0shop\0mysql_native_password\0";
    let login = [&flags.to_le_bytes()[..], &(1u32 << 24).to_le_bytes(), &[45], &[0; 23], texts].concat();
    test_servers::wire::packets(1, &[&login])
}

/// What an answer's packets say so far: `None` where more follows, else an error's code, and the id of a row.
fn answered(packets: &[Vec<u8>]) -> Option<(u16, Option<u64>)> {
    let eof = |p: &&Vec<u8>| p.first() == Some(&0xfe) && p.len() < 9;
    match packets.first()?.first() {
        Some(0) | None => Some((0, None)),
        Some(0xff) => Some((packets[0].get(1..3).map_or(1, |c| u16::from_le_bytes([c[0], c[1]])), None)),
        Some(columns) => {
            if let Some(error) = packets.last().filter(|p| packets.len() > 1 && p.first() == Some(&0xff)) {
                return Some((error.get(1..3).map_or(1, |c| u16::from_le_bytes([c[0], c[1]])), None));
            }
            if packets.iter().filter(eof).count() < 2 {
                return None;
            }
            let row = packets.get(usize::from(*columns) + 2)?;
            let cell = row.split_first().and_then(|(n, rest)| rest.get(..usize::from(*n)));
            Some((0, cell.and_then(|c| std::str::from_utf8(c).ok()).and_then(|c| c.parse().ok())))
        }
    }
}

impl Part {
    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.epoch).as_micros() as Micros
    }

    fn end(&mut self, due: &Due, sent: Option<Instant>, outcome: Outcome, code: u16) {
        let ended = self.micros(Instant::now());
        self.done.requests.push(Request {
            id: due.id,
            due: self.micros(self.begin + due.at),
            sent: sent.map(|at| self.micros(at)),
            ended,
            router: due.router,
            tenant: due.tenant,
            write: due.write,
            outcome,
            code,
        });
    }

    fn run(mut self) -> io::Result<Done> {
        let mut events = Events::with_capacity(256);
        loop {
            let now = Instant::now();
            while self.due.front().is_some_and(|d| self.begin + d.at <= now) {
                let Some(due) = self.due.pop_front() else { break };
                self.queues[due.router / self.step].push_back(due);
            }
            self.tend(now);
            let busy = self.conns.iter().any(|c| matches!(c.state, State::Busy(..)));
            if self.due.is_empty() && !busy && self.queues.iter().all(VecDeque::is_empty) {
                return Ok(self.done);
            }
            let next = self.due.front().map_or(TICK, |d| (self.begin + d.at).saturating_duration_since(now));
            match self.poll.poll(&mut events, Some(next.min(TICK))) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                self.hear(event.token().0);
            }
        }
    }

    /// Connects what is down, sends what waits, and gives up what has waited too long.
    fn tend(&mut self, now: Instant) {
        for n in 0..self.conns.len() {
            let over = matches!(&self.conns[n].state, State::Busy(_, sent) if now > *sent + PATIENCE);
            if over {
                self.drop_conn(n, Outcome::Unanswered);
            }
            if matches!(self.conns[n].state, State::Down) && self.conns[n].again <= now {
                self.connect(n, now);
            }
            if matches!(self.conns[n].state, State::Idle)
                && let Some(due) = self.queues[n / self.per].pop_front()
            {
                self.send(n, due, now);
            }
        }
        for queue in 0..self.queues.len() {
            while self.queues[queue].front().is_some_and(|d| self.begin + d.at + WAITS < now) {
                if let Some(due) = self.queues[queue].pop_front() {
                    self.end(&due, None, Outcome::Unsent, 0);
                }
            }
        }
    }

    fn connect(&mut self, n: usize, now: Instant) {
        let conn = &mut self.conns[n];
        conn.again = now + AGAIN;
        let port = self.ports[conn.router].load(Ordering::Relaxed);
        let at = SocketAddr::from(([127, 0, 0, 1], port));
        if port == 0 {
            return;
        }
        if let Ok(mut stream) = TcpStream::connect(at) {
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(n), interest).is_ok() {
                conn.read.clear();
                conn.write.clear();
                conn.answer.clear();
                (conn.stream, conn.state) = (Some(stream), State::Greeting);
            }
        }
    }

    fn send(&mut self, n: usize, due: Due, now: Instant) {
        let conn = &mut self.conns[n];
        let command = [&[3], due.text.as_bytes()].concat();
        conn.write.extend(test_servers::wire::packets(0, &[&command]));
        conn.state = State::Busy(due, now);
        if !conn.stream.as_mut().is_some_and(|s| write_some(s, &mut conn.write)) {
            self.drop_conn(n, Outcome::Lost);
        }
    }

    /// Closes a connection; what was under way on it ends so.
    fn drop_conn(&mut self, n: usize, outcome: Outcome) {
        let conn = &mut self.conns[n];
        conn.stream = None;
        conn.again = Instant::now() + AGAIN;
        if let State::Busy(due, sent) = std::mem::take(&mut conn.state) {
            self.end(&due, Some(sent), outcome, 0);
        }
    }

    fn hear(&mut self, n: usize) {
        let conn = &mut self.conns[n];
        let Some(stream) = conn.stream.as_mut() else { return };
        // A refused connection shows itself at the first read.
        let open = read_all(stream, &mut conn.read);
        while let Some(packet) = take_packet(&mut self.conns[n].read) {
            if !self.packet(n, packet) {
                return self.drop_conn(n, Outcome::Lost);
            }
        }
        let conn = &mut self.conns[n];
        let written = conn.stream.as_mut().is_some_and(|s| write_some(s, &mut conn.write));
        if !open || !written {
            return self.drop_conn(n, Outcome::Lost);
        }
        if matches!(conn.state, State::Idle)
            && let Some(due) = self.queues[n / self.per].pop_front()
        {
            self.send(n, due, Instant::now());
        }
    }

    /// Takes one packet; `false` where the connection is of no use any more.
    fn packet(&mut self, n: usize, packet: Vec<u8>) -> bool {
        let conn = &mut self.conns[n];
        match &conn.state {
            State::Greeting => {
                if packet.first() != Some(&10) {
                    return false;
                }
                conn.write.extend(login());
                conn.state = State::Entering;
            }
            State::Entering => {
                if packet.first() != Some(&0) {
                    return false;
                }
                conn.state = State::Idle;
            }
            State::Busy(..) => {
                conn.answer.push(packet);
                let Some((code, id)) = answered(&conn.answer) else { return true };
                conn.answer.clear();
                let State::Busy(due, sent) = std::mem::replace(&mut conn.state, State::Idle) else {
                    return true;
                };
                let outcome = match code {
                    0 => Outcome::Served,
                    1040 => Outcome::Refused,
                    _ => Outcome::Failed,
                };
                if outcome == Outcome::Served && !due.write && id != Some(due.id) {
                    let at = self.micros(Instant::now());
                    self.done.strays.push((due.router, at));
                }
                self.end(&due, Some(sent), outcome, code);
            }
            State::Idle | State::Down => {
                // A server that lets a client go may say so first, as an error numbered 0.
                if packet.first() == Some(&0xff) {
                    return false;
                }
                let stray = (conn.router, self.micros(Instant::now()));
                self.done.strays.push(stray);
            }
        }
        true
    }
}
