//! Coordination of the routers of one fleet: a common configuration, quotas that apply to all routers
//! together, and an audit of the configuration version that each router uses.
//!
//! - [`document`] stores the fleet's configuration in the replicated store as one versioned document.
//! - [`client`] runs in each router. A thread reports to the store's leader every 200 ms, and fetches and
//!   applies each new version of the document. Requests are admitted or rejected locally, without I/O.
//! - [`service`] runs on each node of the store. While the node is the leader, it responds to the routers'
//!   reports with quota grants, and writes the audit record.
//! - [`audit_record`] reads the audit record.
//! - [`wire`] defines the messages between client and service.
//!
//! The decisions are made by the state machines of the packages `quotas`, `audit` and `placement`. This
//! package contains the threads and sockets that run them and transports their messages.
pub mod audit_record;
pub mod client;
pub mod document;
pub mod service;
pub mod wire;

pub use client::{AdmissionError, FleetClient};
