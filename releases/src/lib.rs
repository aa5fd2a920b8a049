//! Limits how many members of a fleet are out of service at the same time, and rolls a version out to its
//! routers in waves.
//!
//! - [`BudgetLedger`] counts reservations against the [`DisruptionBudget`]. The store's leader owns it.
//! - [`Release`] rolls a version out within that budget, halts if routers' statistics become worse, and rolls
//!   back. One driver owns it.
//!
//! Neither does I/O nor reads a clock. When a `Persist` action requests it, the owner commits the snapshot
//! before it carries out the actions that follow. The guarantees and their limits are described in
//! `docs/design/releases.md`.
mod budget;
mod health;
mod ledger;
mod plan;
mod plan_error;
mod release;
mod reservation;
mod settings;
mod snapshot;
mod stats;
mod version;

pub use self::settings::Settings;
pub use budget::{BudgetError, DisruptionBudget, Limit, Limits};
pub use health::HealthSettings;
pub use ledger::{BudgetLedger, BudgetUsage, LedgerAction, LedgerEvent, LedgerSnapshot};
pub use plan::Plan;
pub use plan_error::PlanError;
pub use release::{Action, Event, Release};
pub use reservation::{GrantId, Members, RequestId, Reservation, ReservationError, Target, TargetKind};
pub use snapshot::{
    FormatError, HaltReason, Phase, ReleaseSnapshot, RouterState, RouterStep, SNAPSHOT_FORMAT,
};
pub use stats::RequestStats;
pub use version::Version;
