//! The scenarios: faults around the cold member and their times.
use crate::common::{self, MS};
use crate::world::{MEMBERS, SimEvent};
use decision::{Class, Freshness, Idempotency, LaggingReplica, Micros, Settings};

/// Start of the simulated clock.
pub(crate) const START: Micros = 1_000_000 * MS;
/// When the cold member starts.
pub(crate) const COLD_START: Micros = START + 5_000 * MS;
/// The last request arrives before this time.
pub(crate) const LAST_REQUEST: Micros = COLD_START + 8_000 * MS;
/// The simulation ends at this time.
pub(crate) const END: Micros = LAST_REQUEST + 3_000 * MS;
/// When the outage of members begins that are down or not listed at first.
const OUTAGE_START: Micros = COLD_START - 3_000 * MS;
/// In the scenario with restarting routers, a tenth of them restarts at a time, from this time on.
const FIRST_RESTART: Micros = COLD_START - 1000 * MS;
const RESTART_INTERVAL: Micros = 500 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Scenario {
    /// A new replica joins next to warm members.
    Joins,
    /// All replicas but the cold member hang from the time at which the cold member starts.
    ReplicasHang,
    /// All replicas but the cold member were removed from the member list some seconds earlier.
    ReplicasRemoved,
    /// The cold member is the only listed member.
    ListedAlone,
    /// The primary refused connections for 3 s and returns as the primary.
    PrimaryReturns,
    /// The primary returns as in `PrimaryReturns`, and no replica is listed any more.
    PrimaryListedAlone,
    /// The whole group was down for 3 s and returns cold.
    GroupReturns,
    /// The primary returns while the routers restart, a tenth at a time.
    RoutersRestart,
}

pub(crate) const SCENARIOS: [Scenario; 8] = [
    Scenario::Joins,
    Scenario::ReplicasHang,
    Scenario::ReplicasRemoved,
    Scenario::ListedAlone,
    Scenario::PrimaryReturns,
    Scenario::PrimaryListedAlone,
    Scenario::GroupReturns,
    Scenario::RoutersRestart,
];

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) scenario: Scenario,
    pub(crate) routers: usize,
    /// Requests of average work that a warm member serves per second.
    pub(crate) capacity: f64,
    /// Offered work as a share of the capacity of the whole group when all members are warm.
    pub(crate) load: f64,
    /// The deadline of all classes.
    pub(crate) deadline_ms: i64,
    pub(crate) seed: u64,
}

impl Plan {
    /// The settings of all routers except their zones. Classes 0 and 1 go to the primary, 2 and 3 to
    /// replicas.
    pub(crate) fn settings(&self) -> Settings {
        let deadline = self.deadline_ms;
        let class = |freshness, idempotency, latency_objective_ms: i64, late_weight_share| Class {
            freshness,
            idempotency,
            latency_objective: latency_objective_ms * MS,
            deadline: deadline * MS,
            priority_weight: 1.0,
            late_weight_share,
        };
        let read =
            |freshness, objective_ms, late| class(freshness, Idempotency::Idempotent, objective_ms, late);
        Settings {
            classes: vec![
                class(Freshness::Write, Idempotency::NotIdempotent, 3 * deadline / 8, 0.5),
                read(Freshness::Latest, deadline / 4, 0.0),
                read(Freshness::Any, deadline / 4, 0.2),
                read(Freshness::Bounded(3000 * MS), 3 * deadline / 10, 0.0),
            ],
            router_count: self.routers as u32,
            lagging_replica: LaggingReplica::WaitsThenRejects(20 * MS),
            slow_start_initial_share: 0.15,
            slow_start_duration: 18_000 * MS,
            overload_factor: 2.5,
            overload_duration: 1000 * MS,
            max_retry_after: Some(500 * MS),
            // Longer than in production, to make the test faster.
            min_event_interval: 25 * MS,
            ..common::settings(Idempotency::NotIdempotent)
        }
    }

    /// The member that starts cold. Member 0 is the primary.
    pub(crate) fn cold_member(&self) -> usize {
        match self.scenario {
            Scenario::PrimaryReturns | Scenario::PrimaryListedAlone | Scenario::RoutersRestart => 0,
            _ => MEMBERS - 1,
        }
    }

    /// The scripted events with their times. Events with equal times happen in this order.
    pub(crate) fn script(&self) -> Vec<(Micros, SimEvent)> {
        let all: Vec<usize> = (0..MEMBERS).collect();
        let cold = self.cold_member();
        let group_returns = self.scenario == Scenario::GroupReturns;
        let listed_at_begin =
            if cold == 0 || group_returns { all.clone() } else { all[..MEMBERS - 1].to_vec() };
        let mut script = vec![(START, SimEvent::ListChanges(listed_at_begin))];
        script.extend(self.faults());
        let starting = if group_returns { all.clone() } else { vec![cold] };
        script.extend(starting.into_iter().map(|m| (COLD_START, SimEvent::MemberStarts(m))));
        let listed_at_start = match self.scenario {
            Scenario::ReplicasRemoved => vec![0, cold],
            Scenario::ListedAlone | Scenario::PrimaryListedAlone => vec![cold],
            _ => all,
        };
        script.push((COLD_START, SimEvent::ListChanges(listed_at_start)));
        if self.scenario == Scenario::RoutersRestart {
            let restart = |router| {
                let tenth = (router * 10 / self.routers) as i64;
                (FIRST_RESTART + tenth * RESTART_INTERVAL, SimEvent::RouterRestarts(router))
            };
            script.extend((0..self.routers).map(restart));
        }
        script
    }

    fn faults(&self) -> Vec<(Micros, SimEvent)> {
        let stop = |member| (OUTAGE_START, SimEvent::MemberStops(member));
        let list = |members| (OUTAGE_START, SimEvent::ListChanges(members));
        match self.scenario {
            Scenario::Joins => vec![],
            Scenario::ReplicasHang => {
                (1..MEMBERS - 1).map(|m| (COLD_START, SimEvent::MemberHangs(m))).collect()
            }
            Scenario::ReplicasRemoved => vec![list(vec![0])],
            Scenario::ListedAlone => (0..MEMBERS - 1).map(stop).chain([list(vec![])]).collect(),
            Scenario::PrimaryReturns | Scenario::RoutersRestart => vec![stop(0)],
            Scenario::PrimaryListedAlone => vec![stop(0), list(vec![0])],
            Scenario::GroupReturns => (0..MEMBERS).map(stop).collect(),
        }
    }
}
