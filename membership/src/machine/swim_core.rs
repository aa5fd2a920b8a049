//! The `foca` core: how it is set up, called, and what becomes of what it wants done.
use super::timers::Task;
use super::{Action, Machine, Phase};
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::member::Member;
use crate::member_record::MemberRecord;
use crate::settings::Settings;
use crate::wire::{self, HEADER_BYTES};
use foca::{Foca, Notification, PeriodicParams, PostcardCodec, Runtime};
use rand::rngs::StdRng;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

pub(super) type Core = Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>;
pub(super) type CoreTimer = foca::Timer<Member>;

/// How many members that are down are contacted at once.
const DOWN_CONTACTS: usize = 2;

/// The core's configuration.
pub(super) fn config(settings: &Settings) -> foca::Config {
    let at_least_one = |count| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
    let every = |frequency, members| Some(PeriodicParams { frequency, num_members: at_least_one(members) });
    foca::Config {
        probe_period: settings.probe_interval,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: at_least_one(settings.indirect_probes),
        max_transmissions: NonZeroU8::new(settings.max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: settings.suspicion_timeout,
        // `forget_down_members` does this: its memory is bounded by names and not by how often each went down.
        remove_down_after: None,
        max_packet_size: at_least_one(MAX_DATAGRAM_BYTES - HEADER_BYTES),
        notify_down_members: true,
        // List pages do this, whole lists in order instead of random parts.
        periodic_announce: None,
        periodic_announce_to_down_members: every(settings.down_contact_interval, DOWN_CONTACTS),
        periodic_gossip: every(settings.gossip_interval, settings.gossip_fanout),
    }
}

/// What the core wants done, gathered over one call.
#[derive(Default)]
pub(super) struct CoreOutput {
    sends: Vec<(SocketAddrV4, Vec<u8>)>,
    timers: Vec<(CoreTimer, Duration)>,
    /// Members that may have come, gone or been superseded.
    changed: Vec<Member>,
    became_active: bool,
}

impl CoreOutput {
    /// Keeps what the core found out from the other members.
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

impl Machine {
    /// Calls the core once and does what it wants done.
    pub(super) fn run_core(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
        call: impl FnOnce(&mut Core, &mut CoreOutput) -> Result<(), foca::Error>,
    ) {
        let output = self.call_core(call);
        self.apply_core_output(now, output, actions);
    }

    /// Calls the core once. Its errors are counted and passed over: it keeps itself in order.
    pub(super) fn call_core(
        &mut self,
        call: impl FnOnce(&mut Core, &mut CoreOutput) -> Result<(), foca::Error>,
    ) -> CoreOutput {
        let mut output = CoreOutput::default();
        match call(&mut self.core, &mut output) {
            // Our own datagrams can come back (an old address of ours): no error.
            Ok(()) | Err(foca::Error::DataFromOurselves) => {}
            Err(_) => self.counters.core_errors += 1,
        }
        output
    }

    pub(super) fn apply_core_output(&mut self, now: Duration, output: CoreOutput, actions: &mut Vec<Action>) {
        for (to, body) in output.sends {
            if to != self.local.addr() {
                actions.push(Action::Send { to, bytes: wire::encode_gossip(self.cluster_hash, &body) });
            }
        }
        if output.became_active {
            // A core that connects begins its timers anew, and would ignore those set before.
            self.timers.clear_core();
        }
        for (timer, after) in output.timers {
            self.schedule(now, after, Task::Core(timer), actions);
        }
        self.note_rejoin(now, actions);
        if self.phase == Phase::Running {
            for member in &output.changed {
                self.report_member_change(member.name(), actions);
            }
        }
        if output.became_active {
            self.has_joined = true;
            self.read_full_list(actions);
        }
    }

    /// Follows the core where it has taken a new incarnation.
    fn note_rejoin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if *self.core.identity() == self.local {
            return;
        }
        self.local = self.core.identity().clone();
        self.last_rejoin = Some(now);
        self.counters.rejoins += 1;
        actions.push(Action::Rejoined(self.local.clone()));
        self.read_full_list(actions);
    }

    /// Reports what has become of the holder of this name in the core's list.
    fn report_member_change(&mut self, name: &str, actions: &mut Vec<Action>) {
        let current = self.core.iter_members().map(MemberRecord::id).find(|member| member.name() == name);
        let reported = self.live.get(name);
        if current == reported {
            return;
        }
        actions.extend(reported.cloned().map(Action::Down));
        actions.extend(current.cloned().map(Action::Up));
        match current {
            Some(member) => _ = self.live.insert(name.to_string(), member.clone()),
            None => _ = self.live.remove(name),
        }
    }
}
