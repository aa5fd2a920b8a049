//! Applies the actions of the fleet's state machine to the routers' endpoint list.
use super::list_state::ListState;
use super::{Client, micros};
use crate::fleet::{Action as FleetAction, Event as FleetEvent, Level, Node, State};
use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState};

/// The fleet gets a tick once per this many debounce intervals.
const ROUNDS_PER_TICK: u32 = 5;
/// Responses of nodes are collected once the registry has not responded for `fresh_s` divided by this.
const RESPONSES_AFTER_FRESH_DIVISOR: i64 = 4;

impl Client {
    pub(super) fn handle_fleet_event(&self, list: &mut ListState, event: FleetEvent) {
        let mut actions = Vec::new();
        list.fleet.handle(self.clock.now(), event, &mut actions);
        self.apply_fleet_actions(list, actions);
    }

    pub(super) fn apply_fleet_actions(&self, list: &mut ListState, actions: Vec<FleetAction>) {
        for action in actions {
            match action {
                FleetAction::List { id, node } => {
                    list.list(self.endpoint_entry(&id, &node), node.state != State::InService);
                }
                FleetAction::Unlist { id } => list.unlist(&id),
                FleetAction::InvalidNode { name, reason: error } => {
                    tracing::error!(
                        node = name, %error, "registry node rejected, its last valid value stays in force"
                    );
                }
                FleetAction::MassRemovalDelayed { nodes } => tracing::error!(
                    nodes,
                    hold_time = ?self.settings.mass_removal_delay,
                    "most registry nodes disappeared at once, they are retained for the hold time"
                ),
                FleetAction::RetainedReleased { nodes } => {
                    tracing::warn!(nodes, "disappeared registry nodes removed after retention");
                }
                FleetAction::LevelChanged(Level::Fresh) => {
                    tracing::info!("registry list fresh again");
                }
                FleetAction::LevelChanged(level) => {
                    tracing::error!(
                        ?level,
                        "registry has not responded for too long, use of its node list restricted"
                    );
                }
            }
        }
    }

    fn endpoint_entry(&self, id: &str, node: &Node) -> EndpointEntry {
        EndpointEntry {
            id: id.to_string(),
            addr: node.addr,
            group: GroupId(node.group),
            zone: u32::from(node.zone != self.settings.zone),
            site: (!node.zone.is_empty()).then(|| node.zone.as_str().into()),
            state: match node.state {
                State::InService => MemberState::Ready,
                State::Draining => MemberState::Draining,
                State::Gone => MemberState::Removed,
            },
            listed_primary: node.role.as_deref() == Some("primary"),
            weight: node.weight,
            started_at: None,
        }
    }

    /// Sends all pending changes to the endpoint list, if at least one change is urgent.
    pub(super) fn flush_if_urgent(&self, list: &mut ListState) {
        if std::mem::take(&mut list.urgent) {
            self.flush(list);
        }
    }

    /// Sends all pending changes to the endpoint list.
    pub(super) fn flush(&self, list: &mut ListState) {
        if list.pending.is_empty() {
            return;
        }
        list.version += 1;
        let endpoints = list.take_newest();
        self.endpoint_list.notify(EndpointUpdate { version: list.version, complete: false, endpoints });
    }

    /// Runs the timer thread: sends the pending changes at each debounce interval, and ticks the fleet.
    pub(super) fn run_timer(&self) {
        let mut rounds = 0u32;
        while !self.is_stopping() {
            std::thread::sleep(self.limits.registry_debounce_delay);
            rounds += 1;
            let mut list = self.list();
            if rounds.is_multiple_of(ROUNDS_PER_TICK) {
                self.tick(&mut list);
            }
            self.flush(&mut list);
            list.urgent = false;
        }
    }

    fn tick(&self, list: &mut ListState) {
        let age = list.last_contact.map_or(0, |at| self.clock.now().0 - at);
        let wants_responses = age > micros(self.settings.max_fresh_age) / RESPONSES_AFTER_FRESH_DIVISOR;
        for id in self.responded.drain(wants_responses) {
            // An endpoint ID consists of the node's name and the revision at which its key was created.
            let name = id.rsplit_once('@').map_or(id.as_str(), |(name, _)| name).to_string();
            self.handle_fleet_event(list, FleetEvent::NodeResponded { name });
        }
        self.handle_fleet_event(list, FleetEvent::Tick);
    }
}
