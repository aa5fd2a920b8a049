//! Random histories of outages played through the state machine in virtual time, against a modelled agent: whatever
//! the agent does before, a change is heard within the bound that the limits state, counted from the moment from which
//! discovery has it and answers new connections.
mod agent;
mod history;
mod world;

use history::{AgentDelays, ConnectionFate, History, Outage, OutageKind, history};
use proptest::prelude::*;
use std::time::Duration;
use world::{limits, play};

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_outage_leaves_one_watch_and_each_change_is_heard_within_the_bound(history in history()) {
        play(history);
    }
}

/// An agent that answers at once.
const QUICK: AgentDelays = AgentDelays { accept: 0, head: 0, line: 0, late_empty_line: false };

/// An agent that needs nearly as long as a connection is granted.
const SLOW: AgentDelays = AgentDelays { accept: 490, head: 300, line: 290, late_empty_line: false };

/// Plays one outage and one change, without a move.
fn play_outage(outage: Outage, agent: AgentDelays, change: u64) -> u64 {
    let outages = [vec![outage], vec![]];
    play(History { outages, agents: [agent, agent], moves: vec![], changes: vec![change] })
}

#[test]
fn changes_lost_by_a_stale_watch_that_speaks_again_come_on_a_new_one() {
    // The old watch misses the change and speaks again at once; the next change comes on it before any new one does.
    let (kind, fate) = (OutageKind::Unreachable, ConnectionFate::LosesChanges);
    let outage = Outage { from: 2010, to: 7000, kind, fate };
    let history = History {
        outages: [vec![outage], vec![]],
        agents: [AgentDelays { accept: 400, head: 300, line: 200, late_empty_line: false }, QUICK],
        moves: vec![],
        changes: vec![4000, 7010],
    };
    assert!(play(history) <= 1500);
}

#[test]
fn slow_agent_is_heard_beside_older_connections_with_heads_that_stay_mute() {
    // Each new connection needs longer for its head than the shortest time between two openings.
    let outage = Outage { from: 10, to: 8000, kind: OutageKind::HeadOnly, fate: ConnectionFate::Mute };
    assert!(play_outage(outage, SLOW, 7000) <= 2200);
}

#[test]
fn worst_case_reaches_the_stated_bound_within_100_ms() {
    // A watch that fell mute right after a line, while new connections are answered by a slow agent.
    let outage = Outage { from: 1100, to: 1110, kind: OutageKind::Unreachable, fate: ConnectionFate::Mute };
    let limits = limits();
    let worst = play_outage(outage, SLOW, 1110);
    let sum = limits.watch_silence_timeout + limits.new_watch_timeout();
    assert!(Duration::from_millis(worst) + Duration::from_millis(100) >= sum, "{worst}");
    assert!(Duration::from_millis(worst) <= limits.max_delay_after_silence());
}
