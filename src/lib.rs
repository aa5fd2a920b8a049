//! The program `damsonvale`: the command line and its sub-commands.
//!
//! Each sub-command has a file under [`commands`]. They build the parts that the other packages bring, and decide
//! nothing about requests themselves. The library exists for the program and its tests alone.
pub mod cli;
pub mod commands;
mod log;
mod signals;
