//! Reservations of the disruption budget: what is out of service, and who took it out.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetKind {
    /// A router.
    Router,
    /// A database instance.
    Instance,
}

/// A member of the fleet that may be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Its kind.
    pub kind: TargetKind,
    /// Its name, which does not change when it restarts.
    pub name: String,
}

/// All members of the fleet, each with its zone.
pub type Members = BTreeMap<Target, String>;

/// Identifies one grant of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// Identifies one request for a reservation; the answer has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A member that is out of service within the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// What is out.
    #[serde(rename = "unit")]
    pub target: Target,
    /// Its zone when the reservation was granted.
    pub zone: String,
    /// Who reserved it.
    pub owner: String,
    /// Identifies the latest grant: a grant that renews has a new one, so that a late return of an earlier grant changes
    /// nothing.
    #[serde(rename = "number")]
    pub grant: GrantId,
}

/// Why a reservation is denied.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ReservationError {
    /// The fleet has no such member.
    #[error("'{0}' is no member of the fleet: see `fleet status` for the names")]
    UnknownTarget(String),
    /// Another owner has reserved it.
    #[error("'{target}' is out for '{owner}': wait until it has returned its reservation")]
    AlreadyReserved {
        /// Name of the member.
        target: String,
        /// Who has reserved it.
        owner: String,
    },
    /// The zone's limit is reached.
    #[error("{out} of at most {limit} are out in zone '{zone}': try again once one is back")]
    ZoneBudgetExhausted {
        /// The zone.
        zone: String,
        /// Members that are out in it.
        out: usize,
        /// Members that may be out in it.
        limit: usize,
    },
    /// The fleet's limit is reached.
    #[error("{out} of at most {limit} are out in the fleet: try again once one is back")]
    FleetBudgetExhausted {
        /// Members that are out.
        out: usize,
        /// Members that may be out.
        limit: usize,
    },
}
