//! The handover of a server connection from one request to the next.
use crate::permit::{AttemptGuard, EndpointState};
use crate::protocol::{BackendProtocol, Connection};

/// A connection that no request uses, and whose session holds nothing of an earlier request. Idle connections
/// are kept only in this form, so that each connection passes [`ReleasedConnection::release`] between two
/// requests.
pub struct ReleasedConnection<P: BackendProtocol>(P::Connection);

impl<P: BackendProtocol> ReleasedConnection<P> {
    /// Releases a connection after an exchange. Returns `None`, and closes the connection, if the state of its
    /// session is unknown or the endpoint is out of service.
    pub fn release(mut connection: P::Connection, endpoint: &EndpointState) -> Option<Self> {
        // The guard of the exchange does not permit anything after its client has disconnected.
        let permit = AttemptGuard::new(endpoint.clone()).permit_connection().ok()?;
        connection.release(permit).then_some(ReleasedConnection(connection))
    }

    /// Returns the connection for the next exchange.
    pub fn into_inner(self) -> P::Connection {
        self.0
    }
}
