//! The endpoints actor: its state, main loop and message handlers.
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

/// The router actor has stopped, because the program is shutting down.
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
    /// Listed endpoints by ID, before the maintenance mask is applied.
    listed: BTreeMap<String, EndpointEntry>,
    mask: MaintenanceMask,
    /// Versions of endpoints that were updated after a gap and are therefore newer than the published
    /// version.
    newer_versions: BTreeMap<String, u64>,
    /// Unavailable groups in the last notification to the router actor.
    unavailable_groups: BTreeSet<GroupId>,
    wall_clock: WallClock,
    /// Last reported start of each endpoint, by ID, which is converted only once, so that later steps of the
    /// wall clock do not change the result.
    starts: BTreeMap<String, ReportedStart>,
}

/// Start time as reported, and as converted to the router's clock.
#[derive(Clone, Copy)]
struct ReportedStart {
    reported: Time,
    converted: Time,
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
            newer_versions: BTreeMap::new(),
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

    /// Replaces the maintenance mask and forwards the endpoints that are affected.
    fn set_maintenance(&mut self, mask: MaintenanceMask) -> Result<(), RouterEnded> {
        let old = std::mem::replace(&mut self.mask, mask);
        let changed = self.listed.values().filter(|e| old.apply(e) != self.mask.apply(e));
        let endpoints: Vec<EndpointEntry> = changed.map(|e| self.mask.apply(e)).collect();
        tracing::info!(in_maintenance = self.mask.in_maintenance.len(), "maintenance mask applied");
        let version = self.published.version();
        self.forward(EndpointUpdate { version, complete: false, endpoints })
    }

    fn update(&mut self, mut update: EndpointUpdate, order: UpdateOrder) -> Result<(), RouterEnded> {
        if self.is_stale(&update, order) {
            return Ok(());
        }
        self.convert_starts(&mut update);
        self.apply(&mut update, order);
        if order != UpdateOrder::AfterGap || update.complete {
            self.published.set_version(update.version);
        }
        if let Some(metrics) = &self.metrics {
            // The IDs are only needed by the admin address.
            self.published.set_ids(self.listed.keys().cloned().collect());
            metrics.endpoints.set(self.listed.len() as i64);
        }
        if self.mask != MaintenanceMask::default() {
            update.endpoints = update.endpoints.iter().map(|e| self.mask.apply(e)).collect();
        }
        let EndpointUpdate { version, complete, .. } = update;
        self.forward(update)?;
        let ready = self.listed.values().filter(|e| e.state == MemberState::Ready).count();
        // Every request submitted after this log line is routed by the updated list.
        tracing::info!(version, endpoints = self.listed.len(), ready, complete, "endpoint list applied");
        Ok(())
    }

    /// Converts reported start times to the router's clock.
    fn convert_starts(&mut self, update: &mut EndpointUpdate) {
        if update.complete {
            let listed: BTreeSet<&str> = update.endpoints.iter().map(|e| e.id.as_str()).collect();
            self.starts.retain(|id, _| listed.contains(id.as_str()));
        }
        for endpoint in &mut update.endpoints {
            let Some(reported) = endpoint.started_at else { continue };
            let known = self.starts.get(&endpoint.id).filter(|known| known.reported == reported);
            let converted = known.map_or_else(|| self.wall_clock.start(reported), |known| known.converted);
            endpoint.started_at = Some(converted);
            if endpoint.state == MemberState::Removed {
                self.starts.remove(&endpoint.id);
            } else {
                self.starts.insert(endpoint.id.clone(), ReportedStart { reported, converted });
            }
        }
    }

    /// Returns whether the update was already applied and is repeated by a reopened watch.
    fn is_stale(&self, update: &EndpointUpdate, order: UpdateOrder) -> bool {
        let can_be_stale = !update.complete && order != UpdateOrder::VersionsRestarted;
        can_be_stale && update.version < self.published.version()
    }

    /// Applies an update to the list, and drops the entries from the update for which the list has a newer
    /// version.
    fn apply(&mut self, update: &mut EndpointUpdate, order: UpdateOrder) {
        if update.complete {
            // A complete list replaces the current one even if its version is lower, because discovery may
            // have restarted.
            self.listed = update.endpoints.iter().map(|e| (e.id.clone(), e.clone())).collect();
            self.newer_versions.clear();
            return;
        }
        if order == UpdateOrder::VersionsRestarted {
            self.newer_versions.clear();
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

    /// Drops the entries for which an update after a gap already contained a newer version.
    fn drop_superseded(&mut self, update: &mut EndpointUpdate, order: UpdateOrder) {
        let version = update.version;
        update.endpoints.retain(|e| self.newer_versions.get(&e.id).is_none_or(|newer| version >= *newer));
        if order == UpdateOrder::AfterGap {
            self.newer_versions.extend(update.endpoints.iter().map(|e| (e.id.clone(), version)));
        } else {
            self.newer_versions.retain(|_, newer| version < *newer);
        }
    }

    /// Forwards the unavailable groups, if they have changed, and then the update itself. Requests for these
    /// groups are rejected from the time at which the update is applied.
    fn forward(&mut self, update: EndpointUpdate) -> Result<(), RouterEnded> {
        let groups = self.mask.unavailable_groups(&self.listed);
        if groups != self.unavailable_groups {
            self.unavailable_groups.clone_from(&groups);
            self.router.send(RouterMessage::UnavailableGroups(groups))?;
        }
        self.router.send(RouterMessage::Endpoints(update))?;
        Ok(())
    }
}
