//! The allocator's side of an exchange.
use super::Allocator;
use super::allocation::{DemandAllocation, ResponseContext};
use super::router::{RouterRecord, ShareAssignment, ShareChange};
use crate::messages::{
    GrantChange, GrantResponse, HeldGrants, Report, ReservedShare, ResponseBody, TenantDemand,
};
use crate::settings::InjectedFault;
use crate::time::{DISTANT_PAST, after};
use decision::Time;

/// How the sender of a report relates to the allocator's records.
#[derive(Clone, Copy)]
enum Sender {
    /// The allocator has no record of the router that sent the report.
    New,
    /// The record at this index is of the same incarnation.
    Known(usize),
    /// The record at this index is of an earlier incarnation.
    Restarted(usize),
}

impl Allocator {
    /// Handles a report and returns the response; `None` if this node does not lead, or the report is
    /// invalid, outdated, or newer than this node's term or version.
    pub(super) fn handle_report(&mut self, now: Time, report: Report) -> Option<GrantResponse> {
        if !self.accepts(&report) {
            return None;
        }
        let sender = self.sender_of(&report)?;
        let (incarnation, seq) = (report.incarnation, report.seq);
        let body = self.response_body(now, sender, report);
        Some(GrantResponse { term: self.term, incarnation, seq, version: self.version, body })
    }

    /// Whether this node leads and the report is valid and of no later term or version than this node's.
    fn accepts(&self, report: &Report) -> bool {
        let leads = self.term > 0;
        leads && report.check().is_ok() && report.term <= self.term && report.version <= self.version
    }

    /// The sender of a report; `None` if the report is from an earlier incarnation or is not newer than the
    /// last one. A duplicated report must not get a second response, because the router applies whichever
    /// response it receives first.
    fn sender_of(&self, report: &Report) -> Option<Sender> {
        let record_index = self.router_index.get(&report.router).copied();
        let Some((record_index, router)) = record_index.and_then(|p| Some((p, self.routers[p].as_ref()?)))
        else {
            return Some(Sender::New);
        };
        if report.incarnation > router.incarnation {
            return Some(Sender::Restarted(record_index));
        }
        let is_next = report.incarnation == router.incarnation && report.seq > router.seq;
        is_next.then_some(Sender::Known(record_index))
    }

    /// The body of the response to an accepted report.
    fn response_body(&mut self, now: Time, sender: Sender, report: Report) -> ResponseBody {
        if self.version == 0 {
            return ResponseBody::NotRenewed;
        }
        if report.leaving {
            if let Sender::Known(record_index) = sender {
                self.remove_router(record_index);
            }
            return ResponseBody::NotRenewed;
        }
        if report.held.is_none() && !self.can_apply_changes(sender, &report) {
            return ResponseBody::FullReportRequired;
        }
        // A router that has not applied the new version is not renewed, so its grants by older versions
        // expire within one lifetime. This is also the time that the router has to receive the new version.
        if report.version < self.version {
            return ResponseBody::NotRenewed;
        }
        self.renew(now, sender, report)
    }

    /// Whether a report that states only changes can be applied: it must follow the response that the router
    /// applied last.
    fn can_apply_changes(&self, sender: Sender, report: &Report) -> bool {
        let Sender::Known(record_index) = sender else { return false };
        self.routers[record_index]
            .as_ref()
            .is_some_and(|router| router.holdings_known && router.seq == report.applied_seq)
    }

    /// Renews the sender's grants, plans all allocations by demand and decides what changes for the sender.
    fn renew(&mut self, now: Time, sender: Sender, report: Report) -> ResponseBody {
        let in_quiet_period = now < self.quiet_until;
        let (record_index, has_record) = match sender {
            Sender::Known(record_index) => (record_index, true),
            Sender::Restarted(earlier) => {
                self.supersede(earlier);
                (self.add_router(&report), false)
            }
            Sender::New => (self.add_router(&report), false),
        };
        // If a router without a record reports grants after the quiet period, the report was delayed and the
        // grants have expired.
        let skips_quiet_period = self.settings.injected_fault == InjectedFault::SkipQuietPeriod;
        let accepts_held = has_record || in_quiet_period || skips_quiet_period;
        let reset = self.update_held(record_index, report.held, accepts_held);
        self.report_demand(now, record_index, report.demand);
        self.renew_record(now, record_index, report.seq);
        let may_raise =
            !in_quiet_period && now >= self.old_fixed_shares_until && self.all_hold_this_version();
        let share = self.assign_share(record_index, may_raise);
        let changes = self.next_changes(now, record_index, may_raise, share);
        ResponseBody::Renewed { reset, reserved_share: share.after, changes }
    }

    /// Marks a record as that of an earlier incarnation. What this incarnation holds may still be in use
    /// until it expires.
    fn supersede(&mut self, record_index: usize) {
        if let Some(router) = &mut self.routers[record_index] {
            router.superseded = true;
            self.router_index.remove(&router.name);
            self.drop_demand(record_index);
        }
    }

    /// Adds a record of a router that holds nothing and returns its index.
    fn add_router(&mut self, report: &Report) -> usize {
        let record_index = self.free_record_index();
        self.routers[record_index] = Some(RouterRecord {
            name: report.router.clone(),
            incarnation: report.incarnation,
            seq: report.seq,
            expires: DISTANT_PAST,
            superseded: false,
            acknowledged: ShareAssignment { share: None, version: self.version },
            sent: None,
            holdings_known: false,
        });
        self.router_index.insert(report.router.clone(), record_index);
        record_index
    }

    fn free_record_index(&mut self) -> usize {
        if let Some(record_index) = self.routers.iter().position(Option::is_none) {
            return record_index;
        }
        self.routers.push(None);
        for allocation in self.allocations.values_mut() {
            allocation.add_record();
        }
        self.routers.len() - 1
    }

    /// Updates the record of what the router holds from its report. Returns whether the router must discard
    /// everything that it holds.
    fn update_held(&mut self, record_index: usize, held: Option<HeldGrants>, is_accepted: bool) -> bool {
        let Some(router) = &mut self.routers[record_index] else { return true };
        let Some(held) = held else {
            router.acknowledged = router.sent.take().unwrap_or(router.acknowledged);
            for allocation in self.allocations.values_mut() {
                allocation.acknowledge(record_index);
            }
            return false;
        };
        for allocation in self.allocations.values_mut() {
            allocation.reset_router(record_index);
        }
        router.sent = None;
        if held.is_empty() || !is_accepted {
            router.acknowledged = ShareAssignment { share: None, version: self.version };
            return true;
        }
        router.acknowledged = ShareAssignment { share: held.reserved_share, version: held.version };
        for held in held.by_demand {
            if let Some(allocation) = self.allocation_of(&held.tenant) {
                allocation.restore_grant(record_index, held.grant);
            }
        }
        false
    }

    fn report_demand(&mut self, now: Time, record_index: usize, demand: Vec<TenantDemand>) {
        for TenantDemand { tenant, rate } in demand {
            let index = self.tenant_index.get(&tenant);
            let is_allocated = index.is_some_and(|index| self.allocations.contains_key(index));
            if rate == 0 && !is_allocated {
                continue;
            }
            if let Some(allocation) = self.allocation_of(&tenant) {
                allocation.report_demand(now, record_index, rate);
            }
        }
    }

    /// The tenant's allocation by demand, which is created if there is none; `None` if the tenant has no
    /// quota.
    fn allocation_of(&mut self, tenant: &str) -> Option<&mut DemandAllocation> {
        let index = *self.tenant_index.get(tenant)?;
        self.tenants[index as usize].shares?;
        let record_count = self.routers.len();
        Some(self.allocations.entry(index).or_insert_with(|| DemandAllocation::new(record_count)))
    }

    /// Records the exchange: what the router holds is valid for another lifetime.
    fn renew_record(&mut self, now: Time, record_index: usize, seq: u64) {
        let expires = after(now, self.settings.lifetime_at_allocator());
        if let Some(router) = &mut self.routers[record_index] {
            router.expires = router.expires.max(expires);
            router.seq = seq;
            router.holdings_known = true;
        }
    }

    /// Whether all routers have acknowledged shares of the present version, and may hold no shares of other
    /// versions.
    fn all_hold_this_version(&self) -> bool {
        self.routers.iter().flatten().all(|router| router.holds_only(self.version))
    }

    /// Assigns the router's reserved share and records it as sent.
    fn assign_share(&mut self, index: usize, may_raise: bool) -> ShareChange {
        let version = self.version;
        let after = self.next_share(index, may_raise);
        let Some(router) = &mut self.routers[index] else { return ShareChange { before: None, after } };
        let held = router.acknowledged;
        router.sent = Some(ShareAssignment { share: after, version });
        ShareChange { before: held.share.filter(|_| held.version == version), after }
    }

    /// The router's reserved share after this response: its present one, or else an unused one.
    fn next_share(&self, record_index: usize, may_raise: bool) -> Option<ReservedShare> {
        let ShareAssignment { share, version } = self.routers[record_index].as_ref()?.acknowledged;
        let valid_share = share.filter(|share| share.index < self.max_routers);
        if let Some(share) = valid_share {
            let stays_full = share.full && version == self.version;
            return Some(ReservedShare { full: stays_full || may_raise, ..share });
        }
        if !may_raise {
            return None;
        }
        let index = self.free_share_index()?;
        Some(ReservedShare { index, full: true })
    }

    fn free_share_index(&self) -> Option<u32> {
        let mut used = vec![false; self.max_routers as usize];
        for index in self.routers.iter().flatten().flat_map(RouterRecord::share_indices) {
            if let Some(used) = used.get_mut(index as usize) {
                *used = true;
            }
        }
        let index = used.iter().position(|used| !used)?;
        Some(index as u32)
    }

    /// Plans all allocations by demand and collects the changes for the router. Removes allocations that have
    /// returned to reserved shares.
    fn next_changes(
        &mut self,
        now: Time,
        record_index: usize,
        may_raise: bool,
        share: ShareChange,
    ) -> Vec<GrantChange> {
        let mut changes = Vec::new();
        self.allocations.retain(|&index, allocation| {
            let tenant = &self.tenants[index as usize];
            let Some(shares) = &tenant.shares else { return true };
            let context = ResponseContext {
                shares,
                settings: &self.settings,
                routers: &self.routers,
                may_raise,
                share,
            };
            allocation.plan(now, &context);
            if let Some(change) = allocation.next_change(record_index, &context) {
                changes.push(GrantChange { tenant: tenant.name.clone(), grant: change.by_demand() });
            }
            !allocation.is_restored(&self.routers)
        });
        changes
    }
}
