//! The state of a tenant that is allocated by demand.
use super::router::{RouterRecord, ShareChange};
use crate::equal_shares::EqualShares;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use crate::settings::Settings;
use crate::time::LONG_PAST;
use decision::Time;

/// Reserved shares are reclaimed in this many parts.
pub(super) const RECLAIM_PARTS: u64 = 8;

/// How a router holds its part of a tenant's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Holding {
    /// By its reserved share.
    #[default]
    Reserved,
    /// By a grant in place of its reserved share.
    ByDemand(Grant),
}

impl Holding {
    /// What is held by a router with this reserved share.
    pub(super) fn grant(self, reserved: Grant) -> Grant {
        match self {
            Holding::Reserved => reserved,
            Holding::ByDemand(grant) => grant,
        }
    }

    /// The grant in place of the reserved share.
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
    /// What the router is known to hold.
    pub(super) held: Holding,
    /// What the last response may have made of it.
    pub(super) sent: Option<Holding>,
    /// Microtokens per second.
    pub(super) demand: u64,
    /// Since when the router reports no demand, while `demand` still is what it reported before.
    pub(super) silent_since: Option<Time>,
    /// What the router is to have.
    pub(super) target: Grant,
    /// Whether the target takes this demand into account; before, nothing is reclaimed.
    pub(super) planned: bool,
}

impl RouterPart {
    /// The rate that this demand may need by chance: half more, and where demand is sparse, what a few seconds may count
    /// too low.
    pub(super) fn wanted_rate(&self) -> u64 {
        if self.demand == 0 {
            return 0;
        }
        let deviation = (self.demand as f64 * MICROTOKENS_PER_TOKEN as f64 / 2.0).sqrt() as u64;
        (self.demand / 2 * 3).max(self.demand + deviation)
    }

    /// What the router may hold, at most.
    pub(super) fn max_held(&self, router: &RouterRecord, shares: &EqualShares) -> Grant {
        let reserved = router.max_reserved(shares);
        let held = self.held.grant(reserved);
        self.sent.map_or(held, |sent| held.max(sent.grant(reserved)))
    }
}

/// What is the same for all tenants, or all routers, of one response.
pub(super) struct ResponseContext<'a> {
    pub(super) shares: &'a EqualShares,
    pub(super) settings: &'a Settings,
    pub(super) routers: &'a [Option<RouterRecord>],
    /// Whether anything may be raised.
    pub(super) may_raise: bool,
    /// The router's reserved share.
    pub(super) share: ShareChange,
}

/// A tenant that is allocated by demand, or on its way back to the reserved shares.
#[derive(Clone, Debug, Hash)]
pub(super) struct DemandAllocation {
    /// One for each position of a router.
    pub(super) parts: Vec<RouterPart>,
    /// Demand has changed since the last plan.
    pub(super) demand_changed: bool,
    /// A router has demand that had none before, or the other way round.
    pub(super) demand_moved: bool,
    pub(super) planned_at: Time,
    /// When silence is checked next.
    pub(super) next_silence_check: Time,
    /// Until when all silent routers are taken to have no demand.
    pub(super) silence_ends_demand_until: Time,
    /// Which rotation the tokens are at, where they are fewer than the routers with demand.
    pub(super) rotation: Option<i64>,
    /// Since when no router has demand beyond its reserved share.
    pub(super) idle_since: Option<Time>,
    /// No router has demand beyond its reserved share.
    pub(super) within_reserved: bool,
    /// The reserved shares are being restored.
    pub(super) restoring: bool,
    /// How many of the [`RECLAIM_PARTS`] of their reserved shares routers without demand keep.
    pub(super) retained_parts: u64,
}

impl DemandAllocation {
    pub(super) fn new(positions: usize) -> DemandAllocation {
        DemandAllocation {
            parts: vec![RouterPart::default(); positions],
            demand_changed: true,
            demand_moved: true,
            planned_at: LONG_PAST,
            next_silence_check: LONG_PAST,
            silence_ends_demand_until: LONG_PAST,
            rotation: None,
            idle_since: None,
            within_reserved: false,
            restoring: false,
            retained_parts: RECLAIM_PARTS,
        }
    }

    /// Notes a router's demand.
    pub(super) fn set_demand(&mut self, position: usize, demand: u64) {
        let part = &mut self.parts[position];
        if (part.demand == 0) != (demand == 0) {
            self.demand_moved = true;
            part.planned = false;
        }
        part.demand = demand;
        part.silent_since = None;
        self.demand_changed = true;
    }

    /// Ends a router's demand, if it has any.
    pub(super) fn drop_demand(&mut self, position: usize) {
        if self.parts[position].demand > 0 {
            self.set_demand(position, 0);
        }
    }

    /// Takes over a report of changed demand.
    pub(super) fn report_demand(&mut self, now: Time, position: usize, demand: u64) {
        let part = &mut self.parts[position];
        // With its reserved share alone, a router reports only what is beyond it: 0 need not be silence.
        if demand > 0 || part.held == Holding::Reserved {
            self.set_demand(position, demand);
        } else if part.demand > 0 {
            part.silent_since = Some(now);
        }
    }

    /// The router holds what the last response made of its part.
    pub(super) fn acknowledge(&mut self, position: usize) {
        let part = &mut self.parts[position];
        part.held = part.sent.take().unwrap_or(part.held);
    }

    /// The router is to report anew what it holds and wants; until then it has its reserved share and no demand.
    pub(super) fn reset_router(&mut self, position: usize) {
        self.parts[position].held = Holding::Reserved;
        self.parts[position].sent = None;
        self.drop_demand(position);
    }

    /// The router still holds a grant by demand, by its own full report.
    pub(super) fn restore_grant(&mut self, position: usize, grant: Grant) {
        self.parts[position].held = Holding::ByDemand(grant);
    }

    /// Makes room for a further router.
    pub(super) fn add_position(&mut self) {
        self.parts.push(RouterPart::default());
    }

    /// The position is free for another router.
    pub(super) fn clear_router(&mut self, position: usize) {
        self.parts[position] = RouterPart::default();
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
