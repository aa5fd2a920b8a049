//! Command line for experiments: simulated fleets with tables and charts that can be compared, loads for running
//! routers, runs of real processes, and readers of routers' logs.
//!
//! [`cli`] lists the commands, and each has a module: [`run`] with `run`, `sweep` and `compare`, [`load`],
//! [`processes`], [`soak`], [`life`] and [`count`]. The other modules hold and show the results of simulated runs.
pub mod case;
pub mod chart;
pub mod cli;
pub mod count;
pub mod error;
pub mod interval;
pub mod life;
pub mod load;
pub mod parallel;
pub mod plan_file;
pub mod processes;
pub mod result_files;
pub mod run;
pub mod soak;
pub mod spread_chart;
pub mod spread_table;
pub mod table;
