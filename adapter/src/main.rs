//! Hosts damsonvale routers behind the line-based JSON wire: batches of events on standard input, one
//! reply line for each on standard output. It translates and decides nothing.
mod host;

use std::io::{self, BufRead, Write};

/// Why the adapter ends; the line is counted from 1.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("line {line}: cannot be read: {source}")]
    Read { line: u64, source: io::Error },
    #[error("line {line}: {source}")]
    Batch { line: u64, source: settings::Error },
    #[error("reply to line {line}: cannot be written: {source}")]
    Write { line: u64, source: io::Error },
}

fn run() -> Result<(), Error> {
    let mut host = host::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    let mut at = 0u64;
    loop {
        line.clear();
        at += 1;
        let read = input.read_line(&mut line).map_err(|source| Error::Read { line: at, source })?;
        if read == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line).map_err(|source| Error::Batch { line: at, source })?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|source| Error::Write { line: at, source })?;
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
