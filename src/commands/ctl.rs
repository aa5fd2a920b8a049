//! `ctl`: reads or changes the store of a router that runs.
use clap::{Args, Subcommand};
use serde_json::{Value, json};

/// `ctl`'s arguments.
#[derive(Args)]
pub struct Arguments {
    /// Where the router answers commands (`store.control` in its file).
    address: String,
    #[command(subcommand)]
    asked: Asked,
}

#[derive(Subcommand)]
enum Asked {
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

/// A command as the store's control takes it.
fn command(asked: &Asked) -> Value {
    let mut v = match asked {
        Asked::Status => json!({"do": "status"}),
        Asked::List { prefix: None } => json!({"do": "list"}),
        Asked::List { prefix: Some(prefix) } => json!({"do": "list", "prefix": prefix}),
        Asked::Get { key } => json!({"do": "get", "key": key}),
        Asked::Set { key, text, .. } => json!({"do": "set", "key": key, "text": text}),
        Asked::Delete { key, .. } => json!({"do": "delete", "key": key}),
        Asked::Drain { server } => json!({"do": "drain", "server": server}),
        Asked::Undrain { server } => json!({"do": "undrain", "server": server}),
    };
    if let Asked::Set { version: Some(n), .. } | Asked::Delete { version: Some(n), .. } = asked {
        v["expected"] = json!(n);
    }
    v
}

/// Asks, and prints the answer.
pub fn run(arguments: &Arguments) -> Result<(), super::Error> {
    let answer = store::control::send_command(&arguments.address, &command(&arguments.asked));
    println!("{}", answer?);
    Ok(())
}

#[cfg(test)]
mod tests;
