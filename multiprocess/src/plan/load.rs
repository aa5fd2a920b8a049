//! The load of a tenant and the routers that it is sent to.
use serde::Deserialize;

/// The routers that a load is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
// The error text quotes `From`, the name under which operators know this key.
#[serde(untagged, expecting = "data did not match any variant of untagged enum From")]
pub enum Targets {
    /// The first routers, up to this number.
    First(usize),
    /// A set of routers with a name: `"all"` or `"one"`.
    Named(RouterSet),
}

/// A named set of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterSet {
    /// All routers, with equal shares of the load.
    All,
    /// Only the first router, which receives the whole load.
    One,
}

/// A stream of requests of one tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the tenant.
    pub tenant: String,
    /// Mean rate over all routers in requests per second; the times are random.
    pub rate: f64,
    /// Routers that the requests are sent to.
    #[serde(rename = "from")]
    pub targets: Targets,
    /// Share of writes among the requests, from 0 to 1.
    #[serde(default, rename = "writes")]
    pub write_share: f64,
}

impl Load {
    /// Returns the number of routers that get this load, out of `total`; these are the first routers.
    pub fn router_count(&self, total: usize) -> usize {
        match self.targets {
            Targets::First(count) => count.min(total),
            Targets::Named(RouterSet::All) => total,
            Targets::Named(RouterSet::One) => 1,
        }
    }
}
