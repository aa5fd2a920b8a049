//! What clients' connections and servers' connections exchange through the routing core.
use std::collections::BTreeMap;
use std::sync::Arc;

/// Long parameters of an execution by their index. They are sent ahead of it.
pub type LongParameters = BTreeMap<u16, Vec<u8>>;

/// What a server is asked for.
#[derive(Debug)]
pub enum Request {
    /// A statement as text.
    Query(Vec<u8>),
    /// Preparing a statement, for what the response says of parameters and columns.
    Prepare(Arc<[u8]>),
    /// The execution of a prepared statement.
    Execute {
        /// The statement's text.
        text: Arc<[u8]>,
        /// The execution behind the statement's id.
        body: Vec<u8>,
        /// Long parameters to be sent ahead.
        long_parameters: LongParameters,
    },
}

/// A server's response: its payloads, in order.
pub type ResponsePayloads = Vec<Vec<u8>>;
