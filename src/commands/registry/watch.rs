//! The command `registry FILE watch`: prints the contents of the registry, then each change.
use super::{ConfiguredRegistry, format_item};
use crate::commands::Error;
use ::registry::client::MemberClient;
use ::registry::consul::Consul;
use ::registry::etcd::{Etcd, WatchEvent};
use ::registry::machine::{Change, Item, Revision};
use std::time::Duration;

/// Interval at which an etcd watch without events reports silence. It is ignored, since this interactive
/// command has no timeout.
const ETCD_SILENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Wait time of one blocking query to Consul.
const CONSUL_WAIT_TIME: Duration = Duration::from_secs(5);

/// The contents of the registry at one revision.
struct Contents {
    revision: Revision,
    items: Vec<Item>,
}

/// Prints changes up to an optional maximum number.
struct ChangePrinter {
    remaining: Option<usize>,
}

impl ChangePrinter {
    /// Prints a change. Returns false if the maximum number of changes is reached.
    fn print(&mut self, line: &str) -> bool {
        println!("{line}");
        self.remaining = self.remaining.map(|n| n.saturating_sub(1));
        self.remaining != Some(0)
    }
}

fn format_deletion(revision: Revision, key: &str) -> String {
    format!("{revision}\t{key}\tdeleted")
}

/// Prints the contents, then changes until `max_changes` were printed, or forever if it is `None`.
pub(super) fn run(registry: &ConfiguredRegistry, max_changes: Option<usize>) -> Result<(), Error> {
    let prefix = &registry.settings.prefix;
    registry.try_members(|member| {
        let (position, items) = member.read(prefix)?;
        items.iter().for_each(|item| println!("{}", format_item(item)));
        println!("-- revision {}", position.revision);
        let contents = Contents { revision: position.revision, items };
        let mut printer = ChangePrinter { remaining: max_changes };
        match member {
            MemberClient::Etcd(etcd) => watch_etcd(etcd, prefix, &contents, &mut printer),
            MemberClient::Consul(consul) => watch_consul(consul, prefix, contents, &mut printer),
        }
    })
}

/// Watches etcd and prints the changes since `contents`.
fn watch_etcd(
    etcd: &mut Etcd,
    prefix: &str,
    contents: &Contents,
    printer: &mut ChangePrinter,
) -> Result<(), Error> {
    let line = |change: &Change| match change {
        Change::Put(item) => format_item(item),
        Change::Delete { key, revision } => format_deletion(*revision, key),
    };
    etcd.watch(prefix, contents.revision + 1, ETCD_SILENCE_INTERVAL, |event| match event {
        WatchEvent::Changes(changes) => changes.iter().all(|change| printer.print(&line(change))),
        _ => true,
    })?;
    Ok(())
}

/// Reads all keys again whenever Consul reports a change, and prints the differences from the previous
/// contents.
fn watch_consul(
    consul: &mut Consul,
    prefix: &str,
    mut contents: Contents,
    printer: &mut ChangePrinter,
) -> Result<(), Error> {
    loop {
        let (revision, items) = consul.read(prefix, Some((contents.revision, CONSUL_WAIT_TIME)))?;
        let next = Contents { revision, items };
        if !format_differences(&contents, &next).iter().all(|line| printer.print(line)) {
            return Ok(());
        }
        contents = next;
    }
}

/// Returns a line for each key deleted in `next`, then one for each key that was added or changed.
fn format_differences(previous: &Contents, next: &Contents) -> Vec<String> {
    let deleted = previous.items.iter().filter(|old| !next.items.iter().any(|new| new.key == old.key));
    let changed = next.items.iter().filter(|new| !previous.items.contains(new));
    let mut lines: Vec<String> = deleted.map(|old| format_deletion(next.revision, &old.key)).collect();
    lines.extend(changed.map(format_item));
    lines
}
