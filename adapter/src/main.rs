//! Hosts damsonvale routers behind a line-based JSON protocol: reads batches of events from standard input
//! and writes one response line per batch to standard output. It only translates and takes no decisions.
mod host;

use std::io::{self, BufRead, Write};

/// An error that ends the adapter. Lines are counted from 1.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("line {line} cannot be read: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    Batch { line: u64, source: settings::Error },
    #[error("the response to line {line} cannot be written: {source}")]
    Write { line: u64, source: io::Error },
}

fn run() -> Result<(), Error> {
    let mut host = host::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        let length =
            input.read_line(&mut line).map_err(|source| Error::Read { line: line_number, source })?;
        if length == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let response =
            host.handle_batch(&line).map_err(|source| Error::Batch { line: line_number, source })?;
        writeln!(output, "{response}")
            .and_then(|()| output.flush())
            .map_err(|source| Error::Write { line: line_number, source })?;
    }
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("damsonvale-adapter: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
