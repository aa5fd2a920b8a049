//! One connection of a client to a server, and the statements on it.
use super::clock::unix_micros;
use super::shared::Shared;
use crate::wire::{
    COMMAND_QUERY, COMMAND_QUIT, ERROR_READ_ONLY, ERROR_SYNTAX, OK, error, greet, packets, read, row,
};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// The value of every system variable that a client reads when it connects.
const SYSTEM_VARIABLE: &str = "1048576";

/// Serves a connection until its end.
pub(super) fn serve(shared: &Shared, server: usize, mut socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    if shared.state().servers[server].shut_down {
        return socket.shutdown(Shutdown::Both);
    }
    greet(socket)?;
    loop {
        let command = read(socket)?;
        let answer = match command.split_first() {
            Some((&COMMAND_QUERY, sql)) => {
                let Some(answer) = run(shared, server, &String::from_utf8_lossy(sql)) else { return Ok(()) };
                answer
            }
            Some((&COMMAND_QUIT, _)) | None => return Ok(()),
            _ => packets(1, &[OK]),
        };
        socket.write_all(&answer)?;
    }
}

/// Runs a statement; `None` where the server has ended.
fn run(shared: &Shared, server: usize, sql: &str) -> Option<Vec<u8>> {
    if sql == "SELECT probe" {
        return answer_probe(shared, server);
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

/// Whether the server is read-only, the last heartbeat that it has applied, and its clock, both in milliseconds.
fn answer_probe(shared: &Shared, server: usize) -> Option<Vec<u8>> {
    let mut state = shared.wait_while(server, |_| false)?;
    let server = &mut state.servers[server];
    server.counts.probes += 1;
    let now = unix_micros();
    let heartbeat_ms = (shared.heartbeat(server.applied(now)) / 1000).to_string();
    let clock_ms = (now / 1000).to_string();
    let read_only = if server.read_only { "1" } else { "0" };
    Some(row(&[read_only, &heartbeat_ms, &clock_ms]))
}

/// Waits while a server is hung; `None` where it has ended.
fn wait_while_hung(shared: &Shared, server: usize) -> Option<()> {
    shared.update(server, |server| server.blocked_statements += 1);
    let waited = shared.wait_while(server, |server| server.hung).map(drop);
    shared.update(server, |server| server.blocked_statements -= 1);
    waited
}

/// Reads the newest item of a session that the server shows.
fn run_read(shared: &Shared, server: usize, session: &str) -> Vec<u8> {
    let mut state = shared.state();
    let server = &mut state.servers[server];
    server.counts.reads += 1;
    server.last_read = Some(Instant::now());
    let name = server.name.clone();
    let applied = server.applied(unix_micros());
    let item = state.newest_item(session, applied);
    row(&[&item.to_string(), &name])
}

/// Adds an item to a session; `None` where the server has ended before its answer was sent.
fn run_write(shared: &Shared, server: usize, session: &str, item: u64) -> Option<Vec<u8>> {
    let mut state = shared.state();
    if state.servers[server].read_only {
        return Some(error(ERROR_READ_ONLY, "read-only"));
    }
    state.servers[server].counts.writes += 1;
    state.log.entry(session.to_string()).or_default().commit(unix_micros(), item);
    if state.servers[server].withholds_answers {
        state.withheld_answers += 1;
        drop(state);
        shared.notify();
        drop(shared.wait_while(server, |server| server.withholds_answers)?);
    }
    Some(packets(1, &[OK]))
}

/// The first number in a text; 0 for none.
fn first_number(text: &str) -> u64 {
    let from_digits = text.trim_matches(|c: char| !c.is_ascii_digit());
    let digits = from_digits.split(|c: char| !c.is_ascii_digit()).next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
