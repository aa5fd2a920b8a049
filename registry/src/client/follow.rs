//! Follows one registry member at a time, fails over between them, and carries out the state machine's
//! actions.
use super::list_state::ListState;
use super::{Client, Key, MemberClient, micros};
use crate::RequestError;
use crate::endpoints::{MemberSelector, Settings as SelectorSettings};
use crate::etcd::ClusterRevision;
use crate::fleet::Event as FleetEvent;
use crate::machine::{Action, EndpointIndex, Event, Item, Machine, Revision};
use std::time::Duration;

/// Capacity of the token bucket for connection attempts to the registry.
const MAX_ATTEMPT_TOKENS: f64 = 10.0;
/// Refill rate of the token bucket for connection attempts, in attempts per second.
const ATTEMPTS_PER_S: f64 = 5.0;

/// The next request to the followed registry member.
pub(super) enum NextRequest {
    /// No new request; the current watch continues.
    None,
    /// Read all keys under the prefix.
    Read,
    /// Watch for changes from this revision on.
    Watch(Revision),
    /// Stop following the member, for this reason.
    Leave(String),
}

/// The parts of the registry that have changed and that the observer has to be notified of.
#[derive(Default)]
struct ChangedParts {
    routers: bool,
    config: bool,
}

impl Client {
    pub(super) fn follow(&self, mut machine: Machine) {
        let mut selector = MemberSelector::new(self.selector_settings(), self.seed());
        let mut last_logged = String::new();
        while !self.is_stopping() {
            let (endpoint, wait) = selector.next(self.clock.now());
            std::thread::sleep(Duration::from_micros(wait.max(0) as u64));
            let addr = self.settings.endpoints[endpoint];
            let (mut member, mut succeeded) = (self.connector.client_for(endpoint), false);
            let ended = self.follow_member(&mut machine, endpoint, &mut member, &mut || succeeded = true);
            if succeeded {
                selector.record_success(endpoint);
                last_logged.clear();
            }
            let reason = ended.unwrap_or_else(|e| e.to_string());
            selector.record_failure(endpoint, self.clock.now());
            let line = format!("{addr}: {reason}");
            if line != last_logged {
                tracing::warn!(%addr, reason, "registry member no longer followed, trying another");
                last_logged = line;
            }
        }
    }

    fn selector_settings(&self) -> SelectorSettings {
        let backoff = self.limits.registry_backoff;
        SelectorSettings {
            endpoints: self.settings.endpoints.len(),
            first_backoff: micros(backoff.min),
            max_backoff: micros(backoff.max),
            max_attempt_tokens: MAX_ATTEMPT_TOKENS,
            attempts_per_s: ATTEMPTS_PER_S,
        }
    }

    /// A seed that differs between processes, so that routers do not all connect to the same member first.
    fn seed(&self) -> u64 {
        u64::from(std::process::id()) ^ self.clock.now().0 as u64
    }

    /// Follows one member until it fails or must not be followed any more; returns the reason. Calls
    /// `on_success` after each successful read and when a watch starts.
    fn follow_member(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
        on_success: &mut dyn FnMut(),
    ) -> Result<String, RequestError> {
        let mut next = self.first_request(machine, endpoint, member)?;
        loop {
            next = match next {
                NextRequest::Leave(reason) => return Ok(reason),
                NextRequest::None => return Ok("the state machine requested no read or watch".into()),
                NextRequest::Read => {
                    let (ClusterRevision { cluster, revision }, items) =
                        member.read(&self.settings.prefix)?;
                    on_success();
                    self.apply(machine, Event::Snapshot { endpoint, cluster, revision, items })
                }
                NextRequest::Watch(from) => {
                    match self.follow_changes(machine, endpoint, member, from, on_success)? {
                        NextRequest::None => return Ok("the watch has ended".into()),
                        other => other,
                    }
                }
            };
        }
    }

    fn first_request(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
    ) -> Result<NextRequest, RequestError> {
        match member {
            MemberClient::Etcd(etcd) => {
                let ClusterRevision { cluster, revision } = etcd.cluster_revision(&self.settings.prefix)?;
                Ok(self.apply(machine, Event::MemberReached { endpoint, cluster, revision }))
            }
            // Consul has no cheaper read for the index than that of all keys.
            MemberClient::Consul(_) => Ok(NextRequest::Watch(machine.revision() + 1)),
        }
    }

    fn follow_changes(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
        from: Revision,
        on_success: &mut dyn FnMut(),
    ) -> Result<NextRequest, RequestError> {
        match member {
            MemberClient::Etcd(etcd) => {
                self.log_followed(endpoint, from);
                on_success();
                self.watch(machine, endpoint, etcd, from)
            }
            MemberClient::Consul(consul) => self.poll(machine, endpoint, consul, on_success),
        }
    }

    pub(super) fn log_followed(&self, endpoint: EndpointIndex, revision: Revision) {
        let addr = self.settings.endpoints[endpoint];
        tracing::info!(%addr, revision, "registry member followed");
    }

    /// Passes an event to the state machine and performs its actions, except for the next request, which is
    /// returned.
    pub(super) fn apply(&self, machine: &mut Machine, event: Event) -> NextRequest {
        let (mut actions, mut next, mut changed) = (Vec::new(), NextRequest::None, ChangedParts::default());
        machine.handle(self.clock.now(), event, &mut actions);
        let mut list = self.list();
        for action in actions {
            match action {
                Action::Read { .. } => next = NextRequest::Read,
                Action::Watch { from, .. } => next = NextRequest::Watch(from),
                Action::Leave { reason, .. } => next = NextRequest::Leave(format!("{reason:?}")),
                Action::Restored => {
                    tracing::error!(
                        "registry revision dropped, as if restored from a backup; drained nodes stay drained"
                    );
                    self.handle_fleet_event(&mut list, FleetEvent::Restored);
                }
                Action::Put(item) => self.on_key_put(&mut list, item, &mut changed),
                Action::Deleted { key } => self.on_key_deleted(&mut list, &key, &mut changed),
                Action::Synchronized { .. } => {
                    list.last_contact = Some(self.clock.now().0);
                    self.handle_fleet_event(&mut list, FleetEvent::RegistryResponded);
                }
            }
        }
        self.flush_if_urgent(&mut list);
        let routers = changed.routers.then(|| list.routers.clone());
        // Unlock the list first: the observer may block, and may call this client.
        drop(list);
        if let Some(routers) = routers {
            self.observer.on_routers(&routers);
        }
        if changed.config {
            self.notify_config(machine);
        }
        self.save_list_if_due(machine);
        next
    }

    fn on_key_put(&self, list: &mut ListState, item: Item, changed: &mut ChangedParts) {
        match self.classify(&item.key) {
            Key::Config => changed.config = true,
            Key::Node(name) => {
                let name = name.to_string();
                self.handle_fleet_event(list, FleetEvent::Put { name, item });
            }
            Key::Router(name) => {
                match serde_json::from_slice(&item.value) {
                    Ok(router) => _ = list.routers.insert(name.to_string(), router),
                    Err(error) => {
                        tracing::error!(key = item.key, %error, "registry router entry unreadable");
                    }
                }
                changed.routers = true;
            }
            Key::ReleaseRetained => self.handle_fleet_event(list, FleetEvent::ReleaseRetained),
            Key::Other => {}
        }
    }

    fn on_key_deleted(&self, list: &mut ListState, key: &str, changed: &mut ChangedParts) {
        match self.classify(key) {
            Key::Config => changed.config = true,
            Key::Node(name) => {
                self.handle_fleet_event(list, FleetEvent::KeyDeleted { name: name.to_string() });
            }
            Key::Router(name) => {
                list.routers.remove(name);
                changed.routers = true;
            }
            Key::ReleaseRetained | Key::Other => {}
        }
    }

    fn notify_config(&self, machine: &Machine) {
        let key = format!("{}config/mysql", self.settings.prefix);
        let value = machine.items().find(|(k, _)| *k == key).map(|(_, value)| value);
        let text = value.map(|value| String::from_utf8_lossy(value).into_owned());
        match self.observer.on_config(text.as_deref()) {
            Ok(()) => tracing::info!(key, "registry configuration applied"),
            Err(error) => {
                tracing::error!(
                    key, %error, "registry configuration rejected, the last valid one stays in force"
                );
            }
        }
    }
}
