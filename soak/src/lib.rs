//! A randomized soak test. It runs real router processes on loopback against simulated servers, discovery
//! agents and clients, and injects overlapping faults that are generated from a seed.
//!
//! - [`plan`]: the description of a run. [`fault`]: the kinds of faults. [`draw`]: generates faults from a
//!   seed.
//! - [`environment`]: the servers with their links, the discovery agents, and the clients of the platform
//!   front. A link is a fault-injecting proxy between a router and a server: it timestamps the bytes that the
//!   router writes, and can delay or block them, deliver responses one byte at a time, or reset connections.
//! - [`router`]: the router processes, each with the preloaded library of the package `faults`.
//! - [`play`]: executes one run on the front that the plan names: [`platform`] or [`serve`].
//! - [`history`]: the records of a run.
//! - [`oracle`]: checks the records of servers, clients and discovery against the router's promises, without
//!   reading the router's own log. It also checks the router's own counters of violated invariants.
//! - [`report`]: the statistics of a run.
//! - [`reduce`]: minimizes the faults of a failing run.
//!
//! Every child process is killed at the end of a run, also after a panic. The load is bounded in rate and
//! duration.
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
