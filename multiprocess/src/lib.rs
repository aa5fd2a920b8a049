//! Runs hundreds of real router processes at once: [`run`](run::run) starts them with store nodes and fake `MySQL`
//! servers, sends load and injects faults according to a [`Plan`](plan::Plan), and checks the servers' own records
//! against the guarantees that must hold ([`check`]). The caller names the program to run; only processes started here
//! are ended here.
pub mod addresses;
pub mod check;
pub mod history;
pub mod load;
mod packet_io;
pub mod plan;
pub mod process;
pub mod report;
pub mod run;
pub mod servers;
