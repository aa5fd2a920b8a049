//! Dependencies that all backends of a router share.
use crate::idle_connection::ConnectionCount;
use crate::messages::RouterMessage;
use crate::protocol::BackendProtocol;
use crossbeam_channel::Sender;
use settings::Limits;
use std::sync::Arc;

/// Dependencies of a backend that do not depend on its endpoint.
pub(crate) struct BackendResources<P: BackendProtocol> {
    pub(crate) protocol: Arc<P>,
    pub(crate) limits: Arc<Limits>,
    /// Sender to the router actor.
    pub(crate) router: Sender<RouterMessage<P>>,
    /// Counts the connections of all backends.
    pub(crate) connections: ConnectionCount,
}

impl<P: BackendProtocol> Clone for BackendResources<P> {
    fn clone(&self) -> Self {
        BackendResources {
            protocol: self.protocol.clone(),
            limits: self.limits.clone(),
            router: self.router.clone(),
            connections: self.connections.clone(),
        }
    }
}
