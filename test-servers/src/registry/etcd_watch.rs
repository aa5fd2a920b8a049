//! etcd's watch: a chunked response in which each line contains events of the watched prefix.
use super::contents::Change;
use super::etcd_json::{encode, key_value, number, text};
use super::faults::Faults;
use super::http::{Request, Stream};
use super::shared::Shared;
use super::state::State;
use serde_json::{Value, json};
use std::io;
use std::net::Shutdown;

/// Path of a watch request.
pub(super) const PATH: &str = "/v3/watch";

/// The next update of a watch.
enum Update {
    /// Changes of all keys up to and including `revision`, and the member's faults.
    Changes { changes: Vec<Change>, revision: u64, faults: Faults },
    /// The next changes are lost, because the history is compacted up to this revision.
    Compacted(u64),
    /// The member is down, so the connection is closed.
    Down,
}

/// Serves a watch until it is canceled or its connection is closed.
pub(super) fn serve(
    shared: &Shared,
    member: usize,
    request: &Request,
    stream: &mut dyn Stream,
) -> io::Result<()> {
    let body = request.json();
    let create = &body["create_request"];
    let prefix = text(&create["key"]);
    let mut next_revision = number(create, "start_revision");
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    shared.state().members[member].watch_count += 1;
    shared.notify();
    write_chunk(stream, &json!({"result": {"header": {}, "created": true}}))?;
    loop {
        match next_update(shared, member, next_revision) {
            Update::Down => return stream.socket().shutdown(Shutdown::Both),
            Update::Compacted(revision) => {
                let compacted =
                    json!({"header": {}, "canceled": true, "compact_revision": revision.to_string()});
                write_chunk(stream, &json!({"result": compacted}))?;
                return stream.socket().shutdown(Shutdown::Both);
            }
            Update::Changes { mut changes, revision, faults } => {
                next_revision = revision + 1;
                changes.retain(|change| change.key.starts_with(&prefix));
                if changes.is_empty() {
                    continue;
                }
                let events = events(changes, revision, &faults);
                if faults.truncate_next_event {
                    return write_truncated_chunk(stream, &events);
                }
                write_chunk(stream, &events)?;
            }
        }
    }
}

/// Waits for the next update of a watch.
fn next_update(shared: &Shared, member: usize, next_revision: u64) -> Update {
    let nothing_new = |state: &State| {
        let contents = &state.contents;
        contents.compacted() < next_revision && contents.changes_from(next_revision).next().is_none()
    };
    let mut state = shared.wait_while(|state| {
        let faults = &state.members[member].faults;
        let stalled = faults.unresponsive || faults.stalled_watches || faults.leaderless;
        !faults.down && (stalled || nothing_new(state))
    });
    if state.members[member].faults.down {
        return Update::Down;
    }
    if state.contents.compacted() >= next_revision {
        return Update::Compacted(state.contents.compacted());
    }
    let changes = state.contents.changes_from(next_revision).cloned().collect();
    let faults = state.members[member].faults.clone();
    state.members[member].faults.truncate_next_event = false;
    Update::Changes { changes, revision: state.contents.revision(), faults }
}

/// Encodes changes as one line of events.
fn events(mut changes: Vec<Change>, revision: u64, faults: &Faults) -> Value {
    if faults.reversed_events {
        changes.reverse();
    }
    if faults.duplicated_events {
        changes.extend_from_within(..);
    }
    let events: Vec<Value> = changes.iter().map(event).collect();
    json!({"result": {"header": {"revision": revision.to_string()}, "events": events}})
}

fn event(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => json!({"kv": key_value(&change.key, entry)}),
        None => json!({"type": "DELETE",
            "kv": {"key": encode(&change.key), "mod_revision": change.revision.to_string()}}),
    }
}

/// Writes a line as an HTTP chunk.
fn write_chunk(stream: &mut dyn Stream, line: &Value) -> io::Result<()> {
    let text = line.to_string();
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())?;
    stream.flush()
}

/// Writes half of a line, and closes the connection.
fn write_truncated_chunk(stream: &mut dyn Stream, line: &Value) -> io::Result<()> {
    let text = line.to_string();
    stream.write_all(format!("{:x}\r\n{}", text.len() + 1, &text[..text.len() / 2]).as_bytes())?;
    stream.flush()?;
    stream.socket().shutdown(Shutdown::Both)
}
