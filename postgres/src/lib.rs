//! The platform's wire protocol: `PostgreSQL`'s, version 3, with simple queries only.
//!
//! [`front`] serves clients and [`backend`] connects to instances, whose responses [`response`] parses. Both read
//! messages from a [`buffer`], which takes the memory of long ones out of a [`memory_pool`]; [`decode`] and [`encode`]
//! know what single messages hold, [`statement`] parses a query's comment and [`instance_report`] what an instance
//! reports about itself.
pub mod backend;
pub mod buffer;
pub mod decode;
pub mod encode;
pub mod front;
pub mod instance_report;
pub mod memory_pool;
pub mod response;
pub mod statement;
