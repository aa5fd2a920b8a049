//! What joins the routers of one fleet: a common configuration, quotas for all of them together, and an audit of which
//! version of the configuration each router serves by.
//!
//! - [`document`] keeps the fleet's configuration in the replicated store as one versioned document.
//! - [`client`] runs in each router. A thread reports to the store's leader every 200 ms, and fetches and applies each new
//!   version of the document; requests are admitted or rejected locally, without I/O.
//! - [`service`] runs on each node of the store. While the node is the leader it answers the routers' reports with
//!   quota grants, and writes the audit's record.
//! - [`audit_record`] reads that record back.
//! - [`wire`] holds the messages between the two sides.
//!
//! The decisions are made by the state machines of the packages `quotas`, `audit` and `placement`. This package owns
//! the threads and sockets and carries their messages; it decides nothing by itself.
pub mod audit_record;
pub mod client;
pub mod document;
pub mod service;
pub mod wire;

pub use client::{AdmissionError, FleetClient};
