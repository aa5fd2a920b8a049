//! Messages exchanged between routers and the leader. They are encoded with postcard, which omits field and
//! variant names: the order and types of the fields are the wire format.
//!
//! An epoch is a number that the leader assigns to a router when it fences the router out. The router
//! includes the highest epoch that it has received in each report, so that the leader can tell whether the
//! router knows of its latest fencing. A router that was never fenced out has epoch 0.
use decision::Micros;
use serde::{Deserialize, Serialize};

/// What a router reports in addition to its configuration version.
///
/// Ages and durations are sent rather than times of day, so that the clocks of router and leader need not
/// agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Time since the version was applied or the last fence was lifted, on the router's clock, in
    /// microseconds.
    pub version_age: Micros,
    /// Duration in microseconds of the fence that was last lifted; 0 if the version was applied while the
    /// router was not fenced.
    pub last_fence_duration: Micros,
    /// Whether the router routes requests at the time of the report, that is, whether it is not fenced.
    pub routing: bool,
    /// Version of the router's member list.
    pub members_version: u64,
    /// Highest epoch that the router has received.
    pub epoch: u64,
}

/// The leader's response to a [`VersionReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// The leader does not audit configuration versions.
    #[default]
    AuditDisabled,
    /// The router may continue under this epoch.
    Continue {
        /// Latest epoch of the router that the leader knows.
        epoch: u64,
    },
    /// The router's version is outdated and it must fetch the current document. It may continue to route
    /// until its lease expires.
    Refetch {
        /// Latest epoch of the router that the leader knows.
        epoch: u64,
    },
    /// The router must reject all requests until it reports the current version together with this epoch.
    FenceOut {
        /// The router's new epoch.
        epoch: u64,
    },
}
