//! Runs hundreds of router processes at once. [`run`](run::run) starts them together with store nodes and
//! fake `MySQL` servers, sends load and injects faults according to a [`Plan`](plan::Plan), and checks the
//! statements that the servers recorded against the guarantees in [`check`]. The caller passes the path of
//! the router program. Only processes that this crate started are signalled or killed.
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
