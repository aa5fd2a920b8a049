//! Commands of the program that run to their end.
use super::error::ProcessError;
use std::path::Path;
use std::process::Command;

/// Runs one of the program's commands to its end with an empty environment, and returns its standard output.
///
/// # Errors
/// [`ProcessError::Start`] where it can't be started, [`ProcessError::Command`] where its exit code is not 0.
pub fn run_to_end(program: &Path, arguments: &[&str]) -> Result<String, ProcessError> {
    let mut command = Command::new(program);
    let output = command.args(arguments).env_clear().output().map_err(ProcessError::start(program))?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let errors = String::from_utf8_lossy(&output.stderr).trim().to_string();
    Err(ProcessError::Command { arguments: arguments.join(" "), output: errors })
}
