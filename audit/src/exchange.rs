//! Messages between routers and the leader. They travel in postcard, which carries neither field nor variant names: their
//! order and types are the wire format.
//!
//! An epoch is a number that the leader gives a router when it fences it out. The router returns the highest epoch that it
//! has received with each report, so that the leader can tell whether the router knows of its latest fencing. A router that
//! was never fenced out has epoch 0.
use decision::Micros;
use serde::{Deserialize, Serialize};

/// What a router reports beside the version that it holds.
///
/// Ages and durations travel rather than times of day, so that clocks of router and leader need not agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Time since the version was applied or the last fence was lifted, on the router's clock, in microseconds.
    pub version_age: Micros,
    /// Duration of that last fence in microseconds; 0 if the version was applied while the router was not fenced.
    pub last_fence_duration: Micros,
    /// Whether the router routes requests at the time of the report, that is, it is not fenced.
    pub routing: bool,
    /// Version of the router's member list.
    pub members_version: u64,
    /// Highest epoch that the router has received.
    pub epoch: u64,
}

/// The leader's answer to a [`VersionReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// The leader keeps no audit.
    #[default]
    AuditDisabled,
    /// The router may continue under this epoch.
    Continue {
        /// The router's epoch.
        epoch: u64,
    },
    /// The router lags and must fetch the current document. It may continue for as long as its lease lasts.
    Refetch {
        /// The router's epoch.
        epoch: u64,
    },
    /// The router is fenced out until it reports the current version together with this epoch.
    FenceOut {
        /// The router's new epoch.
        epoch: u64,
    },
}
