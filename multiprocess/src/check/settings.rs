//! Settings of the checker.
use crate::history::Micros;

/// The settle times and the window length that the checker uses.
#[derive(Clone, Copy, Debug)]
pub struct CheckSettings {
    /// Time after the commit of a lowered quota in which the old quota may still apply. This time
    /// covers the lifetime of a grant and the propagation to all routers.
    pub quota_settle_time: Micros,
    /// Time after the commit of a stricter placement rule in which the old rule may still apply.
    pub placement_settle_time: Micros,
    /// Length of the windows over which the spread of reads is measured.
    pub spread_window: Micros,
}

impl Default for CheckSettings {
    fn default() -> Self {
        CheckSettings {
            // The settle times of quotas and placement rules are each 250 ms plus the 2 s lifetime of a
            // grant.
            quota_settle_time: 2_250_000,
            placement_settle_time: 2_250_000,
            spread_window: 1_000_000,
        }
    }
}
