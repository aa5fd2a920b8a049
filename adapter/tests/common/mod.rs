//! What the tests of the adapter share.
use std::process::{Child, Command, Stdio};

/// The adapter as a process whose standard input, output and error the test has.
pub(crate) fn spawn_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_damsonvale-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts")
}
