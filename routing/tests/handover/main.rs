//! Tests of the dispatch of attempts to connections. The tests run the whole core with a scripted protocol
//! that can be paused at connect, write, response or close, so that updates arrive in between.
#[path = "../common/mod.rs"]
mod common;

mod cancellation;
mod connections;
mod mailbox;
mod script;
