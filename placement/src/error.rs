//! The reasons why a request may not be sent to any member.
use decision::GroupId;
use settings::fleet::Version;
use std::sync::Arc;
use thiserror::Error;

/// Why a request is rejected before any part of it leaves the router. The texts are sent to clients.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlacementError {
    /// No configuration has been received yet.
    #[error(
        "the fleet's configuration is not known here yet, so nobody can tell where a tenant's data may be; \
         see that this router reaches the fleet's store"
    )]
    NoRules,
    /// The tenant's rule is strict, and this router cannot be sure that its configuration is still the
    /// current one.
    #[error(
        "version {version} of the fleet's configuration is not confirmed any more, and the tenant must not leave its \
         sites; see that this router reaches the fleet's store and that the store has a majority"
    )]
    Unconfirmed {
        /// The version of this router's configuration.
        version: Version,
    },
    /// No member at the rule's sites is in service.
    #[error(
        "no server of group {} at {sites} is in service; bring one back there, or name further sites in the tenant's \
         rule",
        group.0
    )]
    NoneInside {
        /// The group that the request names.
        group: GroupId,
        /// The sites of the rule, as text.
        sites: String,
    },
    /// The request needs the primary, which is not at any of the rule's sites.
    #[error(
        "the primary of group {} is '{primary}' at {site}, outside of {sites}; make one inside the primary, or name \
         its site in the tenant's rule",
        group.0
    )]
    PrimaryOutside {
        /// The group that the request names.
        group: GroupId,
        /// The name of the group's primary.
        primary: Arc<str>,
        /// The primary's site, as text. A site that is unknown or has just changed counts as outside.
        site: String,
        /// The sites of the rule, as text.
        sites: String,
    },
    /// The request names a group number that is reserved for views.
    #[error("group {} is out of range; groups are numbered below 2147483648", group.0)]
    Reserved {
        /// The number of the group that is out of range.
        group: GroupId,
    },
}
