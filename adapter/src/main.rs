//! Hosts damsonvale routers behind the line-based JSON wire: batches of events on standard input, one
//! reply line for each on standard output. It translates and decides nothing.
mod host;

use std::io::{BufRead, Write};

fn run() -> Result<(), String> {
    let mut host = host::Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: cannot be read: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line).map_err(|e| format!("line {number}: {e}"))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply to line {number}: cannot be written: {e}"))?;
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
