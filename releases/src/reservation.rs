//! Reservations of the disruption budget: permissions to take a member out of service.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The kind of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetKind {
    /// A router of the fleet.
    Router,
    /// A database instance behind the routers.
    Instance,
}

/// A member of the fleet that may be taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The kind of the member.
    pub kind: TargetKind,
    /// The name of the member, which remains the same after a restart.
    pub name: String,
}

/// All members of the fleet, each with its zone.
pub type Members = BTreeMap<Target, String>;

/// Identifies one grant of a reservation; renewals get a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// Identifies one request for a reservation; the response contains the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Permission for a member to be out of service, counted in the budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// The member that is out of service.
    #[serde(rename = "unit")]
    pub target: Target,
    /// The zone of the member when the reservation was granted.
    pub zone: String,
    /// The owner of the reservation.
    pub owner: String,
    /// The latest grant. A renewal gets a new grant ID, so that a delayed return of an earlier grant has no
    /// effect.
    #[serde(rename = "number")]
    pub grant: GrantId,
}

/// Why a reservation is denied.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ReservationError {
    /// The target is not a member of the fleet.
    #[error("'{0}' is not a member of the fleet: `fleet status` lists the members")]
    UnknownTarget(String),
    /// Another owner has reserved the member.
    #[error("'{target}' is reserved by '{owner}': retry after the reservation is returned")]
    AlreadyReserved {
        /// The name of the member.
        target: String,
        /// The owner that has reserved the member.
        owner: String,
    },
    /// The zone's limit is reached.
    #[error(
        "{out} of at most {limit} members are out of service in zone '{zone}': retry after one has returned"
    )]
    ZoneBudgetExhausted {
        /// The zone whose limit is reached.
        zone: String,
        /// The number of members in the zone that are out of service.
        out: usize,
        /// The number of members in the zone that may be out of service.
        limit: usize,
    },
    /// The fleet's limit is reached.
    #[error("{out} of at most {limit} members are out of service in the fleet: retry after one has returned")]
    FleetBudgetExhausted {
        /// The number of members that are out of service.
        out: usize,
        /// The number of members that may be out of service.
        limit: usize,
    },
}
