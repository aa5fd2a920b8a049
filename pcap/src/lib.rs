//! Reads capture files (pcap and pcapng, both byte orders) as a source of `MySQL` requests, and records
//! served conversations to capture files. The package does not capture packets from a network.
//!
//! [`capture`] reads packets from a file, [`segment`] extracts their TCP segments, and [`stream`] reassembles
//! the segments. [`conversations`] parses the `MySQL` conversations of a file into [`request`]s and
//! [`remark`]s. [`replay`] sends the requests through a router. [`record`] writes a recording.
pub mod capture;
mod conversation;
pub mod conversations;
mod packet_writer;
pub mod record;
pub mod remark;
pub mod replay;
pub mod request;
pub mod segment;
pub mod stream;
