//! The platform's wire protocol: version 3 of the `PostgreSQL` protocol, limited to simple queries.
//!
//! [`front`] serves clients and [`backend`] connects to database instances, whose responses [`response`]
//! parses. Both read messages from a [`buffer`]; the memory of long messages is reserved in a
//! [`client_listener::memory::MemoryPool`]. [`request`] has what the two exchange. [`decode`] and [`encode`] handle the bodies of single messages, [`statement`] parses the
//! comment of a query and [`instance_report`] what an instance reports about itself.
pub mod backend;
pub mod buffer;
pub mod decode;
pub mod encode;
pub mod front;
pub mod instance_report;
pub mod request;
pub mod response;
pub mod statement;
