//! Reads other members' lists page by page, which repairs updates that gossip lost.
//!
//! One page is requested per [`Settings::list_sync_interval`](crate::Settings::list_sync_interval) from a
//! random member; after a join or a stall, pages are requested without pause.
use super::{Action, Machine};
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::member::Member;
use crate::member_record::{ListEntry, MemberRecord, MemberStatus};
use crate::wire::{HEADER_BYTES, JoinMessage};
use foca::State;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Maximum size of a page without its entries (the sender's identity, the request's id, the number of
/// entries), in bytes.
const PAGE_OVERHEAD_BYTES: usize = 128;
/// Maximum size of an entry without the member's name, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;

impl Machine {
    /// Starts reading another member's list from the beginning, page after page.
    pub(super) fn read_full_list(&mut self, actions: &mut Vec<Action>) {
        self.list_progress.reading_full_list = true;
        self.list_progress.cursor = None;
        self.request_page(actions);
    }

    pub(super) fn request_page(&mut self, actions: &mut Vec<Action>) {
        let Some(to) = self.live.values().choose(&mut self.rng).map(Member::addr) else { return };
        let request_id = self.rng.random();
        self.list_progress.pending_request = Some(request_id);
        let after = self.list_progress.cursor.clone();
        let request = JoinMessage::PageRequest { from: self.local.clone(), request_id, after };
        self.send_join_message(to, &request, actions);
    }

    pub(super) fn handle_page(
        &mut self,
        now: Duration,
        from: &Member,
        request_id: u64,
        entries: Vec<ListEntry>,
        more: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.list_progress.pending_request != Some(request_id) || self.live.get(from.name()) != Some(from)
        {
            self.counters.unsolicited += 1;
            return;
        }
        self.list_progress.pending_request = None;
        let members = || entries.iter().map(|entry| &entry.member);
        if !self.within_member_limit(members()) || self.resolve_name_conflict(now, members(), actions) {
            return;
        }
        self.list_progress.cursor =
            entries.last().map(|entry| entry.member.name().to_string()).filter(|_| more);
        let declared_down =
            (entries.iter()).any(|entry| entry.member == self.local && entry.status == MemberStatus::Down);
        if declared_down && !self.may_rejoin(now) {
            return;
        }
        // The fleet already knows what is on a page, so its entries are applied but not gossiped.
        let records: Vec<MemberRecord> = entries.into_iter().map(MemberRecord::from).collect();
        self.run_core(now, actions, |core, output| core.apply_many(records.into_iter(), false, output));
        if !more {
            self.list_progress.reading_full_list = false;
        } else if self.list_progress.reading_full_list && !declared_down {
            self.request_page(actions);
        }
    }

    /// Sends a page with the names after `after`, as many as fit. If the requester is suspect or down, its
    /// own entry is first.
    pub(super) fn send_page(
        &self,
        to: &Member,
        request_id: u64,
        after: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        let mut entries = Vec::new();
        let requester = self.core.iter_membership_state().find(|record| record.id() == to);
        entries.extend(requester.filter(|record| record.state() != State::Alive).map(ListEntry::from));
        let is_past = |name: &str| after.as_deref().is_none_or(|after| name > after);
        let mut rest: Vec<&MemberRecord> = (self.core.iter_membership_state())
            .filter(|record| is_past(record.id().name()) && record.id() != to)
            .collect();
        rest.sort_unstable_by_key(|record| record.id().name());
        let mut free_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES - PAGE_OVERHEAD_BYTES;
        let mut more = false;
        for record in rest {
            let Some(left) = free_bytes.checked_sub(record.id().name().len() + ENTRY_OVERHEAD_BYTES) else {
                more = true;
                break;
            };
            free_bytes = left;
            entries.push(record.into());
        }
        let page = JoinMessage::Page { from: self.local.clone(), request_id, entries, more };
        self.send_join_message(to.addr(), &page, actions);
    }
}
