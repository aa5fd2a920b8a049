//! The load of a tenant.
use serde::Deserialize;

/// The routers that a load is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
// The text of the error quotes the name by which operators know the key.
#[serde(untagged, expecting = "data did not match any variant of untagged enum From")]
pub enum Targets {
    /// This many, the first ones.
    First(usize),
    /// `"all"` or `"one"`.
    Named(RouterSet),
}

/// The words that stand for a set of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterSet {
    /// Every router alike.
    All,
    /// The first router alone.
    One,
}

/// A tenant's load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The tenant's name.
    pub tenant: String,
    /// Requests a second over all routers, at random times.
    pub rate: f64,
    /// The routers that they are sent to.
    #[serde(rename = "from")]
    pub targets: Targets,
    /// The share of writes, from 0 to 1.
    #[serde(default, rename = "writes")]
    pub write_share: f64,
}

impl Load {
    /// To how many of `total` routers it is sent; they are the first ones.
    pub fn router_count(&self, total: usize) -> usize {
        match self.targets {
            Targets::First(count) => count.min(total),
            Targets::Named(RouterSet::All) => total,
            Targets::Named(RouterSet::One) => 1,
        }
    }
}
