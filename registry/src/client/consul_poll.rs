//! Follows a Consul member with consecutive blocking queries, each of which returns all keys at an index.
use super::Client;
use super::follow::NextRequest;
use crate::RequestError;
use crate::consul::{Consul, IndexedItems};
use crate::machine::{EndpointIndex, Event, Machine, Revision};
use crossbeam_channel::Receiver;
use routing::spawn;
use std::time::Duration;

/// Queries the health of a service on a separate thread and connection.
struct HealthQueries {
    results: Receiver<Result<IndexedItems, RequestError>>,
    /// The newest result; `None` before the first one.
    newest: Option<IndexedItems>,
}

impl HealthQueries {
    /// Starts the queries; they end at the first failure or when this value is dropped.
    fn start(mut consul: Consul, prefix: String, wait: Duration, stack_bytes: usize) -> HealthQueries {
        let (sender, results) = crossbeam_channel::bounded(1);
        let query = move || {
            let mut after = None;
            loop {
                let result = consul.health(&prefix, after);
                after = result.as_ref().ok().map(|(index, _)| (*index, wait));
                let failed = result.is_err();
                if sender.send(result).is_err() || failed {
                    return;
                }
            }
        };
        // If the thread cannot be started there is no first result, and `update` returns an error.
        _ = spawn("registry-health", stack_bytes, query);
        HealthQueries { results, newest: None }
    }

    /// Returns the newest result. Waits for the first one only; later calls do not block.
    fn update(&mut self) -> Result<IndexedItems, RequestError> {
        let result = match self.newest {
            None => self.results.recv().ok(),
            Some(_) => self.results.try_iter().last(),
        };
        if let Some(result) = result {
            self.newest = Some(result?);
        }
        self.newest
            .clone()
            .ok_or_else(|| RequestError::InvalidResponse { reason: "no health query response".into() })
    }
}

impl Client {
    fn start_health_queries(&self, consul: &Consul) -> Option<HealthQueries> {
        let service = consul.service.clone()?;
        let consul = Consul { http_client: consul.http_client.new_connection(), service: Some(service) };
        let (prefix, wait) = (self.settings.prefix.clone(), self.connector.query_wait);
        Some(HealthQueries::start(consul, prefix, wait, self.limits.routing_thread_stack_bytes))
    }

    /// Follows a Consul member until it fails or must not be followed any more.
    pub(super) fn poll(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        consul: &mut Consul,
        on_success: &mut dyn FnMut(),
    ) -> Result<NextRequest, RequestError> {
        let mut health = self.start_health_queries(consul);
        // With a service, the keys are queried with a short wait, so that results of its health query are
        // applied soon.
        let wait = if health.is_some() { self.connector.max_silence } else { self.connector.query_wait };
        let (mut last_index, mut is_following): (Option<Revision>, bool) = (None, false);
        while !self.is_stopping() {
            let after = last_index.map(|index| (index, wait));
            let (index, mut items) = consul.read(&self.settings.prefix, after)?;
            // After an index that went backwards the next query does not wait, but reads all keys at once.
            last_index = last_index.is_none_or(|last| index >= last).then_some(index);
            let (health_index, nodes) = match &mut health {
                Some(health) => health.update()?,
                None => (0, Vec::new()),
            };
            items.extend(nodes);
            let revision = index.max(health_index);
            let event = Event::Snapshot { endpoint, cluster: 0, revision, items };
            if let leave @ NextRequest::Leave(_) = self.apply(machine, event) {
                return Ok(leave);
            }
            if !std::mem::replace(&mut is_following, true) {
                self.log_followed(endpoint, revision);
            }
            on_success();
        }
        Ok(NextRequest::None)
    }
}
