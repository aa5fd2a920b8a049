//! The bounds of one router, and how they follow from what the process may use.
use super::backoff::Backoff;
use super::descriptors::{self, ConnectionShares};
use std::time::Duration;

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// File descriptors.
    pub descriptors: usize,
    /// Memory in bytes.
    pub memory_bytes: usize,
}

/// Times of the instances and requests that bounds follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimes {
    /// A connection to an instance is made within this time.
    pub connect_timeout: Duration,
    /// An instance closes a connection that was idle for this long.
    pub backend_keepalive: Duration,
    /// No request has a deadline beyond this.
    pub longest_deadline: Duration,
}

/// The bounds of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Stack of a thread that serves one socket, in bytes.
    pub socket_thread_stack_bytes: usize,
    /// Longest message that is read from a client or from an instance.
    pub max_message_bytes: usize,
    /// Longest value that the platform's instances return.
    pub max_value_bytes: usize,
    /// What all clients' long messages and open requests may hold in memory together.
    pub max_client_memory_bytes: usize,
    /// Longest response that is read from a server, all its packets together.
    pub max_response_bytes: usize,
    /// Statements that one client may have prepared.
    pub max_statements_per_client: usize,
    /// Statements that stay prepared on one connection to a server.
    pub max_statements_per_connection: usize,
    /// How far the clocks of servers and router may differ: a commit counts as this much later.
    pub max_clock_skew: Duration,
    /// What is added to the machine's clock, in microseconds.
    pub clock_offset_us: i64,
    /// How often servers are polled for their clocks.
    pub clock_poll_interval: Duration,
    /// How soon again after one could not be polled.
    pub clock_poll_retry_delay: Duration,
    /// Sessions that are remembered one by one where the operator's file has no `[sessions]`.
    pub max_local_sessions: usize,
    /// Longest response of a registry, or line of a watch.
    pub max_registry_response_bytes: usize,
    /// Keys in one page that is read from a registry.
    pub registry_page_size: usize,
    /// A response of a registry that brings no bytes for this long has failed.
    pub registry_read_timeout: Duration,
    /// A watch without events for this long is checked by a read on another connection.
    pub registry_watch_check_delay: Duration,
    /// How long a registry may hold a blocking query.
    pub registry_blocking_query_timeout: Duration,
    /// First and longest backoff after a member of a registry failed.
    pub registry_backoff: Backoff,
    /// Changes of a registry within this time of each other are applied to the endpoint list together; drains never
    /// wait.
    pub registry_debounce_delay: Duration,
    /// The shortest interval at which the last list is written to disk.
    pub registry_save_interval: Duration,
    /// Commits that are buffered for a peer instance that reconnects: one that missed more is sent all.
    pub max_buffered_session_commits: usize,
    /// Sessions in one frame between instances.
    pub max_sessions_per_frame: usize,
    /// Longest frame between instances.
    pub max_session_frame_bytes: usize,
    /// Frames that may wait for one peer instance before it is disconnected.
    pub max_queued_session_frames: usize,
    /// A peer instance that neither sends nor reads for this long is disconnected.
    pub session_peer_timeout: Duration,
    /// Smallest size at which a session journal is compacted.
    pub min_session_compaction_bytes: u64,
    /// How long after a failure the disk is tried again.
    pub session_disk_retry_delay: Duration,
    /// Longest line that discovery may send.
    pub max_discovery_line_bytes: usize,
    /// Client connections that may be open at a time.
    pub max_client_connections: usize,
    /// Connections that may be open to all instances together.
    pub max_backend_connections: usize,
    /// File descriptors reserved for what is neither a client's nor an instance's connection.
    pub reserved_descriptors: usize,
    /// Connections that may be open to one instance.
    pub max_connections_per_backend: usize,
    /// Requests that one client connection may have sent ahead of its responses.
    pub max_pipelined_requests: usize,
    /// Messages that may wait for an actor.
    pub mailbox_capacity: usize,
    /// A connection to an instance that is not made within this time has failed.
    pub backend_connect_timeout: Duration,
    /// A health check without a response after this time has timed out.
    pub health_check_timeout: Duration,
    /// A connection to an instance is closed after this time without a request, well before the instance would close
    /// it.
    pub backend_idle_timeout: Duration,
    /// A connection that was idle for this long is checked before a request is sent on it: whatever lies between may
    /// have dropped it, and the request would be lost.
    pub max_unchecked_idle_time: Duration,
    /// How long the response to that check is waited for.
    pub backend_check_timeout: Duration,
    /// A client's startup has to be complete this long after it connected.
    pub client_startup_timeout: Duration,
    /// Where capacity is short, a client that for this long has sent no request and is owed no response is closed.
    pub client_startup_timeout_when_full: Duration,
    /// A client has to send its first request this long after it connected.
    pub client_first_request_timeout: Duration,
    /// A command has to be complete within this time of its first byte.
    pub client_message_timeout: Duration,
    /// A connection without a request is closed after this time.
    pub client_idle_timeout: Duration,
    /// The same, where most of the connections that the platform's front opens are in use.
    pub client_idle_timeout_when_crowded: Duration,
    /// How many connections the platform's front opens for requests.
    pub expected_request_connections: usize,
    /// How often a client with an open request is polled for more requests or a disconnect.
    pub client_poll_interval: Duration,
    /// How long to wait before free capacity is looked for again.
    pub client_capacity_retry_delay: Duration,
    /// Where capacity is short, a connection without a request may be closed after this time already.
    pub client_idle_timeout_when_full: Duration,
    /// Where descriptors run short, a connection to an instance that was idle for this long is closed.
    pub backend_idle_timeout_when_full: Duration,
    /// How long a connection to an instance rests after a response before it is checked and used again: bytes behind a
    /// response would otherwise count as the next one.
    pub backend_reuse_delay: Duration,
    /// How long an instance may take from a complete row, or a complete error, to the end of its response: one that
    /// hangs there must not keep a client from what was received. Never more than half of the time that is left.
    pub response_end_timeout: Duration,
    /// A client that reads none of its response for this long is disconnected.
    pub client_write_timeout: Duration,
    /// How long a connection to an instance goes on reading after the router stopped waiting, should nobody close it.
    pub abandoned_response_timeout: Duration,
    /// Stack of the routing thread, in bytes.
    pub routing_thread_stack_bytes: usize,
    /// After SIGTERM, new connections and requests are accepted as before for this long.
    pub shutdown_grace_period: Duration,
    /// After SIGTERM, clients that send without a pause are read for this long: what was read then still has its whole
    /// deadline.
    pub shutdown_read_timeout: Duration,
    /// After SIGTERM, the process ends at the latest after this time.
    pub shutdown_timeout: Duration,
    /// From the start of a manual drain, quiet connections are closed after this time: no new ones are expected by
    /// then.
    pub drain_idle_close_delay: Duration,
    /// From the start of a manual drain, clients that send without a pause are read no further after this time.
    pub drain_read_timeout: Duration,
    /// While clients are disconnected, one that has just connected has this long to send its first request.
    pub draining_first_request_timeout: Duration,
    /// How long a closed connection with unread bytes is kept open, so that a reset does not drop its last response.
    pub client_linger_timeout: Duration,
    /// How many more bytes are read and discarded in that time.
    pub max_client_linger_bytes: usize,
    /// Admin connections that may be open at a time.
    pub max_admin_connections: usize,
    /// Longest line of an admin command.
    pub max_admin_line_bytes: usize,
    /// How long an admin connection may take to send a line or to read its response.
    pub admin_io_timeout: Duration,
    /// Instances that may be in maintenance at a time.
    pub max_maintenance_entries: usize,
    /// How long an instance back from maintenance counts as warming up: longer than any takes to warm up.
    pub maintenance_warmup_duration: Duration,
    /// How often the other process's maintenance state is polled: well within the grace of a drain.
    pub maintenance_poll_interval: Duration,
    /// How long a start waits for discovery's first event before it accepts clients with the list of its configuration.
    pub watch_first_event_timeout: Duration,
    /// A connection to discovery that is not made within this time has failed.
    pub watch_connect_timeout: Duration,
    /// A watch of discovery without a complete line, not even an empty one, for this long is broken: another is opened
    /// beside it. Discovery sends an empty line every 2 s; what a silent watch misses counts as notified after 6 s.
    pub watch_silence_timeout: Duration,
    /// How long a new watch whose response head was received may take for its first line before another is opened
    /// beside it.
    pub watch_first_line_timeout: Duration,
    /// Shortest and longest time between two connection attempts while there is no watch.
    pub watch_backoff: Backoff,
    /// After a move to another address, how long the old one is listened to beside the new one, whose changes count as
    /// notified from then on.
    pub watch_previous_address_duration: Duration,
    /// Connections of the watch that may wait for their first line at a time.
    pub max_pending_watches: usize,
    /// The oldest of them is closed in favour of others once it has waited this long.
    pub pending_watch_timeout: Duration,
    /// Discovery counts a change as notified this long after it could be reached, or after its watch fell silent.
    pub watch_notification_deadline: Duration,
    /// How much of that is reserved for a busy processor and for the way from the watch to the router.
    pub watch_notification_margin: Duration,
}

/// The process lives at least this long after SIGTERM and its grace period, where all deadlines are shorter.
const MIN_SHUTDOWN: Duration = Duration::from_secs(3);
/// After SIGTERM, the platform's front has this long to notice that the router is draining.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// After that, quiet connections are closed for at least this long before any is closed that may carry a request.
const SHUTDOWN_IDLE_CLOSE: Duration = Duration::from_millis(150);

impl Limits {
    /// The bounds for a process with these resources, whose instances and requests have these times.
    pub fn new(resources: ProcessResources, times: RequestTimes) -> Self {
        let ProcessResources { descriptors, memory_bytes } = resources;
        let RequestTimes { connect_timeout, backend_keepalive, longest_deadline } = times;
        let reserved_descriptors = descriptors::RESERVED;
        let shares = ConnectionShares::of(descriptors, reserved_descriptors);
        let last_answer = longest_deadline.max(MIN_SHUTDOWN) + SHUTDOWN_GRACE_PERIOD;
        Limits {
            socket_thread_stack_bytes: 96 * 1024,
            // A value of 64 KiB is written as hexadecimal digits in a statement.
            max_message_bytes: 160 * 1024,
            max_value_bytes: 64 * 1024,
            max_client_memory_bytes: memory_bytes / 4,
            max_response_bytes: 4 << 20,
            max_statements_per_client: 1024,
            max_statements_per_connection: 128,
            max_clock_skew: Duration::ZERO,
            clock_offset_us: 0,
            clock_poll_interval: Duration::from_secs(10),
            clock_poll_retry_delay: Duration::from_millis(200),
            max_local_sessions: 65_536,
            max_registry_response_bytes: 8 << 20,
            registry_page_size: 1000,
            registry_read_timeout: Duration::from_secs(2),
            registry_watch_check_delay: Duration::from_millis(500),
            registry_blocking_query_timeout: Duration::from_secs(5),
            registry_backoff: Backoff { min: Duration::from_millis(50), max: Duration::from_secs(3) },
            registry_debounce_delay: Duration::from_millis(10),
            registry_save_interval: Duration::from_secs(2),
            max_buffered_session_commits: 65_536,
            max_sessions_per_frame: 32_768,
            max_session_frame_bytes: 1 << 20,
            max_queued_session_frames: 8192,
            session_peer_timeout: Duration::from_secs(5),
            min_session_compaction_bytes: 8 << 20,
            session_disk_retry_delay: Duration::from_secs(1),
            // Each connection of the watch may hold a part of one, and the driver some more.
            max_discovery_line_bytes: (memory_bytes / 32).min(4 << 20),
            max_client_connections: shares.clients,
            max_backend_connections: shares.backends,
            reserved_descriptors,
            max_connections_per_backend: 64,
            max_pipelined_requests: 64,
            mailbox_capacity: 4096,
            backend_connect_timeout: connect_timeout,
            health_check_timeout: connect_timeout,
            // Polled each quarter of it; where the instance closes sooner, `max_unchecked_idle_time` has each one checked
            // before use.
            backend_idle_timeout: backend_keepalive.mul_f64(0.5).max(Duration::from_millis(50)),
            max_unchecked_idle_time: backend_keepalive.mul_f64(0.5).min(Duration::from_millis(1500)),
            // One of the round trips that have to fit into the time to connect.
            backend_check_timeout: (connect_timeout * 4 / 25).max(Duration::from_millis(40)),
            client_startup_timeout: Duration::from_millis(1500),
            client_startup_timeout_when_full: Duration::from_millis(100),
            client_first_request_timeout: Duration::from_millis(2200),
            client_message_timeout: Duration::from_secs(1),
            client_idle_timeout: Duration::from_secs(2),
            client_idle_timeout_when_crowded: Duration::from_millis(250),
            expected_request_connections: descriptors / 3,
            client_poll_interval: Duration::from_millis(100),
            client_capacity_retry_delay: Duration::from_millis(3),
            client_idle_timeout_when_full: Duration::from_secs(2),
            backend_idle_timeout_when_full: Duration::from_millis(500),
            backend_reuse_delay: Duration::from_millis(5),
            response_end_timeout: Duration::from_millis(60),
            client_write_timeout: Duration::from_secs(5),
            abandoned_response_timeout: Duration::from_millis(500),
            routing_thread_stack_bytes: 512 * 1024,
            shutdown_grace_period: SHUTDOWN_GRACE_PERIOD,
            // SIGKILL comes the longest deadline (3 s at most) and 0.7 s after SIGTERM: requests read until then have their
            // whole deadline before that.
            shutdown_read_timeout: SHUTDOWN_GRACE_PERIOD + SHUTDOWN_IDLE_CLOSE,
            shutdown_timeout: last_answer + SHUTDOWN_IDLE_CLOSE,
            drain_idle_close_delay: Duration::from_millis(500),
            drain_read_timeout: Duration::from_millis(1500),
            draining_first_request_timeout: Duration::from_millis(300),
            client_linger_timeout: Duration::from_millis(300),
            // More than its longest message; a client that sends still more gets no more time.
            max_client_linger_bytes: 256 * 1024,
            max_admin_connections: 32,
            max_admin_line_bytes: 1024,
            admin_io_timeout: Duration::from_secs(10),
            max_maintenance_entries: 1024,
            maintenance_warmup_duration: Duration::from_mins(5),
            maintenance_poll_interval: Duration::from_millis(25),
            watch_first_event_timeout: Duration::from_millis(300),
            watch_connect_timeout: Duration::from_millis(500),
            watch_silence_timeout: Duration::from_millis(2600),
            watch_first_line_timeout: Duration::from_millis(600),
            watch_backoff: Backoff { min: Duration::from_millis(250), max: Duration::from_secs(1) },
            watch_previous_address_duration: Duration::from_secs(4),
            // One each 600 ms: the first receives its empty line after 2 s, before it would be closed for others.
            max_pending_watches: descriptors::WAITING_WATCHES,
            pending_watch_timeout: Duration::from_secs(10),
            watch_notification_deadline: Duration::from_secs(6),
            watch_notification_margin: Duration::from_secs(1),
        }
    }

    /// Reserves the descriptors of the admin listener: from connections to instances first, down to half of them, then
    /// from clients, since two processes side by side have to accept all connections that the platform's front opens.
    /// With few descriptors there are fewer connections of operators.
    pub fn reserve_admin_descriptors(&mut self, descriptors: usize) {
        let max_connections = (descriptors.saturating_sub(32) / 16).max(2);
        self.max_admin_connections = self.max_admin_connections.min(max_connections);
        self.reserved_descriptors =
            descriptors::RESERVED + descriptors::RESERVED_FOR_ADMIN + self.max_admin_connections;
        let without_admin = ConnectionShares::of(descriptors, descriptors::RESERVED);
        let with_admin = ConnectionShares::of(descriptors, self.reserved_descriptors);
        let total = with_admin.clients + with_admin.backends;
        let most_clients = total.saturating_sub(without_admin.backends / 2);
        self.max_client_connections = without_admin.clients.min(most_clients).max(with_admin.clients);
        self.max_backend_connections = total - self.max_client_connections;
    }
}
