//! The start of an instance: its listener, its journal, its threads.
use super::{Sessions, State};
use crate::clocks::Clocks;
use crate::error::Error;
use crate::journal::{self, Found, Journal, Whole};
use crate::machine::{Machine, Settings as MachineSettings};
use crossbeam_channel::{Sender, bounded};
use routing::Clock;
use settings::Limits;
use settings::operator::SessionsConfig as Settings;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The lease where there are no peers; it is never granted.
const LEASE_ALONE: Duration = Duration::from_secs(1);

/// What an instance starts with.
struct Beginning {
    /// None without a folder, or where no file could be begun.
    journal: Option<Journal>,
    machine: Machine,
}

/// Opens the folder, if there is one, and begins a new journal in it.
fn begin(settings: &Settings, limits: &Limits, clock: Clock) -> Result<Beginning, Error> {
    let mut machine = MachineSettings {
        instance: settings.instance,
        incarnation: clock.now().0.max(1) as u64,
        lease: settings.lease.as_micros() as i64,
        resume: limits.max_buffered_session_commits,
        sessions: settings.max_sessions,
        durable: false,
        incomplete: !settings.trust_after_start,
    };
    let Some(folder) = &settings.journal_folder else {
        return Ok(Beginning { journal: None, machine: Machine::new(machine, [], None) });
    };
    let opened = journal::open(folder.as_ref(), settings.instance)?;
    if let Some(remark) = &opened.remark {
        tracing::error!("sessions: {remark}");
    }
    let found = opened.found.clone().unwrap_or_default();
    machine.incarnation = machine.incarnation.max(found.incarnation + 1);
    machine.incomplete = opened.found.is_none() || found.incomplete;
    let begun = opened.begin(&Whole {
        instance: settings.instance,
        incarnation: machine.incarnation,
        entries: &found.entries,
        floor: found.floor,
        incomplete: machine.incomplete,
    })?;
    let journal = begun
        .inspect_err(|error| {
            tracing::error!("sessions: nothing is kept on disk until the next start: {folder}: {error}");
        })
        .ok();
    machine.durable = journal.is_some();
    log_restored(&found, &machine, folder);
    Ok(Beginning { journal, machine: Machine::new(machine, found.entries, found.floor) })
}

fn log_restored(found: &Found, machine: &MachineSettings, folder: &str) {
    let sessions = found.entries.len();
    let remark =
        if machine.incomplete { "; what was committed before this start must be seen by all" } else { "" };
    tracing::info!(
        sessions,
        incarnation = machine.incarnation,
        "sessions: {sessions} restored from {folder}{remark}"
    );
}

impl Sessions {
    /// Starts an instance: first its listener, since a refused connection proves to peers that no write is
    /// acknowledged here; then its journal, and its threads.
    ///
    /// # Errors
    /// Where the address can't be bound, the folder can't be used, or a thread can't be started.
    pub fn start(
        settings: Settings,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<Clocks>,
    ) -> Result<Arc<Sessions>, Error> {
        let failed = |source| Error::Listen { addr: settings.listen, source };
        let listener = TcpListener::bind(settings.listen).map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let Beginning { journal, machine } = begin(&settings, limits, clock)?;
        let (wake_journal, woken) = bounded(1);
        let sessions =
            Arc::new(Sessions::new(settings.clone(), machine, limits, clock, clocks, wake_journal));
        if let Some(journal) = journal {
            let own = sessions.clone();
            let run = move || own.run_journal(journal, &woken);
            routing::spawn_needed("journal", limits.routing_thread_stack_bytes, run)
                .map_err(Error::Thread)?;
        }
        sessions.list(settings.peers.clone());
        let own = sessions.clone();
        routing::spawn_needed("sessions", limits.socket_thread_stack_bytes, move || {
            own.accept_all(&listener);
        })
        .map_err(Error::Thread)?;
        let own = sessions.clone();
        routing::spawn_needed("leases", limits.socket_thread_stack_bytes, move || own.run_ticks())
            .map_err(Error::Thread)?;
        tracing::info!("sessions: instance {} takes peers on {addr}", settings.instance);
        Ok(sessions)
    }

    /// Sessions that this process alone remembers: no folder, no peers, no threads.
    pub fn alone(limits: &Arc<Limits>, clock: Clock, clocks: Arc<Clocks>) -> Arc<Sessions> {
        let settings = Settings {
            instance: 0,
            cluster: String::new(),
            listen: ([127, 0, 0, 1], 0).into(),
            peers: BTreeMap::new(),
            journal_folder: None,
            max_sessions: limits.max_local_sessions,
            lease: LEASE_ALONE,
            peer_addresses_may_change: false,
            trust_after_start: false,
        };
        let machine = MachineSettings {
            instance: settings.instance,
            incarnation: 0,
            lease: settings.lease.as_micros() as i64,
            resume: 0,
            sessions: settings.max_sessions,
            durable: false,
            incomplete: true,
        };
        let (wake_journal, _) = bounded(1);
        let machine = Machine::new(machine, [], None);
        Arc::new(Sessions::new(settings, machine, limits, clock, clocks, wake_journal))
    }

    fn new(
        settings: Settings,
        machine: Machine,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<Clocks>,
        wake_journal: Sender<()>,
    ) -> Sessions {
        Sessions {
            state: Mutex::new(State::new(machine)),
            settings,
            limits: limits.clone(),
            clock,
            clocks,
            wake_journal,
            stopping: AtomicBool::new(false),
            journal_bytes: AtomicU64::new(0),
            syncs: AtomicU64::new(0),
        }
    }
}
