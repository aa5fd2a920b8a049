//! The thread that drives a [`Machine`] on one UDP socket.
use crate::change::{Change, Subscribers};
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::machine::{Action, Counters, Event, Machine, TimerToken};
use crate::member::Member;
use crossbeam_channel::{Receiver, Sender, TryRecvError};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum number of datagrams handled before timers are checked again.
const MAX_DATAGRAM_BATCH: usize = 32;
/// After this many consecutive socket errors, membership ends with [`Change::Failed`].
const MAX_SOCKET_ERRORS: u32 = 100;
/// Time, since the start, at which the thread wakes if no timer is set. A started machine always has a timer.
const NO_TIMER_DUE: Duration = Duration::from_secs(1);
/// Minimum wait, because a socket's timeout must not be zero.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// A command from a handle to the thread. Each command is followed by an empty datagram from the waker
/// socket, which ends the thread's wait.
pub(crate) enum Command {
    Subscribe(Sender<Change>),
    Leave,
}

/// State that the thread publishes and handles read.
pub(crate) struct Published {
    pub(crate) members: Vec<Member>,
    pub(crate) counters: Counters,
}

impl Published {
    pub(crate) fn new(local: Member) -> Published {
        Published { members: vec![local], counters: Counters::default() }
    }

    pub(crate) fn lock(published: &Mutex<Published>) -> MutexGuard<'_, Published> {
        published.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The state of the membership thread.
pub(crate) struct Driver {
    socket: UdpSocket,
    /// The waker socket's address. Empty datagrams from this address only wake the thread.
    waker: SocketAddrV4,
    machine: Machine,
    commands: Receiver<Command>,
    published: Arc<Mutex<Published>>,
    /// The time that the machine's durations are counted from.
    started_at: Instant,
    timers: BinaryHeap<Reverse<(Duration, TimerToken)>>,
    subscribers: Subscribers,
    /// The last change for subscribers; set when membership has ended.
    last_change: Option<Change>,
    /// All handles were dropped, so the router leaves.
    handles_dropped: bool,
}

impl Driver {
    pub(crate) fn new(
        socket: UdpSocket,
        waker: SocketAddrV4,
        machine: Machine,
        commands: Receiver<Command>,
        published: Arc<Mutex<Published>>,
    ) -> Driver {
        Driver {
            socket,
            waker,
            machine,
            commands,
            published,
            started_at: Instant::now(),
            timers: BinaryHeap::new(),
            subscribers: Subscribers::default(),
            last_change: None,
            handles_dropped: false,
        }
    }

    /// Runs the thread until membership has ended.
    pub(crate) fn run(mut self, seeds: Vec<SocketAddrV4>) {
        self.handle(Event::Started { seeds });
        let mut socket_errors = 0;
        while self.last_change.is_none() {
            // Timers are handled first. If the process was stopped, the machine detects that from
            // the late timers before it handles the datagrams that were queued during the stop.
            self.handle_due_timers();
            self.handle_commands();
            self.send_snapshots();
            self.publish_counters();
            // A timer or a command may have ended membership.
            if self.last_change.is_some() {
                break;
            }
            match self.receive() {
                Ok(()) => socket_errors = 0,
                Err(error) => {
                    socket_errors += 1;
                    tracing::warn!(%error, "membership socket failed");
                    if socket_errors >= MAX_SOCKET_ERRORS {
                        self.last_change = Some(Change::Failed);
                    }
                }
            }
        }
        self.finish();
    }

    /// Publishes the final counters, logs the end of membership, and sends the last change to all
    /// subscribers.
    fn finish(mut self) {
        self.publish_counters();
        let last = self.last_change.take().unwrap_or(Change::Left);
        let (counters, uptime) = (self.machine.counters(), self.started_at.elapsed());
        tracing::info!(reason = ?last, ?uptime, ?counters, "membership ended");
        // Commands that are still queued get no response; their senders see the channel disconnect.
        self.subscribers.finish(&last);
    }

    fn publish_counters(&self) {
        Published::lock(&self.published).counters = self.machine.counters();
    }

    fn next_due(&self) -> Option<Duration> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }

    fn handle_due_timers(&mut self) {
        while let Some(Reverse((due, token))) = self.timers.peek().copied() {
            if due > self.started_at.elapsed() {
                return;
            }
            self.timers.pop();
            self.handle(Event::Timer(token));
        }
    }

    fn handle_commands(&mut self) {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Subscribe(sender)) => self.subscribers.add(sender),
                Ok(Command::Leave) => self.handle(Event::Leave),
                Err(TryRecvError::Disconnected) if !self.handles_dropped => {
                    self.handles_dropped = true;
                    self.handle(Event::Leave);
                }
                Err(_) => return,
            }
        }
    }

    /// Waits for datagrams until the next timer is due, and handles up to [`MAX_DATAGRAM_BATCH`] of them.
    fn receive(&mut self) -> io::Result<()> {
        let next = self.next_due().unwrap_or(NO_TIMER_DUE);
        let wait = next.saturating_sub(self.started_at.elapsed()).max(MIN_WAIT);
        self.socket.set_read_timeout(Some(wait))?;
        // The buffer is one byte longer than the limit, so that longer datagrams are detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAM_BATCH {
            match self.socket.recv_from(&mut buffer) {
                Ok((0, SocketAddr::V4(from))) if from == self.waker => return Ok(()),
                Ok((length, SocketAddr::V4(from))) => {
                    self.handle(Event::Datagram { from, bytes: buffer[..length].to_vec() });
                }
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if is_wait_timeout(&error) => return Ok(()),
                Err(error) => return Err(error),
            }
            let timer_due = self.next_due().is_some_and(|due| due <= self.started_at.elapsed());
            if timer_due || self.last_change.is_some() || !self.commands.is_empty() {
                return Ok(());
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        let now = self.started_at.elapsed();
        let mut actions = Vec::new();
        self.machine.handle(now, event, &mut actions);
        // Publishes the list before subscribers receive the changes, so that the list is never older than a
        // received change.
        if actions.iter().any(|action| !matches!(action, Action::Send { .. } | Action::SetTimer { .. })) {
            Published::lock(&self.published).members = self.all_members();
        }
        for action in actions {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Duration, action: Action) {
        match action {
            // A send error is ignored like a lost datagram, since the protocol repeats its messages.
            Action::Send { to, bytes } => _ = self.socket.send_to(&bytes, to),
            Action::SetTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::Up(member) => self.publish(&Change::Up(member)),
            Action::Down(member) => self.publish(&Change::Down(member)),
            Action::Rejoined(local) => self.publish(&Change::Rejoined(local)),
            Action::Superseded(by) => self.last_change = Some(Change::Superseded(by)),
            Action::Left => self.last_change = Some(Change::Left),
        }
    }

    /// All live members: this router first, the remaining members ordered by name.
    fn all_members(&self) -> Vec<Member> {
        std::iter::once(self.machine.local()).chain(self.machine.members()).cloned().collect()
    }

    fn publish(&mut self, change: &Change) {
        tracing::info!(?change, "membership changed");
        self.subscribers.publish(change);
    }

    fn send_snapshots(&mut self) {
        if self.subscribers.any_needs_snapshot() {
            let members = self.all_members();
            self.subscribers.send_snapshot(&members);
        }
    }
}

/// Whether the error means that no datagram was received within the wait, or that a signal interrupted it.
fn is_wait_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
