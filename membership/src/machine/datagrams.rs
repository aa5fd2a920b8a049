//! Checks and limits received datagrams before they are passed to the SWIM core, and resolves name conflicts.
use super::{Action, Machine, Phase};
use crate::member::Member;
use crate::member_record::MemberRecord;
use crate::wire::{self, Datagram, GossipDatagram, JoinMessage};
use foca::{Message, State};
use std::net::SocketAddrV4;
use std::time::Duration;

impl Machine {
    /// Checks a datagram and handles its message. Rejected datagrams are counted and get no response.
    pub(super) fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.counters.received += 1;
        // A leaving router must not learn that it was declared down, or it would rejoin.
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

    /// Passes gossip to the core, unless it would exceed a limit or contains a name conflict.
    fn handle_gossip(&mut self, now: Duration, gossip: &GossipDatagram<'_>, actions: &mut Vec<Action>) {
        let sender = &gossip.header.src;
        let named = || std::iter::once(sender).chain(gossip.updates.iter().map(MemberRecord::id));
        if !self.within_member_limit(named()) || self.resolve_name_conflict(now, named(), actions) {
            return;
        }
        // A later start uses the sender's name at another address. Declaring the sender down would not inform
        // the sender of the later start, so the sender receives the identity of that start.
        let name_holder =
            (self.core.iter_membership_state().map(MemberRecord::id)).find(|member| member.same_name(sender));
        if let Some(later) =
            name_holder.filter(|holder| holder.is_later_than(sender) && holder.addr() != sender.addr())
        {
            let response = JoinMessage::JoinReply { from: self.local.clone(), known: Some(later.clone()) };
            self.send_join_message(sender.addr(), &response, actions);
            return;
        }
        if self.is_declared_down_by(gossip) && !self.may_rejoin(now) {
            return;
        }
        self.run_core(now, actions, |core, output| core.handle_data(gossip.body, output));
    }

    /// Whether this datagram makes the core rejoin: an update declares this router down, or the sender
    /// responds to this router as to a down member (`TurnUndead`).
    fn is_declared_down_by(&self, gossip: &GossipDatagram<'_>) -> bool {
        let in_updates =
            (gossip.updates.iter()).any(|record| *record.id() == self.local && record.state() == State::Down);
        let directly = gossip.header.message == Message::TurnUndead && gossip.header.dst == self.local;
        in_updates || directly
    }

    /// Whether the members, together with the known ones, are within the limit. If not, counts the datagram
    /// as rejected.
    pub(super) fn within_member_limit<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> bool {
        let known_count = self.core.iter_membership_state().len();
        // Names are compared only if the limit might be exceeded; the few names of one datagram rarely do so.
        let fits = known_count + members.clone().count() <= self.settings.max_members || {
            let is_known = |member: &Member| {
                self.core.iter_membership_state().any(|record| record.id().name() == member.name())
            };
            members.filter(|member| member.name() != self.local.name()).all(is_known)
        };
        self.counters.over_member_limit += u64::from(!fits);
        fits
    }

    /// Looks for a later holder of this router's name among the members. If that holder took the name at
    /// another address after this router joined, this router's membership ends. Otherwise this router
    /// supersedes the holder with a higher incarnation, unless this router's last rejoin was too recent.
    /// Returns whether there was a conflict: the rest of the datagram then concerns an outdated identity and
    /// must not be handled.
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
        // The holder is an earlier start whose clock was ahead or whose end is not known yet. The last
        // start supersedes it.
        if self.may_rejoin(now) {
            let renewed = self.local.supersede(later.incarnation());
            self.run_core(now, actions, |core, output| core.change_identity(renewed, output));
        }
        true
    }

    /// Whether at least one gossip interval has passed since the last rejoin, so that forged datagrams can't
    /// make a router rejoin endlessly. If not, counts the datagram as unsolicited.
    pub(super) fn may_rejoin(&mut self, now: Duration) -> bool {
        let allowed =
            self.last_rejoin.is_none_or(|last| now.saturating_sub(last) >= self.settings.gossip_interval);
        self.counters.unsolicited += u64::from(!allowed);
        allowed
    }
}
