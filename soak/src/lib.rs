//! A randomized soak: real router processes on loopback, with stand-in servers, discovery and clients, under troubles that
//! are drawn from a seed and overlap.
//!
//! - [`plan`]: what is played. [`trouble`]: which troubles there are, and how they are drawn.
//! - [`world`]: the servers and their links, the discovery agents and the clients of the platform's front. A link is a
//!   fault proxy: every byte that a router writes is stamped when it arrives, and may then be delayed, trickled, lost,
//!   reset or forgotten on its way to the server behind it.
//! - [`router`]: the processes, with the preloaded library of the package `faults` in each.
//! - [`platform`] and [`serve`]: one run of each front.
//! - [`oracle`]: reads the records of servers, clients and discovery, never the program's own words, and names each
//!   promise that was broken. The program's own count of violated invariants is read besides.
//! - [`reduce`]: leaves out troubles of a failing run while it still fails.
//!
//! Every child process is ended at the end of a run, also after a panic; the load is bounded in rate and time.
pub mod history;
pub mod oracle;
pub mod plan;
pub mod platform;
pub mod reduce;
pub mod report;
pub mod router;
pub mod serve;
pub mod trouble;
pub mod world;
