//! The driver of the state machine: the journal thread, one thread per outbound peer connection, the inbound
//! peer connections, and the periodic ticks. A front queries which commit time a read must reflect, and
//! reports each served write before it responds to the client.
//!
//! The state machine is behind one mutex, which is locked for microseconds and never during socket or file
//! I/O. Frames for peers wait in bounded queues. Journal records wait in a list that the journal thread takes
//! as a whole, so that many writes share one sync.
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
