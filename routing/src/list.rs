//! The actor that holds the member list: it takes whole lists and changes in order and passes on what is new.
use crate::messages::{Entry, ListNews, Message};
use crate::spawn;
use crate::wire::Wire;
use crossbeam_channel::{Receiver, Sender, bounded};
use decision::MemberState;
use settings::Limits;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Hands news to the list.
#[derive(Clone)]
pub struct ListHandle {
    to: Sender<ListNews>,
    version: Arc<AtomicU64>,
}

impl ListHandle {
    /// Hands over news; `false` when the program is ending.
    pub fn tell(&self, news: ListNews) -> bool {
        self.to.send(news).is_ok()
    }

    /// The version that a watch resumes at.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }
}

/// Starts the list's actor.
pub fn start<W: Wire>(limits: &Limits, module: Sender<Message<W>>) -> std::io::Result<ListHandle> {
    let (to, mailbox) = bounded(limits.mailbox);
    let version = Arc::new(AtomicU64::new(0));
    let held = version.clone();
    spawn("list", limits.stack_bytes, move || run(&mailbox, &module, &held))?;
    Ok(ListHandle { to, version })
}

fn run<W: Wire>(mailbox: &Receiver<ListNews>, module: &Sender<Message<W>>, version: &AtomicU64) {
    let mut held: BTreeMap<String, Entry> = BTreeMap::new();
    for news in mailbox {
        if news.complete {
            // A whole list replaces what is held, also where its version is lower: discovery began anew.
            held = news.entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
        } else if news.version <= version.load(Ordering::Acquire) {
            // A change that is held already, repeated by a watch that was opened anew.
            continue;
        }
        for e in news.entries.iter().filter(|_| !news.complete) {
            if e.state == MemberState::Gone {
                held.remove(&e.id);
            } else {
                held.insert(e.id.clone(), e.clone());
            }
        }
        let ready = held.values().filter(|e| e.state == MemberState::Ready).count();
        tracing::info!("list: version {} names {} instances, {ready} in service", news.version, held.len());
        version.store(news.version, Ordering::Release);
        if module.send(Message::List(news)).is_err() {
            return;
        }
    }
}
