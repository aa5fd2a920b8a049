//! etcd's watch, checked by reads on a second connection while it is silent.
use super::Client;
use super::follow::NextStep;
use crate::RequestError;
use crate::etcd::{Etcd, WatchEvent};
use crate::machine::{EndpointIndex, Event, Machine, Revision};

/// One watch, with what is known of it so far.
struct EtcdWatch<'a> {
    client: &'a Client,
    machine: &'a mut Machine,
    endpoint: EndpointIndex,
    /// The same member on a connection of its own, to read from while the watch is silent.
    probe: Etcd,
    /// What the state machine wants next; anything but `None` ends the watch.
    next: NextStep,
    /// A read has seen a change that the watch has not brought.
    change_overdue: bool,
    /// Why the watch is not to be trusted any more.
    failure: Option<String>,
}

impl EtcdWatch<'_> {
    /// Handles what the watch brings; `false` ends it.
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
            WatchEvent::Silence => self.check(),
        }
    }

    fn apply(&mut self, event: Event) -> bool {
        self.next = self.client.apply(self.machine, event);
        matches!(self.next, NextStep::None)
    }

    /// Reads whether anything has changed that the watch has not brought.
    fn check(&mut self) -> bool {
        let (revision, keys) = (self.machine.revision(), self.machine.len());
        match self.probe.unchanged_up_to(&self.client.settings.prefix, revision, keys) {
            Ok(Some(revision)) => {
                self.change_overdue = false;
                self.apply(Event::Progress { endpoint: self.endpoint, revision })
            }
            // The first time the change may still be on its way.
            Ok(None) if !std::mem::replace(&mut self.change_overdue, true) => true,
            Ok(None) => {
                self.client.apply(self.machine, Event::ChangesMissed);
                self.failure = Some("the watch is silent about changes that are there".to_string());
                false
            }
            Err(e) => {
                self.failure = Some(format!("the watch is silent, and so is a read: {e}"));
                false
            }
        }
    }
}

impl Client {
    /// Watches a member of etcd from a revision on, until the watch ends; what to do next is returned.
    pub(super) fn watch(
        &self,
        machine: &mut Machine,
        endpoint: EndpointIndex,
        etcd: &mut Etcd,
        from: Revision,
    ) -> Result<NextStep, RequestError> {
        let probe = Etcd {
            member: etcd.member.new_connection(),
            credentials: etcd.credentials.clone(),
            page: etcd.page,
        };
        let mut watch = EtcdWatch {
            client: self,
            machine: &mut *machine,
            endpoint,
            probe,
            next: NextStep::None,
            change_overdue: false,
            failure: None,
        };
        let (prefix, max_quiet) = (&self.settings.prefix, self.connector.max_quiet);
        let ended = etcd.watch(prefix, from, max_quiet, |event| watch.handle(event));
        let EtcdWatch { next, failure, .. } = watch;
        match (failure, ended) {
            (Some(reason), _) => Ok(NextStep::Leave(reason)),
            (None, Err(RequestError::Compacted)) => {
                tracing::warn!(revision = from, "registry revision compacted away, reading everything again");
                Ok(self.apply(machine, Event::Compacted { endpoint }))
            }
            (None, ended) => ended.map(|()| next),
        }
    }
}
