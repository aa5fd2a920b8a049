//! Faults and changes that can be scheduled in a simulation.
use super::event::Event;
use super::{ConfigVersion, NODES, Node, Simulation};
use decision::Micros;
use quotas::Allocator;
use rand::RngExt;
use settings::fleet::Fleet;
use std::sync::Arc;

/// The behaviour of the network. Fractions are probabilities; delays are in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) lost: f64,
    pub(crate) duplicated: f64,
    /// The longest delay of most messages.
    pub(crate) max_delay: Micros,
    /// The probability that a message is slow: its delay is up to `max_slow_delay`.
    pub(crate) slow: f64,
    pub(crate) max_slow_delay: Micros,
}

pub(crate) const RELIABLE_NETWORK: Network =
    Network { lost: 0.0, duplicated: 0.0, max_delay: 2_000, slow: 0.0, max_slow_delay: 2_000 };

/// A fault or a change. Indices above the last router, node or tenant wrap around.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// No message to or from the router is delivered.
    Disconnect {
        router: usize,
        duration: Micros,
    },
    /// The router's process is paused; its events wait until it resumes.
    Pause {
        router: usize,
        duration: Micros,
    },
    /// The router's process is killed and restarted after `downtime`.
    Kill {
        router: usize,
        downtime: Micros,
    },
    /// The router releases what it holds, stops and is restarted after `downtime`.
    Shutdown {
        router: usize,
        downtime: Micros,
    },
    /// A node becomes the leader, even if the node already was the leader.
    Elect {
        node: usize,
    },
    /// All nodes restart and lose their records.
    RestartNodes {
        leader: usize,
    },
    /// Changes a tenant's quota, and the number of routers in the configuration unless it is 0.
    SetQuota {
        tenant: usize,
        rate: f64,
        burst: u32,
        routers: u32,
    },
    /// Sets a tenant's requests per second at one router.
    SetDemand {
        router: usize,
        tenant: usize,
        rate: f64,
    },
    SetNetwork(Network),
}

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
        let routers = self.routers.len();
        match fault {
            Fault::Disconnect { router, duration } => {
                self.routers[router % routers].disconnected_until = self.now + duration;
            }
            Fault::Pause { router, duration } => {
                self.routers[router % routers].paused_until = self.now + duration;
            }
            Fault::Kill { router, downtime } => self.stop_router(router % routers, downtime),
            Fault::Shutdown { router, downtime } => {
                self.release_all(router % routers);
                self.stop_router(router % routers, downtime);
            }
            Fault::Elect { node } => self.elect(node % NODES),
            Fault::RestartNodes { leader } => {
                for Node { allocator, .. } in &mut self.nodes {
                    *allocator = Allocator::new(self.settings.clone());
                }
                self.elect(leader % NODES);
            }
            Fault::SetQuota { tenant, rate, burst, routers } => self.set_quota(tenant, rate, burst, routers),
            Fault::SetDemand { router, tenant, rate } => self.set_demand(router % routers, tenant, rate),
            Fault::SetNetwork(network) => self.network = network,
        }
    }

    fn release_all(&mut self, router: usize) {
        let state = &mut self.routers[router];
        if state.alive && state.paused_until <= self.now {
            let report = state.client.release_all(state.clock.at(self.now));
            self.send_report(router, report);
        }
    }

    fn stop_router(&mut self, router: usize, downtime: Micros) {
        self.routers[router].alive = false;
        self.routers[router].paused_until = 0;
        self.events.push(self.now + downtime, Event::RouterStarts { router });
    }

    fn set_quota(&mut self, tenant: usize, rate: f64, burst: u32, routers: u32) {
        let (_, fleet) = self.latest_config();
        let mut fleet = Fleet::clone(&fleet);
        let name = &self.tenants[tenant % self.tenants.len()];
        if let Some(quota) = fleet.tenants.get_mut(name).and_then(|tenant| tenant.quota.as_mut()) {
            (quota.rate, quota.burst) = (rate, burst);
        }
        if routers > 0 {
            fleet.max_routers = routers;
        }
        self.versions.push(ConfigVersion { committed_at: self.now, fleet: Arc::new(fleet) });
        self.commit_config(self.leader);
    }

    fn set_demand(&mut self, router: usize, tenant: usize, rate: f64) {
        let tenant = tenant % self.tenants.len();
        let demand = &mut self.routers[router].demand[tenant];
        demand.rate = rate;
        demand.timer += 1;
        let timer = demand.timer;
        if rate > 0.0 {
            let max_wait = (1e6 / rate) as i64;
            let at = self.now + self.random.random_range(0..=max_wait);
            self.events.push(at, Event::RequestArrives { router, tenant, timer });
        }
    }
}
