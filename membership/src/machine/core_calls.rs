//! Calls of the SWIM core, and what becomes of what it wants done.
use super::swim_core::{Core, CoreOutput};
use super::timers::Task;
use super::{Action, Machine, Phase};
use crate::member_record::MemberRecord;
use crate::wire;
use std::time::Duration;

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
