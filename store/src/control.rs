//! Commands for the store, as lines of JSON over loopback: one line asks, one line answers.
use crate::node::{Refused, Store};
use crate::peers::spawn;
use crate::state::{Change, Value};
use serde_json::{Value as Json, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// The longest line.
const MOST: u64 = 1 << 20;

/// Answers commands until the listener fails.
pub fn listen(listener: TcpListener, store: Store) -> io::Result<()> {
    spawn("control", move || {
        for socket in listener.incoming() {
            let store = store.clone();
            let talk = move || match socket {
                Ok(s) => _ = talk(&s, &store),
                Err(_) => std::thread::sleep(std::time::Duration::from_millis(10)),
            };
            if let Err(e) = spawn("command", talk) {
                tracing::error!("store: no thread for a command: {e}");
            }
        }
    })
}

fn talk(socket: &TcpStream, store: &Store) -> io::Result<()> {
    let (mut reader, mut to) = (BufReader::new(socket), socket);
    loop {
        let mut line = String::new();
        if (&mut reader).take(MOST).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let answer = match serde_json::from_str(&line) {
            Ok(asked) => answer(&asked, store).unwrap_or_else(|e| json!({"error": e})),
            Err(e) => json!({"error": format!("expected a line of JSON: {e}")}),
        };
        writeln!(to, "{answer}")?;
    }
}

fn shown(key: &str, value: &Value) -> Json {
    json!({"key": key, "version": value.version, "text": value.text})
}

fn changed(made: Result<u64, Refused>) -> Result<Json, String> {
    match made {
        Ok(version) => Ok(json!({"version": version})),
        Err(Refused::NoMajority) => {
            Err("refused: no majority of the nodes is there; nothing has changed".into())
        }
        Err(Refused::Version(v)) => Err(format!("refused: the key is at version {v}")),
        Err(Refused::Unconfirmed) => {
            Err("not confirmed: the majority was lost; the change may yet be made".into())
        }
    }
}

/// The key of a server of the member list.
pub fn server_key(id: &str) -> String {
    format!("server/{id}")
}

fn answer(asked: &Json, store: &Store) -> Result<Json, String> {
    let text = |name: &str| {
        let value = asked.get(name).and_then(Json::as_str);
        value.map(str::to_string).ok_or_else(|| format!("expected text in '{name}'"))
    };
    match text("do")?.as_str() {
        "get" => {
            let (key, state) = (text("key")?, store.state());
            state.get(&key).map(|v| shown(&key, v)).ok_or_else(|| format!("there is no key '{key}'"))
        }
        "list" => {
            let (prefix, state) = (text("prefix").unwrap_or_default(), store.state());
            let keys: Vec<Json> = state.with_prefix(&prefix).map(|(k, v)| shown(k, v)).collect();
            Ok(json!({"keys": keys}))
        }
        "set" => {
            text("text")?;
            changed(store.change(Change::read(asked).ok_or("expected 'key', 'text' and a whole 'expected'")?))
        }
        "delete" => {
            let change = Change::read(asked).ok_or("expected 'key' and a whole 'expected'")?;
            changed(store.change(Change { text: None, ..change }))
        }
        "status" => {
            let (node, leader, term) = store.status();
            Ok(json!({"node": node, "leader": leader, "term": term, "applied": store.state().applied}))
        }
        "drain" => set_state(&text("server")?, "draining", store),
        "undrain" => set_state(&text("server")?, "in_service", store),
        other => Err(format!("there is no command '{other}'")),
    }
}

/// Sets a server's state, unless someone else changes it meanwhile.
fn set_state(server: &str, state: &str, store: &Store) -> Result<Json, String> {
    let key = server_key(server);
    let held = store.state();
    let value = held.get(&key).ok_or_else(|| format!("there is no server '{server}'"))?;
    let mut entry: Json =
        serde_json::from_str(&value.text).map_err(|e| format!("'{key}' is no JSON: {e}"))?;
    entry["state"] = json!(state);
    changed(store.change(Change { key, text: Some(entry.to_string()), expected: Some(value.version) }))
}

/// Sends one command and gives its answer.
pub fn command(addr: &str, asked: &Json) -> Result<Json, String> {
    let failed = |e: io::Error| format!("{addr}: {e}");
    let mut socket = TcpStream::connect(addr).map_err(failed)?;
    writeln!(socket, "{asked}").map_err(failed)?;
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).map_err(failed)?;
    let answer: Json = serde_json::from_str(&line).map_err(|e| format!("{addr}: no answer of JSON: {e}"))?;
    match answer.get("error").and_then(Json::as_str) {
        Some(e) => Err(e.to_string()),
        None => Ok(answer),
    }
}
