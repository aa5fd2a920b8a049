//! Carries the operators' calls out: it stands between the door and what the calls are about, the list, the figures, the
//! clients and what is kept for the other process of this router. What a call means is decided by [`holds::Machine`].
use crate::{Answer, Call, Desk};
use clients::Order;
use crossbeam_channel::Sender;
use holds::{
    Action, EndpointChange, Event, Machine, MaintenanceError, OtherProcesses, ProcessPresence,
    SharedFolderError, State, StateFile,
};
use routing::{Clock, Figures, ListHandle, Time, spawn};
use settings::Limits;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// What the calls are about.
pub struct Parts {
    /// What METRICS tells.
    pub figures: Arc<Figures>,
    /// The list that holds are put over.
    pub list: ListHandle,
    /// To the clients: drains, and who else serves.
    pub orders: Sender<Order>,
    /// Has the clients told no, or no longer, before the call is answered.
    pub drain: Box<dyn Fn(bool) + Send>,
    /// Whether clients are taken.
    pub accepting: Arc<AtomicBool>,
    /// To the core: how many processes serve as this router.
    pub sharing: Box<dyn Fn(u32) + Send>,
    /// The clock that holds are told by, the same in all processes: Unix time.
    pub clock: Clock,
    /// The bounds.
    pub limits: Arc<Limits>,
}

/// What is kept in a folder that the processes of one router share.
struct Shared {
    kept: StateFile,
    present: ProcessPresence,
    /// This process has been marked as one that takes clients.
    marked: bool,
}

struct Inner {
    parts: Parts,
    shared: Option<Shared>,
    /// As it is kept.
    base: Machine,
    /// Calls that bind here and are not kept yet, with their times.
    pending: Vec<(Time, Event)>,
    told: (holds::MaintenanceMask, bool),
    others: OtherProcesses,
}

/// The operators' desk of one router.
pub struct Operations(Mutex<Inner>);

impl Operations {
    /// A desk that goes on where the router's last process left off. Nothing of the folder is changed, but that a file
    /// which can't be used is named and moved aside: the caller may yet fail to start.
    ///
    /// `folder` is shared by this router's processes and by nobody else; without one, holds end with this process.
    pub fn open(parts: Parts, folder: Option<&Path>) -> Operations {
        let settings = holds::Settings {
            max_entries: parts.limits.holds,
            restored_retention: i64::try_from(parts.limits.hold_cold.as_micros()).unwrap_or(i64::MAX),
        };
        let (mut state, mut shared) = (State::default(), None);
        let opened = folder.map(|folder| {
            let kept = StateFile::open(folder)?;
            state = match kept.lock().and_then(|mut locked| locked.read()) {
                Ok(state) => state.unwrap_or_default(),
                Err(e) => {
                    tracing::error!("holds: {e}");
                    State::default()
                }
            };
            ProcessPresence::register(folder, std::process::id())
                .map(|present| shared = Some(Shared { kept, present, marked: false }))
        });
        match opened {
            None => tracing::warn!("holds: no $TMPDIR: what is held by hand ends with this process"),
            Some(Err(e)) => tracing::error!("holds: {e}; what is held by hand ends with this process"),
            Some(Ok(())) => {}
        }
        let base = Machine::new(settings, state);
        let (told, pending, others) = (Default::default(), Vec::new(), OtherProcesses::default());
        let mut inner = Inner { parts, shared, base, pending, told, others };
        // Before any list: what is held is held from the first entry on.
        let machine = inner.base.clone();
        inner.tell(&machine);
        Operations(Mutex::new(inner))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Follows what the router's other processes do, from now on. Where there are others, it returns once this process
    /// has taken its part of what they share and they have had the time to see it and do the same: a process that takes
    /// clients at once would have its part on top of all of theirs.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn follow(self: &Arc<Self>) -> std::io::Result<()> {
        let (own, limits) = (self.clone(), self.inner().parts.limits.clone());
        let mut inner = self.inner();
        inner.count_others();
        let alone = inner.others.alive == 0;
        drop(inner);
        if !alone {
            std::thread::sleep(2 * limits.holds_look);
        }
        spawn("holds", limits.stack_bytes, move || {
            loop {
                // Where a look would fall behind it is the looks that become fewer.
                std::thread::sleep(limits.holds_look);
                let mut inner = own.inner();
                inner.look();
                inner.count_others();
            }
        })
    }

    /// This process is about to end: it takes clients no more, and another one must not count on it.
    pub fn leaving(&self) {
        let mut inner = self.inner();
        if let Some(shared) = &mut inner.shared {
            shared.marked = true;
            if let Err(e) = shared.present.mark_not_ready() {
                tracing::error!("holds: {e}");
            }
        }
    }
}

impl Inner {
    fn tell(&mut self, machine: &Machine) {
        let now = (machine.mask(), machine.draining());
        if now.0 != self.told.0 {
            let (held, cold) = (now.0.in_maintenance.clone(), now.0.restored.clone());
            _ = self.parts.list.mask(routing::Mask { held, cold });
        }
        if now.1 != self.told.1 {
            (self.parts.drain)(now.1);
            _ = self.parts.orders.send(Order::Drain(now.1));
        }
        self.told = now;
    }

    /// Carries out what is pending on top of what is kept, and keeps it; the answer to the last call.
    fn settle(&mut self) -> (Option<Result<(), MaintenanceError>>, Result<(), SharedFolderError>) {
        let now = self.parts.clock.now();
        let (mut next, mut actions) = (self.base.clone(), Vec::new());
        let mut locked = self.shared.as_ref().map(|s| s.kept.lock()).transpose();
        let mut done = Ok(());
        if let Ok(Some(l)) = &mut locked {
            match l.read() {
                Ok(Some(state)) => next.handle(now, Event::StateRead(state), &mut actions),
                Ok(None) => {}
                Err(e) => done = Err(e),
            }
        }
        let read = next.state().revision;
        self.pending.iter().for_each(|(at, event)| next.handle(*at, event.clone(), &mut actions));
        let answer = actions.into_iter().rev().find_map(|action| match action {
            Action::Respond(answer) => Some(answer),
            _ => None,
        });
        let changed = next.state().revision != read;
        match locked {
            Ok(Some(mut l)) if changed => done = l.write(next.state()),
            Ok(_) => {}
            Err(e) => done = Err(e),
        }
        self.tell(&next);
        if done.is_ok() {
            // Where it can't be kept, it binds here all the same and is tried again.
            self.base = next;
            self.pending.clear();
        }
        (answer, done)
    }

    fn look(&mut self) {
        let changed = self.shared.as_mut().is_some_and(|s| s.kept.has_changed());
        if !changed && self.pending.is_empty() {
            return;
        }
        if let (_, Err(e)) = self.settle() {
            tracing::warn!("holds: {e}");
        }
    }

    fn count_others(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        if !shared.marked && self.parts.accepting.load(Ordering::Acquire) {
            shared.marked = true;
            if let Err(e) = shared.present.mark_ready() {
                tracing::error!("holds: {e}");
            }
        }
        let others = shared.present.count_others();
        if others != self.others {
            tracing::info!(
                "process: {} others of this router live, {} take clients",
                others.alive,
                others.ready
            );
            self.others = others;
            let processes = others.alive + 1;
            (self.parts.sharing)(u32::try_from(processes).unwrap_or(u32::MAX));
            _ = self.parts.orders.send(Order::Sharing { processes, successor: others.ready > 0 });
        }
    }

    fn call(&mut self, event: Event) -> Answer {
        let changes =
            self.parts.list.names().into_iter().map(|id| EndpointChange { id, listed: true }).collect();
        self.base.handle(
            self.parts.clock.now(),
            Event::EndpointsUpdated { complete: true, changes },
            &mut Vec::new(),
        );
        self.pending.push((self.parts.clock.now(), event.clone()));
        let (answer, kept) = self.settle();
        match (answer, kept) {
            (Some(Err(no)), _) => {
                // It changes nothing, and must not be asked again.
                self.pending.pop();
                Answer::No(no.to_string())
            }
            (_, Ok(())) => Answer::Yes("done".into()),
            (_, Err(e)) => {
                tracing::error!("holds: {e}");
                Answer::Yes(format!("done here, not kept yet for another process: {e}"))
            }
        }
    }
}

impl Desk for Operations {
    fn call(&self, call: Call) -> Answer {
        let mut inner = self.inner();
        let event = match call {
            Call::Metrics => return Answer::Figures(inner.parts.figures.lines()),
            Call::Status if !inner.parts.accepting.load(Ordering::Acquire) => {
                return Answer::No(
                    "no clients are taken: wait until it is ready, or look whether it ends".into(),
                );
            }
            Call::Status => {
                let how = if inner.told.1 { "drained by PAUSE" } else { "taking clients" };
                return Answer::Yes(format!(
                    "{how}, {} instances held by hand",
                    inner.told.0.in_maintenance.len()
                ));
            }
            Call::Suspend(id) => Event::Suspend(id),
            Call::Restore(id) => Event::Restore(id),
            Call::Pause => Event::Pause,
            Call::Resume => Event::Resume,
        };
        tracing::info!("door: {event:?}");
        inner.call(event)
    }
}
