//! The leader's state machine: it grants routers their shares of all quotas.
//!
//! `report` handles an exchange, and `router` records what each router may hold across all tenants. A tenant
//! with demand beyond the reserved shares has a [`DemandAllocation`](allocation::DemandAllocation): `silence`
//! detects the end of sparse demand, `plan` computes the target of each router, and `change` moves a router
//! towards its target in the next response.
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
use crate::time::{DISTANT_PAST, after};
use allocation::DemandAllocation;
use decision::Time;
use router::RouterRecord;
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// An input of the allocator. Events must be handled in the order of their times.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The allocator's node has become the leader. All records of grants are discarded, and nothing new is
    /// granted for one grant lifetime.
    BecameLeader {
        /// The term in which this node leads.
        term: u64,
    },
    /// A committed configuration, at least as new as any that a router has received in an earlier term.
    Config {
        /// The version of the configuration.
        version: Version,
        /// The fleet's configuration, which contains the quotas.
        fleet: Arc<Fleet>,
    },
    /// A router's report. The event's time must be read after the report was received and before a majority
    /// confirmed that this node still leads in its term. Otherwise an old leader could grant again what a
    /// later one has already granted.
    Report {
        /// Identifies the connection to send the response on; it is returned in [`Action::Respond`].
        connection: u64,
        /// The report received from the router.
        report: Report,
    },
    /// A router is presumed to have failed. Its demand is dropped; its grants remain in force until they
    /// expire.
    RouterLeft {
        /// The name of the router.
        router: String,
    },
    /// Time has passed. Every event expires grants; this one does so when there is no other event.
    Tick,
}

/// An output that the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a response; it may be lost.
    Respond {
        /// The connection on which the report was received.
        connection: u64,
        /// The response to send to the router.
        response: GrantResponse,
    },
}

/// The size of the allocator's state, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocatorMetrics {
    /// Incarnations of routers that may hold shares or grants.
    pub routers: usize,
    /// The number of tenants whose quota is allocated by demand.
    pub tenants_by_demand: usize,
}

/// A tenant of the configuration. `shares` is `None` if the tenant has no quota.
#[derive(Clone, Debug)]
struct TenantQuota {
    name: String,
    shares: Option<EqualShares>,
}

/// Grants shares of the quotas to routers. See the [crate] for what is guaranteed.
#[derive(Clone, Debug)]
pub struct Allocator {
    settings: Settings,
    /// The latest term in which this node became the leader; 0 if it never has.
    term: u64,
    /// Until this time grants of an earlier leader may be valid.
    quiet_until: Time,
    version: Version,
    /// Until this time routers may use fixed shares of the previous version.
    old_fixed_shares_until: Time,
    /// The number of equal shares into which each quota is divided.
    max_routers: u32,
    tenant_index: HashMap<String, u32>,
    tenants: Vec<TenantQuota>,
    /// Incarnations of routers that may hold shares or grants. The index of a removed record is reused.
    routers: Vec<Option<RouterRecord>>,
    /// The index of the record of each router's latest incarnation, by name.
    router_index: HashMap<String, usize>,
    /// Allocations by demand, by the index of the tenant.
    allocations: BTreeMap<u32, DemandAllocation>,
}

impl Allocator {
    /// Creates an allocator, which does not respond to reports before it becomes the leader.
    pub fn new(settings: Settings) -> Allocator {
        Allocator {
            settings,
            term: 0,
            quiet_until: DISTANT_PAST,
            version: 0,
            old_fixed_shares_until: DISTANT_PAST,
            max_routers: 0,
            tenant_index: HashMap::new(),
            tenants: Vec::new(),
            routers: Vec::new(),
            router_index: HashMap::new(),
            allocations: BTreeMap::new(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
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
                if let Some(&record_index) = self.router_index.get(&router) {
                    self.drop_demand(record_index);
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

    /// Hashes the state that determines future grants; model checkers use it to recognise states.
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

    /// Removes the records of routers whose grants have expired.
    fn expire(&mut self, now: Time) {
        for record_index in 0..self.routers.len() {
            if self.routers[record_index].as_ref().is_some_and(|router| router.expires <= now) {
                self.remove_router(record_index);
            }
        }
    }

    fn remove_router(&mut self, record_index: usize) {
        let Some(router) = self.routers[record_index].take() else { return };
        if !router.superseded {
            self.router_index.remove(&router.name);
        }
        self.drop_demand(record_index);
        for allocation in self.allocations.values_mut() {
            allocation.clear_router(record_index);
        }
    }

    /// Sets a router's demand to zero for all tenants.
    fn drop_demand(&mut self, record_index: usize) {
        for allocation in self.allocations.values_mut() {
            allocation.drop_demand(record_index);
        }
    }
}
