//! `load`: an open-loop load generator for a running router. Each request has an intended time, and its latency counts
//! from then: a stall is not hidden by a client that waits for it before it sends its next request.
mod arguments;
mod outcome;
mod schedule;
mod worker;

pub use arguments::LoadArguments;

use crate::error::Error;
use outcome::Outcomes;
use schedule::ScheduledStatement;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Instant;

/// Sends a load, and prints its latencies and errors.
///
/// # Errors
/// The statements or the capture file can't be used, or a latency is out of the histogram's range.
pub fn run(arguments: &LoadArguments) -> Result<(), Error> {
    let schedule = match &arguments.pcap {
        Some(path) => schedule::from_capture(path, arguments.writes)?,
        None => schedule::draw(arguments)?,
    };
    let offered = schedule.len();
    let begin = Instant::now();
    let outcomes = send(arguments, begin, schedule);
    print!("{}", outcomes.report(offered, begin.elapsed())?);
    Ok(())
}

/// Sends a schedule on all connections. Statements whose time has come wait for a free connection.
fn send(arguments: &LoadArguments, begin: Instant, schedule: Vec<ScheduledStatement>) -> Outcomes {
    let (sender, receiver) = channel();
    schedule.into_iter().for_each(|statement| _ = sender.send(statement));
    drop(sender);
    let schedule = Mutex::new(receiver);
    let mut all = Outcomes::default();
    std::thread::scope(|scope| {
        let connections = 0..arguments.connections.max(1);
        let workers: Vec<_> =
            connections.map(|_| scope.spawn(|| worker::run(arguments, begin, &schedule))).collect();
        workers.into_iter().filter_map(|worker| worker.join().ok()).for_each(|outcomes| all.add(outcomes));
    });
    all
}
