//! The leader's side: it grants routers their shares of all quotas.
//!
//! `report` handles an exchange; `router` keeps what each router may hold of all tenants. A tenant with demand beyond the
//! reserved shares has a [`DemandAllocation`](allocation::DemandAllocation): `silence` ends sparse demand, `plan` decides
//! what each router should have, and `change` what the next response may change towards it.
mod allocation;
mod candidate;
mod change;
mod configuration;
mod fair_share;
mod plan;
mod report;
mod router;
mod silence;

use crate::equal_shares::EqualShares;
use crate::messages::{GrantResponse, Report};
use crate::settings::{InjectedFault, Settings};
use crate::time::{LONG_PAST, after};
use allocation::DemandAllocation;
use decision::Time;
use router::RouterRecord;
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// What happens to the allocator. Of two events with different times the earlier one must be handled first.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node has become the leader. All grants are forgotten, and for one grant lifetime nothing new is granted.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// A committed configuration, at least as new as any that a router has learned in an earlier term.
    Config {
        /// Its version.
        version: Version,
        /// The configuration.
        fleet: Arc<Fleet>,
    },
    /// A router's report. The event's time must have been read after the report arrived, and before a majority confirmed
    /// that this node still led in its term: otherwise an old leader would grant again what a later one has granted.
    Report {
        /// Where to send the response; it comes back in [`Action::Respond`].
        connection: u64,
        /// The report.
        report: Report,
    },
    /// A router is presumed dead. Its demand is dropped; what it was granted stays granted until it expires.
    RouterLeft {
        /// The router's name.
        router: String,
    },
    /// Time has passed. Every event expires grants; this is for when no other comes.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a response; it may be lost.
    Respond {
        /// The connection of the report.
        connection: u64,
        /// The response.
        response: GrantResponse,
    },
}

/// The size of the allocator's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocatorMetrics {
    /// Routers that may hold something.
    pub routers: usize,
    /// Tenants that are allocated by demand.
    pub tenants_by_demand: usize,
}

/// A tenant of the configuration; without a quota it has no shares.
#[derive(Clone, Debug)]
struct TenantQuota {
    name: String,
    shares: Option<EqualShares>,
}

/// Grants the quotas. See the [crate] for what is guaranteed.
#[derive(Clone, Debug)]
pub struct Allocator {
    settings: Settings,
    /// The term in which this node leads; 0 before its first.
    term: u64,
    /// Until when grants of an earlier leader may be valid.
    quiet_until: Time,
    version: Version,
    /// Until when the fixed shares of the version before may be in use.
    old_fixed_shares_until: Time,
    /// How many routers the fleet has at most.
    max_routers: u32,
    tenant_index: HashMap<String, u32>,
    tenants: Vec<TenantQuota>,
    /// Routers that may hold something. A position is reused once it is empty.
    routers: Vec<Option<RouterRecord>>,
    /// Positions of the latest incarnation of each router.
    router_index: HashMap<String, usize>,
    /// Allocations by demand, by the tenant's index.
    allocations: BTreeMap<u32, DemandAllocation>,
}

impl Allocator {
    /// An allocator that does not respond before it leads.
    pub fn new(settings: Settings) -> Allocator {
        Allocator {
            settings,
            term: 0,
            quiet_until: LONG_PAST,
            version: 0,
            old_fixed_shares_until: LONG_PAST,
            max_routers: 0,
            tenant_index: HashMap::new(),
            tenants: Vec::new(),
            routers: Vec::new(),
            router_index: HashMap::new(),
            allocations: BTreeMap::new(),
        }
    }

    /// Handles one event and appends what must be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.expire(now);
        match event {
            Event::BecameLeader { term } if term > self.term => self.become_leader(now, term),
            Event::Config { version, fleet } if version > self.version => {
                self.apply_config(now, version, &fleet);
            }
            Event::Report { connection, report } => {
                let response = self.handle_report(now, report);
                actions.extend(response.map(|response| Action::Respond { connection, response }));
            }
            Event::RouterLeft { router } => {
                if let Some(&position) = self.router_index.get(&router) {
                    self.drop_demand(position);
                }
            }
            Event::BecameLeader { .. } | Event::Config { .. } | Event::Tick => {}
        }
    }

    /// The present size of the state.
    pub fn metrics(&self) -> AllocatorMetrics {
        AllocatorMetrics {
            routers: self.routers.iter().flatten().count(),
            tenants_by_demand: self.allocations.len(),
        }
    }

    /// Hashes what decides what the allocator will grant, for searches through its states.
    #[doc(hidden)]
    pub fn hash_state<H: Hasher>(&self, hasher: &mut H) {
        (self.term, self.quiet_until, self.version, self.old_fixed_shares_until).hash(hasher);
        (&self.routers, &self.allocations).hash(hasher);
    }

    fn become_leader(&mut self, now: Time, term: u64) {
        self.term = term;
        self.routers.clear();
        self.router_index.clear();
        self.allocations.clear();
        self.quiet_until = match self.settings.injected_fault {
            InjectedFault::SkipQuietPeriod => now,
            _ => after(now, self.settings.lifetime_at_allocator()),
        };
    }

    /// Forgets the routers whose grants have expired.
    fn expire(&mut self, now: Time) {
        for position in 0..self.routers.len() {
            if self.routers[position].as_ref().is_some_and(|router| router.expires <= now) {
                self.forget(position);
            }
        }
    }

    fn forget(&mut self, position: usize) {
        let Some(router) = self.routers[position].take() else { return };
        if !router.superseded {
            self.router_index.remove(&router.name);
        }
        self.drop_demand(position);
        for allocation in self.allocations.values_mut() {
            allocation.clear_router(position);
        }
    }

    /// Ends a router's demand for all tenants.
    fn drop_demand(&mut self, position: usize) {
        for allocation in self.allocations.values_mut() {
            allocation.drop_demand(position);
        }
    }
}
