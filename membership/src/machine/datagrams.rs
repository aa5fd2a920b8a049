//! Datagrams before they reach the SWIM core: limits, checks, and one name that two routers claim.
use super::{Action, Machine, Phase};
use crate::member::Member;
use crate::member_record::MemberRecord;
use crate::wire::{self, Datagram, GossipDatagram, JoinMessage};
use foca::{Message, State};
use std::net::SocketAddrV4;
use std::time::Duration;

impl Machine {
    /// Checks a datagram and handles its message. What is rejected is counted and not answered.
    pub(super) fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.counters.received += 1;
        // A router that leaves must not hear that it is down, or it would rejoin.
        if self.phase != Phase::Running {
            return;
        }
        if !from.ip().is_loopback() {
            self.counters.not_loopback += 1;
            return;
        }
        if !self.datagram_budget.try_take(now) {
            self.counters.rate_limited += 1;
            return;
        }
        let datagram = match wire::decode(self.cluster_hash, bytes) {
            Ok(datagram) => datagram,
            Err(reason) => {
                self.counters.count_rejected(reason);
                return;
            }
        };
        self.last_received = now;
        match datagram {
            Datagram::Gossip(gossip) => self.handle_gossip(now, &gossip, actions),
            Datagram::Join(message) => self.handle_join_message(now, message, actions),
        }
    }

    /// Hands gossip to the core, unless it would exceed a limit or concerns a name that two routers claim.
    fn handle_gossip(&mut self, now: Duration, gossip: &GossipDatagram<'_>, actions: &mut Vec<Action>) {
        let sender = &gossip.header.src;
        let named = || std::iter::once(sender).chain(gossip.updates.iter().map(MemberRecord::id));
        if !self.within_member_limit(named()) || self.resolve_name_conflict(now, named(), actions) {
            return;
        }
        // A later start has taken the sender's name at another address. The sender cannot learn that from being declared
        // down, so it is sent the later start.
        let holder =
            (self.core.iter_membership_state().map(MemberRecord::id)).find(|member| member.same_name(sender));
        if let Some(later) = holder.filter(|h| h.is_later_than(sender) && h.addr() != sender.addr()) {
            let reply = JoinMessage::JoinReply { from: self.local.clone(), known: Some(later.clone()) };
            self.send_join_message(sender.addr(), &reply, actions);
            return;
        }
        if self.is_declared_down_by(gossip) && !self.may_rejoin(now) {
            return;
        }
        self.run_core(now, actions, |core, output| core.handle_data(gossip.body, output));
    }

    /// Whether the core will rejoin because of this datagram: an update in it says that this router is down, or its sender
    /// answers so directly (`TurnUndead`).
    fn is_declared_down_by(&self, gossip: &GossipDatagram<'_>) -> bool {
        let in_updates =
            (gossip.updates.iter()).any(|record| *record.id() == self.local && record.state() == State::Down);
        let directly = gossip.header.message == Message::TurnUndead && gossip.header.dst == self.local;
        in_updates || directly
    }

    /// Whether these names fit beside the known ones; counts the datagram as over the limit if not.
    pub(super) fn within_member_limit<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> bool {
        let known_count = self.core.iter_membership_state().len();
        // The names of one datagram are few: they are only looked up when it could matter.
        let fits = known_count + members.clone().count() <= self.settings.max_members || {
            let is_known = |member: &Member| {
                self.core.iter_membership_state().any(|record| record.id().name() == member.name())
            };
            members.filter(|member| member.name() != self.local.name()).all(is_known)
        };
        self.counters.over_member_limit += u64::from(!fits);
        fits
    }

    /// Looks among the named members for a later holder of this router's name. One that has taken the name at another
    /// address since this router joined ends membership here; any other is superseded by a higher incarnation, unless
    /// the last rejoin was a moment ago. Returns whether there was one: the rest of the datagram is then about an outdated
    /// identity and must not be handled.
    pub(super) fn resolve_name_conflict<'a>(
        &mut self,
        now: Duration,
        mut named: impl Iterator<Item = &'a Member>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_later =
            |member: &&Member| member.name() == self.local.name() && member.is_later_than(&self.local);
        let Some(later) = named.find(is_later).cloned() else { return false };
        if self.has_joined && later.addr() != self.local.addr() {
            self.end(Action::Superseded(later), actions);
            return true;
        }
        // An earlier start whose clock was ahead, or whose end is not known yet: the last start supersedes it.
        if self.may_rejoin(now) {
            let renewed = self.local.supersede(later.incarnation());
            self.run_core(now, actions, |core, output| core.change_identity(renewed, output));
        }
        true
    }

    /// Whether a gossip interval has passed since the last rejoin, so that a forger cannot keep a router rejoining without
    /// end; counts the datagram as unsolicited if not.
    pub(super) fn may_rejoin(&mut self, now: Duration) -> bool {
        let may =
            self.last_rejoin.is_none_or(|last| now.saturating_sub(last) >= self.settings.gossip_interval);
        self.counters.unsolicited += u64::from(!may);
        may
    }
}
