//! A randomized soak test: real router processes on loopback, with simulated servers, discovery and clients, under faults
//! that are drawn from a seed and overlap.
//!
//! - [`plan`]: what a run plays. [`fault`]: which faults there are. [`draw`]: how a seed draws them.
//! - [`environment`]: the servers and their links, the discovery agents and the clients of the platform's front. A link is a
//!   fault proxy: every byte that a router writes is stamped when it arrives, and may then be delayed, trickled, lost,
//!   reset or forgotten on its way to the server behind it.
//! - [`router`]: the processes, with the preloaded library of the package `faults` in each.
//! - [`mod@play`]: one run, by way of [`platform`] or [`serve`], the two fronts.
//! - [`history`]: what a run records.
//! - [`oracle`]: reads the records of servers, clients and discovery, never the program's own log, and names each promise
//!   that was broken. The program's own count of violated invariants is read besides.
//! - [`report`]: the figures of a run.
//! - [`reduce`]: leaves out faults of a failing run while it still fails.
//!
//! Every child process is ended at the end of a run, also after a panic; the load is bounded in rate and time.
pub mod class;
pub mod draw;
pub mod environment;
pub mod error;
pub mod fault;
pub mod history;
pub mod oracle;
pub mod plan;
pub mod platform;
pub mod play;
pub mod reduce;
pub mod report;
pub mod router;
pub mod serve;
pub mod time;
