//! `life`: reads one request's whole life back from a router's log.
use crate::error::Error;
use clap::Args;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// What is asked for.
#[derive(Args)]
pub(crate) struct Life {
    /// The router's log, written with `DAMSONVALE_LOG=debug`; the standard error of the process.
    log: PathBuf,
    /// The request's number in the log.
    #[arg(long, conflicts_with = "id", required_unless_present = "id")]
    request: Option<u64>,
    /// The id that its client gave it.
    #[arg(long)]
    id: Option<String>,
}

/// The value of a field `name=value` of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// The lines of a log that concern one request: those that name it, and the end of the connection that it came on.
pub(crate) fn lines_of(log: &[String], request: u64) -> Vec<&str> {
    let number = request.to_string();
    let names_it = |line: &str| field(line, "request") == Some(&number);
    let first = log.iter().find(|line| names_it(line));
    let connection = first.and_then(|line| field(line, "connection")).map(str::to_string);
    let closes = |line: &str| {
        line.contains("client connection closed") && field(line, "connection") == connection.as_deref()
    };
    log.iter().map(String::as_str).filter(|line| names_it(line) || closes(line)).collect()
}

/// The number of the request that a client gave this id.
pub(crate) fn request_of(log: &[String], id: &str) -> Option<u64> {
    let named =
        log.iter().find(|line| line.contains("request submitted") && field(line, "id") == Some(id))?;
    field(named, "request")?.parse().ok()
}

pub(crate) fn run(asked: &Life) -> Result<(), Error> {
    let file =
        std::fs::File::open(&asked.log).map_err(|e| Error::Read { path: asked.log.clone(), source: e })?;
    let log: Vec<String> = BufReader::new(file).lines().map_while(Result::ok).collect();
    let request = asked.request.or_else(|| asked.id.as_deref().and_then(|id| request_of(&log, id)));
    let lines = request.map(|request| lines_of(&log, request)).unwrap_or_default();
    if lines.is_empty() {
        return Err(Error::NotLogged);
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
