//! State that all servers of a run share.
use crate::history::{Micros, Statement};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Stands for a tenant that the plan does not list.
const UNKNOWN_TENANT: usize = usize::MAX;

/// State that all servers of a run share.
pub(super) struct Shared {
    epoch: Instant,
    /// How long a statement takes.
    pub(super) service_time: Duration,
    /// Indexes of tenants by their names.
    tenants: HashMap<String, usize>,
    statements: Mutex<Vec<Statement>>,
    stopped: AtomicBool,
}

impl Shared {
    pub(super) fn new(tenants: &[String], service_time: Duration, epoch: Instant) -> Shared {
        Shared {
            epoch,
            service_time,
            tenants: tenants.iter().cloned().zip(0..).collect(),
            statements: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// The time since the run began.
    pub(super) fn now(&self) -> Micros {
        self.epoch.elapsed().as_micros() as Micros
    }

    /// The index of a tenant.
    pub(super) fn tenant_index(&self, name: &str) -> usize {
        self.tenants.get(name).copied().unwrap_or(UNKNOWN_TENANT)
    }

    /// Records a statement that runs.
    pub(super) fn record(&self, statement: Statement) {
        self.statements.lock().unwrap_or_else(PoisonError::into_inner).push(statement);
    }

    pub(super) fn statements(&self) -> Vec<Statement> {
        self.statements.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Lets the servers' threads end.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}
