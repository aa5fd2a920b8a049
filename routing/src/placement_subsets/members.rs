//! The endpoints that subsets are made of, and their aliases.
use super::PlacementSubsets;
use crate::endpoint::EndpointUpdate;
use decision::{GroupId, MemberEntry, MemberId, MemberState, Outcome, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// An endpoint's member id in a subset.
#[derive(Clone, Copy)]
pub(super) struct Alias {
    pub(super) subset: GroupId,
    pub(super) id: MemberId,
    /// It is a member of its subset; otherwise it exists until its attempts under way have ended.
    pub(super) shown: bool,
}

pub(super) struct TrackedEndpoint {
    pub(super) name: Arc<str>,
    /// Its entry under its own member id.
    pub(super) entry: MemberEntry,
    pub(super) aliases: Vec<Alias>,
    /// A probe is under way or waits for its time.
    pub(super) probing: bool,
    /// When the last probe ended.
    pub(super) probed_at: Option<Time>,
    /// The member ids that asked for the probe under way.
    pub(super) probe_waiters: Vec<MemberId>,
    pub(super) reachable: bool,
    /// Whether it last stated that it is the primary.
    pub(super) stated_primary: Option<bool>,
    /// The decisions have no more use for its own member id; its aliases may still have attempts under way.
    pub(super) own_id_removed: bool,
}

impl TrackedEndpoint {
    fn new(name: Arc<str>, entry: MemberEntry) -> Self {
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
    pub(super) fn gone_entry(&self, alias: MemberId, subset: GroupId) -> MemberEntry {
        MemberEntry { id: alias, group: subset, state: MemberState::Removed, ..self.entry.clone() }
    }

    /// Takes its alias out of a subset; returns the alias's id.
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
        tracing::debug!("member {} is {} in the view {}", alias.id.0, self.name, subset.0);
        self.aliases.push(alias);
        alias
    }

    /// Returns whether that has changed whether it is reachable.
    pub(super) fn record_reachability(&mut self, outcome: Outcome) -> bool {
        let reachable = match outcome {
            Outcome::Ok => true,
            Outcome::ConnectFailed => false,
            _ => self.reachable,
        };
        std::mem::replace(&mut self.reachable, reachable) != reachable
    }
}

impl PlacementSubsets {
    /// Takes an update's endpoints in; returns them as [`placement`] has them.
    pub(super) fn track(
        &mut self,
        update: &EndpointUpdate,
        entries: &[MemberEntry],
    ) -> Vec<placement::Member> {
        let mut members = Vec::with_capacity(entries.len());
        for (listed, entry) in update.endpoints.iter().zip(entries) {
            let known_name = self.own_ids.get_key_value(listed.id.as_str()).map(|(name, _)| name.clone());
            let name = known_name.unwrap_or_else(|| Arc::from(listed.id.as_str()));
            members.push(placement::Member {
                name: name.clone(),
                group: listed.group,
                site: listed.site.clone(),
                state: listed.state,
                primary: listed.listed_primary,
            });
            if let Some(endpoint) = self.endpoints.get_mut(&entry.id) {
                endpoint.entry = entry.clone();
                endpoint.own_id_removed = false;
            } else if listed.state != MemberState::Removed {
                self.own_ids.insert(name.clone(), entry.id);
                self.endpoints.insert(entry.id, TrackedEndpoint::new(name, entry.clone()));
            }
        }
        members
    }

    /// Endpoints that a complete list lacks are gone.
    pub(super) fn mark_missing_gone(&mut self, named: &BTreeSet<MemberId>) {
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !named.contains(*id)) {
            endpoint.entry.state = MemberState::Removed;
        }
    }

    /// All member ids of an endpoint that are in use, except for these.
    pub(super) fn ids_in_use(&self, own_id: MemberId, except: &[MemberId]) -> Vec<MemberId> {
        let Some(endpoint) = self.endpoints.get(&own_id) else { return Vec::new() };
        let own = (!endpoint.own_id_removed).then_some(own_id);
        let aliases = endpoint.shown_aliases().map(|alias| alias.id);
        own.into_iter().chain(aliases).filter(|id| !except.contains(id)).collect()
    }

    /// The decisions have no more use for a member id. Returns the own id of its endpoint if nobody has any use for that
    /// any more.
    pub(crate) fn remove_member(&mut self, member: MemberId) -> Option<MemberId> {
        let own_id = match self.own_id_of_alias.remove(&member) {
            Some(own_id) => {
                let endpoint = self.endpoints.get_mut(&own_id)?;
                endpoint.aliases.retain(|alias| alias.id != member);
                own_id
            }
            None => {
                let Some(endpoint) = self.endpoints.get_mut(&member) else { return Some(member) };
                endpoint.own_id_removed = true;
                member
            }
        };
        let endpoint = self.endpoints.get(&own_id)?;
        if !endpoint.own_id_removed || !endpoint.aliases.is_empty() {
            return None;
        }
        if self.own_ids.get(&endpoint.name) == Some(&own_id) {
            self.own_ids.remove(&endpoint.name);
        }
        self.endpoints.remove(&own_id);
        Some(own_id)
    }
}
