//! Tests of placement rules, with the whole core and a scripted protocol.
#[path = "../common/mod.rs"]
mod common;

mod rules;
mod script;
