//! `life`: prints all lines of one request from a router's log.
use crate::error::Error;
use clap::Args;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// Arguments of `life`.
#[derive(Args)]
pub struct LifeArguments {
    /// Log of the router: the standard error of its process, written with `DAMSONVALE_LOG=debug`
    log: PathBuf,
    /// Number of the request in the log
    #[arg(long, conflicts_with = "id", required_unless_present = "id")]
    request: Option<u64>,
    /// Request id that the client sent
    #[arg(long)]
    id: Option<String>,
}

/// Returns the value of a field `name=value` in a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the log lines of a request: those that contain its number, and the line that reports the end of
/// its client connection.
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

/// Returns the number of the request with the given client request id.
fn find_request_by_id(log: &[String], id: &str) -> Option<u64> {
    let submitted_line =
        log.iter().find(|line| line.contains("request submitted") && field(line, "id") == Some(id))?;
    field(submitted_line, "request")?.parse().ok()
}

/// Prints the log lines of a request.
///
/// # Errors
/// Returns an error if the log can't be read or does not contain the request.
pub fn run(arguments: &LifeArguments) -> Result<(), Error> {
    let file =
        File::open(&arguments.log).map_err(|source| Error::Read { path: arguments.log.clone(), source })?;
    let log: Vec<String> = BufReader::new(file).lines().map_while(Result::ok).collect();
    let find_by_id = || find_request_by_id(&log, arguments.id.as_deref()?);
    let request = arguments.request.or_else(find_by_id);
    let lines = request.map(|request| lines_of_request(&log, request)).unwrap_or_default();
    if lines.is_empty() {
        return Err(Error::RequestNotLogged);
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}
