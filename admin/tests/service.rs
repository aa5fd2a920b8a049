//! Tests of the router's admin service: its notifications to the other parts of the process, and how
//! processes detect each other.
mod common;

use admin::{AdminHandler, Command, Response};
use common::router::{Effect, TestRouter};
use maintenance::ProcessPresence;
use std::time::Instant;

#[test]
fn start_sync_reports_a_ready_process_before_it_returns() {
    let router = TestRouter::start("start_sync");
    let mut other = ProcessPresence::register(router.folder(), 1).unwrap();
    other.mark_ready().unwrap();
    router.service.start_sync().unwrap();
    let expected = [Effect::CoreProcesses(2), Effect::Processes { count: 2, successor: true }];
    assert_eq!(router.effects(), expected);
}

#[test]
fn start_sync_alone_reports_nothing() {
    let router = TestRouter::start("start_sync_alone");
    router.service.start_sync().unwrap();
    assert_eq!(router.effects(), []);
}

#[test]
fn command_to_one_process_takes_effect_in_the_other() {
    let first = TestRouter::start("two_processes");
    let second = TestRouter::start_in(first.folder().to_path_buf());
    second.service.start_sync().unwrap();
    assert_eq!(first.service.handle(Command::Pause), Response::Done("done".into()));
    let deadline = Instant::now() + common::READ_TIMEOUT;
    let mut effects = Vec::new();
    while !effects.contains(&Effect::DrainCommand(true)) {
        assert!(Instant::now() < deadline, "{effects:?}");
        effects.extend(second.effects());
    }
    assert!(effects.contains(&Effect::Drain(true)), "{effects:?}");
}

#[test]
fn process_that_starts_while_draining_drains_before_it_accepts_clients() {
    let first = TestRouter::start("starts_draining");
    assert_eq!(first.service.handle(Command::Pause), Response::Done("done".into()));
    let second = TestRouter::start_in(first.folder().to_path_buf());
    assert_eq!(second.effects(), [Effect::Drain(true), Effect::DrainCommand(true)]);
}
