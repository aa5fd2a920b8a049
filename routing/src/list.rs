//! The actor that holds the member list: it takes whole lists and changes in order and passes on what is new.
use crate::figures::Figures;
use crate::messages::{Entry, ListNews, Message};
use crate::spawn;
use crate::wire::Wire;
use crossbeam_channel::{Receiver, Sender, bounded};
use decision::{GroupId, MemberState, Time};
use settings::Limits;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What operators say of instances, put over whatever the list says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mask {
    /// Taken out by hand: shown as draining while they are listed.
    pub held: BTreeSet<String>,
    /// Given back at these times, perhaps after a restart that the list does not tell: cold from then on at least.
    pub cold: BTreeMap<String, Time>,
}

impl Mask {
    fn over(&self, entry: &Entry) -> Entry {
        let mut entry = entry.clone();
        if entry.state == MemberState::Ready && self.held.contains(&entry.id) {
            entry.state = MemberState::Draining;
        }
        entry.started = entry.started.max(self.cold.get(&entry.id).copied());
        entry
    }
}

/// The groups with nobody left to take anything because operators hold instances: waiting changes nothing there.
fn shut(listed: &BTreeMap<String, Entry>, mask: &Mask) -> BTreeSet<GroupId> {
    let of = |e: &&Entry| mask.held.contains(&e.id);
    let mut shut: BTreeSet<GroupId> = listed.values().filter(of).map(|e| e.group).collect();
    for open in listed.values().filter(|e| mask.over(e).state == MemberState::Ready) {
        shut.remove(&open.group);
    }
    shut
}

/// How news follows what was told before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Nothing is missing between: who asks for what comes after its version misses nothing.
    #[default]
    Next,
    /// Changes may be missing before it. It counts, but what comes next is still asked for from before it.
    Gapped,
    /// Its source counts versions anew: whatever its version, it is newer than what is held.
    Anew,
}

enum Told {
    News(ListNews, Order),
    Mask(Mask),
    Taken(Sender<()>),
}

/// Hands news to the list.
#[derive(Clone)]
pub struct ListHandle {
    to: Sender<Told>,
    version: Arc<AtomicU64>,
    names: Arc<Mutex<BTreeSet<String>>>,
}

impl ListHandle {
    /// Hands over news; `false` when the program is ending.
    pub fn tell(&self, news: ListNews) -> bool {
        self.tell_in(Order::Next, news)
    }

    /// Hands over news that stands so to what was told before; `false` when the program is ending.
    pub fn tell_in(&self, order: Order, news: ListNews) -> bool {
        self.to.send(Told::News(news, order)).is_ok()
    }

    /// What operators say from now on; it binds what is listed already at once.
    pub fn mask(&self, mask: Mask) -> bool {
        self.to.send(Told::Mask(mask)).is_ok()
    }

    /// Waits, at most for so long, until what was told before is held and the module has it: from then on calls by name
    /// find it, and no request comes before it.
    pub fn taken(&self, most: Duration) -> bool {
        let (to, taken) = bounded(1);
        self.to.send(Told::Taken(to)).is_ok() && taken.recv_timeout(most).is_ok()
    }

    /// The ids in the list.
    pub fn names(&self) -> BTreeSet<String> {
        self.names.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// The version that a watch resumes at.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }
}

/// Starts the list's actor.
pub fn start<W: Wire>(
    limits: &Limits,
    module: Sender<Message<W>>,
    figures: Option<Arc<Figures>>,
) -> std::io::Result<ListHandle> {
    let (to, mailbox) = bounded(limits.mailbox);
    let handle = ListHandle { to, version: Arc::default(), names: Arc::default() };
    let (version, names) = (handle.version.clone(), handle.names.clone());
    spawn("list", limits.stack_bytes, move || run(&mailbox, &module, &version, &names, figures.as_deref()))?;
    Ok(handle)
}

fn run<W: Wire>(
    mailbox: &Receiver<Told>,
    module: &Sender<Message<W>>,
    version: &AtomicU64,
    names: &Mutex<BTreeSet<String>>,
    figures: Option<&Figures>,
) {
    let mut held: BTreeMap<String, Entry> = BTreeMap::new();
    let mut mask = Mask::default();
    // Instances of which gapped news has told something newer than the version held.
    let mut ahead: BTreeMap<String, u64> = BTreeMap::new();
    let mut told_shut = BTreeSet::new();
    // It goes before the list that it follows from: whoever sees that taken finds the groups shut.
    let mut tell_shut = |listed: &BTreeMap<String, Entry>, mask: &Mask| {
        let shut = shut(listed, mask);
        let changed = shut != told_shut;
        told_shut.clone_from(&shut);
        !changed || module.send(Message::Shut(shut)).is_ok()
    };
    for told in mailbox {
        let (mut news, order) = match told {
            Told::News(news, order) => (news, order),
            Told::Taken(to) => {
                _ = to.try_send(());
                continue;
            }
            Told::Mask(new) => {
                let old = std::mem::replace(&mut mask, new);
                let shown = held.values().filter(|e| old.over(e) != mask.over(e)).map(|e| mask.over(e));
                let entries: Vec<Entry> = shown.collect();
                tracing::info!("list: {} instances are held by hand", mask.held.len());
                let version = version.load(Ordering::Acquire);
                let news = ListNews { version, complete: false, entries };
                if !tell_shut(&held, &mask) || module.send(Message::List(news)).is_err() {
                    return;
                }
                continue;
            }
        };
        if news.complete {
            // A whole list replaces what is held, also where its version is lower: discovery began anew.
            held = news.entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
            ahead.clear();
        } else if order == Order::Anew {
            ahead.clear();
        } else if news.version < version.load(Ordering::Acquire) {
            // A change that is held already, repeated by a watch that was opened anew.
            continue;
        } else {
            // What gapped news told since must not be taken back by what lies between.
            news.entries.retain(|e| ahead.get(&e.id).is_none_or(|newer| news.version >= *newer));
            match order {
                Order::Gapped => ahead.extend(news.entries.iter().map(|e| (e.id.clone(), news.version))),
                _ => ahead.retain(|_, newer| news.version < *newer),
            }
        }
        for e in news.entries.iter().filter(|_| !news.complete) {
            if e.state == MemberState::Gone {
                held.remove(&e.id);
            } else {
                held.insert(e.id.clone(), e.clone());
            }
        }
        let ready = held.values().filter(|e| e.state == MemberState::Ready).count();
        if order != Order::Gapped || news.complete {
            version.store(news.version, Ordering::Release);
        }
        if let Some(f) = figures {
            // Only operators ask by name.
            *names.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = held.keys().cloned().collect();
            f.cluster_size.set(held.len() as i64);
        }
        if mask != Mask::default() {
            news.entries = news.entries.iter().map(|e| mask.over(e)).collect();
        }
        let (named, listed) = (news.version, held.len());
        if !tell_shut(&held, &mask) || module.send(Message::List(news)).is_err() {
            return;
        }
        // Whoever reads this line finds the module acting on it: no request comes before the news any more.
        tracing::info!("list: version {named} names {listed} instances, {ready} in service");
    }
}
