//! The thread that derives from membership changes the number of routers by which the capacity share is
//! divided.
use crate::change::Change;
use crate::error::Error;
use crate::handle::Membership;
use crate::live_router_count::{Action, Event, LiveRouterCount, Settings};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Stack size of the thread, which stores router names and writes log lines.
const STACK_BYTES: usize = 128 * 1024;

/// Follows membership changes on a thread and calls `set_count` with each new count. The first call is made
/// immediately, with the count that applies until other routers are discovered.
///
/// # Errors
/// [`Error::Ended`] if membership has ended, [`Error::SpawnThread`] if the thread can't be started.
pub fn follow_router_count(
    membership: &Membership,
    settings: Settings,
    set_count: impl Fn(u32) + Send + 'static,
) -> Result<(), Error> {
    let local_name = membership.name().to_string();
    let changes = membership.subscribe()?;
    let run = move || run(&changes, &local_name, settings, set_count);
    routing::spawn_needed("members", STACK_BYTES, run).map_err(Error::SpawnThread)
}

/// Runs the thread until this router has left or no more changes will be received.
fn run(changes: &Receiver<Change>, local_name: &str, settings: Settings, set_count: impl Fn(u32)) {
    let started_at = Instant::now();
    let mut machine = LiveRouterCount::new(Duration::ZERO, settings);
    let mut timer = None;
    while let Some(event) = next_event(changes, timer.map(|at| started_at + at), local_name) {
        let is_last = event == Event::ChangesLost;
        if event == Event::Timer {
            timer = None;
        }
        let mut actions = Vec::new();
        machine.handle(started_at.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(at) => timer = Some(at),
                Action::SetCount(count) => {
                    log_count(&machine, count);
                    set_count(count);
                }
            }
        }
        if is_last {
            return;
        }
    }
}

fn log_count(machine: &LiveRouterCount, count: u32) {
    let others = machine.others();
    let (live, settling) = (others.live + 1, others.settling);
    tracing::info!(live, settling, router_count = count, "capacity share changed");
}

/// Waits for the next event for the state machine; `None` if this router has left.
fn next_event(changes: &Receiver<Change>, timer: Option<Instant>, local_name: &str) -> Option<Event> {
    loop {
        let change = match timer {
            Some(at) => changes.recv_deadline(at),
            None => changes.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        return Some(match change {
            Err(RecvTimeoutError::Timeout) => Event::Timer,
            Ok(Change::Snapshot(members)) => {
                let names = members.iter().map(|member| member.name().to_string());
                Event::Snapshot(names.filter(|name| name != local_name).collect())
            }
            Ok(Change::Up(member)) => Event::Up(member.name().into()),
            Ok(Change::Down(member)) => Event::Down(member.name().into()),
            Ok(Change::Rejoined(_)) => continue,
            Ok(Change::Left) => return None,
            Ok(Change::Superseded(by)) => {
                tracing::error!(
                    addr = %by.addr(),
                    name = local_name,
                    "router name taken by a later start, this router no longer follows membership changes \
                     and keeps its capacity share; stop it or give it a unique name"
                );
                Event::ChangesLost
            }
            Ok(Change::Failed) | Err(RecvTimeoutError::Disconnected) => {
                tracing::error!("membership changes lost, capacity share unchanged; restart this router");
                Event::ChangesLost
            }
        });
    }
}
