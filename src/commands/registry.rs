//! `registry`: looks at the registry that an operator's file names, and changes what stands there.
use ::registry::client::{Asks, Way};
use ::registry::etcd::Heard;
use ::registry::fleet::{Node, State};
use ::registry::machine::{Change, Item};
use clap::{Args, Subcommand};
use settings::operator::Operator;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// `registry`'s arguments.
#[derive(Args)]
pub struct Arguments {
    /// The operator's file whose `[registry]` is meant.
    file: PathBuf,
    #[command(subcommand)]
    asked: Asked,
}

#[derive(Subcommand)]
enum Asked {
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

/// Tries every member in turn.
fn any<T>(operator: &Operator, mut ask: impl FnMut(&mut Asks) -> Result<T, String>) -> Result<T, String> {
    let settings = operator.registry.as_ref().ok_or("expected a table 'registry' in the file")?;
    let way = Way::new(settings, &operator.limits).map_err(|e| format!("registry: tls: {e}"))?;
    let mut why = String::new();
    for (n, addr) in settings.endpoints.iter().enumerate() {
        match ask(&mut way.to(n)) {
            Ok(answer) => return Ok(answer),
            Err(e) => why = format!("{addr}: {e}"),
        }
    }
    Err(why)
}

fn shown(item: &Item) -> String {
    format!("{}\t{}\t{}", item.modified, item.key, String::from_utf8_lossy(&item.value))
}

fn watch(operator: &Operator, prefix: &str, most: Option<usize>) -> Result<(), String> {
    any(operator, |asks| {
        let (standing, items) = asks.read(prefix).map_err(|e| e.to_string())?;
        items.iter().for_each(|i| println!("{}", shown(i)));
        println!("-- revision {}", standing.revision);
        let mut left = most;
        let mut said = |line: String| {
            println!("{line}");
            left = left.map(|n| n.saturating_sub(1));
            left != Some(0)
        };
        match asks {
            Asks::Etcd(e) => {
                let quiet = Duration::from_secs(1);
                let each = |c: &Change| match c {
                    Change::Put(i) => shown(i),
                    Change::Delete(k, at) => format!("{at}\t{k}\tdeleted"),
                };
                let watched = e.watch(prefix, standing.revision + 1, quiet, |heard| match heard {
                    Heard::Changes(changes) => changes.iter().all(|c| said(each(c))),
                    _ => true,
                });
                watched.map_err(|e| e.to_string())
            }
            Asks::Consul(c) => {
                let (mut held, mut index) = (items, standing.revision);
                loop {
                    let (at, now) =
                        c.read(prefix, Some((index, Duration::from_secs(5)))).map_err(|e| e.to_string())?;
                    let gone = held.iter().filter(|h| !now.iter().any(|n| n.key == h.key));
                    let mut lines: Vec<String> = gone.map(|h| format!("{at}\t{}\tdeleted", h.key)).collect();
                    lines.extend(now.iter().filter(|n| !held.contains(n)).map(shown));
                    if !lines.into_iter().all(&mut said) {
                        return Ok(());
                    }
                    (held, index) = (now, at);
                }
            }
        }
    })
}

/// Changes a node's state, whatever else changes it meanwhile.
fn set_state(operator: &Operator, key: &str, state: State) -> Result<(), String> {
    any(operator, |asks| {
        loop {
            let (_, items) = asks.read(key).map_err(|e| e.to_string())?;
            let item =
                items.into_iter().find(|i| i.key == key).ok_or_else(|| format!("there is no {key}"))?;
            let mut node: Node = serde_json::from_slice(&item.value).map_err(|e| format!("{key}: {e}"))?;
            node.state = state;
            let value = serde_json::to_vec(&node).map_err(|e| e.to_string())?;
            if asks.put_if(key, &value, item.modified).map_err(|e| e.to_string())? {
                return Ok(());
            }
        }
    })
}

/// Carries a command out.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let operator = super::operator(&arguments.file)?;
    let prefix = operator.registry.as_ref().map(|r| r.prefix.clone()).unwrap_or_default();
    let put = |key: &str, value: &[u8]| {
        any(&operator, |asks| asks.put(&format!("{prefix}{key}"), value, None).map_err(|e| e.to_string()))
    };
    match &arguments.asked {
        Asked::Watch { changes } => watch(&operator, &prefix, *changes),
        Asked::Get { key } => {
            let read = |asks: &mut Asks| asks.read(&format!("{prefix}{key}")).map_err(|e| e.to_string());
            let (_, items) = any(&operator, read)?;
            items.iter().for_each(|i| println!("{}", shown(i)));
            Ok(())
        }
        Asked::Put { key, value } => {
            if key.starts_with("nodes/") {
                serde_json::from_str::<Node>(value).map_err(|e| format!("{key}: {e}"))?;
            }
            put(key, value.as_bytes())
        }
        Asked::Drain { node } => set_state(&operator, &format!("{prefix}nodes/{node}"), State::Draining),
        Asked::Undrain { node } => set_state(&operator, &format!("{prefix}nodes/{node}"), State::InService),
        Asked::LetGo => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            put("control/let-go", now.to_string().as_bytes())
        }
    }
}
