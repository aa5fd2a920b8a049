//! Capture files (classic and ng, both byte orders): read as a source of `MySQL` requests, and written as a recording of
//! served conversations. Nothing is captured here.
//!
//! [`capture`] reads packets from a file, [`segment`] finds TCP segments in them and [`stream`] puts their bytes in
//! order. [`conversations`] parses the `MySQL` conversations of a file into [`request`]s and [`remark`]s, and [`replay`] sends these
//! through a router. [`record`] writes a file.
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
