//! Joining: seeds are addresses without names, so a start asks who listens there before the core can announce it.
use super::{Action, Machine};
use crate::member::Member;
use crate::member_record::MemberRecord;
use crate::wire::{self, JoinMessage};
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Members that are down are asked too, while no other is known: this many at a time.
const DOWN_MEMBERS_ASKED: usize = 3;

impl Machine {
    /// Asks every seed and some members that are down while no other member is known, else one seed that is not in
    /// the list. Returns the time until the next round.
    pub(super) fn contact_seeds(&mut self, actions: &mut Vec<Action>) -> Duration {
        let alone = self.live.is_empty();
        let mut receivers = Vec::new();
        if alone {
            receivers.extend(&self.seeds);
            let down = self.down_since.values().map(|(member, _)| member.addr());
            receivers.extend(down.sample(&mut self.rng, DOWN_MEMBERS_ASKED));
        } else {
            let listed = |seed: &SocketAddrV4| self.live.values().any(|member| member.addr() == *seed);
            let absent = self.seeds.iter().filter(|seed| !listed(seed));
            receivers.extend(absent.choose(&mut self.rng));
        }
        for to in receivers {
            self.send_join_message(to, &JoinMessage::JoinRequest { from: self.local.clone() }, actions);
        }
        let interval =
            if alone { self.settings.join_retry_interval } else { self.settings.seed_contact_interval };
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
        let reply = JoinMessage::JoinReply { from: self.local.clone(), known };
        self.send_join_message(from.addr(), &reply, actions);
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
            // Asked again in the next round, under the new incarnation.
            return;
        }
        self.run_core(now, actions, |core, output| core.announce(from, output));
    }
}
