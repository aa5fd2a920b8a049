//! Every size, count and time that bounds the program, in one type that is filled at start and handed down.
use std::time::Duration;

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
}

/// After SIGTERM, the front learns for this long that the router is going.
const GRACE: Duration = Duration::from_millis(600);

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
        // Standard streams, the listener, the watch, the signal pipe and some slack are not ours to hand out.
        let free = sockets.saturating_sub(40).max(16);
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
            list_bytes: 4 << 20,
            client_connections: free * 3 / 4,
            link_connections: free / 4,
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
            client_write: Duration::from_secs(5),
            link_backstop: Duration::from_millis(500),
            module_stack_bytes: 512 * 1024,
            shutdown_grace: GRACE,
            shutdown_last: (GRACE + Duration::from_millis(250))
                .min(most - longest_deadline.min(most - GRACE)),
            shutdown_most: most,
            drain_quiet: Duration::from_millis(500),
            drain_last: Duration::from_millis(1500),
            client_greeted: Duration::from_millis(300),
            client_linger: Duration::from_millis(300),
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
            watch_most: 6,
        }
    }
}
