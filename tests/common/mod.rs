//! What the tests of the real program share: the program as a process, and the clients, the instances and the discovery
//! service around it. Nothing here waits by sleeping: each wait is for a message, with a bound that only a failure
//! reaches.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
pub(crate) mod client;
pub(crate) mod discovery;
pub(crate) mod environment;
pub(crate) mod installation;
pub(crate) mod instances;
pub(crate) mod platform;
pub(crate) mod program;
pub(crate) mod restart_loop;
pub(crate) mod scripted_instance;
pub(crate) mod wire;

use std::time::Duration;

/// The longest that a test waits for what has to happen; only a failure reaches it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
