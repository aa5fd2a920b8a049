//! Ends suspicions, and forgets members that have been down for long.
use super::swim_core::CoreTimer;
use super::timers::Task;
use super::{Action, Machine};
use crate::member::Member;
use foca::State;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router that has received nothing for this many probe intervals may itself be unreachable (isolated).
const ISOLATED_AFTER_PROBES: u32 = 2;
/// Number of suspicion timeouts for which an isolated router waits before it declares other members down.
const ISOLATED_WAIT_TIMEOUTS: u32 = 3;
/// How often per `forget_down_after` the down members are checked.
const FORGET_CHECKS: u32 = 20;

impl Machine {
    pub(super) fn run_core_timer(&mut self, now: Duration, timer: CoreTimer, actions: &mut Vec<Action>) {
        if let CoreTimer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
            // At the end of the timeout the core (foca 2.0.0) notifies a suspected member that it is down,
            // even if the member has refuted the suspicion, which would make the member rejoin.
            if !self.is_suspect(member_id, *incarnation) {
                return;
            }
            if now.saturating_sub(self.last_received) >= self.settings.probe_interval * ISOLATED_AFTER_PROBES
            {
                self.end_suspicion_while_isolated(now, timer, actions);
                return;
            }
        }
        self.run_core(now, actions, |core, output| core.handle_timer(timer, output));
    }

    fn is_suspect(&self, member: &Member, incarnation: u16) -> bool {
        self.core.iter_members().any(|record| {
            record.id() == member && record.state() == State::Suspect && record.incarnation() == incarnation
        })
    }

    /// Ends a suspicion while this router receives nothing and may itself be unreachable. If this router sent
    /// updates that other members are down, each member would refute its update and rejoin. So this router
    /// waits until the other members have declared it down and ignore its updates, and then reports the
    /// change only to its own host.
    fn end_suspicion_while_isolated(&mut self, now: Duration, timer: CoreTimer, actions: &mut Vec<Action>) {
        if now - self.last_received < self.settings.suspicion_timeout * ISOLATED_WAIT_TIMEOUTS {
            self.schedule(now, self.settings.probe_interval, Task::Core(timer), actions);
            return;
        }
        let mut output = self.call_core(|core, output| core.handle_timer(timer, output));
        output.discard_sends();
        self.apply_core_output(now, output, actions);
    }

    pub(super) fn forget_down_interval(&self) -> Duration {
        self.settings.forget_down_after / FORGET_CHECKS
    }

    /// Forgets members that have been down for at least `forget_down_after`.
    pub(super) fn forget_down_members(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let down: BTreeMap<String, Member> = (self.core.iter_membership_state())
            .filter(|record| record.state() == State::Down)
            .map(|record| (record.id().name().to_string(), record.id().clone()))
            .collect();
        self.down_since.retain(|name, (member, _)| down.get(name) == Some(member));
        for (name, member) in down {
            self.down_since.entry(name).or_insert((member, now));
        }
        let is_old = |since: Duration| now.saturating_sub(since) >= self.settings.forget_down_after;
        let forgotten: Vec<Member> = (self.down_since.values())
            .filter(|(_, since)| is_old(*since))
            .map(|(member, _)| member.clone())
            .collect();
        for member in forgotten {
            self.down_since.remove(member.name());
            let timer = CoreTimer::RemoveDown(member);
            self.run_core(now, actions, |core, output| core.handle_timer(timer, output));
        }
    }
}
