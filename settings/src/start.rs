//! What the platform starts a router with: `$BALANCER_CONFIG` and the variables beside it.
mod bounds;
mod config;
mod reload;

pub use config::{ClassAndZoneNames, PlatformConfig, read};
pub use reload::{Reload, reload};
