//! An exhaustive search of all orders of granting, spending, expiring, electing and restarting, for two routers and one
//! tenant in coarse time, to a bounded end and with a bounded number of failed exchanges.
use decision::Time;
use quotas::{
    Action, Admission, Allocator, Event, GrantResponse, InjectedFault, QuotaClient, QuotaClientSettings,
    Report, Settings,
};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use stateright::{Checker, Model, Property};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// A step of time, microseconds: half of a grant's lifetime.
const STEP: i64 = 200_000;
const LAST_STEP: i64 = 5;
/// Tokens per second: two in a step.
const RATE: i64 = 10;
const BURST: i64 = 2;
const MAX_ELECTIONS: u8 = 2;
const MAX_RESTARTS: u8 = 1;
/// The highest number of failed exchanges in one run; `SEARCH_FAULTS` sets more for a longer search.
const DEFAULT_MAX_FAULTS: u8 = 1;
const BOUND: &str = "no window exceeds the quota";

#[derive(Clone, Debug)]
struct State {
    step: i64,
    /// The router that acts next; 2 once both have acted in this step.
    turn: usize,
    leader: Allocator,
    term: u64,
    elections: u8,
    restarts: u8,
    faults: u8,
    clients: [QuotaClient; 2],
    /// Responses on their way from an earlier step.
    late: [Option<GrantResponse>; 2],
    /// Admissions by step of time.
    admitted: Vec<i64>,
}

impl State {
    fn now(&self) -> Time {
        Time(self.step * STEP)
    }

    /// Spends all tokens of the router whose turn it is.
    fn spend(&mut self) {
        let now = self.now();
        while self.clients[self.turn].admit(now, "a") == Admission::Admitted {
            self.admitted[self.step as usize] += 1;
        }
    }

    fn deliver(&mut self, response: Option<GrantResponse>) {
        let now = self.now();
        if let Some(response) = response {
            self.clients[self.turn].handle_response(now, response);
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
        let late = self.late[self.turn].take();
        self.deliver(late);
    }

    fn exchange(&mut self, outcome: Outcome) {
        // A late response may have waited long enough or too long: after the next report it is an old one.
        let late = self.late[self.turn].take();
        let now = self.now();
        let report = self.clients[self.turn].report(now);
        self.deliver(late);
        let response = self.respond(report);
        match (outcome, response) {
            (Outcome::Delivered, Some(response)) => self.deliver(Some(response)),
            (Outcome::Late, response) => {
                self.faults += 1;
                self.late[self.turn] = response;
            }
            (outcome, _) => {
                self.faults += u8::from(outcome == Outcome::Lost);
                self.clients[self.turn].exchange_failed();
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
        (self.step, self.turn, self.term, self.elections, self.restarts).hash(hasher);
        (self.faults, &self.admitted).hash(hasher);
        self.leader.hash_state(hasher);
        for client in &self.clients {
            client.hash_state(hasher);
        }
        for response in self.late.iter().flatten() {
            postcard::to_stdvec(response).unwrap_or_default().hash(hasher);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Delivered,
    /// The response is lost.
    Lost,
    /// The response comes one step later: the router waits, or has given up and ignores it.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Time goes on by a step.
    Wait,
    /// The router whose turn it is exchanges with the leader.
    Exchange(Outcome),
    /// The router whose turn it is has no contact in this step.
    Disconnect,
    Elect,
    /// The router whose turn it is restarts.
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

/// Whether every window of steps holds at most what the rate produces in it and the burst.
fn keeps_bound(admitted: &[i64]) -> bool {
    let max = |steps: usize| (steps as i64 - 1) * RATE * STEP / 1_000_000 + BURST;
    (1..=admitted.len()).all(|steps| admitted.windows(steps).all(|w| w.iter().sum::<i64>() <= max(steps)))
}

impl Model for Search {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut leader = Allocator::new(settings(self.injected_fault));
        // The first leader's quiet period is over when the search begins.
        let begin = Time(-3 * STEP);
        leader.handle(begin, Event::BecameLeader { term: 1 }, &mut Vec::new());
        leader.handle(begin, Event::Config { version: 1, fleet: fleet() }, &mut Vec::new());
        vec![State {
            step: 0,
            turn: 0,
            leader,
            term: 1,
            elections: 0,
            restarts: 0,
            faults: 0,
            clients: [0, 1].map(|router| client(router, 1, Time(0), self.injected_fault)),
            late: [None, None],
            admitted: vec![0; LAST_STEP as usize + 1],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.turn == state.clients.len() {
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
                state.turn = 0;
            }
            Step::Elect => state.elect(settings(self.injected_fault)),
            Step::Restart => {
                state.restarts += 1;
                state.clients[state.turn] = client(state.turn, 2, state.now(), self.injected_fault);
            }
            Step::Exchange(outcome) => {
                state.spend();
                state.exchange(outcome);
                state.spend();
                state.turn += 1;
            }
            Step::Disconnect => {
                state.spend();
                state.disconnect();
                state.spend();
                state.turn += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(BOUND, |_, state: &State| keeps_bound(&state.admitted))]
    }
}

fn max_faults() -> u8 {
    std::env::var("SEARCH_FAULTS").ok().and_then(|faults| faults.parse().ok()).unwrap_or(DEFAULT_MAX_FAULTS)
}

#[test]
fn no_order_of_steps_breaks_the_bound() {
    let search = Search { max_faults: max_faults(), injected_fault: InjectedFault::None };
    let checker = search.checker().threads(2).spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn skipping_the_quiet_period_breaks_the_bound_in_some_order() {
    let search = Search { max_faults: DEFAULT_MAX_FAULTS, injected_fault: InjectedFault::SkipQuietPeriod };
    let checker = search.checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery(BOUND).is_some());
}
