//! A request that has no response yet, and the resources it uses.
use super::shared::Front;
use client_listener::Connection;
use client_listener::memory::MemoryReservation;
use routing::RequestId;
use std::sync::Arc;

/// An open request's id and the memory of its statement; both are released when this is dropped. A request
/// that has no response by then is abandoned, because its client no longer waits for it.
pub(super) struct OpenRequest {
    front: Arc<Front>,
    pub(super) connection: Arc<Connection>,
    /// The routing core's id of the request; `None` until it has been submitted.
    submitted: Option<RequestId>,
    /// The id that the client gave the request.
    pub(super) client_id: Vec<u8>,
    _memory: MemoryReservation,
}

impl OpenRequest {
    /// Registers the client's id of a request; returns `None` if a request with this id is open.
    pub(super) fn register(
        front: &Arc<Front>,
        connection: &Arc<Connection>,
        client_id: &[u8],
        memory: MemoryReservation,
    ) -> Option<OpenRequest> {
        let client_id = client_id.to_vec();
        if !front.request_ids().insert(client_id.clone()) {
            return None;
        }
        Some(OpenRequest {
            front: front.clone(),
            connection: connection.clone(),
            submitted: None,
            client_id,
            _memory: memory,
        })
    }

    /// Records that the request was submitted to the routing core, under this id.
    pub(super) fn set_submitted(&mut self, id: RequestId) {
        self.submitted = Some(id);
    }

    /// Records that the request has its response.
    pub(super) fn finish(mut self) {
        if let Some(id) = self.submitted.take() {
            self.connection.in_flight_requests.finish(id);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if let Some(id) = self.submitted.take().filter(|id| self.connection.in_flight_requests.finish(*id)) {
            self.front.handle.client_disconnected(id);
        }
        self.front.request_ids().remove(&self.client_id);
    }
}
