//! Drives the state machine: the journal's thread, a thread for each peer to connect to, the connections of peers, and
//! the ticks. A front asks what a read must see, and hands over a served write before it answers the client.
//!
//! The machine is behind one lock that is held for microseconds and never over a socket or a file: what is sent to a
//! peer waits in a bounded queue, what is written to disk in a list that the journal's thread takes at once, so that
//! many writes share one sync.
mod actions;
mod connection;
mod inbound;
mod journal_thread;
mod outbound;
mod peer_link_log;
mod peers;
mod requests;
mod sessions;
mod start;
mod state;
mod status;
mod ticks;

pub use requests::SessionRef;
pub use sessions::Sessions;
pub use state::CommitOutcome;
pub use status::request_status;
