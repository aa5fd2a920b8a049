//! The state behind the endpoint list, and one handler for each message.
use super::message::EndpointsMessage;
use super::published::Published;
use crate::endpoint::{EndpointEntry, EndpointUpdate, MaintenanceMask, UpdateOrder};
use crate::messages::RouterMessage;
use crate::metrics::Metrics;
use crate::protocol::BackendProtocol;
use crate::wall_clock::WallClock;
use crossbeam_channel::{Receiver, SendError, Sender};
use decision::{GroupId, MemberState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The router actor has ended, and with it the program.
struct RouterEnded;

impl<T> From<SendError<T>> for RouterEnded {
    fn from(_: SendError<T>) -> Self {
        RouterEnded
    }
}

pub(super) struct EndpointsActor<P: BackendProtocol> {
    router: Sender<RouterMessage<P>>,
    published: Published,
    metrics: Option<Arc<Metrics>>,
    /// The endpoints by id, as listed.
    listed: BTreeMap<String, EndpointEntry>,
    mask: MaintenanceMask,
    /// Endpoints of which an update after a gap has brought something newer than the version held, with its version.
    ahead: BTreeMap<String, u64>,
    /// As last passed on.
    unavailable_groups: BTreeSet<GroupId>,
    wall_clock: WallClock,
    /// By endpoint, the start that was stated last, and the moment that it was taken for: it stays that moment, whatever
    /// the wall clock does later.
    starts: BTreeMap<String, StatedStart>,
}

/// A start as stated, and the moment that it was taken for.
#[derive(Clone, Copy)]
struct StatedStart {
    stated: Time,
    at: Time,
}

impl<P: BackendProtocol> EndpointsActor<P> {
    pub(super) fn new(
        router: Sender<RouterMessage<P>>,
        published: Published,
        metrics: Option<Arc<Metrics>>,
        wall_clock: WallClock,
    ) -> Self {
        EndpointsActor {
            router,
            published,
            metrics,
            listed: BTreeMap::new(),
            mask: MaintenanceMask::default(),
            ahead: BTreeMap::new(),
            unavailable_groups: BTreeSet::new(),
            wall_clock,
            starts: BTreeMap::new(),
        }
    }

    pub(super) fn run(mut self, mailbox: &Receiver<EndpointsMessage>) {
        for message in mailbox {
            if self.handle(message).is_err() {
                return;
            }
        }
    }

    fn handle(&mut self, message: EndpointsMessage) -> Result<(), RouterEnded> {
        match message {
            EndpointsMessage::Update { update, order } => self.update(update, order),
            EndpointsMessage::SetMaintenance(mask) => self.set_maintenance(mask),
            EndpointsMessage::Barrier(done) => {
                _ = done.try_send(());
                Ok(())
            }
        }
    }

    /// Passes on the endpoints that the new mask shows differently.
    fn set_maintenance(&mut self, mask: MaintenanceMask) -> Result<(), RouterEnded> {
        let old = std::mem::replace(&mut self.mask, mask);
        let changed = self.listed.values().filter(|e| old.apply(e) != self.mask.apply(e));
        let endpoints: Vec<EndpointEntry> = changed.map(|e| self.mask.apply(e)).collect();
        tracing::info!("list: {} instances are in maintenance", self.mask.in_maintenance.len());
        let version = self.published.version();
        self.pass_on(EndpointUpdate { version, complete: false, endpoints })
    }

    fn update(&mut self, mut update: EndpointUpdate, order: UpdateOrder) -> Result<(), RouterEnded> {
        if self.is_stale(&update, order) {
            return Ok(());
        }
        self.read_starts(&mut update);
        self.apply(&mut update, order);
        if order != UpdateOrder::AfterGap || update.complete {
            self.published.set_version(update.version);
        }
        if let Some(metrics) = &self.metrics {
            // Only operators ask for ids.
            self.published.set_ids(self.listed.keys().cloned().collect());
            metrics.endpoints.set(self.listed.len() as i64);
        }
        if self.mask != MaintenanceMask::default() {
            update.endpoints = update.endpoints.iter().map(|e| self.mask.apply(e)).collect();
        }
        let version = update.version;
        self.pass_on(update)?;
        let ready = self.listed.values().filter(|e| e.state == MemberState::Ready).count();
        // After this line is logged, every request is decided with the update.
        tracing::info!("list: version {version} names {} instances, {ready} in service", self.listed.len());
        Ok(())
    }

    /// Puts stated starts on the router's own clock.
    fn read_starts(&mut self, update: &mut EndpointUpdate) {
        if update.complete {
            let listed: BTreeSet<&str> = update.endpoints.iter().map(|e| e.id.as_str()).collect();
            self.starts.retain(|id, _| listed.contains(id.as_str()));
        }
        for endpoint in &mut update.endpoints {
            let Some(stated) = endpoint.started_at else { continue };
            let known = self.starts.get(&endpoint.id).filter(|known| known.stated == stated);
            let at = known.map_or_else(|| self.wall_clock.start(stated), |known| known.at);
            endpoint.started_at = Some(at);
            if endpoint.state == MemberState::Removed {
                self.starts.remove(&endpoint.id);
            } else {
                self.starts.insert(endpoint.id.clone(), StatedStart { stated, at });
            }
        }
    }

    /// Whether it is a change that is held already, repeated by a watch that was opened anew.
    fn is_stale(&self, update: &EndpointUpdate, order: UpdateOrder) -> bool {
        let may_be_older = !update.complete && order != UpdateOrder::VersionsRestarted;
        may_be_older && update.version < self.published.version()
    }

    /// Applies an update to the list, and drops from the update what is older than what is held.
    fn apply(&mut self, update: &mut EndpointUpdate, order: UpdateOrder) {
        if update.complete {
            // A complete list replaces what is held even if its version is lower: discovery has started anew.
            self.listed = update.endpoints.iter().map(|e| (e.id.clone(), e.clone())).collect();
            self.ahead.clear();
            return;
        }
        if order == UpdateOrder::VersionsRestarted {
            self.ahead.clear();
        } else {
            self.drop_superseded(update, order);
        }
        for endpoint in &update.endpoints {
            if endpoint.state == MemberState::Removed {
                self.listed.remove(&endpoint.id);
            } else {
                self.listed.insert(endpoint.id.clone(), endpoint.clone());
            }
        }
    }

    /// What an update after a gap has brought must not be undone by what comes late from inside the gap.
    fn drop_superseded(&mut self, update: &mut EndpointUpdate, order: UpdateOrder) {
        let version = update.version;
        update.endpoints.retain(|e| self.ahead.get(&e.id).is_none_or(|newer| version >= *newer));
        if order == UpdateOrder::AfterGap {
            self.ahead.extend(update.endpoints.iter().map(|e| (e.id.clone(), version)));
        } else {
            self.ahead.retain(|_, newer| version < *newer);
        }
    }

    /// Passes on which groups are unavailable, if that has changed, and then the update it follows from: whoever sees
    /// the update applied finds the groups unavailable.
    fn pass_on(&mut self, update: EndpointUpdate) -> Result<(), RouterEnded> {
        let groups = self.mask.unavailable_groups(&self.listed);
        if groups != self.unavailable_groups {
            self.unavailable_groups.clone_from(&groups);
            self.router.send(RouterMessage::UnavailableGroups(groups))?;
        }
        self.router.send(RouterMessage::Endpoints(update))?;
        Ok(())
    }
}
