//! The interface between the server and what carries commands out.
use crate::command::Command;
use crate::response::Response;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Carries commands out.
pub trait AdminHandler: Send + Sync + 'static {
    /// Carries one command out. It runs on the server's only thread: all other connections wait for it, so it must not
    /// block.
    fn handle(&self, command: Command) -> Response;
}

/// Hands a command to its handler. If the handler panics, that command alone is rejected: the server's only thread goes
/// on.
pub(crate) fn handle_or_report_panic(handler: &dyn AdminHandler, command: Command) -> Response {
    catch_unwind(AssertUnwindSafe(|| handler.handle(command))).unwrap_or_else(|_| {
        Response::Rejected(
            "the router failed to carry this out; see its log, then ask STATUS before asking again".into(),
        )
    })
}
