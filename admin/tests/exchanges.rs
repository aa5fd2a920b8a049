//! Every verb and answer of the operators' address, byte for byte, and what each command makes the router do. The
//! fixture was written by the program before its names were revised; it must never change.
mod common;

use common::router::{Effect, TestRouter};
use common::{FIXTURES, ask};
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;

/// A session at the operators' address, written down as it goes.
struct Transcript {
    router: TestRouter,
    address: SocketAddr,
    text: String,
}

impl Transcript {
    fn note(&mut self, what: &str) {
        writeln!(self.text, "# {what}").unwrap();
    }

    /// Sends one line; the answer and its effects go into the text.
    fn send(&mut self, line: &[u8]) {
        let answer = ask(self.address, line);
        let answer = answer.replace(&self.router.folder().display().to_string(), "FOLDER");
        writeln!(self.text, "> {}", line.escape_ascii()).unwrap();
        writeln!(self.text, "< {}", answer.escape_debug()).unwrap();
        for effect in self.router.effects() {
            let text = match effect {
                Effect::Drain(draining) => format!("front drains: {draining}"),
                Effect::DrainOrder(draining) => format!("order to clients, drain: {draining}"),
                Effect::Processes { count, successor } => {
                    format!("processes: {count}, successor: {successor}")
                }
                Effect::CoreProcesses(count) => format!("core shares by: {count}"),
                Effect::Endpoint { id, draining } => format!("{id} draining: {draining}"),
                Effect::ClosedGroups(groups) => format!("closed groups: {groups:?}"),
            };
            writeln!(self.text, "! {text}").unwrap();
        }
    }
}

fn send_valid_commands(t: &mut Transcript) {
    t.note("before the router takes clients");
    t.send(b"STATUS\n");
    t.router.accept_clients();
    t.note("no endpoint listed yet");
    t.send(b"STATUS\n");
    t.send(b"METRICS\n");
    t.send(b"SUSPEND db-1\n");
    t.router.list_endpoints(&["db-1", "db-2", "db-3"]);
    t.note("db-1, db-2, db-3 listed; at most two in maintenance");
    for line in [
        "METRICS",
        "SUSPEND db-9",
        "RESTORE db-9",
        "SUSPEND db-1",
        "SUSPEND db-1",
        "STATUS",
        "RESTORE db-2",
        "SUSPEND db-2",
        "SUSPEND db-3",
        "SUSPEND db-2",
        "STATUS",
        "RESTORE db-1",
        "RESTORE db-1",
        "PAUSE",
        "STATUS",
        "PAUSE",
        "RESUME",
        "RESUME",
        "STATUS",
        "METRICS",
        "RESTORE db-2",
        "STATUS",
    ] {
        t.send(format!("{line}\n").as_bytes());
    }
    t.note("spelling");
    for line in ["status\r\n", "  suspend \t db-3  \n", "Restore db-3\n", "pause\nSTATUS\n", "ReSuMe\n"] {
        t.send(line.as_bytes());
    }
}

fn send_invalid_lines(t: &mut Transcript) {
    t.note("lines that are no command");
    let long_id = format!("SUSPEND {}\n", "x".repeat(257));
    let long_line = format!("STATUS{}\n", " ".repeat(300));
    let long_verb = format!("{}\n", "v".repeat(40));
    for line in [
        "\n",
        "STATSU\n",
        "\x1b[2J\0\n",
        &long_verb,
        "SUSPEND\n",
        "RESTORE\n",
        "SUSPEND a b\n",
        "RESTORE a b\n",
        "STATUS now\n",
        "METRICS now\n",
        "PAUSE now\n",
        "RESUME now\n",
        "SUSPEND \u{e9}\n",
        "RESTORE \u{e9}\n",
        &long_id,
        &long_line,
    ] {
        t.send(line.as_bytes());
    }
}

/// Commands while the files in the shared folder cannot be used.
fn send_with_state_file_faults(t: &mut Transcript) {
    t.note("the lock is held by another process");
    let lock = File::open(t.router.folder().join("damsonvale-holds.lock")).unwrap();
    lock.lock().unwrap();
    t.send(b"SUSPEND db-1\n");
    t.send(b"SUSPEND db-9\n");
    t.send(b"STATUS\n");
    drop(lock);
    t.note("the lock is free again");
    t.send(b"PAUSE\n");
    t.note("the state file is damaged");
    std::fs::write(t.router.folder().join("damsonvale-holds"), b"another program's").unwrap();
    t.send(b"RESUME\n");
    t.note("the state file was replaced by another version's");
    std::fs::write(t.router.folder().join("damsonvale-holds"), b"dvholds\n\x02\0\0\0").unwrap();
    t.send(b"RESUME\n");
    t.send(b"RESTORE db-1\n");
    t.send(b"STATUS\n");
}

#[test]
fn admin_address_answers_keep_their_bytes() {
    let router = TestRouter::start("exchanges");
    let address = router.serve();
    let mut t = Transcript { router, address, text: String::new() };
    send_valid_commands(&mut t);
    send_invalid_lines(&mut t);
    send_with_state_file_faults(&mut t);
    FIXTURES.assert_same("exchanges.txt", t.text);
}
