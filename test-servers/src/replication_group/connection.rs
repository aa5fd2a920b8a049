//! A client connection to a server, and the statements on it.
use super::clock::unix_micros;
use super::shared::Shared;
use crate::wire::{
    COMMAND_QUERY, COMMAND_QUIT, ERROR_READ_ONLY, ERROR_SYNTAX, OK, SET_DEFAULTS, error, greet, packets,
    read, row,
};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// Value returned for every system variable that a client reads after it connects.
const SYSTEM_VARIABLE: &str = "1048576";

/// Serves a connection until it is closed.
pub(super) fn serve(shared: &Shared, server: usize, mut socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    if shared.state().servers[server].shut_down {
        return socket.shutdown(Shutdown::Both);
    }
    greet(socket)?;
    loop {
        let command = read(socket)?;
        let response = match command.split_first() {
            Some((&COMMAND_QUERY, sql)) => {
                let Some(bytes) = run(shared, server, &String::from_utf8_lossy(sql)) else { return Ok(()) };
                bytes
            }
            Some((&COMMAND_QUIT, _)) | None => return Ok(()),
            _ => packets(1, &[OK]),
        };
        socket.write_all(&response)?;
    }
}

/// Runs a statement and returns its response; `None` if the server has been shut down.
fn run(shared: &Shared, server: usize, sql: &str) -> Option<Vec<u8>> {
    if sql == "SELECT probe" {
        return respond_to_probe(shared, server);
    }
    if sql == SET_DEFAULTS {
        return Some(packets(1, &[OK]));
    }
    if sql.starts_with("SELECT @@") {
        return Some(row(&vec![SYSTEM_VARIABLE; sql.matches("@@").count()]));
    }
    wait_while_hung(shared, server)?;
    let quoted: Vec<&str> = sql.split('\'').collect();
    let (Some(session), Some(rest)) = (quoted.get(1), quoted.get(2)) else {
        return Some(error(ERROR_SYNTAX, "not known here"));
    };
    if sql.starts_with("SELECT") {
        return Some(run_read(shared, server, session));
    }
    run_write(shared, server, session, first_number(rest))
}

/// Responds to a probe with the read-only flag, the last applied heartbeat and the server's clock, both as
/// Unix time in milliseconds.
fn respond_to_probe(shared: &Shared, server: usize) -> Option<Vec<u8>> {
    let mut state = shared.wait_while(server, |_| false)?;
    let server = &mut state.servers[server];
    server.counts.probes += 1;
    let now = unix_micros();
    let heartbeat_ms = (shared.last_heartbeat(server.applied_until(now)) / 1000).to_string();
    let clock_ms = (now / 1000).to_string();
    let read_only = if server.read_only { "1" } else { "0" };
    Some(row(&[read_only, &heartbeat_ms, &clock_ms]))
}

/// Waits while a server hangs; returns `None` if it has been shut down.
fn wait_while_hung(shared: &Shared, server: usize) -> Option<()> {
    shared.update(server, |server| server.blocked_statements += 1);
    let waited = shared.wait_while(server, |server| server.hung).map(drop);
    shared.update(server, |server| server.blocked_statements -= 1);
    waited
}

/// Returns the newest item of a session that the server has applied.
fn run_read(shared: &Shared, server: usize, session: &str) -> Vec<u8> {
    let mut state = shared.state();
    let server = &mut state.servers[server];
    server.counts.reads += 1;
    server.last_read = Some(Instant::now());
    let name = server.name.clone();
    let applied = server.applied_until(unix_micros());
    let item = state.newest_item(session, applied);
    row(&[&item.to_string(), &name])
}

/// Adds an item to a session; returns `None` if the server was shut down before its response could be sent.
fn run_write(shared: &Shared, server: usize, session: &str, item: u64) -> Option<Vec<u8>> {
    let mut state = shared.state();
    if state.servers[server].read_only {
        return Some(error(ERROR_READ_ONLY, "read-only"));
    }
    state.servers[server].counts.writes += 1;
    state.log.entry(session.to_string()).or_default().commit(unix_micros(), item);
    if state.servers[server].withholds_responses {
        state.withheld_responses += 1;
        drop(state);
        shared.notify();
        drop(shared.wait_while(server, |server| server.withholds_responses)?);
    }
    Some(packets(1, &[OK]))
}

/// Returns the first number in a text; 0 if there is none.
fn first_number(text: &str) -> u64 {
    let from_digits = text.trim_matches(|c: char| !c.is_ascii_digit());
    let digits = from_digits.split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
