//! Starts an instance: its listener, its journal and its threads.
use super::sessions::Sessions;
use crate::clocks::ServerClocks;
use crate::error::Error;
use crate::journal::{self, Checkpoint, Journal, JournalContents, JournalWarning};
use crate::machine::{Machine, Settings as MachineSettings};
use crossbeam_channel::bounded;
use routing::Clock;
use settings::Limits;
use settings::operator::SessionsConfig;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Lease duration of an instance without peers, which never grants leases.
const LEASE_WITHOUT_PEERS: Duration = Duration::from_secs(1);

/// The journal and the state machine that an instance starts with.
struct Restored {
    /// `None` if no folder is configured, or if no new file could be created in it.
    journal: Option<Journal>,
    machine: Machine,
}

/// Opens the configured journal folder, if any, and creates a new journal file in it.
fn restore(config: &SessionsConfig, limits: &Limits, clock: Clock) -> Result<Restored, Error> {
    let mut settings = MachineSettings {
        instance: config.instance,
        // The start time, so that a later start has a higher incarnation.
        incarnation: clock.now().0.max(1) as u64,
        lease: config.lease.as_micros() as i64,
        max_buffered_commits: limits.max_buffered_session_commits,
        max_sessions: config.max_sessions,
        durable: false,
        incomplete: !config.trust_after_start,
    };
    let Some(folder) = &config.journal_folder else {
        return Ok(Restored { journal: None, machine: Machine::new(settings, [], None) });
    };
    let opened = journal::open(folder.as_ref(), config.instance)?;
    if let Some(warning) = &opened.warning {
        log_warning(warning);
    }
    let contents = opened.contents.clone().unwrap_or_default();
    settings.incarnation = settings.incarnation.max(contents.incarnation + 1);
    settings.incomplete = opened.contents.is_none() || contents.incomplete;
    let created = opened.create_journal(&Checkpoint {
        instance: config.instance,
        incarnation: settings.incarnation,
        entries: &contents.entries,
        floor: contents.floor,
        incomplete: settings.incomplete,
    })?;
    let journal = created
        .inspect_err(|error| {
            tracing::error!(%folder, %error, "session journal not created, commits are only in memory");
        })
        .ok();
    settings.durable = journal.is_some();
    log_restored(&contents, &settings, folder);
    Ok(Restored { journal, machine: Machine::new(settings, contents.entries, contents.floor) })
}

fn log_warning(warning: &JournalWarning) {
    match warning {
        JournalWarning::TornTail { bytes, path } => {
            tracing::error!(bytes, path = %path.display(), "torn tail cut off session journal");
        }
        JournalWarning::Rejected { path, fault, moved_to } => {
            let (path, moved_to) = (path.display(), moved_to.display());
            tracing::error!(%path, %fault, %moved_to, "damaged session journal rejected");
        }
    }
}

fn log_restored(contents: &JournalContents, settings: &MachineSettings, folder: &str) {
    let (sessions, incarnation) = (contents.entries.len(), settings.incarnation);
    if settings.incomplete {
        tracing::info!(
            sessions,
            incarnation,
            %folder,
            "sessions restored, journal incomplete; all reads require commits made before this start"
        );
    } else {
        tracing::info!(sessions, incarnation, %folder, "sessions restored");
    }
}

impl Sessions {
    /// Starts an instance. The listener is bound before anything else, because peers take a refused
    /// connection as proof that this instance acknowledges no writes.
    ///
    /// # Errors
    /// If the address can't be bound, the journal folder can't be used, or a thread can't be started.
    pub fn start(
        config: SessionsConfig,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<ServerClocks>,
    ) -> Result<Arc<Sessions>, Error> {
        let failed = |source| Error::Listen { addr: config.listen, source };
        let listener = TcpListener::bind(config.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let Restored { journal, machine } = restore(&config, limits, clock)?;
        let (instance, peers) = (config.instance, config.peers.clone());
        let (wake_journal, wakes) = bounded(1);
        let sessions = Arc::new(Sessions::new(config, machine, limits, clock, clocks, wake_journal));
        if let Some(journal) = journal {
            let this = sessions.clone();
            let run = move || this.run_journal(journal, &wakes);
            routing::spawn_needed("journal", limits.routing_thread_stack_bytes, run)
                .map_err(Error::Thread)?;
        }
        sessions.set_peers(peers);
        let this = sessions.clone();
        routing::spawn_needed("sessions", limits.socket_thread_stack_bytes, move || {
            this.accept_all(&listener);
        })
        .map_err(Error::Thread)?;
        let this = sessions.clone();
        routing::spawn_needed("leases", limits.socket_thread_stack_bytes, move || this.run_ticks())
            .map_err(Error::Thread)?;
        tracing::info!(instance, %address, "session peer listener bound");
        Ok(sessions)
    }

    /// Creates an instance that tracks sessions of this process only, without a journal, peers or threads.
    pub fn local(limits: &Arc<Limits>, clock: Clock, clocks: Arc<ServerClocks>) -> Arc<Sessions> {
        let config = SessionsConfig {
            instance: 0,
            cluster: String::new(),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            peers: BTreeMap::new(),
            journal_folder: None,
            max_sessions: limits.max_local_sessions,
            lease: LEASE_WITHOUT_PEERS,
            peer_addresses_may_change: false,
            trust_after_start: false,
        };
        let settings = MachineSettings {
            instance: config.instance,
            incarnation: 0,
            lease: config.lease.as_micros() as i64,
            max_buffered_commits: 0,
            max_sessions: config.max_sessions,
            durable: false,
            incomplete: true,
        };
        let (wake_journal, _) = bounded(1);
        let machine = Machine::new(settings, [], None);
        Arc::new(Sessions::new(config, machine, limits, clock, clocks, wake_journal))
    }
}
