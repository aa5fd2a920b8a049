//! Watches the list of servers: one HTTP request whose chunked answer stays open and carries a line of JSON for
//! each change. A watch that breaks or falls silent is opened anew where it ended. The watch can move to another
//! address: the old one goes on until the new one has brought something, so that no change is missed between them.
pub mod entries;

use http1::Answer;
use routing::{ListHandle, spawn};
use settings::Limits;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

/// Which watches run, by their numbers.
#[derive(Default)]
struct Running {
    /// The newest one.
    newest: u64,
    /// The one that was last to take over; it goes on until a newer one does.
    active: u64,
    /// The connections at hand.
    sockets: Vec<(u64, TcpStream)>,
}

impl Running {
    fn wanted(&self, number: u64) -> bool {
        number == self.newest || number == self.active
    }

    /// Closes the connections of watches that nobody wants any more; their threads end.
    fn tidy(&mut self) {
        let (newest, active) = (self.newest, self.active);
        self.sockets.retain(|(n, socket)| {
            let wanted = *n == newest || *n == active;
            if !wanted {
                // An error means that it is closed already.
                _ = socket.shutdown(Shutdown::Both);
            }
            wanted
        });
    }
}

/// The watch, wherever it stands.
#[derive(Clone)]
pub struct Watch {
    zones: Vec<String>,
    limits: Arc<Limits>,
    list: ListHandle,
    running: Arc<Mutex<Running>>,
}

impl Watch {
    /// A watch that is nowhere yet. News goes to the list's actor, which holds the version to resume at.
    pub fn new(zones: Vec<String>, limits: Arc<Limits>, list: ListHandle) -> Self {
        Watch { zones, limits, list, running: Arc::default() }
    }

    /// Watches this address from now on.
    pub fn follow(&self, addr: SocketAddr) -> io::Result<()> {
        let number = {
            let mut running = self.running();
            let (active, newest) = (running.active, running.newest);
            // One that has brought nothing yet may still do so: it stands in where there is no other.
            if !running.sockets.iter().any(|(n, _)| *n == active) {
                running.active = newest;
            }
            running.newest += 1;
            running.tidy();
            running.newest
        };
        let watch = self.clone();
        spawn("discovery", self.limits.stack_bytes, move || watch.run(addr, number))
    }

    fn running(&self) -> MutexGuard<'_, Running> {
        self.running.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn run(&self, addr: SocketAddr, number: u64) {
        let mut reader = entries::Reader::new(self.zones.clone());
        let mut pause = self.limits.watch_retry.0;
        loop {
            let mut heard = false;
            let ended = self.stream(addr, number, &mut reader, &mut heard);
            self.running().sockets.retain(|(n, _)| *n != number);
            if heard {
                pause = self.limits.watch_retry.0;
            }
            // One that was replaced, or whose place is about to be taken, is not opened anew.
            if self.running().newest != number {
                return;
            }
            match ended {
                Ok(false) => return,
                Ok(true) => tracing::warn!("discovery: the watch ended"),
                Err(e) => tracing::warn!("discovery: the watch broke: {e}"),
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(self.limits.watch_retry.1);
        }
    }

    /// Follows one connection to its end; `Ok(false)` when nobody takes the news any more.
    fn stream(
        &self,
        addr: SocketAddr,
        number: u64,
        reader: &mut entries::Reader,
        heard: &mut bool,
    ) -> io::Result<bool> {
        let mut socket = TcpStream::connect_timeout(&addr, self.limits.watch_connect)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(self.limits.watch_silent))?;
        socket.set_write_timeout(Some(self.limits.watch_silent))?;
        {
            let mut running = self.running();
            running.sockets.push((number, socket.try_clone()?));
            running.tidy();
        }
        let version = self.list.version();
        write!(socket, "GET /v1/servers?stream=1&index={version} HTTP/1.1\r\nHost: {addr}\r\n\r\n")?;
        let answer = Answer::read(BufReader::with_capacity(8192, socket), self.limits.list_bytes)?;
        if answer.code != 200 {
            return Err(io::Error::other(format!("expected status 200, found {}", answer.code)));
        }
        let mut body = answer.body;
        let mut line = Vec::new();
        while body.line(&mut line)? {
            if !std::mem::replace(heard, true) {
                let mut running = self.running();
                if running.newest == number && running.active != number {
                    running.active = number;
                    running.tidy();
                }
            }
            if !self.running().wanted(number) {
                return Ok(true);
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            let news = reader.read(&line).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            if !self.list.tell(news) {
                return Ok(false);
            }
        }
        Ok(true)
    }
}
