//! Protocol timing, and limits on received datagrams.
use crate::error::Error;
use std::time::Duration;

/// Protocol timing and limits, which must be the same at all routers of a fleet. The defaults are for up to
/// 300 routers on loopback; `docs/design/membership.md` lists their costs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name; datagrams of other fleets are rejected.
    pub cluster: String,
    /// Interval between probes; one member is probed at a time.
    pub probe_interval: Duration,
    /// Time within which a probed member must respond before indirect probes are sent; at most half of
    /// `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of other members that are requested to send an indirect probe.
    pub indirect_probes: usize,
    /// Time within which a suspected member can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Interval between gossip rounds, in addition to the gossip on probes, while there are updates to send.
    pub gossip_interval: Duration,
    /// Number of members that a router sends gossip to in one round.
    pub gossip_fanout: usize,
    /// How often one router sends the same update.
    pub max_transmissions: u8,
    /// Interval between page requests. Each request reads one page of another member's list, which repairs
    /// updates that gossip lost.
    pub list_sync_interval: Duration,
    /// Interval between join requests to a seed that is not a live member, while other members are known.
    pub seed_contact_interval: Duration,
    /// Interval between join requests to all seeds while no other member is known.
    pub join_retry_interval: Duration,
    /// Interval between announcements to two down members, which merge the fleet again after a split.
    pub down_contact_interval: Duration,
    /// How long a down member is remembered; must be longer than an update about it can circulate.
    pub forget_down_after: Duration,
    /// Maximum number of known names, including down members; datagrams that would exceed it are rejected.
    pub max_members: usize,
    /// Maximum number of datagrams handled per second; further ones are rejected.
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
    /// The default settings with every interval and timeout divided by `divisor`, except `forget_down_after`.
    /// For tests on real sockets.
    pub fn accelerated(divisor: u32) -> Settings {
        let mut settings = Settings::default();
        settings.scale_timing(|time| time / divisor);
        settings
    }

    /// Settings with the given probe interval and with every other interval and timeout in proportion to it.
    /// `forget_down_after` may be lengthened, but is never shortened.
    pub fn with_probe_interval(cluster: &str, probe_interval: Duration) -> Settings {
        let mut settings = Settings { cluster: cluster.into(), ..Settings::default() };
        let factor = probe_interval.as_secs_f64() / settings.probe_interval.as_secs_f64();
        settings.scale_timing(|time| time.mul_f64(factor));
        settings.forget_down_after =
            settings.forget_down_after.max(settings.forget_down_after.mul_f64(factor));
        settings
    }

    /// Scales every interval and timeout except `forget_down_after`.
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

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// [`Error::InvalidSettings`] with the first violated rule.
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
            return invalid("every interval and timeout must be above zero");
        }
        if self.probe_interval < self.probe_timeout * 2 {
            return invalid(
                "probe_interval must be at least twice probe_timeout, to leave time for indirect probes",
            );
        }
        if self.forget_down_after < self.suspicion_timeout * 10 {
            return invalid(
                "forget_down_after must be at least ten times suspicion_timeout: outdated updates must not \
                 make down members appear alive",
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
