//! What goes into the state machine and what comes out of it.
use crate::state::State;
use decision::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The limits of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many instances may be in maintenance at a time. As many restored ids are remembered; beyond that the oldest
    /// is forgotten early.
    pub max_entries: usize,
    /// How long a restored id is remembered: at least as long as an instance takes to warm up.
    pub restored_retention: Micros,
}

/// One id in an update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The instance's id.
    pub id: String,
    /// Whether it is listed from now on.
    pub listed: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointsUpdated {
        /// Whether `changes` is the complete list. Otherwise the ids that it does not name stay as they were.
        complete: bool,
        /// The ids, applied in this order.
        changes: Vec<EndpointChange>,
    },
    /// The stored state, perhaps written by the other process. It replaces the machine's if its revision is higher.
    StateRead(State),
    /// Command: put an instance in maintenance. A repeat succeeds and changes nothing.
    Suspend(String),
    /// Command: use an instance again, however often it was suspended and whether or not it is listed.
    Restore(String),
    /// Command: begin the drain. A repeat succeeds; the time of the first stays.
    Pause,
    /// Command: end the drain. It succeeds without a drain too: what the operator wants is so, and repeating a command
    /// whose answer was lost must do no harm.
    Resume,
}

/// What the driver must do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store this state before the command is answered. If that fails, answer with the failure and return to the machine
    /// as it was before the command.
    Persist(State),
    /// Apply this mask to the endpoint list; it replaces the one before.
    SetMask(MaintenanceMask),
    /// The drain has begun (`true`) or ended.
    SetDraining(bool),
    /// The answer to the command: always the last action, and exactly one for each command.
    Respond(Result<(), MaintenanceError>),
}

/// What the endpoint list must change in what it shows to the router's decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceMask {
    /// Ids that receive nothing new.
    pub in_maintenance: BTreeSet<String>,
    /// Ids in use again, each with the time from which it counts as freshly started.
    pub restored_at: BTreeMap<String, Time>,
}

/// Why a command is rejected. Operators read these texts at the admin address.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// No endpoint list has been received yet, so nothing is known of the id. A driver may wait for the list and retry.
    #[error(
        "no list of instances has come yet, so {id:?} is unknown: check the list's source, then ask again"
    )]
    EndpointsPending {
        /// The requested id.
        id: String,
    },
    /// No instance with this id is listed or in maintenance.
    #[error(
        "no instance {id:?} among the {listed_count} listed: compare the id with the list, letter by letter"
    )]
    NotListed {
        /// The requested id.
        id: String,
        /// How many instances are listed.
        listed_count: usize,
    },
    /// The instance is not in maintenance.
    #[error(
        "{id:?} is not held, so there is nothing to restore; {entry_count} others are: compare the id with these"
    )]
    NotInMaintenance {
        /// The requested id.
        id: String,
        /// How many instances are in maintenance.
        entry_count: usize,
    },
    /// As many instances are in maintenance as [`Settings::max_entries`] allows.
    #[error("{max_entries} instances are held, the most at a time: RESTORE one that is back, then ask again")]
    TooManyEntries {
        /// How many may be.
        max_entries: usize,
    },
}
