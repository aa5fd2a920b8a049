//! Handling of endpoint list updates and of the removal of members.
use super::actor::RouterActor;
use super::endpoint_record::EndpointRecord;
use crate::endpoint::{EndpointEntry, EndpointUpdate};
use crate::placement_subsets::SubsetChange;
use crate::protocol::BackendProtocol;
use decision::{Event, MemberEntry, MemberId, MemberState};
use std::collections::HashSet;

impl<P: BackendProtocol> RouterActor<P> {
    pub(super) fn update_endpoints(&mut self, mut update: EndpointUpdate) {
        if self.subsets.is_some() {
            drop_reserved_groups(&mut update);
        }
        // If missing members may continue to serve, the decision state machine can still choose them.
        if update.complete && !self.missing_members_may_serve {
            self.take_missing_out_of_service(&update);
        }
        let mut entries: Vec<MemberEntry> =
            update.endpoints.iter().map(|endpoint| self.member_entry(endpoint)).collect();
        let mut change = SubsetChange::default();
        if let Some(subsets) = &mut self.subsets {
            change = subsets.update_endpoints(self.clock.now(), &update, &entries, &mut self.member_ids);
            entries.extend(std::mem::take(&mut change.entries).into_values());
            self.cancel_unstarted_at(&change.removed_aliases);
            change.removed_aliases.clear();
        }
        self.handle_decision_event(Event::MemberListChanged { complete: update.complete, entries });
        self.apply_subset_change(change);
    }

    /// Marks endpoints that are missing from a complete list as out of service.
    fn take_missing_out_of_service(&self, update: &EndpointUpdate) {
        let listed: HashSet<&str> = update.endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
        for missing in self.endpoints.values().filter(|record| !listed.contains(record.id.as_str())) {
            missing.set_in_service(false);
        }
    }

    /// Records a listed endpoint and returns its entry for the decision state machine.
    fn member_entry(&mut self, endpoint: &EndpointEntry) -> MemberEntry {
        let id = self.canonical_member_id(endpoint);
        if endpoint.state != MemberState::Removed {
            let record = || EndpointRecord::new(endpoint.id.clone(), endpoint.addr);
            self.endpoints.entry(id).or_insert_with(record);
        }
        if let Some(record) = self.endpoints.get(&id) {
            record.set_in_service(endpoint.state == MemberState::Ready);
        }
        MemberEntry {
            id,
            group: endpoint.group,
            zone: endpoint.zone,
            state: endpoint.state,
            listed_primary: endpoint.listed_primary,
            weight: endpoint.weight,
            started_at: endpoint.started_at,
        }
    }

    /// Returns the canonical member ID of a listed endpoint. An endpoint whose address has changed retains
    /// its member ID and gets a new record and a new backend, while the old backend completes its exchanges.
    fn canonical_member_id(&mut self, endpoint: &EndpointEntry) -> MemberId {
        let Some(known) = self.members_by_id.get(&endpoint.id).copied() else {
            let id = self.member_ids.allocate();
            tracing::debug!(member = id.0, endpoint = endpoint.id, "member id assigned");
            self.members_by_id.insert(endpoint.id.clone(), id);
            return id;
        };
        let address_changed = self.endpoints.get(&known).is_some_and(|record| record.addr != endpoint.addr);
        if address_changed && let Some(old) = self.endpoints.remove(&known) {
            old.retire();
            self.probe_spacing.remove(known);
        }
        known
    }

    /// Removes a member that the decision state machine no longer uses.
    pub(super) fn remove_member(&mut self, member: MemberId) {
        let endpoint = match &mut self.subsets {
            Some(subsets) => subsets.remove_member(member),
            None => Some(member),
        };
        let Some(endpoint) = endpoint else { return };
        self.probe_spacing.remove(endpoint);
        if let Some(record) = self.endpoints.remove(&endpoint) {
            record.retire();
            self.members_by_id.remove(&record.id);
        } else {
            self.members_by_id.retain(|_, id| *id != endpoint);
        }
    }
}

/// Drops endpoints whose group numbers are reserved for placement subsets.
fn drop_reserved_groups(update: &mut EndpointUpdate) {
    update.endpoints.retain(|endpoint| {
        let in_range = endpoint.group.0 < placement::FIRST_VIEW;
        if !in_range {
            let (id, group) = (&endpoint.id, endpoint.group.0);
            tracing::error!(
                id,
                group,
                "endpoint ignored: its group number is reserved for placement subsets"
            );
        }
        in_range
    });
}
