//! Model-checks two routers and one tenant: explores every order of grants, admissions, expiry, elections and
//! restarts in coarse time steps, up to a last step and with a limited number of failed exchanges.
use decision::Time;
use quotas::{
    Action, Admission, Allocator, Event, GrantResponse, InjectedFault, QuotaClient, QuotaClientSettings,
    Report, Settings,
};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use stateright::{Checker, Model, Property};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// The length of a time step, microseconds: half of a grant's lifetime.
const STEP: i64 = 200_000;
const LAST_STEP: i64 = 5;
/// Tokens per second: two in each time step.
const RATE: i64 = 10;
const BURST: i64 = 2;
const MAX_ELECTIONS: u8 = 2;
const MAX_RESTARTS: u8 = 1;
/// The largest number of failed exchanges in one run; `SEARCH_FAULTS` sets another one for a longer search.
const DEFAULT_MAX_FAULTS: u8 = 1;
const BOUND: &str = "no window exceeds the quota";

#[derive(Clone, Debug)]
struct State {
    step: i64,
    /// The router that acts next; 2 after both have acted in this time step.
    acting: usize,
    leader: Allocator,
    term: u64,
    elections: u8,
    restarts: u8,
    faults: u8,
    clients: [QuotaClient; 2],
    /// Responses that were sent in an earlier time step and are still in transit.
    in_transit: [Option<GrantResponse>; 2],
    /// The number of admissions in each time step.
    admitted: Vec<i64>,
}

impl State {
    fn now(&self) -> Time {
        Time(self.step * STEP)
    }

    /// Sends requests to the acting router until one is shed.
    fn use_all_tokens(&mut self) {
        let now = self.now();
        while self.clients[self.acting].admit(now, "a") == Admission::Admitted {
            self.admitted[self.step as usize] += 1;
        }
    }

    fn deliver(&mut self, response: Option<GrantResponse>) {
        let now = self.now();
        if let Some(response) = response {
            self.clients[self.acting].handle_response(now, response);
        }
    }

    fn respond(&mut self, report: Report) -> Option<GrantResponse> {
        let mut actions = Vec::new();
        self.leader.handle(self.now(), Event::Report { connection: 0, report }, &mut actions);
        actions.pop().map(|Action::Respond { response, .. }| response)
    }

    fn elect(&mut self, settings: Settings) {
        self.term += 1;
        self.elections += 1;
        self.leader = Allocator::new(settings);
        let (now, term) = (self.now(), self.term);
        self.leader.handle(now, Event::Config { version: 1, fleet: fleet() }, &mut Vec::new());
        self.leader.handle(now, Event::BecameLeader { term }, &mut Vec::new());
    }

    fn disconnect(&mut self) {
        self.faults += 1;
        let in_transit = self.in_transit[self.acting].take();
        self.deliver(in_transit);
    }

    fn exchange(&mut self, outcome: Outcome) {
        // A late response is delivered after the next report was created, so it belongs to an earlier
        // exchange.
        let in_transit = self.in_transit[self.acting].take();
        let now = self.now();
        let report = self.clients[self.acting].report(now);
        self.deliver(in_transit);
        let response = self.respond(report);
        match (outcome, response) {
            (Outcome::Delivered, Some(response)) => self.deliver(Some(response)),
            (Outcome::Late, response) => {
                self.faults += 1;
                self.in_transit[self.acting] = response;
            }
            (outcome, _) => {
                self.faults += u8::from(outcome == Outcome::Lost);
                self.clients[self.acting].exchange_failed();
            }
        }
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key() == other.key()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.step, self.acting, self.term, self.elections, self.restarts).hash(hasher);
        (self.faults, &self.admitted).hash(hasher);
        self.leader.hash_state(hasher);
        for client in &self.clients {
            client.hash_state(hasher);
        }
        for response in self.in_transit.iter().flatten() {
            postcard::to_stdvec(response).unwrap_or_default().hash(hasher);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Delivered,
    /// The response is lost.
    Lost,
    /// The response arrives in the next time step; by then the exchange may have been abandoned.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Time advances by one step.
    Wait,
    /// The acting router exchanges messages with the leader.
    Exchange(Outcome),
    /// The acting router cannot reach the leader in this time step.
    Disconnect,
    Elect,
    /// The acting router restarts.
    Restart,
}

struct Search {
    max_faults: u8,
    injected_fault: InjectedFault,
}

fn settings(injected_fault: InjectedFault) -> Settings {
    let ttl = 2 * STEP;
    Settings {
        ttl,
        max_clock_drift: 0.0,
        settle_time: ttl + 1,
        idle_timeout: STEP,
        min_plan_interval: 1_000,
        rotation_interval: 10 * STEP,
        injected_fault,
        ..Settings::default()
    }
}

fn fleet() -> Arc<Fleet> {
    let quota = Some(Quota { rate: RATE as f64, burst: BURST as u32, on_loss: OnLoss::Closed });
    let tenants = [("a".to_string(), Tenant { quota, ..Tenant::default() })].into();
    Arc::new(Fleet { max_routers: 2, default_tenant: "a".into(), tenants, ..Fleet::default() })
}

fn client(router: usize, incarnation: u64, now: Time, injected_fault: InjectedFault) -> QuotaClient {
    let mut client = QuotaClient::new(QuotaClientSettings {
        router: format!("r{router}"),
        incarnation,
        slot: None,
        settings: settings(injected_fault),
        seed: 0,
    });
    client.apply_config(now, 1, &fleet());
    client
}

/// Whether the admissions in every window of steps are at most what the rate produces in it plus the burst.
fn is_within_bound(admitted: &[i64]) -> bool {
    let max = |steps: usize| (steps as i64 - 1) * RATE * STEP / 1_000_000 + BURST;
    (1..=admitted.len()).all(|steps| admitted.windows(steps).all(|w| w.iter().sum::<i64>() <= max(steps)))
}

impl Model for Search {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut leader = Allocator::new(settings(self.injected_fault));
        // The first leader's quiet period has ended when the search begins.
        let begin = Time(-3 * STEP);
        leader.handle(begin, Event::BecameLeader { term: 1 }, &mut Vec::new());
        leader.handle(begin, Event::Config { version: 1, fleet: fleet() }, &mut Vec::new());
        vec![State {
            step: 0,
            acting: 0,
            leader,
            term: 1,
            elections: 0,
            restarts: 0,
            faults: 0,
            clients: [0, 1].map(|router| client(router, 1, Time(0), self.injected_fault)),
            in_transit: [None, None],
            admitted: vec![0; LAST_STEP as usize + 1],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.acting == state.clients.len() {
            if state.step < LAST_STEP {
                actions.push(Step::Wait);
            }
            return;
        }
        actions.push(Step::Exchange(Outcome::Delivered));
        if state.faults < self.max_faults {
            let failed = [Step::Exchange(Outcome::Lost), Step::Exchange(Outcome::Late), Step::Disconnect];
            actions.extend(failed);
        }
        if state.elections < MAX_ELECTIONS {
            actions.push(Step::Elect);
        }
        if state.restarts < MAX_RESTARTS {
            actions.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Wait => {
                state.step += 1;
                state.acting = 0;
            }
            Step::Elect => state.elect(settings(self.injected_fault)),
            Step::Restart => {
                state.restarts += 1;
                state.clients[state.acting] = client(state.acting, 2, state.now(), self.injected_fault);
            }
            Step::Exchange(outcome) => {
                state.use_all_tokens();
                state.exchange(outcome);
                state.use_all_tokens();
                state.acting += 1;
            }
            Step::Disconnect => {
                state.use_all_tokens();
                state.disconnect();
                state.use_all_tokens();
                state.acting += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(BOUND, |_, state: &State| is_within_bound(&state.admitted))]
    }
}

fn max_faults() -> u8 {
    std::env::var("SEARCH_FAULTS").ok().and_then(|faults| faults.parse().ok()).unwrap_or(DEFAULT_MAX_FAULTS)
}

#[test]
fn every_order_of_steps_stays_within_bound() {
    let search = Search { max_faults: max_faults(), injected_fault: InjectedFault::None };
    let checker = search.checker().threads(2).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn skipping_quiet_period_violates_bound_in_some_order() {
    let search = Search { max_faults: DEFAULT_MAX_FAULTS, injected_fault: InjectedFault::SkipQuietPeriod };
    let checker = search.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery(BOUND).is_some());
}
