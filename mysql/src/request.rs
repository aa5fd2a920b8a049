//! Requests and responses that client connections and server connections exchange through the routing core.
use std::collections::BTreeMap;
use std::sync::Arc;

/// Long parameters of an execution by parameter index, which are sent before the execution.
pub type LongParameters = BTreeMap<u16, Vec<u8>>;

/// A request to a server.
#[derive(Debug)]
pub enum Request {
    /// Runs a statement that is sent as text.
    Query(Vec<u8>),
    /// Prepares a statement to obtain the descriptions of its parameters and columns.
    Prepare(Arc<[u8]>),
    /// Executes a prepared statement.
    Execute {
        /// Text of the statement.
        text: Arc<[u8]>,
        /// Payload of the execution after the statement ID.
        body: Vec<u8>,
        /// Long parameters of the statement, which are sent before the execution.
        long_parameters: LongParameters,
    },
}

/// Payloads of a server's response, in order.
pub type ResponsePayloads = Vec<Vec<u8>>;
