//! Joining the fleet. Seeds are addresses without names, so a starting router first requests the name of the
//! router at each seed; only then can the core announce itself to that router.
use super::{Action, Machine};
use crate::member::Member;
use crate::member_record::MemberRecord;
use crate::wire::{self, JoinMessage};
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Number of down members that are contacted per round while no other member is known.
const DOWN_MEMBERS_CONTACTED: usize = 3;

impl Machine {
    /// While no other member is known, sends join requests to every seed and to some down members; otherwise
    /// to one seed that is not a live member. Returns the time until the next round.
    pub(super) fn contact_seeds(&mut self, actions: &mut Vec<Action>) -> Duration {
        let is_alone = self.live.is_empty();
        let mut receivers = Vec::new();
        if is_alone {
            receivers.extend(&self.seeds);
            let down = self.down_since.values().map(|(member, _)| member.addr());
            receivers.extend(down.sample(&mut self.rng, DOWN_MEMBERS_CONTACTED));
        } else {
            let listed = |seed: &SocketAddrV4| self.live.values().any(|member| member.addr() == *seed);
            let absent = self.seeds.iter().filter(|seed| !listed(seed));
            receivers.extend(absent.choose(&mut self.rng));
        }
        for to in receivers {
            self.send_join_message(to, &JoinMessage::JoinRequest { from: self.local.clone() }, actions);
        }
        let interval =
            if is_alone { self.settings.join_retry_interval } else { self.settings.seed_contact_interval };
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }

    pub(super) fn send_join_message(
        &self,
        to: SocketAddrV4,
        message: &JoinMessage,
        actions: &mut Vec<Action>,
    ) {
        let bytes = wire::encode_join_message(self.cluster_hash, message).filter(|_| to != self.local.addr());
        actions.extend(bytes.map(|bytes| Action::Send { to, bytes }));
    }

    pub(super) fn handle_join_message(
        &mut self,
        now: Duration,
        message: JoinMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            JoinMessage::JoinRequest { from } => self.handle_join_request(now, &from, actions),
            JoinMessage::JoinReply { from, known } => self.handle_join_reply(now, from, known, actions),
            JoinMessage::PageRequest { from, request_id, after } => {
                if !self.resolve_name_conflict(now, std::iter::once(&from), actions)
                    && from.name() != self.local.name()
                {
                    self.send_page(&from, request_id, after, actions);
                }
            }
            JoinMessage::Page { from, request_id, entries, more } => {
                self.handle_page(now, &from, request_id, entries, more, actions);
            }
        }
    }

    fn handle_join_request(&mut self, now: Duration, from: &Member, actions: &mut Vec<Action>) {
        if self.resolve_name_conflict(now, std::iter::once(from), actions) || from.name() == self.local.name()
        {
            return;
        }
        let known = (self.core.iter_membership_state().map(MemberRecord::id))
            .find(|member| member.name() == from.name())
            .cloned();
        let response = JoinMessage::JoinReply { from: self.local.clone(), known };
        self.send_join_message(from.addr(), &response, actions);
    }

    fn handle_join_reply(
        &mut self,
        now: Duration,
        from: Member,
        known: Option<Member>,
        actions: &mut Vec<Action>,
    ) {
        let named = known.iter().chain([&from]);
        if self.resolve_name_conflict(now, named, actions) || from.name() == self.local.name() {
            // The next round sends another join request, with the new incarnation.
            return;
        }
        self.run_core(now, actions, |core, output| core.announce(from, output));
    }
}
