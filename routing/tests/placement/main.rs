//! Tenants' data stays in its place, with the whole core on a scripted protocol.
#[path = "../common/mod.rs"]
mod common;

mod rules;
mod script;
