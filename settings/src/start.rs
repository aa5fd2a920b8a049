//! The configuration of a router that is started by the platform: the file `$BALANCER_CONFIG` and environment
//! variables.
mod bounds;
mod config;
mod reload;

pub use config::{ClassAndZoneNames, PlatformConfig, read};
pub use reload::{Reload, reload};
