//! Times that the checker allows for.
use crate::history::Micros;

/// Times that the checker allows for.
#[derive(Clone, Copy, Debug)]
pub struct CheckSettings {
    /// How long after its commit a lowered quota may still be exceeded: a grant's time to live and the way to all
    /// routers.
    pub quota_settle_time: Micros,
    /// How long after its commit a tightened placement rule may still be broken.
    pub placement_settle_time: Micros,
    /// The length of the windows over which the spread of reads is measured.
    pub spread_window: Micros,
}

impl Default for CheckSettings {
    fn default() -> Self {
        CheckSettings {
            // 250 ms and a grant's time to live of 2 s, each.
            quota_settle_time: 2_250_000,
            placement_settle_time: 2_250_000,
            spread_window: 1_000_000,
        }
    }
}
