//! The sub-command `registry`: reads and changes the registry that an operator's file names.
mod watch;

use super::Error;
use ::registry::client::{MemberClient, MemberConnector};
use ::registry::fleet::{Node, State};
use ::registry::machine::Item;
use clap::{Args, Subcommand};
use settings::operator::OperatorConfig;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Prefix of the keys of nodes, after the registry's configured prefix.
const NODE_PREFIX: &str = "nodes/";
/// The key, after the configured prefix, that releases nodes retained after a mass removal. Its value is the
/// time of the release in Unix milliseconds.
const RELEASE_KEY: &str = "control/let-go";

/// `registry`'s arguments.
#[derive(Args)]
pub(crate) struct Arguments {
    /// The operator's file whose `[registry]` is meant.
    file: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Prints what is there, then each change as it comes, until it is stopped.
    Watch {
        /// Only this many changes.
        #[arg(long)]
        changes: Option<usize>,
    },
    /// Prints keys and values under the prefix.
    Get {
        /// Only keys that go on so behind the prefix.
        #[arg(default_value = "")]
        key: String,
    },
    /// Sets a key behind the prefix; a node's is checked first.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// Takes a node out of service: it ends its work and gets nothing new.
    Drain {
        /// Its name.
        node: String,
    },
    /// Puts a node back into service.
    Undrain {
        /// Its name.
        node: String,
    },
    /// Says that nodes which vanished at once, and are held, are gone indeed.
    LetGo,
}

/// The registry of an operator's file, with its settings.
struct ConfiguredRegistry {
    file: PathBuf,
    operator: OperatorConfig,
    settings: settings::operator::RegistryConfig,
}

impl ConfiguredRegistry {
    fn read(file: &Path) -> Result<ConfiguredRegistry, Error> {
        let operator = super::read_operator_file(file)?;
        let settings = operator.registry.clone().ok_or_else(|| Error::NoRegistry(file.into()))?;
        Ok(ConfiguredRegistry { file: file.into(), operator, settings })
    }

    /// Returns the full registry key, that is, `key` with the configured prefix.
    fn key(&self, key: &str) -> String {
        format!("{}{key}", self.settings.prefix)
    }

    fn node_key(&self, node: &str) -> String {
        self.key(&format!("{NODE_PREFIX}{node}"))
    }

    /// Tries the registry's members in turn until a request succeeds. If all fail, returns the error of the last
    /// member.
    fn try_members<T>(
        &self,
        mut request: impl FnMut(&mut MemberClient) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let connector = MemberConnector::new(&self.settings, &self.operator.limits)?;
        // Placeholder that is never returned, since the settings have at least one member.
        let mut last_error = Error::NoRegistry(self.file.clone());
        for (index, &addr) in self.settings.endpoints.iter().enumerate() {
            match request(&mut connector.client_for(index)) {
                Ok(response) => return Ok(response),
                Err(error) => last_error = Error::RegistryMember { addr, source: Box::new(error) },
            }
        }
        Err(last_error)
    }

    fn get(&self, key: &str) -> Result<Vec<Item>, Error> {
        let key = self.key(key);
        let (_, items) = self.try_members(|member| Ok(member.read(&key)?))?;
        Ok(items)
    }

    fn put(&self, key: &str, value: &[u8]) -> Result<(), Error> {
        let key = self.key(key);
        self.try_members(|member| Ok(member.put(&key, value, None)?))
    }

    /// Sets a node's state. If another client modifies the node concurrently, the node is read again and the
    /// write is retried.
    fn set_node_state(&self, node: &str, state: State) -> Result<(), Error> {
        let key = self.node_key(node);
        let invalid_node = |source| Error::RegistryNode { key: key.clone(), source };
        self.try_members(|member| {
            loop {
                let (_, items) = member.read(&key)?;
                let item = items.into_iter().find(|item| item.key == key);
                let item = item.ok_or_else(|| Error::NoRegistryKey(key.clone()))?;
                let mut node: Node = serde_json::from_slice(&item.value).map_err(invalid_node)?;
                node.state = state;
                let value = serde_json::to_vec(&node).map_err(invalid_node)?;
                if member.put_if(&key, &value, item.modified)? {
                    return Ok(());
                }
            }
        })
    }
}

/// Formats a key as a line with the revision of its last modification, the key and the value.
fn format_item(item: &Item) -> String {
    format!("{}\t{}\t{}", item.modified, item.key, String::from_utf8_lossy(&item.value))
}

/// Runs a `registry` command.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let registry = ConfiguredRegistry::read(&arguments.file)?;
    match &arguments.command {
        Command::Watch { changes } => watch::run(&registry, *changes),
        Command::Get { key } => {
            registry.get(key)?.iter().for_each(|item| println!("{}", format_item(item)));
            Ok(())
        }
        Command::Put { key, value } => {
            check_node(key, value)?;
            registry.put(key, value.as_bytes())
        }
        Command::Drain { node } => registry.set_node_state(node, State::Draining),
        Command::Undrain { node } => registry.set_node_state(node, State::InService),
        Command::LetGo => registry.put(RELEASE_KEY, unix_milliseconds().to_string().as_bytes()),
    }
}

/// Validates the value before it is written, if the key is that of a node.
fn check_node(key: &str, value: &str) -> Result<(), Error> {
    if !key.starts_with(NODE_PREFIX) {
        return Ok(());
    }
    let node: Result<Node, serde_json::Error> = serde_json::from_str(value);
    node.map(|_| ()).map_err(|source| Error::RegistryNode { key: key.into(), source })
}

fn unix_milliseconds() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}
