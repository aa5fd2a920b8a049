//! Who may be out of service at once, and the rollout of a version through a fleet's routers in waves.
//!
//! - [`BudgetLedger`] counts reservations against the [`DisruptionBudget`]. The store's leader owns it.
//! - [`Release`] rolls a version out within that budget, halts if the routers get worse, and rolls back. One driver owns
//!   it.
//!
//! Neither does I/O or reads a clock. An owner commits the snapshot that a `Persist` action asks for before it carries out
//! the actions that follow. `docs/design/releases.md` has the guarantees and their limits.
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
