//! Why a request may not be sent to any member.
use decision::GroupId;
use settings::fleet::Version;
use std::sync::Arc;
use thiserror::Error;

/// Why a request is rejected before anything of it leaves the router. The texts reach clients.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlacementError {
    /// No configuration has been read yet.
    #[error(
        "the fleet's configuration is not known here yet, so nobody can tell where a tenant's data may be; \
         see that this router reaches the fleet's store"
    )]
    NoRules,
    /// The tenant's rule is strict, and the configuration may have changed without this router's knowledge.
    #[error(
        "version {version} of the fleet's configuration is not confirmed any more, and the tenant must not leave its \
         sites; see that this router reaches the fleet's store and that the store has a majority"
    )]
    Unconfirmed {
        /// The version that this router has.
        version: Version,
    },
    /// No member inside the rule's sites is in service.
    #[error(
        "no server of group {} at {sites} is in service; bring one back there, or name further sites in the tenant's \
         rule",
        group.0
    )]
    NoneInside {
        /// The group.
        group: GroupId,
        /// The sites of the rule, in words.
        sites: String,
    },
    /// The request needs the primary, which is outside of the rule's sites.
    #[error(
        "the primary of group {} is '{primary}' at {site}, outside of {sites}; make one inside the primary, or name \
         its site in the tenant's rule",
        group.0
    )]
    PrimaryOutside {
        /// The group.
        group: GroupId,
        /// The primary's name.
        primary: Arc<str>,
        /// Its site, in words. A site that is unknown or has just changed counts as outside too.
        site: String,
        /// The sites of the rule, in words.
        sites: String,
    },
    /// The request names a number that is reserved for views.
    #[error("group {} is out of range; groups are numbered below 2147483648", group.0)]
    Reserved {
        /// The number.
        group: GroupId,
    },
}
