//! The limits of one router and how they are derived from the resources of the process.
use super::backoff::Backoff;
use super::descriptors::{self, ConnectionShares};
use std::time::Duration;

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// Number of file descriptors.
    pub descriptors: usize,
    /// Memory size in bytes.
    pub memory_bytes: usize,
}

/// Memory of the program without connections, in bytes: its code, its threads, and the endpoint list.
const PROGRAM_BYTES: usize = 10 << 20;
/// Memory of a connection that holds no long message, in bytes: what its thread uses of its stack, its buffer, and its
/// records.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Largest number of sessions that are tracked without `[sessions]`.
const MAX_LOCAL_SESSIONS: usize = 65_536;
/// Memory for requests at least for each tracked session, in bytes: its record takes about half of it.
const LOCAL_SESSION_BYTES: usize = 256;

impl ProcessResources {
    /// Returns the number of descriptors that can be used without connections taking up more than half of the memory
    /// that the program leaves.
    fn usable_descriptors(self) -> usize {
        self.descriptors.min(descriptors::RESERVED + self.memory_for_connections() / CONNECTION_BYTES)
    }

    /// Returns the memory that connections without messages may use together, in bytes.
    fn memory_for_connections(self) -> usize {
        self.memory_bytes.saturating_sub(PROGRAM_BYTES) / 2
    }

    /// Returns the memory that messages, requests and responses may use together, in bytes. As much is left for free
    /// memory that the allocator cannot return to the system.
    fn memory_for_requests(self) -> usize {
        self.memory_bytes.saturating_sub(PROGRAM_BYTES) / 4
    }
}

/// Configured timeouts from which limits are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTimes {
    /// The timeout for opening a connection to a server.
    pub connect_timeout: Duration,
    /// A server closes a connection that was idle for this long.
    pub backend_keepalive: Duration,
    /// The longest deadline of any request.
    pub longest_deadline: Duration,
}

/// The size limits, count limits and timeouts of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Stack size of a thread that serves one socket, in bytes.
    pub socket_thread_stack_bytes: usize,
    /// Longest message that is read from a client or from a server.
    pub max_message_bytes: usize,
    /// Longest value that the platform's servers return.
    pub max_value_bytes: usize,
    /// Memory that the long messages and open requests of all clients may use together.
    pub max_client_memory_bytes: usize,
    /// Longest response that is read from a server, summed over its packets.
    pub max_response_bytes: usize,
    /// Prepared statements that one client may have open.
    pub max_statements_per_client: usize,
    /// Prepared statements that are cached on one connection to a server.
    pub max_statements_per_connection: usize,
    /// Largest difference between the clocks of servers and router; it is added to the time of each commit.
    pub max_clock_skew: Duration,
    /// Offset that is added to the time of the system clock, in microseconds.
    pub clock_offset_us: i64,
    /// Interval at which the servers' clocks are polled.
    pub clock_poll_interval: Duration,
    /// Delay until the next clock poll after a failed one.
    pub clock_poll_retry_delay: Duration,
    /// Number of sessions whose commits are tracked individually if the operator's file has no `[sessions]`.
    pub max_local_sessions: usize,
    /// Longest response of a registry, and longest line of a registry watch.
    pub max_registry_response_bytes: usize,
    /// Keys in one page that is read from a registry.
    pub registry_page_size: usize,
    /// A registry request fails if no bytes of its response are received for this long.
    pub registry_read_timeout: Duration,
    /// A registry watch without events for this long is checked by a read on another connection.
    pub registry_watch_check_delay: Duration,
    /// The wait time that is requested for a blocking query of a registry.
    pub registry_blocking_query_timeout: Duration,
    /// Backoff after a registry member failed.
    pub registry_backoff: Backoff,
    /// Registry changes within this time of each other are applied to the endpoint list together; drains are
    /// applied without delay.
    pub registry_debounce_delay: Duration,
    /// The shortest interval between two writes of the current node list to disk.
    pub registry_save_interval: Duration,
    /// Session commits that are buffered for a peer instance that reconnects; a peer that missed more
    /// receives a full snapshot.
    pub max_buffered_session_commits: usize,
    /// Largest number of sessions in one frame between router instances.
    pub max_sessions_per_frame: usize,
    /// Longest frame between router instances.
    pub max_session_frame_bytes: usize,
    /// Frames that may be queued for one peer instance before it is disconnected.
    pub max_queued_session_frames: usize,
    /// A peer instance that neither sends nor reads for this long is disconnected.
    pub session_peer_timeout: Duration,
    /// A session journal below this size is not compacted.
    pub min_session_compaction_bytes: u64,
    /// Delay until a failed write of the session journal is retried.
    pub session_disk_retry_delay: Duration,
    /// Longest line that is accepted from discovery.
    pub max_discovery_line_bytes: usize,
    /// Largest number of open client connections.
    pub max_client_connections: usize,
    /// Largest number of open connections to all servers together.
    pub max_backend_connections: usize,
    /// File descriptors that are reserved for uses other than client and backend connections.
    pub reserved_descriptors: usize,
    /// Largest number of open connections to one server.
    pub max_connections_per_backend: usize,
    /// Requests that a client may send on one connection before it has received the responses.
    pub max_pipelined_requests: usize,
    /// Messages that may be queued in the mailbox of one thread.
    pub mailbox_capacity: usize,
    /// The timeout for opening a connection to a server.
    pub backend_connect_timeout: Duration,
    /// The timeout for the response to a health check.
    pub health_check_timeout: Duration,
    /// A backend connection is closed after this time without a request, well before the server would close
    /// it.
    pub backend_idle_timeout: Duration,
    /// A backend connection that was idle for this long is checked before a request is sent on it: a device
    /// on the network path may have dropped the connection, and the request would be lost.
    pub max_unchecked_idle_time: Duration,
    /// The timeout for the check of an idle backend connection.
    pub backend_check_timeout: Duration,
    /// The timeout from accepting a client connection to the end of the client's startup.
    pub client_startup_timeout: Duration,
    /// When the connection limit is reached, an idle client connection that has not sent a request yet may be
    /// closed after this time.
    pub client_startup_timeout_when_full: Duration,
    /// The timeout from accepting a client connection to its first request.
    pub client_first_request_timeout: Duration,
    /// The timeout from the first byte of a client message to its last.
    pub client_message_timeout: Duration,
    /// A client connection without a request is closed after this time.
    pub client_idle_timeout: Duration,
    /// Replaces `client_idle_timeout` while most of the connections that the platform's front end opens are
    /// in use.
    pub client_idle_timeout_when_crowded: Duration,
    /// Number of connections that the platform's front end is expected to open for requests.
    pub expected_request_connections: usize,
    /// Interval at which a client with an open request is polled for further requests or a disconnect.
    pub client_poll_interval: Duration,
    /// Interval at which an accepted client connection that waits for a free slot checks for one.
    pub client_capacity_retry_delay: Duration,
    /// When the connection limit is reached, an idle client connection that has sent requests may be closed
    /// after this time.
    pub client_idle_timeout_when_full: Duration,
    /// When file descriptors are exhausted, a backend connection that was idle for this long is closed.
    pub backend_idle_timeout_when_full: Duration,
    /// Delay after a response before a backend connection is checked and reused: surplus bytes after a
    /// response would otherwise be read as the start of the next one.
    pub backend_reuse_delay: Duration,
    /// How long a server may take from a complete row or error to the end of its response, and at most half
    /// of the time left until the deadline: a server that hangs there must not withhold the received data
    /// from the client.
    pub response_end_timeout: Duration,
    /// A client that reads no byte of its response for this long is disconnected.
    pub client_write_timeout: Duration,
    /// How long after the deadline of its request a response is still read from a backend connection, unless
    /// the connection is closed earlier.
    pub abandoned_response_timeout: Duration,
    /// Stack size of the routing thread, in bytes.
    pub routing_thread_stack_bytes: usize,
    /// After SIGTERM, new connections and requests are accepted normally for this long.
    pub shutdown_grace_period: Duration,
    /// After SIGTERM, clients that send continuously are read for this long; a request that is read by then
    /// still has its full deadline.
    pub shutdown_read_timeout: Duration,
    /// After SIGTERM, requests that arrive after `shutdown_read_timeout` get their final response within this
    /// time.
    pub shutdown_late_response_timeout: Duration,
    /// After SIGTERM, requests get their final response within this time, and the process exits after it. If a
    /// response has still to be written, the exit waits for up to `client_write_timeout` more.
    pub shutdown_timeout: Duration,
    /// Idle client connections are closed this long after the start of a manual drain, when no new
    /// connections are expected any more.
    pub drain_idle_close_delay: Duration,
    /// Clients that send continuously are no longer read this long after the start of a manual drain.
    pub drain_read_timeout: Duration,
    /// While a drain disconnects clients, a newly connected client has this long to send its first request.
    pub draining_first_request_timeout: Duration,
    /// How long the socket of a closed client connection lingers, so that a TCP reset because of unread bytes
    /// does not discard the last response.
    pub client_linger_timeout: Duration,
    /// Number of bytes that are read and discarded while a closed client connection lingers.
    pub max_client_linger_bytes: usize,
    /// Largest number of open admin connections.
    pub max_admin_connections: usize,
    /// Longest line of an admin command.
    pub max_admin_line_bytes: usize,
    /// The timeout for an admin client to send a line or to read a response.
    pub admin_io_timeout: Duration,
    /// Largest number of servers in maintenance at the same time.
    pub max_maintenance_entries: usize,
    /// How long a server restored from maintenance counts as warming up; longer than any server needs.
    pub maintenance_warmup_duration: Duration,
    /// Interval at which the maintenance state of another process on the same host is polled; much shorter
    /// than the grace time of a drain.
    pub maintenance_poll_interval: Duration,
    /// How long startup waits for the first event of discovery before it accepts clients with the endpoint
    /// list of the configuration.
    pub watch_first_event_timeout: Duration,
    /// The timeout for opening a connection to discovery.
    pub watch_connect_timeout: Duration,
    /// A discovery watch that receives no complete line (an empty one counts) for this long is considered
    /// broken, and another is opened in parallel. Discovery sends an empty line every 2 s, and counts a
    /// change as notified after 6 s even if the watch was silent.
    pub watch_silence_timeout: Duration,
    /// How long a new discovery watch may take from the response head to its first line before another is
    /// opened in parallel.
    pub watch_first_line_timeout: Duration,
    /// Backoff between two connection attempts while no discovery watch is established.
    pub watch_backoff: Backoff,
    /// After the address of discovery changed, how long the previous address is watched in parallel.
    /// Discovery counts changes at the new address as notified after this time.
    pub watch_previous_address_duration: Duration,
    /// Largest number of discovery watches that wait for their first line.
    pub max_pending_watches: usize,
    /// The oldest pending discovery watch is closed in favour of newer ones after it has waited this long.
    pub pending_watch_timeout: Duration,
    /// Discovery counts a change as notified this long after it became reachable, or after its watch fell
    /// silent.
    pub watch_notification_deadline: Duration,
    /// Part of `watch_notification_deadline` that is reserved for scheduling delays and for passing a change
    /// from the watch to the routing thread.
    pub watch_notification_margin: Duration,
}

/// Minimum time from the end of the grace period after SIGTERM to the exit, for the case that all deadlines
/// are shorter.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(3);
/// After SIGTERM, the platform's front end has this long to notice that the router is draining.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// The longest deadline that the platform allows for between SIGTERM and SIGKILL.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time that is reserved for writing the last responses after their deadline.
const SHUTDOWN_WRITE_MARGIN: Duration = Duration::from_millis(100);
/// After the grace period, only idle connections are closed for at least this long; then also those that may
/// carry a request.
const SHUTDOWN_IDLE_CLOSE_DURATION: Duration = Duration::from_millis(150);

impl Limits {
    /// Derives the limits of a process from its resources and the configured timeouts.
    pub fn new(resources: ProcessResources, times: RequestTimes) -> Self {
        let ProcessResources { descriptors, memory_bytes } = resources;
        let RequestTimes { connect_timeout, backend_keepalive, longest_deadline } = times;
        let reserved_descriptors = descriptors::RESERVED;
        let shares = ConnectionShares::divide(resources.usable_descriptors(), reserved_descriptors);
        let shutdown_read_timeout = SHUTDOWN_GRACE_PERIOD + SHUTDOWN_IDLE_CLOSE_DURATION;
        let shutdown_timeout = longest_deadline.max(MIN_SHUTDOWN_TIME) + shutdown_read_timeout;
        let counted_deadline = longest_deadline.min(MAX_COUNTED_DEADLINE);
        Limits {
            socket_thread_stack_bytes: 96 * 1024,
            // The longest value, 64 KiB, is written as hexadecimal digits in a statement, which takes twice
            // its size.
            max_message_bytes: 160 * 1024,
            max_value_bytes: 64 * 1024,
            max_client_memory_bytes: resources.memory_for_requests(),
            max_response_bytes: 4 << 20,
            max_statements_per_client: 1024,
            max_statements_per_connection: 128,
            max_clock_skew: Duration::ZERO,
            clock_offset_us: 0,
            clock_poll_interval: Duration::from_secs(10),
            clock_poll_retry_delay: Duration::from_millis(200),
            max_local_sessions: MAX_LOCAL_SESSIONS.min(resources.memory_for_requests() / LOCAL_SESSION_BYTES),
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
            // Each connection of the discovery watch may buffer a partial line, and its driver buffers
            // further lines.
            max_discovery_line_bytes: (memory_bytes / 32).min(4 << 20),
            max_client_connections: shares.clients,
            max_backend_connections: shares.backends,
            reserved_descriptors,
            max_connections_per_backend: 64,
            max_pipelined_requests: 64,
            mailbox_capacity: 4096,
            backend_connect_timeout: connect_timeout,
            health_check_timeout: connect_timeout,
            // Idle connections are polled at a quarter of this interval. If a server closes them earlier,
            // `max_unchecked_idle_time` ensures that each is checked before use.
            backend_idle_timeout: backend_keepalive.mul_f64(0.5).max(Duration::from_millis(50)),
            max_unchecked_idle_time: backend_keepalive.mul_f64(0.5).min(Duration::from_millis(1500)),
            // The check of an idle connection takes one round trip, one of several that have to fit into the
            // connect timeout.
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
            // SIGKILL follows SIGTERM after the longest deadline (at most 3 s) plus 0.7 s: requests that are
            // read within this timeout have their full deadline before SIGKILL.
            shutdown_read_timeout,
            // The full deadline of such a request could end after SIGKILL.
            shutdown_late_response_timeout: counted_deadline + shutdown_read_timeout - SHUTDOWN_WRITE_MARGIN,
            shutdown_timeout,
            drain_idle_close_delay: Duration::from_millis(500),
            drain_read_timeout: Duration::from_millis(1500),
            draining_first_request_timeout: Duration::from_millis(300),
            client_linger_timeout: Duration::from_millis(300),
            // More than the longest client message; a connection on which more bytes are received is closed
            // without further delay.
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
            // A new watch is opened every 600 ms: the first one receives its empty line after 2 s, before it
            // could be closed in favour of newer ones.
            max_pending_watches: descriptors::MAX_PENDING_WATCHES,
            pending_watch_timeout: Duration::from_secs(10),
            watch_notification_deadline: Duration::from_secs(6),
            watch_notification_margin: Duration::from_secs(1),
        }
    }

    /// Limits the number of client connections for a front that has two threads for each of them.
    pub fn limit_clients_with_two_threads(&mut self, resources: ProcessResources) {
        let client_bytes = 2 * CONNECTION_BYTES;
        let max_clients = resources.memory_for_connections() * 3 / 4 / client_bytes;
        self.max_client_connections = self.max_client_connections.min(max_clients);
    }

    /// Reserves file descriptors for the admin listener. They are taken from backend connections first, down
    /// to half of those, then from client connections: two processes running in parallel have to accept all
    /// connections that the platform's front end opens. If there are few descriptors, fewer admin connections
    /// are allowed.
    pub fn reserve_admin_descriptors(&mut self, resources: ProcessResources) {
        let descriptors = resources.usable_descriptors();
        let max_connections = (descriptors.saturating_sub(32) / 16).max(2);
        self.max_admin_connections = self.max_admin_connections.min(max_connections);
        self.reserved_descriptors =
            descriptors::RESERVED + descriptors::RESERVED_FOR_ADMIN + self.max_admin_connections;
        let without_admin = ConnectionShares::divide(descriptors, descriptors::RESERVED);
        let with_admin = ConnectionShares::divide(descriptors, self.reserved_descriptors);
        let total = with_admin.clients + with_admin.backends;
        let max_clients = total.saturating_sub(without_admin.backends / 2);
        self.max_client_connections = without_admin.clients.min(max_clients).max(with_admin.clients);
        self.max_backend_connections = total - self.max_client_connections;
    }
}
