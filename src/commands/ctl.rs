//! The sub-command `ctl`: reads or changes the store of a running router through its control address.
use super::Error;
use clap::{Args, Subcommand};
use serde_json::{Value, json};

/// `ctl`'s arguments.
#[derive(Args)]
pub(crate) struct Arguments {
    /// Where the router answers commands (`store.control` in its file).
    address: String,
    #[command(subcommand)]
    command: Command,
}

/// A command to a router's store node.
#[derive(Subcommand)]
pub enum Command {
    /// The node, its leader and the term.
    Status,
    /// Keys with their values.
    List {
        /// Only keys that begin so.
        prefix: Option<String>,
    },
    /// One key.
    Get {
        /// The key.
        key: String,
    },
    /// Sets a key.
    Set {
        /// The key.
        key: String,
        /// Its new text.
        text: String,
        /// The version it must be at.
        version: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
        /// The version it must be at.
        version: Option<u64>,
    },
    /// Takes a server out of service: it ends its work and gets nothing new.
    Drain {
        /// The server's id.
        server: String,
    },
    /// Puts a server back into service.
    Undrain {
        /// The server's id.
        server: String,
    },
}

/// Encodes the command as the JSON object that is sent to the control address.
pub fn encode(command: &Command) -> Value {
    let mut encoded = match command {
        Command::Status => json!({"do": "status"}),
        Command::List { prefix: None } => json!({"do": "list"}),
        Command::List { prefix: Some(prefix) } => json!({"do": "list", "prefix": prefix}),
        Command::Get { key } => json!({"do": "get", "key": key}),
        Command::Set { key, text, .. } => json!({"do": "set", "key": key, "text": text}),
        Command::Delete { key, .. } => json!({"do": "delete", "key": key}),
        Command::Drain { server } => json!({"do": "drain", "server": server}),
        Command::Undrain { server } => json!({"do": "undrain", "server": server}),
    };
    if let Command::Set { version: Some(version), .. } | Command::Delete { version: Some(version), .. } =
        command
    {
        encoded["expected"] = json!(version);
    }
    encoded
}

/// Sends the command to the control address and prints the response.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let response = store::control::send_command(&arguments.address, &encode(&arguments.command))?;
    println!("{response}");
    Ok(())
}
