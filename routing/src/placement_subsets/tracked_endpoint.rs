//! The record of an endpoint in the subsets, and its aliases.
use decision::{GroupId, MemberEntry, MemberId, MemberState, Outcome, Time};
use std::sync::Arc;

/// An endpoint's member id in a subset.
#[derive(Clone, Copy)]
pub(super) struct Alias {
    pub(super) subset: GroupId,
    pub(super) id: MemberId,
    /// It is a member of its subset; otherwise it exists until its attempts in flight have ended.
    pub(super) shown: bool,
}

/// An endpoint that subsets are made of.
pub(super) struct TrackedEndpoint {
    pub(super) name: Arc<str>,
    /// Its entry under its own member id.
    pub(super) entry: MemberEntry,
    pub(super) aliases: Vec<Alias>,
    /// A probe is in flight or scheduled.
    pub(super) probing: bool,
    /// When the last probe ended.
    pub(super) probed_at: Option<Time>,
    /// The member ids that requested the probe.
    pub(super) probe_waiters: Vec<MemberId>,
    pub(super) reachable: bool,
    /// Whether it last stated that it is the primary.
    pub(super) stated_primary: Option<bool>,
    /// The decisions have removed its own member id; its aliases may still have attempts in flight.
    pub(super) own_id_removed: bool,
}

impl TrackedEndpoint {
    pub(super) fn new(name: Arc<str>, entry: MemberEntry) -> Self {
        TrackedEndpoint {
            name,
            entry,
            aliases: Vec::new(),
            probing: false,
            probed_at: None,
            probe_waiters: Vec::new(),
            reachable: true,
            stated_primary: None,
            own_id_removed: false,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.entry.state == MemberState::Draining
    }

    pub(super) fn shown_aliases(&self) -> impl Iterator<Item = &Alias> {
        self.aliases.iter().filter(|alias| alias.shown)
    }

    /// Its entry as that of one of its aliases.
    pub(super) fn alias_entry(&self, alias: &Alias) -> MemberEntry {
        MemberEntry { id: alias.id, group: alias.subset, ..self.entry.clone() }
    }

    /// The entry of an alias that has left its subset.
    pub(super) fn removed_entry(&self, alias: MemberId, subset: GroupId) -> MemberEntry {
        MemberEntry { id: alias, group: subset, state: MemberState::Removed, ..self.entry.clone() }
    }

    /// Removes its alias from a subset; returns the alias's id.
    pub(super) fn hide_alias(&mut self, subset: GroupId) -> Option<MemberId> {
        let alias = self.aliases.iter_mut().find(|alias| alias.subset == subset)?;
        alias.shown = false;
        Some(alias.id)
    }

    /// Its alias in a subset, which is created if there is none.
    pub(super) fn show_alias(&mut self, subset: GroupId, new_id: impl FnOnce() -> MemberId) -> Alias {
        if let Some(alias) = self.aliases.iter_mut().find(|alias| alias.subset == subset) {
            alias.shown = true;
            return *alias;
        }
        let alias = Alias { subset, id: new_id(), shown: true };
        tracing::debug!(
            member = alias.id.0,
            endpoint = %self.name,
            subset = subset.0,
            "member id of alias assigned"
        );
        self.aliases.push(alias);
        alias
    }

    /// Records whether it was reachable by this outcome; returns `true` if that is a change.
    pub(super) fn record_reachability(&mut self, outcome: Outcome) -> bool {
        let reachable = match outcome {
            Outcome::Ok => true,
            Outcome::ConnectFailed => false,
            _ => self.reachable,
        };
        std::mem::replace(&mut self.reachable, reachable) != reachable
    }
}
