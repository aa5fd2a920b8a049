//! What the measurements on the real program share: the selection of parts, and figures of a process.

/// A part of a measurement that can be run alone.
pub(crate) struct Part {
    /// Its name on the command line.
    pub name: &'static str,
    /// Runs it, and prints its table.
    pub run: fn(),
}

/// Runs the parts that the command line names, or all.
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

/// A number of a process's `/proc` status, by its field's name with the colon; 0 if it has none.
pub(crate) fn process_status(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}
