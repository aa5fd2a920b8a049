//! What is wrong around the cold member, and when.
use crate::common::{self, MS};
use crate::world::{MEMBERS, SimEvent};
use decision::{Class, Freshness, Idempotency, LaggingReplica, Micros, Settings};

/// The clock begins here.
pub(crate) const BEGIN: Micros = 1_000_000 * MS;
/// The cold member starts then.
pub(crate) const COLD_START: Micros = BEGIN + 5_000 * MS;
/// The last request arrives before this time.
pub(crate) const LAST_REQUEST: Micros = COLD_START + 8_000 * MS;
/// Events stop then.
pub(crate) const END: Micros = LAST_REQUEST + 3_000 * MS;
/// What was away has been so since then.
const AWAY: Micros = COLD_START - 3_000 * MS;
/// Routers that restart do so a tenth at a time, from this time on.
const FIRST_RESTART: Micros = COLD_START - 1000 * MS;
const RESTART_INTERVAL: Micros = 500 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Scene {
    /// A new replica beside warm peers.
    Joins,
    /// Its peers answer nothing from its start on.
    PeersHang,
    /// Its peers have left the list some seconds before.
    PeersRemoved,
    /// The only member that is listed.
    ListedAlone,
    /// It was the primary, refused connections for 3 s, and comes back as the primary.
    PrimaryReturns,
    /// The same, and no replica is listed any more.
    PrimaryListedAlone,
    /// The whole group was away for 3 s and comes back cold.
    GroupReturns,
    /// It comes back as the primary while the routers are restarted, a tenth at a time.
    RoutersRestart,
}

pub(crate) const SCENES: [Scene; 8] = [
    Scene::Joins,
    Scene::PeersHang,
    Scene::PeersRemoved,
    Scene::ListedAlone,
    Scene::PrimaryReturns,
    Scene::PrimaryListedAlone,
    Scene::GroupReturns,
    Scene::RoutersRestart,
];

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) scene: Scene,
    pub(crate) routers: usize,
    /// Requests of mean work that a warm member serves in a second.
    pub(crate) capacity: f64,
    /// Offered work as a share of the capacity of the whole group, all members warm.
    pub(crate) load: f64,
    /// The longest deadline.
    pub(crate) deadline_ms: i64,
    pub(crate) seed: u64,
}

impl Plan {
    /// The settings of all routers but for their zones. Classes 0 and 1 are the primary's, 2 and 3 the replicas'.
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
            // Longer than on the platform, for the test's own speed.
            min_event_interval: 25 * MS,
            ..common::settings(Idempotency::NotIdempotent)
        }
    }

    /// The member that starts cold. Member 0 is the primary.
    pub(crate) fn cold_member(&self) -> usize {
        match self.scene {
            Scene::PrimaryReturns | Scene::PrimaryListedAlone | Scene::RoutersRestart => 0,
            _ => MEMBERS - 1,
        }
    }

    /// What happens when, in this order where the times are equal.
    pub(crate) fn script(&self) -> Vec<(Micros, SimEvent)> {
        let all: Vec<usize> = (0..MEMBERS).collect();
        let cold = self.cold_member();
        let group_returns = self.scene == Scene::GroupReturns;
        let listed_at_begin =
            if cold == 0 || group_returns { all.clone() } else { all[..MEMBERS - 1].to_vec() };
        let mut script = vec![(BEGIN, SimEvent::ListChanges(listed_at_begin))];
        script.extend(self.faults());
        let starting = if group_returns { all.clone() } else { vec![cold] };
        script.extend(starting.into_iter().map(|m| (COLD_START, SimEvent::MemberStarts(m))));
        let listed_at_start = match self.scene {
            Scene::PeersRemoved => vec![0, cold],
            Scene::ListedAlone | Scene::PrimaryListedAlone => vec![cold],
            _ => all,
        };
        script.push((COLD_START, SimEvent::ListChanges(listed_at_start)));
        if self.scene == Scene::RoutersRestart {
            let restart = |router| {
                let tenth = (router * 10 / self.routers) as i64;
                (FIRST_RESTART + tenth * RESTART_INTERVAL, SimEvent::RouterRestarts(router))
            };
            script.extend((0..self.routers).map(restart));
        }
        script
    }

    fn faults(&self) -> Vec<(Micros, SimEvent)> {
        let stop = |member| (AWAY, SimEvent::MemberStops(member));
        let list = |members| (AWAY, SimEvent::ListChanges(members));
        match self.scene {
            Scene::Joins => vec![],
            Scene::PeersHang => (1..MEMBERS - 1).map(|m| (COLD_START, SimEvent::MemberHangs(m))).collect(),
            Scene::PeersRemoved => vec![list(vec![0])],
            Scene::ListedAlone => (0..MEMBERS - 1).map(stop).chain([list(vec![])]).collect(),
            Scene::PrimaryReturns | Scene::RoutersRestart => vec![stop(0)],
            Scene::PrimaryListedAlone => vec![stop(0), list(vec![0])],
            Scene::GroupReturns => (0..MEMBERS).map(stop).collect(),
        }
    }
}
