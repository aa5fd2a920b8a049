//! A router's process in the simulation.
use super::event::Event;
use decision::{Micros, Time};
use quotas::{QuotaClient, QuotaClientSettings, Settings};
use rand::RngExt;
use rand::rngs::SmallRng;

/// A process's clock, which differs from true time by an offset and a drift.
pub(super) struct Clock {
    offset: Micros,
    /// Microseconds that the clock advances per second of true time.
    micros_per_second: i64,
}

impl Clock {
    pub(super) fn random(random: &mut SmallRng, drift_ppm: i64) -> Clock {
        let offset = random.random_range(0..1 << 40);
        Clock { offset, micros_per_second: 1_000_000 + random.random_range(-drift_ppm..=drift_ppm) }
    }

    pub(super) fn at(&self, now: Micros) -> Time {
        Time(self.offset + (i128::from(now) * i128::from(self.micros_per_second) / 1_000_000) as i64)
    }
}

/// The requests of one tenant at a router.
#[derive(Clone, Copy, Default)]
pub(super) struct Demand {
    /// The rate of requests, per second.
    pub(super) rate: f64,
    /// The number of the timer in force; request events of earlier timers are cancelled.
    pub(super) timer: u64,
}

pub(super) struct SimulatedRouter {
    number: usize,
    pub(super) client: QuotaClient,
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    pub(super) paused_until: Micros,
    pub(super) disconnected_until: Micros,
    /// The sequence number of the exchange that is waiting for its response.
    pub(super) open_exchange: Option<u64>,
    /// The number of the timer in force; exchange events of earlier timers are cancelled.
    pub(super) exchange_timer: u64,
    pub(super) last_early_report: Micros,
    pub(super) demand: Vec<Demand>,
    /// The configuration version that is being fetched; 0 for none.
    pub(super) fetched_version: u64,
}

impl SimulatedRouter {
    pub(super) fn new(
        number: usize,
        clock: Clock,
        tenants: usize,
        has_slot: bool,
        settings: &Settings,
    ) -> SimulatedRouter {
        SimulatedRouter {
            number,
            client: client(number, 1, has_slot, settings),
            clock,
            incarnation: 1,
            alive: false,
            paused_until: 0,
            disconnected_until: 0,
            open_exchange: None,
            exchange_timer: 0,
            last_early_report: 0,
            demand: vec![Demand::default(); tenants],
            fetched_version: 0,
        }
    }

    /// Starts the next incarnation.
    pub(super) fn restart(&mut self, has_slot: bool, settings: &Settings) {
        self.incarnation += 1;
        self.client = client(self.number, self.incarnation, has_slot, settings);
        self.alive = true;
        self.open_exchange = None;
        self.fetched_version = 0;
        self.exchange_timer += 1;
    }

    /// Abandons an exchange if it is still open.
    pub(super) fn time_out(&mut self, incarnation: u64, seq: u64) {
        if self.alive && self.incarnation == incarnation && self.open_exchange == Some(seq) {
            self.open_exchange = None;
            self.client.exchange_failed();
        }
    }

    /// Whether the event belongs to a cancelled timer.
    pub(super) fn has_cancelled(&self, event: &Event) -> bool {
        match *event {
            Event::ExchangeDue { timer, .. } => timer != self.exchange_timer || !self.alive,
            Event::RequestArrives { tenant, timer, .. } => timer != self.demand[tenant].timer,
            _ => false,
        }
    }
}

fn client(number: usize, incarnation: u64, has_slot: bool, settings: &Settings) -> QuotaClient {
    QuotaClient::new(QuotaClientSettings {
        router: format!("r{number}"),
        incarnation,
        slot: has_slot.then_some(number as u32 + 1),
        settings: settings.clone(),
        seed: number as u64 * 1_000 + incarnation,
    })
}
