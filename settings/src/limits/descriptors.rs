//! How the process's file descriptors are divided.

/// The standard streams.
const STREAMS: usize = 3;
/// The listener, and the accepting thread's handle of it.
const LISTENER: usize = 2;
/// A client that is accepted and waits for capacity.
const ACCEPTED: usize = 1;
/// The poll that notices clients that disconnect.
const POLL: usize = 1;
/// The pipe of signals.
const SIGNALS: usize = 2;
/// The configuration, while SIGHUP has it read.
const CONFIG_FILE: usize = 1;
/// Wakes the accepting thread at the end.
const WAKE: usize = 1;
/// Connections of the watch that may wait for their first line.
pub(super) const WAITING_WATCHES: usize = 6;
/// Beside those that wait: one that fell silent, and after a move the old address's. Each may have been closed while
/// its reader still holds it, and another stand in its place.
const WATCHES: usize = 2 * (WAITING_WATCHES + 2);
/// Clients and connections to instances that are no longer counted, whose last handle a thread is about to drop.
const CLOSING: usize = 6;
/// What the system's libraries open for a moment.
const LIBRARIES: usize = 7;

/// Descriptors beside the connections of clients and to instances, all open at the same moment.
pub(super) const RESERVED: usize =
    STREAMS + LISTENER + ACCEPTED + POLL + SIGNALS + CONFIG_FILE + WAKE + WATCHES + CLOSING + LIBRARIES;

/// The admin listener's: itself, its poll, and a connection over the bound.
const ADMIN_LISTENER: usize = 3;
/// Maintenance's: the state file, its lock, the next state file, the folder, this process's mark and another's.
const MAINTENANCE: usize = 6;

/// What the admin listener needs beside its connections.
pub(super) const RESERVED_FOR_ADMIN: usize = ADMIN_LISTENER + MAINTENANCE;

/// The fewest descriptors that clients and connections to instances are given together.
const MIN_CONNECTIONS: usize = 12;

/// How many connections of clients and to instances there may be.
pub(super) struct ConnectionShares {
    /// Of clients.
    pub(super) clients: usize,
    /// To instances.
    pub(super) backends: usize,
}

impl ConnectionShares {
    /// Of `descriptors` without the `reserved` ones: three quarters for clients and a quarter for instances.
    pub(super) fn of(descriptors: usize, reserved: usize) -> ConnectionShares {
        let free = descriptors.saturating_sub(reserved).max(MIN_CONNECTIONS);
        ConnectionShares { clients: free * 3 / 4, backends: free / 4 }
    }
}
