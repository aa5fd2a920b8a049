//! An allocator whose quiet period is over, and clients that exchange messages with it without delay, all on
//! one clock.
#![allow(dead_code, reason = "each test that includes this module uses a part of it")]
use decision::{Micros, Time};
use quotas::{
    Action, Admission, Allocator, Event, GrantResponse, QuotaClient, QuotaClientSettings, Report,
    ResponseBody, Settings,
};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::sync::Arc;

pub(crate) const SECOND: Micros = 1_000_000;
/// The default lifetime of a grant.
pub(crate) const TTL: Micros = 2 * SECOND;
pub(crate) const EXCHANGE_INTERVAL: Micros = SECOND / 5;
const CONNECTION: u64 = 7;

pub(crate) fn client(router: &str, incarnation: u64, slot: Option<u32>) -> QuotaClient {
    let settings = Settings::default();
    QuotaClient::new(QuotaClientSettings {
        router: router.into(),
        incarnation,
        slot,
        settings,
        seed: incarnation,
    })
}

/// A configuration with a single tenant `a`.
pub(crate) fn fleet(routers: u32, rate: f64, burst: u32, on_loss: OnLoss) -> Fleet {
    fleet_of(routers, &["a"], &Quota { rate, burst, on_loss })
}

/// A configuration with these tenants, which all have the same quota. The first one is the default tenant.
pub(crate) fn fleet_of(routers: u32, tenants: &[&str], quota: &Quota) -> Fleet {
    let tenant = Tenant { quota: Some(quota.clone()), ..Tenant::default() };
    let all = tenants.iter().map(|name| ((*name).to_string(), tenant.clone())).collect();
    Fleet { max_routers: routers, default_tenant: tenants[0].into(), tenants: all, ..Fleet::default() }
}

/// The retry-after time of a request, which must be shed.
pub(crate) fn retry_after(client: &mut QuotaClient, now: Micros, tenant: &str) -> Micros {
    match client.admit(Time(now), tenant) {
        Admission::Shed { retry_after } => retry_after,
        Admission::Admitted => panic!("request of tenant {tenant} was admitted; it must be shed"),
    }
}

pub(crate) struct SmallFleet {
    pub(crate) now: Micros,
    pub(crate) version: u64,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) allocator: Allocator,
    pub(crate) clients: Vec<QuotaClient>,
}

impl SmallFleet {
    pub(crate) fn new(fleet: Fleet, clients: usize) -> SmallFleet {
        let slot = |i: usize| Some(i as u32 + 1);
        let mut small_fleet = SmallFleet {
            now: 0,
            version: 0,
            fleet: Arc::default(),
            allocator: Allocator::new(Settings::default()),
            clients: (0..clients).map(|i| client(&format!("r{i}"), 1, slot(i))).collect(),
        };
        small_fleet.become_leader(1);
        small_fleet.commit(fleet);
        small_fleet.now = 3 * SECOND;
        small_fleet
    }

    pub(crate) fn become_leader(&mut self, term: u64) {
        self.allocator.handle(Time(self.now), Event::BecameLeader { term }, &mut Vec::new());
    }

    /// Makes a new node the leader; it has the configuration, but no record of grants.
    pub(crate) fn replace_leader(&mut self, term: u64) {
        self.allocator = Allocator::new(Settings::default());
        self.send_config_to_allocator();
        self.become_leader(term);
    }

    /// Commits a configuration and applies it at all clients immediately.
    pub(crate) fn commit(&mut self, fleet: Fleet) {
        self.version += 1;
        self.fleet = Arc::new(fleet);
        self.send_config_to_allocator();
        for i in 0..self.clients.len() {
            self.apply_config(i);
        }
    }

    fn send_config_to_allocator(&mut self) {
        let event = Event::Config { version: self.version, fleet: self.fleet.clone() };
        self.allocator.handle(Time(self.now), event, &mut Vec::new());
    }

    /// Applies the present configuration at one client.
    pub(crate) fn apply_config(&mut self, i: usize) {
        self.clients[i].apply_config(Time(self.now), self.version, &self.fleet);
    }

    pub(crate) fn report(&mut self, i: usize) -> Report {
        self.clients[i].report(Time(self.now))
    }

    /// The allocator's response to a report.
    pub(crate) fn respond(&mut self, report: Report) -> Option<GrantResponse> {
        let mut actions = Vec::new();
        let event = Event::Report { connection: CONNECTION, report };
        self.allocator.handle(Time(self.now), event, &mut actions);
        actions.pop().map(|Action::Respond { connection, response }| {
            assert_eq!(connection, CONNECTION);
            response
        })
    }

    pub(crate) fn deliver(&mut self, i: usize, response: GrantResponse) {
        self.clients[i].handle_response(Time(self.now), response);
    }

    pub(crate) fn exchange(&mut self, i: usize) -> Option<ResponseBody> {
        let report = self.report(i);
        let response = self.respond(report);
        match response.clone() {
            Some(response) => self.deliver(i, response),
            None => self.clients[i].exchange_failed(),
        }
        response.map(|response| response.body)
    }

    /// Runs an exchange of every client every 200 ms for a duration.
    pub(crate) fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += EXCHANGE_INTERVAL;
            for i in 0..self.clients.len() {
                self.exchange(i);
            }
        }
    }

    pub(crate) fn admits(&mut self, i: usize, tenant: &str) -> bool {
        self.clients[i].admit(Time(self.now), tenant) == Admission::Admitted
    }

    /// The rate and the capacity that a client holds for a tenant.
    pub(crate) fn granted(&self, i: usize, tenant: &str) -> (f64, f64) {
        let metrics = self.clients[i].metrics();
        let tenant = metrics.tenants.iter().find(|metrics| metrics.name == tenant).unwrap();
        (tenant.rate.unwrap(), tenant.capacity.unwrap())
    }
}
