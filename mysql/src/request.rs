//! Requests and responses that client connections and server connections exchange through the routing core.
use client_listener::memory::{ClientMemory, ResponseMemory};
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

/// A client's request, and the account on which the memory of its response is reserved.
#[derive(Debug)]
pub struct AccountedRequest {
    /// The request.
    pub request: Request,
    /// Account of the client's responses.
    pub memory: ClientMemory,
}

/// A server's response together with its memory, which is released when this is dropped.
#[derive(Debug)]
pub struct Response {
    /// The payloads, in order.
    pub payloads: ResponsePayloads,
    /// Memory of the payloads; `None` if the response is short.
    pub memory: Option<ResponseMemory>,
}

/// Payloads of a server's response, in order.
pub type ResponsePayloads = Vec<Vec<u8>>;
