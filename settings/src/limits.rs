//! Every size, count and time that bounds the program, in one type that is filled at start and passed down. Sizes are in
//! bytes unless their name says otherwise.
mod descriptors;
mod watch;

pub use watch::WatchError;

use std::time::Duration;

/// The bounds of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Stack of a thread that serves one socket, in bytes.
    pub stack_bytes: usize,
    /// Longest message that is read from a client or from an instance.
    pub message_bytes: usize,
    /// Longest value that the platform's instances return.
    pub value_bytes: usize,
    /// What all clients' long messages and open requests may hold in memory together.
    pub client_bytes: usize,
    /// Longest response that is read from a server, all its packets together.
    pub answer_bytes: usize,
    /// Statements that one client may have prepared.
    pub statements_per_client: usize,
    /// Statements that stay prepared on one connection to a server.
    pub statements_per_link: usize,
    /// How far the clocks of servers and router may differ: a commit counts as this much later.
    pub clock_skew: Duration,
    /// What is added to the machine's clock, in microseconds.
    pub clock_offset_us: i64,
    /// How often servers are polled for their clocks.
    pub clock_pause: Duration,
    /// How soon again after one could not be polled.
    pub clock_retry: Duration,
    /// Sessions that are remembered one by one where the operator's file has no `[sessions]`.
    pub sessions_alone: usize,
    /// Longest response of a registry, or line of a watch.
    pub registry_bytes: usize,
    /// Keys in one page that is read from a registry.
    pub registry_page: usize,
    /// A response of a registry that brings no bytes for this long has failed.
    pub registry_silent: Duration,
    /// A watch without events for this long is checked by a read on another connection.
    pub registry_quiet: Duration,
    /// How long a registry may hold a blocking query.
    pub registry_wait: Duration,
    /// First and longest backoff after a member of a registry failed.
    pub registry_retry: (Duration, Duration),
    /// Changes of a registry within this time of each other are applied to the endpoint list together; drains never
    /// wait.
    pub registry_gather: Duration,
    /// The shortest interval at which the last list is written to disk.
    pub registry_keep: Duration,
    /// Commits that are buffered for a peer instance that reconnects: one that missed more is sent all.
    pub session_resume: usize,
    /// Sessions in one frame between instances.
    pub session_chunk: usize,
    /// Longest frame between instances.
    pub session_frame_bytes: usize,
    /// Frames that may wait for one peer instance before it is disconnected.
    pub session_queue: usize,
    /// A peer instance that neither sends nor reads for this long is disconnected.
    pub session_silent: Duration,
    /// Smallest size at which a session journal is compacted.
    pub session_compact_bytes: u64,
    /// How long after a failure the disk is tried again.
    pub session_disk_retry: Duration,
    /// Longest line that discovery may send.
    pub list_bytes: usize,
    /// Client connections that may be open at a time.
    pub client_connections: usize,
    /// Connections that may be open to all instances together.
    pub link_connections: usize,
    /// File descriptors reserved for what is neither a client's nor an instance's connection.
    pub set_aside: usize,
    /// Connections that may be open to one instance.
    pub links_per_peer: usize,
    /// Requests that one client connection may have sent ahead of its responses.
    pub pipelined: usize,
    /// Messages that may wait for an actor.
    pub mailbox: usize,
    /// A connection to an instance that is not made within this time has failed.
    pub connect: Duration,
    /// A health check without a response after this time has timed out.
    pub probe: Duration,
    /// A connection to an instance is closed after this time without a request, well before the instance would close
    /// it.
    pub link_idle: Duration,
    /// A connection that was idle for this long is checked before a request is sent on it: whatever lies between may
    /// have dropped it, and the request would be lost.
    pub link_trust: Duration,
    /// How long the response to that check is waited for.
    pub link_check: Duration,
    /// A client's startup has to be complete this long after it connected.
    pub client_start: Duration,
    /// Where capacity is short, a client that for this long has sent no request and is owed no response is closed.
    pub client_start_least: Duration,
    /// A client has to send its first request this long after it connected.
    pub client_first: Duration,
    /// A command has to be complete within this time of its first byte.
    pub client_message: Duration,
    /// A connection without a request is closed after this time.
    pub client_idle: Duration,
    /// The same, where most of the connections that the platform's front opens are in use.
    pub client_idle_crowded: Duration,
    /// How many connections the platform's front opens for requests.
    pub client_share: usize,
    /// How often a client with an open request is polled for more requests or a disconnect.
    pub client_watch: Duration,
    /// How long to wait before free capacity is looked for again.
    pub client_room: Duration,
    /// Where capacity is short, a connection without a request may be closed after this time already.
    pub client_idle_least: Duration,
    /// Where descriptors run short, a connection to an instance that was idle for this long is closed.
    pub link_idle_least: Duration,
    /// How long a connection to an instance rests after a response before it is checked and used again: bytes behind a
    /// response would otherwise count as the next one.
    pub link_settle: Duration,
    /// How long an instance may take from a complete row, or a complete error, to the end of its response: one that
    /// hangs there must not keep a client from what was received. Never more than half of the time that is left.
    pub answer_settle: Duration,
    /// A client that reads none of its response for this long is disconnected.
    pub client_write: Duration,
    /// How long a connection to an instance goes on reading after the router stopped waiting, should nobody close it.
    pub link_backstop: Duration,
    /// Stack of the routing thread, in bytes.
    pub module_stack_bytes: usize,
    /// After SIGTERM, new connections and requests are accepted as before for this long.
    pub shutdown_grace: Duration,
    /// After SIGTERM, clients that send without a pause are read for this long: what was read then still has its whole
    /// deadline.
    pub shutdown_last: Duration,
    /// After SIGTERM, the process ends at the latest after this time.
    pub shutdown_most: Duration,
    /// From the start of a manual drain, quiet connections are closed after this time: no new ones are expected by
    /// then.
    pub drain_quiet: Duration,
    /// From the start of a manual drain, clients that send without a pause are read no further after this time.
    pub drain_last: Duration,
    /// While clients are disconnected, one that has just connected has this long to send its first request.
    pub client_greeted: Duration,
    /// How long a closed connection with unread bytes is kept open, so that a reset does not drop its last response.
    pub client_linger: Duration,
    /// How many more bytes are read and discarded in that time.
    pub client_linger_bytes: usize,
    /// Admin connections that may be open at a time.
    pub door_callers: usize,
    /// Longest line of an admin command.
    pub door_line_bytes: usize,
    /// How long an admin connection may take to send a line or to read its response.
    pub door_patience: Duration,
    /// Instances that may be in maintenance at a time.
    pub holds: usize,
    /// How long an instance back from maintenance counts as warming up: longer than any takes to warm up.
    pub hold_cold: Duration,
    /// How often the other process's maintenance state is polled: well within the grace of a drain.
    pub holds_look: Duration,
    /// How long a start waits for discovery's first event before it accepts clients with the list of its configuration.
    pub watch_first: Duration,
    /// A connection to discovery that is not made within this time has failed.
    pub watch_connect: Duration,
    /// A watch of discovery without a complete line, not even an empty one, for this long is broken: another is opened
    /// beside it. Discovery sends an empty line every 2 s; what a silent watch misses counts as notified after 6 s.
    pub watch_silent: Duration,
    /// How long a new watch whose response head was received may take for its first line before another is opened
    /// beside it.
    pub watch_answer: Duration,
    /// Shortest and longest time between two connection attempts while there is no watch.
    pub watch_retry: (Duration, Duration),
    /// After a move to another address, how long the old one is listened to beside the new one, whose changes count as
    /// notified from then on.
    pub watch_former: Duration,
    /// Connections of the watch that may wait for their first line at a time.
    pub watch_most: usize,
    /// The oldest of them is closed in favour of others once it has waited this long.
    pub watch_patience: Duration,
    /// Discovery counts a change as notified this long after it could be reached, or after its watch fell silent.
    pub watch_told: Duration,
    /// How much of that is reserved for a busy processor and for the way from the watch to the router.
    pub watch_margin: Duration,
}

/// After SIGTERM, the platform's front has this long to notice that the router is draining.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// After that, quiet connections are closed for at least this long before any is closed that may carry a request.
const SHUTDOWN_QUIET: Duration = Duration::from_millis(150);

impl Limits {
    /// The bounds for a process that may hold `sockets` descriptors and `memory` bytes. A connection to an instance is
    /// made within `connect`, and the instance closes it when it was idle for `keepalive`; no request has a deadline
    /// beyond `longest_deadline`.
    pub fn new(
        sockets: usize,
        memory: usize,
        connect: Duration,
        keepalive: Duration,
        longest_deadline: Duration,
    ) -> Self {
        let set_aside = descriptors::RESERVED;
        let (client_connections, link_connections) = descriptors::divide(sockets, set_aside);
        let most = longest_deadline.max(Duration::from_secs(3)) + SHUTDOWN_GRACE;
        Limits {
            stack_bytes: 96 * 1024,
            // A value of 64 KiB is written as hexadecimal digits in a statement.
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
            // Each connection of the watch may hold a part of one, and the driver some more.
            list_bytes: (memory / 32).min(4 << 20),
            client_connections,
            link_connections,
            set_aside,
            links_per_peer: 64,
            pipelined: 64,
            mailbox: 4096,
            connect,
            probe: connect,
            // Polled each quarter of it; where the instance closes sooner, `link_trust` has each one checked before use.
            link_idle: keepalive.mul_f64(0.5).max(Duration::from_millis(50)),
            link_trust: keepalive.mul_f64(0.5).min(Duration::from_millis(1500)),
            // One of the round trips that have to fit into the time to connect.
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
            shutdown_grace: SHUTDOWN_GRACE,
            // SIGKILL comes the longest deadline (3 s at most) and 0.7 s after SIGTERM: requests read until then have their
            // whole deadline before that.
            shutdown_last: SHUTDOWN_GRACE + SHUTDOWN_QUIET,
            shutdown_most: most + SHUTDOWN_QUIET,
            drain_quiet: Duration::from_millis(500),
            drain_last: Duration::from_millis(1500),
            client_greeted: Duration::from_millis(300),
            client_linger: Duration::from_millis(300),
            // More than its longest message; a client that sends still more gets no more time.
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
            // One each 600 ms: the first receives its empty line after 2 s, before it would be closed for others.
            watch_most: descriptors::WAITING_WATCHES,
            watch_patience: Duration::from_secs(10),
            watch_told: Duration::from_secs(6),
            watch_margin: Duration::from_secs(1),
        }
    }

    /// Reserves the descriptors of the admin listener: from connections to instances first, down to half of them, then
    /// from clients, since two processes side by side have to accept all connections that the platform's front opens.
    /// With few descriptors there are fewer callers.
    pub fn open_door(&mut self, sockets: usize) {
        self.door_callers = self.door_callers.min((sockets.saturating_sub(32) / 16).max(2));
        self.set_aside = descriptors::RESERVED + descriptors::RESERVED_FOR_ADMIN + self.door_callers;
        let (clients, links) = descriptors::divide(sockets, descriptors::RESERVED);
        let both = descriptors::divide(sockets, self.set_aside);
        let all = both.0 + both.1;
        self.client_connections = clients.min(all.saturating_sub(links / 2)).max(both.0);
        self.link_connections = all - self.client_connections;
    }
}
