//! The simulated registry, its watch events, and the endpoint lists of the routers.
use super::events::SimulationEvent;
use super::state::{DelayedChanges, World};
use crate::fault::InjectedBug;
use crate::node::Node;
use crate::times::from_milliseconds;
use decision::{Event, GroupId, MemberEntry, MemberId, MemberState};
use registry::fleet::{Action as EndpointListAction, Event as EndpointListEvent, Level, State};
use registry::machine::{Action as WatchAction, Change, Event as WatchEvent, Item};

/// State of a node in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RegisteredState {
    InService,
    Draining,
}

impl RegisteredState {
    /// Name of the state in the registry's JSON values.
    fn as_str(self) -> &'static str {
        match self {
            RegisteredState::InService => "in_service",
            RegisteredState::Draining => "draining",
        }
    }
}

/// Builds the registry's item of a node.
pub(super) fn registry_item(index: usize, node: &Node, state: RegisteredState, modified: u64) -> Item {
    let ip = format!("127.{}.{}.{}", 1 + index / 62_500, index / 250 % 250, index % 250 + 1);
    let (group, zone, state) = (node.group, node.zone, state.as_str());
    let value =
        format!("{{\"addr\":\"{ip}:3306\",\"group\":{group},\"state\":\"{state}\",\"zone\":\"{zone}\"}}");
    Item { key: endpoint_name(index), value: value.into_bytes(), created: 1, modified }
}

fn endpoint_name(node: usize) -> String {
    format!("n{node}")
}

/// Parses the node's index from an endpoint id, which consists of the node's name, an `@` and a suffix that
/// differs for each incarnation.
fn node_of_endpoint(id: &str) -> Option<usize> {
    id.strip_prefix('n')?.split('@').next()?.parse().ok()
}

impl World<'_> {
    /// Writes a node's state to the registry. The routers' watches deliver the change after the plan's delay.
    pub(super) fn register_state(&mut self, node: usize, state: RegisteredState) {
        self.registry_revision += 1;
        let changed = registry_item(node, &self.nodes[node], state, self.registry_revision);
        let delay = from_milliseconds(self.plan.watch_delay_ms);
        for router in 0..self.plan.routers {
            let changes = vec![Change::Put(changed.clone())];
            self.schedule_after(delay, SimulationEvent::RegistryChangesArrived { router, changes });
        }
    }

    pub(super) fn receive_registry_changes(&mut self, router: usize, changes: Vec<Change>) {
        if self.registry_outage {
            self.delayed_changes.push(DelayedChanges { router, changes });
        } else if self.routers[router].up {
            self.handle_watch_event(router, WatchEvent::Changes { endpoint: 0, changes });
        }
    }

    pub(super) fn handle_watch_event(&mut self, router: usize, event: WatchEvent) {
        let mut actions = Vec::new();
        self.routers[router].registry_watch.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                WatchAction::Put(item) => {
                    self.handle_endpoint_list_event(
                        router,
                        EndpointListEvent::Put { name: item.key.clone(), item },
                    );
                }
                WatchAction::Deleted { key: name } => {
                    self.handle_endpoint_list_event(router, EndpointListEvent::KeyDeleted { name });
                }
                WatchAction::Synchronized { .. } => {
                    self.handle_endpoint_list_event(router, EndpointListEvent::RegistryResponded);
                }
                _ => {}
            }
        }
    }

    pub(super) fn handle_endpoint_list_event(&mut self, router: usize, event: EndpointListEvent) {
        let mut actions = Vec::new();
        self.routers[router].endpoint_list.handle(self.now, event, &mut actions);
        let mut entries = Vec::new();
        for action in actions {
            let EndpointListAction::List { id, node: endpoint } = action else { continue };
            let Some(node) = node_of_endpoint(&id) else { continue };
            let state = match endpoint.state {
                State::InService => MemberState::Ready,
                State::Draining => MemberState::Draining,
                State::Gone => MemberState::Removed,
            };
            self.checker.node_state_notified(self.now, router, node, state == MemberState::Ready);
            entries.push(MemberEntry {
                id: MemberId(node as u32),
                group: GroupId(endpoint.group),
                zone: endpoint.zone.parse().unwrap_or(0),
                state,
                listed_primary: false,
                weight: endpoint.weight,
                started_at: None,
            });
        }
        let ignores_changes =
            self.plan.injected_bug == Some(InjectedBug::IgnoreDrains) && self.registry_revision > 1;
        if !entries.is_empty() && !ignores_changes {
            self.handle_router_event(router, Event::MemberListChanged { complete: false, entries });
        }
    }

    /// Tells a router's endpoint list that the node has responded, which confirms the node's entry while the
    /// list is not fresh.
    pub(super) fn confirm_endpoint(&mut self, router: usize, node: usize) {
        if self.routers[router].endpoint_list.level() != Level::Fresh {
            self.handle_endpoint_list_event(
                router,
                EndpointListEvent::NodeResponded { name: endpoint_name(node) },
            );
        }
    }
}
