//! Helpers shared by the adapter's tests.
use std::process::{Child, Command, Stdio};

/// Starts the adapter with piped standard input, output and error.
pub(crate) fn spawn_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_damsonvale-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts")
}
