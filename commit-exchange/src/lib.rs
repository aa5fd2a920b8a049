//! Shares the commits of sessions between the processes of one router.
//!
//! A session's read must see the session's earlier writes. A process knows the commits of the writes that it
//! served itself. While a process is replaced, the old and the new one serve side by side, and a session may write
//! through one of them and read through the other. So each process appends the commits that it serves to a log file
//! in a folder that the processes share, before the client gets the response, and reads the logs of the others
//! before it routes a session's read.
//!
//! - [`Peers`] is the state machine: it knows which of the other processes publish a log, and whether commits may
//!   have been acknowledged that no log contains. It does no I/O.
//! - [`CommitExchange`] owns the files: the log of this process and those of the others.
//!
//! A process that is alone writes and reads no file. Commits that no log contains are reported as
//! [`ReceivedCommits::commits_missing`]; the reads that follow then have to see everything up to the present:
//!
//! - commits from before this process started, if the router has run before;
//! - commits from before another process noticed that it is not alone;
//! - commits of a process whose log cannot be read, or which does not publish one.
//!
//! Commit times are Unix times in microseconds, as servers report them.
mod exchange;
mod log;
mod peers;

pub use exchange::{CommitExchange, ReceivedCommits};
pub use log::{CommitLogError, SharedCommit};
pub use peers::{Peers, ProcessName, ServedBefore};
