//! `registry`: reads the registry that an operator's file names, and changes what it holds.
mod watch;

use super::Error;
use ::registry::client::{MemberClient, MemberConnector};
use ::registry::fleet::{Node, State};
use ::registry::machine::Item;
use clap::{Args, Subcommand};
use settings::operator::OperatorConfig;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// What the keys of nodes begin with, behind the registry's own prefix.
const NODE_PREFIX: &str = "nodes/";
/// The key, behind the prefix, whose value is the time in milliseconds at which held nodes were released.
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

/// The registry that a file names.
struct NamedRegistry {
    file: PathBuf,
    operator: OperatorConfig,
    settings: settings::operator::RegistryConfig,
}

impl NamedRegistry {
    fn read(file: &Path) -> Result<NamedRegistry, Error> {
        let operator = super::read_operator_file(file)?;
        let settings = operator.registry.clone().ok_or_else(|| Error::NoRegistry(file.into()))?;
        Ok(NamedRegistry { file: file.into(), operator, settings })
    }

    /// The whole key of what is called `key` behind the prefix.
    fn key(&self, key: &str) -> String {
        format!("{}{key}", self.settings.prefix)
    }

    fn node_key(&self, node: &str) -> String {
        self.key(&format!("{NODE_PREFIX}{node}"))
    }

    /// Tries every member in turn, until a request succeeds. The error is that of the last member.
    fn try_members<T>(
        &self,
        mut request: impl FnMut(&mut MemberClient) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let connector = MemberConnector::new(&self.settings, &self.operator.limits)?;
        // Never returned: the settings have at least one member.
        let mut failed = Error::NoRegistry(self.file.clone());
        for (index, &addr) in self.settings.endpoints.iter().enumerate() {
            match request(&mut connector.client_for(index)) {
                Ok(response) => return Ok(response),
                Err(error) => failed = Error::RegistryMember { addr, source: Box::new(error) },
            }
        }
        Err(failed)
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

    /// Changes a node's state. A change by somebody else in between makes it read the node again.
    fn set_node_state(&self, node: &str, state: State) -> Result<(), Error> {
        let key = self.node_key(node);
        let faulty = |source| Error::RegistryNode { key: key.clone(), source };
        self.try_members(|member| {
            loop {
                let (_, items) = member.read(&key)?;
                let item = items.into_iter().find(|item| item.key == key);
                let item = item.ok_or_else(|| Error::NoRegistryKey(key.clone()))?;
                let mut node: Node = serde_json::from_slice(&item.value).map_err(faulty)?;
                node.state = state;
                let value = serde_json::to_vec(&node).map_err(faulty)?;
                if member.put_if(&key, &value, item.modified)? {
                    return Ok(());
                }
            }
        })
    }
}

/// One line for a key: the revision of its newest change, the key and the value.
fn format_item(item: &Item) -> String {
    format!("{}\t{}\t{}", item.modified, item.key, String::from_utf8_lossy(&item.value))
}

/// Carries a command out.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Error> {
    let registry = NamedRegistry::read(&arguments.file)?;
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

/// Checks the value of a key before it is put, where it is a node's.
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
