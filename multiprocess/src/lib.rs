//! Hundreds of real router processes at once: [`run`](run::run) starts them with store nodes and stand-in MySQL servers,
//! drives load and faults by a [`Plan`](plan::Plan), and holds the servers' own records against what must be so
//! ([`check`]). The program's path is given by the caller; only processes that were started here are ended here.
pub mod check;
pub mod child;
pub mod history;
pub mod load;
pub mod plan;
pub mod report;
pub mod run;
pub mod servers;
