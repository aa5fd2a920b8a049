//! Record of an endpoint in the placement subsets, and its aliases.
use decision::{GroupId, MemberEntry, MemberId, MemberState, Outcome, Time};
use std::sync::Arc;

/// Member ID of an endpoint in a placement subset.
#[derive(Clone, Copy)]
pub(super) struct Alias {
    pub(super) subset: GroupId,
    pub(super) id: MemberId,
    /// Whether the endpoint is currently a member of the subset. An inactive alias exists until its attempts
    /// in flight have ended.
    pub(super) active: bool,
}

/// An endpoint that is available to placement subsets.
pub(super) struct TrackedEndpoint {
    pub(super) name: Arc<str>,
    /// Entry of the endpoint under its canonical member ID.
    pub(super) entry: MemberEntry,
    pub(super) aliases: Vec<Alias>,
    /// Whether a probe is in flight or scheduled.
    pub(super) probing: bool,
    /// Time at which the last probe ended.
    pub(super) probed_at: Option<Time>,
    /// Member IDs that requested the pending probe.
    pub(super) probe_waiters: Vec<MemberId>,
    pub(super) reachable: bool,
    /// Whether the endpoint last reported that it is the primary; `None` if it has not reported a role.
    pub(super) reported_primary: Option<bool>,
    /// Whether the decision state machine has removed the canonical member ID. Aliases may still have
    /// attempts in flight.
    pub(super) canonical_id_removed: bool,
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
            reported_primary: None,
            canonical_id_removed: false,
        }
    }

    pub(super) fn is_draining(&self) -> bool {
        self.entry.state == MemberState::Draining
    }

    pub(super) fn active_aliases(&self) -> impl Iterator<Item = &Alias> {
        self.aliases.iter().filter(|alias| alias.active)
    }

    /// Returns the entry of the endpoint under one of its aliases.
    pub(super) fn alias_entry(&self, alias: &Alias) -> MemberEntry {
        MemberEntry { id: alias.id, group: alias.subset, ..self.entry.clone() }
    }

    /// Returns the entry of an alias that has left its subset, with the state set to removed.
    pub(super) fn removed_entry(&self, alias: MemberId, subset: GroupId) -> MemberEntry {
        MemberEntry { id: alias, group: subset, state: MemberState::Removed, ..self.entry.clone() }
    }

    /// Deactivates the endpoint's alias in a subset and returns the ID of the alias.
    pub(super) fn deactivate_alias(&mut self, subset: GroupId) -> Option<MemberId> {
        let alias = self.aliases.iter_mut().find(|alias| alias.subset == subset)?;
        alias.active = false;
        Some(alias.id)
    }

    /// Activates and returns the endpoint's alias in a subset. The alias is created if there is none.
    pub(super) fn activate_alias(&mut self, subset: GroupId, new_id: impl FnOnce() -> MemberId) -> Alias {
        if let Some(alias) = self.aliases.iter_mut().find(|alias| alias.subset == subset) {
            alias.active = true;
            return *alias;
        }
        let alias = Alias { subset, id: new_id(), active: true };
        tracing::debug!(
            member = alias.id.0,
            endpoint = %self.name,
            subset = subset.0,
            "member id assigned to alias"
        );
        self.aliases.push(alias);
        alias
    }

    /// Updates the reachability of the endpoint after an exchange with this outcome. Returns `true` if it has
    /// changed.
    pub(super) fn record_reachability(&mut self, outcome: Outcome) -> bool {
        let reachable = match outcome {
            Outcome::Ok => true,
            Outcome::ConnectFailed => false,
            _ => self.reachable,
        };
        std::mem::replace(&mut self.reachable, reachable) != reachable
    }
}
