//! Property test: random histories of outages are simulated in virtual time with the state machine and a
//! model of the discovery agent. Each change must be received within the delay that the limits promise,
//! counted from when the agent has the change and responds to new connections.
mod agent;
mod history;
mod world;

use history::{AgentDelays, ConnectionFate, History, Outage, OutageKind, history};
use proptest::prelude::*;
use std::time::Duration;
use world::{limits, simulate};

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn after_any_outage_one_watch_remains_and_each_change_is_received_within_the_bound(history in history()) {
        simulate(history);
    }
}

/// An agent without delays.
const QUICK: AgentDelays = AgentDelays { accept: 0, head: 0, line: 0, late_empty_line: false };

/// An agent whose delays are just below the limits of a connection.
const SLOW: AgentDelays = AgentDelays { accept: 490, head: 300, line: 290, late_empty_line: false };

/// Simulates one outage and one change, without a change of address; returns the longest delay.
fn simulate_outage(outage: Outage, agent: AgentDelays, change: u64) -> u64 {
    let outages = [vec![outage], vec![]];
    simulate(History { outages, agents: [agent, agent], address_changes: vec![], changes: vec![change] })
}

#[test]
fn changes_lost_by_a_stale_watch_are_received_on_a_new_one() {
    // The old connection misses the first change, and delivers the next one before any new connection does.
    let (kind, fate) = (OutageKind::Unreachable, ConnectionFate::LosesChanges);
    let outage = Outage { from: 2010, to: 7000, kind, fate };
    let history = History {
        outages: [vec![outage], vec![]],
        agents: [AgentDelays { accept: 400, head: 300, line: 200, late_empty_line: false }, QUICK],
        address_changes: vec![],
        changes: vec![4000, 7010],
    };
    assert!(simulate(history) <= 1500);
}

#[test]
fn slow_agent_is_followed_even_if_older_connections_stay_silent_after_their_heads() {
    // Each new connection takes longer to get its head than the minimum open interval.
    let outage = Outage { from: 10, to: 8000, kind: OutageKind::HeadOnly, fate: ConnectionFate::Silent };
    assert!(simulate_outage(outage, SLOW, 7000) <= 2200);
}

#[test]
fn worst_case_reaches_the_stated_bound_within_100_ms() {
    // A watch falls silent right after a line, while a slow agent responds to new connections.
    let outage = Outage { from: 1100, to: 1110, kind: OutageKind::Unreachable, fate: ConnectionFate::Silent };
    let limits = limits();
    let delay = simulate_outage(outage, SLOW, 1110);
    let sum = limits.watch_silence_timeout + limits.new_watch_timeout();
    assert!(Duration::from_millis(delay) + Duration::from_millis(100) >= sum, "{delay}");
    assert!(Duration::from_millis(delay) <= limits.max_delay_after_silence());
}
