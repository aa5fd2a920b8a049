//! Command line for experiments: simulated fleets with comparable tables and charts, loads for running
//! routers, runs of router processes, and readers of routers' logs.
//!
//! [`cli`] lists the commands. [`run`] implements `run`, `sweep` and `compare`; [`load`], [`processes`],
//! [`soak`], [`life`] and [`count`] implement the commands of the same names. The other modules store and
//! display the results of simulations.
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
