//! `life`: prints all lines of one request from a router's log.
use crate::error::Error;
use clap::Args;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// Arguments of `life`.
#[derive(Args)]
pub struct LifeArguments {
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
fn lines_of_request(log: &[String], request: u64) -> Vec<&str> {
    let number = request.to_string();
    let names_request = |line: &str| field(line, "request") == Some(&number);
    let first = log.iter().find(|line| names_request(line));
    let connection = first.and_then(|line| field(line, "connection"));
    let closes_connection =
        |line: &str| line.contains("client connection closed") && field(line, "connection") == connection;
    let lines = log.iter().map(String::as_str);
    lines.filter(|line| names_request(line) || closes_connection(line)).collect()
}

/// The number of the request that a client gave this id.
fn request_with_id(log: &[String], id: &str) -> Option<u64> {
    let named =
        log.iter().find(|line| line.contains("request submitted") && field(line, "id") == Some(id))?;
    field(named, "request")?.parse().ok()
}

/// Prints the lines of a request.
///
/// # Errors
/// The log can't be read, or has no such request.
pub fn run(arguments: &LifeArguments) -> Result<(), Error> {
    let file =
        File::open(&arguments.log).map_err(|source| Error::Read { path: arguments.log.clone(), source })?;
    let log: Vec<String> = BufReader::new(file).lines().map_while(Result::ok).collect();
    let with_id = || request_with_id(&log, arguments.id.as_deref()?);
    let request = arguments.request.or_else(with_id);
    let lines = request.map(|request| lines_of_request(&log, request)).unwrap_or_default();
    if lines.is_empty() {
        return Err(Error::RequestNotLogged);
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
