//! Runs short-lived commands of the program.
use super::error::ProcessError;
use std::path::Path;
use std::process::Command;

/// Runs a command of the program with an empty environment, waits for its exit, and returns its standard
/// output.
///
/// # Errors
/// Returns [`ProcessError::Start`] if the command can't be started, and [`ProcessError::Command`] if its exit
/// code is not 0.
pub fn run_command(program: &Path, arguments: &[&str]) -> Result<String, ProcessError> {
    let mut command = Command::new(program);
    let output = command.args(arguments).env_clear().output().map_err(ProcessError::start(program))?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let errors = String::from_utf8_lossy(&output.stderr).trim().to_string();
    Err(ProcessError::Command { arguments: arguments.join(" "), output: errors })
}
