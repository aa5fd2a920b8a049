//! `load`: an open-loop load generator for a running router. Each request has a scheduled time, and its
//! latency is measured from that time. A stall is therefore not hidden by clients that wait for a
//! response before they send the next request.
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
/// Returns an error if the statements or the capture file are invalid, or a latency is outside the
/// histogram's range.
pub fn run(arguments: &LoadArguments) -> Result<(), Error> {
    let schedule = match &arguments.pcap {
        Some(path) => schedule::from_capture(path, arguments.writes)?,
        None => schedule::generate(arguments)?,
    };
    let offered = schedule.len();
    let load_start = Instant::now();
    let outcomes = send(arguments, load_start, schedule);
    print!("{}", outcomes.report(offered, load_start.elapsed())?);
    Ok(())
}

/// Sends a schedule over all connections. Statements that are due wait for a free connection.
fn send(arguments: &LoadArguments, load_start: Instant, schedule: Vec<ScheduledStatement>) -> Outcomes {
    let (sender, receiver) = channel();
    schedule.into_iter().for_each(|statement| _ = sender.send(statement));
    drop(sender);
    let schedule = Mutex::new(receiver);
    let mut combined = Outcomes::default();
    std::thread::scope(|scope| {
        let connections = 0..arguments.connections.max(1);
        let workers: Vec<_> =
            connections.map(|_| scope.spawn(|| worker::run(arguments, load_start, &schedule))).collect();
        workers
            .into_iter()
            .filter_map(|worker| worker.join().ok())
            .for_each(|outcomes| combined.add(outcomes));
    });
    combined
}
