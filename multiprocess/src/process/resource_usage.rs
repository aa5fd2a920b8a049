//! Thread count and memory usage of a process, read from `/proc`.

/// Thread count and memory usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Number of threads of the process.
    pub threads: u64,
    /// Resident memory in KiB, including shared pages of the program file.
    pub resident_kb: u64,
    /// Resident anonymous memory in KiB, which is not shared with other processes.
    pub private_kb: u64,
}

impl ResourceUsage {
    /// Reads `/proc/ID/status`; returns `None` if the process has ended or a value is missing.
    pub(super) fn of_process(id: u32) -> Option<ResourceUsage> {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let value_of = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.trim_start_matches(':').split_whitespace().next()?.parse().ok()
        };
        Some(ResourceUsage {
            threads: value_of("Threads")?,
            resident_kb: value_of("VmRSS")?,
            private_kb: value_of("RssAnon")?,
        })
    }
}
