//! The state machine that decides when a watch is broken and when a connection is opened anew.
//!
//! A connection that brings no whole line (an empty one counts) for `silent` has fallen silent. It is still listened
//! to, but others are opened beside it, one each `retry.0` at first, until one of them brings a whole line; that one
//! takes over and the rest are closed. A connection whose head has come is given `answer` for its first line before
//! the next one is opened; it is not closed for that, since an agent without news says its first empty line late.
//! What a connection has brought in part counts for nothing: neither half a line nor single bytes hold up the clock.
//!
//! What is opened while the agent answers, and brings its first line within `chance`, is heard: none is closed before
//! for want of room, as long as `most - 1` openings take at least that long.
//!
//! No I/O, no clock, no threads: the same events at the same times give the same actions.
use std::time::Duration;

/// How it is set up.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A connection without a whole line for this long has fallen silent.
    pub silent: Duration,
    /// How long a connection whose head has come may take for its first line before another is opened beside it.
    pub answer: Duration,
    /// Least and longest time between two openings. It is a fixed part of the time without a watch, within these.
    pub retry: (Duration, Duration),
    /// After a move, how long the connection to the old address is listened to beside the new one.
    pub former: Duration,
    /// Connections that may wait for their first line at a time, at least 1.
    pub most: usize,
    /// What a connection may take to come up and bring its first line, and is never closed before for want of room.
    pub chance: Duration,
    /// The eldest gives way too once it has waited this long.
    pub patience: Duration,
}

/// The time between two openings is this part of the time without a watch.
const PART: u32 = 24;

/// What happens. Connections go by the numbers of [`Action::Open`]; events of closed ones change nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The watch is to stand at an address, or at another one from now on.
    Follow,
    /// A connection's request was answered with a good head.
    Head(u64),
    /// A connection has brought a whole line.
    Line {
        /// Which one.
        connection: u64,
        /// Whether it held news; an empty line says that there is none.
        news: bool,
    },
    /// A connection failed, broke, ended or brought what can't be read.
    Ended(u64),
    /// The time of [`Silence::due`] has come.
    Due,
}

/// What is to be done, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the address that is followed, under this number.
    Open(u64),
    /// Close this one.
    Close(u64),
    /// This one has fallen silent (for the log: others follow by [`Action::Open`]).
    Silent(u64),
    /// There is a watch again, after this long without (for the log).
    Back(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    number: u64,
    opened: Duration,
    head: bool,
    /// When its last whole line came.
    heard: Option<Duration>,
    /// It fell silent once. It stays so: what it missed meanwhile may never come on it.
    silent: bool,
    /// Whether it goes to the address that is followed now.
    current: bool,
}

/// The connections of a watch and when they were heard.
#[derive(Debug)]
pub struct Silence {
    settings: Settings,
    connections: Vec<Connection>,
    newest: u64,
    following: bool,
    /// The watch has moved, and the old address's connection may go on until then.
    former_until: Option<Duration>,
    /// Without a watch since then.
    without: Option<Duration>,
    /// No opening before then.
    next: Duration,
    /// When the newest one was opened.
    opened: Option<Duration>,
}

impl Silence {
    /// Nothing is followed yet.
    pub fn new(settings: Settings) -> Self {
        Silence {
            settings,
            connections: Vec::new(),
            newest: 0,
            following: false,
            former_until: None,
            without: None,
            next: Duration::ZERO,
            opened: None,
        }
    }

    /// Whether this connection fell silent once: changes that it brings since then may have others missing before them.
    pub fn fell_silent(&self, number: u64) -> bool {
        self.connections.iter().any(|c| c.number == number && c.silent)
    }

    /// Whether this connection is listened to.
    pub fn listens_to(&self, number: u64) -> bool {
        self.connections.iter().any(|c| c.number == number)
    }

    /// Takes what happened at `now`, a time since any fixed moment, and says what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // Before the event: a line that ends a silence must not hide it, however late this is called.
        for c in &mut self.connections {
            if !c.silent && c.heard.is_some_and(|heard| now >= heard + self.settings.silent) {
                c.silent = true;
                actions.push(Action::Silent(c.number));
            }
        }
        match event {
            Event::Follow => self.follow(now, actions),
            Event::Head(number) => {
                if let Some(c) = self.connections.iter_mut().find(|c| c.number == number) {
                    c.head = true;
                }
            }
            Event::Line { connection, news } => self.line(now, connection, news, actions),
            Event::Ended(number) => self.connections.retain(|c| c.number != number),
            Event::Due => {}
        }
        self.settle(now, actions);
    }

    /// When [`Event::Due`] is to come at the latest; `None` while nothing is followed.
    pub fn due(&self) -> Option<Duration> {
        let silent = self.settings.silent;
        let heard = self.connections.iter().filter(|c| !c.silent).filter_map(|c| Some(c.heard? + silent));
        let opening = self.without.map(|_| self.opening());
        heard.chain(opening).chain(self.former_until.filter(|_| self.spoken())).min()
    }

    /// When the next connection may be opened. While the newest one's first line is due, that is waited for.
    fn opening(&self) -> Duration {
        let newest = self.connections.last().filter(|c| c.number == self.newest && c.current);
        let due = newest.filter(|c| c.head && c.heard.is_none()).map(|c| c.opened + self.settings.answer);
        self.next.max(due.unwrap_or_default())
    }

    /// Whether the address that is followed has brought a line.
    fn spoken(&self) -> bool {
        self.connections.iter().any(|c| c.current && c.heard.is_some())
    }

    fn close(&mut self, actions: &mut Vec<Action>, which: impl Fn(&Connection) -> bool) {
        self.connections.retain(|c| {
            let closes = which(c);
            if closes {
                actions.push(Action::Close(c.number));
            }
            !closes
        });
    }

    fn follow(&mut self, now: Duration, actions: &mut Vec<Action>) {
        // What the old address has still counts until the new one speaks. Where nothing has spoken yet, the newest
        // connection may still do so and stands in.
        let heard = self.connections.iter().filter(|c| c.heard.is_some()).max_by_key(|c| c.heard);
        let keep = heard.or(self.connections.last()).map(|c| c.number);
        self.close(actions, |c| Some(c.number) != keep);
        for c in &mut self.connections {
            c.current = false;
        }
        self.following = true;
        self.former_until = keep.map(|_| now + self.settings.former);
        self.without = Some(now);
        // Moves that come fast, as signals may, open no more connections than an outage does.
        self.next = self.opened.map_or(now, |opened| now.max(opened + self.settings.retry.0));
    }

    fn line(&mut self, now: Duration, number: u64, news: bool, actions: &mut Vec<Action>) {
        let Some(c) = self.connections.iter_mut().find(|c| c.number == number) else { return };
        c.heard = Some(now);
        let (current, silent) = (c.current, c.silent);
        if !current || silent {
            return;
        }
        // It takes over. The old address's connection goes on until the new one has brought news, so that no change
        // is missed between them; behind that its changes could be those of another list.
        let replaced = |c: &Connection| c.current || c.silent || c.heard.is_none() || news;
        self.close(actions, |c| c.number != number && replaced(c));
    }

    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Settings { retry, most, chance, patience, .. } = self.settings;
        if self.former_until.is_some_and(|until| now >= until) && self.spoken() {
            self.former_until = None;
            self.close(actions, |c| !c.current);
        }
        let good = |c: &Connection| c.current && c.heard.is_some() && !c.silent;
        if !self.following {
            return;
        }
        if self.connections.iter().any(good) {
            if let Some(since) = self.without.take() {
                actions.push(Action::Back(now.saturating_sub(since)));
            }
            return;
        }
        let since = *self.without.get_or_insert(now);
        if now < self.opening() {
            return;
        }
        let waiting: Vec<&Connection> = self.connections.iter().filter(|c| c.heard.is_none()).collect();
        if waiting.len() >= most.max(1) {
            // The eldest stays for long, so that an agent that is only slow is heard, but not for good: it may have
            // come up while the agent was away and stay mute. Of the others, those that have a head need longer than
            // those without, which may have no head yet only because they are young.
            let (eldest, younger) = waiting.split_at(1);
            let spent = |c: &&&Connection| !c.head && now >= c.opened + chance;
            let eldest = eldest.first().filter(|c| younger.is_empty() || now >= c.opened + patience);
            let victim = eldest.or(younger.iter().find(spent)).or(younger.first());
            let victim = victim.map(|c| c.number);
            self.close(actions, |c| Some(c.number) == victim);
        }
        self.opened = Some(now);
        self.newest += 1;
        let number = self.newest;
        self.connections.push(Connection {
            number,
            opened: now,
            head: false,
            heard: None,
            silent: false,
            current: true,
        });
        self.next = now + ((now - since) / PART).clamp(retry.0, retry.1.max(retry.0));
        actions.push(Action::Open(number));
    }
}
