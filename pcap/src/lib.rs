//! Capture files (classic and ng, both byte orders): read as a source of MySQL requests, and written as a
//! recording of what was served. Nothing is captured here.
//!
//! [`capture`] takes packets from a file, [`streams`] puts TCP's bytes in order, [`conversations`] finds the
//! requests in them, [`replay`] sends these through a router, and [`record`] writes a file.
pub mod capture;
pub mod conversations;
pub mod record;
pub mod replay;
pub mod streams;
