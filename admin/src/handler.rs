//! The interface between the server and the handler of commands.
use crate::command::Command;
use crate::response::Response;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Handles the commands that the server receives.
pub trait AdminHandler: Send + Sync + 'static {
    /// Handles one command. The method runs on the server's only thread and blocks all other connections, so
    /// it must return quickly.
    fn handle(&self, command: Command) -> Response;
}

/// Passes a command to the handler. If the handler panics, only that command is rejected, and the server's
/// thread continues.
pub(crate) fn handle_or_report_panic(handler: &dyn AdminHandler, command: Command) -> Response {
    catch_unwind(AssertUnwindSafe(|| handler.handle(command))).unwrap_or_else(|_| {
        Response::Rejected(
            "the router failed to run this command; check its log, then send STATUS before repeating it"
                .into(),
        )
    })
}
