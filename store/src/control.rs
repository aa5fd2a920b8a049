//! Operator commands as lines of JSON over loopback: one line for the request, one for the response.
use crate::node::Store;
use crate::rejection::Rejection;
use crate::state::{Update, Value};
use crate::threads::{ACCEPT_RETRY_DELAY, spawn};
use serde_json::{Value as Json, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use thiserror::Error;

/// The maximum length of a request line. The rest of a longer one is read as the next line.
const MAX_LINE_BYTES: u64 = 1 << 20;
const IN_SERVICE: &str = "in_service";
const DRAINING: &str = "draining";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A field of the command is missing or invalid.
    #[error("expected {expected}")]
    InvalidCommand {
        /// The expected form of the field.
        expected: String,
    },
    /// The key, server or command does not exist.
    #[error("there is no {what} '{name}'")]
    NotFound {
        /// The kind of thing that was requested.
        what: &'static str,
        /// The name of the key, server or command that does not exist.
        name: String,
    },
    /// The value of a server's key is not JSON, so its state cannot be changed.
    #[error("'{key}' is no JSON: {source}; set it right first")]
    InvalidServer {
        /// The server's key in the store.
        key: String,
        /// The error in the JSON text of the server key's value.
        source: serde_json::Error,
    },
    /// The store rejected the change.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The node cannot be reached.
    #[error("{addr}: {source}; check that the router is running and that its store.control is this address")]
    Unreachable {
        /// The address of the node that cannot be reached.
        addr: String,
        /// Why the node cannot be reached.
        source: io::Error,
    },
    /// The response is not JSON.
    #[error("{addr}: the response is not JSON: {source}; check the address")]
    InvalidResponse {
        /// The address from which the response was received.
        addr: String,
        /// The error in the JSON text of the response.
        source: serde_json::Error,
    },
    /// The node responded with an error.
    #[error("{0}")]
    Remote(String),
}

/// Serves commands until the listener fails.
///
/// # Errors
/// Fails if a thread cannot be started.
pub fn listen(listener: TcpListener, store: Store) -> io::Result<()> {
    spawn("control", move || {
        for socket in listener.incoming() {
            let store = store.clone();
            let serve = move || match socket {
                Ok(socket) => _ = serve_connection(&socket, &store),
                Err(_) => std::thread::sleep(ACCEPT_RETRY_DELAY),
            };
            if let Err(error) = spawn("command", serve) {
                tracing::error!(%error, "store control connection thread not started, connection closed");
            }
        }
    })
}

fn serve_connection(socket: &TcpStream, store: &Store) -> io::Result<()> {
    let (mut reader, mut writer) = (BufReader::new(socket), socket);
    loop {
        let mut line = String::new();
        if (&mut reader).take(MAX_LINE_BYTES).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let response = match serde_json::from_str(&line) {
            Ok(command) => {
                execute(&command, store).unwrap_or_else(|error| json!({"error": error.to_string()}))
            }
            Err(error) => json!({"error": format!("expected a line of JSON: {error}")}),
        };
        writeln!(writer, "{response}")?;
    }
}

/// The key of a server's entry in the member list.
pub fn server_key(id: &str) -> String {
    format!("server/{id}")
}

fn execute(command: &Json, store: &Store) -> Result<Json, CommandError> {
    match text_field(command, "do")?.as_str() {
        "get" => get(&text_field(command, "key")?, store),
        "list" => Ok(list(&text_field(command, "prefix").unwrap_or_default(), store)),
        "set" => {
            text_field(command, "text")?;
            update(update_field(command, "'key', 'text' and a whole 'expected'")?, store)
        }
        "delete" => {
            let deletion = update_field(command, "'key' and a whole 'expected'")?;
            update(Update { text: None, ..deletion }, store)
        }
        "status" => Ok(status(store)),
        "drain" => set_server_state(&text_field(command, "server")?, DRAINING, store),
        "undrain" => set_server_state(&text_field(command, "server")?, IN_SERVICE, store),
        unknown => Err(CommandError::NotFound { what: "command", name: unknown.into() }),
    }
}

fn text_field(command: &Json, name: &str) -> Result<String, CommandError> {
    let text = command.get(name).and_then(Json::as_str);
    text.map(str::to_string)
        .ok_or_else(|| CommandError::InvalidCommand { expected: format!("text in '{name}'") })
}

fn update_field(command: &Json, expected: &str) -> Result<Update, CommandError> {
    Update::from_json(command).ok_or_else(|| CommandError::InvalidCommand { expected: expected.into() })
}

fn get(key: &str, store: &Store) -> Result<Json, CommandError> {
    let state = store.state();
    let value = state.get(key).ok_or_else(|| CommandError::NotFound { what: "key", name: key.into() })?;
    Ok(key_to_json(key, value))
}

fn list(prefix: &str, store: &Store) -> Json {
    let state = store.state();
    let keys: Vec<Json> = state.with_prefix(prefix).map(|(key, value)| key_to_json(key, value)).collect();
    json!({"keys": keys})
}

fn key_to_json(key: &str, value: &Value) -> Json {
    json!({"key": key, "version": value.version, "text": value.text})
}

fn update(update: Update, store: &Store) -> Result<Json, CommandError> {
    Ok(json!({"version": store.update(update)?}))
}

fn status(store: &Store) -> Json {
    let status = store.status();
    json!({
        "node": status.node,
        "leader": status.leader.unwrap_or(raft::INVALID_ID),
        "term": status.term,
        "applied": store.state().applied_index,
    })
}

/// Sets the state of a server. Rejected if the server's entry changes concurrently.
fn set_server_state(server: &str, server_state: &str, store: &Store) -> Result<Json, CommandError> {
    let key = server_key(server);
    let state = store.state();
    let not_found = || CommandError::NotFound { what: "server", name: server.into() };
    let value = state.get(&key).ok_or_else(not_found)?;
    let mut entry: Json = serde_json::from_str(&value.text)
        .map_err(|source| CommandError::InvalidServer { key: key.clone(), source })?;
    entry["state"] = json!(server_state);
    let (text, expected_version) = (Some(entry.to_string()), Some(value.version));
    update(Update { key, text, expected_version }, store)
}

/// Sends one command to a node and returns its response.
///
/// # Errors
/// [`CommandError::Unreachable`] if the node cannot be reached, [`CommandError::InvalidResponse`] if the
/// response is not JSON, [`CommandError::Remote`] with the error in the response.
pub fn send_command(addr: &str, command: &Json) -> Result<Json, CommandError> {
    let unreachable = |source| CommandError::Unreachable { addr: addr.into(), source };
    let mut socket = TcpStream::connect(addr).map_err(unreachable)?;
    writeln!(socket, "{command}").map_err(unreachable)?;
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).map_err(unreachable)?;
    let response: Json = serde_json::from_str(&line)
        .map_err(|source| CommandError::InvalidResponse { addr: addr.into(), source })?;
    match response.get("error").and_then(Json::as_str) {
        Some(error) => Err(CommandError::Remote(error.to_string())),
        None => Ok(response),
    }
}
