//! The hand-over of attempts to connections: the whole core on a protocol that stops at a connect, a write, a response or
//! a close until the test lets it go on, so that updates arrive in between.
#[path = "../common/mod.rs"]
mod common;

mod cancellation;
mod connections;
mod mailbox;
mod script;
