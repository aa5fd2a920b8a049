//! Messages to the endpoints actor.
use crate::endpoint::{EndpointUpdate, MaintenanceMask, UpdateOrder};
use crossbeam_channel::Sender;

/// Messages to the endpoints actor.
pub(super) enum EndpointsMessage {
    /// An update of the endpoint list.
    Update {
        /// The changed entries or the complete list.
        update: EndpointUpdate,
        /// Order of the update relative to earlier updates.
        order: UpdateOrder,
    },
    /// Replaces the maintenance mask.
    SetMaintenance(MaintenanceMask),
    /// Sends a notification once all earlier messages have been forwarded.
    Barrier(Sender<()>),
}
