//! Every size, count and time that bounds the program, in one type that is filled at start and handed down.
use std::time::Duration;
use thiserror::Error;

/// The bounds of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Stack of a thread that talks on one socket.
    pub stack_bytes: usize,
    /// Longest message that is read from a client or from an instance.
    pub message_bytes: usize,
    /// Longest value that the platform's instances give.
    pub value_bytes: usize,
    /// What all clients' long messages and open requests may hold together.
    pub client_bytes: usize,
    /// Longest answer that is taken from a server, all its packets together.
    pub answer_bytes: usize,
    /// Statements that one client may have prepared.
    pub statements_per_client: usize,
    /// Statements that stay prepared on one server connection.
    pub statements_per_link: usize,
    /// How far the clocks of servers and router may differ: a commit counts as this much later.
    pub clock_skew: Duration,
    /// What is added to the machine's clock, in microseconds.
    pub clock_offset_us: i64,
    /// How often servers are asked for their clocks.
    pub clock_pause: Duration,
    /// How soon again where one can't be asked.
    pub clock_retry: Duration,
    /// Sessions that are remembered one by one where the operator's file says nothing of them.
    pub sessions_alone: usize,
    /// Longest answer of a registry, or line of a watch.
    pub registry_bytes: usize,
    /// Keys in one page that is read from a registry.
    pub registry_page: usize,
    /// A registry's answer that brings nothing for this long has failed.
    pub registry_silent: Duration,
    /// A watch that is quiet for this long is checked by a read beside it.
    pub registry_quiet: Duration,
    /// How long a registry may hold a blocking query.
    pub registry_wait: Duration,
    /// First and longest pause before a member of a registry that failed is asked again.
    pub registry_retry: (Duration, Duration),
    /// Changes of a registry that come within this time of each other reach the list together; drains never wait.
    pub registry_gather: Duration,
    /// How often the last list is written to disk at most.
    pub registry_keep: Duration,
    /// Commits that are held for an instance that comes back: one that missed more is told all.
    pub session_resume: usize,
    /// Sessions in one frame between instances.
    pub session_chunk: usize,
    /// Longest frame between instances.
    pub session_frame_bytes: usize,
    /// Frames that wait for one peer instance before it is let go.
    pub session_queue: usize,
    /// A peer instance that says nothing, or takes nothing, for this long is let go.
    pub session_silent: Duration,
    /// Least size at which a journal of sessions is written anew.
    pub session_compact_bytes: u64,
    /// How long after a failure the disk is tried again.
    pub session_disk_retry: Duration,
    /// Longest line that discovery may send.
    pub list_bytes: usize,
    /// Client connections that may be open at a time.
    pub client_connections: usize,
    /// Connections that may be open to all instances together.
    pub link_connections: usize,
    /// Descriptors that are neither clients' nor links': so many may be open beside all of these.
    pub set_aside: usize,
    /// Connections that may be open to one instance.
    pub links_per_peer: usize,
    /// Requests that one client connection may have written ahead of its answers.
    pub pipelined: usize,
    /// Messages that wait for an actor.
    pub mailbox: usize,
    /// A connection to an instance that is not made within this time has failed.
    pub connect: Duration,
    /// A probe without an answer after this time has timed out.
    pub probe: Duration,
    /// A connection to an instance is retired after this time without a request, well before the instance would.
    pub link_idle: Duration,
    /// One that has rested this long is asked across before a request goes out on it: whatever lies between may
    /// have forgotten it sooner, and the request would be lost.
    pub link_trust: Duration,
    /// How long that answer is waited for.
    pub link_check: Duration,
    /// A client's startup has to be whole this long after it connected;
    pub client_start: Duration,
    /// where room is wanted, one that has made no request and nothing is owed to for this long is let go.
    pub client_start_least: Duration,
    /// A client has to ask something this long after it connected.
    pub client_first: Duration,
    /// A command has to come whole within this time of its first byte.
    pub client_message: Duration,
    /// A connection without a request is let go after this time;
    pub client_idle: Duration,
    /// where most of the connections that the platform's front deals out are taken, after this one,
    pub client_idle_crowded: Duration,
    /// and so many does it deal out for requests.
    pub client_share: usize,
    /// How often a client whose request is open is looked at: whether it asks more, or has left.
    pub client_watch: Duration,
    /// How long to wait before room is looked for again.
    pub client_room: Duration,
    /// where room is wanted, after this one already.
    pub client_idle_least: Duration,
    /// A link that has rested this long is let go when descriptors run short.
    pub link_idle_least: Duration,
    /// How long a link rests after an answer before it is looked at and used again: what an instance sends behind
    /// an answer would otherwise be taken for the next one.
    pub link_settle: Duration,
    /// How long an instance may take from a whole row, or a whole error, to the end of its answer: one that hangs
    /// there must not keep a client from what has come. Never more than half of the time that is left.
    pub answer_settle: Duration,
    /// A client that takes none of its answer for this long is given up.
    pub client_write: Duration,
    /// How long a link listens on after the module has stopped waiting, should nobody close it.
    pub link_backstop: Duration,
    /// Stack of the module's thread.
    pub module_stack_bytes: usize,
    /// After SIGTERM, new connections and requests are taken as before for this long.
    pub shutdown_grace: Duration,
    /// After SIGTERM, clients that ask without a pause are read this long: what was read has its whole time yet.
    pub shutdown_last: Duration,
    /// After SIGTERM, the program ends at the latest after this time.
    pub shutdown_most: Duration,
    /// From the start of a drain by hand, connections are let go as they fall quiet: by then new ones come no more,
    pub drain_quiet: Duration,
    /// and clients that ask without a pause are read no further.
    pub drain_last: Duration,
    /// While clients are let go, one that has just connected is given this long to ask.
    pub client_greeted: Duration,
    /// How long an ended connection over unread bytes is kept from a reset that could take its last answer along.
    pub client_linger: Duration,
    /// How much that still comes is read meanwhile, to nobody.
    pub client_linger_bytes: usize,
    /// Operators that may call at a time.
    pub door_callers: usize,
    /// Their longest line.
    pub door_line_bytes: usize,
    /// How long one may take over it.
    pub door_patience: Duration,
    /// Instances that may be held by hand at a time.
    pub holds: usize,
    /// How long one that was given back is remembered as cold from then on: longer than any takes to warm up.
    pub hold_cold: Duration,
    /// How often what the router's other process keeps is looked at: well within the grace of a drain.
    pub holds_look: Duration,
    /// How long a start waits for the first news of discovery before it takes clients with the list of its configuration.
    pub watch_first: Duration,
    /// A connection to discovery that is not made within this time has failed.
    pub watch_connect: Duration,
    /// A watch of discovery without a whole line, not even an empty one, for this long is broken: another is opened
    /// beside it. Discovery sends an empty line every 2 s; what a silent watch misses counts as told after 6 s.
    pub watch_silent: Duration,
    /// How long a new watch whose head has come may take for its first line before another is opened beside it.
    pub watch_answer: Duration,
    /// Shortest and longest time between two openings while there is no watch.
    pub watch_retry: (Duration, Duration),
    /// After a move to another address, how long the old one is listened to beside the new one, which counts as
    /// told by then.
    pub watch_former: Duration,
    /// Connections of the watch that may wait for their first line at a time.
    pub watch_most: usize,
    /// The eldest of them gives way to others once it has waited this long.
    pub watch_patience: Duration,
    /// What discovery has counts as told this long after it could be reached, or after its watch fell silent.
    pub watch_told: Duration,
    /// So much of that is left for a busy processor, and for the way from the watch to the module.
    pub watch_margin: Duration,
}

/// Why the bounds of discovery's watch don't go together.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// News may come too late.
    #[error(
        "a change would be heard {sum:?} after discovery has it, later than {told:?} less the margin of {margin:?}: shorten watch_silent, watch_retry, watch_connect or watch_answer"
    )]
    Late {
        /// The longest it may take.
        sum: Duration,
        /// When it counts as told.
        told: Duration,
        /// What has to be left of that.
        margin: Duration,
    },
    /// News of another address may come too late.
    #[error(
        "after a move a change would be heard after {sum:?}, later than watch_former ({former:?}) less the margin of {margin:?}: shorten watch_retry, watch_connect or watch_answer"
    )]
    Moved {
        /// The longest it may take.
        sum: Duration,
        /// When the new address counts as told.
        former: Duration,
        /// What has to be left of that.
        margin: Duration,
    },
    /// Discovery says an empty line each so often, which must not look like silence.
    #[error(
        "watch_silent is {silent:?}, expected more than {pause:?}, in which discovery may have nothing to say"
    )]
    Hasty {
        /// When a watch counts as silent.
        silent: Duration,
        /// How long one that is not may say nothing.
        pause: Duration,
    },
    /// A new watch would be closed for others before it can speak.
    #[error(
        "a new watch would give way to others after {after:?}, before watch_connect and watch_answer ({chance:?}) are over: raise watch_most or watch_retry"
    )]
    Crowded {
        /// When it may have to give way.
        after: Duration,
        /// What it needs.
        chance: Duration,
    },
}

/// Discovery says an empty line this often where it has no news.
const EMPTY_LINE: Duration = Duration::from_secs(2);

/// After SIGTERM, the front learns for this long that the router is going.
const GRACE: Duration = Duration::from_millis(500);
/// Behind it, connections are let go as they fall quiet for this long at least, before any is ended over what its client
/// may have asked.
const QUIET: Duration = Duration::from_millis(150);

/// What may be open beside the connections of clients and to instances, all at the same moment.
mod aside {
    const STREAMS: usize = 3;
    /// Its accepting thread has a handle of its own.
    const LISTENER: usize = 2;
    /// A client that is accepted waits here for its room.
    const NEWCOMER: usize = 1;
    /// What tells of clients that leave.
    const POLL: usize = 1;
    const SIGNALS: usize = 2;
    /// The configuration, while SIGHUP has it read.
    const FILE: usize = 1;
    /// Wakes the accepting thread at the end.
    const WAKE: usize = 1;
    /// Connections of the watch that wait for their first line.
    pub const WATCHES: usize = 6;
    /// Beside those that wait: one that fell silent, and after a move the old address's. Each may have been closed
    /// and its reader not be gone yet while another stands in its place.
    const WATCH: usize = 2 * (WATCHES + 2);
    /// Clients and links that count no more, whose last handle a thread is about to drop.
    const ENDING: usize = 6;
    /// What the system's libraries open in passing.
    const PASSING: usize = 7;
    pub const ROUTER: usize =
        STREAMS + LISTENER + NEWCOMER + POLL + SIGNALS + FILE + WAKE + WATCH + ENDING + PASSING;
    /// With the operators' door: its listener and poll, a caller over the bound, and of what is held by hand the kept
    /// file, its lock, the next one, the folder, this process's mark and another's.
    pub const DOOR: usize = 3 + 6;
}

/// What clients and links get of so many descriptors.
fn share(sockets: usize, aside: usize) -> (usize, usize) {
    let free = sockets.saturating_sub(aside).max(12);
    (free * 3 / 4, free / 4)
}

impl Limits {
    /// The bounds for a process that may hold `sockets` descriptors and `memory` bytes and whose instances close a connection
    /// left idle for `keepalive`.
    pub fn new(
        sockets: usize,
        memory: usize,
        connect: Duration,
        keepalive: Duration,
        longest_deadline: Duration,
    ) -> Self {
        let set_aside = aside::ROUTER;
        let (client_connections, link_connections) = share(sockets, set_aside);
        let most = longest_deadline.max(Duration::from_secs(3)) + GRACE;
        Limits {
            stack_bytes: 96 * 1024,
            // A value of 64 KiB stands in a statement as hexadecimal digits.
            message_bytes: 160 * 1024,
            value_bytes: 64 * 1024,
            client_bytes: memory / 4,
            answer_bytes: 4 << 20,
            statements_per_client: 1024,
            statements_per_link: 128,
            clock_skew: Duration::ZERO,
            clock_offset_us: 0,
            clock_pause: Duration::from_secs(10),
            clock_retry: Duration::from_millis(200),
            sessions_alone: 65_536,
            registry_bytes: 8 << 20,
            registry_page: 1000,
            registry_silent: Duration::from_secs(2),
            registry_quiet: Duration::from_millis(500),
            registry_wait: Duration::from_secs(5),
            registry_retry: (Duration::from_millis(50), Duration::from_secs(3)),
            registry_gather: Duration::from_millis(10),
            registry_keep: Duration::from_secs(2),
            session_resume: 65_536,
            session_chunk: 32_768,
            session_frame_bytes: 1 << 20,
            session_queue: 8192,
            session_silent: Duration::from_secs(5),
            session_compact_bytes: 8 << 20,
            session_disk_retry: Duration::from_secs(1),
            // Each connection of the watch may hold one in part, and the driver some more.
            list_bytes: (memory / 32).min(4 << 20),
            client_connections,
            link_connections,
            set_aside,
            links_per_peer: 64,
            pipelined: 64,
            mailbox: 4096,
            connect,
            probe: connect,
            // Looked at each quarter of it; one that closes sooner is asked across each time, by `link_trust`.
            link_idle: keepalive.mul_f64(0.5).max(Duration::from_millis(50)),
            link_trust: keepalive.mul_f64(0.5).min(Duration::from_millis(1500)),
            // Of the trips that a connection takes to come up in its time, this is one.
            link_check: (connect * 4 / 25).max(Duration::from_millis(40)),
            client_start: Duration::from_millis(1500),
            client_start_least: Duration::from_millis(100),
            client_first: Duration::from_millis(2200),
            client_message: Duration::from_secs(1),
            client_idle: Duration::from_secs(2),
            client_idle_crowded: Duration::from_millis(250),
            client_share: sockets / 3,
            client_watch: Duration::from_millis(100),
            client_room: Duration::from_millis(3),
            client_idle_least: Duration::from_secs(2),
            link_idle_least: Duration::from_millis(500),
            link_settle: Duration::from_millis(5),
            answer_settle: Duration::from_millis(60),
            client_write: Duration::from_secs(5),
            link_backstop: Duration::from_millis(500),
            module_stack_bytes: 512 * 1024,
            shutdown_grace: GRACE,
            // SIGKILL comes the longest deadline (3 s at most) and 0.7 s after SIGTERM: what is read by now has its whole
            // time before that.
            shutdown_last: GRACE + QUIET,
            shutdown_most: most + QUIET,
            drain_quiet: Duration::from_millis(500),
            drain_last: Duration::from_millis(1500),
            client_greeted: Duration::from_millis(300),
            client_linger: Duration::from_millis(300),
            // More than its longest message; whoever dumps more than that costs no more time than that.
            client_linger_bytes: 256 * 1024,
            door_callers: 32,
            door_line_bytes: 1024,
            door_patience: Duration::from_secs(10),
            holds: 1024,
            hold_cold: Duration::from_secs(300),
            holds_look: Duration::from_millis(25),
            watch_first: Duration::from_millis(300),
            watch_connect: Duration::from_millis(500),
            watch_silent: Duration::from_millis(2600),
            watch_answer: Duration::from_millis(600),
            watch_retry: (Duration::from_millis(250), Duration::from_secs(1)),
            watch_former: Duration::from_secs(4),
            // One each 600 ms: the first to come has its empty line after 2 s before it would have to give way.
            watch_most: aside::WATCHES,
            watch_patience: Duration::from_secs(10),
            watch_told: Duration::from_secs(6),
            watch_margin: Duration::from_secs(1),
        }
    }

    /// Takes what the operators' door needs out of what clients and links share, of links down to half of theirs first: two
    /// processes side by side have to hold all that the platform's front deals out, or they look for room without a
    /// pause. Of few descriptors it gets fewer callers.
    pub fn open_door(&mut self, sockets: usize) {
        self.door_callers = self.door_callers.min((sockets.saturating_sub(32) / 16).max(2));
        self.set_aside = aside::ROUTER + aside::DOOR + self.door_callers;
        let (clients, links) = share(sockets, aside::ROUTER);
        let both = share(sockets, self.set_aside);
        let all = both.0 + both.1;
        self.client_connections = clients.min(all.saturating_sub(links / 2)).max(both.0);
        self.link_connections = all - self.client_connections;
    }

    /// What a new watch may take to come up and bring its first line, however slow the agent: nothing closes it before
    /// for want of room, and whatever was opened while the agent answers has been heard by then.
    pub fn watch_chance(&self) -> Duration {
        self.watch_connect + self.watch_answer
    }

    /// The longest from discovery having a change, and answering new connections, to the list's actor having it.
    ///
    /// A watch that nobody knows to be silent takes `watch_silent` to be found so. Then a connection is opened at once,
    /// or, where one was opened just before the agent answered again, after `watch_retry.1` at the latest, or
    /// `watch_answer` where that one has its head. Which of the states that one is in (refused, not taken, mute, a
    /// head, half a line, reset) changes nothing: none holds up the next opening. It comes up within `watch_connect`
    /// and brings its first line, with the change, within `watch_answer`.
    pub fn worst_silence(&self) -> Duration {
        self.watch_silent + self.watch_retry.1.max(self.watch_answer) + self.watch_chance()
    }

    /// The same after a move to an address that answers: the watch's last opening may have been just before.
    pub fn worst_move(&self) -> Duration {
        self.watch_retry.0 + self.watch_chance()
    }

    /// Whether the bounds of discovery's watch go together: the one place that holds them below what counts as told.
    ///
    /// # Errors
    /// Where they don't, what to change.
    pub fn check_watch(&self) -> Result<(), WatchError> {
        let (told, margin) = (self.watch_told, self.watch_margin);
        let (silence, moved, former) = (self.worst_silence(), self.worst_move(), self.watch_former);
        let chance = self.watch_chance();
        // The one before it is opened this long before it; the eldest does not give way for it.
        let after = self.watch_retry.0 * self.watch_most.saturating_sub(1).min(1 << 20) as u32;
        match () {
            () if silence + margin > told => Err(WatchError::Late { sum: silence, told, margin }),
            () if moved + margin > former => Err(WatchError::Moved { sum: moved, former, margin }),
            () if self.watch_silent <= EMPTY_LINE => {
                Err(WatchError::Hasty { silent: self.watch_silent, pause: EMPTY_LINE })
            }
            () if after < chance => Err(WatchError::Crowded { after, chance }),
            () => Ok(()),
        }
    }
}
