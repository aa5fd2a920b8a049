//! Follows an etcd member with a watch. While the watch is silent, reads on a second connection check for
//! missed changes.
use super::Client;
use super::follow::NextRequest;
use crate::RequestError;
use crate::etcd::{Etcd, WatchEvent};
use crate::machine::{EndpointIndex, Event, Machine, Revision};

/// The state of one watch.
struct EtcdWatch<'a> {
    client: &'a Client,
    machine: &'a mut Machine,
    endpoint: EndpointIndex,
    /// A client of the same member on a separate connection, for reads while the watch is silent.
    check_client: Etcd,
    /// The state machine's next request; a request other than `None` ends the watch.
    next: NextRequest,
    /// A read has found a change that the watch has not delivered yet.
    change_overdue: bool,
    /// Why the watch failed its check.
    failure: Option<String>,
}

impl EtcdWatch<'_> {
    /// Handles an event of the watch; `false` ends the watch.
    fn handle(&mut self, event: WatchEvent) -> bool {
        if self.client.is_stopping() {
            return false;
        }
        match event {
            WatchEvent::Changes(changes) => {
                self.change_overdue = false;
                self.apply(Event::Changes { endpoint: self.endpoint, changes })
            }
            WatchEvent::Progress(revision) => {
                self.apply(Event::Progress { endpoint: self.endpoint, revision })
            }
            WatchEvent::Silence => self.check_for_missed_changes(),
        }
    }

    fn apply(&mut self, event: Event) -> bool {
        self.next = self.client.apply(self.machine, event);
        matches!(self.next, NextRequest::None)
    }

    /// Checks by a read whether there are changes that the watch has not delivered; `false` ends the watch.
    fn check_for_missed_changes(&mut self) -> bool {
        let (revision, keys) = (self.machine.revision(), self.machine.len());
        match self.check_client.unchanged_up_to(&self.client.settings.prefix, revision, keys) {
            Ok(Some(revision)) => {
                self.change_overdue = false;
                self.apply(Event::Progress { endpoint: self.endpoint, revision })
            }
            // On the first such read the change may still be in transit.
            Ok(None) if !std::mem::replace(&mut self.change_overdue, true) => true,
            Ok(None) => {
                self.client.apply(self.machine, Event::ChangesMissed);
                self.failure = Some("the watch did not deliver changes that a read found".to_string());
                false
            }
            Err(e) => {
                self.failure = Some(format!("the watch is silent, and a read failed: {e}"));
                false
            }
        }
    }
}

impl Client {
    /// Watches an etcd member from a revision on, until the watch ends; returns the next request.
    pub(super) fn watch(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        etcd: &mut Etcd,
        from: Revision,
    ) -> Result<NextRequest, RequestError> {
        let check_client = Etcd {
            http_client: etcd.http_client.new_connection(),
            credentials: etcd.credentials.clone(),
            page: etcd.page,
        };
        let mut watch = EtcdWatch {
            client: self,
            machine: &mut *machine,
            endpoint,
            check_client,
            next: NextRequest::None,
            change_overdue: false,
            failure: None,
        };
        let (prefix, max_silence) = (&self.settings.prefix, self.connector.max_silence);
        let ended = etcd.watch(prefix, from, max_silence, |event| watch.handle(event));
        let EtcdWatch { next, failure, .. } = watch;
        match (failure, ended) {
            (Some(reason), _) => Ok(NextRequest::Leave(reason)),
            (None, Err(RequestError::Compacted)) => {
                tracing::warn!(revision = from, "registry revision compacted away, reading everything again");
                Ok(self.apply(machine, Event::Compacted { endpoint }))
            }
            (None, ended) => ended.map(|()| next),
        }
    }
}
