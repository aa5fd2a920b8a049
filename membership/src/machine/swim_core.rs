//! The `foca` core: its configuration and its output.
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::member::Member;
use crate::settings::Settings;
use crate::wire::HEADER_BYTES;
use foca::{Foca, Notification, PeriodicParams, PostcardCodec, Runtime};
use rand::rngs::StdRng;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

pub(super) type Core = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;
pub(super) type CoreTimer = foca::Timer<Member>;

/// Number of down members that are contacted per round.
const DOWN_MEMBERS_PER_ROUND: usize = 2;

/// Returns the configuration of the SWIM core for these settings.
pub(super) fn config(settings: &Settings) -> foca::Config {
    let at_least_one = |count| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let every = |frequency, members| Some(PeriodicParams { frequency, num_members: at_least_one(members) });
    foca::Config {
        probe_period: settings.probe_interval,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: at_least_one(settings.indirect_probes),
        max_transmissions: NonZeroU8::new(settings.max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: settings.suspicion_timeout,
        // `forget_down_members` removes down members instead: the memory that it needs is bounded by the
        // number of names, not by how often each member went down.
        remove_down_after: None,
        max_packet_size: at_least_one(MAX_DATAGRAM_BYTES - HEADER_BYTES),
        notify_down_members: true,
        // List pages replace periodic announcements: they send whole lists in order instead of random parts.
        periodic_announce: None,
        periodic_announce_to_down_members: every(settings.down_contact_interval, DOWN_MEMBERS_PER_ROUND),
        periodic_gossip: every(settings.gossip_interval, settings.gossip_fanout),
    }
}

/// The output of one call of the core.
#[derive(Default)]
pub(super) struct CoreOutput {
    /// Datagrams to send, each with the address of its receiver.
    pub(super) sends: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Timers to set, each with the time until it expires.
    pub(super) timers: Vec<(CoreTimer, Duration)>,
    /// Members that may have joined, left or been superseded.
    pub(super) changed: Vec<Member>,
    /// Whether the first other member has become known.
    pub(super) became_active: bool,
}

impl CoreOutput {
    /// Discards the datagrams, so that other members do not learn what the core decided.
    pub(super) fn discard_sends(&mut self) {
        self.sends.clear();
    }
}

impl Runtime<Member> for CoreOutput {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member)
            | Notification::MemberDown(member)
            | Notification::Rename(_, member) => self.changed.push(member.clone()),
            Notification::Active => self.became_active = true,
            Notification::Idle | Notification::Defunct | Notification::Rejoin(_) => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.sends.push((to.addr(), data.to_vec()));
    }

    fn submit_after(&mut self, timer: CoreTimer, after: Duration) {
        self.timers.push((timer, after));
    }
}
