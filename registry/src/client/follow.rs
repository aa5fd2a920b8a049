//! Follows one member of the registry after the other, and applies what the state machine makes of it.
use super::list_state::ListState;
use super::{Client, Key, MemberClient, micros};
use crate::RequestError;
use crate::endpoints::{Endpoints, Settings as EndpointSettings};
use crate::etcd::ClusterPosition;
use crate::fleet::Event as FleetEvent;
use crate::machine::{Action, EndpointIndex, Event, Item, Machine, Revision};
use std::time::Duration;

/// Attempts to reach the registry that may be made at once after a quiet time.
const MAX_SAVED_ATTEMPTS: f64 = 10.0;
/// Attempts that are earned in a second.
const ATTEMPTS_PER_S: f64 = 5.0;

/// What the member that is followed is to be asked next.
pub(super) enum NextStep {
    /// Nothing: what goes on goes on.
    None,
    /// Everything under the prefix.
    Read,
    /// Changes from this revision on.
    Watch(Revision),
    /// It must not be followed any more, for this reason.
    Leave(String),
}

/// Parts of the registry that have changed and whose observer is to be notified.
#[derive(Default)]
struct Changed {
    routers: bool,
    config: bool,
}

impl Client {
    pub(super) fn follow(&self, mut machine: Machine) {
        let mut endpoints = Endpoints::new(self.endpoint_settings(), self.seed());
        let mut last_logged = String::new();
        while !self.is_stopping() {
            let (endpoint, wait) = endpoints.next(self.clock.now());
            std::thread::sleep(Duration::from_micros(wait.max(0) as u64));
            let addr = self.settings.endpoints[endpoint];
            let (mut member, mut worked) = (self.connector.client_for(endpoint), false);
            let ended = self.follow_member(&mut machine, endpoint, &mut member, &mut || worked = true);
            if worked {
                endpoints.worked(endpoint);
                last_logged.clear();
            }
            let reason = ended.unwrap_or_else(|e| e.to_string());
            endpoints.failed(endpoint, self.clock.now());
            let line = format!("{addr}: {reason}");
            if line != last_logged {
                tracing::warn!(%addr, reason, "registry member left, trying another");
                last_logged = line;
            }
        }
    }

    fn endpoint_settings(&self) -> EndpointSettings {
        let backoff = self.limits.registry_backoff;
        EndpointSettings {
            endpoints: self.settings.endpoints.len(),
            first_backoff: micros(backoff.min),
            max_backoff: micros(backoff.max),
            max_saved_attempts: MAX_SAVED_ATTEMPTS,
            attempts_per_s: ATTEMPTS_PER_S,
        }
    }

    /// Another one for each process, so that routers don't all ask the same member first.
    fn seed(&self) -> u64 {
        u64::from(std::process::id()) ^ self.clock.now().0 as u64
    }

    /// Follows one member until it fails or must be left, and says why. `worked` is called once it answers as it should.
    fn follow_member(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
        worked: &mut dyn FnMut(),
    ) -> Result<String, RequestError> {
        let mut next = self.first_step(machine, endpoint, member)?;
        loop {
            next = match next {
                NextStep::Leave(reason) => return Ok(reason),
                NextStep::None => return Ok("nothing to follow".into()),
                NextStep::Read => {
                    let (ClusterPosition { cluster, revision }, items) =
                        member.read(&self.settings.prefix)?;
                    worked();
                    self.apply(machine, Event::Snapshot { endpoint, cluster, revision, items })
                }
                NextStep::Watch(from) => {
                    match self.follow_changes(machine, endpoint, member, from, worked)? {
                        NextStep::None => return Ok("the watch has ended".into()),
                        other => other,
                    }
                }
            };
        }
    }

    fn first_step(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
    ) -> Result<NextStep, RequestError> {
        match member {
            MemberClient::Etcd(etcd) => {
                let ClusterPosition { cluster, revision } = etcd.position(&self.settings.prefix)?;
                Ok(self.apply(machine, Event::MemberReached { endpoint, cluster, revision }))
            }
            // It has no cheaper read than the whole list, whose index is its position.
            MemberClient::Consul(_) => Ok(NextStep::Watch(machine.revision() + 1)),
        }
    }

    fn follow_changes(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        member: &mut MemberClient,
        from: Revision,
        worked: &mut dyn FnMut(),
    ) -> Result<NextStep, RequestError> {
        match member {
            MemberClient::Etcd(etcd) => {
                self.log_followed(endpoint, from);
                worked();
                self.watch(machine, endpoint, etcd, from)
            }
            MemberClient::Consul(consul) => self.poll(machine, endpoint, consul, worked),
        }
    }

    /// Logs that a member is followed from a revision on.
    pub(super) fn log_followed(&self, endpoint: EndpointIndex, revision: Revision) {
        let addr = self.settings.endpoints[endpoint];
        tracing::info!(%addr, revision, "registry member followed");
    }

    /// Passes an event to the state machine and carries out its actions, except for the next step, which is returned.
    pub(super) fn apply(&self, machine: &mut Machine, event: Event) -> NextStep {
        let (mut actions, mut next, mut changed) = (Vec::new(), NextStep::None, Changed::default());
        machine.handle(self.clock.now(), event, &mut actions);
        let mut list = self.list();
        for action in actions {
            match action {
                Action::Read { .. } => next = NextStep::Read,
                Action::Watch { from, .. } => next = NextStep::Watch(from),
                Action::Leave { reason, .. } => next = NextStep::Leave(format!("{reason:?}")),
                Action::Restored => {
                    tracing::error!(
                        "registry went back, as if restored from a backup; drained nodes stay drained"
                    );
                    self.handle_fleet_event(&mut list, FleetEvent::Restored);
                }
                Action::Put(item) => self.key_put(&mut list, item, &mut changed),
                Action::Deleted { key } => self.key_deleted(&mut list, &key, &mut changed),
                Action::Synchronized { .. } => {
                    list.last_contact = Some(self.clock.now().0);
                    self.handle_fleet_event(&mut list, FleetEvent::RegistryResponded);
                }
            }
        }
        self.flush_if_urgent(&mut list);
        let routers = changed.routers.then(|| list.routers.clone());
        // The observer may take its time, and may ask this client.
        drop(list);
        if let Some(routers) = routers {
            self.observer.routers(&routers);
        }
        if changed.config {
            self.notify_config(machine);
        }
        self.save_list_if_due(machine);
        next
    }

    fn key_put(&self, list: &mut ListState, item: Item, changed: &mut Changed) {
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

    fn key_deleted(&self, list: &mut ListState, key: &str, changed: &mut Changed) {
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
        match self.observer.config(text.as_deref()) {
            Ok(()) => tracing::info!(key, "registry configuration applied"),
            Err(error) => {
                tracing::error!(key, %error, "registry configuration rejected, the last valid one stays in force");
            }
        }
    }
}
