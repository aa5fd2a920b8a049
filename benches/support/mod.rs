//! Helpers that the benchmarks on the real program share: the selection of parts, and figures of a process.

/// A part of a benchmark that can be run alone.
pub(crate) struct Part {
    /// Name of the part on the command line.
    pub name: &'static str,
    /// Runs the part and prints its table.
    pub run: fn(),
}

/// Runs the parts that the command line names, or all if it names none.
pub(crate) fn run_parts(parts: &[Part]) {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    for part in
        parts.iter().filter(|part| selected.is_empty() || selected.iter().any(|name| name == part.name))
    {
        (part.run)();
        println!();
    }
}

/// Returns a number from a process's `/proc/PID/status`, by the field's name with its colon, or 0 if the
/// field is missing.
pub(crate) fn process_status(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}
