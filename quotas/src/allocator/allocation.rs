//! The allocation of one tenant's quota by demand: what each router holds, reports and should hold.
use super::router::{RouterRecord, ShareChange};
use crate::equal_shares::EqualShares;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use crate::settings::Settings;
use crate::time::DISTANT_PAST;
use decision::Time;

/// The number of equal parts in which reserved shares are reclaimed.
pub(super) const RECLAIM_PARTS: u64 = 8;

/// What entitles a router to its part of a tenant's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Holding {
    /// The router's reserved share, which is an equal part of the quota.
    #[default]
    Reserved,
    /// A grant by demand, which replaces the reserved share.
    ByDemand(Grant),
}

impl Holding {
    /// The grant that a router with this reserved share holds.
    pub(super) fn grant(self, reserved: Grant) -> Grant {
        match self {
            Holding::Reserved => reserved,
            Holding::ByDemand(grant) => grant,
        }
    }

    /// The grant by demand; `None` if the router holds its reserved share.
    pub(super) fn by_demand(self) -> Option<Grant> {
        match self {
            Holding::Reserved => None,
            Holding::ByDemand(grant) => Some(grant),
        }
    }
}

/// One router's part of a tenant's quota.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct RouterPart {
    /// What the router has acknowledged to hold.
    pub(super) held: Holding,
    /// What the last response changes the router's part to, if that response is not acknowledged yet.
    pub(super) sent: Option<Holding>,
    /// The reported demand, microtokens per second.
    pub(super) demand: u64,
    /// Since when the router has reported no demand. Until its demand is considered to have ended, `demand`
    /// keeps the value reported before.
    pub(super) no_demand_since: Option<Time>,
    /// The grant that the last plan gave the router.
    pub(super) target: Grant,
    /// Whether `target` takes the present demand into account. Until it does, nothing is reclaimed from the
    /// router.
    pub(super) planned: bool,
}

impl RouterPart {
    /// The rate to grant for this demand, with a margin for random fluctuation: half as much again, or where
    /// that is more, as for sparse demand, one standard deviation of a rate measured over two seconds.
    pub(super) fn wanted_rate(&self) -> u64 {
        if self.demand == 0 {
            return 0;
        }
        let deviation = (self.demand as f64 * MICROTOKENS_PER_TOKEN as f64 / 2.0).sqrt() as u64;
        (self.demand / 2 * 3).max(self.demand + deviation)
    }

    /// The most that the router may hold: the larger of what is acknowledged and what was last sent.
    pub(super) fn max_held(&self, router: &RouterRecord, shares: &EqualShares) -> Grant {
        let reserved = router.max_reserved(shares);
        let held = self.held.grant(reserved);
        self.sent.map_or(held, |sent| held.max(sent.grant(reserved)))
    }
}

/// Data for building one response: some of it is the same for all tenants, the rest for all routers.
pub(super) struct ResponseContext<'a> {
    pub(super) shares: &'a EqualShares,
    pub(super) settings: &'a Settings,
    pub(super) routers: &'a [Option<RouterRecord>],
    /// Whether shares and grants may be raised in this response.
    pub(super) may_raise: bool,
    /// The change of the router's reserved share.
    pub(super) share: ShareChange,
}

/// The allocation of one tenant's quota by demand. It ends once all routers hold their reserved shares again.
#[derive(Clone, Debug, Hash)]
pub(super) struct DemandAllocation {
    /// The routers' parts, by the index of the router's record.
    pub(super) parts: Vec<RouterPart>,
    /// Demand has changed since the last plan.
    pub(super) demand_changed: bool,
    /// Since the targets were last applied, a router's demand has started or ended.
    pub(super) demand_started_or_ended: bool,
    pub(super) planned_at: Time,
    /// When to check next whether the demand of idle routers has ended.
    pub(super) next_idle_check: Time,
    /// Until this time the demand of every idle router is considered to have ended.
    pub(super) end_all_idle_demand_until: Time,
    /// The rotation interval that the targets were planned for, if there are fewer tokens than routers with
    /// demand.
    pub(super) rotation: Option<i64>,
    /// Since when no router has had demand beyond its reserved share.
    pub(super) idle_since: Option<Time>,
    /// In the last plan no router had demand beyond its reserved share.
    pub(super) within_reserved: bool,
    /// The tenant is returning to reserved shares: each router's target is its reserved share.
    pub(super) restoring: bool,
    /// How many of the [`RECLAIM_PARTS`] parts of their reserved shares routers without demand retain.
    pub(super) retained_parts: u64,
}

impl DemandAllocation {
    pub(super) fn new(record_count: usize) -> DemandAllocation {
        DemandAllocation {
            parts: vec![RouterPart::default(); record_count],
            demand_changed: true,
            demand_started_or_ended: true,
            planned_at: DISTANT_PAST,
            next_idle_check: DISTANT_PAST,
            end_all_idle_demand_until: DISTANT_PAST,
            rotation: None,
            idle_since: None,
            within_reserved: false,
            restoring: false,
            retained_parts: RECLAIM_PARTS,
        }
    }

    /// Records a router's demand.
    pub(super) fn set_demand(&mut self, record_index: usize, demand: u64) {
        let part = &mut self.parts[record_index];
        if (part.demand == 0) != (demand == 0) {
            self.demand_started_or_ended = true;
            part.planned = false;
        }
        part.demand = demand;
        part.no_demand_since = None;
        self.demand_changed = true;
    }

    /// Sets a router's demand to zero, if it has any.
    pub(super) fn drop_demand(&mut self, record_index: usize) {
        if self.parts[record_index].demand > 0 {
            self.set_demand(record_index, 0);
        }
    }

    /// Applies the demand that a router reports.
    pub(super) fn report_demand(&mut self, now: Time, record_index: usize, demand: u64) {
        let part = &mut self.parts[record_index];
        // A router that holds its reserved share reports only demand beyond it, so 0 means that this demand
        // has ended. A router with a grant by demand may report 0 because of a random gap between requests.
        if demand > 0 || part.held == Holding::Reserved {
            self.set_demand(record_index, demand);
        } else if part.demand > 0 {
            part.no_demand_since = Some(now);
        }
    }

    /// The router has acknowledged the last response: it holds what was sent in it.
    pub(super) fn acknowledge(&mut self, record_index: usize) {
        let part = &mut self.parts[record_index];
        part.held = part.sent.take().unwrap_or(part.held);
    }

    /// Resets a router whose report states everything that it holds and demands: until the report is applied,
    /// the router counts as holding its reserved share and having no demand.
    pub(super) fn reset_router(&mut self, record_index: usize) {
        self.parts[record_index].held = Holding::Reserved;
        self.parts[record_index].sent = None;
        self.drop_demand(record_index);
    }

    /// Records a grant by demand that the router holds according to its full report.
    pub(super) fn restore_grant(&mut self, record_index: usize, grant: Grant) {
        self.parts[record_index].held = Holding::ByDemand(grant);
    }

    /// Adds a part for another router record.
    pub(super) fn add_record(&mut self) {
        self.parts.push(RouterPart::default());
    }

    /// Clears a router's part, so that another router can use the record index.
    pub(super) fn clear_router(&mut self, record_index: usize) {
        self.parts[record_index] = RouterPart::default();
    }

    /// Whether all routers hold their reserved shares again.
    pub(super) fn is_restored(&self, routers: &[Option<RouterRecord>]) -> bool {
        let restored = |part: &RouterPart| {
            part.demand == 0
                && part.held == Holding::Reserved
                && part.sent.is_none_or(|sent| sent == Holding::Reserved)
        };
        self.restoring
            && self.parts.iter().zip(routers).all(|(part, router)| router.is_none() || restored(part))
    }
}
