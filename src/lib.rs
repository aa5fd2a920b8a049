//! The program `damsonvale`: the command line and its sub-commands.
//!
//! Each sub-command is a module of [`commands`]. The sub-commands assemble the components of the other
//! packages and contain no request routing logic. This library exists only for the program and its tests.
mod allocator;
pub mod cli;
pub mod commands;
mod log;
mod signals;
