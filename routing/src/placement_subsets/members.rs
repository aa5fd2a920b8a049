//! Tracks the endpoints that are available to subsets: their list entries, their member IDs in use, and their
//! removal.
use super::subsets::PlacementSubsets;
use super::tracked_endpoint::TrackedEndpoint;
use crate::endpoint::EndpointUpdate;
use decision::{MemberEntry, MemberId, MemberState};
use std::collections::BTreeSet;
use std::sync::Arc;

impl PlacementSubsets {
    /// Records the endpoints of a list update and returns them as members for [`placement`].
    pub(super) fn track(
        &mut self,
        update: &EndpointUpdate,
        entries: &[MemberEntry],
    ) -> Vec<placement::Member> {
        let mut members = Vec::with_capacity(entries.len());
        for (listed, entry) in update.endpoints.iter().zip(entries) {
            let known_name =
                self.canonical_ids.get_key_value(listed.id.as_str()).map(|(name, _)| name.clone());
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
                endpoint.canonical_id_removed = false;
            } else if listed.state != MemberState::Removed {
                self.canonical_ids.insert(name.clone(), entry.id);
                self.endpoints.insert(entry.id, TrackedEndpoint::new(name, entry.clone()));
            }
        }
        members
    }

    /// Marks endpoints that are missing from a complete list as removed.
    pub(super) fn mark_missing_removed(&mut self, listed_ids: &BTreeSet<MemberId>) {
        for (_, endpoint) in self.endpoints.iter_mut().filter(|(id, _)| !listed_ids.contains(*id)) {
            endpoint.entry.state = MemberState::Removed;
        }
    }

    /// Returns all member IDs of an endpoint that are in use, except for the given ones.
    pub(super) fn ids_in_use(&self, canonical_id: MemberId, except: &[MemberId]) -> Vec<MemberId> {
        let Some(endpoint) = self.endpoints.get(&canonical_id) else { return Vec::new() };
        let canonical = (!endpoint.canonical_id_removed).then_some(canonical_id);
        let aliases = endpoint.active_aliases().map(|alias| alias.id);
        canonical.into_iter().chain(aliases).filter(|id| !except.contains(id)).collect()
    }

    /// Removes a member ID that the decision state machine no longer uses. Returns the canonical ID of the
    /// endpoint if none of the endpoint's member IDs is in use any longer.
    pub fn remove_member(&mut self, member: MemberId) -> Option<MemberId> {
        let canonical_id = if let Some(canonical_id) = self.canonical_id_by_alias.remove(&member) {
            let endpoint = self.endpoints.get_mut(&canonical_id)?;
            endpoint.aliases.retain(|alias| alias.id != member);
            canonical_id
        } else {
            let Some(endpoint) = self.endpoints.get_mut(&member) else { return Some(member) };
            endpoint.canonical_id_removed = true;
            member
        };
        let endpoint = self.endpoints.get(&canonical_id)?;
        if !endpoint.canonical_id_removed || !endpoint.aliases.is_empty() {
            return None;
        }
        if self.canonical_ids.get(&endpoint.name) == Some(&canonical_id) {
            self.canonical_ids.remove(&endpoint.name);
        }
        self.endpoints.remove(&canonical_id);
        Some(canonical_id)
    }
}
