//! Events, actions and errors of the state machine.
use crate::state::State;
use decision::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Limits of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of instances in maintenance. At most as many restored ids are retained; beyond that the
    /// oldest is forgotten before its retention is over.
    pub max_entries: usize,
    /// How long a restored id is retained: at least as long as an instance takes to warm up.
    pub restored_retention: Micros,
}

/// A change of one instance in an update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// The id of the instance that the update lists or no longer lists.
    pub id: String,
    /// Whether the instance is listed from now on.
    pub listed: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The endpoint list, or changes to it, was received.
    EndpointsUpdated {
        /// Whether `changes` is the complete list. Otherwise ids that it does not contain are unchanged.
        complete: bool,
        /// The changed ids, in the order in which they are applied.
        changes: Vec<EndpointChange>,
    },
    /// The stored state was read, possibly written by another process. It replaces the machine's state if its
    /// revision is higher.
    StateRead(State),
    /// Command: put an instance in maintenance. If the instance already is in maintenance, the command
    /// succeeds and changes nothing.
    Suspend(String),
    /// Command: end the maintenance of an instance, however often it was suspended and whether or not it is
    /// listed.
    Restore(String),
    /// Command: begin the drain. If the router already drains, the command succeeds and the time of the first
    /// `Pause` stays.
    Pause,
    /// Command: end the drain. It succeeds without a drain too, so that an operator who received no response
    /// can safely repeat the command.
    Resume,
}

/// An instruction to the driver. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store this state before responding to the command. If that fails, respond with the error and return to
    /// the machine as it was before the command.
    Persist(State),
    /// Apply this mask to the endpoint list; it replaces the previous one.
    SetMask(MaintenanceMask),
    /// Begin (`true`) or end the drain.
    SetDraining(bool),
    /// The response to the command: always the last action, and exactly one for each command.
    Respond(Result<(), MaintenanceError>),
}

/// How maintenance changes the endpoint list that the router's decisions use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceMask {
    /// Ids of instances that receive no new requests.
    pub in_maintenance: BTreeSet<String>,
    /// Ids of restored instances, each with the time from which it counts as just started.
    pub restored_at: BTreeMap<String, Time>,
}

/// Why a command is rejected. Operators see these texts at the admin address.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MaintenanceError {
    /// No endpoint list has been received yet, so the id cannot be checked. A driver may wait for the list
    /// and retry.
    #[error(
        "no list of instances has been received yet, so {id:?} is unknown: \
         check the list's source, then retry"
    )]
    EndpointsPending {
        /// The id that the command named.
        id: String,
    },
    /// No instance with this id is listed or in maintenance.
    #[error("instance {id:?} is not among the {listed_count} listed: compare the id with the list")]
    NotListed {
        /// The id that the command named.
        id: String,
        /// Number of listed instances.
        listed_count: usize,
    },
    /// The instance is not in maintenance.
    #[error("{id:?} is not in maintenance; {entry_count} other instances are: compare the id with theirs")]
    NotInMaintenance {
        /// The id that the command named.
        id: String,
        /// Number of instances in maintenance.
        entry_count: usize,
    },
    /// The number of instances in maintenance has reached [`Settings::max_entries`].
    #[error("{max_entries} instances are in maintenance, the maximum: RESTORE one first, then retry")]
    TooManyEntries {
        /// Maximum number of instances in maintenance.
        max_entries: usize,
    },
}
