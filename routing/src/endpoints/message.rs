//! The messages to the endpoints actor.
use crate::endpoint::{EndpointUpdate, MaintenanceMask, UpdateOrder};
use crossbeam_channel::Sender;

/// The messages to the endpoints actor.
pub(super) enum EndpointsMessage {
    /// An update of the endpoint list.
    Update {
        /// The update.
        update: EndpointUpdate,
        /// How it follows the ones before it.
        order: UpdateOrder,
    },
    /// A new maintenance mask, which replaces the one before.
    SetMaintenance(MaintenanceMask),
    /// Answered once everything before it has been forwarded.
    Barrier(Sender<()>),
}
