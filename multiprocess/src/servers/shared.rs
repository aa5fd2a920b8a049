//! State shared by all servers of a run.
use crate::history::{Micros, Statement};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Index used for a tenant that the plan does not list.
const UNKNOWN_TENANT: usize = usize::MAX;

/// State shared by the threads of all servers.
pub(super) struct Shared {
    run_start: Instant,
    /// Time that a server takes to run a statement.
    pub(super) service_time: Duration,
    /// Tenant indexes by name.
    tenants: HashMap<String, usize>,
    statements: Mutex<Vec<Statement>>,
    stopped: AtomicBool,
}

impl Shared {
    pub(super) fn new(tenants: &[String], service_time: Duration, run_start: Instant) -> Shared {
        Shared {
            run_start,
            service_time,
            tenants: tenants.iter().cloned().zip(0..).collect(),
            statements: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the time since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.run_start.elapsed().as_micros() as Micros
    }

    /// Returns a tenant's index, or [`UNKNOWN_TENANT`].
    pub(super) fn tenant_index(&self, name: &str) -> usize {
        self.tenants.get(name).copied().unwrap_or(UNKNOWN_TENANT)
    }

    /// Records a statement that a server runs.
    pub(super) fn record(&self, statement: Statement) {
        self.statements.lock().unwrap_or_else(PoisonError::into_inner).push(statement);
    }

    pub(super) fn statements(&self) -> Vec<Statement> {
        self.statements.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Signals the servers' threads to stop.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}
