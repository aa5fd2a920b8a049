//! Division of the process's file descriptors between client connections, backend connections and other uses.

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The client listener and its duplicate in the accepting thread.
const CLIENT_LISTENER: usize = 2;
/// A client connection that was accepted and waits for a free slot.
const WAITING_CLIENT: usize = 1;
/// The poll instance that detects disconnected clients.
const CLIENT_POLL: usize = 1;
/// Both ends of the signal pipe.
const SIGNAL_PIPE: usize = 2;
/// The configuration file while it is reloaded after SIGHUP.
const CONFIG_FILE: usize = 1;
/// The descriptor that wakes the accepting thread at shutdown.
const ACCEPT_WAKER: usize = 1;
/// Discovery watches that may wait for their first line.
pub(super) const MAX_PENDING_WATCHES: usize = 6;
/// All discovery watches: besides the pending ones, a silent one and, after an address change, one of the
/// previous address. They count twice because a closed watch may still be open in its reader thread while its
/// replacement is open too.
const WATCHES: usize = 2 * (MAX_PENDING_WATCHES + 2);
/// Client and backend connections that are no longer counted but whose descriptor a thread has not closed
/// yet.
const CLOSING_CONNECTIONS: usize = 6;
/// Descriptors that system libraries open temporarily.
const LIBRARY_DESCRIPTORS: usize = 7;

/// Largest number of descriptors in use at the same time apart from client and backend connections.
pub(super) const RESERVED: usize = STANDARD_STREAMS
    + CLIENT_LISTENER
    + WAITING_CLIENT
    + CLIENT_POLL
    + SIGNAL_PIPE
    + CONFIG_FILE
    + ACCEPT_WAKER
    + WATCHES
    + CLOSING_CONNECTIONS
    + LIBRARY_DESCRIPTORS;

/// The admin listener, its poll instance, and one connection above the limit.
const ADMIN_LISTENER: usize = 3;
/// Files of the maintenance state: the state file, its lock, its replacement, the folder, and the presence
/// markers of this process and another.
const MAINTENANCE_FILES: usize = 6;

/// Descriptors that the admin listener needs in addition to its connections.
pub(super) const RESERVED_FOR_ADMIN: usize = ADMIN_LISTENER + MAINTENANCE_FILES;

/// Minimum number of descriptors for client and backend connections together.
const MIN_CONNECTIONS: usize = 12;

/// The limits of client and backend connections.
pub(super) struct ConnectionShares {
    /// Largest number of client connections.
    pub(super) clients: usize,
    /// Largest number of backend connections.
    pub(super) backends: usize,
}

impl ConnectionShares {
    /// Divides `descriptors` minus the `reserved` ones: three quarters for client and a quarter for backend
    /// connections.
    pub(super) fn divide(descriptors: usize, reserved: usize) -> ConnectionShares {
        let free = descriptors.saturating_sub(reserved).max(MIN_CONNECTIONS);
        ConnectionShares { clients: free * 3 / 4, backends: free / 4 }
    }
}
