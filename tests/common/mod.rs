//! Helpers for the tests that run the program as a process: the process itself, clients, stand-in database
//! instances and a stand-in discovery service. Nothing here waits by sleeping: each wait is for an event,
//! with a timeout that only a failure reaches.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]
pub(crate) mod client;
pub(crate) mod crowd;
pub(crate) mod discovery;
pub(crate) mod environment;
pub(crate) mod installation;
pub(crate) mod instances;
pub(crate) mod mysql_login;
pub(crate) mod platform;
pub(crate) mod process_memory;
pub(crate) mod program;
pub(crate) mod restart_loop;
pub(crate) mod scripted_instance;
pub(crate) mod wire;

use std::time::Duration;

/// Maximum wait for an expected event; only a failure reaches it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
