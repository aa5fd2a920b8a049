//! What a client connection and a connection to an instance exchange through the routing core.
use crate::statement::Statement;
use client_listener::memory::{ClientMemory, ResponseMemory};

/// A client's request.
#[derive(Debug)]
pub struct Request {
    /// The query and the fields of its comment.
    pub statement: Statement,
    /// Account on which the memory of the response is reserved.
    pub memory: ClientMemory,
}

/// The response to a request, together with its memory, which is released when this is dropped.
#[derive(Debug)]
pub struct Response {
    /// `RowDescription`, `DataRow` and `CommandComplete`, byte for byte as the instance sent them.
    pub messages: Vec<u8>,
    /// Memory of the messages; `None` if the response is short.
    pub memory: Option<ResponseMemory>,
}
