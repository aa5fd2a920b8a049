//! Calls the SWIM core and applies its output.
use super::swim_core::{Core, CoreOutput};
use super::timers::Task;
use super::{Action, Machine, Phase};
use crate::member_record::MemberRecord;
use crate::wire;
use std::time::Duration;

impl Machine {
    /// Calls the core once and applies its output.
    pub(super) fn run_core(
        &mut self,
        now: Duration,
        actions: &mut Vec<Action>,
        call: impl FnOnce(&mut Core, &mut CoreOutput) -> Result<(), foca::Error>,
    ) {
        let output = self.call_core(call);
        self.apply_core_output(now, output, actions);
    }

    /// Calls the core once. Errors are counted and otherwise ignored, since the core's state stays
    /// consistent.
    pub(super) fn call_core(
        &mut self,
        call: impl FnOnce(&mut Core, &mut CoreOutput) -> Result<(), foca::Error>,
    ) -> CoreOutput {
        let mut output = CoreOutput::default();
        match call(&mut self.core, &mut output) {
            // This router may receive its own datagrams through an outdated address; that is not an error.
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
            // A core that becomes active sets its timers anew and ignores those that it set before.
            self.timers.clear_core();
        }
        for (timer, after) in output.timers {
            self.schedule(now, after, Task::Core(timer), actions);
        }
        self.apply_rejoin(now, actions);
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

    /// Updates the local identity if the core has taken a new incarnation.
    fn apply_rejoin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if *self.core.identity() == self.local {
            return;
        }
        self.local = self.core.identity().clone();
        self.last_rejoin = Some(now);
        self.counters.rejoins += 1;
        actions.push(Action::Rejoined(self.local.clone()));
        self.read_full_list(actions);
    }

    /// Reports any change of the live member with this name in the core's list.
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
