//! Protocol timing and the limits on what a router accepts.
use crate::error::Error;
use std::time::Duration;

/// Protocol timing and limits. All routers of a fleet must have the same. The defaults are for up to 300 routers on
/// loopback; `docs/design/membership.md` has what they cost.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name; datagrams of another fleet are rejected.
    pub cluster: String,
    /// Interval between probes; each probes one member.
    pub probe_interval: Duration,
    /// How long a probed member may take to answer before indirect probes begin; at most half of `probe_interval`.
    pub probe_timeout: Duration,
    /// How many other members are asked for an indirect probe.
    pub indirect_probes: usize,
    /// How long a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Interval between gossip rounds besides the probes, while there are updates to pass on.
    pub gossip_interval: Duration,
    /// To how many members one gossip round sends.
    pub gossip_fanout: usize,
    /// How often one router passes on one update.
    pub max_transmissions: u8,
    /// Interval between page requests: one page of another member's list is read each time, which heals what gossip
    /// lost.
    pub list_sync_interval: Duration,
    /// Interval between join requests to a seed that is not in the list, while other members are known.
    pub seed_contact_interval: Duration,
    /// Interval between join requests to all seeds while no other member is known.
    pub join_retry_interval: Duration,
    /// Interval between announcements to two members that are down, which heals a split.
    pub down_contact_interval: Duration,
    /// How long a member that is down is remembered; must be longer than an update about it can travel.
    pub forget_down_after: Duration,
    /// Names remembered at most, those of down members too; datagrams that would bring more are rejected.
    pub max_members: usize,
    /// Datagrams handled each second at most; more are rejected.
    pub max_datagrams_per_s: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        let ms = Duration::from_millis;
        Settings {
            cluster: "damsonvale".into(),
            probe_interval: ms(500),
            probe_timeout: ms(200),
            indirect_probes: 3,
            suspicion_timeout: ms(2000),
            gossip_interval: ms(200),
            gossip_fanout: 3,
            max_transmissions: 15,
            list_sync_interval: ms(2000),
            seed_contact_interval: ms(5000),
            join_retry_interval: ms(500),
            down_contact_interval: ms(2000),
            forget_down_after: ms(600_000),
            max_members: 4096,
            max_datagrams_per_s: 2000,
        }
    }
}

impl Settings {
    /// The defaults with every interval and timeout divided by `divisor`, except `forget_down_after`: for tests on
    /// real sockets.
    pub fn sped_up(divisor: u32) -> Settings {
        let mut settings = Settings::default();
        settings.scale_timing(|time| time / divisor);
        settings
    }

    /// A fleet's settings with this probe interval and every other interval and timeout in proportion to it.
    /// `forget_down_after` is lengthened, but never shortened.
    pub fn with_probe_interval(cluster: &str, probe_interval: Duration) -> Settings {
        let mut settings = Settings { cluster: cluster.into(), ..Settings::default() };
        let factor = probe_interval.as_secs_f64() / settings.probe_interval.as_secs_f64();
        settings.scale_timing(|time| time.mul_f64(factor));
        settings.forget_down_after =
            settings.forget_down_after.max(settings.forget_down_after.mul_f64(factor));
        settings
    }

    /// Changes every interval and timeout except `forget_down_after`.
    fn scale_timing(&mut self, scaled: impl Fn(Duration) -> Duration) {
        let timing = [
            &mut self.probe_interval,
            &mut self.probe_timeout,
            &mut self.suspicion_timeout,
            &mut self.gossip_interval,
            &mut self.list_sync_interval,
            &mut self.seed_contact_interval,
            &mut self.join_retry_interval,
            &mut self.down_contact_interval,
        ];
        for time in timing {
            *time = scaled(*time);
        }
    }

    /// Checks that the settings agree with each other.
    ///
    /// # Errors
    /// [`Error::InvalidSettings`] names the first rule that is broken.
    pub fn check(&self) -> Result<(), Error> {
        let above_zero = [
            self.probe_timeout,
            self.suspicion_timeout,
            self.gossip_interval,
            self.list_sync_interval,
            self.seed_contact_interval,
            self.join_retry_interval,
            self.down_contact_interval,
            self.forget_down_after,
        ];
        let invalid = |rule| Err(Error::InvalidSettings(rule));
        if above_zero.iter().any(Duration::is_zero) {
            return invalid("every time must be above zero");
        }
        if self.probe_interval < self.probe_timeout * 2 {
            return invalid(
                "probe_interval must be at least twice probe_timeout: indirect probes need time too",
            );
        }
        if self.forget_down_after < self.suspicion_timeout * 10 {
            return invalid(
                "forget_down_after must be at least ten times suspicion_timeout: old news must not bring the dead \
                 back",
            );
        }
        if self.indirect_probes == 0 || self.gossip_fanout == 0 || self.max_transmissions == 0 {
            return invalid("indirect_probes, gossip_fanout and max_transmissions must be at least 1");
        }
        if !(2..=60_000).contains(&self.max_members) || self.max_datagrams_per_s < 20 {
            return invalid("max_members must be 2 to 60,000 and max_datagrams_per_s at least 20");
        }
        Ok(())
    }
}
