//! Regression test: each command at the admin address, the bytes of its response, and its effects on the
//! router, compared with a recorded transcript. The fixture must never change.
mod common;

use common::router::{Effect, TestRouter};
use common::{FIXTURES, send_and_read};
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;

/// Transcript of commands sent to the admin address.
struct Transcript {
    router: TestRouter,
    address: SocketAddr,
    text: String,
}

impl Transcript {
    fn push_heading(&mut self, what: &str) {
        writeln!(self.text, "# {what}").unwrap();
    }

    /// Sends one line and appends the response and its effects to the transcript.
    fn send(&mut self, line: &[u8]) {
        let response = send_and_read(self.address, line);
        let response = response.replace(&self.router.folder().display().to_string(), "FOLDER");
        writeln!(self.text, "> {}", line.escape_ascii()).unwrap();
        writeln!(self.text, "< {}", response.escape_debug()).unwrap();
        for effect in self.router.effects() {
            let text = match effect {
                Effect::Drain(draining) => format!("front drains: {draining}"),
                Effect::DrainCommand(draining) => format!("order to clients, drain: {draining}"),
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

fn send_valid_commands(transcript: &mut Transcript) {
    transcript.push_heading("before the router takes clients");
    transcript.send(b"STATUS\n");
    transcript.router.accept_clients();
    transcript.push_heading("no endpoint listed yet");
    transcript.send(b"STATUS\n");
    transcript.send(b"METRICS\n");
    transcript.send(b"SUSPEND db-1\n");
    transcript.router.list_endpoints(&["db-1", "db-2", "db-3"]);
    transcript.push_heading("db-1, db-2, db-3 listed; at most two in maintenance");
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
        transcript.send(format!("{line}\n").as_bytes());
    }
    transcript.push_heading("spelling");
    for line in ["status\r\n", "  suspend \t db-3  \n", "Restore db-3\n", "pause\nSTATUS\n", "ReSuMe\n"] {
        transcript.send(line.as_bytes());
    }
}

fn send_invalid_lines(transcript: &mut Transcript) {
    transcript.push_heading("lines that are no command");
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
        transcript.send(line.as_bytes());
    }
}

/// Sends commands while the files in the shared folder are unusable.
fn send_with_state_file_faults(transcript: &mut Transcript) {
    transcript.push_heading("the lock is held by another process");
    let lock = File::open(transcript.router.folder().join("damsonvale-holds.lock")).unwrap();
    lock.lock().unwrap();
    transcript.send(b"SUSPEND db-1\n");
    transcript.send(b"SUSPEND db-9\n");
    transcript.send(b"STATUS\n");
    drop(lock);
    transcript.push_heading("the lock is free again");
    transcript.send(b"PAUSE\n");
    transcript.push_heading("the state file is damaged");
    std::fs::write(transcript.router.folder().join("damsonvale-holds"), b"another program's").unwrap();
    transcript.send(b"RESUME\n");
    transcript.push_heading("the state file was replaced by another version's");
    std::fs::write(transcript.router.folder().join("damsonvale-holds"), b"dvholds\n\x02\0\0\0").unwrap();
    transcript.send(b"RESUME\n");
    transcript.send(b"RESTORE db-1\n");
    transcript.send(b"STATUS\n");
}

#[test]
fn responses_of_the_admin_address_are_unchanged() {
    let router = TestRouter::start("exchanges");
    let address = router.serve();
    let mut transcript = Transcript { router, address, text: String::new() };
    send_valid_commands(&mut transcript);
    send_invalid_lines(&mut transcript);
    send_with_state_file_faults(&mut transcript);
    FIXTURES.assert_same("exchanges.txt", transcript.text);
}
