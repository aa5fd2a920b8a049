//! `registry FILE watch`: prints what the registry holds, then each change.
use super::{NamedRegistry, format_item};
use crate::commands::Error;
use ::registry::client::MemberClient;
use ::registry::consul::Consul;
use ::registry::etcd::{Etcd, WatchEvent};
use ::registry::machine::{Change, Item, Revision};
use std::time::Duration;

/// How often a silent etcd watch calls back. Nothing is done then: a command that is watched by a person has no timeout.
const ETCD_SILENCE: Duration = Duration::from_secs(1);
/// How long Consul holds one request for changes.
const CONSUL_WAIT: Duration = Duration::from_secs(5);

/// What the registry holds at one revision.
struct Contents {
    revision: Revision,
    items: Vec<Item>,
}

/// Prints changes, and counts them where only some are wanted.
struct ChangePrinter {
    remaining: Option<usize>,
}

impl ChangePrinter {
    /// Prints a change, and returns whether more are wanted.
    fn print(&mut self, line: &str) -> bool {
        println!("{line}");
        self.remaining = self.remaining.map(|n| n.saturating_sub(1));
        self.remaining != Some(0)
    }
}

fn deletion(revision: Revision, key: &str) -> String {
    format!("{revision}\t{key}\tdeleted")
}

/// Watches until `max_changes` are printed; without end where there is none.
pub(super) fn run(registry: &NamedRegistry, max_changes: Option<usize>) -> Result<(), Error> {
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

/// Follows etcd's changes since `contents`.
fn watch_etcd(
    etcd: &mut Etcd,
    prefix: &str,
    contents: &Contents,
    printer: &mut ChangePrinter,
) -> Result<(), Error> {
    let line = |change: &Change| match change {
        Change::Put(item) => format_item(item),
        Change::Delete { key, revision } => deletion(*revision, key),
    };
    etcd.watch(prefix, contents.revision + 1, ETCD_SILENCE, |event| match event {
        WatchEvent::Changes(changes) => changes.iter().all(|change| printer.print(&line(change))),
        _ => true,
    })?;
    Ok(())
}

/// Reads Consul's keys again at each change, and prints how they differ from `contents`.
fn watch_consul(
    consul: &mut Consul,
    prefix: &str,
    mut contents: Contents,
    printer: &mut ChangePrinter,
) -> Result<(), Error> {
    loop {
        let (revision, items) = consul.read(prefix, Some((contents.revision, CONSUL_WAIT)))?;
        let next = Contents { revision, items };
        if !differences(&contents, &next).iter().all(|line| printer.print(line)) {
            return Ok(());
        }
        contents = next;
    }
}

/// A line for each key that `next` no longer holds, then one for each that is new or has changed.
fn differences(previous: &Contents, next: &Contents) -> Vec<String> {
    let deleted = previous.items.iter().filter(|old| !next.items.iter().any(|new| new.key == old.key));
    let changed = next.items.iter().filter(|new| !previous.items.contains(new));
    let mut lines: Vec<String> = deleted.map(|old| deletion(next.revision, &old.key)).collect();
    lines.extend(changed.map(format_item));
    lines
}
